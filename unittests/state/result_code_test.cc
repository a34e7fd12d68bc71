/// \file
/// Guards against result codes that change their number or lose their row.
#include "sesamespread/state/result_code.h"

#include <gtest/gtest.h>

namespace sesamespread::state {
namespace {

TEST(ResultCodeTest, NumbersAscendWithoutDuplicates) {
  int previous = 0;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    EXPECT_GT(static_cast<int>(info.code), previous) << info.name;
    previous = static_cast<int>(info.code);
  }
}

TEST(ResultCodeTest, UnknownNumberIsABadFrame) {
  EXPECT_EQ(InfoOf(static_cast<ResultCode>(9999)).code, ResultCode::kBadFrame);
}

}  // namespace
}  // namespace sesamespread::state
