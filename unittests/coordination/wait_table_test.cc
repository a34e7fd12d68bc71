/// \file
/// Guards against calls to servers that would refuse them, and against avoiding
/// servers because of outdated reports.
#include "sesamespread/coordination/wait_table.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;
using Nodes = std::vector<state::NodeId>;

state::Instant At(std::int64_t ms) {
  return state::Instant(std::chrono::hours(1) + milliseconds(ms));
}

TEST(WaitTableTest, ReturnsNodesWhereACallWouldWaitTooLong) {
  WaitTable waits;
  waits.Observe(1, "read", milliseconds(100), At(0));
  waits.Observe(2, "read", milliseconds(20), At(0));
  EXPECT_EQ(waits.NodesAbove("read", milliseconds(50), At(0)), Nodes{1});
  EXPECT_TRUE(waits.NodesAbove("list", milliseconds(50), At(0)).empty());
}

TEST(WaitTableTest, ReportedWaitDecreasesWithAge) {
  WaitTable waits;
  waits.Observe(1, "read", milliseconds(100), At(0));
  EXPECT_EQ(waits.NodesAbove("read", milliseconds(50), At(40)), Nodes{1});
  EXPECT_TRUE(waits.NodesAbove("read", milliseconds(50), At(60)).empty());
}

TEST(WaitTableTest, OldReportsAreIgnored) {
  WaitTable waits;
  waits.Observe(1, "read", std::chrono::seconds(9), At(0));
  EXPECT_TRUE(waits.NodesAbove("read", milliseconds(50), At(151)).empty());
}

TEST(WaitTableTest, ZeroWaitRemovesTheReport) {
  WaitTable waits;
  waits.Observe(1, "read", milliseconds(100), At(0));
  waits.Observe(1, "read", milliseconds(0), At(1));
  EXPECT_TRUE(waits.NodesAbove("read", milliseconds(50), At(1)).empty());
}

}  // namespace
}  // namespace sesamespread::coordination
