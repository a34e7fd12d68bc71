/// \file
/// Node records: their precedence, liveness and timers, and received datagrams.
#include "sesamespread/coordination/membership.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace sesamespread::coordination {
namespace {

using state::BackendState;
using state::Duration;
using state::Instant;
using state::Liveness;
using state::NodeRecord;

// Limit of random selections in the search for a live node.
constexpr int kMaxRandomPicks = 32;

// Time between two checks for dead records to remove.
constexpr Duration kDeadCheckInterval = std::chrono::seconds(10);

// Limit of suspects that are probed in one tick.
constexpr std::size_t kMaxSuspectProbes = 4;

// Lower bound, because a node that has just started has records of only a few
// nodes.
constexpr double kMinLog2Members = 4.0;

constexpr unsigned kRandomIncarnationBits = 22;
constexpr std::uint64_t kRandomIncarnationMask =
    (1ULL << kRandomIncarnationBits) - 1;

using OrderKey = std::tuple<state::Incarnation, std::uint32_t, std::uint8_t>;

OrderKey KeyOf(const NodeRecord& record) {
  return {record.incarnation, record.sequence,
          static_cast<std::uint8_t>(record.liveness)};
}

}  // namespace

state::Incarnation MakeIncarnation(state::WallTime start,
                                   std::uint64_t random) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          start.time_since_epoch());
  return (static_cast<std::uint64_t>(milliseconds.count())
          << kRandomIncarnationBits) |
         (random & kRandomIncarnationMask);
}

state::Incarnation IncarnationAfter(state::Incarnation seen,
                                    std::uint64_t random) {
  return (((seen >> kRandomIncarnationBits) + 1) << kRandomIncarnationBits) |
         (random & kRandomIncarnationMask);
}

bool IsNewer(const NodeRecord& a, const NodeRecord& b) {
  return KeyOf(a) > KeyOf(b);
}

Membership::Membership(NodeRecord own,
                       std::vector<state::Endpoint> seeds,
                       const MembershipOptions& options,
                       std::mt19937_64 random,
                       Instant now)
    : options_(options),
      seeds_(std::move(seeds)),
      random_(random),
      own_(std::move(own)),
      budget_bytes_(options.burst_bytes),
      essential_budget_bytes_(options.essential_burst_bytes),
      refilled_(now),
      last_call_at_(now),
      last_received_(now),
      last_ack_(now) {
  own_.liveness = Liveness::kAlive;
  own_.sequence = 1;
  const auto slot = table_.Put(own_);
  if (!slot)
    throw std::invalid_argument(
        "the own node record has no name or an address that is not numeric");
  own_zone_ = table_.zone(*slot);
  // Random, to spread the load of nodes that start together.
  next_probe_ = now + Jitter(options_.probe_interval);
  next_dead_probe_ = now + options_.dead_probe_interval;
  next_seed_contact_ = now + Jitter(options_.probe_interval);
  seed_interval_ = options_.probe_interval;
  next_dead_check_ = now + kDeadCheckInterval;
}

// --- Time ------------------------------------------------------------------

void Membership::Tick(Instant now) {
  DetectPause(now);
  if (departed_) {
    SendPushes(now);
    return;
  }
  UpdateIsolation(now);
  ExpirePendingProbes(now);
  ExpireSuspects(now);
  RemoveExpiredDead(now);
  ProbeNext(now);
  ProbeSuspects(now);
  ProbeDead(now);
  ContactSeeds(now);
  PullRecords(now);
  CheckOwnZone(now);
  SendPushes(now);
  SendBacklog(now);
}

void Membership::DetectPause(Instant now) {
  if (now - last_call_at_ > options_.pause_threshold)
    RestartTimers(now);
  last_call_at_ = now;
}

// This process was paused: it received no datagrams meanwhile, so expired
// timers do not indicate faults of other nodes.
void Membership::RestartTimers(Instant now) {
  ++counters_.pauses;
  last_received_ = now;
  last_ack_ = now;
  pending_probes_.clear();
  for (ZoneState& zone : zones_)
    zone.check = {};
  reported_own_zone_loss_.reset();
  for (auto& [node, suspicion] : suspects_)
    suspicion.deadline = now + SuspicionTimeout();
}

