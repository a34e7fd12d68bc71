/// \file
/// Each node's part of a retry budget that holds for all nodes together.
///
/// The platform bounds the arrivals at a service beyond the first of each
/// request, summed over all nodes, by a ratio of its requests plus a constant.
/// Requests count in the same window, in the one before it or in the one half a
/// window before, whichever has most. A node that spends at most that ratio of
/// the requests which it sent itself keeps the sum below the bound without
/// knowing how many nodes there are.
///
/// While all servers of a service refuse a part of their calls, the budget
/// covers a part of the repeats that are wanted. A request with many calls is
/// served only if each of them is, so repeats that are spread over all requests
/// help hardly any of them. Ranks choose the same requests at each node.
#ifndef SESAMESPREAD_COORDINATION_SHARED_RETRY_BUDGET_H_
#define SESAMESPREAD_COORDINATION_SHARED_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct SharedRetryBudgetOptions {
  /// Bound on repeats as a share of requests, for all nodes together.
  double ratio = 0.2;
  /// Time over which the bound holds.
  state::Duration window = std::chrono::seconds(10);
  /// Part of the ratio that is spent. The rest is left for repeated calls that
  /// are unevenly spread over the nodes.
  double usable_share = 0.8;
  /// Part of the ratio for requests whose servers make calls. A repeat of
  /// theirs repeats each call below it, and those count at the services called:
  /// with four levels of calls, the parts of all levels add up to less than
  /// the whole.
  double inner_share = 0.1;
  /// Repeats within one window that need no requests, so that a node with
  /// little traffic can retry at all.
  double min_retries = 1;
  /// Largest part of what a window allows that can be saved up, so that a burst
  /// of failures doesn't leave the rest of the window without.
  double saved_share = 0.2;
  /// Part of the savings that repeats leave untouched while an earlier server
  /// may still answer. A repeat after a known failure is more likely to help.
  double early_reserve = 0.5;
};

/// A request that is to be repeated.
struct RetryRequest {
  std::string_view service;
  /// From RetryRank.
  double rank = 0;
  /// Whether the runs of its route make no calls.
  bool is_leaf = false;
  /// Whether an earlier server may still answer.
  bool is_early = false;
};

/// Part of the savings that a repeat leaves to those of lower rank, from 0 to
/// below 1. \p priority is that of the route at which the chain of calls began,
/// \p root_hash a hash of the id of the request that it began with. Requests of
/// callers come first: one repeat serves them, while calls need one for each of
/// their siblings as well.
double RetryRank(bool from_backend,
                 std::uint32_t priority,
                 std::uint64_t root_hash);

/// Counts requests and repeats by service.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(SharedRetryBudgetOptions options)
      : options_(options) {}

  /// A request for \p service was sent for the first time.
  void OnRequest(std::string_view service, state::Instant now);

  /// A run that is itself a repeat made a call to \p service.
  void OnCallFromRetry(std::string_view service, state::Instant now);

  /// Takes one repeat from the budget. \returns false if there is none left.
  bool TryAcquire(const RetryRequest& request, state::Instant now);

  void set_ratio(double ratio) { options_.ratio = ratio; }

 private:
  // In a window, and those that are remembered.
  static constexpr std::size_t kSlices = 10;
  static constexpr std::size_t kRemembered = 2 * kSlices;

  // Counts over a part of the window.
  struct Counts {
    std::uint32_t requests = 0;
    // All repeats, repeated calls included.
    std::uint32_t repeats = 0;
    // Those of requests whose servers make calls.
    std::uint32_t inner_repeats = 0;
  };
  struct Slice {
    std::uint64_t number = 0;
    Counts counts;
  };
  struct Service {
    std::array<Slice, kRemembered> slices;
    state::Instant first_request;
    // Repeats that may be made at once. Below zero after repeated calls, which
    // can't be refused.
    double saved = 0;
    state::Instant saved_at;
  };

  Service& Find(std::string_view service, state::Instant now);
  Counts& Current(Service& service, state::Instant now) const;
  // The window that ended \p slices_ago.
  Counts Window(const Service& service,
                state::Instant now,
                std::uint64_t slices_ago) const;
  // Those that count for the bound.
  std::uint32_t Requests(const Service& service, state::Instant now) const;
  // Repeats within a window of \p requests from \p share of the ratio.
  double Allowed(std::uint32_t requests, double share) const;
  // Saves up for the time since the last call. \returns the most that can be
  // saved.
  double Save(Service& service, double allowed, state::Instant now) const;
  std::uint64_t SliceNumber(state::Instant now) const;

  SharedRetryBudgetOptions options_;
  std::unordered_map<std::string, Service> services_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_SHARED_RETRY_BUDGET_H_
