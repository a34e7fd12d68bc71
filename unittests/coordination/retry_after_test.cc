/// \file
/// Guards against callers that come back into the same overload again and
/// again, and against callers that are told to wait although it has ended.
#include "sesamespread/coordination/retry_after.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kGoal{1000};
const state::Instant kStart{seconds(100)};

class RetryAfterTest : public ::testing::Test {
 protected:
  // Requests of the route every 10 ms in [from, to); one of `refused_of` is
  // refused if it is above 0.
  void Load(milliseconds from, milliseconds to, int refused_of) {
    int number = 0;
    for (milliseconds at = from; at < to; at += milliseconds(10)) {
      estimator_.Observe("r", refused_of > 0 && number++ % refused_of == 0,
                         kStart + at);
    }
  }
  state::Duration EstimateAt(milliseconds at) {
    return estimator_.Estimate("r", kGoal, kStart + at, random_);
  }

  std::mt19937_64 random_{1};
  RetryAfterEstimator estimator_;
};

TEST_F(RetryAfterTest, AFirstRefusalIsSpreadOverAShareOfTheGoal) {
  for (int i = 0; i < 100; ++i) {
    const state::Duration wait = EstimateAt(milliseconds(0));
    EXPECT_GE(wait, milliseconds(200));
    EXPECT_LE(wait, milliseconds(600));
  }
}

TEST_F(RetryAfterTest, GrowsWithTheAgeOfAnOverload) {
  Load(milliseconds(0), milliseconds(6000), 1);
  EXPECT_GE(EstimateAt(milliseconds(6000)), milliseconds(3200));
  EXPECT_LE(EstimateAt(milliseconds(6000)), milliseconds(6600));
}

// Guards against long waits where a repeat would mostly be admitted.
TEST_F(RetryAfterTest, CountsTheAgeByTheRefusedShare) {
  Load(milliseconds(0), milliseconds(6000), 10);
  EXPECT_LE(EstimateAt(milliseconds(6000)), milliseconds(1300));
}

TEST_F(RetryAfterTest, AnOverloadThatEndedIsForgotten) {
  Load(milliseconds(0), milliseconds(6000), 1);
  Load(milliseconds(6000), milliseconds(10'000), 0);
  EXPECT_LE(EstimateAt(milliseconds(10'000)), milliseconds(600));
  // A new one starts with a new age.
  Load(milliseconds(10'000), milliseconds(10'100), 1);
  EXPECT_LE(EstimateAt(milliseconds(10'100)), milliseconds(800));
}

TEST_F(RetryAfterTest, IsBounded) {
  Load(milliseconds(0), milliseconds(60'000), 1);
  EXPECT_EQ(EstimateAt(milliseconds(60'000)), seconds(10));
}

// Callers of a service that serves 100 requests/s, of which 200/s arrive for
// 8 s. They wait as told, up to a third of the 5 s that they have, and try four
// times.
struct SurgeResult {
  int served = 0;
  int served_at_first = 0;
  int refused_again = 0;
};

SurgeResult PlaySurge(
    const std::function<state::Duration(state::Instant)>& wait,
    const std::function<void(bool, state::Instant)>& observe) {
  struct Try {
    state::Instant deadline;
    int number = 1;
  };
  constexpr milliseconds kTick{10};
  std::multimap<state::Instant, Try> tries;
  for (int i = 0; i < 1600; ++i) {
    const state::Instant at = kStart + milliseconds(5) * i;
    tries.insert({at, {at + seconds(5)}});
  }
  SurgeResult result;
  state::Instant free_at = kStart;
  while (!tries.empty()) {
    const state::Instant now = tries.begin()->first;
    Try current = tries.begin()->second;
    tries.erase(tries.begin());
    const bool is_served = now >= free_at;
    observe(!is_served, now);
    if (is_served) {
      free_at = std::max(free_at, now - kTick) + kTick;
      ++result.served;
      result.served_at_first += current.number == 1 ? 1 : 0;
      continue;
    }
    result.refused_again += current.number > 1 ? 1 : 0;
    const state::Duration left = current.deadline - now;
    if (++current.number <= 4)
      tries.insert({now + std::min(wait(now), left / 3), current});
  }
  return result;
}

TEST_F(RetryAfterTest, FewerCallersAreRefusedAgainInASurge) {
  std::uniform_int_distribution<int> share(200, 600);
  const SurgeResult fixed =
      PlaySurge([&](state::Instant) { return milliseconds(share(random_)); },
                [](bool, state::Instant) {});
  const SurgeResult estimated = PlaySurge(
      [&](state::Instant now) {
        return estimator_.Estimate("r", kGoal, now, random_);
      },
      [&](bool is_refused, state::Instant now) {
        estimator_.Observe("r", is_refused, now);
      });
  EXPECT_LT(estimated.refused_again, fixed.refused_again);
  EXPECT_GE(estimated.served, fixed.served);
  EXPECT_GE(estimated.served_at_first, fixed.served_at_first);
  RecordProperty("fixed_refused_again", fixed.refused_again);
  RecordProperty("estimated_refused_again", estimated.refused_again);
}

}  // namespace
}  // namespace sesamespread::coordination
