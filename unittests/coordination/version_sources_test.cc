/// \file
/// Guards against all nodes sending the document to one node at once, and
/// against a node that is not updated because the one it pulled from is gone.
#include "sesamespread/coordination/version_sources.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;

state::Instant At(std::int64_t ms) {
  return state::Instant(std::chrono::hours(1) + milliseconds(ms));
}

TEST(VersionSourcesTest, SelectsOneNodeAtATime) {
  VersionSources sources;
  for (state::NodeId node = 1; node <= 300; ++node)
    sources.OnVersionSeen(node, 5);
  int selected = 0;
  for (int ms = 0; ms < 250; ++ms)
    selected += sources.NextSource(0, At(ms)) ? 1 : 0;
  EXPECT_EQ(selected, 1);
}

TEST(VersionSourcesTest, SelectsAnotherNodeIfTheFirstDoesNotAnswer) {
  VersionSources sources;
  sources.OnVersionSeen(1, 5);
  sources.OnVersionSeen(2, 5);
  const auto first = sources.NextSource(0, At(0));
  const auto second = sources.NextSource(0, At(400));
  ASSERT_TRUE(first && second);
  EXPECT_NE(*first, *second);
}

TEST(VersionSourcesTest, SelectsNoNodeWithoutANewerVersion) {
  VersionSources sources;
  sources.OnVersionSeen(1, 5);
  EXPECT_FALSE(sources.NextSource(5, At(0)));
  sources.OnVersionSeen(2, 6);
  EXPECT_EQ(sources.NextSource(5, At(0)), 2U);
  EXPECT_FALSE(sources.NextSource(6, At(1000)));
}

}  // namespace
}  // namespace sesamespread::coordination
