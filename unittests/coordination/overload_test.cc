/// \file
/// Guards against work wasted on requests that an overloaded service will
/// refuse later, and against refusals while there is capacity.
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

TEST(OverloadThresholdTest, RefusesNothingWithoutQueueingDelay) {
  OverloadThreshold threshold;
  for (int i = 0; i < 100; ++i)
    threshold.Observe(Duration(0), 0.2, At(i * 10));
  EXPECT_EQ(threshold.threshold(), kPriorityCount);
}

TEST(OverloadThresholdTest, AdmitsAllAgainWithinSecondsAfterAnOverload) {
  OverloadThreshold threshold;
  for (int i = 0; i < 500; ++i)
    threshold.Observe(milliseconds(150), 0, At(i * 10));
  EXPECT_LT(threshold.threshold(), 2 * state::kPrioritiesPerImportance);
  for (int i = 500; i < 900; ++i)
    threshold.Observe(Duration(0), 0.5, At(i * 10));
  EXPECT_EQ(threshold.threshold(), kPriorityCount);
}

TEST(RouteThresholdsTest, OnlyRoutesBehindAnOverloadHaveAThreshold) {
  RouteThresholds thresholds;
  for (int i = 0; i < 50; ++i)
    thresholds.Observe("stock", {{"prices", 200}}, At(i));
  thresholds.Observe("plans", {}, At(50));
  EXPECT_NEAR(thresholds.LowestThreshold("stock", At(50)).threshold, 200, 2);
  EXPECT_EQ(thresholds.LowestThreshold("plans", At(50)).threshold,
            kPriorityCount);
}

TEST(RouteThresholdsTest, OldReportsAreIgnored) {
  RouteThresholds thresholds;
  for (int i = 0; i < 50; ++i)
    thresholds.Observe("stock", {{"prices", 0}}, At(i));
  EXPECT_EQ(thresholds.LowestThreshold("stock", At(2000)).threshold,
            kPriorityCount);
}

TEST(RouteThresholdsTest, AnswersWithoutOverloadRemoveTheThreshold) {
  RouteThresholds thresholds;
  for (int i = 0; i < 50; ++i)
    thresholds.Observe("stock", {{"prices", 100}}, At(i));
  for (int i = 50; i < 100; ++i)
    thresholds.Observe("stock", {}, At(i));
  EXPECT_TRUE(thresholds.ThresholdsOfRoute("stock", At(100)).empty());
}

TEST(EntryPriorityTest, RanksDoNotOverlap) {
  EXPECT_LT(EntryPriority(0, UINT64_MAX), EntryPriority(1, 0));
  EXPECT_LT(EntryPriority(1, UINT64_MAX), EntryPriority(2, 0));
  EXPECT_LT(EntryPriority(9, UINT64_MAX), kPriorityCount);
}

// Simulates 20 s of load on a service deep in the call chain: its capacity is
// 1000 calls a second, the load is `factor` times as much. A third of the calls
// are for orders (rank 0), the others for browse requests (rank 2). Calls
// beyond the capacity are queued, and answers reach the entry node 200 ms
// later.
struct SimulationResult {
  double orders_admitted = 0;
  double utilization = 0;
  double mean_wait_ms = 0;
};

SimulationResult SimulateOverload(double factor) {
  constexpr double kCapacityPerMs = 1.0;
  constexpr int kSteps = 20'000;
  constexpr int kDelayMs = 200;
  std::mt19937_64 random(11);
  OverloadThreshold threshold;
  RouteThresholds thresholds;
  std::deque<std::uint32_t> reports_in_transit;
  std::deque<double> requests_in_transit(kDelayMs, 0);
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
                         thresholds.LowestThreshold("route", At(ms)).threshold;
      orders += order ? 1 : 0;
      orders_admitted += order && admit ? 1 : 0;
      admitted += admit ? 1 : 0;
    }
    requests_in_transit.push_back(admitted);
    queue += requests_in_transit.front();
    requests_in_transit.pop_front();
    const double processed = std::min(queue, kCapacityPerMs);
    queue -= processed;
    done += processed;
    wait_sum += queue / kCapacityPerMs;
    threshold.Observe(
        Duration(static_cast<std::int64_t>(queue / kCapacityPerMs * 1000)),
        1 - processed / kCapacityPerMs, At(ms));
    reports_in_transit.push_back(threshold.threshold());
    if (reports_in_transit.size() > kDelayMs && ms % 10 == 0) {
      std::vector<ReportedThreshold> reports;
      if (reports_in_transit.front() < kPriorityCount)
        reports.push_back({"prices", reports_in_transit.front()});
      thresholds.Observe("route", reports, At(ms));
    }
    if (reports_in_transit.size() > kDelayMs)
      reports_in_transit.pop_front();
  }
  return {static_cast<double>(orders_admitted) / orders,
          done / (kSteps * kCapacityPerMs), wait_sum / kSteps};
}

TEST(OverloadLoadTest,
     CriticalRequestsAreAdmittedWhileBrowseRequestsAreRefused) {
  for (const double factor : {1.2, 1.5, 1.8}) {
    const SimulationResult result = SimulateOverload(factor);
    EXPECT_GT(result.orders_admitted, 0.97) << factor;
    EXPECT_GT(result.utilization, 0.85) << factor;
    EXPECT_LT(result.mean_wait_ms, 120) << factor;
  }
}

TEST(OverloadLoadTest, NothingIsRefusedBelowTheCapacity) {
  const SimulationResult result = SimulateOverload(0.8);
  EXPECT_GT(result.orders_admitted, 0.999);
  EXPECT_GT(result.utilization, 0.78);
}

}  // namespace
}  // namespace sesamespread::coordination
