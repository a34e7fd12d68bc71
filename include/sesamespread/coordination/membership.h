/// \file
/// Membership by gossip: which nodes exist, what their backend servers do, and
/// which zones are lost. Pure logic; the caller sends the datagrams.
#ifndef SESAMESPREAD_COORDINATION_MEMBERSHIP_H_
#define SESAMESPREAD_COORDINATION_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/gossip.h"
#include "sesamespread/coordination/node_table.h"
#include "sesamespread/state/ids.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// An incarnation whose order is known: milliseconds since 1970 in the upper 42
/// bits, \p random in the lower 22. Only incarnations of the same node are
/// compared, so only one host's clock has to go forward between two starts. If
/// it did not, kSuperseded tells the node, which then takes an incarnation from
/// IncarnationAfter.
state::Incarnation MakeIncarnation(state::WallTime start, std::uint64_t random);

/// An incarnation that is newer than \p seen.
state::Incarnation IncarnationAfter(state::Incarnation seen,
                                    std::uint64_t random);

/// True if \p a replaces \p b, a record of the same node: a newer incarnation,
/// then a higher sequence, then dead before suspect before alive.
bool IsNewer(const state::NodeRecord& a, const state::NodeRecord& b);

/// Limits and timers of Membership.
struct MembershipOptions {
  state::Duration probe_interval = std::chrono::seconds(1);
  /// Longest mean time between contacts of a seed.
  state::Duration max_seed_interval = std::chrono::seconds(8);
  /// Longest time to the next contact of a seed once joined, for each member:
  /// all seeds together get 4 contacts a second at any size.
  state::Duration seed_interval_per_member = std::chrono::milliseconds(500);
  /// Above the round trip between the farthest regions (about 300 ms).
  state::Duration ack_timeout = std::chrono::milliseconds(500);
  std::size_t indirect_probes = 3;
  /// Time to refute a suspicion: this for each doubling of the member count,
  /// since both the suspicion and its refutation travel by gossip.
  state::Duration suspect_time_per_doubling = std::chrono::milliseconds(800);
  state::Duration min_suspect_time = std::chrono::seconds(4);
  /// A dead record is forgotten after this time. It is above the time between
  /// two pulls of all records, so that a stale copy can't revive it.
  state::Duration dead_retention = std::chrono::minutes(90);
  /// Without a datagram for this long, or without an ack for evidence_time,
  /// failed probes say nothing of others.
  state::Duration quiet_time = std::chrono::seconds(2);
  state::Duration evidence_time = std::chrono::seconds(6);
  /// Nothing heard for this long: isolated.
  state::Duration isolation_time = std::chrono::seconds(5);
  /// A longer time between two calls means that this process was paused.
  state::Duration pause_threshold = std::chrono::milliseconds(1500);
  /// Between probes of a node found dead by any other one, so that two sides of
  /// a healed partition find each other again.
  state::Duration dead_probe_interval = std::chrono::seconds(5);
  /// Mean time until another pull if the table has grown much since the first,
  /// as when all nodes start together.
  state::Duration second_pull_after = std::chrono::seconds(5);
  /// Mean time between further pulls of all records, to repair what gossip has
  /// missed.
  state::Duration records_pull_interval = std::chrono::hours(1);
  /// An update is sent at most this often per doubling of the member count.
  double transmissions_per_doubling = 3.0;
  /// Urgent updates and new configuration versions go to this many random nodes
  /// at once, twice if they must be known everywhere within 3 s. Two rounds of
  /// 3 miss 0.25 % of the nodes (e^-6), which the probes of the next seconds
  /// reach.
  std::size_t push_fanout = 3;
  state::Duration push_repeat = std::chrono::milliseconds(400);
  /// Between two pushes, so that updates that arrive together share one.
  state::Duration push_spacing = std::chrono::milliseconds(100);
  /// Nodes of a zone that are probed when one of them fails.
  std::size_t zone_sample = 8;
  /// A smaller sample says nothing of a zone.
  std::size_t min_zone_sample = 3;
  /// Nodes of other zones that are probed together with the sample; if none
  /// answers, the fault is on this side and the sample counts for nothing.
  std::size_t zone_controls = 3;
  /// No new loss of a zone is reported for this long after its recovery.
  state::Duration zone_hold_down = std::chrono::seconds(15);
  /// A node looks at its own zone at a random time up to this after others
  /// reported it lost.
  state::Duration zone_claim_delay = std::chrono::seconds(2);
  /// Between two checks of a zone by one node.
  state::Duration zone_check_interval = std::chrono::seconds(5);
  /// Budget of bytes sent and received, headers included, and of probes and
  /// acks without updates, which is used when the first is spent, so that load
  /// does not make a node look dead. On average a node receives as many
  /// essential bytes as it sends, so that all of it adds up to 18 KB in any
  /// second and to 12.5 KB/s for longer.
  double bytes_per_second = 7'500;
  double burst_bytes = 2'500;
  double essential_bytes_per_second = 2'500;
  double essential_burst_bytes = 1'500;
  /// This many updates that have been sent less than log2(n) times are a
  /// backlog.
  std::size_t backlog = 24;
  std::size_t max_queued_updates = 512;
  /// Relayed probes included.
  std::size_t max_pending = 256;
  std::size_t max_zones = 1024;
  std::size_t max_members = 60'000;
};

