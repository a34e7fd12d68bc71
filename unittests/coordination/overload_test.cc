/// \file
/// Guards against work that is wasted below an overloaded service, and against
/// refusals while there is room.
#include "sesamespread/coordination/overload.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using state::kPriorityCount;
using std::chrono::milliseconds;

Instant At(std::int64_t ms) {
  return Instant(std::chrono::hours(1) + milliseconds(ms));
}

TEST(OverloadThresholdTest, RefusesNothingWithoutAWait) {
  OverloadThreshold threshold;
  for (int i = 0; i < 100; ++i)
    threshold.Observe(Duration(0), 0.2, At(i * 10));
  EXPECT_EQ(threshold.threshold(), kPriorityCount);
}

TEST(OverloadThresholdTest, OpensAgainWithinSecondsOfTheEnd) {
  OverloadThreshold threshold;
  for (int i = 0; i < 500; ++i)
    threshold.Observe(milliseconds(150), 0, At(i * 10));
  EXPECT_LT(threshold.threshold(), 2 * state::kPrioritiesPerImportance);
  for (int i = 500; i < 900; ++i)
    threshold.Observe(Duration(0), 0.5, At(i * 10));
  EXPECT_EQ(threshold.threshold(), kPriorityCount);
}

TEST(RoutePressureTest, OnlyRoutesThatMetAnOverloadReportIt) {
  RouteThresholds pressure;
  for (int i = 0; i < 50; ++i)
    pressure.Observe("stock", {{"prices", 200}}, At(i));
  pressure.Observe("plans", {}, At(50));
  EXPECT_NEAR(pressure.LowestThreshold("stock", At(50)).threshold, 200, 2);
  EXPECT_EQ(pressure.LowestThreshold("plans", At(50)).threshold,
            kPriorityCount);
}

TEST(RoutePressureTest, OldReportsDoNotCount) {
  RouteThresholds pressure;
  for (int i = 0; i < 50; ++i)
    pressure.Observe("stock", {{"prices", 0}}, At(i));
  EXPECT_EQ(pressure.LowestThreshold("stock", At(2000)).threshold,
            kPriorityCount);
}

TEST(RoutePressureTest, AnswersWithoutOverloadEndIt) {
  RouteThresholds pressure;
  for (int i = 0; i < 50; ++i)
    pressure.Observe("stock", {{"prices", 100}}, At(i));
  for (int i = 50; i < 100; ++i)
    pressure.Observe("stock", {}, At(i));
  EXPECT_TRUE(pressure.ThresholdsOfRoute("stock", At(100)).empty());
}

TEST(EntryPriorityTest, RanksDoNotOverlap) {
  EXPECT_LT(EntryPriority(0, UINT64_MAX), EntryPriority(1, 0));
  EXPECT_LT(EntryPriority(1, UINT64_MAX), EntryPriority(2, 0));
  EXPECT_LT(EntryPriority(9, UINT64_MAX), kPriorityCount);
}

// A deep service that can do 1000 calls a second is asked for `factor` times as
// much for 20 s: a third of it for orders (rank 0), the rest for browsing (rank
// 2). What it can't do waits; answers reach the entry 200 ms later.
struct LoadResult {
  double orders_admitted = 0;
  double used = 0;
  double mean_wait_ms = 0;
};

LoadResult PlayLoad(double factor) {
  constexpr double kCapacityPerMs = 1.0;
  constexpr int kSteps = 20'000;
  constexpr int kDelayMs = 200;
  std::mt19937_64 random(11);
  OverloadThreshold threshold;
  RouteThresholds pressure;
  std::deque<std::uint32_t> on_the_way;
  std::deque<double> arriving(kDelayMs, 0);
  double queue = 0;
  double done = 0;
  double wait_sum = 0;
  int orders = 0;
  int orders_admitted = 0;
  std::bernoulli_distribution is_order(1.0 / 3);
  std::poisson_distribution<int> arrivals(factor * kCapacityPerMs);
  for (int ms = 0; ms < kSteps; ++ms) {
    double admitted = 0;
    for (int i = arrivals(random); i > 0; --i) {
      const bool order = is_order(random);
      const bool admit = EntryPriority(order ? 0 : 2, random()) <
                         pressure.LowestThreshold("route", At(ms)).threshold;
      orders += order ? 1 : 0;
      orders_admitted += order && admit ? 1 : 0;
      admitted += admit ? 1 : 0;
    }
    arriving.push_back(admitted);
    queue += arriving.front();
    arriving.pop_front();
    const double worked = std::min(queue, kCapacityPerMs);
    queue -= worked;
    done += worked;
    wait_sum += queue / kCapacityPerMs;
    threshold.Observe(
        Duration(static_cast<std::int64_t>(queue / kCapacityPerMs * 1000)),
        1 - worked / kCapacityPerMs, At(ms));
    on_the_way.push_back(threshold.threshold());
    if (on_the_way.size() > kDelayMs && ms % 10 == 0) {
      std::vector<ReportedThreshold> points;
      if (on_the_way.front() < kPriorityCount)
        points.push_back({"prices", on_the_way.front()});
      pressure.Observe("route", points, At(ms));
    }
    if (on_the_way.size() > kDelayMs)
      on_the_way.pop_front();
  }
  return {static_cast<double>(orders_admitted) / orders,
          done / (kSteps * kCapacityPerMs), wait_sum / kSteps};
}

TEST(OverloadLoadTest, OrdersEnterWhileBrowsingIsRefused) {
  for (const double factor : {1.2, 1.5, 1.8}) {
    const LoadResult result = PlayLoad(factor);
    EXPECT_GT(result.orders_admitted, 0.97) << factor;
    EXPECT_GT(result.used, 0.85) << factor;
    EXPECT_LT(result.mean_wait_ms, 120) << factor;
  }
}

TEST(OverloadLoadTest, NothingIsRefusedBelowTheCapacity) {
  const LoadResult result = PlayLoad(0.8);
  EXPECT_GT(result.orders_admitted, 0.999);
  EXPECT_GT(result.used, 0.78);
}

}  // namespace
}  // namespace sesamespread::coordination
