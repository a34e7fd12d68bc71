/// \file
/// Compression of the frames of one link with zlib. Successive frames between
/// nodes have most of their content in common: field names, routes, services
/// and the ids of parent requests.
#ifndef SESAMESPREAD_TRANSPORT_FRAME_COMPRESSION_H_
#define SESAMESPREAD_TRANSPORT_FRAME_COMPRESSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespread::transport {

/// Largest frame in bytes that is compressed. The body of a larger frame would
/// displace the content that frames have in common from the deflate window.
constexpr std::size_t kMaxCompressedFrame = 2 << 10;

/// Compresses frames as parts of one deflate stream. A compressed frame refers
/// to those before it, so one FrameDecompressor must receive all of them in
/// order.
class FrameCompressor {
 public:
  FrameCompressor();
  ~FrameCompressor();

  FrameCompressor(const FrameCompressor&) = delete;
  FrameCompressor& operator=(const FrameCompressor&) = delete;

  /// \throws std::runtime_error if zlib reports an error.
  std::string Compress(std::string_view payload);

 private:
  struct Stream;
  std::unique_ptr<Stream> stream_;
};

/// Decompresses the frames of one FrameCompressor.
class FrameDecompressor {
 public:
  FrameDecompressor();
  ~FrameDecompressor();

  FrameDecompressor(const FrameDecompressor&) = delete;
  FrameDecompressor& operator=(const FrameDecompressor&) = delete;

  /// \returns the decompressed frame, or nullopt if \p bytes are not a valid
  /// next part of the stream or the frame is longer than kMaxCompressedFrame.
  /// The stream is unusable after a failure.
  std::optional<std::vector<std::uint8_t>> Decompress(
      std::span<const std::uint8_t> bytes);

 private:
  struct Stream;
  std::unique_ptr<Stream> stream_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_FRAME_COMPRESSION_H_
