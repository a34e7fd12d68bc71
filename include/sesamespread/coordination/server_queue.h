/// \file
/// Calls in progress at the local backend server, and the queue of calls that
/// wait for a slot there.
///
/// All calls reach the backend server through this node, so that the node's
/// count of calls in progress is exact and the server's own queue stays empty.
/// A server that cannot queue a request may never answer on that connection
/// again.
#ifndef SESAMESPREAD_COORDINATION_SERVER_QUEUE_H_
#define SESAMESPREAD_COORDINATION_SERVER_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <ext/pb_ds/assoc_container.hpp>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/coordination/fair_shares.h"
#include "sesamespread/coordination/request_rate_limit.h"
#include "sesamespread/coordination/ticket.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct ServerQueueOptions {
  /// Number of slots assumed until the backend server has reported it.
  std::uint32_t default_slots = 8;
  /// Share of the slots that may be in use. Some servers slow down when they
  /// are nearly full, and a new connection holds a slot for a moment.
  double usable_slot_share = 0.95;
  /// Maximum number of queued calls; each holds its body in memory.
  std::size_t max_queued = 2048;
  /// Calls start in the order of their arrival time plus this factor times the
  /// time left to their objective. The index is the rank; higher ranks use the
  /// last factor. The factor of rank 0 is small, since a request with many
  /// sequential calls incurs the queueing delay at each of them.
  std::array<double, 3> goal_factors = {0.1, 1.0, 1.25};
  /// Longest wait for the rate limit of a call that another server may take. A
  /// queue of such calls would report an overload of the service, although only
  /// this server is limited.
  state::Duration max_rate_wait = std::chrono::milliseconds(20);
  /// Number of calls in progress until the first answer. Callers may know of a
  /// low rate limit that a restarted node has yet to learn.
  std::uint32_t max_before_answer = 8;
  /// Weight of one answer in the exponential moving averages of service times.
  double gain = 0.1;
  /// Service time assumed before the first answer.
  state::Duration initial_service_time = std::chrono::milliseconds(30);
  /// Work is in slot-microseconds. The calls of each rank are shared
  /// separately.
  FairSharesOptions fair_shares;
  /// Weight of one answer in the average of the usual work time, which is
  /// reported to callers. It is small, since one work of 7 times the mean would
  /// make a server look slow.
  double usual_time_gain = 0.02;
  /// Weight of one report in the mean of the reported work times; a server
  /// answers 50 to 100 calls per second.
  double work_factor_gain = 0.005;
  /// Age up to which a reported work time is used.
  state::Duration work_time_max_age = std::chrono::milliseconds(300);
  /// Time over which OnReportedLoadAt requires all reports to show the requests
  /// of others. A node that was not scheduled handles the answers of several
  /// tens of milliseconds at once.
  state::Duration external_window = std::chrono::milliseconds(200);
};

/// A call that needs a slot.
struct QueuedCall {
  Ticket ticket = 0;
  std::string route;
  /// Latency objective: a later answer loses a part of its value.
  state::Instant goal;
  /// A later answer is useless.
  state::Instant deadline;
  /// Maximum wait that the sender accepts.
  state::Duration max_wait{0};
  /// Rank of the request, or of the request on whose behalf the call is made.
  std::uint32_t priority = 0;
  /// The sender tries another server if this one refuses the call.
  bool has_alternatives = false;
  /// Tenant that the call is attributed to; 0 if none.
  TenantHash tenant = 0;
  /// The sender prefers another server if calls take longer here now than this
  /// percentage of the mean of the last seconds; 0 for no preference. Relative
  /// to the mean, so that a server that always reports slow work is not avoided
  /// twice.
  std::uint32_t max_work_factor_percent = 0;
};

enum class QueueOutcome : std::uint8_t { kStart, kQueued, kRefused };

/// A call that was not started.
struct QueueRefusal {
  Ticket ticket = 0;
  state::ResultCode code = state::ResultCode::kQueueFull;

  auto operator<=>(const QueueRefusal&) const = default;
};

struct QueueDecision {
  QueueOutcome outcome = QueueOutcome::kStart;
  /// Meaningful if refused.
  state::ResultCode code = state::ResultCode::kOk;
  /// Wait that was expected when the decision was made.
  state::Duration expected_wait{0};
  /// A queued call of a tenant further above its share that was refused to
  /// make room in a full queue.
  std::optional<QueueRefusal> evicted;
};

/// Calls to start and to refuse now.
struct QueueActions {
  std::vector<Ticket> start;
  std::vector<QueueRefusal> refuse;
};

