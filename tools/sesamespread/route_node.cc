/// \file
/// The verb `route-node`: runs the node beside a backend server on the platform
/// of the customers.
#include <fmt/format.h>
#include <malloc.h>

#include <string>

#include "command.h"
#include "platform_interface.h"
#include "sesamespread/state/route_node_settings.h"
#include "sesamespread/transport/route_node.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

constexpr char kExamples[] =
    "  sesamespread route-node --settings route-node.yaml\n"
    "  sesamespread route-node --settings route-node.yaml --check-only\n"
    "SIGTERM or SIGINT stops it gracefully.\n";

/// Blocks from this size on are mapped, and returned to the system when they
/// are freed. By default, the allocator raises its threshold to the size of
/// freed blocks, and bodies of megabytes then fragment the heap for good.
constexpr int kMapThresholdBytes = 128 << 10;

int RunWith(const Command& command) {
  const std::string path = command.Require("settings");
  const state::RouteNodeSettings settings =
      state::ParseRouteNodeSettings(ReadSource(path));
  if (command.Has("check-only")) {
    fmt::print("{}: valid\n", path);
    return kExitOk;
  }
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  transport::RouteNode node(settings, path,
                            platform::MakePlatformInterface(settings));
  node.Run();
  return kExitOk;
}

}  // namespace

int RunRouteNode(int argc, char** argv) {
  Command command("route-node",
                  "Runs the node beside a backend server on the platform, with "
                  "the operator's routes from the platform's store.",
                  "", kExamples);
  command.Add()("settings", "Settings file (YAML)",
                cxxopts::value<std::string>(),
                "FILE")("check-only", "Check the settings and exit");
  return command.Run(argc, argv, [&command] { return RunWith(command); });
}

}  // namespace sesamespread::tools
