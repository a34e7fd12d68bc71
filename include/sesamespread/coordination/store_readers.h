/// \file
/// Selects the nodes that watch the operator's document in the store for all
/// others.
#ifndef SESAMESPREAD_COORDINATION_STORE_READERS_H_
#define SESAMESPREAD_COORDINATION_STORE_READERS_H_

#include <cstddef>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Options of StoreReaders.
struct StoreReaderOptions {
  /// Readers in each availability zone. With two, a zone still has one while
  /// the other restarts or is cut off from the store.
  std::size_t readers_per_zone = 2;
  /// A node without routes waits this long after its start for peers that have
  /// them.
  state::Duration start_wait = std::chrono::milliseconds(500);
  /// A node that is no reader calls the store once in this time multiplied by
  /// the number of nodes, in case that no reader can reach it.
  state::Duration check_interval_per_node = std::chrono::seconds(1);
  state::Duration min_check_interval = std::chrono::seconds(10);
  /// Interval of these calls while the node has no routes.
  state::Duration no_routes_interval = std::chrono::seconds(2);
};

/// What a node knows when it decides whether to call the store.
struct StoreReaderInput {
  state::NodeId self = 0;
  /// The nodes of its availability zone, except this one: those with an open
  /// link, or all known ones shortly after the start.
  std::vector<state::NodeId> zone_peers;
  /// All known nodes, except this one.
  std::size_t known_nodes = 0;
  bool has_routes = false;
  /// Time since the start of this process, and since its last call for the
  /// document or else since the start.
  state::Duration uptime{0};
  state::Duration since_last_call{0};
};

/// Decides whether a node calls the store for the operator's document. A pure
/// function of the live nodes that it knows: no node has to be elected, the
/// next one takes over as soon as the link to a reader is lost, and a node
/// without links reads for itself. The others learn of versions from peers.
///
/// Answers the load of many nodes on the store, whose calls would otherwise
/// grow with the number of nodes.
class StoreReaders {
 public:
  explicit StoreReaders(StoreReaderOptions options = {}) : options_(options) {}

  /// Whether the node is one of the readers of its availability zone.
  bool IsReader(const StoreReaderInput& input) const;

  /// The number of readers of a fleet with \p zone_sizes nodes in its
  /// availability zones.
  std::size_t CountReaders(const std::vector<std::size_t>& zone_sizes) const;

  /// Whether the node may call the store now.
  bool MayCall(const StoreReaderInput& input) const;

 private:
  StoreReaderOptions options_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_STORE_READERS_H_
