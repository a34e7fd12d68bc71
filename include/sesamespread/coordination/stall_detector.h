/// \file
/// Detects that this process did not run for a time.
#ifndef SESAMESPREAD_COORDINATION_STALL_DETECTOR_H_
#define SESAMESPREAD_COORDINATION_STALL_DETECTOR_H_

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Bounds the age of what a process reads from its sockets. A request that
/// waited there while the process was paused contains a time budget that was
/// counted from when it was sent.
class StallDetector {
 public:
  /// Interval of OnTick.
  static constexpr state::Duration kTickInterval =
      std::chrono::milliseconds(100);

  /// Time without a tick from which the process counts as stalled. A busy
  /// process runs its timers late by less.
  static constexpr state::Duration kMinStall = std::chrono::milliseconds(400);

  /// Time after a stall in which requests that waited meanwhile are read.
  static constexpr state::Duration kBacklogTime =
      std::chrono::milliseconds(150);

  /// To be called every kTickInterval by the thread that reads the sockets.
  void OnTick(state::Instant now) {
    if (now - last_tick_ >= kMinStall && last_tick_ != state::Instant{}) {
      stall_ = now - last_tick_;
      stall_end_ = now;
    }
    last_tick_ = now;
  }

  /// How long something that is read at \p now may have waited because this
  /// process did not run; 0 if it did run.
  state::Duration MaxAge(state::Instant now) const {
    if (last_tick_ == state::Instant{})
      return state::Duration(0);
    if (now - last_tick_ >= kMinStall)
      return now - last_tick_;
    return now - stall_end_ < kBacklogTime ? stall_ : state::Duration(0);
  }

 private:
  state::Instant last_tick_{};
  // The last stall, and when it ended.
  state::Duration stall_{0};
  state::Instant stall_end_{};
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_STALL_DETECTOR_H_
