/// \file
/// Runs a stand-in for a system outside a node: `standins <name> [options]`.
#include <cstdio>
#include <map>
#include <string>

#include "standins.h"

int main(int argc, char** argv) {
  const std::map<std::string, int (*)(int, char**)> programs = {
      {"backend", RunBackend},
      {"platform", RunPlatform},
  };
  const auto program = programs.find(argc > 1 ? argv[1] : "");
  if (program != programs.end())
    return program->second(argc - 1, argv + 1);
  std::fputs("usage: standins <program> [options]; programs:", stderr);
  for (const auto& [name, run] : programs)
    std::fprintf(stderr, " %s", name.c_str());
  std::fputs("\n", stderr);
  return 2;
}
