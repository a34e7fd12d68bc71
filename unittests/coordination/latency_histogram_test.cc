/// \file
/// Guards against a median that is off by more than a bucket.
#include "sesamespread/coordination/latency_histogram.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using state::Duration;

TEST(LatencyHistogramTest, MedianOfOneValueIsWithinABucket) {
  for (std::int64_t us = 1; us < (std::int64_t{1} << 31); us += us / 3 + 1) {
    LatencyHistogram histogram;
    histogram.Add(Duration(us));
    EXPECT_GE(histogram.Median().count(), us);
    EXPECT_LE(histogram.Median().count(), us + us / 8);
  }
}

TEST(LatencyHistogramTest, MedianIgnoresTheTail) {
  LatencyHistogram histogram;
  EXPECT_EQ(histogram.Median(), Duration(0));
  for (int i = 0; i < 51; ++i) {
    histogram.Add(Duration(1000));
  }
  for (int i = 0; i < 49; ++i) {
    histogram.Add(std::chrono::hours(1000));
  }
  EXPECT_LE(histogram.Median(), Duration(1125));
  histogram.Clear();
  EXPECT_EQ(histogram.count(), 0U);
}

}  // namespace
}  // namespace sesamespread::coordination
