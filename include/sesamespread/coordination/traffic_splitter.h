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

/// Selects targets by a low-discrepancy sequence: after any number of requests
/// the count of each target is within a few requests of its share, from any
/// starting point and also while the weights change. Random selection would
/// need hundreds of requests to come as close. A target without capacity is
/// selected as often as others; moving its requests would change the shares
/// that the operator set.
class TrafficSplitter {
 public:
  /// The starting points depend on \p seed, so that the shares also hold over
  /// many nodes with few requests each.
  explicit TrafficSplitter(std::uint64_t seed) : seed_(seed) {}

  /// Selects the target of the next request of \p route.
  const state::RouteTarget& Next(const state::Route& route);

 private:
  const std::uint64_t seed_;
  // The last point of each route's sequence, in units of 2^-64.
  std::unordered_map<std::string, std::uint64_t> points_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_TRAFFIC_SPLITTER_H_
