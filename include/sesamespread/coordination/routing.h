/// \file
/// Choice of the backend server for a call, from this node's own measurements.
#ifndef SESAMESPREAD_COORDINATION_ROUTING_H_
#define SESAMESPREAD_COORDINATION_ROUTING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Load that a server reported with an answer. It may be stale or wrong, so it
/// changes the cost of a server by a bounded factor and never excludes it.
struct LoadHint {
  std::uint32_t in_progress = 0;
  /// Concurrency limit; 0 if the server reported none.
  std::uint32_t limit = 0;
  /// Admission threshold, see state::PriorityOf.
  std::uint32_t threshold = 0;
  state::BackendState backend_state = state::BackendState::kAbsent;

  auto operator<=>(const LoadHint&) const = default;
};

/// Inventory figures of a service that routing needs.
struct SubsetParameters {
  /// Connections that one backend server accepts, at least 1.
  std::uint32_t connections = 1;
  /// Nodes that may call the service.
  std::uint32_t calling_nodes = 1;

  auto operator<=>(const SubsetParameters&) const = default;
};

/// Constants of routing. The defaults suit latencies from 1 ms to 1 s.
struct RouterOptions {
  /// Share of one answer in the latency average.
  double latency_gain = 0.2;
  /// Time constant with which the average returns to the service's median while
  /// a server gets no calls. Without the return a server that was slow once
  /// would never be measured again.
  state::Duration latency_decay = std::chrono::seconds(10);
  /// Share of one outcome in the refusal and failure rates.
  double rate_gain = 0.1;
  /// Time constant with which these rates fall towards 0.
  state::Duration rate_decay = std::chrono::seconds(5);
  /// Cost of a refusal rate of 1, in median latencies of the service.
  double refusal_cost = 8;
  /// Cost of a failure rate of 1. A refused call can be made elsewhere, a
  /// failed one may be lost; and a server that fails at once has no calls in
  /// flight, which makes it look idle.
  double failure_cost = 40;
  /// Refusal rates at which the local zone starts to pass calls to other zones
  /// and at which it passes all of them. In between, the share is linear, which
  /// avoids switching back and forth.
  double spill_from = 0.02;
  double spill_all = 0.20;
  /// Latency, in medians of the service, above which a server has no room.
  double slow_ratio = 3;
  /// Age up to which a load hint counts, and the largest factor by which it
  /// raises the cost.
  state::Duration hint_max_age = std::chrono::seconds(1);
  double hint_factor = 1.5;
  /// A server that is kStarting has weight cold_start_weight at first, growing
  /// linearly to 1 over cold_start_ramp.
  double cold_start_weight = 0.1;
  state::Duration cold_start_ramp = std::chrono::seconds(10);
  /// Weight of a suspected server without a recent success on this node.
  double suspect_weight = 0.3;
  /// How long a success counts as proof that a server is alive.
  state::Duration recent_success = std::chrono::seconds(5);
  /// Failures in a row that eject a server.
  std::uint32_t ejection_failures = 5;
  /// Failures closer together than this count once towards ejection: a lost
  /// link fails all calls on it at the same moment.
  state::Duration failure_spacing = std::chrono::milliseconds(20);
  /// No ejection for failures while the median failure rate of the other
  /// servers is at least this: the service fails everywhere.
  double failing_everywhere = 0.3;
  /// Latency, in medians of the other servers, that ejects a server, and the
  /// number of answers it must be based on.
  double ejection_latency_ratio = 6;
  std::uint32_t ejection_min_answers = 20;
  /// How long the latency must stay above it: at 80% load, single averages of
  /// a healthy server were seen above the ratio by chance.
  state::Duration ejection_slow_for = std::chrono::milliseconds(500);
  /// No server is ejected for a latency below this.
  state::Duration ejection_min_latency = std::chrono::milliseconds(20);
  /// Time of the first ejection; each further one doubles it up to the maximum.
  state::Duration ejection_time = std::chrono::seconds(5);
  state::Duration ejection_max_time = std::chrono::seconds(60);
  /// A server without ejection for this long starts at ejection_time again.
  state::Duration ejection_forget = std::chrono::seconds(120);
  /// Time for which a failed connect keeps a server out; doubles per failure up
  /// to the maximum. Then one call at a time probes it. Short, because a failed
  /// connect costs about 1 ms and recovery must take less than 1 s.
  state::Duration unreachable_time = std::chrono::milliseconds(100);
  state::Duration unreachable_max_time = std::chrono::seconds(2);
  /// A probe without outcome for this long no longer bars the next probe.
  state::Duration probe_timeout = std::chrono::seconds(2);
  /// Age of the cached median.
  state::Duration median_max_age = std::chrono::milliseconds(50);
};

