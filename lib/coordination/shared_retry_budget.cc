/// \file
/// Sliding-window counts of requests and retries, and the token bucket of
/// retries.
#include "sesamespread/coordination/shared_retry_budget.h"

#include <algorithm>

#include "sesamespread/coordination/overload.h"

namespace sesamespread::coordination {
namespace {

/// Ranks of callers' requests lie below this, those of calls above it.
constexpr double kMinCallRank = 0.1;

/// Priorities of routes that get ranks of their own; less important ones share
/// the last rank. The more of the token bucket lies between two requests, the
/// less its fluctuations mix their ranks.
constexpr double kRankedPriorities = 3 * state::kPrioritiesPerImportance;

/// Upper bound of ranks. Below 1, so that the last rank does not need a full
/// token bucket.
constexpr double kRankLimit = 0.9;

}  // namespace

double RetryRank(bool from_backend,
                 std::uint32_t priority,
                 std::uint64_t root_hash,
                 double remaining_share) {
  const double position =
      std::min(EntryPriority(priority, root_hash) / kRankedPriorities, 1.0);
  if (!from_backend)
    return position * kMinCallRank;
  return kMinCallRank +
         position * remaining_share * (kRankLimit - kMinCallRank);
}

std::uint64_t SharedRetryBudget::SliceNumber(state::Instant now) const {
  const auto length = std::max<std::int64_t>(
      options_.window.count() / static_cast<std::int64_t>(kSlices), 1);
  return static_cast<std::uint64_t>(now.time_since_epoch().count() / length);
}

SharedRetryBudget::Service& SharedRetryBudget::Find(std::string_view name,
                                                    state::Instant now) {
  const auto [found, added] = services_.try_emplace(std::string(name));
  Service& service = found->second;
  if (added) {
    service.tokens = options_.min_retries;
    service.first_request = now;
    service.refilled_at = now;
  }
  return service;
}

SharedRetryBudget::Counts& SharedRetryBudget::CurrentCounts(
    Service& service,
    state::Instant now) const {
  const std::uint64_t number = SliceNumber(now);
  Slice& slice = service.slices[number % kRetainedSlices];
  if (slice.number != number)
    slice = {number, {}};
  return slice.counts;
}

SharedRetryBudget::Counts SharedRetryBudget::CountsOfWindow(
    const Service& service,
    state::Instant now,
    std::uint64_t slices_ago) const {
  const std::uint64_t last = SliceNumber(now) - slices_ago;
  Counts sum;
  for (const Slice& slice : service.slices) {
    if (slice.number + kSlices <= last || slice.number > last)
      continue;
    sum.requests += slice.counts.requests;
    sum.retries += slice.counts.retries;
    sum.non_leaf_retries += slice.counts.non_leaf_retries;
  }
  return sum;
}

std::uint32_t SharedRetryBudget::CountedRequests(const Service& service,
                                                 state::Instant now) const {
  std::uint32_t requests = 0;
  for (const std::uint64_t slices_ago : {std::size_t{0}, kSlices / 2, kSlices})
    requests =
        std::max(requests, CountsOfWindow(service, now, slices_ago).requests);
  return requests;
}

double SharedRetryBudget::AllowedRetries(std::uint32_t requests,
                                         double share) const {
  return options_.min_retries + options_.ratio * share * requests;
}

double SharedRetryBudget::Refill(Service& service,
                                 double allowed,
                                 state::Instant now) const {
  const double capacity =
      options_.min_retries +
      options_.burst_share * (allowed - options_.min_retries);
  // During the first window, the allowed retries accrue over the time since the
  // first request.
  const state::Duration accrual_time = std::clamp(
      now - service.first_request, state::Duration(1), options_.window);
  const state::Duration elapsed =
      std::max(now - service.refilled_at, state::Duration(0));
  service.refilled_at = now;
  service.tokens += allowed * static_cast<double>(elapsed.count()) /
                    static_cast<double>(accrual_time.count());
  service.tokens = std::min(service.tokens, capacity);
  return capacity;
}

void SharedRetryBudget::OnRequest(std::string_view name, state::Instant now) {
  ++CurrentCounts(Find(name, now), now).requests;
}

void SharedRetryBudget::OnCallFromRetry(std::string_view name,
                                        state::Instant now) {
  Service& service = Find(name, now);
  ++CurrentCounts(service, now).retries;
  Refill(service,
         AllowedRetries(CountedRequests(service, now), options_.usable_share),
         now);
  service.tokens -= 1;
}

bool SharedRetryBudget::TryAcquire(const RetryRequest& request,
                                   state::Instant now) {
  Service& service = Find(request.service, now);
  const Counts counts = CountsOfWindow(service, now, 0);
  const std::uint32_t requests = CountedRequests(service, now);
  const double allowed = AllowedRetries(requests, options_.usable_share);
  if (counts.retries + 1 > allowed)
    return false;
  if (!request.is_leaf && counts.non_leaf_retries + 1 >
                              AllowedRetries(requests, options_.non_leaf_share))
    return false;
  const double capacity = Refill(service, allowed, now);
  const double reserve =
      std::max(request.rank, request.is_hedge ? options_.hedge_reserve : 0);
  if (service.tokens - 1 < reserve * (capacity - 1))
    return false;
  service.tokens -= 1;
  Counts& current = CurrentCounts(service, now);
  ++current.retries;
  if (!request.is_leaf)
    ++current.non_leaf_retries;
  return true;
}

}  // namespace sesamespread::coordination