/// A datagram to send.
struct OutgoingGossip {
  state::Endpoint to;
  GossipMessage message;
};

/// What happened, in order.
struct MembershipEvent {
  enum class Kind : std::uint8_t {
    /// `record` is new or has changed.
    kRecordChanged,
    /// `record` has been forgotten.
    kRecordRemoved,
    /// Most nodes of `zone` are lost; those nodes are no longer live.
    kZoneLost,
    kZoneRecovered,
    /// All zones of the region named by `zone` are lost, as in a partition.
    kRegionUnreachable,
    kRegionReachable,
    kIsolated,
    kNotIsolated,
    /// `record` shows a configuration with `version` and `digest` that is newer
    /// than ours, or has our version with another digest.
    kNewerConfiguration,
    /// All records should be pulled from `record` over TCP; see
    /// Membership::ApplyRecords.
    kPullRecords,
    /// A newer incarnation of this node exists (`record`): the host's clock
    /// went backwards, or another process has this node's name.
    kSuperseded,
  };

  Kind kind = Kind::kRecordChanged;
  state::NodeRecord record;
  std::string zone;
  state::ConfigurationVersion version = 0;
  std::uint64_t digest = 0;
};

/// Counters since the start.
struct MembershipCounters {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t bytes_received = 0;
  /// Datagrams not sent because the byte budget was used up.
  std::uint64_t over_budget = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  /// Times that this process found that it had been paused.
  std::uint64_t pauses = 0;
  /// Records refused: malformed, or above max_members.
  std::uint64_t refused = 0;
};

/// The membership as one node sees it. Not thread-safe; all calls are made by
/// the control thread, with a `now` that never goes backwards. After each call,
/// TakeDatagrams and TakeEvents return what has to be done.
class Membership {
 public:
  /// \p own is this node's record; liveness and sequence are set here.
  /// \p seeds are gossip endpoints of other nodes.
  /// \throws std::invalid_argument if \p own has no name or an address that is
  /// not numeric.
  Membership(state::NodeRecord own,
             std::vector<state::Endpoint> seeds,
             const MembershipOptions& options,
             std::mt19937_64 random,
             state::Instant now);

  /// To be called every 100 ms.
  void Tick(state::Instant now);

  /// \p bytes is the size of the datagram without headers.
  void Receive(const GossipMessage& message,
               std::size_t bytes,
               state::Instant now);

