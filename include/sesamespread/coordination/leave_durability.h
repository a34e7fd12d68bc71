/// \file
/// Decides when the leave of a backend server may be confirmed.
#ifndef SESAMESPREAD_COORDINATION_LEAVE_DURABILITY_H_
#define SESAMESPREAD_COORDINATION_LEAVE_DURABILITY_H_

#include <cstddef>
#include <cstdint>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// What to answer to a backend server that reports its leave.
enum class LeaveVerdict : std::uint8_t {
  /// No answer yet: a copy may still be stored.
  kPending,
  /// The leave survives a restart of this node.
  kConfirm,
  /// No copy outside of this process is known. The backend server has to report
  /// its leave again.
  kReject,
};

/// Counts the copies of one leave outside of this process. A node that
/// confirmed a leave and then restarts must not send work to that backend
/// server, some of which pass health checks until they end; so a leave is
/// confirmed only once a restarted node would find it.
class LeaveDurability {
 public:
  /// While the store may still answer, copies of peers do not suffice: all
  /// nodes may lose power at the same time.
  static constexpr state::Duration kStoreTimeout =
      std::chrono::milliseconds(250);
  /// A confirmation counts only within a second of the report.
  static constexpr state::Duration kAnswerTimeout =
      std::chrono::milliseconds(800);
  /// Copies of peers that suffice after kStoreTimeout, so that the leave
  /// survives if a peer restarts together with this node.
  static constexpr std::size_t kSufficientCopies = 2;

  explicit LeaveDurability(state::Instant received) : received_(received) {}

  void OnStored() { is_stored_ = true; }
  /// A peer has confirmed that it has a copy.
  void OnPeerCopy() { ++peer_copies_; }

  LeaveVerdict Verdict(state::Instant now) const;

  bool is_stored() const { return is_stored_; }
  std::size_t peer_copies() const { return peer_copies_; }

 private:
  state::Instant received_;
  bool is_stored_ = false;
  std::size_t peer_copies_ = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_LEAVE_DURABILITY_H_
