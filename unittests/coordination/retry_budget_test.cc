/// \file
/// Guards against retries beyond the allotment of the caller's request.
#include "sesamespread/coordination/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace sesamespread::coordination {
namespace {

using state::Instant;
using state::RequestContext;
using state::ResultCode;
using state::RunState;
using std::chrono::milliseconds;
using std::chrono::seconds;

Instant At(std::int64_t ms) {
  return Instant(std::chrono::hours(1) + milliseconds(ms));
}

RequestContext MakeContext(std::uint32_t allotment) {
  RequestContext context;
  context.allotment = allotment;
  context.deadline = At(1000);
  return context;
}

// Guards against parallel sub-calls that together get more than the allotment.
TEST(AllotmentLedgerTest, ParallelSubCallsShareTheRemainingAllotment) {
  AllotmentLedger ledger;
  ASSERT_TRUE(ledger.Open(1, MakeContext(3), At(0)));
  EXPECT_EQ(ledger.Reserve(1, At(0)).allotment, 2u);
  EXPECT_EQ(ledger.Reserve(1, At(0)).allotment, 1u);
  EXPECT_EQ(ledger.Reserve(1, At(0)).allotment, 0u);
  EXPECT_EQ(ledger.Close(1), 0u);
}

// Guards against an answer that returns more than was passed on, or twice.
TEST(AllotmentLedgerTest, AnswersReturnAtMostTheAllotmentPassedOn) {
  AllotmentLedger ledger;
  ASSERT_TRUE(ledger.Open(1, MakeContext(3), At(0)));
  const Attempt attempt = ledger.Reserve(1, At(0));
  ledger.Settle(attempt.id, 100);
  EXPECT_EQ(ledger.Remaining(1), 3u);
  ledger.Settle(attempt.id, 100);
  EXPECT_EQ(ledger.Close(1), 3u);
  ledger.Settle(attempt.id, 1);
  EXPECT_EQ(ledger.Remaining(1), 0u);
}

// Guards against a late answer that returns allotment which counts as spent.
TEST(AllotmentLedgerTest, ALostAnswerLeavesItsAllotmentSpent) {
  AllotmentLedger ledger;
  ASSERT_TRUE(ledger.Open(1, MakeContext(4), At(0)));
  const Attempt first = ledger.Reserve(1, At(0));
  EXPECT_EQ(first.allotment, 2u);
  const auto second = ledger.Retry(first.id, At(0));
  ASSERT_TRUE(second);
  EXPECT_EQ(second->allotment, 1u);
  ledger.Settle(first.id, 2);
  EXPECT_EQ(ledger.Remaining(1), 0u);
  ledger.Forfeit(second->id);
  ledger.Settle(second->id, 1);
  EXPECT_FALSE(ledger.Retry(second->id, At(0)));
  EXPECT_EQ(ledger.Close(1), 0u);
}

TEST(AllotmentLedgerTest, SubCallWithoutContextIsNotRetried) {
  AllotmentLedger ledger;
  const Attempt attempt = ledger.Reserve(99, At(0));
  EXPECT_EQ(attempt, Attempt());
  EXPECT_FALSE(ledger.Retry(attempt.id, At(0)));
  EXPECT_FALSE(ledger.Open(0, MakeContext(3), At(0)));
}

// Guards against a ledger that grows without bound if entries are not closed.
TEST(AllotmentLedgerTest, IsBoundedInEntriesAttemptsAndTime) {
  AllotmentLedger ledger({.max_entries = 1, .max_attempts_per_entry = 1});
  ASSERT_TRUE(ledger.Open(1, MakeContext(3), At(0)));
  EXPECT_FALSE(ledger.Open(2, MakeContext(3), At(0)));
  EXPECT_NE(ledger.Reserve(1, At(0)).id, 0u);
  EXPECT_EQ(ledger.Reserve(1, At(0)).id, 0u);
  ledger.Tick(At(5999));
  EXPECT_EQ(ledger.size(), 1u);
  EXPECT_TRUE(ledger.Open(2, MakeContext(3), At(6000)));
  EXPECT_EQ(ledger.FindContext(1), nullptr);
}

// Guards against a caller that gets a new allotment with each repeat.
TEST(CallerRepeatTableTest, RepeatsByTheCallerCountAgainstTheAllotment) {
  CallerRepeatTable table;
  const auto key = RepeatKeyOf(1, "order-7", "", "orders", "POST", "/new");
  const auto first = table.Admit(key, MakeContext(3), At(0));
  ASSERT_EQ(first.verdict, CallerRepeatTable::Verdict::kFirst);
  const Attempt attempt = table.ledger().Reserve(first.ticket, At(0));
  const auto retry = table.ledger().Retry(attempt.id, At(1));
  ASSERT_TRUE(retry);
  EXPECT_EQ(table.Admit(key, MakeContext(3), At(20'000)).verdict,
            CallerRepeatTable::Verdict::kSpent);
  table.ledger().Settle(retry->id, 0);
  // The request is tracked while it is repeated, and removed a window later.
  EXPECT_EQ(table.Admit(key, MakeContext(3), At(45'000)).verdict,
            CallerRepeatTable::Verdict::kSpent);
  EXPECT_EQ(table.Admit(key, MakeContext(3), At(75'001)).verdict,
            CallerRepeatTable::Verdict::kFirst);
}

TEST(CallerRepeatTableTest, RepeatCostsOneUnit) {
  CallerRepeatTable table;
  const auto key = RepeatKeyOf(1, "", "trace", "orders", "GET", "/x");
  const auto first = table.Admit(key, MakeContext(2), At(0));
  const auto repeat = table.Admit(key, MakeContext(2), At(1));
  EXPECT_EQ(repeat.verdict, CallerRepeatTable::Verdict::kRepeat);
  EXPECT_EQ(repeat.ticket, first.ticket);
  EXPECT_EQ(table.ledger().Remaining(first.ticket), 1u);
}

// Guards against counting different requests as one.
TEST(CallerRepeatTableTest, DistinguishesDifferentRequests) {
  const auto key = RepeatKeyOf(1, "", "trace", "orders", "GET", "/x");
  EXPECT_NE(key, RepeatKeyOf(1, "", "trace", "orders", "GET", "/y"));
  EXPECT_NE(key, RepeatKeyOf(2, "", "trace", "orders", "GET", "/x"));
  EXPECT_NE(key, RepeatKeyOf(1, "trace", "", "orders", "GET", "/x"));
  EXPECT_EQ(RepeatKeyOf(1, "", "", "orders", "GET", "/x"), std::nullopt);
  CallerRepeatTable table({.max_entries = 2});
  const auto one = table.Admit(std::nullopt, MakeContext(3), At(0));
  const auto two = table.Admit(std::nullopt, MakeContext(3), At(0));
  EXPECT_NE(one.ticket, two.ticket);
  EXPECT_EQ(table.Admit(key, MakeContext(3), At(0)).verdict,
            CallerRepeatTable::Verdict::kFull);
  table.Finish(one.ticket);
  EXPECT_EQ(table.Admit(key, MakeContext(3), At(0)).verdict,
            CallerRepeatTable::Verdict::kFirst);
}

// Guards against retries that add to the load of a surge.
TEST(NodeRetryBudgetTest, AllowsAFixedShareOfFirstAttempts) {
  NodeRetryBudget budget;
  for (int i = 0; i < 1000; ++i)
    budget.OnFirstAttempt(At(0));
  int granted = 0;
  while (budget.TryRetry(At(500)))
    ++granted;
  EXPECT_EQ(granted, 130);
  EXPECT_FALSE(budget.TryRetry(At(9000)));
  granted = 0;
  while (budget.TryRetry(At(10'500)))
    ++granted;
  EXPECT_EQ(granted, 30);
}

class DecideRetryTest : public ::testing::Test {
 protected:
  RetryDecision Decide(const FailedAttempt& failed, std::int64_t ms = 0) {
    return DecideRetry(failed, {}, budget_, At(ms), rng_);
  }

  std::mt19937_64 rng_{7};
  NodeRetryBudget budget_;
  FailedAttempt failed_{.result = ResultCode::kQueueFull,
                        .run_state = RunState::kNotRun,
                        .repeatable = false,
                        .others_available = true,
                        .attempts = 1,
                        .allotment = 1,
                        .deadline = At(1000)};
};

// Guards against a second execution of a request that is not repeatable.
TEST_F(DecideRetryTest, RetriesOnlyCallsThatMayRunAgain) {
  EXPECT_EQ(Decide(failed_), (RetryDecision{RetryVerdict::kRetry}));
  failed_.run_state = RunState::kUnknown;
  failed_.result = ResultCode::kLinkLost;
  EXPECT_EQ(Decide(failed_).verdict, RetryVerdict::kMayHaveRun);
  failed_.repeatable = true;
  EXPECT_EQ(Decide(failed_).verdict, RetryVerdict::kRetry);
  for (const ResultCode final :
       {ResultCode::kOk, ResultCode::kKeyReused, ResultCode::kCancelled,
        ResultCode::kExecutorGone, ResultCode::kShedAtEntry}) {
    failed_.result = final;
    EXPECT_EQ(Decide(failed_).verdict, RetryVerdict::kFinal);
  }
}

TEST_F(DecideRetryTest, RequiresAllotmentTimeAndNodeBudget) {
  EXPECT_EQ(Decide(failed_, 999).verdict, RetryVerdict::kNoTime);
  failed_.allotment = 0;
  EXPECT_EQ(Decide(failed_).verdict, RetryVerdict::kAllotmentSpent);
  failed_.allotment = 1;
  while (budget_.TryRetry(At(0))) {
  }
  EXPECT_EQ(Decide(failed_).verdict, RetryVerdict::kNodeBudgetSpent);
}

// Guards against a backoff that leaves no time for the answer.
TEST_F(DecideRetryTest, BackoffGrowsWithinTheDeadline) {
  failed_.others_available = false;
  const auto first = Decide(failed_).delay;
  EXPECT_GE(first, milliseconds(5));
  EXPECT_LE(first, milliseconds(10));
  failed_.attempts = 3;
  EXPECT_GE(Decide(failed_).delay, milliseconds(20));
  failed_.attempts = 1000;
  EXPECT_LE(Decide(failed_).delay, milliseconds(250));
  EXPECT_LE(Decide(failed_, 980).delay, milliseconds(10));
}

/// A chain of nodes with a ledger each; calls branch and fail at random.
class CallTree {
 public:
  struct Faults {
    std::uint32_t fail_percent = 0;
    std::uint32_t lose_percent = 0;
    std::uint32_t drop_percent = 0;
    std::uint32_t duplicate_percent = 0;
  };

  CallTree(std::uint64_t seed, Faults faults) : rng_(seed), faults_(faults) {}

  /// Runs a caller's request and \p repeats repeats of it, all at the first
  /// node.
  void Run(std::uint32_t allotment, std::uint32_t repeats) {
    CallerRepeatTable entry;
    for (std::uint32_t i = 0; i <= repeats; ++i) {
      const auto admission = entry.Admit(42, MakeContext(allotment), At(0));
      if (admission.verdict == CallerRepeatTable::Verdict::kSpent)
        continue;
      retries_ +=
          admission.verdict == CallerRepeatTable::Verdict::kRepeat ? 1 : 0;
      SubCalls(entry.ledger(), admission.ticket, 1, 1);
    }
  }

  std::uint32_t retries() const { return retries_; }
  std::uint32_t calls() const { return calls_; }
  std::uint32_t deepest() const { return deepest_; }

 private:
  static constexpr std::uint32_t kDepth = 28;
  static constexpr std::uint32_t kMaxCalls = 3000;

  bool Chance(std::uint32_t percent) { return rng_() % 100 < percent; }

  /// Makes \p width sub-calls of \p ticket at once: all are reserved before the
  /// first ends.
  bool SubCalls(AllotmentLedger& ledger,
                Ticket ticket,
                std::uint32_t depth,
                std::uint32_t width) {
    std::vector<Attempt> attempts;
    for (std::uint32_t i = 0; i < width; ++i)
      attempts.push_back(ledger.Reserve(ticket, At(0)));
    bool all = true;
    for (Attempt& attempt : attempts) {
      bool done = Send(ledger, attempt, depth);
      while (!done) {
        const auto retry = ledger.Retry(attempt.id, At(0));
        if (!retry)
          break;
        ++retries_;
        done = Send(ledger, *retry, depth);
        // An answer to the previous attempt arrives late.
        ledger.Settle(attempt.id, attempt.allotment);
        attempt = *retry;
      }
      ledger.Finish(attempt.id);
      all = all && done;
    }
    return all;
  }

  bool Send(AllotmentLedger& ledger,
            const Attempt& attempt,
            std::uint32_t depth) {
    std::uint32_t unused = 0;
    const bool done = Execute(attempt.allotment, depth, &unused);
    if (Chance(faults_.lose_percent)) {
      ledger.Forfeit(attempt.id);
      return false;
    }
    ledger.Settle(attempt.id, unused);
    if (Chance(faults_.duplicate_percent))
      ledger.Settle(attempt.id, unused);
    return done;
  }

  bool Execute(std::uint32_t allotment,
               std::uint32_t depth,
               std::uint32_t* unused) {
    ++calls_;
    deepest_ = std::max(deepest_, depth);
    AllotmentLedger ledger;
    const Ticket ticket = rng_() | 1;
    EXPECT_TRUE(ledger.Open(ticket, MakeContext(allotment), At(0)));
    bool done = true;
    if (depth < kDepth && calls_ < kMaxCalls) {
      const std::uint32_t width = Chance(20) ? 2 + rng_() % 2 : 1;
      // A backend server that drops the ticket has no context to pass on.
      const Ticket sent = Chance(faults_.drop_percent) ? rng_() : ticket;
      done = SubCalls(ledger, sent, depth + 1, width);
    }
    *unused = ledger.Close(ticket);
    return done && !Chance(faults_.fail_percent);
  }

  std::mt19937_64 rng_;
  Faults faults_;
  std::uint32_t retries_ = 0;
  std::uint32_t calls_ = 0;
  std::uint32_t deepest_ = 0;
};

// Guards against more retries than the allotment under any combination of
// depth, parallel sub-calls, lost answers, dropped headers, duplicate answers
// and repeats by the caller.
TEST(RetryBudgetPropertyTest, RetriesOfATreeNeverExceedTheAllotment) {
  std::uint64_t trees = 0;
  std::uint64_t calls = 0;
  std::uint64_t exact = 0;
  std::uint64_t full_depth = 0;
  const bool holds = rc::check([&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto allotment = *rc::gen::inRange<std::uint32_t>(0, 9);
    const auto repeats = *rc::gen::inRange<std::uint32_t>(0, 5);
    const CallTree::Faults faults{*rc::gen::inRange<std::uint32_t>(0, 40),
                                  *rc::gen::inRange<std::uint32_t>(0, 20),
                                  *rc::gen::inRange<std::uint32_t>(0, 10),
                                  *rc::gen::inRange<std::uint32_t>(0, 50)};
    for (std::uint64_t i = 0; i < 10; ++i) {
      CallTree tree(seed + i, faults);
      tree.Run(allotment, repeats);
      RC_ASSERT(tree.retries() <= allotment);
      ++trees;
      calls += tree.calls();
      exact += tree.retries() == allotment ? 1 : 0;
      full_depth += tree.deepest() == 28 ? 1 : 0;
    }
  });
  EXPECT_TRUE(holds);
  // The property holds for trees without retries or depth as well, so check
  // that enough trees have both.
  EXPECT_GT(exact, trees / 10);
  EXPECT_GT(full_depth, trees / 10);
  RecordProperty("trees", std::to_string(trees));
  RecordProperty("calls", std::to_string(calls));
  RecordProperty("trees_with_exactly_the_allotment", std::to_string(exact));
  RecordProperty("trees_of_full_depth", std::to_string(full_depth));
}

// Guards against an allotment that a chain cannot use: if each of 28 hops fails
// every time, the retries are exactly the allotment.
TEST(RetryBudgetPropertyTest, AFailingChainUsesTheWholeAllotment) {
  for (std::uint32_t allotment = 0; allotment <= 5; ++allotment) {
    CallTree tree(1, {.fail_percent = 100});
    tree.Run(allotment, 0);
    EXPECT_EQ(tree.retries(), allotment);
  }
}

}  // namespace
}  // namespace sesamespread::coordination
