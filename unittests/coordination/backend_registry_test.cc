/// \file
/// Guards against late reports that bring back a backend server which has left,
/// and against those of a server that had the address before.
#include "sesamespread/coordination/backend_registry.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

const state::Endpoint kHere{"10.1.0.8", 8301};

state::Instant At(int ms) {
  return state::Instant(std::chrono::milliseconds(ms));
}

state::BackendReport MakeReport(const std::string& instance,
                                std::uint64_t started_ms,
                                std::uint64_t sequence) {
  state::BackendReport report;
  report.identity = {instance, started_ms};
  report.sequence = sequence;
  report.endpoint = kHere;
  report.service = "orders";
  report.slots = 4;
  return report;
}

class BackendRegistryTest : public ::testing::Test {
 protected:
  ReportOutcome Apply(const state::BackendReport& report) {
    return registry_.Apply(report, At(++now_));
  }

  int now_ = 0;
  BackendRegistry registry_{kHere};
};

TEST_F(BackendRegistryTest, TakesTheFirstReportAndIgnoresRepeats) {
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 1)), ReportOutcome::kChanged);
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 2)), ReportOutcome::kUnchanged);
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 2)), ReportOutcome::kStale);
  EXPECT_TRUE(registry_.takes_work());
}

TEST_F(BackendRegistryTest, ALateReportOfAnEarlierRunChangesNothing) {
  Apply(MakeReport("i-2", 200, 1));
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 50)), ReportOutcome::kStale);
  EXPECT_EQ(registry_.current()->identity.instance, "i-2");
}

TEST_F(BackendRegistryTest, ARunUnderTheSameIdStartsItsCountsAnew) {
  Apply(MakeReport("i-1", 100, 50));
  EXPECT_EQ(Apply(MakeReport("i-1", 200, 1)), ReportOutcome::kChanged);
  EXPECT_EQ(registry_.current()->identity.started_ms, 200U);
}

TEST_F(BackendRegistryTest, ALeaveIsFinal) {
  Apply(MakeReport("i-1", 100, 1));
  state::BackendReport leaving = MakeReport("i-1", 100, 2);
  leaving.leaving = true;
  EXPECT_EQ(Apply(leaving), ReportOutcome::kChanged);
  EXPECT_FALSE(registry_.takes_work());
  // A report from before the leave that arrives with a higher count, as from
  // another writer, doesn't undo it.
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 3)), ReportOutcome::kUnchanged);
  EXPECT_FALSE(registry_.takes_work());
  EXPECT_EQ(registry_.left_at(), At(2));
}

TEST_F(BackendRegistryTest, ALeaveOfAnEarlierRunDoesNotStopTheNewOne) {
  Apply(MakeReport("i-1", 200, 1));
  EXPECT_EQ(registry_.Leave({"i-1", 100}, 900, At(9)), ReportOutcome::kStale);
  EXPECT_EQ(registry_.Leave({"i-0", 0}, 900, At(9)), ReportOutcome::kStale);
  EXPECT_TRUE(registry_.takes_work());
  EXPECT_EQ(registry_.Leave({"i-1", 200}, 900, At(9)), ReportOutcome::kChanged);
  EXPECT_EQ(registry_.Leave({"i-1", 200}, 900, At(10)),
            ReportOutcome::kUnchanged);
  EXPECT_FALSE(registry_.takes_work());
}

// The node was restarted just before the leave: it knows no server yet, but has
// confirmed the leave, and late reports and health checks must not undo that.
TEST_F(BackendRegistryTest, ALeaveCountsBeforeTheServerIsKnown) {
  registry_.Leave({"i-1", 0}, 5000, At(1));
  EXPECT_EQ(registry_.Confirm({"i-1", 0}, "orders", 8, At(2)),
            ReportOutcome::kStale);
  Apply(MakeReport("i-1", 100, 20));
  EXPECT_FALSE(registry_.takes_work());
  // A later run under the same id is another one.
  EXPECT_EQ(Apply(MakeReport("i-1", 6000, 1)), ReportOutcome::kChanged);
  EXPECT_TRUE(registry_.takes_work());
}

TEST_F(BackendRegistryTest, AServerAtAnotherAddressIsNotThisOne) {
  state::BackendReport foreign = MakeReport("i-9", 900, 1);
  foreign.endpoint.port = 9999;
  EXPECT_EQ(Apply(foreign), ReportOutcome::kForeign);
  EXPECT_FALSE(registry_.current().has_value());
}

TEST_F(BackendRegistryTest, AHealthCheckCountsUntilTheFirstReport) {
  EXPECT_EQ(registry_.Confirm({"i-1", 0}, "orders", 8, At(1)),
            ReportOutcome::kChanged);
  EXPECT_TRUE(registry_.takes_work());
  EXPECT_EQ(registry_.current()->slots, 8U);
  // The first report replaces it, whatever its count.
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 30)), ReportOutcome::kChanged);
  EXPECT_EQ(registry_.current()->slots, 4U);
  EXPECT_EQ(registry_.Confirm({"i-1", 0}, "orders", 8, At(3)),
            ReportOutcome::kStale);
}

}  // namespace
}  // namespace sesamespread::coordination
