/// \file
/// Guards against admission that starts requests too late to be answered in
/// time, that holds requests which will be refused, or that serves browse
/// requests before critical ones.
#include "sesamespread/coordination/admission.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Importance;
using state::Instant;
using state::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kQueueSizeOfOneSlot = 4;

class AdmissionTest : public testing::Test {
 protected:
  AdmissionController& Make(AdmissionOptions options) {
    controller_.emplace(options, std::mt19937_64(1), now_);
    return *controller_;
  }
  AdmissionController& MakeOneSlot(
      AdmissionPolicy policy = AdmissionPolicy::kAdaptive) {
    AdmissionOptions options;
    options.policy = policy;
    return Make(options);
  }
  AdmissionDecision Offer(Ticket ticket,
                          Importance importance,
                          Duration remaining = seconds(1),
                          std::uint32_t depth = 0) {
    AdmissionRequest request;
    request.ticket = ticket;
    request.context.id = {1, ticket};
    request.context.importance = importance;
    request.context.deadline = now_ + remaining;
    request.context.depth = depth;
    return controller_->Offer(request, now_);
  }
  AdmissionActions Finish(Ticket ticket, Duration total = milliseconds(10)) {
    RequestTiming timing;
    timing.total = total;
    return controller_->Finish(ticket, timing, now_);
  }
  // Makes the service time of browse requests 100 ms.
  void MeasureServiceTime() {
    for (Ticket ticket = 1000; ticket < 1010; ++ticket) {
      ASSERT_EQ(Offer(ticket, Importance::kBrowse).outcome,
                AdmissionOutcome::kStart);
      now_ += milliseconds(100);
      Finish(ticket, milliseconds(100));
    }
    ASSERT_GE(controller_->service_time(Importance::kBrowse),
              milliseconds(100));
  }

  Instant now_{};
  std::optional<AdmissionController> controller_;
};

TEST_F(AdmissionTest, StartsUpToTheLimitThenQueues) {
  AdmissionOptions options;
  options.slots = 2;
  Make(options);
  EXPECT_EQ(Offer(1, Importance::kBrowse).outcome, AdmissionOutcome::kStart);
  EXPECT_EQ(Offer(2, Importance::kBrowse).outcome, AdmissionOutcome::kStart);
  EXPECT_EQ(Offer(3, Importance::kBrowse).outcome, AdmissionOutcome::kQueued);
  EXPECT_EQ(controller_->load(), (ServerLoad{2, 1, 2, state::kPriorityCount}));
  EXPECT_EQ(Finish(1).start, std::vector<Ticket>{3});
  EXPECT_EQ(controller_->load().queued, 0U);
  // A finished or unknown ticket must not free a slot twice.
  EXPECT_TRUE(Finish(1).empty());
  EXPECT_EQ(controller_->load().in_progress, 2U);
}

TEST_F(AdmissionTest, ChangedSlotsApplyToRunningController) {
  MakeOneSlot();
  Offer(1, Importance::kBrowse);
  Offer(2, Importance::kBrowse);
  controller_->set_slots(2);
  EXPECT_EQ(controller_->Tick(now_).start, std::vector<Ticket>{2});
  controller_->set_slots(1);
  EXPECT_EQ(Offer(3, Importance::kBrowse).outcome, AdmissionOutcome::kQueued);
  EXPECT_TRUE(Finish(1).empty());
  EXPECT_EQ(Finish(2).start, std::vector<Ticket>{3});
}

TEST_F(AdmissionTest, StartsByImportanceThenDepthThenAge) {
  MakeOneSlot();
  Offer(1, Importance::kBrowse);
  Offer(2, Importance::kBrowse);
  Offer(3, Importance::kStandard);
  Offer(4, Importance::kStandard);
  Offer(5, Importance::kStandard, seconds(1), 2);
  std::vector<Ticket> order;
  for (Ticket running = 1; running != 0;) {
    const AdmissionActions actions = Finish(running);
    running = actions.start.empty() ? 0 : actions.start.front();
    order.push_back(running);
  }
  EXPECT_EQ(order, (std::vector<Ticket>{5, 3, 4, 2, 0}));
}

