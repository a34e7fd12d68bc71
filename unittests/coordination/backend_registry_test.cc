/// \file
/// Guards against late reports that make a backend server accept work again
/// after it has left, and against reports of an earlier backend server at the
/// same endpoint.
#include "sesamespread/coordination/backend_registry.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

const state::Endpoint kEndpoint{"10.1.0.8", 8301};

state::Instant At(int ms) {
  return state::Instant(std::chrono::milliseconds(ms));
}

state::BackendReport MakeReport(const std::string& instance,
                                std::uint64_t started_ms,
                                std::uint64_t sequence) {
  state::BackendReport report;
  report.identity = {instance, started_ms};
  report.sequence = sequence;
  report.endpoint = kEndpoint;
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
  BackendRegistry registry_{kEndpoint};
};

TEST_F(BackendRegistryTest, AcceptsTheFirstReportAndIgnoresDuplicates) {
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 1)), ReportOutcome::kChanged);
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 2)), ReportOutcome::kUnchanged);
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 2)), ReportOutcome::kStale);
  EXPECT_TRUE(registry_.accepts_work());
}

TEST_F(BackendRegistryTest, IgnoresALateReportOfAnEarlierInstance) {
  Apply(MakeReport("i-2", 200, 1));
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 50)), ReportOutcome::kStale);
  EXPECT_EQ(registry_.current()->identity.instance, "i-2");
}

TEST_F(BackendRegistryTest, ALaterInstanceOfTheSameNameRestartsItsSequence) {
  Apply(MakeReport("i-1", 100, 50));
  EXPECT_EQ(Apply(MakeReport("i-1", 200, 1)), ReportOutcome::kChanged);
  EXPECT_EQ(registry_.current()->identity.started_ms, 200U);
}

// Guards against a running server that gets no work because the leave of an
// earlier run with the same name arrived late and was recorded for the name.
TEST_F(BackendRegistryTest, ALateLeaveOfAnEarlierRunIsRecognized) {
  Apply(MakeReport("i-1", 200, 1));
  EXPECT_EQ(registry_.ApplyLeave({"i-1", 100}, 300, At(++now_)),
            ReportOutcome::kStale);
  EXPECT_TRUE(registry_.IsEarlierRun({"i-1", 100}));
  EXPECT_TRUE(registry_.accepts_work());
  EXPECT_FALSE(registry_.IsEarlierRun({"i-1", 200}));
  EXPECT_FALSE(registry_.IsEarlierRun({"i-1", 0}));
  EXPECT_FALSE(registry_.IsEarlierRun({"i-2", 100}));
}

TEST_F(BackendRegistryTest, LaterReportsDoNotUndoALeave) {
  Apply(MakeReport("i-1", 100, 1));
  state::BackendReport leaving = MakeReport("i-1", 100, 2);
  leaving.leaving = true;
  EXPECT_EQ(Apply(leaving), ReportOutcome::kChanged);
  EXPECT_FALSE(registry_.accepts_work());
  // A report without the leave but with a higher sequence number, as from a
  // second sender, does not undo the leave.
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 3)), ReportOutcome::kUnchanged);
  EXPECT_FALSE(registry_.accepts_work());
  EXPECT_EQ(registry_.left_at(), At(2));
}

TEST_F(BackendRegistryTest,
       ALeaveOfAnEarlierInstanceDoesNotAffectTheCurrentOne) {
  Apply(MakeReport("i-1", 200, 1));
  EXPECT_EQ(registry_.ApplyLeave({"i-1", 100}, 900, At(9)),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.ApplyLeave({"i-0", 0}, 900, At(9)),
            ReportOutcome::kStale);
  EXPECT_TRUE(registry_.accepts_work());
  EXPECT_EQ(registry_.ApplyLeave({"i-1", 200}, 900, At(9)),
            ReportOutcome::kChanged);
  EXPECT_EQ(registry_.ApplyLeave({"i-1", 200}, 900, At(10)),
            ReportOutcome::kUnchanged);
  EXPECT_FALSE(registry_.accepts_work());
}

// Guards against a leave that is lost because the node restarted just before
// it: no backend server is registered yet, but the leave has been acknowledged,
// and late reports and health checks must not undo it.
TEST_F(BackendRegistryTest, ALeaveBeforeTheFirstReportIsRecorded) {
  registry_.ApplyLeave({"i-1", 0}, 5000, At(1));
  EXPECT_EQ(registry_.ConfirmByHealthCheck({"i-1", 0}, "orders", 8, At(2)),
            ReportOutcome::kStale);
  Apply(MakeReport("i-1", 100, 20));
  EXPECT_FALSE(registry_.accepts_work());
  // A later instance of the same name has not left.
  EXPECT_EQ(Apply(MakeReport("i-1", 6000, 1)), ReportOutcome::kChanged);
  EXPECT_TRUE(registry_.accepts_work());
}

TEST_F(BackendRegistryTest, IgnoresAServerAtAnotherEndpoint) {
  state::BackendReport other = MakeReport("i-9", 900, 1);
  other.endpoint.port = 9999;
  EXPECT_EQ(Apply(other), ReportOutcome::kOtherEndpoint);
  EXPECT_FALSE(registry_.current().has_value());
}

TEST_F(BackendRegistryTest, AHealthCheckIsUsedUntilTheFirstReport) {
  EXPECT_EQ(registry_.ConfirmByHealthCheck({"i-1", 0}, "orders", 8, At(1)),
            ReportOutcome::kChanged);
  EXPECT_TRUE(registry_.accepts_work());
  EXPECT_EQ(registry_.current()->slots, 8U);
  // The first report replaces it, whatever its sequence number.
  EXPECT_EQ(Apply(MakeReport("i-1", 100, 30)), ReportOutcome::kChanged);
  EXPECT_EQ(registry_.current()->slots, 4U);
  EXPECT_EQ(registry_.ConfirmByHealthCheck({"i-1", 0}, "orders", 8, At(3)),
            ReportOutcome::kStale);
}

}  // namespace
}  // namespace sesamespread::coordination
