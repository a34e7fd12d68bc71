/// \file
/// Guards against a caller's key that is bound to two executors, and against
/// treating a lost reply as a success or a failure.
#include "sesamespread/coordination/claims.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

namespace sesamespread::coordination {
namespace {

using state::Instant;
using std::chrono::milliseconds;
using Kind = ClaimTableRequest::Kind;
using Status = ClaimTableReply::Status;
using Verdict = ClaimResolution::Verdict;

Instant At(std::int64_t ms) {
  return Instant(std::chrono::hours(1) + milliseconds(ms));
}

Claim MakeClaim(std::uint64_t waiter,
                const std::string& key,
                state::NodeId executor,
                std::int64_t deadline_ms = 2000) {
  return {waiter,
          {ClaimRowKey("orders", 1, key), {executor, 1}, 77},
          At(deadline_ms)};
}

/// The platform's table in memory.
class FakeTable {
 public:
  ClaimTableReply Apply(const ClaimTableRequest& request) {
    ++transactions_;
    ClaimTableReply reply{request.id, Status::kDone, {}};
    for (const ClaimRow& row : request.rows) {
      if (request.kind == Kind::kInsertIfAbsent) {
        reply.rows.emplace_back(rows_.try_emplace(row.key, row).first->second);
        continue;
      }
      const auto found = rows_.find(row.key);
      reply.rows.push_back(found == rows_.end()
                               ? std::nullopt
                               : std::optional<ClaimRow>(found->second));
    }
    return reply;
  }

  const std::map<std::string, ClaimRow>& rows() const { return rows_; }
  std::uint64_t transactions() const { return transactions_; }

 private:
  std::map<std::string, ClaimRow> rows_;
  std::uint64_t transactions_ = 0;
};

TEST(ClaimRowTest, KeysOfDifferentCallersDiffer) {
  EXPECT_NE(ClaimRowKey("orders", 1, "k"), ClaimRowKey("orders", 2, "k"));
  EXPECT_NE(ClaimRowKey("orders", 1, "k"), ClaimRowKey("plans", 1, "k"));
  const ClaimRow row{ClaimRowKey("orders", 1, "k"), {3, 4}, 5};
  EXPECT_EQ(BindingOf(row).executor, row.executor);
  EXPECT_EQ(BindingOf(row).issued_ms, 5u);
}

// Guards against one transaction per claim: claims that arrive within one
// linger time or during a write share a transaction.
TEST(ClaimCommitterTest, GroupsClaimsIntoBatches) {
  ClaimCommitter committer;
  FakeTable table;
  ASSERT_TRUE(committer.Add(MakeClaim(1, "a", 10), At(0)));
  EXPECT_FALSE(committer.NextBatch(At(1)));
  EXPECT_EQ(committer.NextWake(), At(3));
  ASSERT_TRUE(committer.Add(MakeClaim(2, "b", 11), At(2)));
  ASSERT_TRUE(committer.Add(MakeClaim(3, "a", 12), At(2)));
  const auto batch = committer.NextBatch(At(3));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->rows.size(), 2u);
  ASSERT_TRUE(committer.Add(MakeClaim(4, "c", 10), At(4)));
  EXPECT_FALSE(committer.NextBatch(At(20)));
  const auto resolved = committer.OnBatchResult(table.Apply(*batch), At(20));
  ASSERT_EQ(resolved.size(), 3u);
  EXPECT_EQ(resolved[0].verdict, Verdict::kBound);
  // The second claim of the same key gets the executor of the first.
  EXPECT_EQ(resolved[1].waiter, 3u);
  EXPECT_EQ(resolved[1].verdict, Verdict::kBoundElsewhere);
  EXPECT_EQ(resolved[1].row.executor.node, 10u);
  EXPECT_TRUE(committer.NextBatch(At(20)));
}

TEST(ClaimCommitterTest, SendsAFullBatchAtOnceAndRefusesClaimsAboveMaxWaiters) {
  ClaimCommitter committer({.max_batch = 2, .max_waiters = 3});
  for (std::uint64_t i = 0; i < 3; ++i)
    ASSERT_TRUE(committer.Add(MakeClaim(i, std::to_string(i), 1), At(0)));
  EXPECT_FALSE(committer.Add(MakeClaim(9, "x", 1), At(0)));
  const auto batch = committer.NextBatch(At(0));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->rows.size(), 2u);
}

