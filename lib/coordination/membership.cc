/// \file
/// Gossip: probes, suspicion, refutation, zone loss, isolation and the byte
/// budget.
#include "sesamespread/coordination/membership.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <numeric>
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

constexpr unsigned kRandomIncarnationBits = 22;
constexpr std::uint64_t kRandomIncarnationMask =
    (1ULL << kRandomIncarnationBits) - 1;

// A datagram holds 8 records of usual length.
constexpr std::size_t kMaxUpdatesPerDatagram = 16;

// Random picks before giving up on finding a live node.
constexpr int kMaxPicks = 32;

// Dead records are looked through at this interval.
constexpr Duration kForgetInterval = std::chrono::seconds(10);

// Of a sample of a zone: below one in four acked, most of the zone is lost;
// from one in two on, a lost zone has recovered.
constexpr std::uint32_t kLostBelowOneIn = 4;
constexpr std::uint32_t kRecoveredFromOneIn = 2;

// Suspects that are probed in one tick.
constexpr std::size_t kMaxSuspectProbes = 4;

// A node that has just started knows of fewer nodes than there are.
constexpr double kMinDoublings = 4.0;

// Growth of the table that calls for another pull after the first one.
constexpr std::size_t kGrownByOneIn = 1000;
constexpr std::size_t kSmallCluster = 1000;
constexpr std::uint32_t kStartPulls = 4;

// A vtable that the record may add to the message.
constexpr std::size_t kVtableBytes = 28;

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
      tokens_(options.burst_bytes),
      essential_tokens_(options.essential_burst_bytes),
      refilled_(now),
      last_call_(now),
      last_heard_(now),
      last_ack_(now) {
  own_.liveness = Liveness::kAlive;
  own_.sequence = 1;
  const auto slot = table_.Put(own_);
  if (!slot)
    throw std::invalid_argument(
        "the own record needs a name and numeric addresses");
  own_zone_ = table_.zone(*slot);
  // Spreads the load of nodes that start together.
  next_probe_ = now + Jitter(options_.probe_interval);
  next_dead_probe_ = now + options_.dead_probe_interval;
  next_seed_contact_ = now + Jitter(options_.probe_interval);
  seed_interval_ = options_.probe_interval;
  next_forget_ = now + kForgetInterval;
}

// --- Time ------------------------------------------------------------------

void Membership::Tick(Instant now) {
  NoteTime(now);
  if (departed_) {
    SendPushes(now);
    return;
  }
  UpdateIsolation(now);
  ExpirePending(now);
  ExpireSuspects(now);
  ForgetDead(now);
  ProbeNext(now);
  ProbeSuspects(now);
  ProbeDead(now);
  ContactSeeds(now);
  PullRecords(now);
  CheckOwnZone(now);
  SendPushes(now);
  RelieveBacklog(now);
}

void Membership::NoteTime(Instant now) {
  if (now - last_call_ > options_.pause_threshold)
    RestartTimers(now);
  last_call_ = now;
}

// This process was paused: what it did not hear meanwhile says nothing of
// others.
void Membership::RestartTimers(Instant now) {
  ++counters_.pauses;
  last_heard_ = now;
  last_ack_ = now;
  pending_.clear();
  for (ZoneState& zone : zones_)
    zone.check = {};
  own_zone_claim_.reset();
  for (auto& [node, suspicion] : suspects_)
    suspicion.deadline = now + SuspectTime();
}

void Membership::ExpirePending(Instant now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [token, pending] : pending_) {
    if (pending.deadline <= now)
      expired.push_back(token);
  }
  for (const std::uint64_t token : expired)
    HandleTimeout(token, now);
}