void Membership::ExpirePendingProbes(Instant now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [token, pending] : pending_probes_) {
    if (pending.deadline <= now)
      expired.push_back(token);
  }
  for (const std::uint64_t token : expired)
    HandleTimeout(token, now);
}

void Membership::ExpireSuspects(Instant now) {
  if (isolated_ || !HasRecentTraffic(now))
    return;
  std::vector<state::NodeId> expired;
  for (const auto& [node, suspicion] : suspects_) {
    if (suspicion.deadline <= now)
      expired.push_back(node);
  }
  for (const state::NodeId node : expired) {
    const auto slot = table_.Find(node);
    assert(slot && "a suspect has a record");
    table_.set_liveness(*slot, Liveness::kDead);
    TrackLiveness(*slot, now);
    ++counters_.deaths;
    Enqueue(node, 0, now);
    Emit(MembershipEvent::Kind::kRecordChanged, *slot);
  }
}

void Membership::RemoveExpiredDead(Instant now) {
  if (now < next_dead_check_)
    return;
  next_dead_check_ = now + kDeadCheckInterval;
  for (auto entry = dead_.begin(); entry != dead_.end();) {
    if (entry->second > now) {
      ++entry;
      continue;
    }
    const state::NodeId node = entry->first;
    entry = dead_.erase(entry);
    const auto slot = table_.Find(node);
    assert(slot && "a dead node has a record");
    Emit(MembershipEvent::Kind::kRecordRemoved, *slot);
    table_.Erase(*slot);
    std::erase_if(updates_,
                  [node](const Update& update) { return update.node == node; });
  }
}

void Membership::UpdateIsolation(Instant now) {
  const bool has_no_peers = table_.size() - 1 <= dead_.size() && seeds_.empty();
  const bool isolated =
      !has_no_peers && now - last_received_ > options_.isolation_time;
  if (isolated == isolated_)
    return;
  isolated_ = isolated;
  if (isolated) {
    next_seed_contact_ = now;
    seed_interval_ = options_.probe_interval;
  }
  // Suspects could not refute while this node was isolated.
  for (auto& [node, suspicion] : suspects_)
    suspicion.deadline = now + SuspicionTimeout();
  Emit(isolated ? MembershipEvent::Kind::kIsolated
                : MembershipEvent::Kind::kNotIsolated,
       std::string());
}

bool Membership::HasRecentTraffic(Instant now) const {
  return now - last_received_ <= options_.max_receive_gap &&
         now - last_ack_ <= options_.max_ack_gap;
}

// --- Received datagrams ----------------------------------------------------

void Membership::Receive(const GossipMessage& message,
                         std::size_t bytes,
                         Instant now) {
  DetectPause(now);
  ++counters_.datagrams_received;
  const std::size_t all_bytes = bytes + kDatagramHeaderBytes;
  counters_.bytes_received += all_bytes;
  RefillBudget(now);
  budget_bytes_ = std::max(budget_bytes_ - static_cast<double>(all_bytes),
                           -options_.burst_bytes);
  if (message.from.node == own_.node) {
    ApplyToOwn(message.from, now);
    return;
  }
  if (departed_) {
    // The ack carries the departure to nodes that have not received it yet and
    // would otherwise suspect this node.
    if (message.kind == GossipKind::kProbe)
      AnswerProbe(message, now);
    return;
  }
  last_received_ = now;
  UpdateIsolation(now);
  HandleSender(message, now);
  for (const NodeRecord& record : message.updates)
    Apply(record, true, now);
  for (const ZoneRecord& zone : message.zones)
    ApplyZone(zone, now);
  switch (message.kind) {
    case GossipKind::kProbe:
    case GossipKind::kJoin:
      AnswerProbe(message, now);
      break;
    case GossipKind::kProbeAck:
      HandleAck(message, now);
      break;
    case GossipKind::kIndirectProbe:
      RelayProbe(message, now);
      break;
    case GossipKind::kPush:
      break;
  }
  SendPushes(now);
}

