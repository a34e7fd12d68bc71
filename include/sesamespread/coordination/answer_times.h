/// \file
/// Response times of each route, to distinguish a slow server from one that
/// will not answer.
#ifndef SESAMESPREAD_COORDINATION_ANSWER_TIMES_H_
#define SESAMESPREAD_COORDINATION_ANSWER_TIMES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct AnswerTimesOptions {
  /// Number of answers of a route from which LossTimeout returns a value.
  std::uint32_t min_answers = 20;
  /// Weight of one answer in the exponential moving averages.
  double gain = 1.0 / 16;
  /// Distance of the timeout from the mean, in mean deviations. Of response
  /// times with the spread that is usual for services (log-normal, sigma 0.5 to
  /// 0.8), about one in a hundred exceeds it.
  double deviations = 8;
  /// Lower bound of the timeout: links and timers alone can delay an answer by
  /// this much.
  state::Duration min_timeout = std::chrono::milliseconds(30);
};

/// Moving averages of the response time of each route and of its deviation.
class AnswerTimes {
 public:
  explicit AnswerTimes(AnswerTimesOptions options = {}) : options_(options) {}

  /// Records that a server answered a call of \p route after \p time.
  void Observe(const std::string& route, state::Duration time);

  /// The time after which a call or its answer has probably been lost; nullopt
  /// while \p route has fewer than min_answers answers.
  std::optional<state::Duration> LossTimeout(const std::string& route) const;

 private:
  struct Average {
    std::uint32_t answers = 0;
    // In microseconds.
    double mean = 0;
    double deviation = 0;
  };

  const AnswerTimesOptions options_;
  std::unordered_map<std::string, Average> routes_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ANSWER_TIMES_H_