/// Number of servers of a service that each calling node uses so that a
/// server's connection limit holds. The number of nodes that pick one server is
/// binomial, so the mean is kept 4 standard deviations below the limit. All
/// servers if the calling nodes fit anyway; at least 1, even where no subset
/// can make the limit hold (calling_nodes > connections x servers).
std::uint32_t SubsetSize(std::uint32_t connections,
                         std::uint32_t calling_nodes,
                         std::uint32_t servers);

/// Indices into \p servers of the subset that node \p self uses, in ascending
/// order. Each zone gets its share of the subset, rounded so that each server
/// is expected in the same number of subsets; within a zone, rendezvous hashing
/// decides, so that a change of one server moves few links. Leaving and absent
/// servers are left out. Dead servers take no place of a live one but stay in
/// if they rank high enough, since liveness may be wrong.
std::vector<std::size_t> SubsetOf(state::NodeId self,
                                  std::string_view service,
                                  const std::vector<state::NodeRecord>& servers,
                                  std::uint32_t size);

/// A chosen server.
struct RouteChoice {
  state::NodeId node = 0;
  state::Incarnation incarnation = 0;
  /// True if another server of the service could take the call, so that a retry
  /// after not_run needs no delay.
  bool others_available = false;

  auto operator<=>(const RouteChoice&) const = default;
};

/// What routing knows of a server, for `explain` and metrics.
struct ServerView {
  state::NodeId node = 0;
  /// 0 local zone, 1 same region, 2 elsewhere.
  std::uint8_t distance = 2;
  state::BackendState backend_state = state::BackendState::kAbsent;
  state::Liveness liveness = state::Liveness::kAlive;
  std::uint32_t in_flight = 0;
  state::Duration latency{0};
  double refusal_rate = 0;
  double weight = 0;
  bool ejected = false;
  bool unreachable = false;
};

/// Routing of one node. Not thread-safe; owned by the data thread.
class Router {
 public:
  Router(state::NodeId self, std::string zone, RouterOptions options = {});

  /// Region of each zone. Zones without a region count as one region.
  void SetZones(std::map<std::string, std::string> region_of_zone);

  /// Replaces the servers of \p service. Measurements of servers that remain
  /// with the same incarnation are kept.
  void SetServers(std::string_view service,
                  const std::vector<state::NodeRecord>& servers,
                  const SubsetParameters& shape,
                  state::Instant now);

  /// Forgets \p service.
  void RemoveService(std::string_view service);

  /// Chooses a server that is not in \p exclude; nullopt if there is none.
  /// Servers are taken from the first group that isn't empty: healthy; dead by
  /// membership without a recent success; ejected; unreachable.
  std::optional<RouteChoice> Choose(std::string_view service,
                                    state::Instant now,
                                    std::mt19937_64& rng,
                                    std::span<const state::NodeId> exclude);

  /// A call was sent to \p node. Each is followed by exactly one of OnAnswered,
  /// OnFailed and OnCancelled.
  void OnSent(state::NodeId node, state::Instant now);

  /// An answer arrived, also a refusal (2xx codes).
  void OnAnswered(state::NodeId node,
                  state::ResultCode result,
                  state::Duration latency,
                  const LoadHint& hint,
                  state::Instant now);

  /// No complete answer arrived: connect failed, link lost, timed out.
  void OnFailed(state::NodeId node,
                state::ResultCode result,
                state::Instant now);

  /// The call was cancelled; says nothing of the server.
  void OnCancelled(state::NodeId node);

