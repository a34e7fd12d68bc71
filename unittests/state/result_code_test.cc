/// \file
/// Guards against result codes with duplicate numbers and against unknown
/// numbers without a row.
#include "sesamespread/state/result_code.h"

#include <gtest/gtest.h>

namespace sesamespread::state {
namespace {

TEST(ResultCodeTest, NumbersAreStrictlyAscending) {
  int previous = 0;
  for (const ResultCodeInfo& info : AllResultCodes()) {
    EXPECT_GT(static_cast<int>(info.code), previous) << info.name;
    previous = static_cast<int>(info.code);
  }
}

TEST(ResultCodeTest, UnknownNumberHasTheRowOfBadFrame) {
  EXPECT_EQ(InfoOf(static_cast<ResultCode>(9999)).code, ResultCode::kBadFrame);
}

}  // namespace
}  // namespace sesamespread::state