  /// Applies records pulled over TCP. Those of the first pull of a large
  /// cluster are not spread further, since the others know them. Events should
  /// be taken after each part, since each new record makes one.
  void ApplyRecords(const std::vector<state::NodeRecord>& records,
                    state::Instant now);

  /// The pull asked for by kPullRecords failed; another node is named soon.
  void OnRecordsPullFailed(state::Instant now);

  /// Changes the own record after the backend server announced itself, started,
  /// serves, leaves or is absent. Leaving is pushed at once.
  void SetBackend(std::string_view service,
                  state::BackendState backend_state,
                  state::Instant now);

  /// Tells the others that this process ends, so that nobody has to suspect it.
  void AnnounceDeparture(state::Instant now);

  /// The configuration in force here, shown in each datagram; a higher version
  /// is pushed at once.
  void SetConfiguration(state::ConfigurationVersion version,
                        std::uint64_t digest,
                        state::Instant now);

  /// Region of each zone; needed only for kRegionUnreachable.
  void SetRegions(std::map<std::string, std::string, std::less<>> region_of);

  std::vector<OutgoingGossip> TakeDatagrams();
  std::vector<MembershipEvent> TakeEvents();

  const state::NodeRecord& own() const { return own_; }
  bool isolated() const { return isolated_; }
  /// Records known, the own one included.
  std::size_t size() const { return table_.size(); }
  std::optional<state::NodeRecord> Find(state::NodeId node) const;

  /// True if \p node is alive or suspect and its zone is not lost, or if it has
  /// been heard since the loss of its zone.
  bool IsLive(state::NodeId node) const;
  bool IsZoneLost(std::string_view zone) const;
  bool IsRegionUnreachable(std::string_view region) const;

  /// Calls \p visit with each record and whether it is live.
  void ForEach(
      const std::function<void(const state::NodeRecord&, bool)>& visit) const;

  /// Live nodes of \p zone, in no particular order.
  std::vector<state::NodeId> LiveNodesIn(std::string_view zone) const;

  /// Live nodes whose backend server belongs to \p service.
  std::vector<state::NodeRecord> ServersOf(std::string_view service) const;

  /// Answers NodeRecordsPull: up to \p max_bytes of records that are not dead,
  /// from position \p from_index of this node's table. *next_index equals
  /// *total at the end.
  std::vector<state::NodeRecord> RecordsFrom(std::uint32_t from_index,
                                             std::size_t max_bytes,
                                             std::uint32_t* next_index,
                                             std::uint32_t* total) const;

  const MembershipCounters& counters() const { return counters_; }

 private:
  using Slot = NodeTable::Slot;

  // A datagram that waits for its ack.
  struct Pending {
    enum class Kind : std::uint8_t {
      kDirect,
      kIndirect,
      // One of the sample of a zone, or one of the controls in other zones.
      kZoneSample,
      kZoneControl,
      // A probe on behalf of `asker`.
      kRelay,
    };
    Kind kind = Kind::kDirect;
    state::NodeId node = 0;
    state::Instant sent{};
    state::Instant deadline{};
    // Of the check that a sample or control belongs to.
    std::uint16_t zone = 0;
    std::uint64_t check = 0;
    state::Endpoint asker;
    std::uint64_t asker_token = 0;
  };

  // A sample of a zone's nodes, taken after one of them failed, or to find out
  // whether the own zone has recovered.
  struct ZoneCheck {
    // 0 if there is none; otherwise its number, so that late acks of an earlier
    // check are not counted.
    std::uint64_t number = 0;
    std::uint32_t asked = 0;
    std::uint32_t acked = 0;
    std::uint32_t controls_acked = 0;
    // A probe was above the byte budget.
    bool refused = false;
    // Sampled nodes and controls that have neither acked nor timed out.
    std::uint32_t open = 0;
    // Nodes whose suspicion waits for the result.
    std::vector<state::NodeId> failed;
  };

