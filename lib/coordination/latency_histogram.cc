/// \file
/// Logarithmic buckets: the octave from the highest set bit, its eighth from
/// the three bits below.
#include "sesamespread/coordination/latency_histogram.h"

#include <algorithm>
#include <bit>

namespace sesamespread::coordination {

void LatencyHistogram::Add(state::Duration duration) {
  const auto microseconds =
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, duration.count()));
  ++buckets_[BucketOf(microseconds)];
  ++count_;
}

state::Duration LatencyHistogram::Median() const {
  const std::uint32_t half = count_ / 2 + count_ % 2;
  std::uint32_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBucketCount && half > 0; ++bucket) {
    seen += buckets_[bucket];
    if (seen >= half) {
      return state::Duration(UpperBoundOf(bucket));
    }
  }
  return state::Duration(0);
}

void LatencyHistogram::Clear() {
  buckets_.fill(0);
  count_ = 0;
}

std::size_t LatencyHistogram::BucketOf(std::uint64_t microseconds) {
  const auto octave =
      static_cast<std::size_t>(std::bit_width(microseconds)) - 1;
  // Below 8 us an eighth of an octave is less than the resolution.
  const std::uint64_t eighth = octave >= 3 ? (microseconds >> (octave - 3)) & 7
                                           : (microseconds << (3 - octave)) & 7;
  return std::min(octave * kBucketsPerOctave + static_cast<std::size_t>(eighth),
                  kBucketCount - 1);
}

std::uint64_t LatencyHistogram::UpperBoundOf(std::size_t bucket) {
  const std::size_t octave = bucket / kBucketsPerOctave;
  const std::uint64_t next = bucket % kBucketsPerOctave + 1;
  const std::uint64_t base = std::uint64_t{1} << octave;
  // The last value that the bucket holds; the bucket's only value below 8 us.
  const std::uint64_t width = base * next / kBucketsPerOctave;
  return octave >= 3 ? base + width - 1
                     : base + (base * (next - 1)) / kBucketsPerOctave;
}

}  // namespace sesamespread::coordination
