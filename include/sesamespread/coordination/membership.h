/// \file
/// Gossip membership in the manner of SWIM: which nodes exist, the states of
/// their backend servers, and which availability zones are lost. Pure state
/// machine; the caller sends the datagrams.
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

/// An incarnation that is greater for a later start: milliseconds since 1970 in
/// the upper 42 bits, \p random in the lower 22. Only incarnations of the same
/// node are compared, so it suffices that the clock of its host goes forward
/// between two starts. If it does not, the node receives the event kSuperseded
/// and uses an incarnation from IncarnationAfter.
state::Incarnation MakeIncarnation(state::WallTime start, std::uint64_t random);

/// An incarnation greater than \p seen.
state::Incarnation IncarnationAfter(state::Incarnation seen,
                                    std::uint64_t random);

/// True if \p a replaces \p b, a record of the same node. Ordered by
/// incarnation, then sequence, then liveness, where dead replaces suspect and
/// suspect replaces alive.
bool IsNewer(const state::NodeRecord& a, const state::NodeRecord& b);

/// Limits and timers of Membership.
struct MembershipOptions {
  /// Time between two probes by one node.
  state::Duration probe_interval = std::chrono::seconds(1);
  /// Upper bound of the mean time between two contacts of a seed by a node that
  /// has not joined or is isolated.
  state::Duration max_seed_interval = std::chrono::seconds(8);
  /// Upper bound, per member, of the time between two contacts of a seed by a
  /// node that has joined. All seeds together are then contacted 4 times per
  /// second on average at any cluster size.
  state::Duration seed_interval_per_member = std::chrono::milliseconds(500);
  /// Time to wait for the ack of a direct probe. Above the round-trip time
  /// between the most distant regions (about 300 ms).
  state::Duration ack_timeout = std::chrono::milliseconds(500);
  /// Nodes that are requested to probe a node whose ack has timed out.
  std::size_t indirect_probes = 3;
  /// Time in which a suspicion can be refuted, per doubling of the member
  /// count, because the suspicion and its refutation are both spread by gossip.
  state::Duration suspicion_timeout_per_doubling =
      std::chrono::milliseconds(800);
  state::Duration min_suspicion_timeout = std::chrono::seconds(4);
  /// A dead record is removed after this time. Above the time between two pulls
  /// of all records, so that a stale copy at another node cannot add the node
  /// again as alive.
  state::Duration dead_retention = std::chrono::minutes(90);
  /// If no datagram was received for max_receive_gap, or no ack for
  /// max_ack_gap, the fault may be on this side: failed probes raise no
  /// suspicion and suspects are not declared dead.
  state::Duration max_receive_gap = std::chrono::seconds(2);
  state::Duration max_ack_gap = std::chrono::seconds(6);
  /// The node is isolated if no datagram was received for this long.
  state::Duration isolation_time = std::chrono::seconds(5);
  /// A longer time between two calls of Membership means that this process was
  /// paused.
  state::Duration pause_threshold = std::chrono::milliseconds(1500);
  /// Mean time between two probes of a dead node by all other nodes together,
  /// so that the two sides of a healed partition rejoin.
  state::Duration dead_probe_interval = std::chrono::seconds(5);
  /// Mean time until another pull of all records if the table has grown much
  /// since the previous one, as when all nodes start together.
  state::Duration second_pull_delay = std::chrono::seconds(5);
  /// Mean time between further pulls of all records, which repair updates that
  /// gossip has missed.
  state::Duration records_pull_interval = std::chrono::hours(1);
  /// Upper bound of the number of times that an update is sent, per doubling of
  /// the member count.
  double transmissions_per_doubling = 3.0;
  /// Urgent updates and new configuration versions are pushed to this many
  /// random nodes at once, in two rounds if all nodes must receive them within
  /// 3 s. Two rounds of 3 miss 0.25 % of the nodes (e^-6); the probes of the
  /// next seconds carry the updates to these.
  std::size_t push_fanout = 3;
  /// Time between the first and the second round of a push.
  state::Duration push_repeat_delay = std::chrono::milliseconds(400);
  /// Shortest time between two pushes, so that updates that arrive together
  /// share one.
  state::Duration min_push_interval = std::chrono::milliseconds(100);
  /// Nodes of a zone that are probed when a probe of one of its nodes fails.
  std::size_t zone_sample = 8;
  /// Smallest sample from which the loss of a zone is concluded.
  std::size_t min_zone_sample = 3;
  /// Control nodes: nodes of other zones that are probed together with the
  /// sample. If none acks, the fault may be on this side and the result of the
  /// check is discarded.
  std::size_t zone_controls = 3;
  /// No new loss of a zone is reported for this long after its recovery.
  state::Duration zone_hold_down = std::chrono::seconds(15);
  /// Upper bound of the random delay after which a node checks its own zone
  /// when other nodes have reported it lost.
  state::Duration zone_loss_check_delay = std::chrono::seconds(2);
  /// Shortest time between two checks of a zone by one node.
  state::Duration zone_check_interval = std::chrono::seconds(5);
  /// Token bucket of the bytes sent and received, headers included. When it is
  /// empty, the essential_ bucket is used for probes and acks without updates,
  /// so that a node under load is not suspected. On average a node receives as
  /// many essential bytes as it sends, so the sum is at most 18 KB in any
  /// second and 12.5 KB/s over longer times.
  double bytes_per_second = 7'500;
  double burst_bytes = 2'500;
  double essential_bytes_per_second = 2'500;
  double essential_burst_bytes = 1'500;
  /// Number of updates, each sent less than log2(n) times in a cluster of n
  /// nodes, from which on additional datagrams are sent.
  std::size_t backlog_threshold = 24;
  std::size_t max_queued_updates = 512;
  /// Outstanding probes from which on no probe is relayed for other nodes.
  std::size_t max_pending_probes = 256;
  std::size_t max_zones = 1024;
  std::size_t max_members = 60'000;
};

