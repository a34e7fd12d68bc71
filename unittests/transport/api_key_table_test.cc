/// \file
/// Guards against requests that get the rights of another tenant.
#include "sesamespread/transport/api_key_table.h"

#include <gtest/gtest.h>

namespace sesamespread::transport {
namespace {

TEST(ApiKeyTableTest, FindsTheTenantOfAKey) {
  auto routes = std::make_shared<state::RouteSet>();
  routes->tenants = {{"a", {"key-1", "key-2"}, 1, {}}, {"b", {"key-3"}, 2, {}}};
  const ApiKeyTable table(routes);
  ASSERT_NE(table.Find("key-2"), nullptr);
  EXPECT_EQ(table.Find("key-2")->name, "a");
  EXPECT_EQ(table.Find("key-3")->name, "b");
  for (const char* other : {"", "key-", "key-12", "KEY-1", " key-1"})
    EXPECT_EQ(table.Find(other), nullptr) << other;
}

TEST(ApiKeyTableTest, ParsesOnlyKeysOfTheScheme) {
  EXPECT_EQ(ParseApiKey("Token abc", "Token"), "abc");
  EXPECT_EQ(ParseApiKey("token  abc ", "Token"), "abc");
  for (const char* other : {"", "Token", "Token ", "Bearer abc", "Tokenabc"})
    EXPECT_EQ(ParseApiKey(other, "Token"), "") << other;
}

}  // namespace
}  // namespace sesamespread::transport
