/// \file
/// Dispatches to the verb named by the first argument.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "exit_codes.h"
#include "sesamespread/state/schema.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

constexpr Verb kVerbs[] = {
    {"node", RunNode, "run a node"},
    {"route-node", RunRouteNode, "run a node on the users' platform"},
    {"check", RunCheck, "check files and report all faults"},
    {"diff", RunDiff, "show what apply would change"},
    {"apply", RunApply, "make files the new version of the configuration"},
    {"show", RunShow, "print a version of the configuration"},
    {"history", RunHistory, "print the newest changes"},
    {"rollback", RunRollback, "write the content of an older version again"},
    {"explain", RunExplain, "show how a request is classified"},
    {"status", RunStatus, "print the status of a node"},
    {"drain", RunDrain, "take a backend server out of service"},
    {"load", RunLoad, "send load to a service"},
    {"trace", RunTrace, "explain a failed request from logs"},
    {"completion", RunCompletion, "print a script for shell completion"},
};

void PrintHelp(std::FILE* file) {
  fmt::print(file, "usage: sesamespread <verb> [options]\n\nVerbs:\n");
  for (const Verb& verb : kVerbs)
    fmt::print(file, "  {:<12}{}\n", verb.name, verb.help);
  fmt::print(file, "\nEach verb has --help with examples.\n");
}

int ReportUnknownVerb(const std::string& name) {
  std::vector<std::string> names;
  for (const Verb& verb : kVerbs)
    names.emplace_back(verb.name);
  const std::string nearest = state::NearestName(name, names);
  fmt::print(
      stderr, "error: unknown verb '{}'{}; see sesamespread --help\n", name,
      nearest.empty() ? "" : fmt::format("; did you mean '{}'?", nearest));
  return kExitUsage;
}

}  // namespace

std::span<const Verb> Verbs() {
  return kVerbs;
}

int Main(int argc, char** argv) {
  if (argc < 2) {
    PrintHelp(stderr);
    return kExitUsage;
  }
  const std::string name = argv[1];
  if (name == "--help" || name == "-h" || name == "help") {
    PrintHelp(stdout);
    return kExitOk;
  }
  const auto* verb =
      std::find_if(std::begin(kVerbs), std::end(kVerbs),
                   [&name](const Verb& item) { return item.name == name; });
  if (verb == std::end(kVerbs))
    return ReportUnknownVerb(name);
  return verb->run(argc - 1, argv + 1);
}

}  // namespace sesamespread::tools

int main(int argc, char** argv) {
  return sesamespread::tools::Main(argc, argv);
}
