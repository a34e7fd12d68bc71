/// \file
/// Implements the directory of peers and their backend servers.
#include "sesamespread/transport/node_directory.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

#include "sesamespread/coordination/link_selection.h"
#include "sesamespread/coordination/node_table.h"
#include "sesamespread/state/settings.h"

namespace sesamespread::transport {
namespace {

/// Delay before the next attempt to connect to a node: the base times 2^n after
/// the n-th attempt, up to the maximum. A node that restarts is reachable again
/// after about a second.
constexpr state::Duration kReconnectBaseDelay = std::chrono::milliseconds(200);
constexpr state::Duration kMaxReconnectDelay = std::chrono::milliseconds(1600);

/// A node is removed after this many failed attempts, which take about a
/// minute.
constexpr unsigned kMaxConnectAttempts = 40;

/// After this many failed attempts, another server of the same service and zone
/// is selected in addition.
constexpr unsigned kMaxAttemptsOfCandidate = 3;

// Whether a link to the node can be opened.
bool HasUsableAddress(const state::NodeRecord& record) {
  return record.peer.port != 0 &&
         coordination::ParseAddress(record.peer.address).has_value();
}

}  // namespace

NodeDirectory::NodeDirectory(state::NodeRecord self,
                             OutboundCalls& outbound,
                             coordination::Router& router,
                             EventLog& log)
    : self_(std::move(self)), outbound_(outbound), router_(router), log_(log) {}

void NodeDirectory::SetOwnServer(const std::string& service,
                                 state::BackendState state) {
  const std::string old_service = self_.service;
  self_.service = service;
  self_.backend_state = state;
  ++self_.sequence;
  if (old_service != service)
    UpdateRouter(old_service);
  UpdateRouter(service);
}

void NodeDirectory::OnDirectRecord(const state::NodeRecord& record) {
  if (record.node == self_.node || !HasUsableAddress(record))
    return;
  const auto found = nodes_.find(record.node);
  if (found != nodes_.end()) {
    const state::NodeRecord& known = found->second.record;
    const bool is_older = std::pair(record.incarnation, record.sequence) <=
                          std::pair(known.incarnation, known.sequence);
    if (is_older)
      return;
  }
  StoreRecord(record);
}

void NodeDirectory::OnIndirectRecord(const state::NodeRecord& record) {
  if (record.node == self_.node || record.peer == self_.peer ||
      !HasUsableAddress(record))
    return;
  const auto found = nodes_.find(record.node);
  if (found != nodes_.end() &&
      (linked_nodes_.count(record.node) > 0 ||
       found->second.record.incarnation >= record.incarnation))
    return;
  // If two nodes claim the same address, it belongs to the one with an open
  // link, and otherwise to the one with the later incarnation.
  for (const auto& [id, node] : nodes_) {
    if (id != record.node && node.record.peer == record.peer &&
        (linked_nodes_.count(id) > 0 ||
         node.record.incarnation >= record.incarnation))
      return;
  }
  state::NodeRecord indirect = record;
  // The node sends the state of its backend server itself once the link is
  // open.
  indirect.backend_state = state::BackendState::kAbsent;
  indirect.sequence = 0;
  StoreRecord(indirect);
}

void NodeDirectory::StoreRecord(const state::NodeRecord& record) {
  // An address belongs to one node. The node that this record names replaces
  // every other one with its address.
  std::vector<state::NodeId> replaced;
  for (const auto& [id, node] : nodes_) {
    if (id != record.node && node.record.peer == record.peer)
      replaced.push_back(id);
  }
  for (const state::NodeId id : replaced) {
    const std::string service = nodes_.at(id).record.service;
    linked_nodes_.erase(id);
    nodes_.erase(id);
    outbound_.RemoveNode(id);
    UpdateRouter(service);
  }
  Node& node = nodes_[record.node];
  const state::NodeRecord old = std::exchange(node.record, record);
  if (old.peer != record.peer)
    node.connect_attempts = 0;
  is_selection_outdated_ = is_selection_outdated_ || old.peer != record.peer ||
                           old.zone != record.zone ||
                           old.service != record.service;
  if (old.service != record.service ||
      old.backend_state != record.backend_state) {
    log_.Write(ThreadRole::kData, LogLevel::kInfo, "server_changed",
               {{"of_node", record.name},
                {"zone", record.zone},
                {"service", record.service},
                {"state", std::string(state::ToString(record.backend_state))},
                {"sequence", std::to_string(record.sequence)}});
  }
  if (!old.service.empty() && old.service != record.service)
    UpdateRouter(old.service);
  UpdateRouter(record.service);
}

void NodeDirectory::OnLinkChange(state::NodeId id,
                                 bool is_open,
                                 const std::string& reason) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end())
    return;
  Node& node = found->second;
  if (node.connect_attempts >= kMaxAttemptsOfCandidate)
    is_selection_outdated_ = true;
  node.connect_attempts = 0;
  node.next_attempt = {};
  if (is_open) {
    // The link may have been opened by a message to the node. From here on, it
    // is kept, and checked while it is idle.
    OpenLink(node.record);
  }
  const bool changed =
      is_open ? linked_nodes_.insert(id).second : linked_nodes_.erase(id) > 0;
  if (!changed)
    return;
  log_.Write(ThreadRole::kData, LogLevel::kInfo,
             is_open ? "node_connected" : "node_lost",
             {{"peer", node.record.name},
              {"endpoint", state::ToString(node.record.peer)},
              {"reason", reason}});
  UpdateRouter(node.record.service);
}

