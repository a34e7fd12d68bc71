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
  /// Wait for a slot up to which nothing is refused. Calls go to other servers
  /// of the service at shorter waits, so that one busy server among idle ones
  /// refuses nothing.
  state::Duration tolerated_wait = std::chrono::milliseconds(40);
  /// Wait beyond that at which all requests of the lowest rank are refused; each
  /// further rank takes as much again. The queue grows by the overload, and an
  /// answer takes some tenths of a second to reach the entry: a shorter range
  /// makes the two swing against each other.
  state::Duration wait_per_rank = std::chrono::milliseconds(120);
  /// Share of one measurement in the average wait.
  double gain = 0.2;
};

/// The threshold that one server asks the entries to apply. It follows the wait,
/// which itself sums up how much more was asked for than the server could do, so
/// that it settles where both are equal.
class OverloadThreshold {
 public:
  explicit OverloadThreshold(OverloadOptions options = {})
      : options_(options) {}

  /// Takes the wait that a call has met.
  void Observe(state::Duration expected_wait);

  /// 0..state::kPriorityCount. Requests of lower priority values enter.
  std::uint32_t threshold() const;

 private:
  const OverloadOptions options_;
  // Average in microseconds.
  double wait_ = 0;
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
