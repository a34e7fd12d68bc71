/// \file
/// Admission thresholds of overloaded backend servers, reported with answers
/// along the chain of calls, so that new requests are refused at the entry node
/// before any work is done.
///
/// A request that fails deep in its chain of calls has used slots at each hop.
/// Refusing it at the entry node needs no knowledge of the call graph: each
/// answer carries the thresholds of the servers that its own calls reached.
///
/// A rank is a range of state::kPrioritiesPerImportance priorities; rank 0 is
/// the most important.
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
  /// Target of the queueing delay. It is short, because a request with several
  /// calls in sequence incurs it at each of them, and above zero, so that no
  /// slot is idle between two calls.
  state::Duration wait_target = std::chrono::milliseconds(25);
  /// Queueing delay beyond the target for which the proportional part refuses
  /// one rank. Answers take some tenths of a second to reach the entry node
  /// while the queue grows, so that a shorter delay per rank makes threshold
  /// and queue oscillate.
  state::Duration wait_per_rank = std::chrono::milliseconds(200);
  /// Time after which a constant excess has lowered the threshold by as much
  /// through the integral part as it does through the proportional part. The
  /// integral part brings the queueing delay back to the target while an
  /// overload lasts.
  state::Duration integration_time = std::chrono::milliseconds(1500);
  /// Ranks by which the integral part decreases per second while all slots are
  /// free.
  double ranks_per_second_idle = 1.5;
  /// Weight of one observation in the exponential moving average of the
  /// queueing delay.
  double gain = 0.2;
};

/// Proportional-integral controller of the threshold that one server reports
/// for the entry nodes to apply. Its input is the queueing delay beyond the
/// target.
class OverloadThreshold {
 public:
  explicit OverloadThreshold(OverloadOptions options = {})
      : options_(options) {}

  /// Records the wait that a new call would have, and the share of the slots
  /// that are free.
  void Observe(state::Duration expected_wait,
               double free_slots,
               state::Instant now);

  /// 0..state::kPriorityCount. Requests with a priority value below it are
  /// admitted.
  std::uint32_t threshold() const;

 private:
  // The proportional part: ranks to refuse for the current excess of the delay;
  // negative below the target.
  double ExcessRanks() const;

  const OverloadOptions options_;
  double average_wait_us_ = 0;
  // The integral part: ranks to refuse.
  double integral_ranks_ = 0;
  state::Instant observed_{};
};

/// A service and the admission threshold that its servers report.
struct ReportedThreshold {
  std::string service;
  std::uint32_t threshold = state::kPriorityCount;

  auto operator<=>(const ReportedThreshold&) const = default;
};

struct RouteThresholdsOptions {
  /// Weight of one answer in the exponential moving average of a threshold.
  double gain = 0.2;
  /// Reports older than this are ignored. A route whose requests are all
  /// refused gets no more reports; once the last ones have expired, new
  /// requests are admitted and return current ones.
  state::Duration max_age = std::chrono::milliseconds(800);
};

/// Moving averages of the thresholds that the answers to each route's requests
/// report.
class RouteThresholds {
 public:
  explicit RouteThresholds(RouteThresholdsOptions options = {})
      : options_(options) {}

  /// Records the thresholds reported with an answer to a request of \p route. A
  /// service that is missing in \p reports counts as not overloaded.
  void Observe(const std::string& route,
               const std::vector<ReportedThreshold>& reports,
               state::Instant now);

  /// The average thresholds of the services behind \p route, in order of name.
  /// Services without overload are left out.
  std::vector<ReportedThreshold> ThresholdsOfRoute(const std::string& route,
                                                   state::Instant now) const;

  /// The element of ThresholdsOfRoute with the lowest threshold; if there is
  /// none, an empty service name and state::kPriorityCount, which admits all
  /// requests.
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

/// The priority of a new request, to be compared with a threshold. \p id_hash
/// spreads the requests of one rank over its priorities, so that a part of them
/// can be refused.
std::uint32_t EntryPriority(std::uint32_t rank, std::uint64_t id_hash);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_OVERLOAD_H_
