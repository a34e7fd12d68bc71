/// \file
/// Statements of a backend server about its request rate.
#include "sesamespread/coordination/request_rate_limit.h"

namespace sesamespread::coordination {

bool RequestRateLimit::OnAnswer(std::optional<double> per_second,
                                state::Instant sent,
                                state::Instant now) {
  if (per_second)
    stated_at_ = now;
  else if (sent <= stated_at_)
    return false;
  const bool changed = per_second_ != per_second;
  per_second_ = per_second;
  return changed;
}

void RequestRateLimit::Reset() {
  per_second_.reset();
}

}  // namespace sesamespread::coordination
