/// \file
/// Guards against requests that are sent to the service of another route.
#include "sesamespread/coordination/route_table.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

state::Route MakeRoute(const std::string& name,
                       const std::string& host,
                       const std::string& prefix) {
  state::Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.targets = {{"orders", 1}};
  return route;
}

class RouteTableTest : public ::testing::Test {
 protected:
  std::string NameOf(std::string_view host, std::string_view target) const {
    const state::Route* route = table_.Match(host, target);
    return route ? route->name : "";
  }

  RouteTable table_{std::make_shared<const state::RouteSet>(
      state::RouteSet{1,
                      {},
                      {MakeRoute("short", "a.example", "/x/"),
                       MakeRoute("long", "a.example", "/x/y/"),
                       MakeRoute("other-host", "b.example", "/x/"),
                       MakeRoute("literal", "[::1]", "/x/")},
                      {}})};
};

TEST_F(RouteTableTest, MatchesTheLongestPrefix) {
  EXPECT_EQ(NameOf("a.example", "/x/1"), "short");
  EXPECT_EQ(NameOf("a.example", "/x/y/1"), "long");
  EXPECT_EQ(NameOf("a.example", "/x/yz"), "short");
  EXPECT_EQ(NameOf("b.example", "/x/y/1"), "other-host");
}

TEST_F(RouteTableTest, MatchesPrefixesOnlyWithTheirTrailingSlash) {
  EXPECT_EQ(NameOf("a.example", "/x"), "");
  EXPECT_EQ(NameOf("a.example", "/xy/"), "");
  EXPECT_EQ(NameOf("c.example", "/x/1"), "");
}

TEST_F(RouteTableTest, IgnoresPortCaseAndQuery) {
  EXPECT_EQ(NameOf("A.Example:8080", "/x/1"), "short");
  EXPECT_EQ(NameOf("a.example", "/x/?next=/x/y/"), "short");
}

// Guards against an IPv6 literal without a port whose last group is taken for
// one: "[::2]" then had the same key as "[::1]".
TEST_F(RouteTableTest, AnAddressLiteralIsNotAPort) {
  EXPECT_EQ(NameOf("[::1]", "/x/1"), "literal");
  EXPECT_EQ(NameOf("[::1]:8080", "/x/1"), "literal");
  EXPECT_EQ(NameOf("[::2]", "/x/1"), "");
}

TEST_F(RouteTableTest, FindsRoutesByName) {
  ASSERT_NE(table_.Find("long"), nullptr);
  EXPECT_EQ(table_.Find("long")->prefix, "/x/y/");
  EXPECT_EQ(table_.Find("none"), nullptr);
}

// Guards against a route's priority that counts more than its tenant's.
TEST(RouteTableRankTest, ATenantsPriorityGoesBeforeThatOfTheRoute) {
  auto set = std::make_shared<state::RouteSet>();
  set->tenants = {
      {"high", {}, 0, {}}, {"usual", {}, 1, {}}, {"none", {}, {}, {}}};
  const RouteTable table(set);
  state::Route route;
  route.priority = 2;
  EXPECT_EQ(table.RankOf(route, set->tenants[0]), 0U);
  EXPECT_EQ(table.RankOf(route, set->tenants[1]), 2U);
  EXPECT_EQ(table.RankOf(route, set->tenants[2]), 2U);
  route.priority = 0;
  EXPECT_EQ(table.RankOf(route, set->tenants[1]), 0U);
}

}  // namespace
}  // namespace sesamespread::coordination
