/// \file
/// Entry points of the stand-ins for external systems. \p argv[0] is the name
/// of the stand-in; the result is the exit code.
#ifndef SESAMESPREAD_TOOLS_STANDINS_STANDINS_H_
#define SESAMESPREAD_TOOLS_STANDINS_STANDINS_H_

/// Runs a backend server with processor sharing and fault injection.
int RunBackend(int argc, char** argv);

/// Runs the table service and the object store of the platform.
int RunPlatform(int argc, char** argv);

#endif  // SESAMESPREAD_TOOLS_STANDINS_STANDINS_H_
