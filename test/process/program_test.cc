/// \file
/// Guards against a bench that waits for good for a program that hangs.
#include <gtest/gtest.h>

#include <chrono>

#include "harness/process.h"

namespace sesamespread::bench {
namespace {

TEST(ProgramTest, AProgramThatHangsIsEnded) {
  Process process({"/bin/sh", "-c", "echo started; exec sleep 60"},
                  "/dev/null");
  const auto start = std::chrono::steady_clock::now();
  const ProgramResult result =
      FinishProgram(process, std::chrono::milliseconds(300));
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(10));
  EXPECT_EQ(result.output, "started\n");
  EXPECT_LT(result.exit_code, 0);
}

}  // namespace
}  // namespace sesamespread::bench
