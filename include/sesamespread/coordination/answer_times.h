/// \file
/// How long answers of each route take, to tell a server that is slow from one
/// that will not answer.
#ifndef SESAMESPREAD_COORDINATION_ANSWER_TIMES_H_
#define SESAMESPREAD_COORDINATION_ANSWER_TIMES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct AnswerTimesOptions {
  /// Answers of a route before its times are known.
  std::uint32_t min_answers = 20;
  /// Share of one answer in the averages.
  double gain = 1.0 / 16;
  /// Mean deviations above the mean that a sound answer takes at most. Of
  /// answers whose times spread as those of the users' services do, about one
  /// in a hundred takes longer.
  double deviations = 8;
  /// Shortest limit; links and timers alone can delay an answer by this much.
  state::Duration min_timeout = std::chrono::milliseconds(30);
};

class AnswerTimes {
 public:
  explicit AnswerTimes(AnswerTimesOptions options = {}) : options_(options) {}

  /// A server answered a call of \p route after \p time.
  void Observe(const std::string& route, state::Duration time);

  /// The time after which a call without an answer has probably lost it;
  /// nullopt while too little is known of \p route.
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
