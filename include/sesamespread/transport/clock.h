/// \file
/// Reads the monotonic clock and the wall clock of the host.
#ifndef SESAMESPREAD_TRANSPORT_CLOCK_H_
#define SESAMESPREAD_TRANSPORT_CLOCK_H_

#include <ctime>

#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Returns the current instant. CLOCK_BOOTTIME includes the time that the host
/// is suspended, which CLOCK_MONOTONIC does not: a call whose deadline passes
/// during the suspension must not start after the host resumes.
inline state::Instant Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return state::Instant(std::chrono::duration_cast<state::Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

/// Returns the current wall-clock time.
inline state::WallTime WallNow() {
  return std::chrono::time_point_cast<state::Duration>(
      std::chrono::system_clock::now());
}

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_CLOCK_H_
