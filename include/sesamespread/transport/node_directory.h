/// \file
/// The known peers of a route node: their addresses, the state of their links,
/// and the backend servers that they announce.
#ifndef SESAMESPREAD_TRANSPORT_NODE_DIRECTORY_H_
#define SESAMESPREAD_TRANSPORT_NODE_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/routing.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/outbound_calls.h"

namespace sesamespread::transport {

/// Maintains links to the peers that coordination::SelectLinks selects, and
/// passes the servers that can be called to the router. The router gets a
/// server only while the link to its node is open, so that no request waits for
/// a connection to a host that does not answer.
class NodeDirectory {
 public:
  NodeDirectory(state::NodeRecord self,
                OutboundCalls& outbound,
                coordination::Router& router,
                EventLog& log);

  /// Returns this node's own record with the newest sequence number.
  const state::NodeRecord& self() const { return self_; }
  /// Updates the local backend server in this node's record.
  void SetOwnServer(const std::string& service, state::BackendState state);

  /// Stores a record received from the node that it describes, unless a newer
  /// one is known.
  void OnDirectRecord(const state::NodeRecord& record);

  /// Stores a record that another node or the store supplied. It may be
  /// outdated, so the state of the backend server in it is ignored, and the
  /// record is used only if no link to its node is open and its incarnation is
  /// newer than the known one.
  void OnIndirectRecord(const state::NodeRecord& record);

  /// Handles a link to \p node that has opened, or has closed for \p reason.
  void OnLinkChange(state::NodeId node,
                    bool is_open,
                    const std::string& reason);

  /// Connects to the selected peers without an open link whose next attempt is
  /// due, and removes peers after the last attempt. To be called several times
  /// a second.
  void OpenMissingLinks(state::Instant now);

  /// Returns the peer port of \p node, or a default Endpoint if it is unknown.
  state::Endpoint EndpointOf(state::NodeId node) const;

  /// Returns all records, this node's own first.
  std::vector<state::NodeRecord> Records() const;

  std::size_t open_links() const { return linked_nodes_.size(); }
  bool is_linked(state::NodeId node) const {
    return linked_nodes_.count(node) > 0;
  }
  /// Whether \p node is known and in this node's availability zone.
  bool is_in_own_zone(state::NodeId node) const {
    const auto found = nodes_.find(node);
    return found != nodes_.end() && found->second.record.zone == self_.zone;
  }
  /// Which peers ZonePeers returns: all known ones or those with open links.
  enum class Peers : std::uint8_t { kKnown, kLinked };
  /// Returns the peers in this node's availability zone.
  std::vector<state::NodeId> ZonePeers(Peers peers) const;
  /// Returns the number of known nodes of each availability zone, including
  /// this one.
  std::vector<std::size_t> zone_sizes() const;
  /// Returns at most \p count of the peers with open links, chosen at random.
  std::vector<state::NodeId> SampleLinkedNodes(std::size_t count,
                                               std::mt19937_64& random) const;
  /// Returns the number of known peers, without this node.
  std::size_t known_nodes() const { return nodes_.size(); }

  /// Returns the number of backend servers of all services that accept new
  /// work, including the local one.
  std::size_t available_servers() const;

 private:
  struct Node {
    state::NodeRecord record;
    // Connection attempts since the link last opened or closed or the address
    // changed, and when the next one is due.
    unsigned connect_attempts = 0;
    state::Instant next_attempt{};
  };

  void StoreRecord(const state::NodeRecord& record);
  void OpenLink(const state::NodeRecord& record);
  // Selects the peers to link to, after a change of the records or of the peers
  // that can be reached.
  void SelectLinks();
  void UpdateRouter(const std::string& service);

  state::NodeRecord self_;
  OutboundCalls& outbound_;
  coordination::Router& router_;
  EventLog& log_;
  std::unordered_map<state::NodeId, Node> nodes_;
  std::set<state::NodeId> linked_nodes_;
  // The peers to which links are kept; valid if !is_selection_outdated_.
  std::set<state::NodeId> selected_nodes_;
  bool is_selection_outdated_ = true;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_NODE_DIRECTORY_H_
