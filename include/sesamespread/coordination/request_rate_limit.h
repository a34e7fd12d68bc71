/// \file
/// The request rate to which a backend server limits all nodes together.
///
/// Every request to a backend server passes the node beside it, so that this
/// node enforces the limit alone and needs no share of it for each node.
#ifndef SESAMESPREAD_COORDINATION_REQUEST_RATE_LIMIT_H_
#define SESAMESPREAD_COORDINATION_REQUEST_RATE_LIMIT_H_

#include <optional>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// The limit that the answers of one backend server state.
class RequestRateLimit {
 public:
  /// Records the statement of an answer to a request that was sent at \p sent:
  /// \p per_second requests, or no limit. An answer without a limit lifts it
  /// only if its request was sent after the last statement of a limit, since
  /// the head of a long answer is older than its end.
  /// \returns true if the limit changed.
  bool OnAnswer(std::optional<double> per_second,
                state::Instant sent,
                state::Instant now);

  /// Forgets the limit, for another instance of the backend server.
  void Reset();

  /// Requests per second; nullopt if there is no limit.
  std::optional<double> per_second() const { return per_second_; }

 private:
  std::optional<double> per_second_;
  // When the last answer that states a limit arrived.
  state::Instant stated_at_{};
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_REQUEST_RATE_LIMIT_H_
