/// \file
/// Selection of the backend server for a call from this node's own
/// measurements.
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
/// never excludes a server. Without a work time it changes the cost by a
/// bounded factor only.
struct LoadHint {
  std::uint32_t in_progress = 0;
  /// Concurrency limit; 0 if the server reported none.
  std::uint32_t limit = 0;
  /// Admission threshold, see state::PriorityOf.
  std::uint32_t threshold = 0;
  state::BackendState backend_state = state::BackendState::kAbsent;
  /// Calls that wait at the server.
  std::uint32_t queued = 0;
  /// Usual time of a call at the server, without waiting; zero if the server
  /// reported none. A call takes work_factor_percent of it now.
  state::Duration work_time{0};
  std::uint32_t work_factor_percent = 100;

  auto operator<=>(const LoadHint&) const = default;
};

/// Figures of a service that determine how many of its servers a node uses.
struct SubsetParameters {
  /// Number of connections that one backend server accepts, at least 1.
  std::uint32_t connections = 1;
  /// Number of nodes that may call the service.
  std::uint32_t calling_nodes = 1;

  auto operator<=>(const SubsetParameters&) const = default;
};

/// Parameters of routing. The defaults suit latencies from 1 ms to 1 s.
struct RouterOptions {
  /// Weight of one answer in the exponential moving average of the latency.
  double latency_gain = 0.2;
  /// Time constant with which the average decays to the service's median while
  /// a server gets no calls. Without the decay, a server that was slow once
  /// would not be selected and so never be measured again.
  state::Duration latency_decay = std::chrono::seconds(10);
  /// Weight of one outcome in the moving averages of the refusal and failure
  /// rates.
  double rate_gain = 0.1;
  /// Time constant with which these rates fall towards 0.
  state::Duration rate_decay = std::chrono::seconds(5);
  /// Cost of a refusal rate of 1, in median latencies of the service.
  double refusal_cost = 8;
  /// Cost of a failure rate of 1, in median latencies of the service. Higher
  /// than that of refusals, because a refused call can be retried elsewhere
  /// while a failed one may be lost, and because a server that fails
  /// immediately has no calls in flight and so looks idle.
  double failure_cost = 40;
  /// Refusal or failure rates at which calls start to spill from the local zone
  /// to others, and at which all of them do. In between, the share is linear,
  /// which avoids oscillation.
  double spill_start_rate = 0.02;
  double spill_full_rate = 0.20;
  /// Latency, in medians of the service, above which calls start to spill. At
  /// twice this latency all of them do.
  double spill_latency_ratio = 3;
  /// Age up to which a load hint is used, and the largest factor by which it
  /// raises the cost.
  state::Duration hint_max_age = std::chrono::seconds(1);
  double hint_max_factor = 1.5;
  /// Servers that are drawn and compared, at least 1. The more there are, the
  /// more nodes choose the same server until its next report.
  std::uint32_t candidates = 2;
  /// The expected work time is raised by this factor times a power of the share
  /// of the server's limit that is in use. Without it, all nodes choose the
  /// fastest servers until calls wait there.
  double congestion_cost = 3;
  double congestion_power = 3;
  /// Time constants with which reported load moves to the mean of the service,
  /// and the reported work factor to 1.
  state::Duration load_decay = std::chrono::milliseconds(150);
  state::Duration work_factor_decay = std::chrono::milliseconds(300);
  /// Ratio of the expected completions in the local zone and elsewhere above
  /// which calls start to spill. At twice this ratio all of them do.
  double spill_cost_ratio = 1.5;
  /// The weight of a kStarting server grows linearly from cold_start_weight to
  /// 1 over cold_start_ramp.
  double cold_start_weight = 0.1;
  state::Duration cold_start_ramp = std::chrono::seconds(10);
  /// Weight factor of a server that is not kAlive and has not answered this
  /// node recently.
  double suspect_weight = 0.3;
  /// Age up to which an answer shows that a server is alive.
  state::Duration answer_max_age = std::chrono::seconds(5);
  /// Number of consecutive failures that ejects a server.
  std::uint32_t ejection_failures = 5;
  /// Failures that are closer together than this count as one towards ejection,
  /// since a lost link fails all calls on it at the same time.
  state::Duration failure_min_spacing = std::chrono::milliseconds(20);
  /// Servers are not ejected for failures while the median failure rate of the
  /// others is at least this, because then the whole service fails.
  double ejection_max_failure_rate = 0.3;
  /// Latency, in medians of the other servers, above which a server is ejected,
  /// and the minimum number of answers in its average.
  double ejection_latency_ratio = 6;
  std::uint32_t ejection_min_answers = 20;
  /// Time for which the latency must stay above that ratio. At 80% load, the
  /// average of a healthy server exceeds it for a moment by chance.
  state::Duration ejection_min_slow_time = std::chrono::milliseconds(500);
  /// Servers are not ejected for latencies below this.
  state::Duration ejection_min_latency = std::chrono::milliseconds(20);
  /// Duration of the first ejection; each further one doubles it up to the
  /// maximum.
  state::Duration ejection_time = std::chrono::seconds(5);
  state::Duration ejection_max_time = std::chrono::seconds(60);
  /// Time after the end of an ejection from which the next one lasts for
  /// ejection_time again.
  state::Duration ejection_reset_after = std::chrono::seconds(120);
  /// Time for which a server counts as unreachable after a failed connect; each
  /// further failure doubles it up to the maximum. Then one call at a time
  /// probes the server. Short, because a failed connect costs about 1 ms and
  /// recovery must take less than 1 s.
  state::Duration unreachable_time = std::chrono::milliseconds(100);
  state::Duration unreachable_max_time = std::chrono::seconds(2);
  /// Time after which a probe without a result no longer blocks the next one.
  state::Duration probe_timeout = std::chrono::seconds(2);
  /// Maximum age of the cached median latency of a service.
  state::Duration median_max_age = std::chrono::milliseconds(50);
};

