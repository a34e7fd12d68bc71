/// \file
/// Threshold controller of a server, and averages of reported thresholds.
#include "sesamespread/coordination/overload.h"

#include <algorithm>
#include <utility>

namespace sesamespread::coordination {
namespace {

using state::kPriorityCount;

// Longest step of the integral part: between observations that are further
// apart, the queueing delay is unknown.
constexpr std::chrono::duration<double> kMaxStep{0.1};

constexpr double kRanks =
    static_cast<double>(kPriorityCount) / state::kPrioritiesPerImportance;

// Averages from this value on count as no overload, since a moving average only
// approaches kPriorityCount.
constexpr double kMinUnrestrictedAverage = kPriorityCount - 1.0;

}  // namespace

double OverloadThreshold::ExcessRanks() const {
  return (average_wait_us_ -
          static_cast<double>(options_.wait_target.count())) /
         static_cast<double>(options_.wait_per_rank.count());
}

void OverloadThreshold::Observe(state::Duration expected_wait,
                                double free_slots,
                                state::Instant now) {
  const double seconds =
      std::min(std::chrono::duration<double>(now - observed_), kMaxStep)
          .count();
  observed_ = now;
  average_wait_us_ +=
      options_.gain *
      (static_cast<double>(expected_wait.count()) - average_wait_us_);
  const double integration =
      std::chrono::duration<double>(options_.integration_time).count();
  const double change =
      ExcessRanks() / integration - free_slots * options_.ranks_per_second_idle;
  integral_ranks_ = std::clamp(integral_ranks_ + change * seconds, 0.0, kRanks);
}

std::uint32_t OverloadThreshold::threshold() const {
  const double refused = integral_ranks_ + std::max(ExcessRanks(), 0.0);
  return static_cast<std::uint32_t>(
      std::clamp(kPriorityCount - refused * state::kPrioritiesPerImportance,
                 0.0, static_cast<double>(kPriorityCount)));
}

void RouteThresholds::Observe(const std::string& route,
                              const std::vector<ReportedThreshold>& reports,
                              state::Instant now) {
  const auto found = routes_.find(route);
  if (reports.empty() && found == routes_.end())
    return;
  std::vector<Average>& averages = routes_[route];
  for (const ReportedThreshold& report : reports) {
    const auto known = std::find_if(
        averages.begin(), averages.end(),
        [&report](const Average& a) { return a.service == report.service; });
    if (known == averages.end())
      averages.push_back({report.service, kPriorityCount, now});
  }
  for (Average& average : averages) {
    const auto report = std::find_if(reports.begin(), reports.end(),
                                     [&average](const ReportedThreshold& p) {
                                       return p.service == average.service;
                                     });
    const double reported =
        report == reports.end() ? kPriorityCount : report->threshold;
    average.threshold += options_.gain * (reported - average.threshold);
    average.updated = now;
  }
  std::erase_if(averages, [](const Average& average) {
    return average.threshold >= kMinUnrestrictedAverage;
  });
  if (averages.empty())
    routes_.erase(route);
}

std::vector<ReportedThreshold> RouteThresholds::ThresholdsOfRoute(
    const std::string& route,
    state::Instant now) const {
  std::vector<ReportedThreshold> reports;
  const auto found = routes_.find(route);
  if (found == routes_.end())
    return reports;
  for (const Average& average : found->second) {
    if (now - average.updated <= options_.max_age)
      reports.push_back(
          {average.service, static_cast<std::uint32_t>(average.threshold)});
  }
  std::sort(reports.begin(), reports.end());
  return reports;
}

ReportedThreshold RouteThresholds::LowestThreshold(const std::string& route,
                                                   state::Instant now) const {
  ReportedThreshold lowest;
  for (ReportedThreshold& report : ThresholdsOfRoute(route, now)) {
    if (report.threshold < lowest.threshold)
      lowest = std::move(report);
  }
  return lowest;
}

std::uint32_t EntryPriority(std::uint32_t rank, std::uint64_t id_hash) {
  constexpr std::uint32_t kLowestRank =
      kPriorityCount / state::kPrioritiesPerImportance - 1;
  return std::min(rank, kLowestRank) * state::kPrioritiesPerImportance +
         static_cast<std::uint32_t>(id_hash % state::kPrioritiesPerImportance);
}

}  // namespace sesamespread::coordination
