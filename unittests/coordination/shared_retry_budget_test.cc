/// \file
/// Guards against repeats that exceed the bound which holds for all nodes
/// together, and against a burst of failures that uses it up at once.
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

// Requests that arrive every 5 ms for 5 s, each followed by a repeat if the
// budget has one. \returns the number of repeats.
int RepeatsAmongRequests(SharedRetryBudget& budget,
                         const RetryRequest& repeat) {
  int repeats = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("prices", At(i * 5));
    repeats += budget.TryAcquire(repeat, At(i * 5)) ? 1 : 0;
  }
  return repeats;
}

TEST(SharedRetryBudgetTest, AllowsAShareOfTheRequests) {
  SharedRetryBudget budget({});
  const int repeats = RepeatsAmongRequests(budget, kLeaf);
  EXPECT_GT(repeats, 120);
  EXPECT_LE(repeats, 200);
}

// Guards against repeats that may be needless and leave nothing for the needed.
TEST(SharedRetryBudgetTest, EarlyRepeatsLeaveSomethingForFailures) {
  SharedRetryBudget budget({});
  constexpr RetryRequest kEarly{"prices", 0, true, true};
  EXPECT_GT(RepeatsAmongRequests(budget, kEarly), 0);
  int late = 0;
  while (budget.TryAcquire(kLeaf, At(5000)))
    ++late;
  // About half of the savings, which are a fifth of 0.16 x 1000.
  EXPECT_GE(late, 10);
  EXPECT_FALSE(budget.TryAcquire(kEarly, At(5000)));
}

TEST(SharedRetryBudgetTest, ABurstLeavesSomethingForLater) {
  SharedRetryBudget budget({});
  for (int i = 0; i < 1000; ++i)
    budget.OnRequest("prices", At(i * 5));
  int at_once = 0;
  while (budget.TryAcquire(kLeaf, At(5000)))
    ++at_once;
  EXPECT_LE(at_once, 40);
  EXPECT_TRUE(budget.TryAcquire(kLeaf, At(6500)));
}

// Guards against repeats beyond the bound when runs that are themselves repeats
// make calls: the calls count, and can't be refused.
TEST(SharedRetryBudgetTest, CallsOfRepeatedRunsUseTheBudget) {
  SharedRetryBudget budget({});
  int repeats = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("prices", At(i * 5));
    if (i % 10 == 0)
      budget.OnCallFromRetry("prices", At(i * 5));
    repeats += budget.TryAcquire(kLeaf, At(i * 5)) ? 1 : 0;
  }
  EXPECT_GT(repeats, 40);
  EXPECT_LE(repeats + 100, 200);
}

// Guards against repeats that are lost on requests which fail all the same
// while more important ones go without.
TEST(SharedRetryBudgetTest, LowRanksComeFirst) {
  SharedRetryBudget budget({});
  int low = 0;
  int high = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("prices", At(i * 5));
    if (i % 2 == 0)
      high += budget.TryAcquire({"prices", 0.8, true}, At(i * 5)) ? 1 : 0;
    else if (i % 10 == 1)
      low += budget.TryAcquire({"prices", 0.1, true}, At(i * 5)) ? 1 : 0;
  }
  // Of the 100 that ask.
  EXPECT_GE(low, 90);
  EXPECT_LE(low + high, 200);
}

TEST(SharedRetryBudgetTest, RanksPutOrdersBeforeBrowsingAndCallersFirst) {
  EXPECT_LT(RetryRank(false, 2, 127), RetryRank(true, 0, 0));
  EXPECT_LT(RetryRank(true, 0, 127), RetryRank(true, 1, 0));
  EXPECT_LT(RetryRank(true, 2, 127), 1);
  // The same requests are chosen at each node.
  EXPECT_EQ(RetryRank(true, 1, 77), RetryRank(true, 1, 77));
}

TEST(SharedRetryBudgetTest, RequestsWithCallsGetLess) {
  SharedRetryBudget budget({});
  for (int i = 0; i < 1000; ++i)
    budget.OnRequest("plans", At(i * 5));
  int repeats = 0;
  for (int i = 0; i < 100; ++i)
    repeats += budget.TryAcquire({"plans", 0, false}, At(4000 + i)) ? 1 : 0;
  EXPECT_LE(repeats, 21);
}

// Whatever the nodes send and however they fail, the sum stays below the bound
// on each window, with one free repeat for each node.
TEST(SharedRetryBudgetPropertyTest, NodesTogetherKeepTheBound) {
  rc::check([](const std::vector<std::uint32_t>& steps) {
    constexpr std::size_t kNodes = 4;
    constexpr std::int64_t kWindowMs = 10'000;
    std::vector<SharedRetryBudget> nodes(
        kNodes, SharedRetryBudget(SharedRetryBudgetOptions{}));
    std::deque<std::int64_t> requests;
    std::deque<std::int64_t> repeats;
    std::int64_t now = 0;
    for (const std::uint32_t step : steps) {
      now += step % 211;
      SharedRetryBudget& node = nodes[(step / 211) % kNodes];
      if (step % 3 != 0) {
        node.OnRequest("prices", At(now));
        requests.push_back(now);
      } else if (node.TryAcquire(kLeaf, At(now))) {
        repeats.push_back(now);
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
      RC_ASSERT(static_cast<double>(in_window(repeats)) <=
                0.2 * static_cast<double>(counted) + kNodes + 1);
    }
  });
}

}  // namespace
}  // namespace sesamespread::coordination
