/// \file
/// Guards against a backend server whose slots are all in use, important calls
/// that wait behind others, and calls that start too late to end in time.
#include "sesamespread/coordination/server_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using state::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

Instant At(std::int64_t ms) {
  return Instant(std::chrono::hours(1) + milliseconds(ms));
}

QueuedCall MakeCall(Ticket ticket, Instant now, std::uint32_t priority = 1) {
  QueuedCall call;
  call.ticket = ticket;
  call.route = "read";
  call.goal = now + milliseconds(300);
  call.deadline = now + milliseconds(700);
  call.max_wait = milliseconds(350);
  call.priority = priority;
  return call;
}

class ServerQueueTest : public ::testing::Test {
 protected:
  ServerQueueTest() {
    queue_.SetSlots(4);
    queue_.rate_limit().OnAnswer(std::nullopt, At(0), At(0));
  }

  QueueOutcome Offer(const QueuedCall& call, std::int64_t ms) {
    return queue_.Offer(call, At(ms)).outcome;
  }

  ServerQueue queue_;
};

TEST_F(ServerQueueTest, KeepsASlotFree) {
  for (Ticket ticket = 1; ticket <= 3; ++ticket)
    EXPECT_EQ(Offer(MakeCall(ticket, At(0)), 0), QueueOutcome::kStart);
  EXPECT_EQ(Offer(MakeCall(4, At(0)), 0), QueueOutcome::kQueued);
  EXPECT_EQ(queue_.load(At(0)).limit, 3U);
}

TEST_F(ServerQueueTest, ExternalRequestsOccupySlots) {
  // After a restart of this node the server still processes requests that it
  // sent before.
  queue_.OnReportedLoad(4);
  EXPECT_EQ(queue_.load(At(0)).limit, 1U);
  queue_.OnReportedLoad(1);
  EXPECT_EQ(queue_.load(At(0)).limit, 3U);
}

// Reports older than answers already handled lowered the limit from 38 to 11
// although all requests were this node's own.
TEST_F(ServerQueueTest, LateReportsDoNotReduceTheLimit) {
  queue_.SetSlots(40);
  for (Ticket ticket = 1; ticket <= 30; ++ticket)
    Offer(MakeCall(ticket, At(0)), 0);
  const std::uint32_t limit = queue_.load(At(0)).limit;
  // The node was not scheduled and handles the answers last to first.
  for (std::uint32_t requests = 1; requests <= 30; ++requests) {
    queue_.OnReportedLoadAt(requests, At(100));
    queue_.Finish("read", milliseconds(90), true, At(100));
  }
  EXPECT_EQ(queue_.load(At(100)).limit, limit);
  queue_.OnReportedLoadAt(30, At(150));
  EXPECT_EQ(queue_.load(At(150)).limit, limit);
}

// The queue sent more than the free slots after a restart of this node.
TEST_F(ServerQueueTest, LastingExternalRequestsOccupySlots) {
  queue_.OnReportedLoadAt(4, At(0));
  EXPECT_EQ(queue_.load(At(0)).limit, 1U);
  queue_.OnReportedLoadAt(1, At(10));
  EXPECT_EQ(queue_.load(At(10)).limit, 3U);
  for (int ms = 300; ms <= 900; ms += 100)
    queue_.OnReportedLoadAt(4, At(ms));
  EXPECT_EQ(queue_.load(At(900)).limit, 1U);
}

