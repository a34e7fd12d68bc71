/// \file
/// The verbs `status` and `drain`, which call a node's operator port.
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include "command.h"
#include "sesamespread/transport/operator_client.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

// First status of HTTP that stands for an error.
constexpr int kFirstErrorStatus = 400;

// "drain.state: serving", one line for each value. JSON is YAML as well.
void PrintFlat(const YAML::Node& node, const std::string& path) {
  if (node.IsScalar() || node.IsNull()) {
    fmt::print("{}: {}\n", path, node.IsNull() ? "" : node.Scalar());
    return;
  }
  const std::string prefix = path.empty() ? "" : path + ".";
  std::size_t index = 0;
  for (const auto& item : node) {
    if (node.IsMap())
      PrintFlat(item.second, prefix + item.first.Scalar());
    else
      PrintFlat(item, fmt::format("{}{}", prefix, index++));
  }
}

void PrintBody(const Command& command, const std::string& body) {
  if (command.is_json()) {
    fmt::print("{}\n", body);
    return;
  }
  try {
    PrintFlat(YAML::Load(body), "");
  } catch (const YAML::Exception&) {
    fmt::print("{}\n", body);
  }
}

int CallNode(const Command& command,
             const std::string& method,
             const std::string& path) {
  transport::OperatorCallOptions options;
  options.url = command.Require("node");
  options.timeout = command.GetDuration("timeout");
  if (command.Has("token-file"))
    options.token =
        transport::ReadTokenFile(command.Get<std::string>("token-file"));
  if (command.Has("certificate-file"))
    options.certificate_file = command.Get<std::string>("certificate-file");
  transport::OperatorReply reply;
  try {
    reply = transport::CallOperator(options, method, path);
  } catch (const state::Error&) {
    throw;
  } catch (const std::exception& error) {
    throw NodeUnreachable(error.what());
  }
  PrintBody(command, reply.body);
  if (reply.status < kFirstErrorStatus)
    return kExitOk;
  fmt::print(stderr, "error: the node answered with status {}\n", reply.status);
  return kExitFailed;
}

void AddNodeOptions(Command& command) {
  command.Add()("node", "URL of the node's operator port",
                cxxopts::value<std::string>())("token-file",
                                               "File with the operators' token",
                                               cxxopts::value<std::string>())(
      "certificate-file", "PEM file of the certificate to trust for https",
      cxxopts::value<std::string>())(
      "timeout", "Bound of the call",
      cxxopts::value<std::string>()->default_value("5s"));
}

}  // namespace

int RunStatus(int argc, char** argv) {
  Command command("status", "Prints the status of a node.", "",
                  "  sesamespread status --node http://10.20.0.11:8084 "
                  "--token-file operator.token\n"
                  "  sesamespread status --node https://10.20.0.11:8084 "
                  "--token-file operator.token --certificate-file node.pem\n");
  AddNodeOptions(command);
  return command.Run(argc, argv, [&command] {
    return CallNode(command, "GET", "/v1/status");
  });
}

int RunDrain(int argc, char** argv) {
  Command command("drain",
                  "Takes the backend server next to a node out of service "
                  "without interrupting requests in progress.",
                  "",
                  "  sesamespread drain --node http://10.20.0.11:8084 "
                  "--token-file operator.token\n");
  AddNodeOptions(command);
  return command.Run(argc, argv, [&command] {
    return CallNode(command, "POST", "/v1/drain");
  });
}

}  // namespace sesamespread::tools
