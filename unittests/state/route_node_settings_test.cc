/// \file
/// Guards against a changed setting that a running node accepts although it
/// takes effect only after a restart, and against a change that is not
/// reported.
#include "sesamespread/state/route_node_settings.h"

#include <gtest/gtest.h>

namespace sesamespread::state {
namespace {

constexpr char kText[] = R"(name: sidecar-a-1
availability_zone: zone-a
service: orders
backend: 127.0.0.1:8301
listen: {entry: "127.0.0.1:0", reports: "127.0.0.1:0", ready: "127.0.0.1:0", peer: "127.0.0.1:0"}
store: 127.0.0.1:8309
)";

RouteNodeSettings ReadWith(const std::string& more) {
  return ParseRouteNodeSettings({"route-node.yaml", kText + more});
}

TEST(RouteNodeSettingsTest, EqualSettingsHaveNoChanges) {
  EXPECT_TRUE(CompareSettings(ReadWith(""), ReadWith("")).empty());
}

TEST(RouteNodeSettingsTest, ReportsWhichChangesNeedARestart) {
  const auto changes = CompareSettings(
      ReadWith(""), ReadWith("drain: 3s\nretries: {ratio: 0.1}\n"
                             "max_connections: 10\nlog: {level: debug}\n"));
  const std::vector<SettingsChange> expected = {{"drain", false},
                                                {"retries.ratio", false},
                                                {"max_connections", true},
                                                {"log.level", false}};
  EXPECT_EQ(changes, expected);
}

TEST(RouteNodeSettingsTest, MergeKeepsValuesThatNeedARestart) {
  const RouteNodeSettings before = ReadWith("");
  const RouteNodeSettings merged = MergeRuntimeSettings(
      before, ReadWith("drain: 3s\nmax_connections: 10\n"));
  EXPECT_EQ(merged.drain, std::chrono::seconds(3));
  EXPECT_EQ(merged.max_connections, before.max_connections);
}

}  // namespace
}  // namespace sesamespread::state
