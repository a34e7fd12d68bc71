/// \file
/// The contents of datagrams, the queue of updates, pushes and the byte budget.
#include "sesamespread/coordination/membership.h"

#include <algorithm>
#include <utility>

namespace sesamespread::coordination {
namespace {

using state::Instant;
using state::Liveness;
using state::NodeRecord;

// Upper bound; about 8 records of usual length fit into a datagram.
constexpr std::size_t kMaxUpdatesPerDatagram = 16;

// Size of the FlatBuffers vtable that a record may add to the message.
constexpr std::size_t kVtableBytes = 28;

}  // namespace

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

std::optional<NodeRecord> Membership::SuspectOrDeadRecordOf(
    state::NodeId node) const {
  const auto slot = table_.Find(node);
  if (!slot || table_.liveness(*slot) == Liveness::kAlive)
    return std::nullopt;
  return table_.Get(*slot);
}

void Membership::RefillBudget(Instant now) {
  const std::chrono::duration<double> passed = now - refilled_;
  refilled_ = now;
  budget_bytes_ =
      std::min(options_.burst_bytes,
               budget_bytes_ + passed.count() * options_.bytes_per_second);
  essential_budget_bytes_ =
      std::min(options_.essential_burst_bytes,
               essential_budget_bytes_ +
                   passed.count() * options_.essential_bytes_per_second);
}

bool Membership::Send(const state::Endpoint& to,
                      GossipMessage message,
                      const SendOptions& options,
                      Instant now) {
  RefillBudget(now);
  if (options.first_update)
    message.updates.push_back(*options.first_update);
  std::size_t bytes = EncodedBytesBound(message) + kDatagramHeaderBytes;
  const bool within_budget = budget_bytes_ >= static_cast<double>(bytes);
  if (!within_budget &&
      (!options.essential ||
       essential_budget_bytes_ < static_cast<double>(bytes))) {
    ++counters_.over_budget;
    return false;
  }
  if (within_budget && !options.bare) {
    const std::size_t limit = std::min(kMaxDatagramBytes + kDatagramHeaderBytes,
                                       static_cast<std::size_t>(budget_bytes_));
    AddZones(&message, limit, &bytes);
    AddUpdates(&message, options.only_urgent, limit, &bytes);
  }
  (within_budget ? budget_bytes_ : essential_budget_bytes_) -=
      static_cast<double>(bytes);
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
  const auto most_sent = std::max_element(
      updates_.begin(), updates_.end(), [](const Update& a, const Update& b) {
        return a.transmissions < b.transmissions;
      });
  *most_sent = {node, 0, push_rounds};
}

void Membership::RequestPush(bool repeat, Instant now) {
  if (!next_push_)
    next_push_ = std::max(now, last_push_ + options_.min_push_interval);
  if (repeat && !repeated_push_)
    repeated_push_ = now + options_.push_repeat_delay;
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

// Sends an additional datagram if more updates are queued than probes and acks
// can carry and half of the burst budget is unused. Counts only updates sent
// less than log2(n) times: after log2(n) sends by each of n nodes, less than
// one node on average has missed an update.
void Membership::SendBacklog(Instant now) {
  const double min_transmissions = Log2Members();
  const auto backlog_size = static_cast<std::size_t>(
      std::count_if(updates_.begin(), updates_.end(),
                    [min_transmissions](const Update& update) {
                      return update.transmissions < min_transmissions;
                    }));
  if (backlog_size < options_.backlog_threshold ||
      budget_bytes_ < options_.burst_bytes / 2)
    return;
  if (const auto slot = RandomLiveSlot())
    Send(table_.gossip(*slot), MakeMessage(GossipKind::kPush, 0), {}, now);
}

}  // namespace sesamespread::coordination
