/// \file
/// Guards against links that grow with the number of nodes, against a service
/// of another zone without links, and against servers that all nodes choose.
#include "sesamespread/coordination/link_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace sesamespread::coordination {
namespace {

constexpr std::size_t kZones = 6;

// A fleet with the shares of four services of the users' largest deployment.
std::vector<LinkCandidate> MakeFleet(std::size_t per_zone) {
  std::mt19937_64 random(3);
  std::vector<LinkCandidate> fleet;
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    for (std::size_t i = 0; i < per_zone; ++i) {
      const std::size_t part = i * 33 / per_zone;
      const char* const service = part < 10   ? "stock"
                                  : part < 17 ? "orders"
                                  : part < 30 ? "plans"
                                              : "prices";
      fleet.push_back({random(), "zone-" + std::to_string(zone), service});
    }
  }
  return fleet;
}

std::vector<state::NodeId> LinksOf(const LinkCandidate& self,
                                   std::vector<LinkCandidate> fleet) {
  std::erase(fleet, self);
  return SelectLinks(self, fleet);
}

TEST(LinkSelectionTest, LinksToOtherZonesDoNotGrowWithTheFleet) {
  for (const std::size_t per_zone : {33, 330}) {
    const auto fleet = MakeFleet(per_zone);
    const auto links = LinksOf(fleet[5], fleet);
    EXPECT_EQ(links.size(),
              per_zone - 1 + (kZones - 1) * 4 * kLinksPerZoneAndService);
  }
}

TEST(LinkSelectionTest, EachServiceOfEachZoneIsReachable) {
  const auto fleet = MakeFleet(33);
  for (const LinkCandidate& self : fleet) {
    const auto links = LinksOf(self, fleet);
    std::set<std::pair<std::string, std::string>> reached;
    for (const LinkCandidate& node : fleet) {
      if (std::find(links.begin(), links.end(), node.node) != links.end())
        reached.insert({node.zone, node.service});
    }
    EXPECT_EQ(reached.size(), kZones * 4);
  }
}

// Guards against a server that the overflow of all other zones reaches while
// another of its service gets none.
TEST(LinkSelectionTest, ServersAreReachedByEquallyManyNodes) {
  const auto fleet = MakeFleet(33);
  std::map<state::NodeId, std::size_t> reached_by;
  for (const LinkCandidate& self : fleet) {
    for (const state::NodeId node : LinksOf(self, fleet))
      ++reached_by[node];
  }
  for (const LinkCandidate& node : fleet) {
    if (node.service != "plans")
      continue;
    // 165 nodes of other zones choose 2 of 13 servers each.
    const double expected = 32 + 165.0 * 2 / 13;
    EXPECT_GT(reached_by[node.node], expected * 0.75);
    EXPECT_LT(reached_by[node.node], expected * 1.25);
  }
}

// Guards against links that are all replaced when one node is lost.
TEST(LinkSelectionTest, OnlyTheLinksToALostNodeAreReplaced) {
  auto fleet = MakeFleet(33);
  const LinkCandidate self = fleet[0];
  const auto before = LinksOf(self, fleet);
  const state::NodeId lost = before.back();
  std::erase_if(fleet, [lost](const auto& node) { return node.node == lost; });
  const auto after = LinksOf(self, fleet);
  std::size_t kept = 0;
  for (const state::NodeId node : before)
    kept += std::count(after.begin(), after.end(), node);
  EXPECT_EQ(kept, before.size() - 1);
}

}  // namespace
}  // namespace sesamespread::coordination
