/// \file
/// Moving averages of response times.
#include "sesamespread/coordination/answer_times.h"

#include <algorithm>
#include <cmath>

namespace sesamespread::coordination {

void AnswerTimes::Observe(const std::string& route, state::Duration time) {
  Average& average = routes_[route];
  const auto micros = static_cast<double>(time.count());
  if (average.answers++ == 0) {
    average.mean = micros;
    average.deviation = micros / 2;
    return;
  }
  const double error = micros - average.mean;
  average.mean += options_.gain * error;
  average.deviation += options_.gain * (std::abs(error) - average.deviation);
}

std::optional<state::Duration> AnswerTimes::LossTimeout(
    const std::string& route) const {
  const auto found = routes_.find(route);
  if (found == routes_.end() || found->second.answers < options_.min_answers)
    return std::nullopt;
  const Average& average = found->second;
  const state::Duration timeout(static_cast<std::int64_t>(
      average.mean + options_.deviations * average.deviation));
  return std::max(timeout, options_.min_timeout);
}

}  // namespace sesamespread::coordination