void Membership::ExpireSuspects(Instant now) {
  if (isolated_ || !HasEvidence(now))
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

void Membership::ForgetDead(Instant now) {
  if (now < next_forget_)
    return;
  next_forget_ = now + kForgetInterval;
  for (auto entry = dead_.begin(); entry != dead_.end();) {
    if (entry->second > now) {
      ++entry;
      continue;
    }
    const state::NodeId node = entry->first;
    entry = dead_.erase(entry);
    const auto slot = table_.Find(node);
    assert(slot && "a dead node has a record");
    Emit(MembershipEvent::Kind::kRecordForgotten, *slot);
    table_.Erase(*slot);
    std::erase_if(updates_,
                  [node](const Update& update) { return update.node == node; });
  }
}

void Membership::UpdateIsolation(Instant now) {
  const bool alone = table_.size() - 1 <= dead_.size() && seeds_.empty();
  const bool isolated = !alone && now - last_heard_ > options_.isolation_time;
  if (isolated == isolated_)
    return;
  isolated_ = isolated;
  if (isolated) {
    next_seed_contact_ = now;
    seed_interval_ = options_.probe_interval;
  }
  // Time spent in isolation does not count against others.
  for (auto& [node, suspicion] : suspects_)
    suspicion.deadline = now + SuspectTime();
  Emit(isolated ? MembershipEvent::Kind::kIsolated
                : MembershipEvent::Kind::kNotIsolated,
       std::string());
}

bool Membership::HasEvidence(Instant now) const {
  return now - last_heard_ <= options_.quiet_time &&
         now - last_ack_ <= options_.evidence_time;
}

// --- Probes ----------------------------------------------------------------

void Membership::ProbeNext(Instant now) {
  if (now < next_probe_)
    return;
  next_probe_ = now + options_.probe_interval;
  // At most one round: there may be nobody to probe.
  for (std::size_t tries = 0; tries <= probe_order_.size(); ++tries) {
    if (probe_position_ >= probe_order_.size()) {
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
      probe_position_ = 0;
      if (probe_order_.empty())
        return;
    }
    const Slot slot = probe_order_[probe_position_];
    if (!table_.IsUsed(slot)) {
      probe_order_[probe_position_] = probe_order_.back();
      probe_order_.pop_back();
      continue;
    }
    ++probe_position_;
    if (table_.liveness(slot) == Liveness::kDead)
      continue;
    Pending pending;
    pending.node = table_.node(slot);
    SendProbe(std::move(pending), table_.gossip(slot), now);
    return;
  }
}

// Two sides of a partition that found each other dead have to meet again. All
// nodes together probe each dead one about once in dead_probe_interval; if each
// node did, a host that comes back would get the probes of all at once.
void Membership::ProbeDead(Instant now) {
  if (now < next_dead_probe_ || dead_.empty())
    return;
  next_dead_probe_ = now + options_.dead_probe_interval;
  if (random_() % table_.size() >= dead_.size())
    return;
  const auto chosen = std::next(
      dead_.begin(), static_cast<std::ptrdiff_t>(random_() % dead_.size()));
  const auto slot = table_.Find(chosen->first);
  assert(slot && "a dead node has a record");
  SendOptions options;
  options.first_update = table_.Get(*slot);
  Send(table_.gossip(*slot), MakeMessage(GossipKind::kProbe, NewToken(false)),
       options, now);
}

// Nodes that start together may find each other before their seeds do, as
// islands that do not know of each other. Seeds are contacted for good, though
// rarely in a large deployment, so that islands merge.
void Membership::DeferSeedContact(Instant now) {
  const auto members = static_cast<std::int64_t>(table_.size());
  next_seed_contact_ =
      now + Jitter(options_.seed_interval_per_member * members);
}

// One seed at a time with a growing interval, since the nodes of a zone that
// starts again all contact the same seeds.
void Membership::ContactSeeds(Instant now) {
  if (now < next_seed_contact_ || seeds_.empty())
    return;
  const state::Endpoint& seed = seeds_[random_() % seeds_.size()];
  const bool joined = joined_ && !isolated_;
  if (joined) {
    DeferSeedContact(now);
  } else {
    next_seed_contact_ = now + seed_interval_ / 2 + Jitter(seed_interval_);
    seed_interval_ = std::min(2 * seed_interval_, options_.max_seed_interval);
  }
  if (seed == own_.gossip)
    return;
  SendOptions options;
  options.essential = true;
  options.bare = joined;
  Send(seed, MakeMessage(GossipKind::kJoin, NewToken(joined)), options, now);
}

void Membership::PullRecords(Instant now) {
  if (!next_records_pull_ || now < *next_records_pull_)
    return;
  ++pulls_;
  // Many new nodes since the last pull: others have started together with this
  // one, and what was pulled was not complete. In a small cluster further pulls
  // are made in any case, since they are cheap.
  const bool start =
      table_.size() > pulled_size_ + pulled_size_ / kGrownByOneIn ||
      (table_.size() <= kSmallCluster && pulls_ < kStartPulls);
  const bool due = start || pulls_ > 1;
  const Duration interval =
      start ? options_.second_pull_after : options_.records_pull_interval;
  // Spreads the pulls of nodes that started together.
  next_records_pull_ = now + interval / 2 + Jitter(interval);
  const auto slot = RandomLiveSlot();
  if (slot && due)
    Emit(MembershipEvent::Kind::kPullRecords, *slot);
}

void Membership::OnRecordsPullFailed(Instant now) {
  NoteTime(now);
  next_records_pull_ = now + options_.probe_interval;
}

void Membership::HandleTimeout(std::uint64_t token, Instant now) {
  const auto found = pending_.find(token);
  if (found == pending_.end())
    return;
  Pending pending = found->second;
  pending_.erase(found);
  switch (pending.kind) {
    case Pending::Kind::kDirect: {
      const auto slot = table_.Find(pending.node);
      // The records of a lost zone are not doubted one by one.
      if (!slot || IsZoneLost(table_.zone(*slot))) {
        HandleFailure(pending, now);
        return;
      }
      SendIndirectProbes(token, pending, now);
      return;
    }
    case Pending::Kind::kIndirect:
      HandleFailure(pending, now);
      return;
    case Pending::Kind::kZoneSample:
    case Pending::Kind::kZoneControl:
      CloseZoneProbe(pending, false, now);
      return;
    case Pending::Kind::kRelay:
      return;
  }
}

void Membership::SendIndirectProbes(std::uint64_t token,
                                    const Pending& pending,
                                    Instant now) {
  const auto target = table_.Find(pending.node);
  if (!target)
    return;
  GossipMessage message = MakeMessage(GossipKind::kIndirectProbe, token);
  message.target = table_.Get(*target);
  const std::uint16_t zone = table_.zone(*target);
  std::vector<Slot> helpers;
  for (std::size_t i = 0; i < options_.indirect_probes; ++i) {
    // Helpers in other zones reach the target by another way.
    auto helper = RandomLiveSlotOutside(zone);
    if (!helper)
      helper = RandomLiveSlot();
    if (!helper || *helper == *target ||
        std::find(helpers.begin(), helpers.end(), *helper) != helpers.end())
      continue;
    helpers.push_back(*helper);
    SendOptions options;
    options.essential = true;
    Send(table_.gossip(*helper), message, options, now);
  }
  Pending indirect = pending;
  indirect.kind = Pending::Kind::kIndirect;
  // Two round trips: to the helper and from there to the target.
  indirect.deadline = now + 2 * options_.ack_timeout;
  pending_.emplace(token, std::move(indirect));
}

void Membership::HandleFailure(const Pending& pending, Instant now) {
  const auto slot = table_.Find(pending.node);
  if (!slot)
    return;
  const std::uint16_t zone = table_.zone(*slot);
  if (IsZoneLost(zone)) {
    if (table_.marked(*slot)) {
      table_.set_marked(*slot, false);
      Emit(MembershipEvent::Kind::kRecordChanged, *slot);
    }
    return;
  }
  if (table_.liveness(*slot) != Liveness::kAlive)
    return;
  // Without a datagram since the probe was sent, the fault may be on this side.
  if (isolated_ || last_heard_ < pending.sent || !HasEvidence(now))
    return;
  ZoneState& state = Zone(zone);
  if (state.check.number == 0 &&
      (now < state.next_check || now < state.hold_down_until)) {
    Suspect(pending.node, now);
    return;
  }
  state.check.failed.push_back(pending.node);
  if (state.check.number == 0)
    StartZoneCheck(zone, now);
}

void Membership::RelayProbe(const GossipMessage& message, Instant now) {
  if (pending_.size() >= options_.max_pending)
    return;
  Pending pending;
  pending.kind = Pending::Kind::kRelay;
  pending.node = message.target.node;
  pending.asker = message.from.gossip;
  pending.asker_token = message.token;
  SendProbe(std::move(pending), message.target.gossip, now);
}

bool Membership::SendProbe(Pending pending,
                           const state::Endpoint& to,
                           Instant now) {
  const bool bare = pending.kind == Pending::Kind::kZoneSample ||
                    pending.kind == Pending::Kind::kZoneControl;
  RefillBudget(now);
  // Asks for no updates after more was received than the budget allows.
  const std::uint64_t token = NewToken(bare || tokens_ < 0);
  GossipMessage message = MakeMessage(GossipKind::kProbe, token);
  SendOptions options;
  options.essential = true;
  options.bare = bare;
  options.first_update = AccusationOf(pending.node);
  const auto slot = table_.Find(pending.node);
  // A node whose zone is believed lost has to know it to object.
  if (slot && IsZoneLost(table_.zone(*slot)))
    message.zones.push_back(RecordOfZone(table_.zone(*slot)));
  if (!Send(to, std::move(message), options, now))
    return false;
  pending.sent = now;
  pending.deadline = now + options_.ack_timeout;
  pending_.emplace(token, std::move(pending));
  return true;
}

// --- Received datagrams ----------------------------------------------------

void Membership::Receive(const GossipMessage& message,
                         std::size_t bytes,
                         Instant now) {
  NoteTime(now);
  ++counters_.datagrams_received;
  const std::size_t all_bytes = bytes + kDatagramHeaderBytes;
  counters_.bytes_received += all_bytes;
  RefillBudget(now);
  tokens_ =
      std::max(tokens_ - static_cast<double>(all_bytes), -options_.burst_bytes);
  if (message.from.node == own_.node) {
    ApplyToOwn(message.from, now);
    return;
  }
  if (departed_) {
    // Tells those that have not heard of it yet, who would suspect this node.
    if (message.kind == GossipKind::kProbe)
      AnswerProbe(message, now);
    return;
  }
  last_heard_ = now;
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
  if (IsZoneLost(table_.zone(*slot)) && !table_.marked(*slot)) {
    table_.set_marked(*slot, true);
    Emit(MembershipEvent::Kind::kRecordChanged, *slot);
  }
  if (!joined_ && message.kind != GossipKind::kJoin) {
    joined_ = true;
    DeferSeedContact(now);
    // The first answer may come from a node that has just started too, and not
    // know much.
    next_records_pull_ =
        now + options_.second_pull_after + Jitter(options_.second_pull_after);
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
  options.first_update = AccusationOf(message.from.node);
  Send(message.from.gossip, std::move(ack), options, now);
}

void Membership::HandleAck(const GossipMessage& message, Instant now) {
  const auto found = pending_.find(message.token);
  if (found == pending_.end())
    return;
  const Pending pending = found->second;
  pending_.erase(found);
  if (pending.kind == Pending::Kind::kRelay) {
    SendOptions options;
    options.essential = true;
    Send(pending.asker, MakeMessage(GossipKind::kProbeAck, pending.asker_token),
         options, now);
    return;
  }
  last_ack_ = now;
  if (pending.kind == Pending::Kind::kZoneSample ||
      pending.kind == Pending::Kind::kZoneControl)
    CloseZoneProbe(pending, true, now);
}

// --- Records ---------------------------------------------------------------

bool Membership::IsNewerThan(const NodeRecord& record, Slot slot) const {
  return KeyOf(record) >
         OrderKey(table_.incarnation(slot), table_.sequence(slot),
                  static_cast<std::uint8_t>(table_.liveness(slot)));
}

bool Membership::Apply(const NodeRecord& record, bool spread, Instant now) {
  if (record.node == own_.node) {
    ApplyToOwn(record, now);
    return false;
  }
  const auto found = table_.Find(record.node);
  const bool started =
      !found || record.incarnation != table_.incarnation(*found);
  bool own_statement = true;
  bool refuted = false;
  if (found) {
    if (!IsNewerThan(record, *found))
      return false;
    // Same incarnation and sequence: others say this of the node.
    own_statement = started || record.sequence != table_.sequence(*found);
    if (!own_statement && IsZoneLost(table_.zone(*found)))
      return false;
    refuted = own_statement && table_.liveness(*found) != Liveness::kAlive;
  } else if (record.liveness == Liveness::kDead) {
    return false;
  } else if (table_.size() >= options_.max_members) {
    ++counters_.refused;
    return false;
  }
  const auto slot = table_.Put(record);
  if (!slot) {
    ++counters_.refused;
    return false;
  }
  if (!found)
    AddToProbeOrder(*slot);
  TrackLiveness(*slot, now);
  const bool departed = own_statement && record.liveness == Liveness::kDead;
  const bool urgent =
      refuted || (!departed && record.backend_state == BackendState::kLeaving);
  if (spread)
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
  OwnChanged(true, now);
}

void Membership::TrackLiveness(Slot slot, Instant now) {
  const state::NodeId node = table_.node(slot);
  const Liveness liveness = table_.liveness(slot);
  if (liveness == Liveness::kSuspect)
    suspects_.emplace(node, Suspicion{now + SuspectTime(), std::nullopt});
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

// Tells the nodes that were found suspect here of it, the shortest way to a
// refutation, and again while the suspicion lasts, as the node or the datagram
// may have been held up.
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
  NoteTime(now);
  // What a repair finds has been missed by others too.
  for (const NodeRecord& record : records)
    Apply(record, pulls_ > 0, now);
  pulled_size_ = table_.size();
  if (!next_records_pull_)
    next_records_pull_ =
        now + options_.second_pull_after + Jitter(options_.second_pull_after);
  if (!joined_ && table_.size() > 1) {
    joined_ = true;
    DeferSeedContact(now);
  }
}

void Membership::OwnChanged(bool urgent, Instant now) {
  ++own_.sequence;
  table_.Put(own_);
  if (urgent)
    RequestPush(true, now);
}

void Membership::SetBackend(std::string_view service,
                            BackendState backend_state,
                            Instant now) {
  NoteTime(now);
  if (own_.service == service && own_.backend_state == backend_state)
    return;
  own_.service = service;
  own_.backend_state = backend_state;
  OwnChanged(backend_state == BackendState::kLeaving, now);
  SendPushes(now);
}

void Membership::AnnounceDeparture(Instant now) {
  NoteTime(now);
  if (departed_)
    return;
  own_.liveness = Liveness::kDead;
  departed_ = true;
  OwnChanged(true, now);
  SendPushes(now);
}

void Membership::SetConfiguration(state::ConfigurationVersion version,
                                  std::uint64_t digest,
                                  Instant now) {
  NoteTime(now);
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

// --- Zones -----------------------------------------------------------------

Membership::ZoneState& Membership::Zone(std::uint16_t zone) {
  if (zone >= zones_.size())
    zones_.resize(zone + 1u);
  return zones_[zone];
}

bool Membership::IsZoneLost(std::uint16_t zone) const {
  return zone < zones_.size() && zones_[zone].lost;
}

ZoneRecord Membership::RecordOfZone(std::uint16_t zone) const {
  return {table_.zones().At(zone), zones_[zone].lost, zones_[zone].sequence};
}

void Membership::StartZoneCheck(std::uint16_t zone, Instant now) {
  ZoneCheck& check = Zone(zone).check;
  check.number = ++last_check_;
  // Held open until all probes are out.
  check.open = 1;
  for (const Slot slot : SampleZone(zone))
    SendZoneProbe(slot, Pending::Kind::kZoneSample, zone, now);
  // In a partition between regions, the own zone is what can be reached.
  const auto own =
      zone == own_zone_ ? std::nullopt : RandomLiveSlotIn(own_zone_);
  if (own)
    SendZoneProbe(*own, Pending::Kind::kZoneControl, zone, now);
  for (std::size_t i = own ? 1 : 0; i < options_.zone_controls; ++i) {
    if (const auto slot = RandomLiveSlotOutside(zone))
      SendZoneProbe(*slot, Pending::Kind::kZoneControl, zone, now);
  }
  if (--Zone(zone).check.open == 0)
    FinishZoneCheck(zone, now);
}

void Membership::SendZoneProbe(Slot slot,
                               Pending::Kind kind,
                               std::uint16_t zone,
                               Instant now) {
  Pending pending;
  pending.kind = kind;
  pending.node = table_.node(slot);
  pending.zone = zone;
  pending.check = Zone(zone).check.number;
  ZoneCheck& check = Zone(zone).check;
  if (!SendProbe(std::move(pending), table_.gossip(slot), now)) {
    check.refused = true;
    return;
  }
  ++check.open;
  if (kind == Pending::Kind::kZoneSample)
    ++check.asked;
}

void Membership::CloseZoneProbe(const Pending& pending,
                                bool acked,
                                Instant now) {
  ZoneCheck& check = Zone(pending.zone).check;
  if (check.number != pending.check)
    return;
  if (acked && pending.kind == Pending::Kind::kZoneSample)
    ++check.acked;
  if (acked && pending.kind == Pending::Kind::kZoneControl)
    ++check.controls_acked;
  if (--check.open == 0)
    FinishZoneCheck(pending.zone, now);
}

void Membership::FinishZoneCheck(std::uint16_t zone, Instant now) {
  ZoneState& state = Zone(zone);
  const ZoneCheck check = std::exchange(state.check, {});
  state.next_check = now + options_.zone_check_interval;
  const bool enough = check.asked >= options_.min_zone_sample;
  const bool most = check.acked * kRecoveredFromOneIn >= check.asked;
  // The budget was spent: the next failure is a new try, or a look at the own
  // zone a second later.
  if (check.refused && !enough) {
    const bool look = state.lost || own_zone_claim_;
    state.next_check = look ? now + options_.probe_interval : now;
    return;
  }
  if (zone == own_zone_ && own_zone_claim_) {
    const std::uint32_t claim = *std::exchange(own_zone_claim_, std::nullopt);
    // A zone too small to be sampled is not lost: this node is alive.
    if (!enough || most)
      SetZone(zone, false, claim + 1, now);
    else
      SetZone(zone, true, claim, now);
    return;
  }
  if (state.lost) {
    if (enough && most)
      SetZone(zone, false, state.sequence + 1, now);
    return;
  }
  const bool lost = enough && check.acked * kLostBelowOneIn < check.asked;
  // Neither the zone nor the controls answer: the fault may be on this side,
  // and the next failure is a new try.
  if (lost && check.controls_acked == 0) {
    state.next_check = now;
    return;
  }
  if (lost && now >= state.hold_down_until) {
    SetZone(zone, true, state.sequence + 1, now);
    return;
  }
  for (const state::NodeId node : check.failed)
    Suspect(node, now);
}

void Membership::CheckOwnZone(Instant now) {
  const ZoneState& state = Zone(own_zone_);
  if ((!state.lost && !own_zone_claim_) || isolated_)
    return;
  if (state.check.number == 0 && now >= state.next_check)
    StartZoneCheck(own_zone_, now);
}

void Membership::ApplyZone(const ZoneRecord& record, Instant now) {
  auto number = table_.zones().Find(record.zone);
  if (!number && table_.zones().size() < options_.max_zones)
    number = table_.zones().Intern(record.zone);
  if (!number)
    return;
  const ZoneState& state = Zone(*number);
  const bool newer =
      record.sequence > state.sequence ||
      (record.sequence == state.sequence && record.lost && !state.lost);
  if (!newer)
    return;
  if (*number != own_zone_ || !record.lost) {
    SetZone(*number, record.lost, record.sequence, now);
    return;
  }
  // Others say that the own zone is lost: believed only after a look at it.
  own_zone_claim_ = std::max(record.sequence, own_zone_claim_.value_or(0));
  // The nodes of the zone don't look all at once; the first that does spares
  // the others.
  Zone(own_zone_).next_check = now + Jitter(options_.zone_claim_delay);
}

void Membership::SetZone(std::uint16_t zone,
                         bool lost,
                         std::uint32_t sequence,
                         Instant now) {
  ZoneState& state = Zone(zone);
  const bool changed = state.lost != lost;
  state.lost = lost;
  state.sequence = sequence;
  state.transmissions_left = MaxTransmissions();
  state.check = {};
  if (zone == own_zone_)
    own_zone_claim_.reset();
  if (!lost)
    state.hold_down_until = now + options_.zone_hold_down;
  RequestPush(true, now);
  if (!changed)
    return;
  // The zone record replaces suspicions of single nodes.
  for (Slot slot = 0; slot < table_.slot_count(); ++slot) {
    if (!table_.IsUsed(slot) || table_.zone(slot) != zone)
      continue;
    table_.set_marked(slot, table_.node(slot) == own_.node);
    if (!lost || table_.liveness(slot) != Liveness::kSuspect)
      continue;
    table_.set_liveness(slot, Liveness::kAlive);
    TrackLiveness(slot, now);
  }
  if (lost) {
    std::erase_if(updates_, [&](const Update& update) {
      const auto slot = table_.Find(update.node);
      return slot && table_.zone(*slot) == zone &&
             table_.liveness(*slot) == Liveness::kAlive;
    });
  }
  Emit(lost ? MembershipEvent::Kind::kZoneLost
            : MembershipEvent::Kind::kZoneRecovered,
       table_.zones().At(zone));
  UpdateRegions();
}

void Membership::SetRegions(
    std::map<std::string, std::string, std::less<>> region_of) {
  region_of_ = std::move(region_of);
  UpdateRegions();
}

void Membership::UpdateRegions() {
  std::map<std::string, bool, std::less<>> all_lost;
  for (const auto& [zone, region] : region_of_) {
    const auto number = table_.zones().Find(zone);
    if (!number)
      continue;
    const bool lost = IsZoneLost(*number);
    const auto [entry, added] = all_lost.emplace(region, lost);
    if (!added)
      entry->second = entry->second && lost;
  }
  for (const auto& [region, lost] : all_lost) {
    if (lost && unreachable_regions_.insert(region).second)
      Emit(MembershipEvent::Kind::kRegionUnreachable, region);
    if (!lost && unreachable_regions_.erase(region) > 0)
      Emit(MembershipEvent::Kind::kRegionReachable, region);
  }
}

// --- Sending ---------------------------------------------------------------

GossipMessage Membership::MakeMessage(GossipKind kind,
                                      std::uint64_t token) const {
  GossipMessage message;
  message.kind = kind;
  message.token = token;
  message.from = own_;
  message.configuration_version = configuration_version_;
  message.configuration_digest = configuration_digest_;
  return message;
}

std::optional<NodeRecord> Membership::AccusationOf(state::NodeId node) const {
  const auto slot = table_.Find(node);
  if (!slot || table_.liveness(*slot) == Liveness::kAlive)
    return std::nullopt;
  return table_.Get(*slot);
}

void Membership::RefillBudget(Instant now) {
  const std::chrono::duration<double> passed = now - refilled_;
  refilled_ = now;
  tokens_ = std::min(options_.burst_bytes,
                     tokens_ + passed.count() * options_.bytes_per_second);
  essential_tokens_ = std::min(
      options_.essential_burst_bytes,
      essential_tokens_ + passed.count() * options_.essential_bytes_per_second);
}

bool Membership::Send(const state::Endpoint& to,
                      GossipMessage message,
                      const SendOptions& options,
                      Instant now) {
  RefillBudget(now);
  if (options.first_update)
    message.updates.push_back(*options.first_update);
  std::size_t bytes = EncodedBytesBound(message) + kDatagramHeaderBytes;
  const bool within_budget = tokens_ >= static_cast<double>(bytes);
  if (!within_budget &&
      (!options.essential || essential_tokens_ < static_cast<double>(bytes))) {
    ++counters_.over_budget;
    return false;
  }
  if (within_budget && !options.bare) {
    const std::size_t limit = std::min(kMaxDatagramBytes + kDatagramHeaderBytes,
                                       static_cast<std::size_t>(tokens_));
    AddZones(&message, limit, &bytes);
    AddUpdates(&message, options.only_urgent, limit, &bytes);
  }
  (within_budget ? tokens_ : essential_tokens_) -= static_cast<double>(bytes);
  ++counters_.datagrams_sent;
  counters_.bytes_sent += bytes;
  outgoing_.push_back({to, std::move(message)});
  return true;
}

void Membership::AddZones(GossipMessage* message,
                          std::size_t limit,
                          std::size_t* bytes) {
  for (std::size_t number = 0; number < zones_.size(); ++number) {
    ZoneState& state = zones_[number];
    if (state.transmissions_left == 0)
      continue;
    const ZoneRecord record = RecordOfZone(static_cast<std::uint16_t>(number));
    const std::size_t added = EncodedBytesBound(record);
    if (*bytes + added > limit)
      return;
    --state.transmissions_left;
    if (std::find(message->zones.begin(), message->zones.end(), record) !=
        message->zones.end())
      continue;
    message->zones.push_back(record);
    *bytes += added;
  }
}

bool Membership::IsUrgent(const Update& update) const {
  return update.transmissions < update.push_rounds * options_.push_fanout;
}

void Membership::AddUpdates(GossipMessage* message,
                            bool only_urgent,
                            std::size_t limit,
                            std::size_t* bytes) {
  const auto middle =
      updates_.begin() + static_cast<std::ptrdiff_t>(
                             std::min(updates_.size(), kMaxUpdatesPerDatagram));
  std::partial_sort(updates_.begin(), middle, updates_.end(),
                    [this](const Update& a, const Update& b) {
                      return std::pair(!IsUrgent(a), a.transmissions) <
                             std::pair(!IsUrgent(b), b.transmissions);
                    });
  for (auto update = updates_.begin(); update != middle; ++update) {
    if (only_urgent && !IsUrgent(*update))
      break;
    const auto slot = table_.Find(update->node);
    if (!slot || update->node == message->from.node)
      continue;
    NodeRecord record = table_.Get(*slot);
    const std::size_t added = EncodedBytesBound(record) + kVtableBytes;
    if (*bytes + added > limit)
      break;
    *bytes += added;
    ++update->transmissions;
    message->updates.push_back(std::move(record));
  }
  const std::uint32_t max = MaxTransmissions();
  std::erase_if(updates_, [max](const Update& update) {
    return update.transmissions >= max;
  });
}

void Membership::Enqueue(state::NodeId node,
                         std::uint8_t push_rounds,
                         Instant now) {
  if (push_rounds > 0)
    RequestPush(push_rounds > 1, now);
  const auto found = std::find_if(
      updates_.begin(), updates_.end(),
      [node](const Update& update) { return update.node == node; });
  if (found != updates_.end()) {
    *found = {node, 0, push_rounds};
    return;
  }
  if (updates_.size() < options_.max_queued_updates) {
    updates_.push_back({node, 0, push_rounds});
    return;
  }
  const auto most = std::max_element(updates_.begin(), updates_.end(),
                                     [](const Update& a, const Update& b) {
                                       return a.transmissions < b.transmissions;
                                     });
  *most = {node, 0, push_rounds};
}

void Membership::RequestPush(bool repeat, Instant now) {
  if (!next_push_)
    next_push_ = std::max(now, last_push_ + options_.push_spacing);
  if (repeat && !repeated_push_)
    repeated_push_ = now + options_.push_repeat;
}

void Membership::SendPushes(Instant now) {
  const bool due = next_push_ && *next_push_ <= now;
  const bool repeat_due = repeated_push_ && *repeated_push_ <= now;
  if (!due && !repeat_due)
    return;
  if (due)
    next_push_.reset();
  if (repeat_due)
    repeated_push_.reset();
  last_push_ = now;
  SendOptions options;
  options.only_urgent = true;
  for (std::size_t i = 0; i < options_.push_fanout; ++i) {
    if (const auto slot = RandomLiveSlot())
      Send(table_.gossip(*slot), MakeMessage(GossipKind::kPush, 0), options,
           now);
  }
}

// More young updates than probes and acks can carry: uses what the budget has
// to spare. After log2(n) sends by each of n nodes, less than one node on
// average has missed an update.
void Membership::RelieveBacklog(Instant now) {
  const double young = Doublings();
  const auto waiting = static_cast<std::size_t>(std::count_if(
      updates_.begin(), updates_.end(),
      [young](const Update& update) { return update.transmissions < young; }));
  if (waiting < options_.backlog || tokens_ < options_.burst_bytes / 2)
    return;
  if (const auto slot = RandomLiveSlot())
    Send(table_.gossip(*slot), MakeMessage(GossipKind::kPush, 0), {}, now);
}

// --- Limits and queries ----------------------------------------------------

double Membership::Doublings() const {
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
                std::max(kMinDoublings, Doublings())));
}

Duration Membership::SuspectTime() const {
  const double time =
      static_cast<double>(options_.suspect_time_per_doubling.count()) *
      Doublings();
  return std::max(options_.min_suspect_time,
                  Duration(static_cast<std::int64_t>(time)));
}

bool Membership::IsLiveSlot(Slot slot) const {
  return table_.liveness(slot) != Liveness::kDead &&
         (!IsZoneLost(table_.zone(slot)) || table_.marked(slot));
}

std::optional<Membership::Slot> Membership::RandomLiveSlot() {
  for (int i = 0; i < kMaxPicks; ++i) {
    const auto slot = static_cast<Slot>(random_() % table_.slot_count());
    if (table_.IsUsed(slot) && table_.node(slot) != own_.node &&
        IsLiveSlot(slot))
      return slot;
  }
  return std::nullopt;
}

std::optional<Membership::Slot> Membership::RandomLiveSlotOutside(
    std::uint16_t zone) {
  for (int i = 0; i < kMaxPicks; ++i) {
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
