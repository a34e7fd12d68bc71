/// \file
/// The verb `node`.
#include <fmt/format.h>

#include <cstdio>

#include "exit_codes.h"
#include "verbs.h"

int RunNode(int /*argc*/, char** /*argv*/) {
  fmt::print(stderr, "error: the node is not available in this build\n");
  return sesamespread::tools::kExitFailed;
}
