/// \file
/// The verb `node`: runs the process beside a backend server.
#include <fmt/format.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>

#include "sesamespread/state/settings.h"
#include "sesamespread/transport/node.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

constexpr char kExamples[] =
    "\nExamples:\n"
    "  sesamespread node --settings node.yaml\n"
    "  sesamespread node --settings node.yaml --check\n\n"
    "The ports in use are printed as one line of JSON once the node listens.\n"
    "SIGTERM or SIGINT stops it gracefully; a second one stops it at once.\n";

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw state::Error(state::ResultCode::kSettingsInvalid,
                       fmt::format("{}: can't be read", path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void PrintPorts(const transport::NodePorts& ports) {
  fmt::print(
      "{{\"caller\":{},\"backend\":{},\"peer\":{},\"gossip\":{},"
      "\"operator\":{}}}\n",
      ports.caller, ports.backend, ports.peer, ports.gossip, ports.operators);
  std::fflush(stdout);
}

int RunWith(const std::string& path, bool check_only) {
  const state::NodeSettings settings =
      state::ParseNodeSettings({path, ReadFile(path)});
  if (check_only) {
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
  cxxopts::Options options("sesamespread node",
                           "Runs the node beside a backend server.");
  options.add_options()("settings", "Settings file (YAML)",
                        cxxopts::value<std::string>(), "FILE")(
      "check", "Check the settings and exit")("help", "Show this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      fmt::print("{}{}", options.help(), kExamples);
      return kExitOk;
    }
    if (parsed.count("settings") == 0) {
      fmt::print(stderr, "sesamespread node: --settings is missing\n");
      return kExitUsage;
    }
    return RunWith(parsed["settings"].as<std::string>(),
                   parsed.count("check") > 0);
  } catch (const cxxopts::OptionException& error) {
    fmt::print(stderr, "sesamespread node: {}\n", error.what());
    return kExitUsage;
  } catch (const state::Error& error) {
    fmt::print(stderr, "{}\n", error.what());
    return error.code() == state::ResultCode::kSettingsInvalid ? kExitInvalid
                                                               : kExitError;
  } catch (const std::exception& error) {
    fmt::print(stderr, "sesamespread node: {}\n", error.what());
    return kExitError;
  }
}

}  // namespace sesamespread::tools
