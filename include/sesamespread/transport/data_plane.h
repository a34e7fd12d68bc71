/// \file
/// The data thread of a node: callers' HTTP, links to other nodes, the local
/// backend server, and the decisions about them.
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

/// A backend server that has not announced itself for this long is gone.
/// Backend servers announce themselves each second.
constexpr state::Duration kAnnounceTimeout = std::chrono::seconds(4);

/// Load of a node, for status and metrics.
struct DataStatus {
  coordination::ServerLoad load;
  std::string service;
  state::BackendState backend_state = state::BackendState::kAbsent;
  std::size_t requests = 0;
  std::size_t dispatched = 0;
  std::size_t executing = 0;
  std::size_t links = 0;
  std::uint64_t unmatched_answers = 0;
  /// Services below their full threshold, as carried back by answers.
  std::vector<protocol::ServiceThreshold> thresholds;
  std::vector<coordination::ServerView> servers;
};

/// What the data thread tells the other duties. Called on the data thread; the
/// implementation passes it on through rings.
class DataPlaneEvents {
 public:
  virtual ~DataPlaneEvents() = default;

  virtual void OnBackendChanged(const std::string& service,
                                state::BackendState backend_state) = 0;
  virtual void OnSubscribe(const std::string& service) = 0;
  /// A message of the control thread's; \p reply may be called once, on the
  /// data thread, and may be null.
  virtual void OnPeerControl(
      state::NodeId from,
      protocol::PeerMessage message,
      std::function<void(const protocol::PeerMessage&)> reply) = 0;
  virtual void OnClaims(coordination::ClaimTableRequest request) = 0;
};

/// Owns everything on the data thread. All calls are made on that thread, but
/// for the constructor.
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

  /// The backend server leaves: no new work for it, and every node that has a
  /// link to this one is told directly.
  void StartLeaving();

  /// Closes the ports for new work; what is in flight goes on.
  void StopAccepting();

  /// Ends everything in flight with its final result.
  void FailAllInFlight();

  /// True if nothing is in flight and no byte of an answer waits. Only
  /// meaningful after StopAccepting, which closes idle connections of callers.
  bool IsIdle() const;

  DataStatus Status();

 private:
  void HandleBackendPort(std::shared_ptr<HttpExchange> exchange);
  void HandleAnnounce(const std::shared_ptr<HttpExchange>& exchange);
  void HandleLeave(const std::shared_ptr<HttpExchange>& exchange);
  void OnControl(state::NodeId from,
                 protocol::PeerMessage message,
                 std::function<void(const protocol::PeerMessage&)> reply);
  void CheckBackend();
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
  state::Instant last_announce_;
  state::Instant last_tick_;
  // Set for good once the node shuts down.
  bool stopping_ = false;
  // The state that was last told to the control thread.
  state::BackendState told_state_ = state::BackendState::kAbsent;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_DATA_PLANE_H_
