/// \file
/// Overload of a backend server, told back along the calls that lead to it, so
/// that new requests are refused where they enter and before any work is done.
///
/// A request that fails deep in its chain of calls has used slots at each hop.
/// Refusing it at the entry needs no knowledge of who calls whom: each answer
/// carries the thresholds of the servers that its own calls met.
#ifndef SESAMESPREAD_COORDINATION_OVERLOAD_H_
#define SESAMESPREAD_COORDINATION_OVERLOAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/state/request_context.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct OverloadOptions {
  /// Time between two changes of the threshold.
  state::Duration interval = std::chrono::milliseconds(50);
  /// Wait for a slot at which the server is neither over- nor underloaded.
  /// Above zero, so that no slot is idle between two calls.
  state::Duration wait_target = std::chrono::milliseconds(30);
  /// The same in service times; the larger one counts.
  double wait_target_services = 1.5;
  /// Change of the threshold per second, in priorities, while the wait is twice
  /// the target, and while nothing waits. Lower is slower to recover, higher
  /// swings more, since an answer takes some tenths of a second to reach the
  /// entry.
  double fall_per_second = 160;
  double rise_per_second = 80;
};

/// The threshold that one server asks the entries to apply.
class OverloadThreshold {
 public:
  explicit OverloadThreshold(OverloadOptions options = {})
      : options_(options) {}

  /// Adapts the threshold to the wait of a new call. May be called at any rate.
  void Update(state::Duration expected_wait,
              state::Duration service_time,
              state::Instant now);

  /// 0..state::kPriorityCount. Requests of lower priority values enter.
  std::uint32_t threshold() const {
    return static_cast<std::uint32_t>(threshold_);
  }

 private:
  const OverloadOptions options_;
  double threshold_ = state::kPriorityCount;
  state::Instant updated_{};
};

/// A service and the threshold that its servers ask for.
struct PressurePoint {
  std::string service;
  std::uint32_t threshold = state::kPriorityCount;

  auto operator<=>(const PressurePoint&) const = default;
};

struct RoutePressureOptions {
  /// Share of one answer in the average threshold.
  double gain = 0.2;
  /// Reports older than this no longer count. Once a route is refused
  /// altogether, nothing reports on it any more; the next requests find out.
  state::Duration max_age = std::chrono::milliseconds(800);
};

/// What the answers to each route's requests reported.
class RoutePressure {
 public:
  explicit RoutePressure(RoutePressureOptions options = {})
      : options_(options) {}

  /// An answer to a request of \p route reported \p points. A service that is
  /// not among them has no overload that the request met.
  void Observe(const std::string& route,
               const std::vector<PressurePoint>& points,
               state::Instant now);

  /// The services behind \p route that ask for a threshold, in order of name.
  std::vector<PressurePoint> PointsOf(const std::string& route,
                                      state::Instant now) const;

  /// The lowest threshold of PointsOf; state::kPriorityCount if there is none.
  std::uint32_t ThresholdOf(const std::string& route, state::Instant now) const;

 private:
  struct Average {
    std::string service;
    double threshold = state::kPriorityCount;
    state::Instant updated;
  };

  const RoutePressureOptions options_;
  std::unordered_map<std::string, std::vector<Average>> routes_;
};

/// The priority of a new request for the comparison with a threshold. Requests
/// of one rank are spread by \p id_hash, so that a part of them can be refused.
std::uint32_t EntryPriority(std::uint32_t rank, std::uint64_t id_hash);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_OVERLOAD_H_