/// A datagram to send.
struct OutgoingGossip {
  state::Endpoint to;
  GossipMessage message;
};

/// A change of the membership or an action for the owner.
struct MembershipEvent {
  enum class Kind : std::uint8_t {
    /// `record` is new or has changed, or its node's liveness has.
    kRecordChanged,
    /// The dead record `record` has been removed.
    kRecordRemoved,
    /// Most nodes of `zone` are lost; its nodes are no longer live.
    kZoneLost,
    kZoneRecovered,
    /// All zones of a region are lost, as in a partition; `zone` is the name of
    /// the region.
    kRegionUnreachable,
    kRegionReachable,
    kIsolated,
    kNotIsolated,
    /// The node `record` has a configuration with `version` and `digest` that
    /// is newer than the own one, or has the own version and another digest.
    kNewerConfiguration,
    /// All records should be pulled from the node `record` over TCP and passed
    /// to Membership::ApplyRecords.
    kPullRecords,
    /// A newer incarnation of this node exists (`record`): the host's clock
    /// went backwards, or another process uses this node's name.
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
  /// Datagrams not sent because the byte budget was exhausted.
  std::uint64_t over_budget = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  /// Detected pauses of this process.
  std::uint64_t pauses = 0;
  /// Records rejected because they were malformed or above max_members.
  std::uint64_t rejected_records = 0;
};

/// One node's view of the membership. Not thread-safe; all calls are made by
/// the control thread, with a `now` that never decreases. After each call, the
/// owner sends the datagrams of TakeDatagrams and handles the events of
/// TakeEvents.
class Membership {
 public:
  /// \p own is this node's record; its liveness and sequence are overwritten.
  /// \p seeds are gossip endpoints of other nodes.
  /// \throws std::invalid_argument if \p own has no name or an address that is
  /// not numeric.
  Membership(state::NodeRecord own,
             std::vector<state::Endpoint> seeds,
             const MembershipOptions& options,
             std::mt19937_64 random,
             state::Instant now);

  /// Runs the timers; must be called every 100 ms.
  void Tick(state::Instant now);

