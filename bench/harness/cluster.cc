/// \file
/// Runs a deployment as separate processes on this machine.
#include "harness/cluster.h"

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "harness/http.h"

namespace sesamespread::bench {
namespace {

constexpr std::chrono::seconds kStartTimeout{60};
constexpr std::chrono::milliseconds kPortLineTimeout{10'000};

std::string MakeDirectory() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "sesamespread-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    throw std::runtime_error("cannot create a temporary directory");
  return pattern;
}

constexpr char kOperatorToken[] = "bench-token";

// Reads the line "listening <port>" that a stand-in prints once it listens.
std::uint16_t ReadPort(Process& process, const std::string& what) {
  const std::string line = process.ReadLine(kPortLineTimeout);
  constexpr std::string_view kPrefix = "listening ";
  if (!line.starts_with(kPrefix))
    throw std::runtime_error(what + " did not print its port; first line: '" +
                             line + "'");
  return static_cast<std::uint16_t>(std::stoi(line.substr(kPrefix.size())));
}

}  // namespace

bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

double JsonNumber(const std::string& json, const std::string& name) {
  const std::string field = "\"" + name + "\":";
  const std::size_t position = json.find(field);
  if (position == std::string::npos)
    return -1;
  return std::strtod(json.c_str() + position + field.size(), nullptr);
}

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t position = text.find(part); position != std::string::npos;
       position = text.find(part, position + part.size()))
    ++count;
  return count;
}

Cluster::Cluster(ClusterSpec spec)
    : spec_(std::move(spec)), directory_(MakeDirectory()) {
  std::ofstream(TokenFile()) << kOperatorToken << "\n";
  StartPlatform();
  ApplyInventory();
  std::size_t index = 0;
  for (const ServiceSpec& service : spec_.services) {
    for (int i = 0; i < service.servers; ++i) {
      Host host;
      host.service = &service;
      host.name = fmt::format("{}-{}", service.name, i + 1);
      host.zone = spec_.zones[index++ % spec_.zones.size()];
      hosts_.push_back(std::move(host));
    }
  }
  for (Host& host : hosts_)
    StartNode(host);
  for (Host& host : hosts_)
    StartBackend(host);
  if (!WaitReady(hosts_.size(), kStartTimeout))
    throw std::runtime_error("the nodes were not ready within 60 s; logs in " +
                             directory_);
}

