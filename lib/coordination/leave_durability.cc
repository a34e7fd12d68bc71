/// \file
/// Verdict on the copies of a leave.
#include "sesamespread/coordination/leave_durability.h"

namespace sesamespread::coordination {

LeaveVerdict LeaveDurability::Verdict(state::Instant now) const {
  if (is_stored_)
    return LeaveVerdict::kConfirm;
  const state::Duration elapsed = now - received_;
  if (elapsed >= kStoreTimeout && peer_copies_ >= kSufficientCopies)
    return LeaveVerdict::kConfirm;
  if (elapsed < kAnswerTimeout)
    return LeaveVerdict::kPending;
  return peer_copies_ > 0 ? LeaveVerdict::kConfirm : LeaveVerdict::kReject;
}

}  // namespace sesamespread::coordination
