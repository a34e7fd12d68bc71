/// \file
/// Guards against a request that starts after its time budget because it waited
/// in the socket of a paused process.
#include "sesamespread/coordination/stall_detector.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;

state::Instant At(std::int64_t ms) {
  return state::Instant(std::chrono::hours(1) + milliseconds(ms));
}

TEST(StallDetectorTest, ARunningProcessReadsNothingOld) {
  StallDetector stalls;
  EXPECT_EQ(stalls.MaxAge(At(0)), milliseconds(0));
  for (int i = 0; i < 10; ++i)
    stalls.OnTick(At(i * 100 + i % 3 * 40));
  EXPECT_EQ(stalls.MaxAge(At(1000)), milliseconds(0));
}

TEST(StallDetectorTest, WhatIsReadAfterAPauseMayBeAsOldAsThePause) {
  StallDetector stalls;
  stalls.OnTick(At(0));
  // A socket may be read before the timer runs.
  EXPECT_EQ(stalls.MaxAge(At(3000)), milliseconds(3000));
  stalls.OnTick(At(3000));
  EXPECT_EQ(stalls.MaxAge(At(3001)), milliseconds(3000));
  stalls.OnTick(At(3100));
  EXPECT_EQ(stalls.MaxAge(At(3149)), milliseconds(3000));
  EXPECT_EQ(stalls.MaxAge(At(3150)), milliseconds(0));
}

}  // namespace
}  // namespace sesamespread::coordination