  /// Handles a received datagram of \p bytes bytes without IP and UDP headers.
  void Receive(const GossipMessage& message,
               std::size_t bytes,
               state::Instant now);

  /// Applies records pulled over TCP. Those of the first pull are not
  /// disseminated, because other nodes already have them. The owner should call
  /// TakeEvents after each part of a pull, because each new record adds an
  /// event.
  void ApplyRecords(const std::vector<state::NodeRecord>& records,
                    state::Instant now);

  /// Handles a failed pull; another kPullRecords follows after probe_interval.
  void OnRecordsPullFailed(state::Instant now);

  /// Sets the service and the state of the backend server in the own record.
  /// The state kLeaving is pushed at once.
  void SetBackend(std::string_view service,
                  state::BackendState backend_state,
                  state::Instant now);

  /// Announces that this process stops, so that no node suspects it.
  void AnnounceDeparture(state::Instant now);

  /// Sets the configuration in force here, which each datagram carries; a
  /// higher version is pushed at once.
  void SetConfiguration(state::ConfigurationVersion version,
                        std::uint64_t digest,
                        state::Instant now);

  /// Sets the region of each zone, for kRegionUnreachable.
  void SetRegions(std::map<std::string, std::string, std::less<>> region_of);

  /// Returns and removes the datagrams to send.
  std::vector<OutgoingGossip> TakeDatagrams();
  /// Returns and removes the events since the last call, in order.
  std::vector<MembershipEvent> TakeEvents();

  const state::NodeRecord& own() const { return own_; }
  bool isolated() const { return isolated_; }
  /// Number of records, the own one included.
  std::size_t size() const { return table_.size(); }
  std::optional<state::NodeRecord> Find(state::NodeId node) const;

  /// True if \p node is alive or suspect, and its zone is not lost. A node of a
  /// lost zone is live from a datagram received after the loss until a probe of
  /// it fails.
  bool IsLive(state::NodeId node) const;
  bool IsZoneLost(std::string_view zone) const;
  bool IsRegionUnreachable(std::string_view region) const;

  /// Calls \p visit with each record and whether it is live.
  void ForEach(
      const std::function<void(const state::NodeRecord&, bool)>& visit) const;

  /// Live nodes of \p zone, in no particular order.
  std::vector<state::NodeId> LiveNodesIn(std::string_view zone) const;

  /// Live nodes with a backend server of \p service.
  std::vector<state::NodeRecord> ServersOf(std::string_view service) const;

  /// The records for an answer to NodeRecordsPull: those that are not dead,
  /// from slot \p from_index of the table on, up to \p max_bytes but at least
  /// one. *next_index is the slot to continue from; it equals *total at the
  /// end.
  std::vector<state::NodeRecord> RecordsFrom(std::uint32_t from_index,
                                             std::size_t max_bytes,
                                             std::uint32_t* next_index,
                                             std::uint32_t* total) const;

  const MembershipCounters& counters() const { return counters_; }

 private:
  using Slot = NodeTable::Slot;

  // An outstanding probe.
  struct PendingProbe {
    enum class Kind : std::uint8_t {
      kDirect,
      kIndirect,
      // A probe of a zone check: of a node of the zone's sample, or of a
      // control node in another zone.
      kZoneSample,
      kZoneControl,
      // A probe on behalf of `requester`, which sent an indirect probe.
      kRelay,
    };
    Kind kind = Kind::kDirect;
    state::NodeId node = 0;
    state::Instant sent{};
    state::Instant deadline{};
    // The zone check of kZoneSample and kZoneControl.
    std::uint16_t zone = 0;
    std::uint64_t check = 0;
    state::Endpoint requester;
    std::uint64_t requester_token = 0;
  };

