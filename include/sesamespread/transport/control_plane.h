/// \file
/// The control thread of a node: gossip and the configuration in force.
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

/// One known node, for status.
struct NodeStatus {
  state::NodeRecord record;
  bool live = false;
};

/// What the control thread knows, for status and metrics.
struct ControlStatus {
  std::uint64_t configuration_version = 0;
  std::uint64_t configuration_digest = 0;
  std::uint64_t highest_seen_version = 0;
  bool isolated = false;
  bool reader = false;
  std::size_t nodes_known = 0;
  std::size_t nodes_live = 0;
  std::uint64_t gossip_bytes_sent = 0;
  std::uint64_t gossip_bytes_received = 0;
  std::vector<NodeStatus> nodes;
};

/// What the control thread tells the other duties; called on the control
/// thread.
class ControlPlaneEvents {
 public:
  virtual ~ControlPlaneEvents() = default;

  virtual void OnConfiguration(
      std::shared_ptr<const state::Configuration> configuration) = 0;
  virtual void OnServers(const std::string& service,
                         std::vector<state::NodeRecord> servers,
                         std::size_t nodes_known) = 0;
  virtual void OnSendControl(state::NodeId node,
                             const state::Endpoint& endpoint,
                             protocol::PeerMessage message) = 0;
  /// Reads the head row of the platform's table.
  virtual void OnReadHead() = 0;
  virtual void OnReadPlatform(
      const coordination::PlatformReadRequest& order) = 0;
  /// This process must not go on with its incarnation.
  virtual void OnSuperseded() = 0;
};

/// Owns everything on the control thread.
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

  void SetBackend(const std::string& service, state::BackendState state);
  void Subscribe(const std::string& service);

  /// A control message from another node; \p reply may be null.
  void OnPeerControl(state::NodeId from,
                     const protocol::PeerMessage& message,
                     const std::function<void(protocol::PeerMessage)>& reply);

  /// Replies of the platform thread.
  void OnPlatformHead(state::ConfigurationVersion version,
                      std::uint64_t digest);
  void OnPlatformDelta(const state::ConfigurationDelta& delta, bool full);

  void AnnounceDeparture();

  /// At most \p max_nodes of the known nodes.
  ControlStatus Status(std::size_t max_nodes) const;

 private:
  void Tick();
  void AfterChange();
  void SendDatagrams();
  void HandleEvents();
  void HandleEvent(const coordination::MembershipEvent& event);
  void Pull(const coordination::ConfigurationPullRequest& order);
  void PullRecords(const state::NodeRecord& from, std::uint32_t from_index);
  void OnRecords(state::NodeId from, const protocol::NodeRecordsPush& push);
  void PublishConfiguration();
  void PublishServers();
  bool IsReader() const;
  void LogMembership(const char* event,
                     const coordination::MembershipEvent& details);

  const state::NodeSettings settings_;
  EventLog& log_;
  ControlPlaneEvents& events_;
  DeadlineQueue deadlines_;
  std::unique_ptr<GossipSocket> socket_;
  std::unique_ptr<coordination::Membership> membership_;
  coordination::ConfigurationReplica replica_;
  // Services whose servers the data thread wants, and those with a change that
  // it has not been told.
  std::set<std::string, std::less<>> subscribed_;
  std::set<std::string, std::less<>> dirty_;
  state::ConfigurationVersion published_version_ = 0;
  // When the pull of node records in progress counts as failed.
  std::optional<state::Instant> records_pull_deadline_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_CONTROL_PLANE_H_
