/// \file
/// FlatBuffers encoding of the messages between nodes.
#include "sesamespread/protocol/codec.h"

#include <flatbuffers/flatbuffers.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "peer_generated.h"

namespace sesamespread::protocol {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Limits on the nesting and the number of tables in received buffers. Without
// them, tables that share offsets make the verification of a small hostile
// frame expensive.
constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 200'000;

Offset<flatbuffers::Vector<std::uint8_t>> CreateByteVector(
    FlatBufferBuilder& builder,
    const std::string& bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

std::string ToString(const flatbuffers::String* text) {
  return text ? text->str() : std::string();
}

std::string ToString(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (!bytes)
    return {};
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

// --- Tables used by several messages ---------------------------------------

Offset<flatbuffers::Vector<Offset<wire::Header>>> Encode(
    FlatBufferBuilder& builder,
    const std::vector<Header>& headers) {
  std::vector<Offset<wire::Header>> offsets;
  offsets.reserve(headers.size());
  for (const Header& header : headers)
    offsets.push_back(wire::CreateHeader(builder,
                                         builder.CreateString(header.name),
                                         builder.CreateString(header.value)));
  return builder.CreateVector(offsets);
}

std::vector<Header> Decode(
    const flatbuffers::Vector<Offset<wire::Header>>* headers) {
  std::vector<Header> decoded;
  if (!headers)
    return decoded;
  decoded.reserve(headers->size());
  for (const wire::Header* header : *headers)
    decoded.push_back({ToString(header->name()), ToString(header->value())});
  return decoded;
}

// Zones, services and addresses occur many times within a message. As shared
// strings they are written once.
Offset<wire::NodeRecord> Encode(FlatBufferBuilder& builder,
                                const state::NodeRecord& record) {
  return wire::CreateNodeRecord(
      builder, record.node, record.incarnation, record.sequence,
      builder.CreateString(record.name),
      builder.CreateSharedString(record.zone),
      builder.CreateSharedString(record.peer.address), record.peer.port,
      builder.CreateSharedString(record.gossip.address), record.gossip.port,
      builder.CreateSharedString(record.service),
      static_cast<std::uint8_t>(record.backend_state),
      static_cast<std::uint8_t>(record.liveness));
}

bool Decode(const wire::NodeRecord* record, state::NodeRecord* decoded) {
  if (!record)
    return true;
  if (record->backend_state() >
          static_cast<std::uint8_t>(state::BackendState::kLeaving) ||
      record->liveness() > static_cast<std::uint8_t>(state::Liveness::kDead))
    return false;
  decoded->node = record->node();
  decoded->incarnation = record->incarnation();
  decoded->sequence = record->sequence();
  decoded->name = ToString(record->name());
  decoded->zone = ToString(record->zone());
  decoded->peer = {ToString(record->peer_address()), record->peer_port()};
  decoded->gossip = {ToString(record->gossip_address()), record->gossip_port()};
  decoded->service = ToString(record->service());
  decoded->backend_state =
      static_cast<state::BackendState>(record->backend_state());
  decoded->liveness = static_cast<state::Liveness>(record->liveness());
  return true;
}

using RecordOffsets = flatbuffers::Vector<Offset<wire::NodeRecord>>;

Offset<RecordOffsets> Encode(FlatBufferBuilder& builder,
                             const std::vector<state::NodeRecord>& records) {
  std::vector<Offset<wire::NodeRecord>> offsets;
  offsets.reserve(records.size());
  for (const state::NodeRecord& record : records)
    offsets.push_back(Encode(builder, record));
  return builder.CreateVector(offsets);
}

bool Decode(const RecordOffsets* records,
            std::vector<state::NodeRecord>* decoded) {
  if (!records)
    return true;
  decoded->resize(records->size());
  for (flatbuffers::uoffset_t i = 0; i < records->size(); ++i) {
    if (!Decode(records->Get(i), &(*decoded)[i]))
      return false;
  }
  return true;
}

std::uint64_t ToWireMicros(state::Duration duration) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(duration.count(), 0));
}

// Bounded, so that sums of two of them do not overflow.
state::Duration FromWireMicros(std::uint64_t micros) {
  return state::Duration(static_cast<std::int64_t>(std::min(
      micros, static_cast<std::uint64_t>(state::kMaxClockReading.count()))));
}

// --- Encoding of messages --------------------------------------------------

using Body = std::pair<wire::PeerBody, Offset<void>>;

Body Encode(FlatBufferBuilder& builder, const CallRequest& message) {
  const wire::RequestId id(message.request_id.high, message.request_id.low);
  const auto service = builder.CreateString(message.service);
  const auto method = builder.CreateString(message.method);
  const auto path = builder.CreateString(message.path);
  const auto headers = Encode(builder, message.headers);
  const auto body = CreateByteVector(builder, message.body);
  const auto key = builder.CreateString(message.idempotency_key);
  const auto route = builder.CreateString(message.route);
  // An absent field takes no bytes and decodes as an empty name.
  const auto tenant = message.tenant.empty()
                          ? Offset<flatbuffers::String>()
                          : builder.CreateString(message.tenant);
  return {wire::PeerBody::CallRequest,
          wire::CreateCallRequest(
              builder, message.call_id, &id, service, method, path, headers,
              body, static_cast<std::uint64_t>(message.remaining.count()),
              message.allotment, message.depth,
              static_cast<std::uint8_t>(message.importance), message.repeatable,
              key, message.target_incarnation, message.configuration_version,
              message.caller_identity, route, message.priority,
              static_cast<std::uint64_t>(message.goal_remaining.count()),
              static_cast<std::uint64_t>(message.max_wait.count()),
              message.from_backend, message.is_repeat, message.has_alternatives,
              message.is_crash_suspect, tenant, message.max_work_factor_percent)
              .Union()};
}

Body Encode(FlatBufferBuilder& builder, const CallAnswer& message) {
  const wire::RequestId id(message.request_id.high, message.request_id.low);
  const auto headers = Encode(builder, message.headers);
  const auto body = CreateByteVector(builder, message.body);
  std::vector<Offset<wire::ServiceThreshold>> thresholds;
  for (const ServiceThreshold& threshold : message.thresholds)
    thresholds.push_back(wire::CreateServiceThreshold(
        builder, builder.CreateString(threshold.service), threshold.threshold));
  const auto threshold_vector = builder.CreateVector(thresholds);
  const auto detail = builder.CreateString(message.detail);
  return {wire::PeerBody::CallAnswer,
          wire::CreateCallAnswer(
              builder, message.call_id, &id,
              static_cast<std::uint16_t>(message.result),
              static_cast<std::uint8_t>(message.run_state), message.http_status,
              headers, message.body_size, message.body_digest, body,
              message.unused_allotment,
              static_cast<std::uint32_t>(message.retry_after.count() / 1000),
              threshold_vector, message.in_progress, message.limit,
              static_cast<std::uint8_t>(message.backend_state),
              message.configuration_version, detail, message.queued,
              static_cast<std::uint64_t>(message.expected_wait.count()),
              static_cast<std::uint64_t>(message.service_time.count()),
              message.calls_made,
              static_cast<std::uint32_t>(std::min<std::int64_t>(
                  message.work_time.count(),
                  std::numeric_limits<std::uint32_t>::max())),
              message.work_factor_percent)
              .Union()};
}

Body Encode(FlatBufferBuilder& builder, const AnswerChunk& message) {
  const auto body = CreateByteVector(builder, message.body);
  return {
      wire::PeerBody::AnswerChunk,
      wire::CreateAnswerChunk(builder, message.call_id, message.offset, body)
          .Union()};
}

Body Encode(FlatBufferBuilder& builder, const Cancel& message) {
  return {wire::PeerBody::Cancel,
          wire::CreateCancel(builder, message.call_id).Union()};
}

Body Encode(FlatBufferBuilder& builder, const Hello& message) {
  const auto name = builder.CreateString(message.name);
  return {wire::PeerBody::Hello,
          wire::CreateHello(builder, message.node, message.incarnation, name)
              .Union()};
}

Body Encode(FlatBufferBuilder& builder, const Ping& message) {
  return {wire::PeerBody::Ping,
          wire::CreatePing(builder, message.token).Union()};
}

Body Encode(FlatBufferBuilder& builder, const Pong& message) {
  return {wire::PeerBody::Pong,
          wire::CreatePong(builder, message.token).Union()};
}

Body Encode(FlatBufferBuilder& builder, const BackendLeft& message) {
  const auto instance = builder.CreateString(message.instance);
  return {
      wire::PeerBody::BackendLeft,
      wire::CreateBackendLeft(builder, message.node, instance, message.left_ms)
          .Union()};
}

Body Encode(FlatBufferBuilder& builder, const BackendLeftPull& message) {
  return {wire::PeerBody::BackendLeftPull,
          wire::CreateBackendLeftPull(builder, message.node).Union()};
}

Body Encode(FlatBufferBuilder& builder, const CrashReport& message) {
  const auto contents = builder.CreateVector(message.contents);
  return {wire::PeerBody::CrashReport,
          wire::CreateCrashReport(builder, message.id, contents).Union()};
}

Body Encode(FlatBufferBuilder& builder, const CrashSuspicions& message) {
  std::vector<wire::CrashSuspicion> suspicions;
  suspicions.reserve(message.suspicions.size());
  for (const coordination::CrashSuspicion& suspicion : message.suspicions)
    suspicions.emplace_back(suspicion.content, suspicion.ends,
                            static_cast<std::uint64_t>(suspicion.age.count()));
  const auto vector = builder.CreateVectorOfStructs(suspicions);
  return {wire::PeerBody::CrashSuspicions,
          wire::CreateCrashSuspicions(builder, vector).Union()};
}

Body Encode(FlatBufferBuilder& builder, const QuotaReport& message) {
  std::vector<wire::QuotaWant> wants;
  wants.reserve(message.wants.size());
  for (const coordination::QuotaWant& want : message.wants)
    wants.emplace_back(want.tenant, want.waiting, want.prefetch);
  const auto vector = builder.CreateVectorOfStructs(wants);
  return {
      wire::PeerBody::QuotaReport,
      wire::CreateQuotaReport(builder, message.node, message.process,
                              message.shard, message.sequence, message.nodes,
                              message.lends, message.echo_us, vector)
          .Union()};
}

Body Encode(FlatBufferBuilder& builder, const QuotaGrant& message) {
  std::vector<wire::GrantedTokens> granted;
  granted.reserve(message.granted.size());
  for (const coordination::GrantedTokens& tokens : message.granted)
    granted.emplace_back(
        tokens.tenant, tokens.tokens,
        static_cast<std::uint32_t>(tokens.retry_after.count()));
  const auto vector = builder.CreateVectorOfStructs(granted);
  return {wire::PeerBody::QuotaGrant,
          wire::CreateQuotaGrant(builder, message.node, message.process,
                                 message.shard, message.sequence,
                                 message.stamp_us, message.nodes, vector)
              .Union()};
}

Body Encode(FlatBufferBuilder& builder, const VersionNotice& message) {
  return {wire::PeerBody::VersionNotice,
          wire::CreateVersionNotice(builder, message.node, message.version,
                                    message.store_era,
                                    ToWireMicros(message.store_time))
              .Union()};
}

Body Encode(FlatBufferBuilder& builder, const StoreClockPull& message) {
  return {wire::PeerBody::StoreClockPull,
          wire::CreateStoreClockPull(builder, message.token).Union()};
}

Body Encode(FlatBufferBuilder& builder, const StoreClockPush& message) {
  return {wire::PeerBody::StoreClockPush,
          wire::CreateStoreClockPush(builder, message.token, message.store_era,
                                     ToWireMicros(message.store_time))
              .Union()};
}

Body Encode(FlatBufferBuilder& builder, const LeaveNotice& message) {
  return {wire::PeerBody::LeaveNotice,
          wire::CreateLeaveNotice(builder, message.node, message.incarnation,
                                  message.sequence)
              .Union()};
}

Body Encode(FlatBufferBuilder& builder, const ConfigurationPull& message) {
  return {wire::PeerBody::ConfigurationPull,
          wire::CreateConfigurationPull(builder, message.have_version).Union()};
}

Body Encode(FlatBufferBuilder& builder, const ConfigurationPush& message) {
  std::vector<Offset<wire::EntryChange>> changes;
  for (const state::EntryChange& change : message.delta.changes) {
    const auto key = builder.CreateString(change.key);
    const auto value = builder.CreateString(change.value.value_or(""));
    changes.push_back(
        wire::CreateEntryChange(builder, key, value, !change.value));
  }
  const auto vector = builder.CreateVector(changes);
  return {wire::PeerBody::ConfigurationPush,
          wire::CreateConfigurationPush(builder, message.delta.from,
                                        message.delta.to, message.delta.digest,
                                        message.full, vector)
              .Union()};
}

Body Encode(FlatBufferBuilder& builder, const NodeRecordsPull& message) {
  return {wire::PeerBody::NodeRecordsPull,
          wire::CreateNodeRecordsPull(builder, message.from_index).Union()};
}

Body Encode(FlatBufferBuilder& builder, const NodeRecordsPush& message) {
  const auto records = Encode(builder, message.records);
  return {wire::PeerBody::NodeRecordsPush,
          wire::CreateNodeRecordsPush(builder, records, message.next_index,
                                      message.total)
              .Union()};
}

// --- Decoding of messages --------------------------------------------------

using Decoded = std::optional<PeerMessage>;

Decoded DecodeCallRequest(const wire::CallRequest& body) {
  if (!body.request_id() || body.importance() > 2)
    return std::nullopt;
  // One day. A longer duration is an error of the sender.
  constexpr std::uint64_t kMaxRemainingUs = 86'400'000'000;
  if (body.remaining_us() > kMaxRemainingUs ||
      body.goal_us() > kMaxRemainingUs || body.max_wait_us() > kMaxRemainingUs)
    return std::nullopt;
  CallRequest message;
  message.call_id = body.call_id();
  message.request_id = {body.request_id()->high(), body.request_id()->low()};
  message.service = ToString(body.service());
  message.method = ToString(body.method());
  message.path = ToString(body.path());
  message.headers = Decode(body.headers());
  message.body = ToString(body.body());
  message.remaining =
      state::Duration(static_cast<std::int64_t>(body.remaining_us()));
  message.allotment = body.allotment();
  message.depth = body.depth();
  message.importance = static_cast<state::Importance>(body.importance());
  message.repeatable = body.repeatable();
  message.idempotency_key = ToString(body.idempotency_key());
  message.target_incarnation = body.target_incarnation();
  message.configuration_version = body.configuration_version();
  message.caller_identity = body.caller_identity();
  message.route = ToString(body.route());
  message.priority = body.priority();
  message.goal_remaining =
      state::Duration(static_cast<std::int64_t>(body.goal_us()));
  message.max_wait =
      state::Duration(static_cast<std::int64_t>(body.max_wait_us()));
  message.from_backend = body.from_backend();
  message.is_repeat = body.is_repeat();
  message.has_alternatives = body.has_alternatives();
  message.is_crash_suspect = body.is_crash_suspect();
  message.tenant = ToString(body.tenant());
  message.max_work_factor_percent = body.max_work_factor_percent();
  return message;
}

Decoded DecodeCallAnswer(const wire::CallAnswer& body) {
  if (!body.request_id() || body.run_state() > 2 || body.backend_state() > 3)
    return std::nullopt;
  CallAnswer message;
  message.call_id = body.call_id();
  message.request_id = {body.request_id()->high(), body.request_id()->low()};
  message.result =
      state::InfoOf(static_cast<state::ResultCode>(body.result())).code;
  message.run_state = static_cast<state::RunState>(body.run_state());
  message.http_status = body.http_status();
  message.headers = Decode(body.headers());
  message.body_size = body.body_size();
  message.body_digest = body.body_digest();
  message.body = ToString(body.body());
  message.unused_allotment = body.unused_allotment();
  message.retry_after = std::chrono::milliseconds(
      static_cast<std::int64_t>(body.retry_after_ms()));
  if (const auto* thresholds = body.thresholds()) {
    for (const wire::ServiceThreshold* threshold : *thresholds)
      message.thresholds.push_back(
          {ToString(threshold->service()), threshold->threshold()});
  }
  message.in_progress = body.in_progress();
  message.limit = body.limit();
  message.backend_state =
      static_cast<state::BackendState>(body.backend_state());
  message.configuration_version = body.configuration_version();
  message.detail = ToString(body.detail());
  message.queued = body.queued();
  message.calls_made = body.calls_made();
  message.work_time = state::Duration(body.work_time_us());
  message.work_factor_percent = body.work_factor_percent();
  // The clock includes the time that the host is suspended, so that these times
  // are not bounded by those of requests.
  message.expected_wait = FromWireMicros(body.wait_us());
  message.service_time = FromWireMicros(body.service_time_us());
  return message;
}

Decoded DecodeConfigurationPush(const wire::ConfigurationPush& body) {
  ConfigurationPush message;
  message.delta.from = body.from_version();
  message.delta.to = body.to_version();
  message.delta.digest = body.digest();
  message.full = body.full();
  if (const auto* changes = body.changes()) {
    for (const wire::EntryChange* change : *changes) {
      state::EntryChange decoded{ToString(change->key()), std::nullopt};
      if (!change->removed())
        decoded.value = ToString(change->value());
      message.delta.changes.push_back(std::move(decoded));
    }
  }
  return message;
}

CrashReport DecodeCrashReport(const wire::CrashReport& body) {
  CrashReport message;
  message.id = body.id();
  if (const auto* contents = body.contents())
    message.contents.assign(contents->begin(), contents->end());
  return message;
}

CrashSuspicions DecodeCrashSuspicions(const wire::CrashSuspicions& body) {
  // Older suspicions have expired; the bounds keep the numbers in their ranges.
  constexpr std::uint64_t kMaxAgeUs = 3'600'000'000;
  constexpr std::uint64_t kMaxEnds = 1'000;
  CrashSuspicions message;
  if (const auto* suspicions = body.suspicions()) {
    for (const wire::CrashSuspicion* suspicion : *suspicions)
      message.suspicions.push_back(
          {suspicion->content(),
           static_cast<std::uint32_t>(std::min(suspicion->ends(), kMaxEnds)),
           state::Duration(static_cast<std::int64_t>(
               std::min(suspicion->age_us(), kMaxAgeUs)))});
  }
  return message;
}

// More tenants in one message are an error of the sender.
constexpr flatbuffers::uoffset_t kMaxQuotaTenants = 4096;

Decoded DecodeQuotaReport(const wire::QuotaReport& body) {
  QuotaReport message;
  message.node = body.node();
  message.process = body.process();
  message.shard = body.shard();
  message.sequence = body.sequence();
  message.nodes = body.nodes();
  message.lends = body.lends();
  message.echo_us = body.echo_us();
  if (const auto* wants = body.wants()) {
    if (wants->size() > kMaxQuotaTenants)
      return std::nullopt;
    for (const wire::QuotaWant* want : *wants)
      message.wants.push_back(
          {want->tenant(), want->waiting(), want->prefetch()});
  }
  return message;
}

Decoded DecodeQuotaGrant(const wire::QuotaGrant& body) {
  QuotaGrant message;
  message.node = body.node();
  message.process = body.process();
  message.shard = body.shard();
  message.sequence = body.sequence();
  message.stamp_us = body.stamp_us();
  message.nodes = body.nodes();
  if (const auto* granted = body.granted()) {
    if (granted->size() > kMaxQuotaTenants)
      return std::nullopt;
    for (const wire::GrantedTokens* tokens : *granted)
      message.granted.push_back({tokens->tenant(), tokens->tokens(),
                                 state::Duration(tokens->retry_after_us())});
  }
  return message;
}

Decoded DecodeNodeRecordsPush(const wire::NodeRecordsPush& body) {
  NodeRecordsPush message;
  if (!Decode(body.records(), &message.records))
    return std::nullopt;
  message.next_index = body.next_index();
  message.total = body.total();
  return message;
}

Decoded DecodeBody(const wire::PeerMessage& message) {
  switch (message.body_type()) {
    case wire::PeerBody::BackendLeftPull:
      return BackendLeftPull{message.body_as_BackendLeftPull()->node()};
    case wire::PeerBody::VersionNotice: {
      const auto* body = message.body_as_VersionNotice();
      return VersionNotice{body->node(), body->version(), body->store_era(),
                           FromWireMicros(body->store_time_us())};
    }
    case wire::PeerBody::StoreClockPull:
      return StoreClockPull{message.body_as_StoreClockPull()->token()};
    case wire::PeerBody::StoreClockPush: {
      const auto* body = message.body_as_StoreClockPush();
      return StoreClockPush{body->token(), body->store_era(),
                            FromWireMicros(body->store_time_us())};
    }
    case wire::PeerBody::CrashReport:
      return DecodeCrashReport(*message.body_as_CrashReport());
    case wire::PeerBody::CrashSuspicions:
      return DecodeCrashSuspicions(*message.body_as_CrashSuspicions());
    case wire::PeerBody::QuotaReport:
      return DecodeQuotaReport(*message.body_as_QuotaReport());
    case wire::PeerBody::QuotaGrant:
      return DecodeQuotaGrant(*message.body_as_QuotaGrant());
    case wire::PeerBody::BackendLeft: {
      const auto* body = message.body_as_BackendLeft();
      return BackendLeft{body->node(), ToString(body->instance()),
                         body->left_ms()};
    }
    case wire::PeerBody::CallRequest:
      return DecodeCallRequest(*message.body_as_CallRequest());
    case wire::PeerBody::CallAnswer:
      return DecodeCallAnswer(*message.body_as_CallAnswer());
    case wire::PeerBody::AnswerChunk: {
      const auto* body = message.body_as_AnswerChunk();
      return AnswerChunk{body->call_id(), body->offset(),
                         ToString(body->body())};
    }
    case wire::PeerBody::Cancel:
      return Cancel{message.body_as_Cancel()->call_id()};
    case wire::PeerBody::Hello: {
      const auto* body = message.body_as_Hello();
      return Hello{body->node(), body->incarnation(), ToString(body->name())};
    }
    case wire::PeerBody::Ping:
      return Ping{message.body_as_Ping()->token()};
    case wire::PeerBody::Pong:
      return Pong{message.body_as_Pong()->token()};
    case wire::PeerBody::LeaveNotice: {
      const auto* body = message.body_as_LeaveNotice();
      return LeaveNotice{body->node(), body->incarnation(), body->sequence()};
    }
    case wire::PeerBody::ConfigurationPull:
      return ConfigurationPull{
          message.body_as_ConfigurationPull()->have_version()};
    case wire::PeerBody::ConfigurationPush:
      return DecodeConfigurationPush(*message.body_as_ConfigurationPush());
    case wire::PeerBody::NodeRecordsPull:
      return NodeRecordsPull{message.body_as_NodeRecordsPull()->from_index()};
    case wire::PeerBody::NodeRecordsPush:
      return DecodeNodeRecordsPush(*message.body_as_NodeRecordsPush());
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string EncodeFrame(const PeerMessage& message) {
  constexpr std::size_t kTypicalBytes = 1024;
  // The builder would otherwise allocate a large body twice.
  const auto* call = std::get_if<CallRequest>(&message);
  const bool is_large = call && call->body.size() > kTypicalBytes;
  FlatBufferBuilder builder(
      is_large ? call->body.size() + call->body.size() / 16 + 8 * kTypicalBytes
               : kTypicalBytes);
  const Body body = std::visit(
      [&builder](const auto& typed) { return Encode(builder, typed); },
      message);
  builder.Finish(wire::CreatePeerMessage(builder, body.first, body.second));
  const auto size = static_cast<std::uint32_t>(builder.GetSize());
  std::string frame;
  frame.reserve(kFrameHeaderBytes + size);
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
    frame.push_back(static_cast<char>((size >> (8 * i)) & 0xff));
  frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
  return frame;
}

std::uint32_t DecodeFrameLength(std::span<const std::uint8_t> header) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
    length |= static_cast<std::uint32_t>(header[i]) << (8 * i);
  return length;
}

std::optional<PeerMessage> DecodePayload(
    std::span<const std::uint8_t> payload) {
  flatbuffers::Verifier verifier(payload.data(), payload.size(), kMaxDepth,
                                 kMaxTables);
  if (!verifier.VerifyBuffer<wire::PeerMessage>(nullptr))
    return std::nullopt;
  const auto* message = flatbuffers::GetRoot<wire::PeerMessage>(payload.data());
  if (!message->body())
    return std::nullopt;
  return DecodeBody(*message);
}

std::string EncodeDatagram(const GossipMessage& message) {
  FlatBufferBuilder builder(kMaxDatagramBytes);
  const auto from = Encode(builder, message.from);
  Offset<wire::NodeRecord> target;
  if (message.kind == GossipKind::kIndirectProbe)
    target = Encode(builder, message.target);
  const auto updates = Encode(builder, message.updates);
  std::vector<Offset<wire::ZoneRecord>> zones;
  for (const ZoneRecord& zone : message.zones)
    zones.push_back(wire::CreateZoneRecord(
        builder, builder.CreateString(zone.zone), zone.lost, zone.sequence));
  const auto zone_vector = builder.CreateVector(zones);
  builder.Finish(wire::CreateGossipMessage(
      builder, static_cast<wire::GossipKind>(message.kind), message.token, from,
      target, message.configuration_version, message.configuration_digest,
      updates, zone_vector));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<GossipMessage> DecodeDatagram(
    std::span<const std::uint8_t> datagram) {
  flatbuffers::Verifier verifier(datagram.data(), datagram.size(), kMaxDepth,
                                 kMaxTables);
  if (!verifier.VerifyBuffer<wire::GossipMessage>(nullptr))
    return std::nullopt;
  const auto* body = flatbuffers::GetRoot<wire::GossipMessage>(datagram.data());
  if (body->kind() > wire::GossipKind::MAX)
    return std::nullopt;
  GossipMessage message;
  message.kind = static_cast<GossipKind>(body->kind());
  message.token = body->token();
  if (!Decode(body->from(), &message.from) ||
      !Decode(body->updates(), &message.updates))
    return std::nullopt;
  // Other kinds have no target. If one is set, it is ignored.
  if (message.kind == GossipKind::kIndirectProbe &&
      !Decode(body->target(), &message.target))
    return std::nullopt;
  message.configuration_version = body->configuration_version();
  message.configuration_digest = body->configuration_digest();
  if (const auto* zones = body->zones()) {
    for (const wire::ZoneRecord* zone : *zones)
      message.zones.push_back(
          {ToString(zone->zone()), zone->lost(), zone->sequence()});
  }
  return message;
}

std::uint64_t DigestOf(std::string_view body) {
  return XXH3_64bits(body.data(), body.size());
}

}  // namespace sesamespread::protocol
