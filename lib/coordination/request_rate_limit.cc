/// \file
/// Statements of a backend server about its request rate, and a token bucket
/// that enforces them.
#include "sesamespread/coordination/request_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace sesamespread::coordination {

using state::Duration;
using state::Instant;

double RequestRateLimit::rate() const {
  return std::max(per_second_.value_or(0), options_.min_per_second);
}

double RequestRateLimit::burst() const {
  return 1 +
         rate() * std::chrono::duration<double>(options_.burst_time).count();
}

double RequestRateLimit::TokensAt(Instant now) const {
  const double seconds =
      std::chrono::duration<double>(now - updated_at_).count();
  return std::min(tokens_ + rate() * seconds, burst());
}

bool RequestRateLimit::OnAnswer(std::optional<double> per_second,
                                Instant sent,
                                Instant now) {
  is_known_ = true;
  if (per_second)
    stated_at_ = now;
  else if (sent <= stated_at_)
    return false;
  if (per_second_ == per_second)
    return false;
  // The tokens up to now accrued at the previous rate; a new limit starts
  // without any, since requests are in progress.
  tokens_ = per_second_ ? TokensAt(now) : 0;
  updated_at_ = now;
  per_second_ = per_second;
  return true;
}

bool RequestRateLimit::TryAcquire(Instant now) {
  if (!per_second_)
    return true;
  const double tokens = TokensAt(now);
  if (tokens < 1)
    return false;
  tokens_ = tokens - 1;
  updated_at_ = now;
  return true;
}

Duration RequestRateLimit::WaitBehind(std::size_t ahead, Instant now) const {
  if (!per_second_)
    return Duration(0);
  const double missing = static_cast<double>(ahead) + 1 - TokensAt(now);
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(std::max(missing, 0.0) / rate()));
}

double RequestRateLimit::UnusedShare(Instant now) const {
  return per_second_ ? TokensAt(now) / burst() : 1;
}

}  // namespace sesamespread::coordination