void Membership::HandleSender(const GossipMessage& message, Instant now) {
  Apply(message.from, true, now);
  const auto slot = table_.Find(message.from.node);
  if (!slot)
    return;
  if (IsZoneLost(table_.zone(*slot)) && !table_.exempt_from_zone_loss(*slot)) {
    table_.set_exempt_from_zone_loss(*slot, true);
    Emit(MembershipEvent::Kind::kRecordChanged, *slot);
  }
  if (!joined_ && message.kind != GossipKind::kJoin) {
    joined_ = true;
    DeferSeedContact(now);
    // The first datagram may come from a node that has also just started and
    // has few records, so another pull follows.
    next_records_pull_ =
        now + options_.second_pull_delay + Jitter(options_.second_pull_delay);
    Emit(MembershipEvent::Kind::kPullRecords, *slot);
  }
  const bool newer = message.configuration_version > configuration_version_;
  const bool differs =
      message.configuration_version == configuration_version_ &&
      message.configuration_digest != configuration_digest_;
  if (!newer && !differs)
    return;
  Emit(MembershipEvent::Kind::kNewerConfiguration, *slot);
  events_.back().version = message.configuration_version;
  events_.back().digest = message.configuration_digest;
}

void Membership::AnswerProbe(const GossipMessage& message, Instant now) {
  GossipMessage ack = MakeMessage(GossipKind::kProbeAck, message.token);
  if (message.kind == GossipKind::kJoin) {
    for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
      if (zones_[zone].lost)
        ack.zones.push_back(RecordOfZone(static_cast<std::uint16_t>(zone)));
    }
  }
  SendOptions options;
  options.essential = true;
  options.bare = (message.token & kBareAckBit) != 0;
  options.first_update = SuspectOrDeadRecordOf(message.from.node);
  Send(message.from.gossip, std::move(ack), options, now);
}

void Membership::HandleAck(const GossipMessage& message, Instant now) {
  const auto found = pending_probes_.find(message.token);
  if (found == pending_probes_.end())
    return;
  const PendingProbe pending = found->second;
  pending_probes_.erase(found);
  if (pending.kind == PendingProbe::Kind::kRelay) {
    SendOptions options;
    options.essential = true;
    Send(pending.requester,
         MakeMessage(GossipKind::kProbeAck, pending.requester_token), options,
         now);
    return;
  }
  last_ack_ = now;
  if (pending.kind == PendingProbe::Kind::kZoneSample ||
      pending.kind == PendingProbe::Kind::kZoneControl)
    CloseZoneProbe(pending, true, now);
}

// --- Records ---------------------------------------------------------------

bool Membership::IsNewerThan(const NodeRecord& record, Slot slot) const {
  return KeyOf(record) >
         OrderKey(table_.incarnation(slot), table_.sequence(slot),
                  static_cast<std::uint8_t>(table_.liveness(slot)));
}

bool Membership::Apply(const NodeRecord& record,
                       bool disseminate,
                       Instant now) {
  if (record.node == own_.node) {
    ApplyToOwn(record, now);
    return false;
  }
  const auto found = table_.Find(record.node);
  const bool started =
      !found || record.incarnation != table_.incarnation(*found);
  bool self_reported = true;
  bool refuted = false;
  if (found) {
    if (!IsNewerThan(record, *found))
      return false;
    // With the same incarnation and sequence, only the liveness differs, which
    // other nodes have changed.
    self_reported = started || record.sequence != table_.sequence(*found);
    if (!self_reported && IsZoneLost(table_.zone(*found)))
      return false;
    refuted = self_reported && table_.liveness(*found) != Liveness::kAlive;
  } else if (record.liveness == Liveness::kDead) {
    return false;
  } else if (table_.size() >= options_.max_members) {
    ++counters_.rejected_records;
    return false;
  }
  const auto slot = table_.Put(record);
  if (!slot) {
    ++counters_.rejected_records;
    return false;
  }
  if (!found)
    AddToProbeOrder(*slot);
  TrackLiveness(*slot, now);
  const bool departed = self_reported && record.liveness == Liveness::kDead;
  const bool urgent =
      refuted || (!departed && record.backend_state == BackendState::kLeaving);
  if (disseminate)
    Enqueue(record.node, urgent ? 2 : started || departed ? 1 : 0, now);
  Emit(MembershipEvent::Kind::kRecordChanged, *slot);
  return true;
}