  struct ZoneState {
    bool lost = false;
    std::uint32_t sequence = 0;
    // Times that the record may still be sent since it changed.
    std::uint32_t transmissions_left = 0;
    state::Instant hold_down_until{};
    state::Instant next_check{};
    ZoneCheck check;
  };

  struct Suspicion {
    // When the node is declared dead.
    state::Instant deadline{};
    // For nodes that this one suspected first.
    std::optional<state::Instant> next_probe;
  };

  struct Update {
    state::NodeId node = 0;
    std::uint32_t transmissions = 0;
    // Times that it is pushed to push_fanout nodes: 2 for what must be known
    // everywhere within 3 s, 1 for a start or a departure, otherwise 0.
    std::uint8_t push_rounds = 0;
  };

  void NoteTime(state::Instant now);
  void RestartTimers(state::Instant now);
  void ExpirePending(state::Instant now);
  void ExpireSuspects(state::Instant now);
  void ForgetDead(state::Instant now);
  void UpdateIsolation(state::Instant now);
  void ProbeNext(state::Instant now);
  void ProbeSuspects(state::Instant now);
  void ProbeDead(state::Instant now);
  void DeferSeedContact(state::Instant now);
  void ContactSeeds(state::Instant now);
  void PullRecords(state::Instant now);
  void CheckOwnZone(state::Instant now);
  void SendPushes(state::Instant now);
  void RelieveBacklog(state::Instant now);

  void HandleSender(const GossipMessage& message, state::Instant now);
  void HandleAck(const GossipMessage& message, state::Instant now);
  void HandleTimeout(std::uint64_t token, state::Instant now);
  void HandleFailure(const Pending& pending, state::Instant now);
  void RelayProbe(const GossipMessage& message, state::Instant now);
  void SendIndirectProbes(std::uint64_t token,
                          const Pending& pending,
                          state::Instant now);
  void AnswerProbe(const GossipMessage& message, state::Instant now);

  bool Apply(const state::NodeRecord& record, bool spread, state::Instant now);
  bool IsNewerThan(const state::NodeRecord& record, Slot slot) const;
  void ApplyToOwn(const state::NodeRecord& record, state::Instant now);
  void Suspect(state::NodeId node, state::Instant now);
  void TrackLiveness(Slot slot, state::Instant now);
  void OwnChanged(bool urgent, state::Instant now);
  void AddToProbeOrder(Slot slot);

  void StartZoneCheck(std::uint16_t zone, state::Instant now);
  void SendZoneProbe(Slot slot,
                     Pending::Kind kind,
                     std::uint16_t zone,
                     state::Instant now);
  void CloseZoneProbe(const Pending& pending, bool acked, state::Instant now);
  void FinishZoneCheck(std::uint16_t zone, state::Instant now);
  void ApplyZone(const ZoneRecord& record, state::Instant now);
  void SetZone(std::uint16_t zone,
               bool lost,
               std::uint32_t sequence,
               state::Instant now);
  void UpdateRegions();
  ZoneState& Zone(std::uint16_t zone);
  bool IsZoneLost(std::uint16_t zone) const;
  ZoneRecord RecordOfZone(std::uint16_t zone) const;

  // Sends a probe and remembers it in pending_. \returns false if it was not
  // sent.
  bool SendProbe(Pending pending,
                 const state::Endpoint& to,
                 state::Instant now);
  // Sends a datagram; only_urgent leaves out all but urgent updates. Essential
  // ones have a budget of their own, without updates.
  struct SendOptions {
    bool essential = false;
    bool only_urgent = false;
    // Without queued updates.
    bool bare = false;
    // Sent before all other updates.
    std::optional<state::NodeRecord> first_update;
  };
  bool Send(const state::Endpoint& to,
            GossipMessage message,
            const SendOptions& options,
            state::Instant now);
  void RefillBudget(state::Instant now);
  // Add what fits into \p limit bytes; *bytes is the bound of the message.
  void AddZones(GossipMessage* message, std::size_t limit, std::size_t* bytes);
  void AddUpdates(GossipMessage* message,
                  bool only_urgent,
                  std::size_t limit,
                  std::size_t* bytes);
  GossipMessage MakeMessage(GossipKind kind, std::uint64_t token) const;
  // The record of \p node if it is suspect or dead here, so that it can refute.
  std::optional<state::NodeRecord> AccusationOf(state::NodeId node) const;