  /// Servers in this node's subset, in order of node id.
  std::vector<ServerView> View(std::string_view service,
                               state::Instant now) const;

 private:
  struct ServiceEntry;

  /// Measurements of a server. Holds no strings: a node may route to thousands.
  struct Server {
    state::NodeId node = 0;
    state::Incarnation incarnation = 0;
    std::uint32_t sequence = 0;
    state::BackendState backend_state = state::BackendState::kAbsent;
    state::Liveness liveness = state::Liveness::kAlive;
    std::uint8_t distance = 2;
    const ServiceEntry* service = nullptr;
    std::uint32_t in_flight = 0;
    /// Answers in the latency average.
    std::uint32_t answers = 0;
    double latency_us = 0;
    double refusal_rate = 0;
    double failure_rate = 0;
    /// Time of the last change of the rates and of the latency.
    state::Instant rated{};
    state::Instant measured{};
    /// Since when the latency average would eject it.
    std::optional<state::Instant> slow_since;
    std::uint32_t failures_in_a_row = 0;
    std::optional<state::Instant> last_failure;
    std::optional<state::Instant> last_answer;
    std::uint32_t ejections = 0;
    state::Instant ejected_until{};
    std::uint32_t connect_failures = 0;
    state::Instant unreachable_until{};
    /// Set while a call probes a server that was unreachable.
    std::optional<state::Instant> probe_sent;
    state::Instant starting_since{};
    LoadHint hint;
    std::optional<state::Instant> hint_at;
  };

  struct ServiceEntry {
    std::vector<state::NodeId> subset;
    double median_us = 0;
    std::optional<state::Instant> median_at;
  };

  /// Order in which groups of servers are tried.
  enum class Group : std::uint8_t {
    kHealthy = 0,
    kDead = 1,
    kEjected = 2,
    kUnreachable = 3,
    kNever = 4,
  };

  Server* Find(state::NodeId node);
  std::vector<const Server*> ServersOf(const ServiceEntry& service) const;
  void UpdateServer(const state::NodeRecord& record,
                    const ServiceEntry* service,
                    state::Instant now);
  std::uint8_t DistanceOf(const std::string& zone) const;
  Group GroupOf(const Server& server, state::Instant now) const;
  bool IsDead(const Server& server, state::Instant now) const;
  bool AnsweredRecently(const Server& server, state::Instant now) const;
  double WeightOf(const Server& server, state::Instant now) const;
  double LatencyOf(const Server& server,
                   double median_us,
                   state::Instant now) const;
  /// \p rate of \p server with its decay since the last outcome.
  double Decayed(double rate, const Server& server, state::Instant now) const;
  double CostOf(const Server& server,
                double median_us,
                state::Instant now) const;
  /// Share of calls to pass to other zones: 0 with room, 1 without.
  double PressureOf(const Server& server,
                    double median_us,
                    state::Instant now) const;
  double MedianOf(ServiceEntry& service, state::Instant now);
  std::vector<Server*> BestGroup(const ServiceEntry& service,
                                 state::Instant now,
                                 std::span<const state::NodeId> exclude,
                                 Group* group);
  std::vector<Server*> NarrowToZone(const std::vector<Server*>& candidates,
                                    double median_us,
                                    state::Instant now,
                                    std::mt19937_64& rng) const;
  void Rate(Server& server, bool refused, bool failed, state::Instant now);
  void CountLatency(Server& server,
                    state::Duration latency,
                    state::Instant now);
  void CountFailure(Server& server, state::Instant now);
  void CountConnectFailure(Server& server, state::Instant now);
  bool MayEject(const Server& server, state::Instant now) const;
  void EjectForFailures(Server& server, state::Instant now);
  bool IsSlow(const Server& server) const;
  void EjectForLatency(Server& server, state::Instant now);
  void Eject(Server& server, state::Instant now);

  const state::NodeId self_;
  const std::string zone_;
  const RouterOptions options_;
  std::map<std::string, std::string> region_of_zone_;
  std::map<std::string, ServiceEntry, std::less<>> services_;
  std::unordered_map<state::NodeId, Server> servers_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ROUTING_H_
