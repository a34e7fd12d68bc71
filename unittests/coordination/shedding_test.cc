/// \file
/// Guards against thresholds that shed important requests first, that stay low
/// after an overload, or that make the entry node refuse requests which another
/// server would accept.
#include "sesamespread/coordination/shedding.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Importance;
using state::Instant;
using state::kPriorityCount;
using std::chrono::milliseconds;

constexpr Duration kService = milliseconds(20);

// Simulates one interval in which a request of each priority arrives, 100
// requests finish, and the queue does not become empty.
void Overload(SheddingThreshold& threshold, Instant now) {
  for (std::uint32_t priority = 0; priority < kPriorityCount; ++priority) {
    threshold.OnArrival(priority);
  }
  for (int i = 0; i < 100; ++i) {
    threshold.OnStart(milliseconds(50));
    threshold.OnFinish();
  }
  threshold.Tick(20, kService, now);
}

TEST(SheddingThresholdTest, AdmitsAsManyAsTheServerCompletes) {
  SheddingThreshold threshold({}, Instant{});
  EXPECT_EQ(threshold.threshold(), kPriorityCount);
  Overload(threshold, Instant{milliseconds(100)});
  EXPECT_TRUE(threshold.overloaded());
  EXPECT_DOUBLE_EQ(threshold.service_rate(), 1000);
  // 100 requests and 8% headroom of one request per priority.
  EXPECT_EQ(threshold.threshold(), 108U);
}

TEST(SheddingThresholdTest, RisesInStepsAndFullyWithinASecond) {
  SheddingThreshold threshold({}, Instant{});
  Overload(threshold, Instant{milliseconds(100)});
  const std::uint32_t lowered = threshold.threshold();
  threshold.Tick(0, kService, Instant{milliseconds(200)});
  EXPECT_GT(threshold.threshold(), lowered);
  EXPECT_LT(threshold.threshold(), kPriorityCount / 2);
  for (int ms = 300; ms <= 1000; ms += 100) {
    threshold.Tick(0, kService, Instant{milliseconds(ms)});
  }
  EXPECT_EQ(threshold.threshold(), kPriorityCount);
}

TEST(SheddingThresholdTest, RisesAsFarAfterAPauseAsWithTicks) {
  SheddingThreshold threshold({}, Instant{});
  Overload(threshold, Instant{milliseconds(100)});
  threshold.Tick(0, kService, Instant{std::chrono::hours(1)});
  EXPECT_EQ(threshold.threshold(), kPriorityCount);
}

TEST(SheddingThresholdTest, NeverRefusesCriticalWhileAdmittingBrowse) {
  std::mt19937_64 random(7);
  SheddingThreshold threshold({}, Instant{});
  for (int interval = 1; interval <= 2000; ++interval) {
    bool critical_refused = false;
    const auto requests = random() % 300;
    for (std::uint64_t i = 0; i < requests; ++i) {
      const auto priority =
          static_cast<std::uint32_t>(random() % kPriorityCount);
      threshold.OnArrival(priority);
      const bool admitted = threshold.Admits(priority);
      if (priority < state::kPrioritiesPerImportance && !admitted) {
        critical_refused = true;
      }
      ASSERT_FALSE(critical_refused && admitted &&
                   priority >= 2 * state::kPrioritiesPerImportance);
      if (admitted && random() % 50 == 0) {
        threshold.OnDrop(static_cast<Importance>(
            priority / state::kPrioritiesPerImportance));
        critical_refused =
            critical_refused || priority < state::kPrioritiesPerImportance;
      } else if (admitted) {
        threshold.OnStart(milliseconds(random() % 40));
        threshold.OnFinish();
      }
    }
    threshold.Tick(static_cast<std::uint32_t>(random() % 3), kService,
                   Instant{milliseconds(100 * interval)});
  }
}

TEST(AdmissionPriorityTest, PrefersDeepRequestsWithinTheirImportance) {
  EXPECT_EQ(AdmissionPriority(300, 0), 300U);
  EXPECT_EQ(AdmissionPriority(300, 1), 278U);
  for (std::uint32_t priority = 0; priority < kPriorityCount; ++priority) {
    const std::uint32_t deep = AdmissionPriority(priority, 3);
    EXPECT_LE(deep, priority);
    EXPECT_EQ(deep / state::kPrioritiesPerImportance,
              priority / state::kPrioritiesPerImportance);
  }
}

TEST(JitteredRetryAfterTest, SpreadsCallersAndIsBounded) {
  std::mt19937_64 random(1);
  Duration low = std::chrono::hours(1);
  Duration high{0};
  for (int i = 0; i < 1000; ++i) {
    const Duration retry = JitteredRetryAfter(std::chrono::seconds(2), random);
    low = std::min(low, retry);
    high = std::max(high, retry);
  }
  EXPECT_GE(low, std::chrono::seconds(1));
  EXPECT_LT(low, milliseconds(1100));
  EXPECT_LE(high, std::chrono::seconds(3));
  EXPECT_GT(high, milliseconds(2900));
  EXPECT_GE(JitteredRetryAfter(Duration(0), random), milliseconds(50));
  EXPECT_LE(JitteredRetryAfter(std::chrono::hours(1), random),
            std::chrono::seconds(15));
}