// Guards against requests that wait until their deadline while the platform is
// unavailable.
TEST(ClaimCommitterTest, ResolvesAtOnceWhenTheTableIsUnavailable) {
  ClaimCommitter committer;
  ASSERT_TRUE(committer.Add(MakeClaim(1, "a", 10), At(0)));
  const auto batch = committer.NextBatch(At(3));
  ASSERT_TRUE(batch);
  const auto resolved =
      committer.OnBatchResult({batch->id, Status::kUnavailable, {}}, At(4));
  ASSERT_EQ(resolved.size(), 1u);
  EXPECT_EQ(resolved[0].verdict, Verdict::kUnavailable);
  EXPECT_EQ(committer.waiters(), 0u);
  EXPECT_EQ(committer.NextWake(), std::nullopt);
}

// Guards against treating a lost reply as a success or a failure.
TEST(ClaimCommitterTest, ReadsBackAfterALostReply) {
  ClaimCommitter committer;
  FakeTable table;
  ASSERT_TRUE(committer.Add(MakeClaim(1, "a", 10), At(0)));
  ASSERT_TRUE(committer.Add(MakeClaim(2, "b", 10), At(0)));
  const auto batch = committer.NextBatch(At(3));
  ASSERT_TRUE(batch);
  // Only "a" exists, bound to another node.
  table.Apply({1, Kind::kInsertIfAbsent, {MakeClaim(9, "a", 99).row}});
  EXPECT_TRUE(committer.Tick(At(502)).empty());
  EXPECT_TRUE(committer.Tick(At(503)).empty());
  const auto read = committer.NextBatch(At(503));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->kind, Kind::kRead);
  const auto resolved = committer.OnBatchResult(table.Apply(*read), At(510));
  ASSERT_EQ(resolved.size(), 1u);
  EXPECT_EQ(resolved[0].verdict, Verdict::kBoundElsewhere);
  EXPECT_EQ(resolved[0].row.executor.node, 99u);
  // "b" is absent and inserted again. The first write takes effect before the
  // second, which then finds the row.
  const auto again = committer.NextBatch(At(510));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->kind, Kind::kInsertIfAbsent);
  table.Apply(*batch);
  const auto bound = committer.OnBatchResult(table.Apply(*again), At(520));
  ASSERT_EQ(bound.size(), 1u);
  EXPECT_EQ(bound[0].verdict, Verdict::kBound);
  EXPECT_TRUE(committer.OnBatchResult(table.Apply(*batch), At(521)).empty());
}

TEST(ClaimCommitterTest, ResolvesWaitersAtTheirDeadline) {
  ClaimCommitter committer;
  ASSERT_TRUE(committer.Add(MakeClaim(1, "a", 10, 5), At(0)));
  const auto batch = committer.NextBatch(At(3));
  const auto late = committer.Tick(At(5));
  ASSERT_EQ(late.size(), 1u);
  EXPECT_EQ(late[0].verdict, Verdict::kUnavailable);
  FakeTable table;
  EXPECT_TRUE(committer.OnBatchResult(table.Apply(*batch), At(6)).empty());
}

// Guards against a queue that keeps the rows of cancelled claims.
TEST(ClaimCommitterTest, CancelRemovesTheRowAndItsQueueEntry) {
  ClaimCommitter committer;
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(committer.Add(MakeClaim(1, "a", 10), At(0)));
    committer.Cancel(1);
  }
  EXPECT_EQ(committer.waiters(), 0u);
  EXPECT_FALSE(committer.NextBatch(At(10)));
  EXPECT_EQ(committer.NextWake(), std::nullopt);
}