TEST_F(AdmissionTest, StartsNewestFirstWhenOverloaded) {
  MakeOneSlot();
  Offer(1, Importance::kCritical);
  Offer(2, Importance::kCritical);
  Offer(3, Importance::kCritical);
  // An interval without any start while requests wait is overload.
  now_ += milliseconds(100);
  controller_->Tick(now_);
  now_ += milliseconds(100);
  controller_->Tick(now_);
  EXPECT_EQ(Finish(1).start, std::vector<Ticket>{3});
}

TEST_F(AdmissionTest, CriticalRequestDisplacesTheLowestRankedOne) {
  MakeOneSlot();
  Offer(1, Importance::kBrowse);
  Offer(2, Importance::kStandard);
  Offer(3, Importance::kBrowse, seconds(1), 1);
  Offer(4, Importance::kBrowse);
  Offer(5, Importance::kStandard);
  const AdmissionDecision critical = Offer(6, Importance::kCritical);
  EXPECT_EQ(critical.outcome, AdmissionOutcome::kQueued);
  ASSERT_TRUE(critical.displaced);
  EXPECT_EQ(critical.displaced->ticket, 4U);
  EXPECT_EQ(critical.displaced->code, ResultCode::kShedAtServer);
  EXPECT_GT(critical.displaced->retry_after, Duration(0));
  // A request that does not rank above any queued one is refused.
  const AdmissionDecision browse = Offer(7, Importance::kBrowse);
  EXPECT_EQ(browse.outcome, AdmissionOutcome::kRefused);
  EXPECT_EQ(browse.code, ResultCode::kQueueFull);
  EXPECT_GT(browse.retry_after, Duration(0));
  EXPECT_EQ(controller_->load().queued, kQueueSizeOfOneSlot);
}

TEST_F(AdmissionTest, RefusesRequestsThatCannotBeAnsweredInTime) {
  MakeOneSlot();
  MeasureServiceTime();
  const AdmissionDecision late =
      Offer(1, Importance::kBrowse, milliseconds(90));
  EXPECT_EQ(late.code, ResultCode::kDeadlineBeforeStart);
  Offer(2, Importance::kBrowse);
  // Request 3 would start after 100 ms and end after 200 ms.
  Offer(3, Importance::kBrowse, milliseconds(200));
  EXPECT_EQ(Offer(4, Importance::kBrowse, milliseconds(200)).code,
            ResultCode::kQueueFull);
  // Refused as soon as the remaining time is too short, not at the deadline.
  now_ += milliseconds(101);
  const AdmissionActions actions = controller_->Tick(now_);
  ASSERT_EQ(actions.refuse.size(), 1U);
  EXPECT_EQ(actions.refuse[0].ticket, 3U);
  EXPECT_EQ(actions.refuse[0].code, ResultCode::kDeadlineBeforeStart);
}

TEST_F(AdmissionTest, ServiceTimeDecaysWithoutRequestsInProgress) {
  MakeOneSlot();
  MeasureServiceTime();
  EXPECT_EQ(Offer(1, Importance::kBrowse, milliseconds(50)).outcome,
            AdmissionOutcome::kRefused);
  for (int i = 0; i < 5; ++i) {
    now_ += milliseconds(100);
    controller_->Tick(now_);
  }
  EXPECT_EQ(Offer(2, Importance::kBrowse, milliseconds(50)).outcome,
            AdmissionOutcome::kStart);
}

