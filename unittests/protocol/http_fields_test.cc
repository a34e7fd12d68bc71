/// \file
/// Guards against requests whose target is not valid HTTP after the service
/// name has been removed.
#include "sesamespread/protocol/http_fields.h"

#include <gtest/gtest.h>

namespace sesamespread::protocol {
namespace {

// Returns the path of \p target, or an empty string if it names no service.
std::string PathOf(std::string_view target) {
  std::string_view service;
  std::string path;
  return SplitTarget(target, &service, &path) ? path : std::string();
}

TEST(SplitTargetTest, PathsAlwaysStartWithASlash) {
  EXPECT_EQ(PathOf("/orders/new?x=1"), "/new?x=1");
  EXPECT_EQ(PathOf("/orders"), "/");
  EXPECT_EQ(PathOf("/orders?x=1"), "/?x=1");
  EXPECT_EQ(PathOf("/?x=1"), "");
  EXPECT_EQ(PathOf("orders"), "");
}

}  // namespace
}  // namespace sesamespread::protocol
