/// \file
/// The verbs `status` and `drain`, which call a node's operator port.
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "command.h"
#include "sesamespread/transport/operator_client.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

// Lowest HTTP status that stands for an error.
constexpr int kMinErrorStatus = 400;

// Prints a line such as "drain.state: serving" for each value. The body is
// JSON, which a YAML parser accepts.
void PrintFlattened(const YAML::Node& node, const std::string& path) {
  if (node.IsScalar() || node.IsNull()) {
    fmt::print("{}: {}\n", path, node.IsNull() ? "" : node.Scalar());
    return;
  }
  const std::string prefix = path.empty() ? "" : path + ".";
  std::size_t index = 0;
  for (const auto& item : node) {
    if (node.IsMap())
      PrintFlattened(item.second, prefix + item.first.Scalar());
    else
      PrintFlattened(item, fmt::format("{}{}", prefix, index++));
  }
}

void PrintBody(const Command& command, const std::string& body) {
  if (command.is_json()) {
    fmt::print("{}\n", body);
    return;
  }
  try {
    PrintFlattened(YAML::Load(body), "");
  } catch (const YAML::Exception&) {
    fmt::print("{}\n", body);
  }
}

transport::OperatorReply Send(const Command& command,
                              const std::string& url,
                              const std::string& method,
                              const std::string& path) {
  transport::OperatorCallOptions options;
  options.url = url;
  options.timeout = command.GetDuration("timeout");
  if (command.Has("token-file"))
    options.token =
        transport::ReadTokenFile(command.Get<std::string>("token-file"));
  if (command.Has("certificate-file"))
    options.certificate_file = command.Get<std::string>("certificate-file");
  try {
    return transport::CallOperator(options, method, path);
  } catch (const state::Error&) {
    throw;
  } catch (const std::exception& error) {
    throw NodeUnreachableError(error.what());
  }
}

int CallNode(const Command& command,
             const std::string& url,
             const std::string& method,
             const std::string& path) {
  const transport::OperatorReply reply = Send(command, url, method, path);
  PrintBody(command, reply.body);
  if (reply.status < kMinErrorStatus)
    return kExitOk;
  fmt::print(stderr, "error: the node answered with status {}\n", reply.status);
  return kExitFailed;
}

// Configuration versions that a node reports.
struct NodeVersion {
  std::string url;
  std::string name;
  // Version in force, and the highest version that the node has seen.
  std::uint64_t in_force = 0;
  std::uint64_t highest_seen = 0;
  // Reason why there is no status; empty if there is one.
  std::string error;
};

NodeVersion ReadVersion(const Command& command, const std::string& url) {
  NodeVersion node;
  node.url = url;
  try {
    const auto reply = Send(command, url, "GET", "/v1/status");
    if (reply.status >= kMinErrorStatus) {
      node.error = fmt::format("status {}", reply.status);
      return node;
    }
    const YAML::Node status = YAML::Load(reply.body);
    node.name = status["name"].as<std::string>();
    node.in_force = status["configuration_version"].as<std::uint64_t>();
    node.highest_seen = status["highest_seen_version"].as<std::uint64_t>();
  } catch (const NodeUnreachableError& error) {
    node.error = error.what();
  } catch (const YAML::Exception& error) {
    node.error = fmt::format("no status: {}", error.what());
  }
  return node;
}

std::string JsonOf(const NodeVersion& node, std::uint64_t newest) {
  if (!node.error.empty())
    return fmt::format(R"({{"url": {}, "error": {}}})",
                       coordination::JsonString(node.url),
                       coordination::JsonString(node.error));
  return fmt::format(
      R"({{"url": {}, "name": {}, "configuration_version": {}, "behind": {}}})",
      coordination::JsonString(node.url), coordination::JsonString(node.name),
      node.in_force, newest - node.in_force);
}

std::string TextOf(const NodeVersion& node, std::uint64_t newest) {
  if (!node.error.empty())
    return fmt::format("{}: {}", node.url, node.error);
  return fmt::format("{} {}: version {}, {}", node.url, node.name,
                     node.in_force,
                     node.in_force == newest
                         ? "in force"
                         : fmt::format("{} behind", newest - node.in_force));
}

// Prints the version of each node and how far it is behind the highest version
// that any of them has in force or has seen. A node that does not answer is
// reported with its error and does not prevent the comparison of the others.
int CompareNodes(const Command& command, const std::vector<std::string>& urls) {
  std::vector<NodeVersion> nodes;
  nodes.reserve(urls.size());
  for (const std::string& url : urls)
    nodes.push_back(ReadVersion(command, url));
  std::uint64_t newest = 0;
  bool all_answered = true;
  for (const NodeVersion& node : nodes) {
    newest = std::max({newest, node.in_force, node.highest_seen});
    all_answered = all_answered && node.error.empty();
  }
  std::vector<std::string> lines;
  lines.reserve(nodes.size());
  for (const NodeVersion& node : nodes)
    lines.push_back(command.is_json() ? JsonOf(node, newest)
                                      : TextOf(node, newest));
  if (command.is_json())
    fmt::print(R"({{"newest_version": {}, "nodes": [{}]}})"
               "\n",
               newest, fmt::join(lines, ", "));
  else
    fmt::print("newest version: {}\n{}\n", newest, fmt::join(lines, "\n"));
  return all_answered ? kExitOk : kExitNodeUnreachable;
}

void AddNodeOptions(Command& command) {
  command.Add()("token-file", "File with the operator token",
                cxxopts::value<std::string>())(
      "certificate-file", "PEM file of the certificate to trust with https",
      cxxopts::value<std::string>())(
      "timeout", "Timeout of the call",
      cxxopts::value<std::string>()->default_value("5s"));
}

}  // namespace

int RunStatus(int argc, char** argv) {
  Command command("status",
                  "Prints the status of a node. With several nodes, prints the "
                  "configuration version of each and how far it is behind.",
                  "",
                  "  sesamespread status --node http://10.20.0.11:8084 "
                  "--token-file operator.token\n"
                  "  sesamespread status --node http://10.20.0.11:8084 --node "
                  "http://10.20.0.12:8084 --token-file operator.token\n"
                  "  sesamespread status --node https://10.20.0.11:8084 "
                  "--token-file operator.token --certificate-file node.pem\n");
  command.Add()("node", "URL of a node's operator port; may be repeated",
                cxxopts::value<std::vector<std::string>>());
  AddNodeOptions(command);
  return command.Run(argc, argv, [&command] {
    if (!command.Has("node"))
      throw UsageError("--node is missing");
    const auto urls = command.Get<std::vector<std::string>>("node");
    return urls.size() == 1
               ? CallNode(command, urls.front(), "GET", "/v1/status")
               : CompareNodes(command, urls);
  });
}

int RunDrain(int argc, char** argv) {
  Command command("drain",
                  "Takes the backend server next to a node out of service "
                  "without interrupting requests in progress.",
                  "",
                  "  sesamespread drain --node http://10.20.0.11:8084 "
                  "--token-file operator.token\n");
  command.Add()("node", "URL of the node's operator port",
                cxxopts::value<std::string>());
  AddNodeOptions(command);
  return command.Run(argc, argv, [&command] {
    return CallNode(command, command.Require("node"), "POST", "/v1/drain");
  });
}

}  // namespace sesamespread::tools