/// Number of servers of a service that each calling node uses, so that the
/// connection limit of each server holds. The number of nodes that select one
/// server is binomially distributed, so its mean is kept 4 standard deviations
/// below the limit. Returns \p servers if all calling nodes fit into the limit,
/// and at least 1 otherwise, even where no subset can meet the limit
/// (calling_nodes > connections x servers).
std::uint32_t SubsetSize(std::uint32_t connections,
                         std::uint32_t calling_nodes,
                         std::uint32_t servers);

/// Indices into \p servers of the subset that node \p self uses, in ascending
/// order. Each zone gets its share of the subset, rounded so that the expected
/// number of subsets is the same for each server. Within a zone, rendezvous
/// hashing selects the servers, so that a change of one server moves few links.
/// Leaving and absent servers are left out. Dead servers do not count towards
/// the size but are included if they rank high enough, since their liveness may
/// be wrong.
std::vector<std::size_t> SubsetOf(state::NodeId self,
                                  std::string_view service,
                                  const std::vector<state::NodeRecord>& servers,
                                  std::uint32_t size);

/// A selected server.
struct RouteChoice {
  state::NodeId node = 0;
  state::Incarnation incarnation = 0;
  /// True if another healthy server can accept the call, so that a retry after
  /// not_run needs no delay.
  bool others_available = false;

  auto operator<=>(const RouteChoice&) const = default;
};

/// State of a server at the router, for `explain` and metrics.
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

/// Selects servers for the calls of one node. Not thread-safe; owned by the
/// data thread.
class Router {
 public:
  Router(state::NodeId self, std::string zone, RouterOptions options = {});

  /// Sets the region of each zone. Zones without a region count as one region.
  void SetZones(std::map<std::string, std::string> region_of_zone);

  /// Replaces the servers of \p service. Measurements of servers that remain
  /// with the same incarnation are kept.
  void SetServers(std::string_view service,
                  const std::vector<state::NodeRecord>& servers,
                  const SubsetParameters& shape,
                  state::Instant now);

  /// Removes \p service and the measurements of its servers.
  void RemoveService(std::string_view service);

  /// Selects a server that is not in \p exclude; nullopt if there is none. The
  /// server is selected from the first group that is not empty: healthy; dead
  /// by membership and without a recent answer; ejected; unreachable.
  std::optional<RouteChoice> Choose(std::string_view service,
                                    state::Instant now,
                                    std::mt19937_64& rng,
                                    std::span<const state::NodeId> exclude);

  /// Records that a call was sent to \p node. Must be followed by exactly one
  /// of OnAnswered, OnFailed and OnCancelled.
  void OnSent(state::NodeId node, state::Instant now);

  /// Records an answer, which may be a refusal (2xx codes).
  void OnAnswered(state::NodeId node,
                  state::ResultCode result,
                  state::Duration latency,
                  const LoadHint& hint,
                  state::Instant now);

  /// Records a report of load; OnAnswered does so as well.
  void OnLoadReport(state::NodeId node,
                    const LoadHint& hint,
                    state::Instant now);

  /// Records that no complete answer arrived: connect failed, link lost, timed
  /// out.
  void OnFailed(state::NodeId node,
                state::ResultCode result,
                state::Instant now);

  /// Records that the call was cancelled, which does not affect the rates and
  /// the latency of the server.
  void OnCancelled(state::NodeId node);

  /// Servers in this node's subset, in order of node id.
  std::vector<ServerView> View(std::string_view service,
                               state::Instant now) const;

 private:
  struct ServiceEntry;

  /// Measurements of a server. Holds no strings to save memory, since a node
  /// may route to thousands of servers.
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
    /// Times of the last update of the rates and of the latency.
    state::Instant rates_updated{};
    state::Instant latency_updated{};
    /// Since when the latency average has been above the ejection ratio.
    std::optional<state::Instant> slow_since;
    std::uint32_t consecutive_failures = 0;
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
    /// Calls sent since hint_at.
    std::uint32_t sent_since_hint = 0;
  };

  struct ServiceEntry {
    std::vector<state::NodeId> subset;
    double median_us = 0;
    std::optional<state::Instant> median_at;
    /// Over the servers that report work times: the mean of the calls there
    /// relative to the limit, the mean limit, and the median work time; zero if
    /// there are none.
    double mean_load = 0;
    double limit = 0;
    double work_time_us = 0;
  };

  /// What a new call meets at a server, from an aged report.
  struct Expectation {
    double work_us = 0;
    double calls = 0;
    double limit = 1;
    double wait_us = 0;
  };

  /// Groups of servers in the order in which they are tried.
  enum class Group : std::uint8_t {
    kHealthy = 0,
    kDead = 1,
    kEjected = 2,
    kUnreachable = 3,
    kUnavailable = 4,
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
  bool ReportsWorkTime(const Server& server) const;
  Expectation Expect(const Server& server, state::Instant now) const;
  /// Expected time to the answer, with the penalties for refusals and failures.
  double CompletionOf(const Server& server,
                      double median_us,
                      state::Instant now) const;
  double CostByCompletion(const Server& server,
                          double median_us,
                          state::Instant now) const;
  double PenaltyOf(const Server& server,
                   double median_us,
                   state::Instant now) const;
  void UpdateReportedMeans(ServiceEntry& service) const;
  /// Share of calls that should spill to other zones because of the load of
  /// \p server, 0 to 1.
  double SpillShareOf(const Server& server,
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
  void UpdateRates(Server& server,
                   bool refused,
                   bool failed,
                   state::Instant now);
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
