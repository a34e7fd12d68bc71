/// \file
/// Records of nodes and their backend servers, which nodes exchange by gossip.
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

/// Liveness of a node as its peers observe it.
enum class Liveness : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

/// State of the backend server on a node's host.
enum class BackendState : std::uint8_t {
  /// No backend server has announced itself.
  kAbsent = 0,
  /// Announced itself, and its cold start is not over.
  kStarting = 1,
  kServing = 2,
  /// Accepts no new work.
  kLeaving = 3,
};

std::string_view ToString(Liveness liveness);
std::string_view ToString(BackendState state);

/// A node and the backend server on its host, as disseminated by gossip.
struct NodeRecord {
  NodeId node = 0;
  Incarnation incarnation = 0;
  /// Incremented only by the node itself, for each change of its record and to
  /// refute a suspicion. Orders the records of one incarnation.
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
