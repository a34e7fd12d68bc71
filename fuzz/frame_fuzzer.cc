/// \file
/// Fuzzes the decoder of frames from peers.
#include "mutated_message.h"
#include "sesamespread/protocol/codec.h"

namespace {

using namespace sesamespread;

std::string PayloadOf(const protocol::PeerMessage& message) {
  return protocol::EncodeFrame(message).substr(protocol::kFrameHeaderBytes);
}

std::vector<std::string> Originals() {
  protocol::CallRequest call;
  call.call_id = 1;
  call.request_id = {2, 3};
  call.service = "orders";
  call.method = "POST";
  call.path = "/new";
  call.headers = {{"Content-Type", "text/plain"}};
  call.body = "ten frames";
  call.idempotency_key = "own-key";
  protocol::CallAnswer answer;
  answer.call_id = 1;
  answer.request_id = {2, 3};
  answer.http_status = 200;
  answer.headers = {{"Backend", "orders-1"}};
  answer.body = "answer";
  answer.body_size = answer.body.size();
  answer.thresholds = {{"orders", 200}};
  state::NodeRecord record;
  record.node = 5;
  record.name = "orders-1";
  record.zone = "zone-a";
  record.peer = {"127.0.0.1", 80};
  record.gossip = {"::1", 81};
  record.service = "orders";
  protocol::NodeRecordsPush records;
  records.records = {record};
  state::ConfigurationDelta delta;
  delta.to = 1;
  delta.changes = {{"zone/a", "{region: one}"}, {"zone/b", std::nullopt}};
  return {
      PayloadOf(call),
      PayloadOf(answer),
      PayloadOf(protocol::AnswerChunk{1, 65536, "part"}),
      PayloadOf(protocol::Cancel{1}),
      PayloadOf(protocol::Hello{1, 2, "orders-1"}),
      PayloadOf(protocol::LeaveNotice{1, 2, 3}),
      PayloadOf(protocol::BackendLeft{1, "i-1", 3}),
      PayloadOf(protocol::BackendLeftPull{1}),
      PayloadOf(protocol::VersionNotice{1, 7, 3}),
      PayloadOf(protocol::CrashReport{9, {1, 2}}),
      PayloadOf(protocol::CrashSuspicions{{{7, 2, state::Duration(3)}}}),
      PayloadOf(protocol::QuotaReport{1, 2, 0, 3, 78, true, 4, {{5, 1, 2}}}),
      PayloadOf(protocol::QuotaGrant{
          1, 2, 0, 3, 4, 78, {{5, 1, state::Duration(6)}}}),
      PayloadOf(protocol::ConfigurationPull{4}),
      PayloadOf(protocol::ConfigurationPush{delta, true}),
      PayloadOf(protocol::NodeRecordsPull{0}),
      PayloadOf(records)};
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const std::vector<std::string> kOriginals = Originals();
  const auto payload = fuzz::MutatedMessage(kOriginals, data, size);
  const auto message = protocol::DecodePayload(payload);
  if (!message)
    return 0;
  // An accepted message must survive encoding and decoding, since nodes forward
  // messages.
  const std::string again = PayloadOf(*message);
  const auto decoded = protocol::DecodePayload(
      {reinterpret_cast<const std::uint8_t*>(again.data()), again.size()});
  if (decoded != message)
    __builtin_trap();
  return 0;
}
