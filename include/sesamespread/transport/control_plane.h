/// \file
/// The control plane of a node: membership by gossip, replication of the
/// configuration, and reads of the platform's table. All of it runs on the
/// control thread.
#ifndef SESAMESPREAD_TRANSPORT_CONTROL_PLANE_H_
#define SESAMESPREAD_TRANSPORT_CONTROL_PLANE_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sesamespread/coordination/configuration_replica.h"
#include "sesamespread/coordination/membership.h"
#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/settings.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/gossip_socket.h"

namespace sesamespread::transport {

/// One known node, for the status.
struct NodeStatus {
  state::NodeRecord record;
  bool live = false;
};

/// State of the control plane, for the status and the metrics.
struct ControlStatus {
  std::uint64_t configuration_version = 0;
  std::uint64_t configuration_digest = 0;
  std::uint64_t highest_seen_version = 0;
  bool isolated = false;
  bool platform_reader = false;
  std::size_t nodes_known = 0;
  std::size_t nodes_live = 0;
  std::uint64_t gossip_bytes_sent = 0;
  std::uint64_t gossip_bytes_received = 0;
  std::vector<NodeStatus> nodes;
};

/// Receives the control plane's notifications and requests. All methods are
/// called on the control thread.
class ControlPlaneEvents {
 public:
  virtual ~ControlPlaneEvents() = default;

  /// \p configuration has come into force.
  virtual void OnConfiguration(
      std::shared_ptr<const state::Configuration> configuration) = 0;
  /// \p servers are the live nodes with a backend server of \p service; they
  /// replace those of the previous call. \p nodes_known counts all known nodes.
  virtual void OnServers(const std::string& service,
                         std::vector<state::NodeRecord> servers,
                         std::size_t nodes_known) = 0;
  /// \p message is to be sent to \p node, which listens at \p endpoint.
  virtual void OnSendControl(state::NodeId node,
                             const state::Endpoint& endpoint,
                             protocol::PeerMessage message) = 0;
  /// The head row of the platform's table has to be read; the result goes to
  /// ControlPlane::OnPlatformHead.
  virtual void OnHeadReadNeeded() = 0;
  /// The versions that \p read_request names have to be read from the platform;
  /// the result goes to ControlPlane::OnPlatformDelta.
  virtual void OnPlatformReadNeeded(
      const coordination::PlatformReadRequest& read_request) = 0;
  /// Another process uses this node's name with a newer incarnation, or the
  /// clock went backwards between two starts: this process must stop.
  virtual void OnSuperseded() = 0;
};

/// Runs Membership and ConfigurationReplica, and connects them to the gossip
/// socket and to the other threads. All methods except gossip_port() must be
/// called on the control thread, or before it starts.
class ControlPlane {
 public:
  ControlPlane(boost::asio::io_context& context,
               const state::NodeSettings& settings,
               state::Incarnation incarnation,
               std::uint16_t peer_port,
               EventLog& log,
               ControlPlaneEvents& events);

  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  std::uint16_t gossip_port() const { return socket_->port(); }

  /// Updates the state of the local backend server in this node's record.
  void SetBackend(const std::string& service, state::BackendState state);

  /// Requests ControlPlaneEvents::OnServers for \p service now and after each
  /// change of its servers.
  void Subscribe(const std::string& service);

  /// Handles a control message from another node. \p reply sends a message back
  /// to the sender; it may be null.
  void OnPeerControl(state::NodeId from,
                     const protocol::PeerMessage& message,
                     const std::function<void(protocol::PeerMessage)>& reply);

  /// Results of the platform thread's reads. If \p full is set, \p delta holds
  /// the whole configuration.
  void OnPlatformHead(state::ConfigurationVersion version,
                      std::uint64_t digest);
  void OnPlatformDelta(const state::ConfigurationDelta& delta, bool full);

  /// Notifies the other nodes that this process stops.
  void AnnounceDeparture();

  /// Returns the current state with at most \p max_nodes of the known nodes.
  ControlStatus Status(std::size_t max_nodes) const;

 private:
  void Tick();
  void ProcessChanges();
  void SendDatagrams();
  void HandleEvents();
  void HandleEvent(const coordination::MembershipEvent& event);
  void PullConfiguration(
      const coordination::ConfigurationPullRequest& pull_request);
  void PullRecords(const state::NodeRecord& from, std::uint32_t from_index);
  void OnRecordsPush(state::NodeId from, const protocol::NodeRecordsPush& push);
  void PublishConfiguration();
  void PublishServers();
  bool IsPlatformReader() const;
  void LogMembershipEvent(const char* event,
                          const coordination::MembershipEvent& details);

  const state::NodeSettings settings_;
  EventLog& log_;
  ControlPlaneEvents& events_;
  DeadlineQueue deadlines_;
  std::unique_ptr<GossipSocket> socket_;
  std::unique_ptr<coordination::Membership> membership_;
  coordination::ConfigurationReplica replica_;
  // Services whose servers the data thread has subscribed to, and services with
  // a change that has not been published yet.
  std::set<std::string, std::less<>> subscribed_services_;
  std::set<std::string, std::less<>> dirty_services_;
  state::ConfigurationVersion published_version_ = 0;
  // When the pull of node records in progress times out; nullopt if there is
  // none.
  std::optional<state::Instant> records_pull_deadline_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_CONTROL_PLANE_H_