  // Probes of a sample of a zone's nodes, sent after a probe of one of them has
  // failed, or to detect whether the own zone has recovered.
  struct ZoneCheck {
    // 0 if no check is running; otherwise its number, so that late acks of an
    // earlier check are ignored.
    std::uint64_t number = 0;
    std::uint32_t probed = 0;
    std::uint32_t acked = 0;
    std::uint32_t controls_acked = 0;
    // A probe was not sent because it exceeded the byte budget.
    bool budget_exhausted = false;
    // Probes that have neither been acked nor timed out.
    std::uint32_t outstanding = 0;
    // Nodes that become suspect if the check does not find the zone lost.
    std::vector<state::NodeId> failed;
  };

  struct ZoneState {
    bool lost = false;
    std::uint32_t sequence = 0;
    // Times that the changed record is still to be sent.
    std::uint32_t transmissions_left = 0;
    state::Instant hold_down_until{};
    state::Instant next_check{};
    ZoneCheck check;
  };

  struct Suspicion {
    // When the node is declared dead.
    state::Instant deadline{};
    // Set only for a node that became suspect by a failed probe of this node.
    std::optional<state::Instant> next_probe;
  };

  // A changed record that is queued for dissemination.
  struct Update {
    state::NodeId node = 0;
    std::uint32_t transmissions = 0;
    // Rounds in which it is pushed to push_fanout nodes: 2 if it must reach all
    // nodes within 3 s, 1 for a start or a departure, otherwise 0.
    std::uint8_t push_rounds = 0;
  };

  void DetectPause(state::Instant now);
  void RestartTimers(state::Instant now);
  void ExpirePendingProbes(state::Instant now);
  void ExpireSuspects(state::Instant now);
  void RemoveExpiredDead(state::Instant now);
  void UpdateIsolation(state::Instant now);
  void ProbeNext(state::Instant now);
  void ProbeSuspects(state::Instant now);
  void ProbeDead(state::Instant now);
  void DeferSeedContact(state::Instant now);
  void ContactSeeds(state::Instant now);
  void PullRecords(state::Instant now);
  void CheckOwnZone(state::Instant now);
  void SendPushes(state::Instant now);
  void SendBacklog(state::Instant now);

  void HandleSender(const GossipMessage& message, state::Instant now);
  void HandleAck(const GossipMessage& message, state::Instant now);
  void HandleTimeout(std::uint64_t token, state::Instant now);
  void HandleFailure(const PendingProbe& pending, state::Instant now);
  void RelayProbe(const GossipMessage& message, state::Instant now);
  void SendIndirectProbes(std::uint64_t token,
                          const PendingProbe& pending,
                          state::Instant now);
  void AnswerProbe(const GossipMessage& message, state::Instant now);

  bool Apply(const state::NodeRecord& record,
             bool disseminate,
             state::Instant now);
  bool IsNewerThan(const state::NodeRecord& record, Slot slot) const;
  void ApplyToOwn(const state::NodeRecord& record, state::Instant now);
  void Suspect(state::NodeId node, state::Instant now);
  void TrackLiveness(Slot slot, state::Instant now);
  void OnOwnRecordChanged(bool urgent, state::Instant now);
  void AddToProbeOrder(Slot slot);

  void StartZoneCheck(std::uint16_t zone, state::Instant now);
  void SendZoneProbe(Slot slot,
                     PendingProbe::Kind kind,
                     std::uint16_t zone,
                     state::Instant now);
  void CloseZoneProbe(const PendingProbe& pending,
                      bool acked,
                      state::Instant now);
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

  // Sends a probe and adds it to pending_probes_. \returns false if the byte
  // budget did not allow it.
  bool SendProbe(PendingProbe pending,
                 const state::Endpoint& to,
                 state::Instant now);
  struct SendOptions {
    // Uses the budget of essential bytes if the other one is exhausted; the
    // datagram is then sent without queued updates.
    bool essential = false;
    // Carries no queued updates except urgent ones.
    bool only_urgent = false;
    // Carries no queued updates.
    bool bare = false;
    // Placed before all other updates.
    std::optional<state::NodeRecord> first_update;
  };
  // Queues a datagram in outgoing_. \returns false if the byte budget did not
  // allow it.
  bool Send(const state::Endpoint& to,
            GossipMessage message,
            const SendOptions& options,
            state::Instant now);
  void RefillBudget(state::Instant now);
  // Add the zone records and updates that fit into \p limit bytes; *bytes is
  // the size bound of the message, headers included.
  void AddZones(GossipMessage* message, std::size_t limit, std::size_t* bytes);
  void AddUpdates(GossipMessage* message,
                  bool only_urgent,
                  std::size_t limit,
                  std::size_t* bytes);
  GossipMessage MakeMessage(GossipKind kind, std::uint64_t token) const;
  // The record of \p node if it is suspect or dead here. It is sent to the
  // node, which can then refute it.
  std::optional<state::NodeRecord> SuspectOrDeadRecordOf(
      state::NodeId node) const;

