/// \file
/// Command line of the stand-in for a backend server.
#include "backend_options.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <stdexcept>

namespace {

sesamespread::state::Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    throw std::invalid_argument("not an address <IP>:<port>: " + text);
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

/// Parses "<service>[:<method>[:<path>]]".
BackendCall ParseCall(const std::string& text) {
  BackendCall call;
  const std::size_t method = text.find(':');
  call.service = text.substr(0, method);
  if (method == std::string::npos)
    return call;
  const std::size_t path = text.find(':', method + 1);
  call.method = text.substr(method + 1, path - method - 1);
  if (path != std::string::npos)
    call.path = text.substr(path + 1);
  return call;
}

BackendOptions OptionsFromParsed(const cxxopts::ParseResult& parsed) {
  const auto seconds = [&](const char* name) {
    return BackendOptions::Seconds(parsed[name].as<double>() / 1000);
  };
  BackendOptions options;
  options.service = parsed["service"].as<std::string>();
  options.id = parsed["id"].as<std::string>();
  options.listen = ParseEndpoint(parsed["listen"].as<std::string>());
  if (parsed.count("node") > 0)
    options.node = ParseEndpoint(parsed["node"].as<std::string>());
  options.slots = parsed["slots"].as<unsigned>();
  options.connections = parsed["connections"].as<unsigned>();
  options.service_time = seconds("service-time-ms");
  options.exponential =
      parsed["distribution"].as<std::string>() == "exponential";
  if (parsed.count("calls") > 0) {
    for (const auto& call : parsed["calls"].as<std::vector<std::string>>())
      options.calls.push_back(ParseCall(call));
  }
  options.parallel_calls = parsed["parallel-calls"].as<bool>();
  options.drop_headers = parsed["drop-headers"].as<bool>();
  options.call_retries = parsed["call-retries"].as<int>();
  options.cold_start = seconds("cold-start-ms");
  options.lag = seconds("lag-ms");
  options.answer_bytes = parsed["answer-bytes"].as<std::size_t>();
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.journal = parsed["journal"].as<std::string>();
  return options;
}

}  // namespace

std::optional<BackendOptions> ParseBackendOptions(int argc, char** argv) {
  cxxopts::Options options("standins backend",
                           "Stand-in for a backend server.");
  // clang-format off
  options.add_options()
      ("service", "name of the service", cxxopts::value<std::string>()->default_value("service"))
      ("id", "name of this server", cxxopts::value<std::string>()->default_value("backend"))
      ("listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))
      ("node", "IP:port of the node's backend port", cxxopts::value<std::string>())
      ("slots", "requests served at full speed", cxxopts::value<unsigned>()->default_value("16"))
      ("connections", "maximum connections", cxxopts::value<unsigned>()->default_value("200"))
      ("service-time-ms", "mean service time at full speed", cxxopts::value<double>()->default_value("0"))
      ("distribution", "exponential or fixed", cxxopts::value<std::string>()->default_value("exponential"))
      ("calls", "service[:method[:path]],...", cxxopts::value<std::vector<std::string>>())
      ("parallel-calls", "make all calls at once")
      ("drop-headers", "do not forward traceparent and baggage")
      ("call-retries", "repeats of a failed call", cxxopts::value<int>()->default_value("0"))
      ("cold-start-ms", "time until full speed", cxxopts::value<double>()->default_value("0"))
      ("lag-ms", "age of the load report", cxxopts::value<double>()->default_value("0"))
      ("answer-bytes", "minimum size of an answer", cxxopts::value<std::size_t>()->default_value("0"))
      ("seed", "seed of the service times", cxxopts::value<std::uint64_t>()->default_value("1"))
      ("journal", "append a line per started request to this file", cxxopts::value<std::string>()->default_value(""))
      ("help", "print this text");
  // clang-format on
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::fputs(options.help().c_str(), stdout);
    return std::nullopt;
  }
  return OptionsFromParsed(parsed);
}