TEST_F(AdmissionTest, OvertakenRequestIsRefusedLongBeforeItsDeadline) {
  MakeOneSlot();
  Offer(1, Importance::kCritical);
  Offer(2, Importance::kBrowse, seconds(10));
  Offer(3, Importance::kCritical, seconds(10));
  now_ += milliseconds(251);
  const AdmissionActions actions = controller_->Tick(now_);
  ASSERT_EQ(actions.refuse.size(), 1U);
  EXPECT_EQ(actions.refuse[0].ticket, 2U);
  EXPECT_EQ(actions.refuse[0].code, ResultCode::kShedAtServer);
}

// Guards against a browse request that was queued before the threshold excluded
// it and starts while critical requests are refused.
TEST_F(AdmissionTest, QueuedBrowseRequestIsRefusedOnceTheThresholdExcludesIt) {
  MakeOneSlot();
  Offer(1, Importance::kBrowse);
  Offer(2, Importance::kBrowse);
  Offer(3, Importance::kCritical, milliseconds(50));
  now_ += milliseconds(60);
  // The deadline of the critical request has passed in the queue, which lowers
  // the threshold.
  const AdmissionActions actions = controller_->Tick(now_);
  ASSERT_EQ(actions.refuse.size(), 2U);
  EXPECT_EQ(actions.refuse[0].ticket, 3U);
  EXPECT_EQ(actions.refuse[1].ticket, 2U);
  EXPECT_EQ(actions.refuse[1].code, ResultCode::kShedAtServer);
}

TEST_F(AdmissionTest, LeavingRefusesNewRequestsAndStartsQueuedOnes) {
  MakeOneSlot();
  Offer(1, Importance::kStandard);
  Offer(2, Importance::kStandard);
  Offer(3, Importance::kStandard);
  controller_->set_leaving(true);
  EXPECT_EQ(Offer(4, Importance::kCritical).code, ResultCode::kLeaving);
  EXPECT_EQ(Finish(1).start, std::vector<Ticket>{2});
  const AdmissionActions rest =
      controller_->RefuseQueued(ResultCode::kLeaving, now_);
  ASSERT_EQ(rest.refuse.size(), 1U);
  EXPECT_EQ(rest.refuse[0].ticket, 3U);
  EXPECT_TRUE(Finish(2).empty());
}

TEST_F(AdmissionTest, CancelRemovesOnlyQueuedRequests) {
  MakeOneSlot();
  Offer(1, Importance::kBrowse);
  Offer(2, Importance::kBrowse);
  EXPECT_EQ(controller_->Cancel(1, now_), CancelOutcome::kInProgress);
  EXPECT_EQ(controller_->Cancel(2, now_), CancelOutcome::kRemoved);
  EXPECT_EQ(controller_->Cancel(2, now_), CancelOutcome::kUnknown);
  EXPECT_TRUE(Finish(1).empty());
  EXPECT_EQ(controller_->load().in_progress, 0U);
}

TEST_F(AdmissionTest, BaselinePoliciesStartImmediatelyOrInOrderOfArrival) {
  MakeOneSlot(AdmissionPolicy::kNone);
  for (Ticket ticket = 1; ticket <= 100; ++ticket) {
    EXPECT_EQ(Offer(ticket, Importance::kBrowse).outcome,
              AdmissionOutcome::kStart);
  }
  MakeOneSlot(AdmissionPolicy::kFixedLimit);
  Offer(1, Importance::kBrowse);
  Offer(2, Importance::kBrowse, milliseconds(5));
  now_ += milliseconds(1);
  Offer(3, Importance::kBrowse);
  now_ += milliseconds(1);
  Offer(4, Importance::kCritical);
  now_ += milliseconds(10);
  const AdmissionActions actions = Finish(1);
  EXPECT_EQ(actions.start, std::vector<Ticket>{3});
  ASSERT_EQ(actions.refuse.size(), 1U);
  EXPECT_EQ(actions.refuse[0].code, ResultCode::kDeadlineBeforeStart);
}