  void Enqueue(state::NodeId node,
               std::uint8_t push_rounds,
               state::Instant now);
  bool IsUrgent(const Update& update) const;
  void RequestPush(bool repeat, state::Instant now);
  std::uint32_t MaxTransmissions() const;
  std::uint64_t NewToken(bool bare_ack);
  // A random duration below \p span.
  state::Duration Jitter(state::Duration span);
  // log2 of the number of members, at least 1.
  double Log2Members() const;
  state::Duration SuspicionTimeout() const;
  bool HasRecentTraffic(state::Instant now) const;

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

  // Also stored in table_, so that it is part of answers to pulls.
  state::NodeRecord own_;
  std::uint16_t own_zone_ = 0;
  bool departed_ = false;
  // The last incarnation reported by kSuperseded.
  state::Incarnation superseded_by_ = 0;
  NodeTable table_;

  // By zone number; may be shorter than table_.zones().
  std::vector<ZoneState> zones_;
  std::uint64_t last_check_ = 0;
  // Sequence of a received zone record that declares the own zone lost, until
  // the check of the zone has finished.
  std::optional<std::uint32_t> reported_own_zone_loss_;
  std::map<std::string, std::string, std::less<>> region_of_;
  std::set<std::string, std::less<>> unreachable_regions_;

  // Slots in the order in which they are probed; shuffled after each round. May
  // contain slots that have been freed.
  std::vector<Slot> probe_order_;
  std::size_t probe_position_ = 0;
  std::unordered_map<std::uint64_t, PendingProbe> pending_probes_;
  std::unordered_map<state::NodeId, Suspicion> suspects_;
  // Dead nodes and when their records are removed.
  std::unordered_map<state::NodeId, state::Instant> dead_;
  std::vector<Update> updates_;

  state::Instant next_probe_{};
  state::Instant next_dead_probe_{};
  state::Instant next_seed_contact_{};
  state::Duration seed_interval_{0};
  state::Instant next_dead_check_{};
  std::optional<state::Instant> next_records_pull_;
  std::optional<state::Instant> next_push_;
  std::optional<state::Instant> repeated_push_;
  state::Instant last_push_{};

  // Bytes that may be sent now. Received bytes are subtracted from the first
  // one, which becomes negative when more is received than the budget allows.
  double budget_bytes_ = 0;
  double essential_budget_bytes_ = 0;
  state::Instant refilled_{};
  state::Instant last_call_at_{};
  // When a datagram of another node was last received.
  state::Instant last_received_{};
  // When an ack to an own probe was last received, which shows that datagrams
  // pass in both directions.
  state::Instant last_ack_{};
  bool isolated_ = false;
  // Size of table_ after the last pull.
  std::size_t pulled_size_ = 0;
  // Pulls that were due after the first one. New records of these pulls are
  // disseminated, because other nodes may have missed them too.
  std::uint32_t pulls_ = 0;
  // Other nodes have been found: a datagram other than a kJoin or pulled
  // records have been received.
  bool joined_ = false;

  state::ConfigurationVersion configuration_version_ = 0;
  std::uint64_t configuration_digest_ = 0;

  std::vector<OutgoingGossip> outgoing_;
  std::vector<MembershipEvent> events_;
  MembershipCounters counters_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_MEMBERSHIP_H_