void Membership::ApplyToOwn(const NodeRecord& record, Instant now) {
  if (departed_)
    return;
  if (record.incarnation > own_.incarnation) {
    if (record.incarnation == superseded_by_)
      return;
    superseded_by_ = record.incarnation;
    MembershipEvent event;
    event.kind = MembershipEvent::Kind::kSuperseded;
    event.record = record;
    events_.push_back(std::move(event));
    return;
  }
  if (record.incarnation < own_.incarnation || record.sequence < own_.sequence)
    return;
  if (record.liveness == Liveness::kAlive && record.sequence == own_.sequence)
    return;
  own_.sequence = record.sequence;
  ++counters_.refutations;
  OnOwnRecordChanged(true, now);
}

void Membership::TrackLiveness(Slot slot, Instant now) {
  const state::NodeId node = table_.node(slot);
  const Liveness liveness = table_.liveness(slot);
  if (liveness == Liveness::kSuspect)
    suspects_.emplace(node, Suspicion{now + SuspicionTimeout(), std::nullopt});
  else
    suspects_.erase(node);
  if (liveness == Liveness::kDead)
    dead_[node] = now + options_.dead_retention;
  else
    dead_.erase(node);
}

void Membership::Suspect(state::NodeId node, Instant now) {
  const auto slot = table_.Find(node);
  if (!slot || table_.liveness(*slot) != Liveness::kAlive)
    return;
  ++counters_.suspicions;
  table_.set_liveness(*slot, Liveness::kSuspect);
  TrackLiveness(*slot, now);
  Enqueue(node, 0, now);
  Emit(MembershipEvent::Kind::kRecordChanged, *slot);
  suspects_[node].next_probe = now;
  ProbeSuspects(now);
}

// Sends suspects their own records, so that they can refute the suspicion as
// soon as possible. Repeats this while the suspicion lasts, because the node or
// the datagram may have been delayed.
void Membership::ProbeSuspects(Instant now) {
  std::size_t sent = 0;
  for (auto& [node, suspicion] : suspects_) {
    if (!suspicion.next_probe || *suspicion.next_probe > now)
      continue;
    if (++sent > kMaxSuspectProbes)
      return;
    suspicion.next_probe = now + options_.probe_interval;
    const auto slot = table_.Find(node);
    assert(slot && "a suspect has a record");
    SendOptions options;
    options.essential = true;
    options.bare = true;
    options.first_update = table_.Get(*slot);
    Send(table_.gossip(*slot), MakeMessage(GossipKind::kProbe, NewToken(false)),
         options, now);
  }
}

void Membership::ApplyRecords(const std::vector<NodeRecord>& records,
                              Instant now) {
  DetectPause(now);
  // Other nodes may have missed the records that a later pull finds too.
  for (const NodeRecord& record : records)
    Apply(record, pulls_ > 0, now);
  pulled_size_ = table_.size();
  if (!next_records_pull_)
    next_records_pull_ =
        now + options_.second_pull_delay + Jitter(options_.second_pull_delay);
  if (!joined_ && table_.size() > 1) {
    joined_ = true;
    DeferSeedContact(now);
  }
}

void Membership::OnOwnRecordChanged(bool urgent, Instant now) {
  ++own_.sequence;
  table_.Put(own_);
  if (urgent)
    RequestPush(true, now);
}

