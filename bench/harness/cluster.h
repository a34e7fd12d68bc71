/// \file
/// Runs a deployment as separate processes on this machine: the stand-in
/// platform, the nodes and the stand-in backend servers.
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

/// The backend servers of one service.
struct ServiceSpec {
  std::string name;
  int servers = 4;
  int slots = 100;
  int connections = 1000;
  double service_time_ms = 5;
  /// Comma-separated sub-calls of each request, in order, each as
  /// <service>[:<method>[:<path>]].
  std::string calls;
  /// Additional options of `standins backend`.
  std::vector<std::string> options;
};

struct ClusterSpec {
  /// Path of the inventory file that is applied to the platform.
  std::string inventory;
  std::vector<std::string> zones;
  std::vector<ServiceSpec> services;
  /// Value of the node setting `admission`: adaptive, fixed or none.
  std::string admission = "adaptive";
  /// YAML lines that are appended to the settings of each node.
  std::string node_settings;
  std::vector<std::string> platform_options;
  /// Whether the backend servers of each host record the requests that they
  /// start in JournalOf(host).
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

/// A running deployment. The destructor kills its processes. All files are
/// written to a new directory below the system's temporary directory, which
/// the destructor removes unless SESAMESPREAD_KEEP_LOGS is set.
class Cluster {
 public:
  /// Starts all processes and waits until each node lists all backend servers
  /// as serving.
  /// \throws std::runtime_error if a process does not start, or if the nodes
  /// are not ready after one minute.
  explicit Cluster(ClusterSpec spec);
  ~Cluster();

  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  std::vector<Host>& hosts() { return hosts_; }
  /// The hosts of \p service in the order in which they were started.
  std::vector<Host*> HostsOf(const std::string& service);

  /// Starts or restarts the node of \p host. Its seeds are up to three other
  /// nodes that have been started.
  void StartNode(Host& host);
  void StartBackend(Host& host);

  /// Waits until each host's node lists at least \p backend_servers backend
  /// servers as serving. \returns false after \p timeout.
  bool WaitReady(std::size_t backend_servers, std::chrono::seconds timeout);

  std::uint16_t platform_port() const { return platform_port_; }
  Process& platform() { return *platform_; }
  /// Injects the faults in \p json; see `Faults` in standins/platform.cc.
  void ControlPlatform(const std::string& json);
  /// Injects the faults in \p json; see `HandleControl` in
  /// standins/backend.cc.
  static void ControlBackend(const Host& host, const std::string& json);

  /// Sends an authorized GET to the operator port of \p host's node.
  static HttpResult GetFromOperatorPort(const Host& host,
                                        const std::string& target);
  /// Path of the file with the token for the operator ports.
  std::string TokenFile() const;

  /// Runs `sesamespread` with \p arguments for at most 10 minutes.
  ProgramResult RunVerb(std::vector<std::string> arguments);
  std::string PlatformUrl() const;

  /// Caller ports of all nodes as "127.0.0.1:<port>,...".
  std::string CallerTargets() const;

  /// Path of the file with a line "<started> <service> <trace id> <key> <path>"
  /// for each request that \p host's backend servers started. It includes the
  /// requests of earlier, killed instances.
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

/// The number after the first `"<name>":` in \p json; -1 if there is none.
double JsonNumber(const std::string& json, const std::string& name);

/// Number of non-overlapping occurrences of \p part in \p text.
std::size_t CountOccurrences(const std::string& text, const std::string& part);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_HARNESS_CLUSTER_H_
