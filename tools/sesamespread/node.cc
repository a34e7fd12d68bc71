/// \file
/// The verb `node`: runs the node beside a backend server.
#include <fmt/format.h>

#include <cstdio>
#include <string>

#include "command.h"
#include "sesamespread/state/settings.h"
#include "sesamespread/transport/node.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

constexpr char kExamples[] =
    "  sesamespread node --settings node.yaml\n"
    "  sesamespread node --settings node.yaml --check-only\n"
    "The ports in use are printed as a line of JSON once the node listens.\n"
    "SIGTERM or SIGINT stops it gracefully; a second one stops it at once.\n";

void PrintPorts(const transport::NodePorts& ports) {
  fmt::print(
      "{{\"caller\":{},\"backend\":{},\"peer\":{},\"gossip\":{},"
      "\"operator\":{}}}\n",
      ports.caller, ports.backend, ports.peer, ports.gossip, ports.operators);
  std::fflush(stdout);
}

int RunWith(const Command& command) {
  const std::string path = command.Require("settings");
  const state::NodeSettings settings =
      state::ParseNodeSettings(ReadSource(path));
  if (command.Has("check-only")) {
    fmt::print("{}: valid\n", path);
    return kExitOk;
  }
  transport::Node node(settings);
  PrintPorts(node.ports());
  return node.Run() == transport::Node::ExitReason::kDrained ? kExitOk
                                                             : kExitForced;
}

}  // namespace

int RunNode(int argc, char** argv) {
  Command command("node", "Runs the node beside a backend server.", "",
                  kExamples);
  command.Add()("settings", "Settings file (YAML)",
                cxxopts::value<std::string>(),
                "FILE")("check-only", "Check the settings and exit");
  return command.Run(argc, argv, [&command] { return RunWith(command); });
}

}  // namespace sesamespread::tools
