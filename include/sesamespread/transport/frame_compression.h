/// \file
/// Compression of the frames of one link with zlib. Frames between nodes repeat
/// most of each other: field names, routes, services and the parents' ids.
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

/// Larger frames are sent as they are: their bodies would push what the others
/// have in common out of the window.
constexpr std::size_t kMaxCompressedFrame = 2 << 10;

/// Compresses frames one after the other; each refers to those before it, so
/// that all must reach one FrameDecompressor in order.
class FrameCompressor {
 public:
  FrameCompressor();
  ~FrameCompressor();

  FrameCompressor(const FrameCompressor&) = delete;
  FrameCompressor& operator=(const FrameCompressor&) = delete;

  std::string Compress(std::string_view payload);

 private:
  struct Stream;
  std::unique_ptr<Stream> stream_;
};

/// The other end of a FrameCompressor.
class FrameDecompressor {
 public:
  FrameDecompressor();
  ~FrameDecompressor();

  FrameDecompressor(const FrameDecompressor&) = delete;
  FrameDecompressor& operator=(const FrameDecompressor&) = delete;

  /// The frame in \p bytes; nullopt if they are no frame of the compressor or
  /// are longer than kMaxCompressedFrame.
  std::optional<std::vector<std::uint8_t>> Decompress(
      std::span<const std::uint8_t> bytes);

 private:
  struct Stream;
  std::unique_ptr<Stream> stream_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_FRAME_COMPRESSION_H_