  void Enqueue(state::NodeId node,
               std::uint8_t push_rounds,
               state::Instant now);
  bool IsUrgent(const Update& update) const;
  void RequestPush(bool repeat, state::Instant now);
  std::uint32_t MaxTransmissions() const;
  std::uint64_t NewToken(bool bare_ack);
  // A random time below \p span.
  state::Duration Jitter(state::Duration span);
  double Doublings() const;
  state::Duration SuspectTime() const;
  bool HasEvidence(state::Instant now) const;

  bool IsLiveSlot(Slot slot) const;
  std::optional<Slot> RandomLiveSlot();
  std::optional<Slot> RandomLiveSlotOutside(std::uint16_t zone);
  std::optional<Slot> RandomLiveSlotIn(std::uint16_t zone);
  std::vector<Slot> SampleZone(std::uint16_t zone);
  void Emit(MembershipEvent::Kind kind, Slot slot);
  void Emit(MembershipEvent::Kind kind, std::string zone);

  const MembershipOptions options_;
  const std::vector<state::Endpoint> seeds_;
  std::mt19937_64 random_;

  // own_ is also in table_, so that it is part of answers to pulls.
  state::NodeRecord own_;
  std::uint16_t own_zone_ = 0;
  bool departed_ = false;
  // The newest incarnation reported by kSuperseded.
  state::Incarnation superseded_by_ = 0;
  NodeTable table_;

  // By zone number; may be shorter than table_.zones().
  std::vector<ZoneState> zones_;
  std::uint64_t last_check_ = 0;
  // Sequence of a claim that the own zone is lost, while it is checked.
  std::optional<std::uint32_t> own_zone_claim_;
  std::map<std::string, std::string, std::less<>> region_of_;
  std::set<std::string, std::less<>> unreachable_regions_;

  // Slots in the order in which they are probed; reshuffled at the end. A slot
  // may have been freed since.
  std::vector<Slot> probe_order_;
  std::size_t probe_position_ = 0;
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::unordered_map<state::NodeId, Suspicion> suspects_;
  // When dead records are forgotten.
  std::unordered_map<state::NodeId, state::Instant> dead_;
  std::vector<Update> updates_;

  state::Instant next_probe_{};
  state::Instant next_dead_probe_{};
  state::Instant next_seed_contact_{};
  state::Duration seed_interval_{0};
  state::Instant next_forget_{};
  std::optional<state::Instant> next_records_pull_;
  std::optional<state::Instant> next_push_;
  std::optional<state::Instant> repeated_push_;
  state::Instant last_push_{};

  // Bytes that may be sent now. Received bytes are taken from the first, which
  // is negative after more was received than the budget allows.
  double tokens_ = 0;
  double essential_tokens_ = 0;
  state::Instant refilled_{};
  state::Instant last_call_{};
  // Of any datagram of another node.
  state::Instant last_heard_{};
  // Of an ack to an own probe, which shows that both directions work.
  state::Instant last_ack_{};
  bool isolated_ = false;
  // Size after the last pull, and pulls that were due after the first; what
  // those find has been missed by others too.
  std::size_t pulled_size_ = 0;
  std::uint32_t pulls_ = 0;
  // All records have been asked for from a node that had joined.
  bool joined_ = false;

  state::ConfigurationVersion configuration_version_ = 0;
  std::uint64_t configuration_digest_ = 0;

  std::vector<OutgoingGossip> outgoing_;
  std::vector<MembershipEvent> events_;
  MembershipCounters counters_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_MEMBERSHIP_H_