void Membership::SetBackend(std::string_view service,
                            BackendState backend_state,
                            Instant now) {
  DetectPause(now);
  if (own_.service == service && own_.backend_state == backend_state)
    return;
  own_.service = service;
  own_.backend_state = backend_state;
  OnOwnRecordChanged(backend_state == BackendState::kLeaving, now);
  SendPushes(now);
}

void Membership::AnnounceDeparture(Instant now) {
  DetectPause(now);
  if (departed_)
    return;
  own_.liveness = Liveness::kDead;
  departed_ = true;
  OnOwnRecordChanged(true, now);
  SendPushes(now);
}

void Membership::SetConfiguration(state::ConfigurationVersion version,
                                  std::uint64_t digest,
                                  Instant now) {
  DetectPause(now);
  const bool newer = version > configuration_version_;
  configuration_version_ = version;
  configuration_digest_ = digest;
  if (newer && !departed_)
    RequestPush(false, now);
  SendPushes(now);
}

void Membership::AddToProbeOrder(Slot slot) {
  probe_order_.push_back(slot);
  if (probe_position_ >= probe_order_.size() - 1)
    return;
  const std::size_t rest = probe_order_.size() - probe_position_;
  std::swap(probe_order_[probe_position_ + random_() % rest],
            probe_order_.back());
}

// --- Limits and queries ----------------------------------------------------

double Membership::Log2Members() const {
  return std::max(1.0, std::log2(static_cast<double>(table_.size())));
}

std::uint64_t Membership::NewToken(bool bare_ack) {
  const std::uint64_t token = random_() & ~kBareAckBit;
  return bare_ack ? token | kBareAckBit : token;
}

Duration Membership::Jitter(Duration span) {
  return Duration(static_cast<std::int64_t>(
      random_() % static_cast<std::uint64_t>(span.count())));
}

std::uint32_t Membership::MaxTransmissions() const {
  return static_cast<std::uint32_t>(
      std::ceil(options_.transmissions_per_doubling *
                std::max(kMinLog2Members, Log2Members())));
}

Duration Membership::SuspicionTimeout() const {
  const double time =
      static_cast<double>(options_.suspicion_timeout_per_doubling.count()) *
      Log2Members();
  return std::max(options_.min_suspicion_timeout,
                  Duration(static_cast<std::int64_t>(time)));
}

bool Membership::IsLiveSlot(Slot slot) const {
  return table_.liveness(slot) != Liveness::kDead &&
         (!IsZoneLost(table_.zone(slot)) || table_.exempt_from_zone_loss(slot));
}

std::optional<Membership::Slot> Membership::RandomLiveSlot() {
  for (int i = 0; i < kMaxRandomPicks; ++i) {
    const auto slot = static_cast<Slot>(random_() % table_.slot_count());
    if (table_.IsUsed(slot) && table_.node(slot) != own_.node &&
        IsLiveSlot(slot))
      return slot;
  }
  return std::nullopt;
}

std::optional<Membership::Slot> Membership::RandomLiveSlotOutside(
    std::uint16_t zone) {
  for (int i = 0; i < kMaxRandomPicks; ++i) {
    const auto slot = RandomLiveSlot();
    if (!slot)
      return std::nullopt;
    if (table_.zone(*slot) != zone)
      return slot;
  }
  return std::nullopt;
}

std::optional<Membership::Slot> Membership::RandomLiveSlotIn(
    std::uint16_t zone) {
  std::optional<Slot> chosen;
  std::uint64_t seen = 0;
  for (Slot slot = 0; slot < table_.slot_count(); ++slot) {
    if (table_.IsUsed(slot) && table_.zone(slot) == zone &&
        table_.node(slot) != own_.node && IsLiveSlot(slot) &&
        random_() % ++seen == 0)
      chosen = slot;
  }
  return chosen;
}

