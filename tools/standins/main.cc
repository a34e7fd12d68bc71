/// \file
/// Dispatches to the stand-in named by the first argument.
#include <fmt/format.h>

#include <cstdio>
#include <string_view>

#include "standins.h"

namespace {

struct StandIn {
  std::string_view name;
  int (*run)(int argc, char** argv);
};

constexpr StandIn kStandIns[] = {
    {"platform", RunPlatform},
};

}  // namespace

int main(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  for (const StandIn& stand_in : kStandIns) {
    if (stand_in.name == name)
      return stand_in.run(argc - 1, argv + 1);
  }
  fmt::print(stderr, "usage: standins <name> [options]; names:");
  for (const StandIn& stand_in : kStandIns)
    fmt::print(stderr, " {}", stand_in.name);
  fmt::print(stderr, "\n");
  return 2;
}