TEST_F(AdmissionTest, RetryAfterGrowsWithOutstandingRequests) {
  AdmissionOptions options;
  options.slots = 10;
  Make(options);
  Duration first{0};
  Duration last{0};
  Ticket ticket = 0;
  std::set<Ticket> running;
  // 10 slots of 50 ms are offered three times what they can serve.
  for (int ms = 0; ms < 3000; ms += 5, now_ += milliseconds(5)) {
    for (int i = 0; i < 3; ++i) {
      const AdmissionDecision decision = Offer(++ticket, Importance::kBrowse);
      if (decision.outcome == AdmissionOutcome::kStart) {
        running.insert(ticket);
      } else if (decision.outcome == AdmissionOutcome::kRefused) {
        first = first == Duration(0) ? decision.retry_after : first;
        last = decision.retry_after;
      }
    }
    if (ms >= 50 && !running.empty()) {
      const Ticket oldest = *running.begin();
      running.erase(running.begin());
      for (const Ticket started : Finish(oldest, milliseconds(50)).start) {
        running.insert(started);
      }
    }
  }
  // Two of three are refused: 400 per second at a rate of 200 per second.
  EXPECT_GT(last, milliseconds(500));
  EXPECT_LT(last, seconds(4));
  EXPECT_GT(first, Duration(0));
}

// Checks the invariants after random operations, for states that the other
// tests do not reach.
TEST_F(AdmissionTest, RandomOperationsKeepTheInvariants) {
  AdmissionOptions options;
  options.slots = 8;
  Make(options);
  std::mt19937_64 random(3);
  struct TrackedRequest {
    Instant deadline;
    bool running;
  };
  std::map<Ticket, TrackedRequest> tracked_requests;
  const auto apply = [&](const AdmissionActions& actions) {
    for (const Refusal& refusal : actions.refuse) {
      ASSERT_EQ(tracked_requests.erase(refusal.ticket), 1U);
    }
    for (const Ticket ticket : actions.start) {
      ASSERT_FALSE(tracked_requests.at(ticket).running);
      ASSERT_LT(now_, tracked_requests.at(ticket).deadline);
      tracked_requests.at(ticket).running = true;
    }
    const ServerLoad load = controller_->load();
    ASSERT_TRUE(load.queued == 0 || load.in_progress >= load.limit);
  };
  Ticket last = 0;
  for (int step = 0; step < 100000; ++step) {
    now_ += Duration(random() % 2000);
    const auto chosen = tracked_requests.lower_bound(random() % (last + 1));
    if (random() % 2 == 0) {
      const Duration remaining = milliseconds(random() % 300);
      const AdmissionDecision decision =
          Offer(++last, static_cast<Importance>(random() % 3), remaining,
                static_cast<std::uint32_t>(random() % 2));
      if (decision.displaced) {
        ASSERT_EQ(tracked_requests.erase(decision.displaced->ticket), 1U);
      }
      if (decision.outcome != AdmissionOutcome::kRefused) {
        tracked_requests[last] = {now_ + remaining,
                                  decision.outcome == AdmissionOutcome::kStart};
      }
    } else if (chosen != tracked_requests.end() && chosen->second.running) {
      const Ticket ticket = chosen->first;
      tracked_requests.erase(chosen);
      apply(Finish(ticket, milliseconds(random() % 40)));
    } else if (chosen != tracked_requests.end() && random() % 10 == 0) {
      ASSERT_EQ(controller_->Cancel(chosen->first, now_),
                CancelOutcome::kRemoved);
      tracked_requests.erase(chosen);
    } else {
      apply(controller_->Tick(now_));
    }
    const ServerLoad load = controller_->load();
    ASSERT_EQ(load.in_progress + load.queued, tracked_requests.size());
    ASSERT_LE(load.queued, options.slots * options.queue_per_slot);
    ASSERT_LE(load.in_progress, options.slots);
  }
}

}  // namespace
}  // namespace sesamespread::coordination
