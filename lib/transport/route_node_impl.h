/// \file
/// The components of a route node and the state that they share. The methods
/// are implemented in one file per subject: HTTP ports and peers
/// (route_node.cc), tables of the store (route_node_tables.cc), the local
/// backend server (route_node_backend.cc), and timers, signals and shutdown
/// (route_node_lifecycle.cc).
#ifndef SESAMESPREAD_TRANSPORT_ROUTE_NODE_IMPL_H_
#define SESAMESPREAD_TRANSPORT_ROUTE_NODE_IMPL_H_

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/coordination/backend_registry.h"
#include "sesamespread/coordination/document_freshness.h"
#include "sesamespread/coordination/leave_durability.h"
#include "sesamespread/coordination/route_table.h"
#include "sesamespread/coordination/routing.h"
#include "sesamespread/coordination/stall_detector.h"
#include "sesamespread/coordination/store_readers.h"
#include "sesamespread/coordination/table_watch.h"
#include "sesamespread/coordination/version_sources.h"
#include "sesamespread/transport/backend_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/entry_request_handler.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/http_client.h"
#include "sesamespread/transport/http_server.h"
#include "sesamespread/transport/inbound_calls.h"
#include "sesamespread/transport/memory_account.h"
#include "sesamespread/transport/metrics.h"
#include "sesamespread/transport/node_directory.h"
#include "sesamespread/transport/outbound_calls.h"
#include "sesamespread/transport/quota_gate.h"
#include "sesamespread/transport/random_seed.h"
#include "sesamespread/transport/route_node.h"
#include "sesamespread/transport/settings_file.h"

namespace sesamespread::transport {

/// Links on which the local leaves are requested once the store has supplied
/// those that it has.
constexpr int kMaxLeavePulls = 16;

/// An answer of one of the node's own ports.
HttpResponse JsonResponse(std::uint16_t status, std::string body);

/// Longest age of the document at which its API keys are accepted; zero if
/// there is no bound.
state::Duration MaxDocumentAge(const state::RouteNodeSettings& settings);

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
  // Calls from other nodes, executed at the local backend server.
  Handle Execute(protocol::CallRequest request,
                 state::Instant deadline,
                 AnswerCallback done) override;
  void Cancel(Handle handle) override { backend_executor_.Cancel(handle); }

  HttpServerOptions EntryServerOptions();
  // Counts and logs a request that the entry server answers itself.
  void OnRejection(const Rejection& rejection);
  void HandleReport(const std::shared_ptr<HttpExchange>& exchange);
  void HandleReady(const std::shared_ptr<HttpExchange>& exchange);

  // Control messages from other nodes. Reply sends a message back to the
  // sender.
  using Reply = std::function<void(const protocol::PeerMessage&)>;
  void OnPeerMessage(const protocol::PeerMessage& message, const Reply& reply);
  // Returns the messages that are sent first on each new link.
  std::vector<protocol::PeerMessage> InitialMessages();
  // A peer has \p version of the routes in force.
  void OnPeerRoutesVersion(state::NodeId node, std::uint64_t version);
  // Requests newer routes from a peer that has them, if one is known.
  void PullRoutes();

  // The operator's document. `source` is "store" or "peer", for the log.
  // Calls the store for it if that is this node's duty; called by each tick.
  void ReadOrWatchDocument();
  coordination::StoreReaderInput MakeStoreReaderInput(state::Instant now) const;
  void OnDocumentRows(const coordination::RowsReply& reply);
  // Logs a lost history of the store, and versions that went back.
  void LogPositionChange(const coordination::RowsReply& reply,
                         std::uint64_t watched_after);
  // An answer of the store or a peer states \p era; 0 if it states none. In a
  // later era than before, the last writes may be lost.
  void OnStoreEra(std::uint64_t era);
  // Writes the rows again that this node wrote and the store has forgotten.
  void ScheduleOwnRowsCheck(state::Duration pause);
  void CheckOwnRows();
  void OnOwnNodeRow(const coordination::RowsReply& reply);
  // \returns false if the document is invalid.
  bool ApplyDocument(const std::string& document, std::string_view source);
  // Records the reading of the store's clock in \p reply.
  void ReadStoreClock(const coordination::RowsReply& reply);
  void OnVersionNotice(const protocol::VersionNotice& notice,
                       const Reply& reply);
  void OnStoreClockPush(const protocol::StoreClockPush& push);
  // Logs when the age of the document passes its bound and when it is back.
  void CheckDocumentAge(state::Instant now);
  // Notifies some random peers of the version in force.
  void AnnounceVersion();
  // Sends \p message to enough random peers that all nodes receive it if each
  // receiver does the same.
  void ForwardToSomePeers(const protocol::PeerMessage& message);
  // As a reader of the store, notifies the nodes of the zone from time to time;
  // called by each tick.
  void RepeatAnnouncement(state::Instant now);
  protocol::VersionNotice MakeVersionNotice() const;
  void SendVersionNotice(state::NodeId node);
  std::uint64_t version() const { return routes_ ? routes_->version : 0; }

