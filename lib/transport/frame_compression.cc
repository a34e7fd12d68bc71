/// \file
/// Compresses and decompresses frames as parts of one deflate stream.
#include "sesamespread/transport/frame_compression.h"

#include <zlib.h>

#include <stdexcept>

namespace sesamespread::transport {
namespace {

// A window of 8 KiB holds about ten small frames. With this memory level, a
// link uses 48 KiB.
constexpr int kWindowBits = 13;
constexpr int kMemoryLevel = 5;
// Negative window bits select a raw stream without header and checksum. TCP has
// its own checksum, and the decoder verifies the payload.
constexpr int kRawWindowBits = -kWindowBits;

Bytef* Input(const void* data) {
  // zlib does not write to its input, but its interface takes a non-const
  // pointer.
  return static_cast<Bytef*>(const_cast<void*>(data));
}

}  // namespace

struct FrameCompressor::Stream {
  z_stream z{};
};

FrameCompressor::FrameCompressor() : stream_(std::make_unique<Stream>()) {
  if (deflateInit2(&stream_->z, Z_BEST_SPEED, Z_DEFLATED, kRawWindowBits,
                   kMemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    throw std::runtime_error("cannot create a zlib compression stream");
}

FrameCompressor::~FrameCompressor() {
  deflateEnd(&stream_->z);
}

std::string FrameCompressor::Compress(std::string_view payload) {
  z_stream& z = stream_->z;
  // Z_SYNC_FLUSH appends an empty block that deflateBound() does not include.
  constexpr std::size_t kFlushBytes = 16;
  std::string out(deflateBound(&z, payload.size()) + kFlushBytes, '\0');
  z.next_in = Input(payload.data());
  z.avail_in = static_cast<uInt>(payload.size());
  z.next_out = reinterpret_cast<Bytef*>(out.data());
  z.avail_out = static_cast<uInt>(out.size());
  if (deflate(&z, Z_SYNC_FLUSH) != Z_OK || z.avail_in > 0)
    throw std::runtime_error("zlib failed to compress a frame");
  out.resize(out.size() - z.avail_out);
  return out;
}

struct FrameDecompressor::Stream {
  z_stream z{};
};

FrameDecompressor::FrameDecompressor() : stream_(std::make_unique<Stream>()) {
  if (inflateInit2(&stream_->z, kRawWindowBits) != Z_OK)
    throw std::runtime_error("cannot create a zlib decompression stream");
}

FrameDecompressor::~FrameDecompressor() {
  inflateEnd(&stream_->z);
}

std::optional<std::vector<std::uint8_t>> FrameDecompressor::Decompress(
    std::span<const std::uint8_t> bytes) {
  z_stream& z = stream_->z;
  std::vector<std::uint8_t> out(kMaxCompressedFrame + 1);
  z.next_in = Input(bytes.data());
  z.avail_in = static_cast<uInt>(bytes.size());
  z.next_out = out.data();
  z.avail_out = static_cast<uInt>(out.size());
  const int result = inflate(&z, Z_SYNC_FLUSH);
  if (result != Z_OK || z.avail_in > 0 || z.avail_out == 0)
    return std::nullopt;
  out.resize(out.size() - z.avail_out);
  return out;
}

}  // namespace sesamespread::transport