Cluster::~Cluster() {
  for (Host& host : hosts_) {
    host.backend.reset();
    host.node.reset();
  }
  platform_.reset();
  if (!getenv("SESAMESPREAD_KEEP_LOGS")) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

std::vector<Host*> Cluster::HostsOf(const std::string& service) {
  std::vector<Host*> found;
  for (Host& host : hosts_) {
    if (host.service->name == service)
      found.push_back(&host);
  }
  return found;
}

void Cluster::StartPlatform() {
  std::vector<std::string> arguments = {BinaryDir() + "/tools/standins",
                                        "platform", "--port", "0"};
  arguments.insert(arguments.end(), spec_.platform_options.begin(),
                   spec_.platform_options.end());
  platform_ =
      std::make_unique<Process>(arguments, directory_ + "/platform.log");
  platform_port_ = ReadPort(*platform_, "the platform");
}

void Cluster::ApplyInventory() {
  const ProgramResult result =
      RunVerb({"apply", "--platform", PlatformUrl(), "--who", "bench", "--why",
               "start of the run", spec_.inventory});
  if (result.exit_code != 0)
    throw std::runtime_error("apply failed: " + result.output);
}

std::string Cluster::SettingsOf(const Host& host) const {
  std::string seeds;
  int count = 0;
  for (const Host& other : hosts_) {
    if (other.ports.gossip == 0 || other.name == host.name || ++count > 3)
      continue;
    seeds += fmt::format("{}\"127.0.0.1:{}\"", seeds.empty() ? "" : ", ",
                         other.ports.gossip);
  }
  return fmt::format(
      "name: {}\navailability_zone: {}\nlisten:\n"
      "  caller: \"127.0.0.1:{}\"\n  backend: \"127.0.0.1:{}\"\n"
      "  peer: \"127.0.0.1:{}\"\n  gossip: \"127.0.0.1:{}\"\n"
      "  operator: \"127.0.0.1:{}\"\nplatform:\n  url: \"{}\"\n"
      "  timeout: 1s\nseeds: [{}]\nadmission: {}\n"
      "operator:\n  token_file: {}\n{}",
      host.name, host.zone, host.ports.caller, host.ports.backend,
      host.ports.peer, host.ports.gossip, host.ports.operators, PlatformUrl(),
      seeds, spec_.admission, TokenFile(), spec_.node_settings);
}

void Cluster::StartNode(Host& host) {
  const std::string path = fmt::format("{}/{}.yaml", directory_, host.name);
  std::ofstream(path) << SettingsOf(host);
  host.node = std::make_unique<Process>(
      std::vector<std::string>{BinaryDir() + "/tools/sesamespread", "node",
                               "--settings", path},
      fmt::format("{}/{}.log", directory_, host.name));
  const std::string line = host.node->ReadLine(kPortLineTimeout);
  const auto port = [&line](const char* name) {
    return static_cast<std::uint16_t>(JsonNumber(line, name));
  };
  if (line.empty())
    throw std::runtime_error(host.name + " did not print its ports; logs in " +
                             directory_);
  host.ports = {port("caller"), port("backend"), port("peer"), port("gossip"),
                port("operator")};
}

void Cluster::StartBackend(Host& host) {
  const ServiceSpec& service = *host.service;
  std::vector<std::string> arguments = {
      BinaryDir() + "/tools/standins",
      "backend",
      "--id",
      host.name,
      "--service",
      service.name,
      "--slots",
      std::to_string(service.slots),
      "--connections",
      std::to_string(service.connections),
      "--node",
      fmt::format("127.0.0.1:{}", host.ports.backend),
      "--service-time-ms",
      fmt::format("{}", service.service_time_ms)};
  if (!service.calls.empty()) {
    arguments.push_back("--calls");
    arguments.push_back(service.calls);
  }
  if (spec_.journals) {
    arguments.push_back("--journal");
    arguments.push_back(JournalOf(host));
  }
  arguments.insert(arguments.end(), service.options.begin(),
                   service.options.end());
  host.backend = std::make_unique<Process>(
      arguments, fmt::format("{}/{}-backend.log", directory_, host.name));
  host.backend_port = ReadPort(*host.backend, host.name + " backend server");
}

bool Cluster::WaitReady(std::size_t backend_servers,
                        std::chrono::seconds timeout) {
  return WaitFor(
      [this, backend_servers] {
        for (const Host& host : hosts_) {
          if (!host.node)
            continue;
          const HttpResult status = GetFromOperatorPort(host, "/v1/status");
          if (status.status != 200 ||
              CountOccurrences(status.body,
                               "\"backend_state\":\"serving\",\"liveness\"") <
                  backend_servers)
            return false;
        }
        return true;
      },
      timeout);
}

void Cluster::ControlPlatform(const std::string& json) {
  Post(platform_port_, "/control", json);
}

void Cluster::ControlBackend(const Host& host, const std::string& json) {
  Post(host.backend_port, "/-/control", json);
}

HttpResult Cluster::GetFromOperatorPort(const Host& host,
                                        const std::string& target) {
  transport::HttpRequest request;
  request.target = target;
  request.headers = {
      {"Authorization", std::string("Bearer ") + kOperatorToken}};
  return Fetch(host.ports.operators, request);
}

std::string Cluster::TokenFile() const {
  return directory_ + "/operator.token";
}

ProgramResult Cluster::RunVerb(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), BinaryDir() + "/tools/sesamespread");
  return RunProgram(arguments, directory_ + "/verbs.log",
                    std::chrono::minutes(10));
}

std::string Cluster::JournalOf(const Host& host) const {
  return fmt::format("{}/{}-journal.txt", directory_, host.name);
}

std::string Cluster::PlatformUrl() const {
  return fmt::format("http://127.0.0.1:{}", platform_port_);
}

std::string Cluster::CallerTargets() const {
  std::string targets;
  for (const Host& host : hosts_) {
    if (host.node)
      targets += fmt::format("{}127.0.0.1:{}", targets.empty() ? "" : ",",
                             host.ports.caller);
  }
  return targets;
}

}  // namespace sesamespread::bench
