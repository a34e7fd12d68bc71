/// \file
/// Selection of links by rendezvous hashing.
#include "sesamespread/coordination/link_selection.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

namespace sesamespread::coordination {
namespace {

// The finalizer of splitmix64: mixes all bits of the input.
std::uint64_t Mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace

std::vector<state::NodeId> SelectLinks(
    const LinkCandidate& self,
    const std::vector<LinkCandidate>& candidates) {
  using Group = std::pair<std::string_view, std::string_view>;
  using Ranked = std::pair<std::uint64_t, state::NodeId>;
  std::vector<state::NodeId> selected;
  std::map<Group, std::vector<Ranked>> groups;
  for (const LinkCandidate& candidate : candidates) {
    if (candidate.zone == self.zone) {
      selected.push_back(candidate.node);
      continue;
    }
    groups[{candidate.zone, candidate.service}].emplace_back(
        Mix(self.node ^ Mix(candidate.node)), candidate.node);
  }
  for (auto& [group, ranked] : groups) {
    const std::size_t count = std::min(ranked.size(), kLinksPerZoneAndService);
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    for (std::size_t i = 0; i < count; ++i)
      selected.push_back(ranked[i].second);
  }
  return selected;
}

}  // namespace sesamespread::coordination
