/// \file
/// Exit codes of the verbs; docs/EXIT_CODES.md has the same table.
#ifndef SESAMESPREAD_TOOLS_SESAMESPREAD_EXIT_CODES_H_
#define SESAMESPREAD_TOOLS_SESAMESPREAD_EXIT_CODES_H_

#include "sesamespread/state/result_code.h"

namespace sesamespread::tools {

enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitInvalid = 3,
  kExitConflict = 4,
  kExitPlatformUnavailable = 5,
  kExitUnauthorized = 6,
  kExitVersionNotFound = 7,
  kExitNodeUnreachable = 8,
  kExitForced = 9,
};

/// The exit code for the result of a verb.
ExitCode ExitCodeOf(state::ResultCode code);

}  // namespace sesamespread::tools

#endif  // SESAMESPREAD_TOOLS_SESAMESPREAD_EXIT_CODES_H_
