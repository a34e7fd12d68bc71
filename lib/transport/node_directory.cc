/// \file
/// Links to other nodes and the servers beside them.
#include "sesamespread/transport/node_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "sesamespread/state/settings.h"

namespace sesamespread::transport {
namespace {

/// Pause between attempts to reach a node, doubled up to the second one. A node
/// that restarts is back after about a second.
constexpr state::Duration kFirstPause = std::chrono::milliseconds(200);
constexpr state::Duration kLongestPause = std::chrono::milliseconds(1600);

/// Attempts after which a node counts as gone for good: about a minute.
constexpr unsigned kMaxAttempts = 40;

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

void NodeDirectory::OnRecord(const state::NodeRecord& record) {
  if (record.node == self_.node)
    return;
  const auto found = nodes_.find(record.node);
  if (found != nodes_.end()) {
    const state::NodeRecord& known = found->second.record;
    const bool is_older = std::pair(record.incarnation, record.sequence) <=
                          std::pair(known.incarnation, known.sequence);
    if (is_older)
      return;
  }
  Put(record);
}

void NodeDirectory::OnHint(const state::NodeRecord& record) {
  if (record.node == self_.node || record.peer == self_.peer)
    return;
  const auto found = nodes_.find(record.node);
  if (found != nodes_.end() &&
      (open_.count(record.node) > 0 ||
       found->second.record.incarnation >= record.incarnation))
    return;
  // Of two nodes with one address the later one has it.
  for (const auto& [id, node] : nodes_) {
    if (id != record.node && node.record.peer == record.peer &&
        (open_.count(id) > 0 || node.record.incarnation >= record.incarnation))
      return;
  }
  state::NodeRecord hint = record;
  // The node itself says what its backend server does once the link works.
  hint.backend_state = state::BackendState::kAbsent;
  hint.sequence = 0;
  Put(hint);
}

void NodeDirectory::Put(const state::NodeRecord& record) {
  // An address belongs to one node: the one that was heard of last.
  std::vector<state::NodeId> replaced;
  for (const auto& [id, node] : nodes_) {
    if (id != record.node && node.record.peer == record.peer)
      replaced.push_back(id);
  }
  for (const state::NodeId id : replaced) {
    const std::string service = nodes_.at(id).record.service;
    open_.erase(id);
    nodes_.erase(id);
    outbound_.Forget(id);
    UpdateRouter(service);
  }
  Node& node = nodes_[record.node];
  const state::NodeRecord old = std::exchange(node.record, record);
  if (old.peer != record.peer)
    node.attempts = 0;
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

void NodeDirectory::OnLink(state::NodeId id,
                           bool is_open,
                           const std::string& reason) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end())
    return;
  Node& node = found->second;
  node.attempts = 0;
  node.next_attempt = {};
  const bool changed = is_open ? open_.insert(id).second : open_.erase(id) > 0;
  if (!changed)
    return;
  log_.Write(ThreadRole::kData, LogLevel::kInfo,
             is_open ? "node_connected" : "node_lost",
             {{"peer", node.record.name},
              {"endpoint", state::ToString(node.record.peer)},
              {"reason", reason}});
  UpdateRouter(node.record.service);
}

void NodeDirectory::OpenLinks(state::Instant now) {
  std::vector<state::NodeId> gone;
  for (auto& [id, node] : nodes_) {
    if (open_.count(id) > 0 || now < node.next_attempt)
      continue;
    if (++node.attempts > kMaxAttempts) {
      gone.push_back(id);
      continue;
    }
    const unsigned doublings = std::min(node.attempts, 3U);
    node.next_attempt =
        now + std::min(kFirstPause * (1 << doublings), kLongestPause);
    // Bytes between zones are dearer than processor time.
    outbound_.Open(id, node.record.peer, node.record.zone != self_.zone);
  }
  for (const state::NodeId id : gone) {
    log_.Write(ThreadRole::kData, LogLevel::kInfo, "node_forgotten",
               {{"peer", nodes_.at(id).record.name},
                {"attempts", std::to_string(kMaxAttempts)}});
    nodes_.erase(id);
    outbound_.Forget(id);
  }
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

std::vector<state::NodeId> NodeDirectory::AnyOpen(
    std::size_t count,
    std::mt19937_64& random) const {
  std::vector<state::NodeId> chosen;
  std::sample(open_.begin(), open_.end(), std::back_inserter(chosen), count,
              random);
  return chosen;
}

std::size_t NodeDirectory::available_servers() const {
  const auto takes_work = [](const state::NodeRecord& record) {
    return record.backend_state == state::BackendState::kStarting ||
           record.backend_state == state::BackendState::kServing;
  };
  std::size_t servers = takes_work(self_) ? 1 : 0;
  for (const state::NodeId node : open_) {
    const auto found = nodes_.find(node);
    if (found != nodes_.end() && takes_work(found->second.record))
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
    if (node.record.service == service && open_.count(id) > 0)
      servers.push_back(node.record);
  }
  coordination::ServiceShape shape;
  // Every node may call every server: the connections of backend servers come
  // from the nodes beside them only.
  shape.connections = UINT32_MAX;
  router_.SetServers(service, servers, shape, Now());
}

}  // namespace sesamespread::transport
