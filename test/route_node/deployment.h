/// \file
/// A deployment of route nodes as processes, with stand-ins of the store and
/// the backend servers in the test process.
#ifndef SESAMESPREAD_TEST_ROUTE_NODE_DEPLOYMENT_H_
#define SESAMESPREAD_TEST_ROUTE_NODE_DEPLOYMENT_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <future>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "harness/cluster.h"
#include "harness/fault_proxy.h"
#include "harness/http.h"
#include "harness/process.h"
#include "standin/backend.h"
#include "standin/store.h"

namespace sesamespread::test {

/// Time limit for a condition; only failing tests reach it.
constexpr std::chrono::seconds kTestTimeout{20};

#ifdef __SANITIZE_ADDRESS__
/// The shadow memory and the quarantine of the address sanitizer count as
/// memory of the node.
constexpr long kMaxNodeMemoryKib = std::numeric_limits<long>::max();
constexpr long kMaxPeakKib = std::numeric_limits<long>::max();
#else
/// Memory of the smallest hosts.
constexpr long kMaxNodeMemoryKib = 160 << 10;
/// Peak of the resident memory: two thirds of the memory of the smallest hosts.
constexpr long kMaxPeakKib = 107 << 10;
#endif

/// The peak of the resident memory in KiB; 0 if the process has ended.
long PeakKib(pid_t pid);

/// A host of the deployment: a backend server and the node beside it.
struct RouteHost {
  std::string name;
  std::string service;
  state::Endpoint entry;
  state::Endpoint reports;
  state::Endpoint ready;
  state::Endpoint peer;
  state::Endpoint backend_server;
  // Proxies from peers to the node, from the node to its backend server and
  // from the node to the store; null without
  // RouteDeploymentOptions::has_proxies.
  std::unique_ptr<bench::FaultProxy> peer_proxy;
  std::unique_ptr<bench::FaultProxy> backend_proxy;
  std::unique_ptr<bench::FaultProxy> store_proxy;
  std::unique_ptr<platform::standin::Backend> backend;
  std::unique_ptr<bench::Process> node;
};

struct RouteDeploymentOptions {
  /// Service of each host: `shop` or `stock`.
  std::vector<std::string> services = {"shop", "stock", "stock"};
  /// Puts proxies between the processes.
  bool has_proxies = false;
  /// Writes the standard output of the nodes to files, which Trace reads.
  bool keeps_logs = false;
  /// Rank of the routes to safe requests; orders have rank 0.
  unsigned read_priority = 0;
  /// Lines that are added to the settings of each node.
  std::string settings = {};
  /// See platform::standin::BackendOptions.
  unsigned slots = 8;
  std::uint64_t max_body_bytes = 1 << 20;
  std::size_t long_answer_bytes = 0;
};

/// Backend servers of `shop` and `stock` in one zone; each request to `shop`
/// makes a call to `stock`. The host shop.example is routed to `shop`, and the
/// hosts stock.example (safe) and orders.example (unsafe) to `stock`.
class RouteDeployment {
 public:
  explicit RouteDeployment(const RouteDeploymentOptions& options = {});
  ~RouteDeployment();

  std::vector<RouteHost>& hosts() { return hosts_; }
  RouteHost& shop() { return hosts_[0]; }
  RouteHost& stock(std::size_t index) { return hosts_.at(1 + index); }
  platform::standin::Store& store() { return store_; }

  void StartNode(RouteHost& host);
  /// Starts a backend server beside the node and stops the previous one.
  void StartBackend(RouteHost& host, const std::string& instance);
  /// Kills the node of \p host.
  void KillNode(RouteHost& host) { host.node.reset(); }
  /// Writes the routes to the store with \p version, without the routes to
  /// `stock` if \p with_stock is false.
  void PutRoutes(std::uint64_t version, bool with_stock = true);
  /// Whether \p version of the routes is in force at all running nodes.
  bool IsInForce(std::uint64_t version);
  /// Whether all running nodes are ready and each lists the servers of all
  /// nodes.
  bool IsServing();
  /// Waits up to kTestTimeout for IsServing. \returns whether it was reached.
  bool WaitUntilServing();

  /// Sends a request with \p id for the route of \p host to the node at \p
  /// entry. The caller's deadline is \p budget from now.
  bench::HttpResult Send(const RouteHost& entry,
                         const std::string& host,
                         const std::string& id,
                         std::chrono::milliseconds budget = kTestTimeout,
                         const std::string& path = "/item");
  /// Sends a request to the node of the first host on a new thread.
  std::future<bench::HttpResult> SendAsync(const std::string& host,
                                           const std::string& id);
  /// \returns how often the servers of `stock` ran the request.
  std::size_t CountStockExecutions(const std::string& id) const;
  /// Waits until a server of `stock` has started the request. \returns its
  /// host, owned by the deployment; null after kTestTimeout.
  RouteHost* WaitForStockExecution(const std::string& id);
  /// \returns a gauge or counter of a node; -1 if there is none.
  double MetricOf(const RouteHost& host, const std::string& name);
  bool IsReady(const RouteHost& host);
  /// \returns the output of `sesamespread trace` for a request and the logs of
  /// all nodes.
  std::string Trace(const std::string& id) const;
  /// Kills the nodes. \returns their logs and exit codes, -1 for a node that
  /// was running.
  std::string CollectDiagnostics();

 private:
  const RouteDeploymentOptions options_;
  const std::string address_ = bench::ProcessLoopbackAddress();
  platform::standin::Store store_{address_};
  std::string directory_;
  const bench::StandardOutput node_output_;
  // Null without proxies.
  std::unique_ptr<bench::ProxyThread> proxies_;
  std::vector<RouteHost> hosts_;
};

}  // namespace sesamespread::test

#endif  // SESAMESPREAD_TEST_ROUTE_NODE_DEPLOYMENT_H_
