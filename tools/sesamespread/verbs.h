/// \file
/// The verbs of the program, one function each; argv[0] is the verb's name.
#ifndef SESAMESPREAD_TOOLS_SESAMESPREAD_VERBS_H_
#define SESAMESPREAD_TOOLS_SESAMESPREAD_VERBS_H_

#include <span>
#include <string_view>

namespace sesamespread::tools {

/// A verb of the command line.
struct Verb {
  std::string_view name;
  int (*run)(int argc, char** argv);
  /// One line of the help text.
  std::string_view help;
};

/// All verbs in the order of the help text.
std::span<const Verb> Verbs();

int RunNode(int argc, char** argv);
int RunRouteNode(int argc, char** argv);
int RunLoad(int argc, char** argv);
int RunCheck(int argc, char** argv);
int RunDiff(int argc, char** argv);
int RunApply(int argc, char** argv);
int RunShow(int argc, char** argv);
int RunHistory(int argc, char** argv);
int RunRollback(int argc, char** argv);
int RunExplain(int argc, char** argv);
int RunStatus(int argc, char** argv);
int RunDrain(int argc, char** argv);
int RunTrace(int argc, char** argv);
int RunCompletion(int argc, char** argv);

}  // namespace sesamespread::tools

#endif  // SESAMESPREAD_TOOLS_SESAMESPREAD_VERBS_H_