struct QueueLoad {
  std::uint32_t in_progress = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  /// Expected wait of a call at the end of the queue. Waits for the rate limit
  /// count only behind calls that no other server may take: while there are
  /// none, the other servers of the service have room.
  state::Duration expected_wait{0};
  /// Share of the slots, or of the rate limit's burst if less of it is left,
  /// that is unused; 0 to 1.
  double unused_share = 1;
  /// Usual time of a call of this server at the backend server, and what a call
  /// takes now, in percent of it. Zero before the first answer.
  state::Duration work_time{0};
  std::uint32_t work_factor_percent = 100;

  auto operator<=>(const QueueLoad&) const = default;
};

/// The queue of one backend server.
///
/// Calls start in the order of their objectives and ranks, so that short
/// objectives are met while calls of different length share the server. Calls
/// that can no longer meet their objective start last.
///
/// Of the calls that have tenants, those of the highest rank start first;
/// within a rank the tenant with the lowest tag of its FairShares is next, and
/// the order above holds between its own calls only. The call that is next of
/// these and the first one without a tenant start by the order above, so that
/// calls without a tenant take no more from the others than without shares.
///
/// All operations take logarithmic time in the number of queued calls, except
/// Tick and RefuseAll.
///
/// Invariants: calls wait only while the limit of calls in progress or the rate
/// limit is reached; no call starts after its deadline; each offered call is
/// started, refused or cancelled once.
class ServerQueue {
 public:
  explicit ServerQueue(ServerQueueOptions options = {});

  /// \pre the ticket is not in use.
  QueueDecision Offer(const QueuedCall& call, state::Instant now);

  /// Ends a call of \p route that was in progress and starts queued ones.
  /// \p answered tells whether \p service_time is that of a complete answer.
  /// \p ticket is required if the call has a tenant.
  QueueActions Finish(const std::string& route,
                      state::Duration service_time,
                      bool answered,
                      state::Instant now,
                      Ticket ticket = 0);

  /// Refuses calls that have waited too long and starts others. Must be called
  /// every few milliseconds while calls wait.
  QueueActions Tick(state::Instant now);

  /// Removes a queued call. \returns true if it was queued, so that it has not
  /// run; false if it is in progress, in which case Finish must still be
  /// called.
  bool Cancel(Ticket ticket);

  /// Refuses all waiting calls.
  std::vector<QueueRefusal> RefuseAll(state::ResultCode code);

  /// Sets the number of requests that the backend server processes
  /// concurrently; 0 if unknown.
  void SetSlots(std::uint32_t slots);

  /// Records the number of requests in progress that the backend server
  /// reports. Requests that this node did not send, such as those from before
  /// its start, occupy slots as well.
  void OnReportedLoad(std::uint32_t requests);

  /// The same, but only as many requests count as those of others as all
  /// reports of the last external_window show. A single report may be older
  /// than answers that this node has already handled, and then counts their
  /// calls as requests of others.
  void OnReportedLoadAt(std::uint32_t requests, state::Instant now);

  /// Records the work time that the backend server reports, in percent of its
  /// usual one. Service times are averaged relative to it, so that the expected
  /// waits follow it at once. Call it before Finish for the same answer.
  void OnReportedWorkTime(std::uint32_t percent, state::Instant now);

  /// The rate limit that the backend server states. TryAcquire is called by the
  /// queue only.
  RequestRateLimit& rate_limit() { return rate_limit_; }
  const RequestRateLimit& rate_limit() const { return rate_limit_; }

  QueueLoad load(state::Instant now) const;

  /// Expected wait of a call like \p call if it was offered now.
  state::Duration ExpectedWaitOf(const QueuedCall& call,
                                 state::Instant now) const;

  /// Average time that calls of \p route take at the backend server; that of
  /// all calls if \p route has no answers yet.
  state::Duration ServiceTime(std::string_view route, state::Instant now) const;

 private:
  // Position in the queue: calls with a lower value start first.
  using Order = std::pair<state::Instant, Ticket>;
  // Start tag of a place in the queue, number of the place, tenant.
  using PlaceKey = std::tuple<double, std::uint64_t, TenantHash>;
  // An ordered set that also counts the elements below a key in logarithmic
  // time.
  template <typename Key>
  using CountingSet =
      __gnu_pbds::tree<Key,
                       __gnu_pbds::null_type,
                       std::less<Key>,
                       __gnu_pbds::rb_tree_tag,
                       __gnu_pbds::tree_order_statistics_node_update>;

  // Whether a call can still meet its objective.
  enum Lateness : std::uint8_t { kOnTime, kLate };
  static constexpr std::array<Lateness, 2> kLatenesses = {kOnTime, kLate};

  struct Waiting {
    QueuedCall call;
    state::Instant offered;
    state::Instant order;
    Lateness lateness = kOnTime;
  };

  // A tenant's place in the start order of its rank. It is taken by the first
  // call of the tenant when its turn comes.
  struct Place {
    FairTag tag;
    std::uint64_t number = 0;
    // Expected work, in slot-microseconds.
    double work = 0;
  };

