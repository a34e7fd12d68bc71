/// \file
/// Implementation of the deployment of route nodes.
#include "deployment.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "sesamespread/state/settings.h"

namespace sesamespread::test {
namespace {

namespace fs = std::filesystem;

/// The service whose backend servers call `stock`.
constexpr std::string_view kCallingService = "shop";

/// Below the kernel's range of ephemeral ports.
constexpr std::size_t kFirstPort = 7000;

/// Five listeners of the host and three proxies.
constexpr std::size_t kPortsPerHost = 8;

/// Number of bytes from the end of a node's output that a failed test prints.
constexpr std::size_t kMaxOutputTailBytes = 4096;

std::string MakeListenerJson(const std::string& name,
                             const std::string& kind,
                             const std::string& service,
                             unsigned priority) {
  return fmt::format(
      R"({{"host":"{0}.example","rules":[{{"name":"{0}","kind":"{1}",)"
      R"("goal":"1000ms","priority":{3},"match":{{"prefix":"/"}},)"
      R"("action":{{"service":"{2}","timeout":"5000ms","max_attempts":2}}}}]}})",
      name, kind, service, priority);
}

}  // namespace

long PeakKib(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0)
      return std::stol(line.substr(6));
  }
  return 0;
}

RouteDeployment::RouteDeployment(const RouteDeploymentOptions& options)
    : options_(options),
      node_output_(options.has_proxies || options.keeps_logs
                       ? bench::StandardOutput::kLog
                       : bench::StandardOutput::kPipe) {
  std::string pattern = fs::temp_directory_path() / "route_node_test.XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error(
        "cannot create a temporary directory for the settings");
  directory_ = pattern;
  if (options.has_proxies)
    proxies_ = std::make_unique<bench::ProxyThread>();
  for (std::size_t i = 0; i < options.services.size(); ++i) {
    RouteHost host;
    host.name = fmt::format("host-{}", i);
    host.service = options.services[i];
    auto port = static_cast<std::uint16_t>(kFirstPort + i * kPortsPerHost);
    for (state::Endpoint* endpoint : {&host.entry, &host.reports, &host.ready,
                                      &host.peer, &host.backend_server})
      *endpoint = {address_, port++};
    if (proxies_) {
      const auto proxy = [&](const state::Endpoint& target) {
        return std::make_unique<bench::FaultProxy>(
            *proxies_, state::Endpoint{address_, port++}, target);
      };
      host.peer_proxy = proxy(host.peer);
      host.backend_proxy = proxy(host.backend_server);
      host.store_proxy = proxy(store_.endpoint());
    }
    StartBackend(host, fmt::format("i-{}", i));
    hosts_.push_back(std::move(host));
  }
  PutRoutes(1);
  for (RouteHost& host : hosts_)
    StartNode(host);
}

RouteDeployment::~RouteDeployment() {
  for (RouteHost& host : hosts_)
    host.node.reset();
  std::error_code ignored;
  fs::remove_all(directory_, ignored);
}

void RouteDeployment::StartBackend(RouteHost& host,
                                   const std::string& instance) {
  platform::standin::BackendOptions options;
  options.instance = instance;
  options.service = host.service;
  options.listen = host.backend_server;
  options.advertise =
      host.backend_proxy ? host.backend_proxy->listen() : host.backend_server;
  options.entry = host.entry;
  options.reports = host.reports;
  options.downstream_host =
      host.service == kCallingService ? "stock.example" : "";
  options.slots = options_.slots;
  options.max_body_bytes = options_.max_body_bytes;
  options.long_answer_bytes = options_.long_answer_bytes;
  host.backend.reset();
  host.backend = std::make_unique<platform::standin::Backend>(options);
}

void RouteDeployment::StartNode(RouteHost& host) {
  const auto address_of = [](const std::unique_ptr<bench::FaultProxy>& proxy,
                             const state::Endpoint& direct) {
    return state::ToString(proxy ? proxy->listen() : direct);
  };
  const std::string settings = directory_ + "/" + host.name + ".yaml";
  std::ofstream(settings) << fmt::format(
      "name: {}\navailability_zone: zone-a\nservice: {}\n"
      "backend: {}\n"
      "listen:\n  entry: {}\n  reports: {}\n  ready: {}\n  peer: {}\n"
      "advertise: {}\nstore: {}\nshutdown_timeout: 6s\n{}",
      host.name, host.service,
      address_of(host.backend_proxy, host.backend_server),
      state::ToString(host.entry), state::ToString(host.reports),
      state::ToString(host.ready), state::ToString(host.peer),
      address_of(host.peer_proxy, host.peer),
      address_of(host.store_proxy, store_.endpoint()), options_.settings);
  host.node = std::make_unique<bench::Process>(
      std::vector<std::string>{bench::BinaryDir() + "/tools/sesamespread",
                               "route-node", "--settings", settings},
      directory_ + "/" + host.name + ".log", node_output_);
}

