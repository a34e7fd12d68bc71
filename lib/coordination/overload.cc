/// \file
/// Thresholds of overloaded servers and their way to the entries.
#include "sesamespread/coordination/overload.h"

#include <algorithm>

namespace sesamespread::coordination {
namespace {

using state::kPriorityCount;

// Averages above this are no pressure any more.
constexpr double kNoPressure = kPriorityCount - 1.0;

}  // namespace

void OverloadThreshold::Observe(state::Duration expected_wait) {
  wait_ += options_.gain * (static_cast<double>(expected_wait.count()) - wait_);
}

std::uint32_t OverloadThreshold::threshold() const {
  const double excess =
      wait_ - static_cast<double>(options_.tolerated_wait.count());
  const double ranks =
      excess / static_cast<double>(options_.wait_per_rank.count());
  const double threshold =
      kPriorityCount - ranks * state::kPrioritiesPerImportance;
  return static_cast<std::uint32_t>(
      std::clamp<double>(threshold, 0, kPriorityCount));
}

void RoutePressure::Observe(const std::string& route,
                            const std::vector<PressurePoint>& points,
                            state::Instant now) {
  const auto found = routes_.find(route);
  if (points.empty() && found == routes_.end())
    return;
  std::vector<Average>& averages = routes_[route];
  for (const PressurePoint& point : points) {
    const auto known = std::find_if(
        averages.begin(), averages.end(),
        [&point](const Average& a) { return a.service == point.service; });
    if (known == averages.end())
      averages.push_back({point.service, kPriorityCount, now});
  }
  for (Average& average : averages) {
    const auto point = std::find_if(points.begin(), points.end(),
                                    [&average](const PressurePoint& p) {
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

std::vector<PressurePoint> RoutePressure::PointsOf(const std::string& route,
                                                   state::Instant now) const {
  std::vector<PressurePoint> points;
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

std::uint32_t RoutePressure::ThresholdOf(const std::string& route,
                                         state::Instant now) const {
  std::uint32_t threshold = kPriorityCount;
  for (const PressurePoint& point : PointsOf(route, now))
    threshold = std::min(threshold, point.threshold);
  return threshold;
}

std::uint32_t EntryPriority(std::uint32_t rank, std::uint64_t id_hash) {
  constexpr std::uint32_t kLowestRank =
      kPriorityCount / state::kPrioritiesPerImportance - 1;
  return std::min(rank, kLowestRank) * state::kPrioritiesPerImportance +
         static_cast<std::uint32_t>(id_hash % state::kPrioritiesPerImportance);
}

}  // namespace sesamespread::coordination
