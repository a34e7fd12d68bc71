/// \file
/// Guards against traffic shares that differ from the operator's weights.
#include "sesamespread/coordination/traffic_splitter.h"

#include <gtest/gtest.h>

#include <map>

namespace sesamespread::coordination {
namespace {

state::Route MakeSplit(std::uint32_t first, std::uint32_t second) {
  state::Route route;
  route.name = "r";
  route.targets = {{"old", first}, {"new", second}};
  return route;
}

TEST(TrafficSplitterTest, SharesFollowTheWeights) {
  TrafficSplitter splitter(7);
  const state::Route route = MakeSplit(90, 10);
  std::map<std::string, int> counts;
  for (int i = 0; i < 300; ++i)
    ++counts[splitter.Next(route).service];
  EXPECT_NEAR(counts["new"], 30, 2);
}

TEST(TrafficSplitterTest, SharesHoldAcrossNodesWithFewRequestsEach) {
  // 16 nodes with 20 requests each.
  const state::Route route = MakeSplit(75, 25);
  int to_new = 0;
  for (std::uint64_t node = 1; node <= 16; ++node) {
    TrafficSplitter splitter(node);
    for (int i = 0; i < 20; ++i)
      to_new += splitter.Next(route).service == "new" ? 1 : 0;
  }
  EXPECT_NEAR(to_new, 80, 8);
}

TEST(TrafficSplitterTest, SharesHoldWhileWeightsChangeOften) {
  // Each version lasts for three requests; a splitter that restarted its
  // sequence with each version would favour the same target every time.
  TrafficSplitter splitter(3);
  int to_new = 0;
  for (int version = 0; version < 100; ++version) {
    const state::Route route = MakeSplit(50 + (version % 2), 50);
    for (int i = 0; i < 3; ++i)
      to_new += splitter.Next(route).service == "new" ? 1 : 0;
  }
  EXPECT_NEAR(to_new, 149, 8);
}

}  // namespace
}  // namespace sesamespread::coordination
