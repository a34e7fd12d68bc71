/// \file
/// The verb `load`.
#include <fmt/format.h>

#include <cstdio>

#include "exit_codes.h"
#include "verbs.h"

int RunLoad(int /*argc*/, char** /*argv*/) {
  fmt::print(stderr,
             "error: the load generator is not available in this build\n");
  return sesamespread::tools::kExitFailed;
}
