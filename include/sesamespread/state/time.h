/// \file
/// Time types shared by all layers. The classes that make decisions never read
/// a clock; their caller passes the current Instant.
#ifndef SESAMESPREAD_STATE_TIME_H_
#define SESAMESPREAD_STATE_TIME_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sesamespread::state {

/// A time span with a resolution of microseconds, used by all decisions.
using Duration = std::chrono::microseconds;

/// A point in time on the monotonic clock of the host.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point in time on the wall clock of the host. It is compared only with
/// times of the backend server on the same host and by people; nodes never
/// compare the wall clocks of different hosts.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Greatest reading of another system's clock that is used: 36,500 years, so
/// that sums and differences of readings and instants can't overflow. Unlike a
/// duration in a setting, a reading grows with the age of that system.
constexpr Duration kMaxClockReading{std::int64_t{1} << 60};

/// Milliseconds from 1970-01-01 00:00 UTC to \p time; 0 for earlier times.
inline std::uint64_t WallMilliseconds(WallTime time) {
  const auto since =
      std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch());
  return static_cast<std::uint64_t>(std::max<std::int64_t>(since.count(), 0));
}

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_TIME_H_
