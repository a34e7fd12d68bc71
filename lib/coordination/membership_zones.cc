/// \file
/// Detection of the loss and the recovery of whole zones and regions.
#include "sesamespread/coordination/membership.h"

#include <algorithm>
#include <utility>

namespace sesamespread::coordination {
namespace {

using state::Instant;
using state::Liveness;

// A zone is lost if less than 1/kLostBelowOneIn of its sample acked; a lost
// zone has recovered if at least 1/kRecoveredFromOneIn acked.
constexpr std::uint32_t kLostBelowOneIn = 4;
constexpr std::uint32_t kRecoveredFromOneIn = 2;

}  // namespace

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
  // Prevents the check from finishing before all probes are sent.
  check.outstanding = 1;
  for (const Slot slot : SampleZone(zone))
    SendZoneProbe(slot, PendingProbe::Kind::kZoneSample, zone, now);
  // One control node is in the own zone, which stays reachable in a partition
  // between regions.
  const auto own =
      zone == own_zone_ ? std::nullopt : RandomLiveSlotIn(own_zone_);
  if (own)
    SendZoneProbe(*own, PendingProbe::Kind::kZoneControl, zone, now);
  for (std::size_t i = own ? 1 : 0; i < options_.zone_controls; ++i) {
    if (const auto slot = RandomLiveSlotOutside(zone))
      SendZoneProbe(*slot, PendingProbe::Kind::kZoneControl, zone, now);
  }
  if (--Zone(zone).check.outstanding == 0)
    FinishZoneCheck(zone, now);
}

void Membership::SendZoneProbe(Slot slot,
                               PendingProbe::Kind kind,
                               std::uint16_t zone,
                               Instant now) {
  PendingProbe pending;
  pending.kind = kind;
  pending.node = table_.node(slot);
  pending.zone = zone;
  pending.check = Zone(zone).check.number;
  ZoneCheck& check = Zone(zone).check;
  if (!SendProbe(std::move(pending), table_.gossip(slot), now)) {
    check.budget_exhausted = true;
    return;
  }
  ++check.outstanding;
  if (kind == PendingProbe::Kind::kZoneSample)
    ++check.probed;
}

void Membership::CloseZoneProbe(const PendingProbe& pending,
                                bool acked,
                                Instant now) {
  ZoneCheck& check = Zone(pending.zone).check;
  if (check.number != pending.check)
    return;
  if (acked && pending.kind == PendingProbe::Kind::kZoneSample)
    ++check.acked;
  if (acked && pending.kind == PendingProbe::Kind::kZoneControl)
    ++check.controls_acked;
  if (--check.outstanding == 0)
    FinishZoneCheck(pending.zone, now);
}

void Membership::FinishZoneCheck(std::uint16_t zone, Instant now) {
  ZoneState& state = Zone(zone);
  const ZoneCheck check = std::exchange(state.check, {});
  state.next_check = now + options_.zone_check_interval;
  const bool sample_sufficient = check.probed >= options_.min_zone_sample;
  const bool recovered = check.acked * kRecoveredFromOneIn >= check.probed;
  // The byte budget was exhausted. The next failed probe starts a new check; a
  // check of the own zone is repeated after probe_interval.
  if (check.budget_exhausted && !sample_sufficient) {
    const bool repeat_check = state.lost || reported_own_zone_loss_;
    state.next_check = repeat_check ? now + options_.probe_interval : now;
    return;
  }
  if (zone == own_zone_ && reported_own_zone_loss_) {
    const std::uint32_t reported_sequence =
        *std::exchange(reported_own_zone_loss_, std::nullopt);
    // A zone that is too small to be sampled is not lost, because this node is
    // alive.
    if (!sample_sufficient || recovered)
      SetZone(zone, false, reported_sequence + 1, now);
    else
      SetZone(zone, true, reported_sequence, now);
    return;
  }
  if (state.lost) {
    if (sample_sufficient && recovered)
      SetZone(zone, false, state.sequence + 1, now);
    return;
  }
  const bool lost =
      sample_sufficient && check.acked * kLostBelowOneIn < check.probed;
  // Neither the zone nor the control nodes acked, so the fault may be on this
  // side. The next failed probe starts a new check.
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
  if ((!state.lost && !reported_own_zone_loss_) || isolated_)
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
  // Others report the own zone lost: accepted only after a check of the zone.
  reported_own_zone_loss_ =
      std::max(record.sequence, reported_own_zone_loss_.value_or(0));
  // Random, so that the nodes of the zone do not check it all at once; the zone
  // record of the first check ends those of the others.
  Zone(own_zone_).next_check = now + Jitter(options_.zone_loss_check_delay);
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
    reported_own_zone_loss_.reset();
  if (!lost)
    state.hold_down_until = now + options_.zone_hold_down;
  RequestPush(true, now);
  if (!changed)
    return;
  // The zone record replaces suspicions of individual nodes.
  for (Slot slot = 0; slot < table_.slot_count(); ++slot) {
    if (!table_.IsUsed(slot) || table_.zone(slot) != zone)
      continue;
    table_.set_exempt_from_zone_loss(slot, table_.node(slot) == own_.node);
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

}  // namespace sesamespread::coordination
