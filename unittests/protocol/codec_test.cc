/// \file
/// Guards against fields lost on the wire and against frames that are read past
/// their end.
#include "sesamespread/protocol/codec.h"

#include <gtest/gtest.h>

#include <random>

namespace sesamespread::protocol {
namespace {

std::span<const std::uint8_t> PayloadOf(const std::string& frame) {
  return {
      reinterpret_cast<const std::uint8_t*>(frame.data()) + kFrameHeaderBytes,
      frame.size() - kFrameHeaderBytes};
}

CallRequest MakeRequest() {
  CallRequest request;
  request.call_id = 42;
  request.request_id = {1, 2};
  request.service = "orders";
  request.method = "POST";
  request.path = "/new";
  request.headers = {{"Accept", "text/plain"}};
  request.body = std::string("a\0b", 3);
  request.remaining = std::chrono::milliseconds(750);
  request.allotment = 3;
  request.importance = state::Importance::kCritical;
  request.idempotency_key = "key";
  return request;
}

TEST(CodecTest, RoundTripsACall) {
  const PeerMessage message = MakeRequest();
  const auto decoded = DecodePayload(PayloadOf(EncodeFrame(message)));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, message);
}

TEST(CodecTest, RoundTripsAnAnswerAndAGossipMessage) {
  CallAnswer answer;
  answer.request_id = {3, 4};
  answer.http_status = 200;
  answer.body = "plan";
  answer.thresholds = {{"prices", 200}};
  answer.retry_after = std::chrono::milliseconds(40);
  const auto decoded = DecodePayload(PayloadOf(EncodeFrame(answer)));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, PeerMessage(answer));

  GossipMessage gossip;
  gossip.kind = GossipKind::kIndirectProbe;
  gossip.from.name = "a";
  gossip.target.name = "b";
  gossip.zones = {{"cuyo-a", true, 4}};
  const std::string datagram = EncodeDatagram(gossip);
  EXPECT_EQ(
      DecodeDatagram({reinterpret_cast<const std::uint8_t*>(datagram.data()),
                      datagram.size()}),
      gossip);
}

TEST(CodecTest, DamagedFramesAreRefusedOrDecodedWithinBounds) {
  std::mt19937_64 random(1);
  const std::string frame = EncodeFrame(MakeRequest());
  for (int round = 0; round < 20'000; ++round) {
    std::string damaged = frame.substr(kFrameHeaderBytes);
    for (int flips = 0; flips < 3; ++flips)
      damaged[random() % damaged.size()] = static_cast<char>(random());
    damaged.resize(random() % (damaged.size() + 1));
    DecodePayload({reinterpret_cast<const std::uint8_t*>(damaged.data()),
                   damaged.size()});
  }
}

}  // namespace
}  // namespace sesamespread::protocol
