/// \file
/// Smooth weighted rotation.
#include "sesamespread/coordination/split_rotation.h"

#include <algorithm>

#include "sesamespread/state/ids.h"

namespace sesamespread::coordination {

const state::RouteTarget& SplitRotation::Next(const state::Route& route) {
  if (route.targets.size() == 1)
    return route.targets.front();
  State& state = states_[route.name];
  if (state.targets != route.targets)
    Restart(route, state);
  std::int64_t total = 0;
  for (std::size_t i = 0; i < state.targets.size(); ++i) {
    state.credit[i] += state.targets[i].weight;
    total += state.targets[i].weight;
  }
  const auto best = std::max_element(state.credit.begin(), state.credit.end());
  *best -= total;
  return route.targets[static_cast<std::size_t>(best - state.credit.begin())];
}

void SplitRotation::Restart(const state::Route& route, State& state) const {
  state.targets = route.targets;
  std::int64_t total = 0;
  for (const state::RouteTarget& target : route.targets)
    total += target.weight;
  state.credit.assign(route.targets.size(), 0);
  // Any start with a sum of zero and no credit beyond the total is a state that
  // the rotation itself passes through or comes close to.
  const auto offset = static_cast<std::int64_t>(
      state::HashOf(seed_, state::HashOf(route.name)) %
      static_cast<std::uint64_t>(std::max<std::int64_t>(total, 1)));
  state.credit.front() -= offset;
  state.credit.back() += offset;
}

}  // namespace sesamespread::coordination