void RouteDeployment::PutRoutes(std::uint64_t version, bool with_stock) {
  std::string listeners =
      MakeListenerJson("shop", "safe", "shop", options_.read_priority);
  if (with_stock)
    listeners +=
        "," +
        MakeListenerJson("stock", "safe", "stock", options_.read_priority) +
        "," + MakeListenerJson("orders", "unsafe", "stock", 0);
  store_.Put(
      "op", "config",
      fmt::format(R"({{"version":"r{}","listeners":[{}],"clusters":[]}})",
                  version, listeners));
}

bool RouteDeployment::IsInForce(std::uint64_t version) {
  return std::all_of(hosts_.begin(), hosts_.end(), [&](const RouteHost& host) {
    return !host.node || MetricOf(host, "sesamespread_configuration_version") ==
                             static_cast<double>(version);
  });
}

bool RouteDeployment::IsReady(const RouteHost& host) {
  return bench::Get(host.ready, "/api/ready").status == 200;
}

double RouteDeployment::MetricOf(const RouteHost& host,
                                 const std::string& name) {
  const std::string body = bench::Get(host.ready, "/metrics").body;
  const std::size_t at = body.find("\n" + name + " ");
  return at == std::string::npos
             ? -1
             : std::strtod(body.c_str() + at + name.size() + 2, nullptr);
}

bool RouteDeployment::IsServing() {
  const auto count = static_cast<double>(hosts_.size());
  return std::all_of(hosts_.begin(), hosts_.end(), [&](const RouteHost& host) {
    return !host.node ||
           (IsReady(host) &&
            MetricOf(host, "sesamespread_servers_available") >= count);
  });
}

bool RouteDeployment::WaitUntilServing() {
  return bench::WaitFor([this] { return IsServing(); }, kTestTimeout);
}

bench::HttpResult RouteDeployment::Send(const RouteHost& entry,
                                        const std::string& host,
                                        const std::string& id,
                                        std::chrono::milliseconds budget,
                                        const std::string& path) {
  transport::HttpRequest request;
  request.method = host == "orders.example" ? "POST" : "GET";
  request.target = path;
  request.headers = {{"Host", host},
                     {"X-Attempt-Id", id},
                     {"X-Deadline-Ms", std::to_string(budget.count())}};
  return bench::Fetch(entry.entry, request, kTestTimeout);
}

std::future<bench::HttpResult> RouteDeployment::SendAsync(
    const std::string& host,
    const std::string& id) {
  return std::async(std::launch::async,
                    [this, host, id] { return Send(shop(), host, id); });
}

RouteHost* RouteDeployment::WaitForStockExecution(const std::string& id) {
  RouteHost* executor = nullptr;
  bench::WaitFor(
      [&] {
        for (RouteHost& host : hosts_) {
          if (host.service != kCallingService &&
              host.backend->CountExecutions(id) > 0)
            executor = &host;
        }
        return executor != nullptr;
      },
      kTestTimeout);
  return executor;
}

std::string RouteDeployment::Trace(const std::string& id) const {
  std::vector<std::string> arguments = {
      bench::BinaryDir() + "/tools/sesamespread", "trace", id};
  for (const RouteHost& host : hosts_)
    arguments.push_back(directory_ + "/" + host.name + ".log");
  return bench::RunProgram(arguments, directory_ + "/trace.log", kTestTimeout)
      .output;
}

std::string RouteDeployment::CollectDiagnostics() {
  std::string text;
  for (RouteHost& host : hosts_) {
    std::ifstream log(directory_ + "/" + host.name + ".log");
    text += fmt::format("{}:\n{}\n", host.name,
                        std::string(std::istreambuf_iterator<char>(log), {}));
    if (!host.node)
      continue;
    const int exit_code = host.node->Wait(std::chrono::milliseconds(0));
    host.node->Signal(SIGKILL);
    const std::string output = host.node->ReadAll();
    text += fmt::format(
        "exit code {}\n{}\n", exit_code,
        output.substr(output.size() -
                      std::min(output.size(), kMaxOutputTailBytes)));
  }
  return text;
}

std::size_t RouteDeployment::CountStockExecutions(const std::string& id) const {
  std::size_t runs = 0;
  for (const RouteHost& host : hosts_) {
    if (host.service != kCallingService)
      runs += host.backend->CountExecutions(id);
  }
  return runs;
}

}  // namespace sesamespread::test
