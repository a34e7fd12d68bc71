#!/usr/bin/env bash
# Runs each fuzz target of a build directory for a fixed number of runs with a
# fixed seed, so that the result for a source tree is reproducible.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# Columns: name, number of runs, maximum input size in bytes, seed inputs.
while read -r name runs max_len seeds; do
  if [ -f KNOWN-RED.txt ] && grep -qx "fuzz: $name" KNOWN-RED.txt; then
    echo "known red, passed over: fuzz $name"
    continue
  fi
  mkdir "$work/$name"
  [ -z "$seeds" ] || cp $seeds "$work/$name"
  if ! "$build/fuzz/$name" -runs="$runs" -seed=1 -max_len="$max_len" \
    -malloc_limit_mb=256 -timeout=5 -artifact_prefix="$build/$name-" \
    "$work/$name" >"$work/$name.log" 2>&1; then
    cat "$work/$name.log"
    echo "fuzz $name: failed; the input is in $build/$name-*"
    exit 1
  fi
  echo "fuzz $name: $(grep -o 'Done.*' "$work/$name.log")"
done <<'LIST'
frame_fuzzer 60000 4096
datagram_fuzzer 60000 1400
http_fields_fuzzer 200000 512
http_message_fuzzer 40000 256 fuzz/seeds/chunked-answer fuzz/seeds/chunked-request
inventory_fuzzer 2000 4096 examples/colmenar.yaml examples/lembaga.yaml
node_settings_fuzzer 4000 2048 examples/node.yaml
platform_rows_fuzzer 10000 2048
operator_document_fuzzer 20000 2048 fuzz/seeds/odd-document
backend_call_fuzzer 40000 512 fuzz/seeds/odd-report
store_rows_fuzzer 40000 512 fuzz/seeds/odd-row
LIST
