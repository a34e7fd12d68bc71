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
  /// Interval of the calls of a node that is no reader and has no routes.
  state::Duration no_routes_interval = std::chrono::seconds(2);
  /// Interval at which readers send their version to the nodes of their zone.
  state::Duration notice_interval = std::chrono::milliseconds(500);
  /// A node that has not received such a notice for this long, which is two of
  /// them, takes over as a reader: the readers may be lost or suspended, or the
  /// node may be cut off from them and still reach the store.
  state::Duration takeover_wait = std::chrono::milliseconds(1000);
  /// Added for each node of the zone that comes before it, so that one node
  /// after the other takes over.
  state::Duration max_takeover_step = std::chrono::milliseconds(50);
  /// Bound on the sum of these steps, whatever the size of the zone. A node
  /// that is cut off alone has to read new routes within 3 s, which leaves half
  /// a second for the call.
  state::Duration takeover_span = std::chrono::milliseconds(1500);
  /// Interval of the calls of a node that took over while the store refuses
  /// them.
  state::Duration refused_interval = std::chrono::seconds(3);
};

/// What a node knows when it decides whether to call the store.
struct StoreReaderInput {
  state::NodeId self = 0;
  /// The nodes of its availability zone, except this one: those with an open
  /// link, or all known ones shortly after the start.
  std::vector<state::NodeId> zone_peers;
  bool has_routes = false;
  /// Whether there was a call for the document and the last one failed.
  bool has_last_call_failed = false;
  /// Time since the start of this process, since its last call for the document
  /// and since the last notice of a version from its zone; the latter two since
  /// the start if there was none.
  state::Duration uptime{0};
  state::Duration since_last_call{0};
  state::Duration since_last_notice{0};
};

/// Decides whether a node calls the store for the operator's document. A pure
/// function of the live nodes that it knows and of the notices that it
/// receives: no node has to be elected, and a node that hears from no reader
/// becomes one. The others learn of versions from peers.
///
/// Answers the load of many nodes on the store, whose calls would otherwise
/// grow with the number of nodes.
class StoreReaders {
 public:
  explicit StoreReaders(StoreReaderOptions options = {}) : options_(options) {}

  /// Whether the node is one of the readers of its availability zone, by its id
  /// or because it hears from none.
  bool IsReader(const StoreReaderInput& input) const;

  /// The number of readers of a fleet with \p zone_sizes nodes in its
  /// availability zones.
  std::size_t CountReaders(const std::vector<std::size_t>& zone_sizes) const;

  /// Whether the node may call the store now.
  bool MayCall(const StoreReaderInput& input) const;

  /// Interval of the notices of a reader.
  state::Duration notice_interval() const { return options_.notice_interval; }

 private:
  // The number of nodes of the zone that come before this one.
  static std::size_t RankOf(const StoreReaderInput& input);
  // How long a node without notices waits until it takes over.
  state::Duration TakeoverDelay(const StoreReaderInput& input) const;

  StoreReaderOptions options_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_STORE_READERS_H_