  // The queued calls of one tenant in one rank. There are as many places as
  // calls.
  struct Flow {
    std::array<std::set<Order>, 2> calls;
    std::deque<Place> places;
    // Key of the flow in RankGroup::ready.
    std::array<std::optional<PlaceKey>, 2> ready_key;
  };

  // The queued calls of one rank that have tenants.
  struct RankGroup {
    FairShares shares;
    std::unordered_map<TenantHash, Flow> flows;
    // The first places of the flows that have a call of this lateness.
    std::array<std::set<PlaceKey>, 2> ready;
    // All places of the flows, and their calls that are on time.
    CountingSet<PlaceKey> places;
    CountingSet<Order> on_time;
  };

  // Queued calls of one route by their objectives.
  using RouteCalls = std::array<std::set<Order>, 2>;

  // A call in progress that has a tenant.
  struct Running {
    std::size_t rank = 0;
    TenantHash tenant = 0;
    double reserved_work = 0;
  };

  std::uint32_t limit() const;
  // Requests of others if the backend server has \p requests in progress.
  std::uint32_t ExternalOf(std::uint32_t requests) const;
  // Position in the queue: calls with an earlier value start first.
  state::Instant OrderOf(const QueuedCall& call, state::Instant now) const;
  state::Duration SlotWaitBehind(std::size_t ahead, state::Instant now) const;
  // Work time now relative to the usual one.
  double WorkFactor(state::Instant now) const;
  state::Duration ExpectedWaitBehind(std::size_t ahead,
                                     state::Instant now) const;
  // Wait that the sender of \p call accepts behind \p ahead others.
  state::Duration AcceptedWait(const QueuedCall& call,
                               std::size_t ahead,
                               state::Instant now) const;
  std::size_t RankOf(const QueuedCall& call) const;
  // Number of queued calls that would start before \p call.
  std::size_t CountAhead(const QueuedCall& call, state::Instant order) const;
  void Insert(const QueuedCall& call, state::Instant now, state::Instant order);
  // The call that starts next, if any waits.
  std::optional<Ticket> FindNext() const;
  void StartNext(state::Instant now, QueueActions& actions);
  // Removes a call that starts or, unless \p starts, is refused or cancelled.
  void Remove(Ticket ticket, bool starts = false);
  void RemoveFromFlow(const Waiting& waiting, Ticket ticket, bool starts);
  void UpdateReady(RankGroup& group, TenantHash tenant);
  void CountStart(const QueuedCall& call, state::Instant now);
  void UpdateLateness(state::Instant now);
  void SetLateness(Ticket ticket, Lateness lateness);
  // The calls with which \p call shares its order only.
  std::set<Order>& CallsBeside(const QueuedCall& call, Lateness lateness);
  // Refuses the last call of the tenant furthest above its share, in a rank
  // that is not above that of \p call, to make room for \p call.
  std::optional<QueueRefusal> Evict(const QueuedCall& call);
  bool IsTooLate(const QueuedCall& call, state::Instant now) const;

  const ServerQueueOptions options_;
  std::uint32_t slots_ = 0;
  std::uint32_t in_progress_ = 0;
  // Requests in progress at the backend server that this node did not send.
  std::uint32_t external_requests_ = 0;
  // Least number of requests of others in the reports of the current window and
  // of the one before it, and when the current one began.
  std::uint32_t least_external_ = 0;
  // Unlimited at first, so that the requests from before a restart of this node
  // count from the first report on.
  std::uint32_t previous_least_external_ =
      std::numeric_limits<std::uint32_t>::max();
  std::optional<state::Instant> external_window_start_;
  RequestRateLimit rate_limit_;
  std::unordered_map<Ticket, Waiting> waiting_;
  // Number of calls in waiting_ that no other server may take.
  std::size_t bound_calls_ = 0;
  // The calls of waiting_ without a tenant in the order in which they start if
  // all meet their objectives.
  CountingSet<Order> order_;
  std::array<std::set<Order>, 2> calls_without_tenant_;
  std::vector<RankGroup> groups_;
  std::unordered_map<std::string, RouteCalls> routes_;
  std::unordered_map<Ticket, Running> running_;
  std::uint64_t next_place_ = 1;
  // As reported at work_factor_at_.
  double work_factor_ = 1;
  std::optional<state::Instant> work_factor_at_;
  double mean_work_factor_ = 1;
  double usual_time_us_ = 0;
  std::uint32_t usual_time_answers_ = 0;
  // The averages of service times are relative to the reported work time.
  // Average over the calls of all routes.
  double service_time_us_;
  std::unordered_map<std::string, double> route_service_times_us_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_SERVER_QUEUE_H_
