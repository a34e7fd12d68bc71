/// \file
/// Guards against a document that all nodes send to one, and against a node
/// that stays behind because the one it asked has gone.
#include "sesamespread/coordination/version_sources.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;

state::Instant At(std::int64_t ms) {
  return state::Instant(std::chrono::hours(1) + milliseconds(ms));
}

TEST(VersionSourcesTest, AsksOneNodeAtATime) {
  VersionSources sources;
  for (state::NodeId node = 1; node <= 300; ++node)
    sources.OnVersionSeen(node, 5);
  int asked = 0;
  for (int ms = 0; ms < 250; ++ms)
    asked += sources.NextSource(0, At(ms)) ? 1 : 0;
  EXPECT_EQ(asked, 1);
}

TEST(VersionSourcesTest, AsksAnotherNodeIfTheFirstDoesNotAnswer) {
  VersionSources sources;
  sources.OnVersionSeen(1, 5);
  sources.OnVersionSeen(2, 5);
  const auto first = sources.NextSource(0, At(0));
  const auto second = sources.NextSource(0, At(400));
  ASSERT_TRUE(first && second);
  EXPECT_NE(*first, *second);
}

TEST(VersionSourcesTest, AsksNobodyForWhatItHas) {
  VersionSources sources;
  sources.OnVersionSeen(1, 5);
  EXPECT_FALSE(sources.NextSource(5, At(0)));
  sources.OnVersionSeen(2, 6);
  EXPECT_EQ(sources.NextSource(5, At(0)), 2U);
  EXPECT_FALSE(sources.NextSource(6, At(1000)));
}

}  // namespace
}  // namespace sesamespread::coordination
