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
  /// Wait for a slot at which the server is neither over- nor underloaded. A
  /// request with several calls in a row meets it at each of them. Above zero,
  /// so that no slot is idle between two calls.
  state::Duration wait_target = std::chrono::milliseconds(25);
  /// Wait beyond the target for which one rank is refused at once, until the
  /// queue is shorter. The queue grows by the overload, and an answer takes
  /// some tenths of a second to reach the entry: a shorter range makes the two
  /// swing against each other.
  state::Duration wait_per_rank = std::chrono::milliseconds(200);
  /// Time after which an excess has lowered the threshold for good by as much
  /// as it lowers it at once. Brings the wait back to the target while an
  /// overload lasts.
  state::Duration integration_time = std::chrono::milliseconds(1500);
  /// Ranks that are admitted again per second while all slots are free.
  double ranks_per_second_idle = 1.5;
  /// Share of one measurement in the average wait.
  double gain = 0.2;
};

/// The threshold that one server asks the entries to apply: a proportional and
/// an integral part of the wait beyond its target.
class OverloadThreshold {
 public:
  explicit OverloadThreshold(OverloadOptions options = {})
      : options_(options) {}

  /// Takes the wait that a new call would have, and the share of the slots that
  /// are free.
  void Observe(state::Duration expected_wait,
               double free_slots,
               state::Instant now);

  /// 0..state::kPriorityCount. Requests of lower priority values enter.
  std::uint32_t threshold() const;

 private:
  double Excess() const;

  const OverloadOptions options_;
  // Average in microseconds.
  double wait_ = 0;
  // The integral part, in ranks that are refused.
  double ranks_ = 0;
  state::Instant observed_{};
};

/// A service and the threshold that its servers ask for.
struct ReportedThreshold {
  std::string service;
  std::uint32_t threshold = state::kPriorityCount;

  auto operator<=>(const ReportedThreshold&) const = default;
};

struct RouteThresholdsOptions {
  /// Share of one answer in the average threshold.
  double gain = 0.2;
  /// Reports older than this no longer count. Once a route is refused
  /// altogether, nothing reports on it any more; the next requests find out.
  state::Duration max_age = std::chrono::milliseconds(800);
};

/// What the answers to each route's requests reported.
class RouteThresholds {
 public:
  explicit RouteThresholds(RouteThresholdsOptions options = {})
      : options_(options) {}

  /// An answer to a request of \p route reported \p points. A service that is
  /// not among them has no overload that the request met.
  void Observe(const std::string& route,
               const std::vector<ReportedThreshold>& points,
               state::Instant now);

  /// The services behind \p route that ask for a threshold, in order of name.
  std::vector<ReportedThreshold> ThresholdsOfRoute(const std::string& route,
                                                   state::Instant now) const;

  /// The point of ThresholdsOfRoute with the lowest threshold; one that names
  /// no service and refuses nothing if there is none.
  ReportedThreshold LowestThreshold(const std::string& route,
                                    state::Instant now) const;

 private:
  struct Average {
    std::string service;
    double threshold = state::kPriorityCount;
    state::Instant updated;
  };

  const RouteThresholdsOptions options_;
  std::unordered_map<std::string, std::vector<Average>> routes_;
};

/// The priority of a new request for the comparison with a threshold. Requests
/// of one rank are spread by \p id_hash, so that a part of them can be refused.
std::uint32_t EntryPriority(std::uint32_t rank, std::uint64_t id_hash);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_OVERLOAD_H_
