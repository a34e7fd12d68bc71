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
/// Limits allows fits into one frame; the bodies of answers are split into
/// AnswerChunk messages.
constexpr std::size_t kMaxFrameBytes = 8 << 20;

/// Largest body of one AnswerChunk. Larger bodies are split, so that the
/// messages of other calls on the link are sent in between.
constexpr std::size_t kChunkBytes = 64 << 10;

using coordination::kMaxDatagramBytes;

/// Size of the length field that precedes the payload of a frame.
constexpr std::size_t kFrameHeaderBytes = 4;

/// Encodes \p message as a frame: the payload's length as a 4-byte
/// little-endian integer, then the payload, which is a FlatBuffer.
std::string EncodeFrame(const PeerMessage& message);

/// Decodes the length field of a frame.
/// \pre \p header has kFrameHeaderBytes bytes.
std::uint32_t DecodeFrameLength(std::span<const std::uint8_t> header);

/// Decodes the payload of a frame, without its length field.
/// \returns nullopt if \p payload is not a valid FlatBuffer of a PeerMessage or
/// a field is out of range.
std::optional<PeerMessage> DecodePayload(std::span<const std::uint8_t> payload);

/// Encodes \p message as a datagram of at most coordination::EncodedBytesBound
/// bytes. The caller limits the updates so that the datagram does not exceed
/// kMaxDatagramBytes; this function does not check it.
std::string EncodeDatagram(const GossipMessage& message);

/// \returns nullopt if \p datagram is not a valid FlatBuffer of a GossipMessage
/// or a field is out of range.
std::optional<GossipMessage> DecodeDatagram(
    std::span<const std::uint8_t> datagram);

/// XXH3 digest of the body of an answer.
std::uint64_t DigestOf(std::string_view body);

}  // namespace sesamespread::protocol

#endif  // SESAMESPREAD_PROTOCOL_CODEC_H_
