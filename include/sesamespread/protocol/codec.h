/// \file
/// FlatBuffers encoding of the messages between nodes.
#ifndef SESAMESPREAD_PROTOCOL_CODEC_H_
#define SESAMESPREAD_PROTOCOL_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "sesamespread/protocol/messages.h"

namespace sesamespread::protocol {

/// Largest frame that a node accepts. A request of the largest size that
/// Limits allows fits; answers travel in chunks.
constexpr std::size_t kMaxFrameBytes = 8 << 20;

/// Body bytes in one AnswerChunk, so that other calls interleave.
constexpr std::size_t kChunkBytes = 64 << 10;

using coordination::kMaxDatagramBytes;

/// Bytes of the length field before each frame.
constexpr std::size_t kFrameHeaderBytes = 4;

/// The frame of \p message: a 4-byte little-endian length and the buffer.
std::string EncodeFrame(const PeerMessage& message);

/// Reads the length field. \pre header has kFrameHeaderBytes bytes.
std::uint32_t DecodeFrameLength(std::span<const std::uint8_t> header);

/// The message in \p payload (without the length field), or nullopt if the
/// buffer does not verify or a field is out of range.
std::optional<PeerMessage> DecodePayload(std::span<const std::uint8_t> payload);

/// The datagram of \p message, at most coordination::EncodedBytesBound. Updates
/// that do not fit kMaxDatagramBytes are the sender's concern.
std::string EncodeDatagram(const GossipMessage& message);

/// The message in a datagram, or nullopt if it is not valid.
std::optional<GossipMessage> DecodeDatagram(
    std::span<const std::uint8_t> datagram);

/// Digest of an answer's body.
std::uint64_t DigestOf(std::string_view body);

}  // namespace sesamespread::protocol

#endif  // SESAMESPREAD_PROTOCOL_CODEC_H_
