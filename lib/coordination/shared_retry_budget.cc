/// \file
/// Sliding count of requests and repeats, and savings that repeats draw on.
#include "sesamespread/coordination/shared_retry_budget.h"

#include <algorithm>

#include "sesamespread/coordination/overload.h"

namespace sesamespread::coordination {
namespace {

/// Ranks of callers' requests lie below this, those of calls above it.
constexpr double kFirstCallRank = 0.2;

/// Below 1, so that the last rank can be reached.
constexpr double kLastRank = 0.9;

}  // namespace

double RetryRank(bool from_backend,
                 std::uint32_t priority,
                 std::uint64_t root_hash) {
  const double place = static_cast<double>(EntryPriority(priority, root_hash)) /
                       state::kPriorityCount;
  return from_backend ? kFirstCallRank + place * (kLastRank - kFirstCallRank)
                      : place * kFirstCallRank;
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
    service.saved = options_.min_retries;
    service.first_request = now;
    service.saved_at = now;
  }
  return service;
}

SharedRetryBudget::Counts& SharedRetryBudget::Current(
    Service& service,
    state::Instant now) const {
  const std::uint64_t number = SliceNumber(now);
  Slice& slice = service.slices[number % kRemembered];
  if (slice.number != number)
    slice = {number, {}};
  return slice.counts;
}

SharedRetryBudget::Counts SharedRetryBudget::Window(
    const Service& service,
    state::Instant now,
    std::uint64_t slices_ago) const {
  const std::uint64_t last = SliceNumber(now) - slices_ago;
  Counts sum;
  for (const Slice& slice : service.slices) {
    if (slice.number + kSlices <= last || slice.number > last)
      continue;
    sum.requests += slice.counts.requests;
    sum.repeats += slice.counts.repeats;
    sum.inner_repeats += slice.counts.inner_repeats;
  }
  return sum;
}

std::uint32_t SharedRetryBudget::Requests(const Service& service,
                                          state::Instant now) const {
  std::uint32_t requests = 0;
  for (const std::uint64_t slices_ago : {std::size_t{0}, kSlices / 2, kSlices})
    requests = std::max(requests, Window(service, now, slices_ago).requests);
  return requests;
}

double SharedRetryBudget::Allowed(std::uint32_t requests, double share) const {
  return options_.min_retries + options_.ratio * share * requests;
}

double SharedRetryBudget::Save(Service& service,
                               double allowed,
                               state::Instant now) const {
  const double capacity =
      options_.min_retries +
      options_.saved_share * (allowed - options_.min_retries);
  // What is allowed after less than a window was earned in that time.
  const state::Duration earned_in = std::clamp(
      now - service.first_request, state::Duration(1), options_.window);
  const state::Duration passed =
      std::max(now - service.saved_at, state::Duration(0));
  service.saved_at = now;
  service.saved += allowed * static_cast<double>(passed.count()) /
                   static_cast<double>(earned_in.count());
  service.saved = std::min(service.saved, capacity);
  return capacity;
}

void SharedRetryBudget::OnRequest(std::string_view name, state::Instant now) {
  ++Current(Find(name, now), now).requests;
}

void SharedRetryBudget::OnCallFromRetry(std::string_view name,
                                        state::Instant now) {
  Service& service = Find(name, now);
  ++Current(service, now).repeats;
  Save(service, Allowed(Requests(service, now), options_.usable_share), now);
  service.saved -= 1;
}

bool SharedRetryBudget::TryAcquire(const RetryRequest& request,
                                   state::Instant now) {
  Service& service = Find(request.service, now);
  const Counts counts = Window(service, now, 0);
  const std::uint32_t requests = Requests(service, now);
  const double allowed = Allowed(requests, options_.usable_share);
  if (counts.repeats + 1 > allowed)
    return false;
  if (!request.is_leaf &&
      counts.inner_repeats + 1 > Allowed(requests, options_.inner_share))
    return false;
  const double capacity = Save(service, allowed, now);
  const double reserve =
      std::max(request.rank, request.is_early ? options_.early_reserve : 0);
  if (service.saved - 1 < reserve * (capacity - 1))
    return false;
  service.saved -= 1;
  Counts& current = Current(service, now);
  ++current.repeats;
  if (!request.is_leaf)
    ++current.inner_repeats;
  return true;
}

}  // namespace sesamespread::coordination
