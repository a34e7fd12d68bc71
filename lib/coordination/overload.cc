/// \file
/// Thresholds of overloaded servers and their way to the entries.
#include "sesamespread/coordination/overload.h"

#include <algorithm>

namespace sesamespread::coordination {
namespace {

using state::kPriorityCount;

// Waits above this many targets don't lower the threshold any faster.
constexpr double kMaxExcess = 3;

// Averages above this are no pressure any more.
constexpr double kNoPressure = kPriorityCount - 1.0;

}  // namespace

void OverloadThreshold::Update(state::Duration expected_wait,
                               state::Duration service_time,
                               state::Instant now) {
  if (now - updated_ < options_.interval)
    return;
  // After a pause the load of the whole time is unknown.
  const double seconds =
      std::min(std::chrono::duration<double>(now - updated_),
               std::chrono::duration<double>(2 * options_.interval))
          .count();
  updated_ = now;
  const double target =
      std::max(static_cast<double>(options_.wait_target.count()),
               options_.wait_target_services *
                   static_cast<double>(service_time.count()));
  const double excess = std::min(
      static_cast<double>(expected_wait.count()) / target - 1, kMaxExcess);
  const double rate =
      excess > 0 ? options_.fall_per_second : options_.rise_per_second;
  threshold_ = std::clamp<double>(threshold_ - excess * rate * seconds, 0,
                                  kPriorityCount);
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
