/// \file
/// Guards against servers that are overloaded in turn while others idle,
/// because many nodes choose by stale reports or by their own measurements
/// only. Each test runs the previous policy, without reports of wait and work
/// time, on the same load for comparison.
#include <gtest/gtest.h>

#include <cstdio>

#include "load_balancing_bench.h"

namespace sesamespread::coordination {
namespace {

/// Share of the mean by which the busiest server may exceed it.
constexpr double kMaxBusiest = 1.3;

/// Standard deviation of the difference of two shares of about 0.95 of the
/// 35,000 requests of a run, times 3.
constexpr double kShareTolerance = 0.005;

BenchResult Measure(const char* name,
                    const BenchScenario& scenario,
                    const BenchPolicy& policy) {
  const BenchResult result = LoadBalancingBench(scenario, policy).Run();
  std::printf(
      "%-28s busiest %.2f  wait p99 %5.1f ms  answer p99 %5.0f ms  within "
      "300 ms %.4f  other zone %.4f  idle while queued %.4f  placements %.2f  "
      "failed %.4f\n",
      name, result.busiest, result.wait_p99, result.latency_p99, result.in_time,
      result.other_zone, result.idle_while_queued, result.placements,
      result.failed);
  return result;
}

BenchPolicy PreviousPolicy() {
  BenchPolicy policy;
  policy.uses_reports = false;
  policy.refuses_slow = false;
  return policy;
}

TEST(LoadBalancingTest, FollowsServersThatAreSlowForAMoment) {
  const BenchScenario scenario;
  const BenchResult previous =
      Measure("slow in turn, previous", scenario, PreviousPolicy());
  const BenchResult current = Measure("slow in turn", scenario, {});
  EXPECT_LT(current.busiest, kMaxBusiest);
  EXPECT_GT(current.in_time, previous.in_time + kShareTolerance);
  EXPECT_LT(current.wait_p99, previous.wait_p99);
  EXPECT_LE(current.other_zone, previous.other_zone + kShareTolerance);
  EXPECT_EQ(current.failed, 0);
}

TEST(LoadBalancingTest, FollowsServersThatAreSlowForAMomentUnderHighLoad) {
  BenchScenario scenario;
  scenario.slots = 14;
  const BenchResult previous =
      Measure("high load, previous", scenario, PreviousPolicy());
  const BenchResult current = Measure("high load", scenario, {});
  EXPECT_LT(current.busiest, kMaxBusiest);
  EXPECT_GT(current.in_time, previous.in_time + kShareTolerance);
  EXPECT_LE(current.other_zone, previous.other_zone + kShareTolerance);
}

// Nodes that rarely call a service have no history of their own with it.
TEST(LoadBalancingTest, ServesRareCallers) {
  BenchScenario scenario;
  scenario.servers = 12;
  scenario.slots = 8;
  scenario.requests_per_second = 7;
  const BenchResult previous =
      Measure("rare calls, previous", scenario, PreviousPolicy());
  const BenchResult current = Measure("rare calls", scenario, {});
  EXPECT_LT(current.busiest, kMaxBusiest);
  EXPECT_GT(current.in_time, previous.in_time + kShareTolerance);
  EXPECT_LE(current.other_zone, previous.other_zone + kShareTolerance);
}

TEST(LoadBalancingTest, EqualServersWithoutWorkTimesAreServedAsBefore) {
  BenchScenario scenario;
  scenario.speeds = {1};
  scenario.noise_share = 0;
  scenario.reports_work_time = false;
  const BenchResult previous =
      Measure("equal servers, previous", scenario, PreviousPolicy());
  const BenchResult current = Measure("equal servers", scenario, {});
  EXPECT_LT(current.busiest, kMaxBusiest);
  EXPECT_GT(current.in_time, previous.in_time - kShareTolerance);
  EXPECT_LT(current.wait_p99, previous.wait_p99 * 1.1);
  EXPECT_LE(current.other_zone, previous.other_zone + kShareTolerance);
}

// Guards against a zone that keeps its calls although it is 3 times slower.
TEST(LoadBalancingTest, SpillsFromASlowZone) {
  BenchScenario scenario;
  scenario.slots = 30;
  scenario.first_zone_slowdown = 3;
  const BenchResult previous =
      Measure("slow zone, previous", scenario, PreviousPolicy());
  const BenchResult current = Measure("slow zone", scenario, {});
  EXPECT_GT(current.in_time, previous.in_time + kShareTolerance);
  // The callers of the slow zone are a third.
  EXPECT_LT(current.other_zone, 0.34);
}

}  // namespace
}  // namespace sesamespread::coordination