TEST(ThresholdTableTest, ShedsOnlyRequestsThatHalfOfTheServersRefuse) {
  ThresholdTable table;
  const Instant now{};
  EXPECT_FALSE(table.ShouldShed("prices", {}, kPriorityCount - 1, now));
  table.Observe("prices", 1, 100, now);
  table.Observe("prices", 2, 200, now);
  table.Observe("prices", 3, 300, now);
  table.Observe("prices", 4, kPriorityCount, now);
  EXPECT_EQ(table.EntryThreshold("prices", now), 200U);
  EXPECT_FALSE(table.ShouldShed("prices", {}, 199, now));
  EXPECT_TRUE(table.ShouldShed("prices", {}, 200, now));
  // One overloaded server of three must not make the entry node refuse.
  table.Observe("orders", 1, 0, now);
  table.Observe("orders", 2, kPriorityCount, now);
  table.Observe("orders", 3, kPriorityCount, now);
  EXPECT_FALSE(table.ShouldShed("orders", {}, kPriorityCount - 1, now));
}

TEST(ThresholdTableTest, ShedsForAServiceBelowByDeepPriority) {
  ThresholdTable table;
  const Instant now{};
  const std::vector<std::string> below = {"inventory", "prices"};
  table.Observe("prices", 1, 278, now);
  EXPECT_FALSE(table.ShouldShed("orders", below, 299, now));
  EXPECT_TRUE(table.ShouldShed("orders", below, 300, now));
}

TEST(ThresholdTableTest, IgnoresOldReportsAndOldAnswers) {
  ThresholdTable table;
  const Instant now{std::chrono::seconds(10)};
  table.Observe("prices", 1, 0, now);
  // An answer that was overtaken must not replace the newer report.
  table.Observe("prices", 1, kPriorityCount, now - milliseconds(10));
  EXPECT_TRUE(table.ShouldShed("prices", {}, 300, now + milliseconds(500)));
  EXPECT_FALSE(table.ShouldShed("prices", {}, 300, now + milliseconds(501)));
}

// Number of requests that are not shed at \p threshold, of 1,000 requests of
// \p priority.
int PassedOf1000(std::uint32_t threshold, std::uint32_t priority) {
  ThresholdTable table;
  table.Observe("prices", 1, threshold, Instant{});
  int passed = 0;
  for (int i = 0; i < 1000; ++i) {
    passed += table.ShouldShed("prices", {}, priority, Instant{}) ? 0 : 1;
  }
  return passed;
}

// Guards against an entry node that does not detect that a service has
// recovered.
TEST(ThresholdTableTest, AdmitsAShareOfRequestsAsProbes) {
  EXPECT_EQ(PassedOf1000(280, 300), 20);
  EXPECT_EQ(PassedOf1000(0, 50), 20);
}

// Guards against browse requests that pass as probes while critical ones are
// refused.
TEST(ThresholdTableTest, ProbesOnlyWithTheImportanceAdmittedNext) {
  EXPECT_EQ(PassedOf1000(100, 300), 0);
  EXPECT_EQ(PassedOf1000(200, 300), 0);
  EXPECT_EQ(PassedOf1000(200, 220), 20);
}

// Guards against a critical request that is refused on an old report while the
// server admits browse requests again.
TEST(ThresholdTableTest, CriticalRequestsAreRefusedOnlyOnFreshReports) {
  ThresholdTable table;
  const Instant now{std::chrono::seconds(10)};
  table.Observe("prices", 1, 0, now);
  EXPECT_TRUE(table.ShouldShed("prices", {}, 50, now + milliseconds(100)));
  EXPECT_FALSE(table.ShouldShed("prices", {}, 50, now + milliseconds(101)));
  EXPECT_TRUE(table.ShouldShed("prices", {}, 200, now + milliseconds(101)));
}

TEST(ThresholdTableTest, TracksABoundedNumberOfServers) {
  ThresholdTableOptions options;
  options.max_servers = 4;
  options.max_services = 2;
  ThresholdTable table(options);
  for (int node = 0; node < 100; ++node) {
    table.Observe("prices", node, node < 96 ? kPriorityCount : 0,
                  Instant{milliseconds(node)});
  }
  // Only the last four are kept.
  EXPECT_EQ(table.EntryThreshold("prices", Instant{milliseconds(100)}), 0U);
  table.Observe("orders", 1, 0, Instant{});
  table.Observe("ledger", 1, 0, Instant{});
  EXPECT_EQ(table.EntryThreshold("ledger", Instant{}), kPriorityCount);
}

}  // namespace
}  // namespace sesamespread::coordination
