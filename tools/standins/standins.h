/// \file
/// Entry points of the stand-ins for outside systems, one source file each.
#ifndef SESAMESPREAD_TOOLS_STANDINS_STANDINS_H_
#define SESAMESPREAD_TOOLS_STANDINS_STANDINS_H_

/// A backend server with processor sharing and faults on demand.
int RunBackend(int argc, char** argv);

/// The platform's table service and object store.
int RunPlatform(int argc, char** argv);

#endif  // SESAMESPREAD_TOOLS_STANDINS_STANDINS_H_
