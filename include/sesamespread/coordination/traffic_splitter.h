/// \file
/// Divides the requests of a route among its targets in proportion to their
/// weights.
#ifndef SESAMESPREAD_COORDINATION_TRAFFIC_SPLITTER_H_
#define SESAMESPREAD_COORDINATION_TRAFFIC_SPLITTER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "sesamespread/state/route_set.h"

namespace sesamespread::coordination {

/// Draws targets by a sequence of equidistributed points: after any number of
/// requests each target's count is within a few of its share, from any starting
/// point and also while the weights change. Random choice would need hundreds
/// of requests to come as close. A target that has no room keeps its turns;
/// moving them would change the shares that the operator set.
class TrafficSplitter {
 public:
  /// The starting points depend on \p seed, so that the shares also hold over
  /// many nodes that see few requests each.
  explicit TrafficSplitter(std::uint64_t seed) : seed_(seed) {}

  /// The target of the next request of \p route.
  const state::RouteTarget& Next(const state::Route& route);

 private:
  const std::uint64_t seed_;
  // The last point of each route's sequence, in units of 2^-64.
  std::unordered_map<std::string, std::uint64_t> points_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_TRAFFIC_SPLITTER_H_
