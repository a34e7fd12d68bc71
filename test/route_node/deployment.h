/// \file
/// A deployment of route nodes as processes, with stand-ins for the store and
/// the backend servers.
#ifndef SESAMESPREAD_TEST_ROUTE_NODE_DEPLOYMENT_H_
#define SESAMESPREAD_TEST_ROUTE_NODE_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <future>
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

/// Longest wait for a condition; reached only by a test that fails.
constexpr std::chrono::seconds kTestTimeout{20};

/// A host of the deployment: a backend server and the node beside it.
struct RouteHost {
  std::string name;
  std::string service;
  state::Endpoint entry;
  state::Endpoint reports;
  state::Endpoint ready;
  state::Endpoint peer;
  state::Endpoint backend_server;
  // Proxies on the way to the node, from the node to its backend server and
  // from the node to the store; none unless the deployment has proxies.
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
  /// Keeps what the nodes write to standard output, for Trace.
  bool keeps_logs = false;
};

/// Servers of `shop` and `stock` in one zone. Each run of `shop` calls
/// `stock`. Routes: host shop.example to `shop`, and stock.example, which is
/// safe, and orders.example, which is not, to `stock`.
class RouteDeployment {
 public:
  explicit RouteDeployment(const RouteDeploymentOptions& options = {});
  ~RouteDeployment();

  std::vector<RouteHost>& hosts() { return hosts_; }
  RouteHost& shop() { return hosts_[0]; }
  RouteHost& stock(std::size_t index) { return hosts_.at(1 + index); }
  platform::standin::Store& store() { return store_; }

  void StartNode(RouteHost& host);
  /// Starts a backend server beside the node, in place of the one before.
  void StartBackend(RouteHost& host, const std::string& instance);
  /// Kills the node of \p host.
  void KillNode(RouteHost& host) { host.node.reset(); }
  /// Puts the routes into the store under \p version; those to `stock` are
  /// left out unless \p with_stock.
  void PutRoutes(unsigned version, bool with_stock = true);
  /// Whether all nodes serve and know the servers of each other.
  bool IsServing();
  bool WaitUntilServing();

  bench::HttpResult Send(const RouteHost& entry,
                         const std::string& host,
                         const std::string& id,
                         std::chrono::milliseconds budget = kTestTimeout);
  /// Sends from the shop's node in a thread of its own.
  std::future<bench::HttpResult> SendLater(const std::string& host,
                                           const std::string& id);
  std::size_t StockRunsOf(const std::string& id) const;
  /// Waits until a server of `stock` runs the request. \returns its host; null
  /// after kTestTimeout.
  RouteHost* AwaitStockRun(const std::string& id);
  /// A gauge or counter of a node; -1 if there is none.
  double MetricOf(const RouteHost& host, const std::string& name);
  bool IsReady(const RouteHost& host);
  /// What `sesamespread trace` says of a request from the logs of all nodes.
  std::string Trace(const std::string& id) const;
  /// For each host its node's logs and exit code, -1 if it ran. Ends the nodes.
  std::string Diagnosis();

 private:
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