std::vector<Membership::Slot> Membership::SampleZone(std::uint16_t zone) {
  const std::vector<state::NodeId>& failed = Zone(zone).check.failed;
  std::vector<Slot> sample;
  std::uint64_t seen = 0;
  for (Slot slot = 0; slot < table_.slot_count(); ++slot) {
    if (!table_.IsUsed(slot) || table_.zone(slot) != zone ||
        table_.liveness(slot) == Liveness::kDead ||
        table_.node(slot) == own_.node ||
        std::find(failed.begin(), failed.end(), table_.node(slot)) !=
            failed.end())
      continue;
    ++seen;
    if (sample.size() < options_.zone_sample) {
      sample.push_back(slot);
      continue;
    }
    const std::uint64_t position = random_() % seen;
    if (position < sample.size())
      sample[position] = slot;
  }
  return sample;
}

void Membership::Emit(MembershipEvent::Kind kind, Slot slot) {
  MembershipEvent event;
  event.kind = kind;
  event.record = table_.Get(slot);
  events_.push_back(std::move(event));
}

void Membership::Emit(MembershipEvent::Kind kind, std::string zone) {
  MembershipEvent event;
  event.kind = kind;
  event.zone = std::move(zone);
  events_.push_back(std::move(event));
}

std::vector<OutgoingGossip> Membership::TakeDatagrams() {
  return std::exchange(outgoing_, {});
}

std::vector<MembershipEvent> Membership::TakeEvents() {
  return std::exchange(events_, {});
}

std::optional<NodeRecord> Membership::Find(state::NodeId node) const {
  const auto slot = table_.Find(node);
  if (!slot)
    return std::nullopt;
  return table_.Get(*slot);
}

bool Membership::IsLive(state::NodeId node) const {
  const auto slot = table_.Find(node);
  return slot && IsLiveSlot(*slot);
}

bool Membership::IsZoneLost(std::string_view zone) const {
  const auto number = table_.zones().Find(zone);
  return number && IsZoneLost(*number);
}

bool Membership::IsRegionUnreachable(std::string_view region) const {
  return unreachable_regions_.find(region) != unreachable_regions_.end();
}

void Membership::ForEach(
    const std::function<void(const NodeRecord&, bool)>& visit) const {
  for (Slot slot = 0; slot < table_.slot_count(); ++slot) {
    if (table_.IsUsed(slot))
      visit(table_.Get(slot), IsLiveSlot(slot));
  }
}

std::vector<state::NodeId> Membership::LiveNodesIn(
    std::string_view zone) const {
  std::vector<state::NodeId> nodes;
  const auto number = table_.zones().Find(zone);
  if (!number)
    return nodes;
  for (Slot slot = 0; slot < table_.slot_count(); ++slot) {
    if (table_.IsUsed(slot) && table_.zone(slot) == *number && IsLiveSlot(slot))
      nodes.push_back(table_.node(slot));
  }
  return nodes;
}

std::vector<NodeRecord> Membership::ServersOf(std::string_view service) const {
  std::vector<NodeRecord> servers;
  const auto number = table_.services().Find(service);
  if (!number)
    return servers;
  for (Slot slot = 0; slot < table_.slot_count(); ++slot) {
    if (table_.IsUsed(slot) && table_.service(slot) == *number &&
        table_.backend_state(slot) != BackendState::kAbsent && IsLiveSlot(slot))
      servers.push_back(table_.Get(slot));
  }
  return servers;
}

std::vector<NodeRecord> Membership::RecordsFrom(std::uint32_t from_index,
                                                std::size_t max_bytes,
                                                std::uint32_t* next_index,
                                                std::uint32_t* total) const {
  std::vector<NodeRecord> records;
  std::size_t bytes = 0;
  Slot slot = from_index;
  for (; slot < table_.slot_count(); ++slot) {
    if (!table_.IsUsed(slot) || table_.liveness(slot) == Liveness::kDead)
      continue;
    NodeRecord record = table_.Get(slot);
    bytes += EncodedBytesBound(record);
    if (bytes > max_bytes && !records.empty())
      break;
    records.push_back(std::move(record));
  }
  *next_index = std::min(slot, table_.slot_count());
  *total = table_.slot_count();
  return records;
}

}  // namespace sesamespread::coordination