// Expected waits followed a change of the server's speed only after some ten
// answers.
TEST_F(ServerQueueTest, WaitsFollowTheReportedWorkTimeAtOnce) {
  for (Ticket ticket = 1; ticket <= 3; ++ticket)
    Offer(MakeCall(ticket, At(0)), 0);
  for (int i = 0; i < 200; ++i) {
    queue_.OnReportedWorkTime(100, At(10));
    queue_.Finish("read", milliseconds(60), true, At(10));
    Offer(MakeCall(static_cast<Ticket>(100 + i), At(10)), 10);
  }
  const Duration usual = queue_.load(At(10)).expected_wait;
  queue_.OnReportedWorkTime(250, At(11));
  const QueueLoad slow = queue_.load(At(11));
  EXPECT_NEAR(static_cast<double>(slow.expected_wait.count()),
              2.5 * static_cast<double>(usual.count()), 10);
  EXPECT_EQ(slow.work_factor_percent, 250U);
  EXPECT_NEAR(static_cast<double>(slow.work_time.count()), 60'000, 10);
  // A server without answers may have changed since.
  EXPECT_EQ(queue_.load(At(500)).work_factor_percent, 100U);
}

TEST_F(ServerQueueTest, RefusesCallsThatPreferAnotherServerWhileSlow) {
  QueuedCall call = MakeCall(1, At(0));
  call.max_work_factor_percent = 150;
  queue_.OnReportedWorkTime(250, At(0));
  const QueueDecision decision = queue_.Offer(call, At(1));
  EXPECT_EQ(decision.outcome, QueueOutcome::kRefused);
  EXPECT_EQ(decision.code, ResultCode::kQueueFull);
  call.max_work_factor_percent = 0;
  EXPECT_EQ(queue_.Offer(call, At(1)).outcome, QueueOutcome::kStart);
}

// A server that always reports slow work got no first placements.
TEST_F(ServerQueueTest, AcceptsCallsAtAServerThatIsAlwaysSlow) {
  for (int i = 0; i < 1000; ++i)
    queue_.OnReportedWorkTime(250, At(i));
  QueuedCall call = MakeCall(1, At(1000));
  call.max_work_factor_percent = 150;
  EXPECT_EQ(queue_.Offer(call, At(1000)).outcome, QueueOutcome::kStart);
}

TEST_F(ServerQueueTest, CallsOfImportantRequestsOvertakeOthers) {
  for (Ticket ticket = 1; ticket <= 3; ++ticket)
    Offer(MakeCall(ticket, At(0)), 0);
  Offer(MakeCall(10, At(1), 2), 1);
  Offer(MakeCall(11, At(2), 1), 2);
  Offer(MakeCall(12, At(3), 0), 3);
  std::vector<Ticket> started;
  for (int i = 0; i < 3; ++i) {
    for (const Ticket ticket :
         queue_.Finish("read", milliseconds(10), true, At(10 + i)).start)
      started.push_back(ticket);
  }
  EXPECT_EQ(started, (std::vector<Ticket>{12, 11, 10}));
}

TEST_F(ServerQueueTest, RefusesCallsThatWouldWaitTooLong) {
  for (Ticket ticket = 1; ticket <= 3; ++ticket)
    Offer(MakeCall(ticket, At(0)), 0);
  QueuedCall call = MakeCall(4, At(0));
  call.max_wait = milliseconds(1);
  const QueueDecision decision = queue_.Offer(call, At(0));
  EXPECT_EQ(decision.outcome, QueueOutcome::kRefused);
  EXPECT_EQ(decision.code, ResultCode::kQueueFull);
  EXPECT_GT(decision.expected_wait, milliseconds(1));
}

TEST_F(ServerQueueTest, DoesNotStartCallsThatCannotEndInTime) {
  QueuedCall call = MakeCall(1, At(0));
  call.deadline = At(0) + milliseconds(1);
  EXPECT_EQ(queue_.Offer(call, At(0)).code, ResultCode::kDeadlineBeforeStart);
  for (Ticket ticket = 2; ticket <= 4; ++ticket)
    Offer(MakeCall(ticket, At(0)), 0);
  Offer(MakeCall(5, At(0)), 0);
  // The host was suspended for two seconds.
  const QueueActions actions =
      queue_.Finish("read", milliseconds(10), true, At(2000));
  EXPECT_TRUE(actions.start.empty());
  ASSERT_EQ(actions.refuse.size(), 1U);
  EXPECT_EQ(actions.refuse.front().ticket, 5U);
}

// Guards against calls that start when a slot becomes free, beyond the rate.
TEST_F(ServerQueueTest, CallsWaitForTheRateLimit) {
  queue_.rate_limit().OnAnswer(10.0, At(0), At(0));
  EXPECT_EQ(Offer(MakeCall(1, At(100)), 100), QueueOutcome::kStart);
  EXPECT_EQ(Offer(MakeCall(2, At(100)), 100), QueueOutcome::kQueued);
  EXPECT_EQ(queue_.load(At(100)).expected_wait, milliseconds(200));
  EXPECT_TRUE(
      queue_.Finish("read", milliseconds(10), true, At(150)).start.empty());
  EXPECT_EQ(queue_.Tick(At(200)).start, (std::vector<Ticket>{2}));
  EXPECT_EQ(Offer(MakeCall(3, At(210)), 210), QueueOutcome::kQueued);
  EXPECT_EQ(Offer(MakeCall(4, At(310)), 310), QueueOutcome::kQueued);
  EXPECT_EQ(queue_.Tick(At(310)).start, (std::vector<Ticket>{3}));
}

// Guards against a queue at a limited server while other servers have room.
TEST_F(ServerQueueTest, CallsWithAlternativesDoNotWaitForTheRateLimit) {
  queue_.rate_limit().OnAnswer(10.0, At(0), At(0));
  QueuedCall call = MakeCall(1, At(0));
  call.has_alternatives = true;
  const QueueDecision decision = queue_.Offer(call, At(0));
  EXPECT_EQ(decision.outcome, QueueOutcome::kRefused);
  EXPECT_EQ(decision.code, ResultCode::kRateLimited);
  call.ticket = 2;
  EXPECT_EQ(Offer(call, 90), QueueOutcome::kQueued);
}

TEST_F(ServerQueueTest, CancelledCallIsNotStarted) {
  for (Ticket ticket = 1; ticket <= 3; ++ticket)
    Offer(MakeCall(ticket, At(0)), 0);
  Offer(MakeCall(4, At(0)), 0);
  EXPECT_TRUE(queue_.Cancel(4));
  EXPECT_FALSE(queue_.Cancel(1));
  EXPECT_TRUE(
      queue_.Finish("read", milliseconds(10), true, At(1)).start.empty());
}

// Simulates a server with 18 slots and a service time of 15 ms under 1.2 times
// the load of its capacity. Half of the calls are for orders (rank 0), each of
// which makes ten calls in sequence within 1000 ms; the others are for browse
// requests.
TEST(ServerQueueLoadTest, CallsOfImportantRequestsWaitBrieflyUnderOverload) {
  ServerQueue queue;
  queue.SetSlots(18);
  queue.rate_limit().OnAnswer(std::nullopt, At(0), At(0));
  std::mt19937_64 random(1);
  std::exponential_distribution<double> gap(1.2 * 17 / 15.0);  // per ms
  std::exponential_distribution<double> work(1 / 15.0);
  struct Running {
    double end;
    Ticket ticket;
    double started;
    bool operator>(const Running& other) const { return end > other.end; }
  };
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running;
  std::map<Ticket, double> offered;
  std::map<std::uint32_t, std::vector<double>> waits;
  const auto at = [](double ms) {
    return Instant(std::chrono::hours(1)) +
           Duration(static_cast<std::int64_t>(ms * 1000));
  };
  const auto start = [&](Ticket ticket, double now) {
    waits[ticket % 2 == 0 ? 0 : 1].push_back(now - offered.at(ticket));
    running.push({now + work(random), ticket, now});
  };
  Ticket next = 2;
  double arrival = 0;
  while (arrival < 10'000) {
    if (!running.empty() && running.top().end < arrival) {
      const Running done = running.top();
      running.pop();
      const auto spent =
          Duration(static_cast<std::int64_t>((done.end - done.started) * 1000));
      for (const Ticket ticket :
           queue.Finish("read", spent, true, at(done.end)).start)
        start(ticket, done.end);
      continue;
    }
    const Ticket ticket = next++;
    offered[ticket] = arrival;
    const std::uint32_t priority = ticket % 2 == 0 ? 0 : 1;
    queue.Tick(at(arrival));
    if (queue.Offer(MakeCall(ticket, at(arrival), priority), at(arrival))
            .outcome == QueueOutcome::kStart)
      start(ticket, arrival);
    arrival += gap(random);
  }
  const auto percentile = [&waits](std::uint32_t priority, double share) {
    std::vector<double>& values = waits[priority];
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(share * (values.size() - 1)));
  };
  // Ten waits and 490 ms of work must fit into 1000 ms.
  EXPECT_LT(percentile(0, 0.5), 50);
  EXPECT_GT(percentile(1, 0.5), percentile(0, 0.5));
  EXPECT_GT(waits[0].size(), waits[1].size());
}

}  // namespace
}  // namespace sesamespread::coordination