/// Sends the transactions of several nodes to one table with random faults.
class ClaimSimulation {
 public:
  explicit ClaimSimulation(std::uint64_t seed) : rng_(seed), nodes_(3) {}

  void Step() {
    now_ += static_cast<std::int64_t>(rng_() % 40);
    const std::size_t node = rng_() % nodes_.size();
    ClaimCommitter& committer = nodes_[node];
    const std::uint64_t waiter = next_waiter_++;
    const Claim claim =
        MakeClaim(waiter, std::to_string(rng_() % 30), rng_() % 5,
                  now_ + 50 + static_cast<std::int64_t>(rng_() % 1500));
    if (committer.Add(claim, At(now_)))
      unresolved_.emplace(waiter, claim);
    for (ClaimCommitter& each : nodes_)
      ExchangeWithTable(each);
  }

  void Finish() {
    now_ += 10'000;
    for (ClaimCommitter& committer : nodes_) {
      CheckResolutions(committer.Tick(At(now_)));
      RC_ASSERT(committer.waiters() == 0u);
    }
    RC_ASSERT(unresolved_.empty());
  }

  std::uint64_t resolved() const { return resolved_; }
  std::uint64_t transactions() const { return table_.transactions(); }

 private:
  void ExchangeWithTable(ClaimCommitter& committer) {
    CheckResolutions(committer.Tick(At(now_)));
    // A write whose reply was lost takes effect late.
    if (!delayed_.empty() && rng_() % 3 == 0) {
      table_.Apply(delayed_.back());
      delayed_.pop_back();
    }
    const auto batch = committer.NextBatch(At(now_));
    if (!batch)
      return;
    switch (rng_() % 6) {
      case 0:
        CheckResolutions(committer.OnBatchResult(
            {batch->id, Status::kUnavailable, {}}, At(now_)));
        return;
      case 1:
        delayed_.push_back(*batch);
        CheckResolutions(
            committer.OnBatchResult({batch->id, Status::kLost, {}}, At(now_)));
        return;
      case 2:
        // Takes effect without a reply; lost when batch_timeout has passed.
        table_.Apply(*batch);
        return;
      default:
        CheckResolutions(
            committer.OnBatchResult(table_.Apply(*batch), At(now_)));
    }
  }

  void CheckResolutions(const std::vector<ClaimResolution>& resolutions) {
    for (const ClaimResolution& resolution : resolutions) {
      const auto claim = unresolved_.find(resolution.waiter);
      RC_ASSERT(claim != unresolved_.end());
      const ClaimRow wanted = claim->second.row;
      unresolved_.erase(claim);
      ++resolved_;
      if (resolution.verdict == Verdict::kUnavailable)
        continue;
      RC_ASSERT(resolution.row == table_.rows().at(wanted.key));
      RC_ASSERT((resolution.verdict == Verdict::kBound) ==
                (resolution.row.executor == wanted.executor));
    }
  }

  std::mt19937_64 rng_;
  std::int64_t now_ = 0;
  std::uint64_t next_waiter_ = 1;
  std::uint64_t resolved_ = 0;
  FakeTable table_;
  std::vector<ClaimCommitter> nodes_;
  std::vector<ClaimTableRequest> delayed_;
  std::map<std::uint64_t, Claim> unresolved_;
};

// Guards against two executors of one key under any order of lost replies, late
// writes and outages, and against a waiter that is never resolved.
TEST(ClaimPropertyTest, AllWaitersOfAKeyGetTheSameExecutor) {
  std::uint64_t resolved = 0;
  std::uint64_t transactions = 0;
  const bool holds = rc::check([&] {
    ClaimSimulation run(*rc::gen::arbitrary<std::uint64_t>());
    const auto steps = *rc::gen::inRange(1, 500);
    for (int step = 0; step < steps; ++step)
      run.Step();
    run.Finish();
    resolved += run.resolved();
    transactions += run.transactions();
  });
  EXPECT_TRUE(holds);
  RecordProperty("resolved", std::to_string(resolved));
  RecordProperty("transactions", std::to_string(transactions));
}

}  // namespace
}  // namespace sesamespread::coordination
