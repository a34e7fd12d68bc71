/// \file
/// The request rate to which a backend server limits all nodes together.
///
/// Every request to a backend server passes the node beside it, so that this
/// node enforces the limit alone and needs no share of it for each node.
#ifndef SESAMESPREAD_COORDINATION_REQUEST_RATE_LIMIT_H_
#define SESAMESPREAD_COORDINATION_REQUEST_RATE_LIMIT_H_

#include <cstddef>
#include <optional>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct RequestRateLimitOptions {
  /// Unused requests that may start together, as the time in which the server
  /// accepts as many.
  state::Duration burst_time = std::chrono::milliseconds(100);
  /// Lower bound of the rate in requests per second. Only answers tell that a
  /// limit has ended, so that a limit of zero still allows some requests.
  double min_per_second = 0.5;
};

/// The limit that the answers of one backend server state, enforced with a
/// token bucket.
///
/// Invariants: in any time t, at most rate * (t + burst_time) + 1 requests are
/// acquired while the limit is in force.
class RequestRateLimit {
 public:
  explicit RequestRateLimit(RequestRateLimitOptions options = {})
      : options_(options) {}

  /// Records the statement of an answer to a request that was sent at \p sent:
  /// \p per_second requests, or no limit. An answer without a limit lifts it
  /// only if its request was sent after the last statement of a limit, since
  /// the head of a long answer is older than its end.
  /// \returns true if the limit changed.
  bool OnAnswer(std::optional<double> per_second,
                state::Instant sent,
                state::Instant now);

  /// False until the first answer: whether there is a limit is unknown.
  bool is_known() const { return is_known_; }

  /// Forgets the limit, for another instance of the backend server.
  void Reset() { per_second_.reset(); }

  /// Requests per second; nullopt if there is no limit.
  std::optional<double> per_second() const { return per_second_; }

  /// Counts a request that starts now. \returns false if the limit does not
  /// allow it.
  bool TryAcquire(state::Instant now);

  /// Time until a request may start behind \p ahead others; zero if it may
  /// start now.
  state::Duration WaitBehind(std::size_t ahead, state::Instant now) const;

  /// Share of the burst that is unused, 0 to 1; 1 if there is no limit.
  double UnusedShare(state::Instant now) const;

 private:
  double rate() const;
  // Requests that may start together after a time without any.
  double burst() const;
  double TokensAt(state::Instant now) const;

  const RequestRateLimitOptions options_;
  bool is_known_ = false;
  std::optional<double> per_second_;
  // When the last answer that states a limit arrived.
  state::Instant stated_at_{};
  // Requests that could start at updated_at_.
  double tokens_ = 0;
  state::Instant updated_at_{};
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_REQUEST_RATE_LIMIT_H_
