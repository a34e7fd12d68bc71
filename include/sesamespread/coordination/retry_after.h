/// \file
/// The time after which a refused caller should come back.
#ifndef SESAMESPREAD_COORDINATION_RETRY_AFTER_H_
#define SESAMESPREAD_COORDINATION_RETRY_AFTER_H_

#include <random>
#include <string>
#include <unordered_map>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Options of RetryAfterEstimator.
struct RetryAfterOptions {
  /// Bounds of the random share of the route's latency objective that each
  /// caller waits, so that requests refused at the same time are not repeated
  /// at the same time.
  double min_goal_share = 0.2;
  double max_goal_share = 0.6;
  /// Time constant of the share of refused requests.
  state::Duration averaging_time = std::chrono::seconds(1);
  /// An overload has ended when this share of the requests is refused at most.
  double quiet_share = 0.05;
  /// Bounds of the random share of the overload's age that is added.
  double min_age_share = 0.5;
  double max_age_share = 1.0;
  /// Largest result.
  state::Duration max_wait = std::chrono::seconds(10);
};

/// Estimates for each route how long its overload will last from how long it
/// has lasted: without other knowledge, it ends after about as much time again.
/// A caller that comes back earlier is refused again with the probability of
/// the recent requests, so that the age counts by the refused share.
///
/// Answers the load of callers that repeat refused requests during an overload.
class RetryAfterEstimator {
 public:
  explicit RetryAfterEstimator(RetryAfterOptions options = {})
      : options_(options) {}

  /// Records that a request of \p route was refused, or answered.
  void Observe(const std::string& route, bool is_refused, state::Instant now);

  /// Returns the time for a request of \p route with the latency objective
  /// \p goal that is refused now.
  state::Duration Estimate(const std::string& route,
                           state::Duration goal,
                           state::Instant now,
                           std::mt19937_64& random) const;

 private:
  struct RouteState {
    // Numbers of requests, which decay with averaging_time.
    double refused = 0;
    double answered = 0;
    state::Instant updated;
    // When the refused share last rose above quiet_share.
    state::Instant overloaded_since;
    bool is_overloaded = false;

    double RefusedShare() const { return refused / (refused + answered); }
  };

  const RetryAfterOptions options_;
  std::unordered_map<std::string, RouteState> routes_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_RETRY_AFTER_H_
