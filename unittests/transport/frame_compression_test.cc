/// \file
/// Guards against frames that differ after decompression, and against input
/// that makes the decompressor produce more than the largest frame.
#include "sesamespread/transport/frame_compression.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace sesamespread::transport {
namespace {

std::span<const std::uint8_t> Bytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

TEST(FrameCompressionTest, CompressesRepeatedContentOfFrames) {
  FrameCompressor compressor;
  FrameDecompressor decompressor;
  const std::string frame =
      "Host: a.example; User-Agent: client; Accept: */*; Id: 0123456789abcdef";
  std::size_t size = 0;
  for (int i = 0; i < 5; ++i) {
    const std::string compressed = compressor.Compress(frame);
    size = compressed.size();
    const auto restored = decompressor.Decompress(Bytes(compressed));
    ASSERT_TRUE(restored.has_value());
    EXPECT_EQ(std::string(restored->begin(), restored->end()), frame);
  }
  EXPECT_LT(size, frame.size() / 3);
}

TEST(FrameCompressionTest, RoundTripsAnySequenceOfFrames) {
  const bool holds = rc::check([](const std::vector<std::string>& frames) {
    FrameCompressor compressor;
    FrameDecompressor decompressor;
    for (const std::string& frame : frames) {
      if (frame.empty())
        continue;
      const auto restored =
          decompressor.Decompress(Bytes(compressor.Compress(frame)));
      RC_ASSERT(restored.has_value());
      RC_ASSERT(std::string(restored->begin(), restored->end()) == frame);
    }
  });
  EXPECT_TRUE(holds);
}

TEST(FrameCompressionTest, RejectsFramesThatExceedTheSizeLimit) {
  FrameCompressor compressor;
  FrameDecompressor decompressor;
  const std::string bomb = compressor.Compress(std::string(1 << 20, 'x'));
  EXPECT_FALSE(decompressor.Decompress(Bytes(bomb)).has_value());
}

TEST(FrameCompressionTest, RejectsBytesThatAreNoValidStream) {
  FrameDecompressor decompressor;
  EXPECT_FALSE(
      decompressor.Decompress(Bytes("\xff\xff\xff\xff\xff")).has_value());
}

}  // namespace
}  // namespace sesamespread::transport
