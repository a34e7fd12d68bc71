/// \file
/// Guards against more requests than a backend server's stated rate allows, and
/// against a limit that stays in force after it has ended.
#include "sesamespread/coordination/request_rate_limit.h"

#include <gtest/gtest.h>

#include <optional>

namespace sesamespread::coordination {
namespace {

using state::Instant;
using std::chrono::milliseconds;

Instant At(std::int64_t ms) {
  return Instant(std::chrono::hours(1) + milliseconds(ms));
}

// Requests that start in the given time if one is offered each millisecond.
int CountAcquired(RequestRateLimit& limit, std::int64_t from, std::int64_t to) {
  int count = 0;
  for (std::int64_t ms = from; ms < to; ++ms)
    count += limit.TryAcquire(At(ms)) ? 1 : 0;
  return count;
}

TEST(RequestRateLimitTest, AllowsEverythingWithoutALimit) {
  RequestRateLimit limit;
  EXPECT_EQ(CountAcquired(limit, 0, 100), 100);
  EXPECT_EQ(limit.WaitBehind(50, At(100)), milliseconds(0));
  EXPECT_EQ(limit.UnusedShare(At(100)), 1);
}

TEST(RequestRateLimitTest, AllowsTheRateAndAShortBurst) {
  RequestRateLimit limit;
  EXPECT_TRUE(limit.OnAnswer(40.0, At(0), At(0)));
  EXPECT_FALSE(limit.OnAnswer(40.0, At(1), At(1)));
  EXPECT_NEAR(CountAcquired(limit, 0, 4000), 160, 1);
  // A burst of 0.1 s and one request after a long time without requests.
  EXPECT_NEAR(CountAcquired(limit, 60'000, 64'000), 165, 1);
}

TEST(RequestRateLimitTest, ANewLimitAppliesToTheTimeAfterIt) {
  RequestRateLimit limit;
  limit.OnAnswer(10.0, At(0), At(0));
  CountAcquired(limit, 0, 1000);
  limit.OnAnswer(100.0, At(999), At(1000));
  EXPECT_NEAR(CountAcquired(limit, 1000, 2000), 100, 1);
  limit.OnAnswer(10.0, At(1999), At(2000));
  EXPECT_NEAR(CountAcquired(limit, 2000, 3000), 10, 2);
}

TEST(RequestRateLimitTest, EstimatesTheWaitBehindOthers) {
  RequestRateLimit limit;
  limit.OnAnswer(10.0, At(0), At(0));
  EXPECT_EQ(limit.WaitBehind(0, At(0)), milliseconds(100));
  EXPECT_EQ(limit.WaitBehind(4, At(0)), milliseconds(500));
  EXPECT_EQ(limit.WaitBehind(0, At(100)), milliseconds(0));
}

// The head of a long answer may have been written before the limit was stated.
TEST(RequestRateLimitTest, AnOldAnswerDoesNotLiftTheLimit) {
  RequestRateLimit limit;
  limit.OnAnswer(10.0, At(500), At(1000));
  EXPECT_FALSE(limit.OnAnswer(std::nullopt, At(900), At(1100)));
  EXPECT_EQ(limit.per_second(), 10.0);
  EXPECT_TRUE(limit.OnAnswer(std::nullopt, At(1001), At(1200)));
  EXPECT_EQ(limit.per_second(), std::nullopt);
}

TEST(RequestRateLimitTest, ALimitOfZeroAllowsRequestsThatFindItsEnd) {
  RequestRateLimit limit;
  limit.OnAnswer(0.0, At(0), At(0));
  EXPECT_EQ(CountAcquired(limit, 0, 10'001), 5);
}

}  // namespace
}  // namespace sesamespread::coordination