  // The table of nodes.
  void ReadNodeTable();
  void OnNodeRows(const coordination::RowsReply& reply);
  void ScheduleNodeTableRead(state::Duration pause);
  // Reads the table again after a failed call, with backoff.
  void RetryNodeTable(const std::string& detail);
  // Logs rows of other writers that were left out of \p reply.
  void LogLeftOutRows(const std::string& table,
                      const coordination::RowsReply& reply);
  state::Duration NodeTableInterval() const;
  // Writes this node's row, removes the rows \p replaced and reads the table.
  void WriteOwnNodeRow(const std::vector<std::string>& replaced);
  // Adds the nodes in \p reply to the directory. *replaced gets the keys of
  // rows of other nodes with this node's address. \returns true if this node's
  // own row is correct.
  bool AddNodes(const coordination::RowsReply& reply,
                std::vector<std::string>* replaced);

  // Tells the quotas of the nodes that are registered or known; called by each
  // tick.
  void UpdateQuotaNodes(state::Instant now);
  // Counts the nodes in \p reply for the quotas.
  void CountRegisteredNodes(const coordination::RowsReply& reply);

  // Backend servers that have left. A node that restarts must not send work to
  // a server whose leave it had confirmed before; some servers pass health
  // checks until they end.
  void RecoverLeaves();
  void ReadLeaveTable();
  void OnLeaveRows(const coordination::RowsReply& reply);
  std::string LeaveKeyPrefix() const;
  void OnBackendLeft(const protocol::BackendLeft& left, const Reply& reply);
  // Applies a leave that the store or a peer supplied.
  void ProcessLeave(const std::string& instance, std::uint64_t left_ms);
  // Whether stored_leaves_ has a row with \p key.
  bool HasStoredLeave(const std::string& key) const;
  // Stores the rows of stored_leaves_ whose keys are not in \p found.
  void StoreMissingLeaves(const std::set<std::string>& found);
  // Applies a leave of the local backend server, broadcasts and stores it.
  void RecordLeave(const state::BackendInstance& identity);
  void StoreLeave(const std::string& instance, std::uint64_t left_ms);
  // Answers the report of a leave once coordination::LeaveDurability has a
  // verdict.
  void ConfirmLeave(const std::string& instance,
                    std::shared_ptr<HttpExchange> exchange);
  void AnswerLeave(const std::string& instance);
  // Returns true once it is known which local instances have left, or the wait
  // for it has timed out.
  bool IsLeaveStateKnown() const {
    return leave_wait_expired_ ||
           (leaves_read_from_store_ && leave_received_from_peer_);
  }
  // The current backend server states in its answers that it leaves.
  void OnStatedLeave();
  // Holds a report that arrives before any other evidence of the server. It may
  // be older than a leave that this node has not received yet, or that nobody
  // has any more.
  void HoldFirstReport(const state::BackendReport& report);
  // Applies unconfirmed_report_ once the leave state is known and the server is
  // known to be running: by its health check, or by a second report.
  void ApplyUnconfirmedReport();

  // Requests that end backend servers.
  void BroadcastCrashReport(const protocol::CrashReport& report);
  void OnCrashReport(const protocol::CrashReport& report);

  // The backend server.
  void ApplyBackendChange();
  // Returns how long a leaving backend server still gets queued calls.
  state::Duration QueueDrainTime() const;
  void AnnounceBackendState();
  // Checks whether the backend server is up; called by each tick.
  void CheckBackend(state::Instant now);
  void MarkBackendDown(std::string_view reason);
  void MarkBackendUp(std::string_view reason);
  void StartHealthCheck();
  void OnHealthCheckResult(const HttpOutcome& outcome, state::Instant sent);
  std::string HealthCheckPath() const;

  void Tick();
  NodeGauges Gauges() const;
  void WaitForSignal();
  void ReloadSettings(std::string_view reason);
  void StartShutdown();
  void CheckShutdown(state::Instant now);
  void Log(LogLevel level, std::string_view event, const LogFields& fields) {
    log_.Write(ThreadRole::kData, level, event, fields);
  }

  state::RouteNodeSettings settings_;
  SettingsFile settings_file_;
  state::Instant last_settings_check_{};
  const PlatformInterface interface_;
  const std::uint64_t seed_ = RandomSeed();
  std::mt19937_64 random_{seed_};
  // Outlives the connections and links, which the context owns.
  MemoryAccount memory_{MemoryBound(settings_.max_held_bytes)};
  boost::asio::io_context context_{1};
  Metrics metrics_;
  EventLog log_;
  DeadlineQueue deadlines_{context_};
  boost::asio::signal_set signals_;
  coordination::Router router_;
  coordination::StallDetector stalls_;
  BackendExecutor backend_executor_;
  OutboundCalls outbound_;
  NodeDirectory directory_;
  QuotaGate quota_;
  EntryRequestHandler entry_;
  coordination::BackendRegistry registry_;
  std::unique_ptr<coordination::RowStore> store_;
  HttpClient health_client_;
  InboundCalls inbound_;
  HttpServer entry_server_;
  HttpServer report_server_;
  HttpServer ready_server_;

