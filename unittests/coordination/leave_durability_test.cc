/// \file
/// Guards against a confirmed leave that a restarted node does not know.
#include "sesamespread/coordination/leave_durability.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;

constexpr state::Instant kReceived{std::chrono::seconds(100)};

TEST(LeaveDurabilityTest, AStoredLeaveIsConfirmedAtOnce) {
  LeaveDurability leave(kReceived);
  EXPECT_EQ(leave.Verdict(kReceived), LeaveVerdict::kPending);
  leave.OnStored();
  EXPECT_EQ(leave.Verdict(kReceived), LeaveVerdict::kConfirm);
}

// Guards against a confirmation that depends on peers which lose power together
// with this node, while the store would have taken the leave.
TEST(LeaveDurabilityTest, CopiesOfPeersSufficeOnlyOnceTheStoreIsSilent) {
  LeaveDurability leave(kReceived);
  for (std::size_t i = 0; i < LeaveDurability::kSufficientCopies; ++i)
    leave.OnPeerCopy();
  EXPECT_EQ(leave.Verdict(kReceived + milliseconds(249)),
            LeaveVerdict::kPending);
  EXPECT_EQ(leave.Verdict(kReceived + milliseconds(250)),
            LeaveVerdict::kConfirm);
}

// Guards against a leave without confirmation in a deployment of two nodes.
TEST(LeaveDurabilityTest, OneCopySufficesBeforeTheAnswerIsTooLate) {
  LeaveDurability leave(kReceived);
  leave.OnPeerCopy();
  EXPECT_EQ(leave.Verdict(kReceived + milliseconds(799)),
            LeaveVerdict::kPending);
  EXPECT_EQ(leave.Verdict(kReceived + milliseconds(800)),
            LeaveVerdict::kConfirm);
}

TEST(LeaveDurabilityTest, ALeaveWithoutAnyCopyIsRejected) {
  LeaveDurability leave(kReceived);
  EXPECT_EQ(leave.Verdict(kReceived + milliseconds(800)),
            LeaveVerdict::kReject);
  leave.OnPeerCopy();
  EXPECT_EQ(leave.Verdict(kReceived + milliseconds(2300)),
            LeaveVerdict::kConfirm);
}

}  // namespace
}  // namespace sesamespread::coordination
