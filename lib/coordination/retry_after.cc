/// \file
/// Age of the overload of each route.
#include "sesamespread/coordination/retry_after.h"

#include <algorithm>
#include <cmath>

namespace sesamespread::coordination {
namespace {

state::Duration Scale(state::Duration duration, double share) {
  return state::Duration(
      static_cast<std::int64_t>(static_cast<double>(duration.count()) * share));
}

}  // namespace

void RetryAfterEstimator::Observe(const std::string& route,
                                  bool is_refused,
                                  state::Instant now) {
  RouteState& state = routes_[route];
  const double elapsed = std::chrono::duration<double>(now - state.updated) /
                         options_.averaging_time;
  const double decay = std::exp(-std::max(elapsed, 0.0));
  state.refused = state.refused * decay + (is_refused ? 1 : 0);
  state.answered = state.answered * decay + (is_refused ? 0 : 1);
  state.updated = now;
  const bool is_overloaded = state.RefusedShare() > options_.quiet_share;
  if (is_overloaded && !state.is_overloaded)
    state.overloaded_since = now;
  state.is_overloaded = is_overloaded;
}

state::Duration RetryAfterEstimator::Estimate(const std::string& route,
                                              state::Duration goal,
                                              state::Instant now,
                                              std::mt19937_64& random) const {
  std::uniform_real_distribution<double> goal_share(options_.min_goal_share,
                                                    options_.max_goal_share);
  state::Duration wait = Scale(goal, goal_share(random));
  const auto found = routes_.find(route);
  if (found != routes_.end() && found->second.is_overloaded) {
    const RouteState& state = found->second;
    std::uniform_real_distribution<double> age_share(options_.min_age_share,
                                                     options_.max_age_share);
    wait += Scale(now - state.overloaded_since,
                  age_share(random) * state.RefusedShare());
  }
  return std::min(wait, options_.max_wait);
}

}  // namespace sesamespread::coordination
