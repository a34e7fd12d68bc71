/// \file
/// The parts of a route node and the state that its duties share: calls of
/// other nodes, tables of the store, the backend server, time and signals. Each
/// duty has a file of its own.
#ifndef SESAMESPREAD_TRANSPORT_ROUTE_NODE_IMPL_H_
#define SESAMESPREAD_TRANSPORT_ROUTE_NODE_IMPL_H_

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/backend_registry.h"
#include "sesamespread/coordination/route_table.h"
#include "sesamespread/coordination/routing.h"
#include "sesamespread/coordination/table_watch.h"
#include "sesamespread/coordination/version_sources.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/entry_calls.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/http_client.h"
#include "sesamespread/transport/http_server.h"
#include "sesamespread/transport/inbound_calls.h"
#include "sesamespread/transport/metrics.h"
#include "sesamespread/transport/node_directory.h"
#include "sesamespread/transport/outbound_calls.h"
#include "sesamespread/transport/random_seed.h"
#include "sesamespread/transport/route_node.h"
#include "sesamespread/transport/server_door.h"
#include "sesamespread/transport/settings_file.h"

namespace sesamespread::transport {

class RouteNode::Impl : private CallExecutor {
 public:
  Impl(const state::RouteNodeSettings& settings,
       std::string settings_path,
       PlatformInterface interface);
  ~Impl() override { *alive_ = false; }

  RouteNodePorts ports() const {
    return {entry_server_.port(), report_server_.port(), ready_server_.port(),
            inbound_.port()};
  }

  void Run();

 private:
  // Calls from other nodes.
  Handle Execute(protocol::CallRequest request,
                 state::Instant deadline,
                 AnswerCallback done) override;
  void Cancel(Handle handle) override { door_.Cancel(handle); }

  void HandleReport(const std::shared_ptr<HttpExchange>& exchange);
  void HandleReady(const std::shared_ptr<HttpExchange>& exchange);

  // What other nodes say. `reply` goes back to the sender.
  using Reply = std::function<void(const protocol::PeerMessage&)>;
  void OnPeerMessage(const protocol::PeerMessage& message, const Reply& reply);
  // Sent first on each link.
  std::vector<protocol::PeerMessage> Greeting();
  void OnVersion(state::NodeId node, std::uint64_t version);
  // Asks a node that has newer routes for them, if there is one.
  void PullRoutes();

  // The operator's document.
  void CallDocumentTable();
  void OnDocumentRows(const coordination::RowsReply& reply);
  void Adopt(const std::string& document, std::string_view source);
  // Tells some nodes of the version in force.
  void AnnounceVersion();
  std::uint64_t version() const { return routes_ ? routes_->version : 0; }

  // The table of nodes.
  void ReadNodeTable();
  void OnNodeRows(const coordination::RowsReply& reply);
  void RetryNodeTable(state::Duration pause);
  // \returns whether this node's own row is right.
  bool LearnNodes(const coordination::RowsReply& reply,
                  std::vector<std::string>* replaced);

  // Backend servers that have left. A node that restarts must not give work to
  // a server whose leave it had confirmed; some of them pass their health
  // checks until they end.
  void ReadLeftTable();
  void OnLeftRows(const coordination::RowsReply& reply);
  void OnBackendLeft(const protocol::BackendLeft& left);
  void TakeLeave(const std::string& instance, std::uint64_t left_ms);
  void RememberLeave(const std::string& instance);
  void StoreLeave(const std::string& instance, std::uint64_t left_ms);
  bool KnowsLeft() const {
    return has_waited_for_left_ || (store_told_left_ && node_told_left_);
  }
  void ConfirmBackend();

  // The backend server.
  void ApplyBackend();
  // For how long a backend server that leaves still gets queued calls.
  state::Duration QueuedWorkTime() const;
  void AnnounceServer();
  void CheckBackend(state::Instant now);
  void MarkBackendDown(std::string_view reason);
  void MarkBackendUp(std::string_view reason);
  void CheckHealth();
  void OnHealth(const HttpOutcome& outcome);
  std::string HealthPath() const;

  void Tick();
  NodeGauges Gauges() const;
  void AwaitSignal();
  void ReloadSettings(std::string_view reason);
  void StartShutdown();
  void CheckShutdown(state::Instant now);
  void Log(LogLevel level, std::string_view event, const LogFields& fields) {
    log_.Write(ThreadRole::kData, level, event, fields);
  }

  state::RouteNodeSettings settings_;
  SettingsFile settings_file_;
  state::Instant settings_checked_{};
  const PlatformInterface interface_;
  const std::uint64_t seed_ = RandomSeed();
  std::mt19937_64 random_{seed_};
  boost::asio::io_context context_{1};
  Metrics metrics_;
  EventLog log_;
  DeadlineQueue deadlines_{context_};
  boost::asio::signal_set signals_;
  coordination::Router router_;
  ServerDoor door_;
  OutboundCalls outbound_;
  NodeDirectory directory_;
  EntryCalls entry_;
  coordination::BackendRegistry registry_;
  std::unique_ptr<coordination::RowStore> store_;
  HttpClient health_client_;
  InboundCalls inbound_;
  HttpServer entry_server_;
  HttpServer report_server_;
  HttpServer ready_server_;

  coordination::TableWatch document_watch_;
  std::shared_ptr<const state::RouteSet> routes_;
  std::string document_;
  coordination::VersionSources version_sources_;
  // Set once the table of nodes was read.
  bool has_node_table_ = false;
  // Nodes that were asked for the others instead.
  int records_pulled_ = 0;
  // Zero before the first failed call for the table of nodes.
  state::Duration table_pause_{0};

  // The newest run that has left, beside each other node.
  std::unordered_map<state::NodeId, protocol::BackendLeft> left_beside_;
  // Which runs have left here is asked of the store, which may lack the last
  // one, and of another node, which may have restarted itself. After a while
  // the answer is taken as it is.
  bool store_told_left_ = false;
  bool node_told_left_ = false;
  bool has_waited_for_left_ = false;
  // A health check or a report that came before that.
  std::optional<state::BackendReport> unconfirmed_;

  // Set while calls to the backend server fail and health checks are made.
  bool is_backend_down_ = false;
  bool is_health_pending_ = false;
  state::Instant next_health_{};

  const state::Instant started_at_ = Now();
  // The store's last answer, or the start.
  state::Instant store_answered_ = started_at_;

  std::optional<state::Instant> shutdown_at_;
  std::optional<state::Instant> closed_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_ROUTE_NODE_IMPL_H_
