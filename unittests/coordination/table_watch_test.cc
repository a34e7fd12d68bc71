/// \file
/// Guards against too many calls to the store, and against missed changes after
/// a failed call or when the store no longer has the history.
#include "sesamespread/coordination/table_watch.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;

state::Instant At(std::int64_t ms) {
  return state::Instant(std::chrono::hours(1) + milliseconds(ms));
}

RowsReply Reply(std::uint64_t version, bool with_row) {
  RowsReply reply;
  reply.version = version;
  if (with_row)
    reply.rows.push_back({"config", "text", version, false});
  return reply;
}

RowsReply Failure() {
  RowsReply reply;
  reply.status = StoreStatus::kNoReply;
  return reply;
}

constexpr std::size_t kNodes = 16;

TEST(TableWatchTest, ReadsOnceThenWatchesFromThatVersion) {
  TableWatch watch({}, 1);
  EXPECT_TRUE(watch.NextCall(kNodes).is_read);
  EXPECT_TRUE(watch.OnReply(Reply(7, true), At(0)));
  const TableCall call = watch.NextCall(kNodes);
  EXPECT_FALSE(call.is_read);
  EXPECT_EQ(call.after, 7U);
  EXPECT_GT(call.wait, milliseconds(0));
  EXPECT_LE(call.wait, TableWatchOptions{}.max_wait);
}

// Guards against routes that come into force late in a small deployment because
// the connections of all watches stop answering at the same time.
TEST(TableWatchTest, FewNodesWatchMoreOften) {
  TableWatch watch({}, 1);
  watch.OnReply(Reply(7, true), At(0));
  EXPECT_LE(watch.NextCall(1).wait, TableWatchOptions{}.min_wait);
  EXPECT_LE(watch.NextCall(5).wait, milliseconds(2000));
  EXPECT_GE(watch.NextCall(300).wait, TableWatchOptions{}.max_wait / 2);
}

TEST(TableWatchTest, ABurstOfChangesCausesFewCalls) {
  TableWatch watch({}, 1);
  watch.OnReply(Reply(7, true), At(0));
  EXPECT_EQ(watch.NextCall(kNodes).at,
            At(0) + TableWatchOptions{}.min_interval);
  watch.OnReply(Reply(7, false), At(5000));
  EXPECT_EQ(watch.NextCall(kNodes).at, At(5000));
}

TEST(TableWatchTest, ReadsAgainWhenTheHistoryIsLost) {
  TableWatch watch({}, 1);
  watch.OnReply(Reply(7, true), At(0));
  RowsReply lost;
  lost.is_history_lost = true;
  watch.OnReply(lost, At(100));
  EXPECT_TRUE(watch.NextCall(kNodes).is_read);
}

TEST(TableWatchTest, ARestoredStoreIsWatchedFromTheVersionThatWasRead) {
  TableWatch watch({}, 1);
  watch.OnReply(Reply(70, true), At(0));
  RowsReply lost;
  lost.is_history_lost = true;
  watch.OnReply(lost, At(100));
  ASSERT_TRUE(watch.NextCall(kNodes).is_read);
  watch.OnReply(Reply(61, true), At(200));
  EXPECT_EQ(watch.NextCall(kNodes).after, 61U);
}

TEST(TableWatchTest, AReplyOfAnotherEraOrALowerVersionLeadsToARead) {
  TableWatch watch({}, 1);
  const auto reply = [](std::uint64_t era, std::uint64_t version) {
    RowsReply changes = Reply(version, true);
    changes.era = era;
    return changes;
  };
  watch.OnReply(reply(1, 70), At(0));
  ASSERT_FALSE(watch.NextCall(kNodes).is_read);
  watch.OnReply(reply(2, 75), At(1000));
  ASSERT_TRUE(watch.NextCall(kNodes).is_read);
  watch.OnReply(reply(2, 75), At(2000));
  EXPECT_EQ(watch.position(), (StorePosition{2, 75}));
  ASSERT_FALSE(watch.NextCall(kNodes).is_read);
  watch.OnReply(reply(2, 74), At(3000));
  EXPECT_TRUE(watch.NextCall(kNodes).is_read);
}

// Guards against reads without end after a node has claimed an era that the
// store never reaches.
TEST(TableWatchTest, AnEraHeardOfLeadsToOneRead) {
  TableWatch watch({}, 1);
  RowsReply read = Reply(70, true);
  read.era = 1;
  watch.OnReply(read, At(0));
  EXPECT_FALSE(watch.OnEraSeen(1));
  EXPECT_TRUE(watch.OnEraSeen(9));
  EXPECT_FALSE(watch.OnEraSeen(9));
  ASSERT_TRUE(watch.NextCall(kNodes).is_read);
  watch.OnReply(read, At(100));
  EXPECT_FALSE(watch.NextCall(kNodes).is_read);
}

TEST(TableWatchTest, BacksOffAndReportsLossAndRecoveryOfTheStore) {
  TableWatch watch({}, 1);
  watch.OnReply(Reply(7, true), At(0));
  EXPECT_TRUE(watch.OnReply(Failure(), At(100)));
  EXPECT_FALSE(watch.OnReply(Failure(), At(500)));
  EXPECT_FALSE(watch.is_connected());
  for (int i = 0; i < 10; ++i)
    watch.OnReply(Failure(), At(1000 + i));
  const TableCall call = watch.NextCall(kNodes);
  EXPECT_GT(call.at, At(1010));
  EXPECT_LE(call.at, At(1009) + TableWatchOptions{}.max_backoff);
  // Watches from the version before the failure, so no change is missed.
  EXPECT_EQ(call.after, 7U);
  EXPECT_TRUE(watch.OnReply(Reply(9, true), At(3000)));
}

}  // namespace
}  // namespace sesamespread::coordination
