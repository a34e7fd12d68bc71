/// \file
/// The driver `sesamespread <verb> [options]`.
#include <cstdio>
#include <map>
#include <string>

#include "load.h"

int main(int argc, char** argv) {
  const std::map<std::string, int (*)(int, char**)> verbs = {
      {"load", sesamespread::tools::RunLoad},
  };
  const auto verb = verbs.find(argc > 1 ? argv[1] : "");
  if (verb != verbs.end())
    return verb->second(argc - 1, argv + 1);
  std::fputs("usage: sesamespread <verb> [options]; verbs:", stderr);
  for (const auto& [name, run] : verbs)
    std::fprintf(stderr, " %s", name.c_str());
  std::fputs("\n", stderr);
  return 2;
}
