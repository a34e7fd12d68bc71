/// \file
/// Virtual time, usage averages and eviction of fair shares.
#include "sesamespread/coordination/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;

double InUnitsOf(Duration unit, Duration time) {
  return static_cast<double>(time.count()) / static_cast<double>(unit.count());
}

// Usage of a new tenant: above zero, for the logarithm, and below any work.
constexpr double kNoUsage = 1e-6;

}  // namespace

double FairShares::Age(Instant now) const {
  return first_ ? InUnitsOf(options_.usual_time, now - *first_) : 0;
}

double FairShares::Usage(const Entry& entry, Instant now) const {
  return std::exp(entry.log_usage - Age(now));
}

double FairShares::TotalUsage(Instant now) const {
  return total_usage_ *
         std::exp(-InUnitsOf(options_.usual_time, now - total_at_));
}

double FairShares::AverageUsage(Instant now) const {
  return entries_.empty()
             ? 0
             : TotalUsage(now) / static_cast<double>(entries_.size());
}

double FairShares::Recent(const Entry& entry, Instant now) const {
  return entry.recent *
         std::exp(-InUnitsOf(options_.recent_time, now - entry.recent_at));
}

double FairShares::Weight(TenantHash tenant, Instant now) const {
  const auto found = entries_.find(tenant);
  const double average = AverageUsage(now);
  if (found == entries_.end() || average <= kNoUsage)
    return options_.min_weight;
  return std::max(Usage(found->second, now) / average, options_.min_weight);
}

void FairShares::EvictLeastActive(Instant now) {
  const TenantHash tenant = by_usage_.begin()->second;
  const double usage = Usage(entries_.at(tenant), now);
  total_usage_ = std::max(TotalUsage(now) - usage, 0.0);
  total_at_ = now;
  by_usage_.erase(by_usage_.begin());
  entries_.erase(tenant);
}

bool FairShares::IsIdle(const Entry& entry, Instant now) const {
  // Demand that is older than this has decayed.
  constexpr int kRecentTimes = 10;
  return entry.finish <= virtual_time_ &&
         now - entry.recent_at > kRecentTimes * options_.recent_time &&
         Usage(entry, now) < options_.min_usage_share * AverageUsage(now);
}

FairShares::Entry& FairShares::Track(TenantHash tenant, Instant now) {
  if (!first_) {
    first_ = now;
    total_at_ = now;
  }
  // One per operation, so that each takes a bounded time.
  if (!entries_.empty() && IsIdle(entries_.at(by_usage_.begin()->second), now))
    EvictLeastActive(now);
  const auto found = entries_.find(tenant);
  if (found != entries_.end())
    return found->second;
  if (entries_.size() >= options_.max_tenants)
    EvictLeastActive(now);
  Entry entry;
  entry.finish = virtual_time_;
  entry.log_usage = std::log(kNoUsage) + Age(now);
  entry.recent_at = now;
  by_usage_.insert({entry.log_usage, tenant});
  return entries_.emplace(tenant, entry).first->second;
}

void FairShares::AddUsage(TenantHash tenant,
                          Entry& entry,
                          double work,
                          Instant now) {
  by_usage_.erase({entry.log_usage, tenant});
  entry.log_usage =
      std::log(std::max(Usage(entry, now) + work, kNoUsage)) + Age(now);
  by_usage_.insert({entry.log_usage, tenant});
  total_usage_ = TotalUsage(now) + work;
  total_at_ = now;
}

double FairShares::NextStart(TenantHash tenant) const {
  const auto found = entries_.find(tenant);
  return found == entries_.end()
             ? virtual_time_
             : std::max(virtual_time_, found->second.finish);
}

FairTag FairShares::Reserve(TenantHash tenant, double work, Instant now) {
  Entry& entry = Track(tenant, now);
  const FairTag tag{std::max(virtual_time_, entry.finish),
                    work / Weight(tenant, now)};
  entry.finish = tag.start + tag.step;
  return tag;
}

void FairShares::Release(TenantHash tenant, const FairTag& tag) {
  const auto found = entries_.find(tenant);
  if (found != entries_.end())
    found->second.finish -= tag.step;
}

void FairShares::OnStart(const FairTag& tag) {
  virtual_time_ = std::max(virtual_time_, tag.start);
}

void FairShares::OnGiven(TenantHash tenant,
                         double work,
                         double reserved,
                         Instant now) {
  Entry& entry = Track(tenant, now);
  entry.finish += (work - reserved) / Weight(tenant, now);
  AddUsage(tenant, entry, work, now);
}

void FairShares::OnDemand(TenantHash tenant, double work, Instant now) {
  Entry& entry = Track(tenant, now);
  entry.recent = Recent(entry, now) + work;
  entry.recent_at = now;
}

double FairShares::DemandLevel(TenantHash tenant, Instant now) const {
  const auto found = entries_.find(tenant);
  if (found == entries_.end())
    return 0;
  const double average = AverageUsage(now);
  if (average <= kNoUsage)
    return 0;
  // Rates in units of work per second. The sums are short of their final value
  // until several time constants have passed.
  const auto rate = [&](double sum, Duration time_constant) {
    const double age = std::max(InUnitsOf(time_constant, now - *first_), 1e-3);
    return sum / (InUnitsOf(std::chrono::seconds(1), time_constant) *
                  -std::expm1(-age));
  };
  const double fair = average * Weight(tenant, now);
  return rate(Recent(found->second, now), options_.recent_time) /
         rate(fair, options_.usual_time);
}

}  // namespace sesamespread::coordination
