/// \file
/// A deployment of separate processes on this machine: the stand-in platform,
/// nodes, and stand-in backend servers.
#ifndef SESAMESPREAD_BENCH_HARNESS_CLUSTER_H_
#define SESAMESPREAD_BENCH_HARNESS_CLUSTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "harness/http.h"
#include "harness/process.h"

namespace sesamespread::bench {

/// The servers of one service.
struct ServiceSpec {
  std::string name;
  int servers = 4;
  int slots = 100;
  int connections = 1000;
  double service_time_ms = 5;
  /// Comma-separated services that each request calls in turn.
  std::string calls;
  /// More options of `standins backend`.
  std::vector<std::string> options;
};

/// A deployment.
struct ClusterSpec {
  /// Inventory file that is applied to the platform.
  std::string inventory;
  std::vector<std::string> zones;
  std::vector<ServiceSpec> services;
  /// adaptive, fixed or none.
  std::string admission = "adaptive";
  /// More lines of YAML for each node's settings.
  std::string node_settings;
  std::vector<std::string> platform_options;
  /// Whether each backend server writes what it starts to JournalOf(host).
  bool journals = false;
};

/// Ports of a running node.
struct Ports {
  std::uint16_t caller = 0;
  std::uint16_t backend = 0;
  std::uint16_t peer = 0;
  std::uint16_t gossip = 0;
  std::uint16_t operators = 0;
};

/// A node and the backend server beside it.
struct Host {
  std::string name;
  std::string zone;
  const ServiceSpec* service = nullptr;
  Ports ports;
  std::uint16_t backend_port = 0;
  std::unique_ptr<Process> node;
  std::unique_ptr<Process> backend;
};

/// Runs a deployment until it goes out of scope. Everything is written below a
/// directory of its own in the temporary folder.
class Cluster {
 public:
  /// Starts everything and waits until each node knows each backend server.
  /// \throws std::runtime_error if that takes longer than a minute.
  explicit Cluster(ClusterSpec spec);
  ~Cluster();

  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  std::vector<Host>& hosts() { return hosts_; }
  /// The hosts of \p service in order of their start.
  std::vector<Host*> HostsOf(const std::string& service);

  /// Starts the node of \p host (again), with seeds of the others.
  void StartNode(Host& host);
  void StartBackend(Host& host);

  /// Waits until each running node is ready and knows \p backend_servers of
  /// them. \returns false after \p timeout.
  bool WaitReady(std::size_t backend_servers, std::chrono::seconds timeout);

  std::uint16_t platform_port() const { return platform_port_; }
  Process& platform() { return *platform_; }
  /// Changes how the platform behaves; see `standins platform`.
  void ControlPlatform(const std::string& json);
  /// Changes how a backend server behaves; see `standins backend`.
  static void ControlBackend(const Host& host, const std::string& json);

  /// Asks the operators' port of \p host's node.
  static HttpResult GetFromOperatorPort(const Host& host,
                                        const std::string& target);
  /// File with the token of the operators' ports.
  std::string TokenFile() const;

  /// Runs `sesamespread` with \p arguments.
  ProgramResult RunVerb(std::vector<std::string> arguments);
  std::string PlatformUrl() const;

  /// "127.0.0.1:port,..." of the caller ports.
  std::string CallerTargets() const;

  /// File with a line "<started> <service> <trace id> <key> <path>" for each
  /// request that \p host's backend servers started, killed ones included.
  std::string JournalOf(const Host& host) const;

  const std::string& directory() const { return directory_; }

 private:
  void StartPlatform();
  void ApplyInventory();
  std::string SettingsOf(const Host& host) const;

  ClusterSpec spec_;
  std::string directory_;
  std::unique_ptr<Process> platform_;
  std::uint16_t platform_port_ = 0;
  std::vector<Host> hosts_;
};

/// Polls \p condition every 10 ms. \returns false after \p timeout.
bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds timeout);

/// The number after `"name":` in \p json; -1 if it is not there.
double JsonNumber(const std::string& json, const std::string& name);

/// Non-overlapping occurrences of \p part in \p text.
std::size_t CountOccurrences(const std::string& text, const std::string& part);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_HARNESS_CLUSTER_H_
