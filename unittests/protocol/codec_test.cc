/// \file
/// Guards against fields that are lost by encoding and decoding, and against
/// reads past the end of a damaged frame.
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
  request.route = "r-1";
  request.from_backend = true;
  request.is_repeat = true;
  request.has_alternatives = true;
  return request;
}

TEST(CodecTest, RoundTripsACall) {
  const PeerMessage message = MakeRequest();
  const auto decoded = DecodePayload(PayloadOf(EncodeFrame(message)));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, message);
}

// Guards against calls that lose their tenant between nodes, and against bytes
// spent on it by calls without one.
TEST(CodecTest, RoundTripsTheTenantOfACall) {
  CallRequest request = MakeRequest();
  const std::string without_tenant = EncodeFrame(request);
  request.tenant = "apiary";
  const std::string with_tenant = EncodeFrame(request);
  EXPECT_GT(with_tenant.size(), without_tenant.size());
  const auto decoded = DecodePayload(PayloadOf(with_tenant));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, PeerMessage(request));
  const auto empty = DecodePayload(PayloadOf(without_tenant));
  ASSERT_TRUE(empty.has_value());
  EXPECT_TRUE(std::get<CallRequest>(*empty).tenant.empty());
}

TEST(CodecTest, RoundTripsAnAnswerAndAGossipMessage) {
  CallAnswer answer;
  answer.request_id = {3, 4};
  answer.http_status = 200;
  answer.body = "plan";
  answer.thresholds = {{"prices", 200}};
  answer.retry_after = std::chrono::milliseconds(40);
  answer.work_time = std::chrono::milliseconds(94);
  answer.work_factor_percent = 250;
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

// Guards against answers, and so links, that are lost because a host was
// suspended for more than a day.
TEST(CodecTest, RoundTripsTimesOfASuspendedHost) {
  CallAnswer answer;
  answer.expected_wait = std::chrono::hours(25);
  answer.service_time = std::chrono::hours(24 * 365);
  const auto decoded = DecodePayload(PayloadOf(EncodeFrame(answer)));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, PeerMessage(answer));
}

TEST(CodecTest, RoundTripsCrashReports) {
  for (const PeerMessage& message :
       {PeerMessage(CrashReport{9, {1, ~0ULL}}), PeerMessage(CrashReport{}),
        PeerMessage(CrashSuspicions{
            {{7, 2, std::chrono::seconds(3)}, {8, 1, state::Duration(0)}}}),
        PeerMessage(CrashSuspicions{})}) {
    const auto decoded = DecodePayload(PayloadOf(EncodeFrame(message)));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, message);
  }
}

TEST(CodecTest, RoundTripsQuotaMessages) {
  QuotaReport report{1, ~0ULL, 1, 5, 78, true, 1'000'000, {}};
  QuotaGrant grant{2, 8, 1, 5, ~0ULL, 32'000, {}};
  const PeerMessage empty[] = {report, grant, QuotaReport(), QuotaGrant()};
  report.wants = {{7, 3, 2}, {~0ULL, 0, ~0U}};
  grant.granted = {{7, 3, state::Duration(0)},
                   {~0ULL, 0, std::chrono::seconds(1)}};
  const PeerMessage filled[] = {report, grant};
  for (const auto& messages : {std::span<const PeerMessage>(empty),
                               std::span<const PeerMessage>(filled)}) {
    for (const PeerMessage& message : messages) {
      const auto decoded = DecodePayload(PayloadOf(EncodeFrame(message)));
      ASSERT_TRUE(decoded.has_value());
      EXPECT_EQ(*decoded, message);
    }
  }
}

// A peer must not make a node build tables without bound.
TEST(CodecTest, RefusesQuotaMessagesWithTooManyTenants) {
  QuotaReport report;
  report.wants.resize(4097);
  EXPECT_FALSE(DecodePayload(PayloadOf(EncodeFrame(report))).has_value());
  QuotaGrant grant;
  grant.granted.resize(4097);
  EXPECT_FALSE(DecodePayload(PayloadOf(EncodeFrame(grant))).has_value());
}

TEST(CodecTest, RoundTripsLeaveAndVersionNotices) {
  for (const PeerMessage& message :
       {PeerMessage(BackendLeft{1, "i-1", 3}), PeerMessage(BackendLeftPull{1}),
        PeerMessage(VersionNotice{1, 7, 3, state::Duration(5)}),
        PeerMessage(StoreClockPull{9}),
        PeerMessage(StoreClockPush{9, 3, state::Duration(8)})}) {
    const auto decoded = DecodePayload(PayloadOf(EncodeFrame(message)));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(*decoded, message);
  }
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

state::NodeRecord RandomRecord(std::mt19937_64& random) {
  state::NodeRecord record;
  record.node = random();
  record.incarnation = random() % 2 * random();
  record.sequence = random() % 2 * static_cast<std::uint32_t>(random());
  record.name = std::string(random() % 40, 'n');
  record.zone =
      std::string(random() % 20, static_cast<char>('a' + random() % 26));
  record.peer = {
      std::string(random() % 40, static_cast<char>('a' + random() % 26)),
      static_cast<std::uint16_t>(random() % 2 * random())};
  record.gossip = record.peer;
  if (random() % 2)
    record.gossip.address = std::string(random() % 40, 'g');
  record.service =
      std::string(random() % 30, static_cast<char>('a' + random() % 26));
  record.backend_state = static_cast<state::BackendState>(random() % 4);
  record.liveness = static_cast<state::Liveness>(random() % 3);
  return record;
}

// Membership fills datagrams by the computed bound of the encoded size. If the
// bound is too low, datagrams exceed the MTU.
TEST(CodecTest, EncodedDatagramsDoNotExceedTheirBound) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 20'000; ++round) {
    GossipMessage message;
    message.kind = static_cast<GossipKind>(random() % 5);
    message.token = random();
    message.configuration_version = random();
    message.configuration_digest = random();
    message.from = RandomRecord(random);
    if (message.kind == GossipKind::kIndirectProbe)
      message.target = RandomRecord(random);
    for (std::uint64_t i = random() % 10; i > 0; --i)
      message.updates.push_back(RandomRecord(random));
    for (std::uint64_t i = random() % 22; i > 0; --i)
      message.zones.push_back({std::string(random() % 20, 'z'),
                               random() % 2 == 0,
                               static_cast<std::uint32_t>(random() % 3)});
    const std::string datagram = EncodeDatagram(message);
    ASSERT_LE(datagram.size(), coordination::EncodedBytesBound(message));
    ASSERT_EQ(
        DecodeDatagram({reinterpret_cast<const std::uint8_t*>(datagram.data()),
                        datagram.size()}),
        message);
  }
}

}  // namespace
}  // namespace sesamespread::protocol
