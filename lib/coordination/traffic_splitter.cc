/// \file
/// Weighted selection by an additive recurrence modulo 1.
#include "sesamespread/coordination/traffic_splitter.h"

#include "sesamespread/state/ids.h"

namespace sesamespread::coordination {
namespace {

// The fractional part of the golden ratio, in units of 2^-64. Its multiples are
// spread over the unit interval as evenly as those of any number can be.
constexpr std::uint64_t kGoldenStep = 0x9E3779B97F4A7C15ULL;

}  // namespace

const state::RouteTarget& TrafficSplitter::Next(const state::Route& route) {
  if (route.targets.size() == 1)
    return route.targets.front();
  const auto [point, added] = points_.try_emplace(
      route.name, state::HashOf(seed_, state::HashOf(route.name)));
  point->second += kGoldenStep;
  std::uint64_t total = 0;
  for (const state::RouteTarget& target : route.targets)
    total += target.weight;
  // The upper 32 bits are enough: weights have no more.
  std::uint64_t offset = ((point->second >> 32) * total) >> 32;
  for (const state::RouteTarget& target : route.targets) {
    if (offset < target.weight)
      return target;
    offset -= target.weight;
  }
  return route.targets.back();
}

}  // namespace sesamespread::coordination
