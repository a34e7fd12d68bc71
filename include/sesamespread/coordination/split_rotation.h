/// \file
/// Divides the requests of a route among its targets in proportion to their
/// weights.
#ifndef SESAMESPREAD_COORDINATION_SPLIT_ROTATION_H_
#define SESAMESPREAD_COORDINATION_SPLIT_ROTATION_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "sesamespread/state/route_set.h"

namespace sesamespread::coordination {

/// Smooth weighted rotation: after any number of requests each target's count
/// is within one of its share. Random choice would need hundreds of requests to
/// come as close. A target that has no room keeps its turns; moving them would
/// change the shares that the operator set.
class SplitRotation {
 public:
  /// Starts each rotation at a place that depends on \p seed, so that nodes
  /// which see few requests don't all begin with the same target.
  explicit SplitRotation(std::uint64_t seed) : seed_(seed) {}

  /// The target of the next request of \p route.
  const state::RouteTarget& Next(const state::Route& route);

 private:
  struct State {
    std::vector<state::RouteTarget> targets;
    std::vector<std::int64_t> credit;
  };

  void Restart(const state::Route& route, State& state) const;

  const std::uint64_t seed_;
  std::unordered_map<std::string, State> states_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_SPLIT_ROTATION_H_