void NodeDirectory::OpenMissingLinks(state::Instant now) {
  SelectLinks();
  std::vector<state::NodeId> unreachable;
  for (auto& [id, node] : nodes_) {
    if (selected_nodes_.count(id) == 0 || linked_nodes_.count(id) > 0 ||
        now < node.next_attempt)
      continue;
    if (++node.connect_attempts == kMaxAttemptsOfCandidate)
      is_selection_outdated_ = true;
    if (node.connect_attempts > kMaxConnectAttempts) {
      unreachable.push_back(id);
      continue;
    }
    const unsigned doublings = std::min(node.connect_attempts - 1, 3U);
    node.next_attempt = now + std::min(kReconnectBaseDelay * (1 << doublings),
                                       kMaxReconnectDelay);
    OpenLink(node.record);
  }
  for (const state::NodeId id : unreachable) {
    log_.Write(ThreadRole::kData, LogLevel::kInfo, "node_forgotten",
               {{"peer", nodes_.at(id).record.name},
                {"attempts", std::to_string(kMaxConnectAttempts)}});
    nodes_.erase(id);
    is_selection_outdated_ = true;
    outbound_.RemoveNode(id);
  }
}

void NodeDirectory::SelectLinks() {
  if (!std::exchange(is_selection_outdated_, false))
    return;
  std::vector<coordination::LinkCandidate> candidates;
  selected_nodes_.clear();
  for (const auto& [id, node] : nodes_) {
    // Attempts to reach a node go on, but it does not count as a candidate.
    if (node.connect_attempts >= kMaxAttemptsOfCandidate &&
        linked_nodes_.count(id) == 0)
      selected_nodes_.insert(id);
    else
      candidates.push_back({id, node.record.zone, node.record.service});
  }
  for (const state::NodeId id : coordination::SelectLinks(
           {self_.node, self_.zone, self_.service}, candidates))
    selected_nodes_.insert(id);
}

void NodeDirectory::OpenLink(const state::NodeRecord& record) {
  // Links between zones are compressed: traffic between zones costs more than
  // the CPU time.
  outbound_.Open(record.node, record.peer, record.zone != self_.zone);
}

state::Endpoint NodeDirectory::EndpointOf(state::NodeId node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? state::Endpoint{} : found->second.record.peer;
}

std::vector<state::NodeRecord> NodeDirectory::Records() const {
  std::vector<state::NodeRecord> records = {self_};
  for (const auto& [id, node] : nodes_)
    records.push_back(node.record);
  return records;
}

std::vector<state::NodeId> NodeDirectory::SampleLinkedNodes(
    std::size_t count,
    std::mt19937_64& random) const {
  std::vector<state::NodeId> chosen;
  std::sample(linked_nodes_.begin(), linked_nodes_.end(),
              std::back_inserter(chosen), count, random);
  return chosen;
}

std::vector<state::NodeId> NodeDirectory::ZonePeers(Peers peers) const {
  std::vector<state::NodeId> nodes;
  for (const auto& [id, node] : nodes_) {
    if (node.record.zone == self_.zone &&
        (peers == Peers::kKnown || linked_nodes_.count(id) > 0))
      nodes.push_back(id);
  }
  return nodes;
}

std::vector<std::size_t> NodeDirectory::zone_sizes() const {
  std::map<std::string_view, std::size_t> sizes = {{self_.zone, 1}};
  for (const auto& [id, node] : nodes_)
    ++sizes[node.record.zone];
  std::vector<std::size_t> result;
  result.reserve(sizes.size());
  for (const auto& [zone, size] : sizes)
    result.push_back(size);
  return result;
}

std::size_t NodeDirectory::available_servers() const {
  const auto accepts_work = [](const state::NodeRecord& record) {
    return record.backend_state == state::BackendState::kStarting ||
           record.backend_state == state::BackendState::kServing;
  };
  std::size_t servers = accepts_work(self_) ? 1 : 0;
  for (const state::NodeId node : linked_nodes_) {
    const auto found = nodes_.find(node);
    if (found != nodes_.end() && accepts_work(found->second.record))
      ++servers;
  }
  return servers;
}

void NodeDirectory::UpdateRouter(const std::string& service) {
  if (service.empty())
    return;
  std::vector<state::NodeRecord> servers;
  if (self_.service == service)
    servers.push_back(self_);
  for (const auto& [id, node] : nodes_) {
    if (node.record.service == service && linked_nodes_.count(id) > 0)
      servers.push_back(node.record);
  }
  coordination::SubsetParameters subset_parameters;
  // No subsetting: every node may call every server, since a backend server
  // gets connections only from the node beside it.
  subset_parameters.connections = UINT32_MAX;
  router_.SetServers(service, servers, subset_parameters, Now());
}

}  // namespace sesamespread::transport
