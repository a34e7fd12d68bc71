/// \file
/// Guards against load reports that are parsed wrongly, and against malformed
/// ones that are accepted.
#include "sesamespread/transport/server_load.h"

#include <gtest/gtest.h>

namespace sesamespread::transport {
namespace {

TEST(ServerLoadTest, ParsesThreeNumbers) {
  EXPECT_EQ(ParseServerLoad("3,0,8"), (ServerLoad{3, 0, 8}));
}

// A report with a work time was dropped as a whole.
TEST(ServerLoadTest, ParsesAWorkTime) {
  EXPECT_EQ(ParseServerLoad("3,0,8,250"), (ServerLoad{3, 0, 8, 250, true}));
  EXPECT_EQ(ParseServerLoad("3,0,8")->work_time_percent, 100U);
}

TEST(ServerLoadTest, RejectsMalformedText) {
  for (const char* text :
       {"", "3", "3,0", "3,0,", "3,0,8,", "3,0,8,0", "3,0,8,x", "3,0,8,1,",
        "3,0,8,1,2", "3,0,8,-1", "3,0,8,1.5", "3,0,8 ,1", "a,0,8", "-1,0,8",
        "3, 0, 8", "99999999999,0,8", "3,0,8,99999999999"})
    EXPECT_EQ(ParseServerLoad(text), std::nullopt) << text;
}

TEST(ServerLoadTest, ParsesARateLimit) {
  EXPECT_EQ(ParseRateLimit("44.8"), 44.8);
  EXPECT_EQ(ParseRateLimit("0"), 0);
}

TEST(ServerLoadTest, RejectsMalformedRateLimits) {
  for (const char* text : {"", "-1", "nan", "inf", "4x", " 4", "4 ", "4,5"})
    EXPECT_EQ(ParseRateLimit(text), std::nullopt) << text;
}

}  // namespace
}  // namespace sesamespread::transport
