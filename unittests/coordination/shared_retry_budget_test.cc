/// \file
/// Guards against retries beyond the bound that holds for all nodes together,
/// and against a burst of failures that exhausts it at once.
#include "sesamespread/coordination/shared_retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;

state::Instant At(std::int64_t ms) {
  return state::Instant(std::chrono::hours(1) + milliseconds(ms));
}

constexpr RetryRequest kLeaf{"prices", 0, true};

// Records a request every 5 ms for 5 s, each followed by a retry if the budget
// allows it. \returns the number of retries.
int RetriesAmongRequests(SharedRetryBudget& budget, const RetryRequest& retry) {
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("prices", At(i * 5));
    retries += budget.TryAcquire(retry, At(i * 5)) ? 1 : 0;
  }
  return retries;
}

TEST(SharedRetryBudgetTest, AllowsAShareOfTheRequests) {
  SharedRetryBudget budget({});
  const int retries = RetriesAmongRequests(budget, kLeaf);
  EXPECT_GT(retries, 120);
  EXPECT_LE(retries, 200);
}

// Guards against hedged requests, which may be needless, that leave no retries
// for failures.
TEST(SharedRetryBudgetTest, HedgedRequestsLeaveRetriesForFailures) {
  SharedRetryBudget budget({});
  constexpr RetryRequest kHedge{"prices", 0, true, true};
  EXPECT_GT(RetriesAmongRequests(budget, kHedge), 0);
  int retries_after_failures = 0;
  while (budget.TryAcquire(kLeaf, At(5000)))
    ++retries_after_failures;
  // About half of the token bucket, whose capacity is a fifth of 0.16 x 1000.
  EXPECT_GE(retries_after_failures, 10);
  EXPECT_FALSE(budget.TryAcquire(kHedge, At(5000)));
}

TEST(SharedRetryBudgetTest, BurstLeavesRetriesForLater) {
  SharedRetryBudget budget({});
  for (int i = 0; i < 1000; ++i)
    budget.OnRequest("prices", At(i * 5));
  int granted = 0;
  while (budget.TryAcquire(kLeaf, At(5000)))
    ++granted;
  EXPECT_LE(granted, 40);
  EXPECT_TRUE(budget.TryAcquire(kLeaf, At(6500)));
}

// Guards against retries beyond the bound when runs that are themselves retries
// make calls: the calls count as retries and cannot be refused.
TEST(SharedRetryBudgetTest, CallsOfRetriedRunsUseTheBudget) {
  SharedRetryBudget budget({});
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("prices", At(i * 5));
    if (i % 10 == 0)
      budget.OnCallFromRetry("prices", At(i * 5));
    retries += budget.TryAcquire(kLeaf, At(i * 5)) ? 1 : 0;
  }
  EXPECT_GT(retries, 40);
  EXPECT_LE(retries + 100, 200);
}

// Guards against retries that are spent on requests which fail all the same
// while more important ones get none.
TEST(SharedRetryBudgetTest, LowRanksHavePriority) {
  SharedRetryBudget budget({});
  int low_rank_retries = 0;
  int high_rank_retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("prices", At(i * 5));
    if (i % 2 == 0)
      high_rank_retries +=
          budget.TryAcquire({"prices", 0.8, true}, At(i * 5)) ? 1 : 0;
    else if (i % 10 == 1)
      low_rank_retries +=
          budget.TryAcquire({"prices", 0.1, true}, At(i * 5)) ? 1 : 0;
  }
  // Of 100 attempts.
  EXPECT_GE(low_rank_retries, 90);
  EXPECT_LE(low_rank_retries + high_rank_retries, 200);
}

TEST(SharedRetryBudgetTest, RanksPreferCallersThenImportantRequests) {
  EXPECT_LT(RetryRank(false, 2, 127, 1), RetryRank(true, 0, 0, 1));
  EXPECT_LT(RetryRank(true, 0, 127, 1), RetryRank(true, 1, 0, 1));
  EXPECT_LT(RetryRank(true, 2, 127, 1), 1);
  // The same requests are chosen at each node.
  EXPECT_EQ(RetryRank(true, 1, 77, 1), RetryRank(true, 1, 77, 1));
}

TEST(SharedRetryBudgetTest, NonLeafRequestsGetFewerRetries) {
  SharedRetryBudget budget({});
  for (int i = 0; i < 1000; ++i)
    budget.OnRequest("plans", At(i * 5));
  int retries = 0;
  for (int i = 0; i < 100; ++i)
    retries += budget.TryAcquire({"plans", 0, false}, At(4000 + i)) ? 1 : 0;
  EXPECT_LE(retries, 21);
}

// For any requests and failures at the nodes, the sum of retries stays within
// the bound for each window, which allows each node at least one retry.
TEST(SharedRetryBudgetPropertyTest, AllNodesTogetherStayWithinTheBound) {
  const bool holds = rc::check([](const std::vector<std::uint32_t>& steps) {
    constexpr std::size_t kNodes = 4;
    constexpr std::int64_t kWindowMs = 10'000;
    std::vector<SharedRetryBudget> nodes(
        kNodes, SharedRetryBudget(SharedRetryBudgetOptions{}));
    std::deque<std::int64_t> requests;
    std::deque<std::int64_t> retries;
    std::int64_t now = 0;
    for (const std::uint32_t step : steps) {
      now += step % 211;
      SharedRetryBudget& node = nodes[(step / 211) % kNodes];
      if (step % 3 != 0) {
        node.OnRequest("prices", At(now));
        requests.push_back(now);
      } else if (node.TryAcquire(kLeaf, At(now))) {
        retries.push_back(now);
      }
      const auto in_window = [now](const std::deque<std::int64_t>& times) {
        return std::count_if(
            times.begin(), times.end(),
            [now](std::int64_t time) { return time > now - kWindowMs; });
      };
      // Requests of the window before count as well.
      const auto earlier = std::count_if(
          requests.begin(), requests.end(), [now](std::int64_t time) {
            return time > now - 2 * kWindowMs && time <= now - kWindowMs / 2;
          });
      const auto counted =
          std::max<std::ptrdiff_t>(in_window(requests), earlier);
      RC_ASSERT(static_cast<double>(in_window(retries)) <=
                0.2 * static_cast<double>(counted) + kNodes + 1);
    }
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace sesamespread::coordination
