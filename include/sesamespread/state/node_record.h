/// \file
/// What nodes know of each other.
#ifndef SESAMESPREAD_STATE_NODE_RECORD_H_
#define SESAMESPREAD_STATE_NODE_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "sesamespread/state/ids.h"

namespace sesamespread::state {

/// An IP address in numeric form and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Liveness of a node as seen by its peers.
enum class Liveness : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

/// State of the backend server beside a node.
enum class BackendState : std::uint8_t {
  /// No backend server has announced itself.
  kAbsent = 0,
  /// Announced less than its cold start ago.
  kStarting = 1,
  kServing = 2,
  /// Gets no new work.
  kLeaving = 3,
};

std::string_view ToString(Liveness liveness);
std::string_view ToString(BackendState state);

/// A node and the backend server beside it, as spread by gossip.
struct NodeRecord {
  NodeId node = 0;
  Incarnation incarnation = 0;
  /// Raised by the node itself for each change of its own record, and to refute
  /// a suspicion. Orders records of one incarnation.
  std::uint32_t sequence = 0;
  std::string name;
  std::string zone;
  Endpoint peer;
  Endpoint gossip;
  /// Service of the backend server; empty while kAbsent.
  std::string service;
  BackendState backend_state = BackendState::kAbsent;
  Liveness liveness = Liveness::kAlive;

  auto operator<=>(const NodeRecord&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_NODE_RECORD_H_
