/// \file
/// Direct and indirect probes of nodes, contact with seeds, and pulls of
/// records.
#include "sesamespread/coordination/membership.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using state::Liveness;

// The cluster is still growing if the table has grown by more than one in this
// many records since the last pull.
constexpr std::size_t kLargeGrowthDivisor = 1000;
// Up to this size, pulls are cheap and the first ones are made in any case.
constexpr std::size_t kSmallClusterSize = 1000;
constexpr std::uint32_t kMinStartPulls = 4;

}  // namespace

void Membership::ProbeNext(Instant now) {
  if (now < next_probe_)
    return;
  next_probe_ = now + options_.probe_interval;
  // At most one round, because there may be no node to probe.
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
    PendingProbe pending;
    pending.node = table_.node(slot);
    SendProbe(std::move(pending), table_.gossip(slot), now);
    return;
  }
}

// Two sides of a partition that have declared each other dead must rejoin when
// it heals. All nodes together probe each dead one about once in
// dead_probe_interval. If each node did so, a host that restarts would receive
// the probes of all nodes at once.
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

// Nodes that start together may discover each other before they reach their
// seeds, and form separate clusters. Therefore each node contacts seeds as long
// as it runs, though rarely in a large cluster, so that separate clusters
// merge.
void Membership::DeferSeedContact(Instant now) {
  const auto members = static_cast<std::int64_t>(table_.size());
  next_seed_contact_ =
      now + Jitter(options_.seed_interval_per_member * members);
}

// Contacts one seed at a time with an increasing interval, because all nodes of
// a zone that restarts contact the same seeds.
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
  // Many new nodes since the last pull mean that the cluster is starting and
  // that the pulled records were incomplete. In a small cluster further pulls
  // are made in any case, because they are cheap.
  const bool cluster_growing =
      table_.size() > pulled_size_ + pulled_size_ / kLargeGrowthDivisor ||
      (table_.size() <= kSmallClusterSize && pulls_ < kMinStartPulls);
  const bool due = cluster_growing || pulls_ > 1;
  const Duration interval = cluster_growing ? options_.second_pull_delay
                                            : options_.records_pull_interval;
  // Random, to spread the pulls of nodes that started together.
  next_records_pull_ = now + interval / 2 + Jitter(interval);
  const auto slot = RandomLiveSlot();
  if (slot && due)
    Emit(MembershipEvent::Kind::kPullRecords, *slot);
}

void Membership::OnRecordsPullFailed(Instant now) {
  DetectPause(now);
  next_records_pull_ = now + options_.probe_interval;
}

void Membership::HandleTimeout(std::uint64_t token, Instant now) {
  const auto found = pending_probes_.find(token);
  if (found == pending_probes_.end())
    return;
  PendingProbe pending = found->second;
  pending_probes_.erase(found);
  switch (pending.kind) {
    case PendingProbe::Kind::kDirect: {
      const auto slot = table_.Find(pending.node);
      // Nodes of a lost zone are not suspected individually.
      if (!slot || IsZoneLost(table_.zone(*slot))) {
        HandleFailure(pending, now);
        return;
      }
      SendIndirectProbes(token, pending, now);
      return;
    }
    case PendingProbe::Kind::kIndirect:
      HandleFailure(pending, now);
      return;
    case PendingProbe::Kind::kZoneSample:
    case PendingProbe::Kind::kZoneControl:
      CloseZoneProbe(pending, false, now);
      return;
    case PendingProbe::Kind::kRelay:
      return;
  }
}

void Membership::SendIndirectProbes(std::uint64_t token,
                                    const PendingProbe& pending,
                                    Instant now) {
  const auto target = table_.Find(pending.node);
  if (!target)
    return;
  GossipMessage message = MakeMessage(GossipKind::kIndirectProbe, token);
  message.target = table_.Get(*target);
  const std::uint16_t zone = table_.zone(*target);
  std::vector<Slot> relays;
  for (std::size_t i = 0; i < options_.indirect_probes; ++i) {
    // Nodes of other zones reach the target by other network paths.
    auto relay = RandomLiveSlotOutside(zone);
    if (!relay)
      relay = RandomLiveSlot();
    if (!relay || *relay == *target ||
        std::find(relays.begin(), relays.end(), *relay) != relays.end())
      continue;
    relays.push_back(*relay);
    SendOptions options;
    options.essential = true;
    Send(table_.gossip(*relay), message, options, now);
  }
  PendingProbe indirect = pending;
  indirect.kind = PendingProbe::Kind::kIndirect;
  // Two round trips: to the relay, and from there to the target.
  indirect.deadline = now + 2 * options_.ack_timeout;
  pending_probes_.emplace(token, std::move(indirect));
}

void Membership::HandleFailure(const PendingProbe& pending, Instant now) {
  const auto slot = table_.Find(pending.node);
  if (!slot)
    return;
  const std::uint16_t zone = table_.zone(*slot);
  if (IsZoneLost(zone)) {
    if (table_.exempt_from_zone_loss(*slot)) {
      table_.set_exempt_from_zone_loss(*slot, false);
      Emit(MembershipEvent::Kind::kRecordChanged, *slot);
    }
    return;
  }
  if (table_.liveness(*slot) != Liveness::kAlive)
    return;
  // If no datagram was received since the probe was sent, the fault may be on
  // this side.
  if (isolated_ || last_received_ < pending.sent || !HasRecentTraffic(now))
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
  if (pending_probes_.size() >= options_.max_pending_probes)
    return;
  PendingProbe pending;
  pending.kind = PendingProbe::Kind::kRelay;
  pending.node = message.target.node;
  pending.requester = message.from.gossip;
  pending.requester_token = message.token;
  SendProbe(std::move(pending), message.target.gossip, now);
}

bool Membership::SendProbe(PendingProbe pending,
                           const state::Endpoint& to,
                           Instant now) {
  const bool bare = pending.kind == PendingProbe::Kind::kZoneSample ||
                    pending.kind == PendingProbe::Kind::kZoneControl;
  RefillBudget(now);
  // Requests a bare ack if more was received than the budget allows.
  const std::uint64_t token = NewToken(bare || budget_bytes_ < 0);
  GossipMessage message = MakeMessage(GossipKind::kProbe, token);
  SendOptions options;
  options.essential = true;
  options.bare = bare;
  options.first_update = SuspectOrDeadRecordOf(pending.node);
  const auto slot = table_.Find(pending.node);
  // A node whose zone is lost here must receive the zone record to refute it.
  if (slot && IsZoneLost(table_.zone(*slot)))
    message.zones.push_back(RecordOfZone(table_.zone(*slot)));
  if (!Send(to, std::move(message), options, now))
    return false;
  pending.sent = now;
  pending.deadline = now + options_.ack_timeout;
  pending_probes_.emplace(token, std::move(pending));
  return true;
}

}  // namespace sesamespread::coordination
