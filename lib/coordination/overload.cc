/// \file
/// Thresholds of overloaded servers and their way to the entries.
#include "sesamespread/coordination/overload.h"

#include <algorithm>
#include <utility>

namespace sesamespread::coordination {
namespace {

using state::kPriorityCount;

// Between two observations further apart, the wait is not known.
constexpr std::chrono::duration<double> kLongestStep{0.1};

constexpr double kRanks =
    static_cast<double>(kPriorityCount) / state::kPrioritiesPerImportance;

// Averages above this are no pressure any more.
constexpr double kNoPressure = kPriorityCount - 1.0;

}  // namespace

double OverloadThreshold::Excess() const {
  return (wait_ - static_cast<double>(options_.wait_target.count())) /
         static_cast<double>(options_.wait_per_rank.count());
}

void OverloadThreshold::Observe(state::Duration expected_wait,
                                double free_slots,
                                state::Instant now) {
  const double seconds =
      std::min(std::chrono::duration<double>(now - observed_), kLongestStep)
          .count();
  observed_ = now;
  wait_ += options_.gain * (static_cast<double>(expected_wait.count()) - wait_);
  const double integration =
      std::chrono::duration<double>(options_.integration_time).count();
  const double change =
      Excess() / integration - free_slots * options_.ranks_per_second_idle;
  ranks_ = std::clamp(ranks_ + change * seconds, 0.0, kRanks);
}

std::uint32_t OverloadThreshold::threshold() const {
  const double refused = ranks_ + std::max(Excess(), 0.0);
  return static_cast<std::uint32_t>(
      std::clamp(kPriorityCount - refused * state::kPrioritiesPerImportance,
                 0.0, static_cast<double>(kPriorityCount)));
}

void RouteThresholds::Observe(const std::string& route,
                              const std::vector<ReportedThreshold>& points,
                              state::Instant now) {
  const auto found = routes_.find(route);
  if (points.empty() && found == routes_.end())
    return;
  std::vector<Average>& averages = routes_[route];
  for (const ReportedThreshold& point : points) {
    const auto known = std::find_if(
        averages.begin(), averages.end(),
        [&point](const Average& a) { return a.service == point.service; });
    if (known == averages.end())
      averages.push_back({point.service, kPriorityCount, now});
  }
  for (Average& average : averages) {
    const auto point = std::find_if(points.begin(), points.end(),
                                    [&average](const ReportedThreshold& p) {
                                      return p.service == average.service;
                                    });
    const double reported =
        point == points.end() ? kPriorityCount : point->threshold;
    average.threshold += options_.gain * (reported - average.threshold);
    average.updated = now;
  }
  std::erase_if(averages, [](const Average& average) {
    return average.threshold >= kNoPressure;
  });
  if (averages.empty())
    routes_.erase(route);
}

std::vector<ReportedThreshold> RouteThresholds::ThresholdsOfRoute(
    const std::string& route,
    state::Instant now) const {
  std::vector<ReportedThreshold> points;
  const auto found = routes_.find(route);
  if (found == routes_.end())
    return points;
  for (const Average& average : found->second) {
    if (now - average.updated <= options_.max_age)
      points.push_back(
          {average.service, static_cast<std::uint32_t>(average.threshold)});
  }
  std::sort(points.begin(), points.end());
  return points;
}

ReportedThreshold RouteThresholds::LowestThreshold(const std::string& route,
                                                   state::Instant now) const {
  ReportedThreshold lowest;
  for (ReportedThreshold& point : ThresholdsOfRoute(route, now)) {
    if (point.threshold < lowest.threshold)
      lowest = std::move(point);
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
