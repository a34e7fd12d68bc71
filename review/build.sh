#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler and its library only. The
# nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra)
g++ "${flags[@]}" -c -o target/review/standin.o review/standin/standin.cc
for source in review/[1-4]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -o "target/review/case-$number" "$source" \
    target/review/standin.o -pthread
done