  // The latest era of the store that it or a peer has stated; 0 before.
  std::uint64_t store_era_ = 0;
  coordination::StoreClock store_clock_;
  // Replies whose reading of the store's clock could not be used.
  std::uint64_t store_clock_errors_ = 0;
  coordination::DocumentFreshness document_freshness_;
  // Whether the API keys of the document were accepted at the last check.
  bool were_keys_current_ = false;
  // The last request for another node's reading of the store's clock; the token
  // is 0 if none is pending.
  std::uint64_t store_clock_token_ = 0;
  state::Instant store_clock_pulled_at_{};
  coordination::TableWatch document_watch_;
  const coordination::StoreReaders store_readers_;
  bool is_store_reader_ = false;
  // Timers in deadlines_; 0 if none.
  DeadlineQueue::Id own_rows_check_ = 0;
  DeadlineQueue::Id node_table_read_timer_ = 0;
  // Whether this process has removed rows of other nodes with its address.
  bool has_removed_node_rows_ = false;
  // True while a call for the document is in progress.
  bool document_call_pending_ = false;
  // Number of the last of these calls. Replies to earlier ones are dropped.
  std::uint64_t document_call_number_ = 0;
  state::Instant last_announcement_{};
  std::shared_ptr<const state::RouteSet> routes_;
  // The text of routes_, sent to peers that pull it.
  std::string document_;
  coordination::VersionSources version_sources_;
  // Set once the table of nodes has been read.
  bool node_table_read_ = false;
  // The nodes in the table of nodes at its last read, and those that this node
  // has known since. A node that is unreachable for a minute is forgotten by
  // the directory, but keeps its share of the quotas.
  std::set<state::NodeId> quota_nodes_;
  state::Instant last_quota_nodes_update_{};
  // Peers that all records were requested from because the table had not been
  // read.
  int record_pulls_sent_ = 0;
  // Delay after the last failed read of the table of nodes; zero after a
  // successful one.
  state::Duration node_table_retry_delay_{0};

  // The latest leave beside each other node, kept for that node's restart.
  std::unordered_map<state::NodeId, protocol::BackendLeft> latest_leaves_;
  // A leave that this process has recorded, and the reports of it that wait for
  // an answer.
  struct RecordedLeave {
    RecordedLeave(std::uint64_t started, state::Instant now)
        : started_ms(started), recorded_at(now), durability(now) {}
    // Start time of the instance; 0 if unknown.
    std::uint64_t started_ms;
    state::Instant recorded_at;
    coordination::LeaveDurability durability;
    std::vector<std::shared_ptr<HttpExchange>> waiting;
  };
  // By instance. One server at a time runs beside this node, so that few leave
  // in the lifetime of a process.
  std::unordered_map<std::string, RecordedLeave> leaves_;
  // Time and key of the rows that this host has, or is to have, in the leave
  // table.
  std::set<std::pair<std::uint64_t, std::string>> stored_leaves_;
  // Delay after the last failed read of the leave table.
  state::Duration leave_table_retry_delay_{0};
  // Local leaves from before this process started are read from the store,
  // which may lack the latest one, and requested from peers, some of which may
  // have restarted themselves. After kLeaveStateTimeout the node continues with
  // what it has received.
  bool leaves_read_from_store_ = false;
  bool leave_received_from_peer_ = false;
  // Links on which the local leaves were requested.
  int leave_pulls_sent_ = 0;
  bool leave_wait_expired_ = false;
  // A report or the result of a health check that arrived before the leave
  // state was known.
  std::optional<state::BackendReport> unconfirmed_report_;
  // Sequence number and arrival of the first report held for the same instance,
  // and whether a later one has followed.
  std::uint64_t first_held_sequence_ = 0;
  state::Instant first_held_at_{};
  bool has_second_report_ = false;

  // Set while the backend server counts as down and health checks are made.
  bool is_backend_down_ = false;
  // Until then, health checks are made unless a report tells of the server.
  bool is_health_check_answered_ = false;
  bool health_check_pending_ = false;
  state::Instant next_health_check_{};

  const state::Instant started_at_ = Now();
  // When the last call for the document was made; initially the start of this
  // process.
  state::Instant last_document_call_ = started_at_;
  // When the last notice of a version from a node of the zone arrived;
  // initially the start of this process.
  state::Instant last_zone_notice_ = started_at_;
  // When the last successful call for the document ended; initially the start
  // of this process.
  state::Instant last_store_answer_ = started_at_;

  // The start of the shutdown, and the close of the ports during it.
  std::optional<state::Instant> shutdown_at_;
  std::optional<state::Instant> ports_closed_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_ROUTE_NODE_IMPL_H_
