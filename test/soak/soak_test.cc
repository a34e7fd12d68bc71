/// \file
/// Short soaks with fixed seeds, which include regressions, and the unit tests
/// of the checks.
#include <gtest/gtest.h>

#include <string>

#include "route_soak.h"
#include "soak_judge.h"

namespace sesamespread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A seed and the fault that it guards against.
struct SoakSeed {
  std::uint64_t seed;
  const char* reason;
};

constexpr SoakSeed kSeeds[] = {
    {20261204, "no known fault"},
    {1, "a stalled idle link delayed the discovery of a new backend server"},
    {3, "a stalled watch of the store delayed new routes by more than 2 s"},
    {4, "same as 3"},
    {110, "a restart lost a leave that was not in the store"},
    {306, "same as 110"},
    {113, "each of several stalled idle connections failed a request"},
    {123, "all watches of the store stalled at the same time"},
    {314, "same as 123"},
};

std::string SeedName(const testing::TestParamInfo<SoakSeed>& seed) {
  return "Seed" + std::to_string(seed.param.seed);
}

class RouteSoakTest : public testing::TestWithParam<SoakSeed> {};

void ExpectDeliveryGuarantees(SoakOptions options) {
  options.duration = seconds(10);
  options.log_directory = testing::TempDir();
  const SoakReport report = RunRouteSoak(options);
  for (const std::string& violation : report.violations)
    ADD_FAILURE() << violation;
  EXPECT_GT(report.faults, 10U);
  // A deployment that refuses all requests would cause no violation.
  EXPECT_GT(report.answered, report.requests / 4);
}

TEST_P(RouteSoakTest, KeepsDeliveryGuarantees) {
  SoakOptions options;
  options.seed = GetParam().seed;
  ExpectDeliveryGuarantees(options);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RouteSoakTest,
                         testing::ValuesIn(kSeeds),
                         SeedName);

// Guards against bytes of a backend server or of another node that reach a
// caller as an answer, end a node, or make an order run again.
TEST(RouteSoakBytesTest, KeepsDeliveryGuarantees) {
  // Found bytes without end that completed the body of an answer which the
  // stand-in server had broken off.
  SoakOptions options;
  options.seed = 20261404;
  options.has_byte_faults = true;
  ExpectDeliveryGuarantees(options);
}

// Guards against routes that are not seen or go back, and leaves that are
// forgotten, because the store has lost its last writes.
TEST(RouteSoakRestoresTest, KeepsDeliveryGuarantees) {
  SoakOptions options;
  options.seed = 27;
  options.has_store_restores = true;
  ExpectDeliveryGuarantees(options);
}

constexpr SoakSeed kStatementSeeds[] = {
    {24, "no known fault"},
    {2723, "a leave was read late after a restart while the store failed"},
};

class RouteSoakStatementTest : public testing::TestWithParam<SoakSeed> {};

// Guards against rate limits and leaves that nodes forget under other faults.
TEST_P(RouteSoakStatementTest, KeepsDeliveryGuarantees) {
  SoakOptions options;
  options.seed = GetParam().seed;
  options.has_server_statements = true;
  ExpectDeliveryGuarantees(options);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RouteSoakStatementTest,
                         testing::ValuesIn(kStatementSeeds),
                         SeedName);

class SoakCheckTest : public testing::Test {
 protected:
  static CallerRecord AnsweredRecord(const std::string& id) {
    CallerRecord record;
    record.id = id;
    record.route_host = "orders.example";
    record.sent = state::Instant(seconds(100));
    record.ended = record.sent + milliseconds(30);
    record.status = 200;
    record.seal = "i-1/" + id;
    record.body = "i-1 answers " + id;
    return record;
  }

  static std::size_t CountViolations(
      const std::vector<CallerRecord>& records,
      const BackendExecutions& executions,
      const std::vector<Disturbance>& disturbances = {}) {
    return CheckRecords(records, executions, disturbances).size();
  }
};

TEST_F(SoakCheckTest, AcceptsCompleteAnswers) {
  EXPECT_EQ(CountViolations({AnsweredRecord("a"), AnsweredRecord("b")},
                            {{{"a", 1}, {"b", 1}}}),
            0U);
}

TEST_F(SoakCheckTest, ReportsAnOrderThatRanTwice) {
  EXPECT_EQ(CountViolations({AnsweredRecord("a")}, {{{"a", 2}}}), 1U);
}

TEST_F(SoakCheckTest, ReportsARefusedRequestThatRan) {
  CallerRecord refused = AnsweredRecord("a");
  refused.status = 503;
  EXPECT_EQ(CountViolations({refused}, {{{"a", 1}}}), 1U);
  EXPECT_EQ(CountViolations({refused}, {}), 0U);
}

TEST_F(SoakCheckTest, ReportsAnAnswerOfAnotherRequest) {
  CallerRecord record = AnsweredRecord("a");
  record.seal = "i-1/b";
  EXPECT_EQ(CountViolations({record}, {{{"a", 1}}}), 1U);
  record = AnsweredRecord("a");
  record.body = "i-1 ans";
  EXPECT_EQ(CountViolations({record}, {{{"a", 1}}}), 1U);
}

// The platform tolerates three lost connections and seven late answers.
TEST_F(SoakCheckTest, ReportsRequestsWithoutAnswerAtUndisturbedNodes) {
  std::vector<CallerRecord> lost;
  for (int i = 0; i < 4; ++i) {
    lost.push_back(AnsweredRecord("a" + std::to_string(i)));
    lost.back().status = 0;
  }
  EXPECT_EQ(CountViolations(lost, {}), 1U);
  const Disturbance disturbance{0, lost[0].sent - seconds(1),
                                lost[0].sent + seconds(1)};
  EXPECT_EQ(CountViolations(lost, {}, {disturbance}), 0U);
  std::vector<CallerRecord> late;
  for (int i = 0; i < 8; ++i) {
    late.push_back(AnsweredRecord("b" + std::to_string(i)));
    late.back().status = 504;
    late.back().ended = late.back().sent + kCallerBudget + milliseconds(501);
  }
  EXPECT_EQ(CountViolations(late, {}), 1U);
}

}  // namespace
}  // namespace sesamespread::test
