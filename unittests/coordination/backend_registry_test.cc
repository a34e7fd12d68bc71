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
  Apply(MakeReport("i-1", 100, 1));
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
  Apply(MakeReport("i-1", 100, 1));
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

// Guards against a confirmed leave without effect: the server has started again
// under its name, and its first report has not arrived.
TEST_F(BackendRegistryTest, ALeaveBeforeTheFirstReportOfANewRunIsApplied) {
  for (const std::uint64_t started_ms : {6000, 100}) {
    BackendRegistry registry(kEndpoint);
    registry.Apply(MakeReport("i-1", 5000, 40), At(1));
    EXPECT_EQ(registry.ApplyLeave({"i-1", started_ms}, 7000, At(2)),
              ReportOutcome::kChanged);
    EXPECT_FALSE(registry.accepts_work());
    EXPECT_EQ(registry.left_at(), At(2));
    // Neither a late report of the new run nor one of the run before undoes it.
    registry.Apply(MakeReport("i-1", started_ms, 1), At(3));
    EXPECT_EQ(registry.Apply(MakeReport("i-1", 5000, 41), At(4)),
              ReportOutcome::kStale);
    EXPECT_FALSE(registry.accepts_work());
    EXPECT_EQ(registry.current()->identity.started_ms, started_ms);
  }
}

// Guards against a server that is out of use for good because the leave of an
// earlier run, which this node has not seen, arrived late.
TEST_F(BackendRegistryTest, ARunningServerReturnsAfterTheLeaveOfAnUnknownRun) {
  Apply(MakeReport("i-1", 200, 1));
  EXPECT_EQ(registry_.ApplyLeave({"i-1", 100}, 300, At(1000)),
            ReportOutcome::kChanged);
  const state::Instant proof = At(1000) + BackendRegistry::kMaxReportDelay;
  // A repeated report proves nothing.
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 200, 1), proof),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 200, 8), proof),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 200, 9),
                            proof + BackendRegistry::kMinCandidateTime),
            ReportOutcome::kChanged);
  EXPECT_TRUE(registry_.accepts_work());
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 100, 9), proof),
            ReportOutcome::kStale);
}

// Guards against a run that returns although it has left.
TEST_F(BackendRegistryTest, ARunThatHasLeftDoesNotReturn) {
  Apply(MakeReport("i-1", 100, 1));
  registry_.ApplyLeave({"i-1", 100}, 90, At(10));
  Apply(MakeReport("i-1", 200, 1));
  EXPECT_TRUE(registry_.accepts_work());
  const state::Instant late = At(11) + BackendRegistry::kMaxReportDelay;
  registry_.Apply(MakeReport("i-1", 100, 8), late);
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 100, 9),
                            late + BackendRegistry::kMinCandidateTime),
            ReportOutcome::kChanged);
  EXPECT_FALSE(registry_.accepts_work());
}

// Guards against a server whose reports and leave count for nothing because the
// clock was set back before its start.
TEST_F(BackendRegistryTest, ARunAfterAClockStepReplacesASilentOne) {
  registry_.Apply(MakeReport("i-1", 5000, 40), At(0));
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 3000, 1), At(1200)),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 3000, 2), At(2700)),
            ReportOutcome::kChanged);
  EXPECT_EQ(registry_.current()->identity.started_ms, 3000U);
  // A late report of the run before.
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 5000, 41), At(2800)),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.ApplyLeave({"i-1", 3000}, 4000, At(5000)),
            ReportOutcome::kChanged);
  EXPECT_FALSE(registry_.accepts_work());
}

// The clock was set back; the first report that arrives states the leave.
TEST_F(BackendRegistryTest, ALeavingReportOfANewRunIsAppliedAtOnce) {
  Apply(MakeReport("i-1", 5000, 40));
  state::BackendReport leaving = MakeReport("i-1", 3000, 4);
  leaving.leaving = true;
  EXPECT_EQ(Apply(leaving), ReportOutcome::kChanged);
  EXPECT_FALSE(registry_.accepts_work());
}

// Guards against late reports that replace the running server: reports of an
// earlier one, which arrive between those of the current one or together.
TEST_F(BackendRegistryTest, LateReportsDoNotReplaceARunThatReports) {
  registry_.Apply(MakeReport("i-2", 200, 1), At(0));
  for (int i = 1; i < 10; ++i) {
    EXPECT_EQ(registry_.Apply(MakeReport("i-1", 100, 50 + i), At(1000 * i)),
              ReportOutcome::kStale);
    registry_.Apply(MakeReport("i-2", 200, 1 + i), At(1000 * i + 500));
  }
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 100, 70), At(10000)),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 100, 71), At(10010)),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.current()->identity.instance, "i-2");
}

// Guards against a leave without start time that has no effect because the
// clock was set back after the start of the server.
TEST_F(BackendRegistryTest, ALeaveWithoutStartTimeAfterAClockStepIsApplied) {
  Apply(MakeReport("i-1", 5000, 1));
  EXPECT_EQ(registry_.ApplyLeave({"i-1", 0}, 4000, At(9)),
            ReportOutcome::kChanged);
  EXPECT_FALSE(registry_.accepts_work());
}

// Guards against a new server that gets no work because it started, by a clock
// that was set back, before an earlier run of its name left.
TEST_F(BackendRegistryTest, ANewRunIsNotTakenForOneThatHasLeft) {
  Apply(MakeReport("i-1", 1000, 1));
  registry_.ApplyLeave({"i-1", 1000}, 9000, At(9));
  EXPECT_EQ(Apply(MakeReport("i-1", 2000, 1)), ReportOutcome::kChanged);
  EXPECT_TRUE(registry_.accepts_work());
}

// Guards against a late report of a server that is lost and whose address
// belongs to another one, which a health check has found: requests would carry
// the service of the lost one.
TEST_F(BackendRegistryTest, ALateReportDoesNotReplaceAHealthCheck) {
  registry_.ConfirmByHealthCheck({"i-9", 0}, "stock", 8, At(0));
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 100, 30), At(100)),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 100, 30), At(1100)),
            ReportOutcome::kStale);
  EXPECT_EQ(registry_.current()->service, "stock");
  // The server that the health check found ended before its first report.
  EXPECT_EQ(registry_.Apply(MakeReport("i-1", 100, 31), At(1200)),
            ReportOutcome::kChanged);
  EXPECT_EQ(registry_.current()->service, "orders");
}

}  // namespace
}  // namespace sesamespread::coordination
