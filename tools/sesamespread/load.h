/// \file
/// The verb `load`.
#ifndef SESAMESPREAD_TOOLS_SESAMESPREAD_LOAD_H_
#define SESAMESPREAD_TOOLS_SESAMESPREAD_LOAD_H_

namespace sesamespread::tools {

/// Sends the requests of a scenario and prints the results. Exit codes: 0; 1 if
/// an answer was wrong or cut short; 2 for a wrong command line; 3 for a
/// scenario with errors.
int RunLoad(int argc, char** argv);

}  // namespace sesamespread::tools

#endif  // SESAMESPREAD_TOOLS_SESAMESPREAD_LOAD_H_
