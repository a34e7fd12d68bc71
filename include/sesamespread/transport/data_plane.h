/// \file
/// Everything that runs on the data thread of a node: the HTTP servers for
/// callers and for the local backend server, the links to other nodes, and the
/// routing, admission and execution of calls.
#ifndef SESAMESPREAD_TRANSPORT_DATA_PLANE_H_
#define SESAMESPREAD_TRANSPORT_DATA_PLANE_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/configuration.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/settings.h"
#include "sesamespread/transport/call_dispatcher.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/http_server.h"
#include "sesamespread/transport/inbound_calls.h"
#include "sesamespread/transport/local_executor.h"
#include "sesamespread/transport/metrics.h"
#include "sesamespread/transport/outbound_calls.h"
#include "sesamespread/transport/request_handler.h"

namespace sesamespread::transport {

/// A backend server counts as absent if its last announcement is older than
/// this. Backend servers announce themselves each second.
constexpr state::Duration kAnnouncementTimeout = std::chrono::seconds(4);

/// Load and state of the data thread, for the status page and metrics.
struct DataStatus {
  coordination::ServerLoad load;
  std::string service;
  state::BackendState backend_state = state::BackendState::kAbsent;
  std::size_t requests = 0;
  std::size_t dispatched = 0;
  std::size_t executing = 0;
  std::size_t links = 0;
  std::uint64_t unmatched_answers = 0;
  /// Services that shed requests, with their admission thresholds as reported
  /// in answers.
  std::vector<protocol::ServiceThreshold> thresholds;
  std::vector<coordination::ServerView> servers;
};

/// Events of the data thread for the other threads of the node. The methods run
/// on the data thread; the implementation forwards them to the other threads.
class DataPlaneEvents {
 public:
  virtual ~DataPlaneEvents() = default;

  virtual void OnBackendChanged(const std::string& service,
                                state::BackendState backend_state) = 0;
  virtual void OnSubscribe(const std::string& service) = 0;
  /// A peer sent a message for the control thread. \p reply sends an answer on
  /// the same link; it may be null, and may be called once, on the data thread.
  virtual void OnPeerControl(
      state::NodeId from,
      protocol::PeerMessage message,
      std::function<void(const protocol::PeerMessage&)> reply) = 0;
  virtual void OnClaims(coordination::ClaimTableRequest request) = 0;
};

/// Owns the objects of the data thread. All methods but the constructor run on
/// that thread.
class DataPlane {
 public:
  DataPlane(boost::asio::io_context& context,
            const state::NodeSettings& settings,
            state::NodeIncarnation self,
            Metrics& metrics,
            EventLog& log,
            DataPlaneEvents& events);
  ~DataPlane();

  DataPlane(const DataPlane&) = delete;
  DataPlane& operator=(const DataPlane&) = delete;

  std::uint16_t caller_port() const { return caller_server_->port(); }
  std::uint16_t backend_port() const { return backend_server_->port(); }
  std::uint16_t peer_port() const { return inbound_.port(); }

  void SetConfiguration(
      std::shared_ptr<const state::Configuration> configuration);
  void SetServers(const std::string& service,
                  std::vector<state::NodeRecord> servers,
                  std::size_t nodes_known);
  void OnClaimReply(const coordination::ClaimTableReply& reply);
  void SendControl(state::NodeId node,
                   const state::Endpoint& endpoint,
                   protocol::PeerMessage message);

  /// Marks the backend server as leaving: it receives no new work, and a leave
  /// notice is sent to every node with a link to this one.
  void StartLeaving();

  /// Accepts no more connections of callers. Requests and calls in flight
  /// continue.
  void StopAccepting();

  /// Answers all requests and calls in flight with kLeaving at once, for a
  /// forced shutdown.
  void FailAllInFlight();

  /// True if nothing is in flight and all answers have been written. Only
  /// meaningful after StopAccepting, which closes idle connections of callers.
  bool IsIdle() const;

  DataStatus Status();

 private:
  void HandleBackendPort(std::shared_ptr<HttpExchange> exchange);
  void HandleAnnouncement(const std::shared_ptr<HttpExchange>& exchange);
  void HandleLeave(const std::shared_ptr<HttpExchange>& exchange);
  void OnControl(state::NodeId from,
                 protocol::PeerMessage message,
                 std::function<void(const protocol::PeerMessage&)> reply);
  void UpdateBackendState();
  void Tick();

  const state::NodeSettings settings_;
  const state::NodeIncarnation self_;
  EventLog& log_;
  DataPlaneEvents& events_;
  DeadlineQueue deadlines_;
  std::shared_ptr<const state::Configuration> configuration_;
  OutboundCalls outbound_;
  LocalExecutor executor_;
  CallDispatcher dispatcher_;
  RequestHandler handler_;
  InboundCalls inbound_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> backend_server_;
  state::Instant last_announcement_;
  state::Instant last_tick_;
  // Set once the node shuts down, and never reset.
  bool stopping_ = false;
  // The state that was last reported to the control thread.
  state::BackendState reported_state_ = state::BackendState::kAbsent;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_DATA_PLANE_H_
