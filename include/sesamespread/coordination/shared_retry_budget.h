/// \file
/// Each node's share of a retry budget that holds for all nodes together.
///
/// The platform bounds the retries at a service (arrivals beyond the first of
/// each request, summed over all nodes) to a ratio of its requests plus a
/// constant. The requests are those of the same window, of the window before it
/// or of the window that ended half a window before, whichever has the most. If
/// each node spends at most that ratio of the requests that it sent itself, the
/// sum stays below the bound, and no node needs to know the number of nodes.
///
/// While all servers of a service refuse a part of their calls, the budget
/// covers only a part of the retries wanted. A request with many calls succeeds
/// only if each of them does, so that retries spread over all requests would
/// help hardly any of them. Ranks give preference to the same requests at each
/// node.
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
  /// Bound on retries as a share of requests, for all nodes together.
  double ratio = 0.2;
  /// Time over which the bound holds.
  state::Duration window = std::chrono::seconds(10);
  /// Share of the ratio that is spent. The rest is a reserve for calls of
  /// retried runs, which are unevenly spread over the nodes.
  double usable_share = 0.8;
  /// Share of the ratio for requests whose servers make calls. A retry of such
  /// a request repeats each call below it, and those calls count at the
  /// services called: with four levels of calls, the shares of all levels add
  /// up to less than the whole.
  double non_leaf_share = 0.1;
  /// Retries allowed within one window at any number of requests, so that a
  /// node with little traffic can retry at all.
  double min_retries = 1;
  /// Capacity of the token bucket beyond min_retries, as a share of the further
  /// retries allowed in a window. It bounds a burst, so that retries are left
  /// for the rest of the window.
  double burst_share = 0.2;
  /// Share of the bucket that hedged requests must leave. A retry after a known
  /// failure is more likely to help.
  double hedge_reserve = 0.5;
};

/// A request that is to be retried.
struct RetryRequest {
  std::string_view service;
  /// From RetryRank.
  double rank = 0;
  /// Whether runs of its route make no calls.
  bool is_leaf = false;
  /// Whether this is a hedged request: an earlier server may still answer.
  bool is_hedge = false;
};

/// Share of the token bucket that a retry must leave to retries of lower rank,
/// from 0 to below 1. \p priority is that of the route at which the chain of
/// calls began, \p root_hash a hash of the id of the request that it began
/// with. Requests of callers have the lowest ranks: one retry completes them,
/// while a call helps its request only if each of its siblings succeeds as
/// well. \p remaining_share is the share of the calls of its run, from 0 to 1,
/// that are not answered yet: the fewer are left, the fewer retries complete
/// the run, and the more work would be lost.
double RetryRank(bool from_backend,
                 std::uint32_t priority,
                 std::uint64_t root_hash,
                 double remaining_share);

/// Counts requests and retries by service, and grants retries from a token
/// bucket for each service.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(SharedRetryBudgetOptions options)
      : options_(options) {}

  /// Records that a request for \p service was sent for the first time.
  void OnRequest(std::string_view service, state::Instant now);

  /// Records a call to \p service by a run that is itself a retry. The call
  /// counts as a retry but cannot be refused.
  void OnCallFromRetry(std::string_view service, state::Instant now);

  /// Consumes one retry of the budget. \returns false if none is left for
  /// \p request.
  bool TryAcquire(const RetryRequest& request, state::Instant now);

  void set_ratio(double ratio) { options_.ratio = ratio; }

 private:
  // Number of slices of a window, and of slices that are kept.
  static constexpr std::size_t kSlices = 10;
  static constexpr std::size_t kRetainedSlices = 2 * kSlices;

  // Counts over a part of the window.
  struct Counts {
    std::uint32_t requests = 0;
    // All retries, including calls of retried runs.
    std::uint32_t retries = 0;
    // Retries of requests whose servers make calls.
    std::uint32_t non_leaf_retries = 0;
  };
  struct Slice {
    std::uint64_t number = 0;
    Counts counts;
  };
  struct Service {
    std::array<Slice, kRetainedSlices> slices;
    state::Instant first_request;
    // Retries that may be made now. May be negative after calls of retried
    // runs, which cannot be refused.
    double tokens = 0;
    state::Instant refilled_at;
  };

  Service& Find(std::string_view service, state::Instant now);
  Counts& CurrentCounts(Service& service, state::Instant now) const;
  // Counts of the window that ended \p slices_ago.
  Counts CountsOfWindow(const Service& service,
                        state::Instant now,
                        std::uint64_t slices_ago) const;
  // The number of requests to which the bound refers.
  std::uint32_t CountedRequests(const Service& service,
                                state::Instant now) const;
  // Retries allowed in a window with \p requests for \p share of the ratio.
  double AllowedRetries(std::uint32_t requests, double share) const;
  // Adds the tokens for the time since the last call, at a rate of \p allowed
  // per window. \returns the capacity of the bucket.
  double Refill(Service& service, double allowed, state::Instant now) const;
  std::uint64_t SliceNumber(state::Instant now) const;

  SharedRetryBudgetOptions options_;
  std::unordered_map<std::string, Service> services_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_SHARED_RETRY_BUDGET_H_
