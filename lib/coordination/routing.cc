/// \file
/// Subsetting, measurements, ejection and selection of servers.
#include "sesamespread/coordination/routing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace sesamespread::coordination {
namespace {

using state::BackendState;
using state::Instant;
using state::Liveness;
using state::NodeId;
using state::ResultCode;

/// Latency assumed while a service has no measurement.
constexpr double kInitialLatencyUs = 1000;

/// Distance of the mean number of connections from the limit, in standard
/// deviations.
constexpr double kSubsetDeviations = 4;

/// Effect of a result on the rates of the server.
enum class OutcomeClass : std::uint8_t {
  kSuccess,
  kRefusal,
  kFailure,
  kNeutral
};

OutcomeClass ClassOf(ResultCode code) {
  if (state::IsAnswered(code))
    return OutcomeClass::kSuccess;
  switch (code) {
    case ResultCode::kShedAtServer:
    case ResultCode::kQueueFull:
    case ResultCode::kRateLimited:
    case ResultCode::kNoBackendServer:
    case ResultCode::kLeaving:
    case ResultCode::kBackendRefused:
    case ResultCode::kNodeBusy:
    case ResultCode::kNoConfiguration:
      return OutcomeClass::kRefusal;
    case ResultCode::kConnectFailed:
    case ResultCode::kTimedOut:
    case ResultCode::kLinkLost:
    case ResultCode::kTruncatedAnswer:
    case ResultCode::kDigestMismatch:
    case ResultCode::kBadBackendAnswer:
    case ResultCode::kBadFrame:
    case ResultCode::kAnswerTooLarge:
      return OutcomeClass::kFailure;
    default:
      return OutcomeClass::kNeutral;
  }
}

/// e^(-age / time_constant), 1 for a negative age.
double DecayFactor(state::Duration age, state::Duration time_constant) {
  if (age <= state::Duration(0))
    return 1;
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(time_constant.count()));
}

/// The lower median; 0 for no values.
double LowerMedian(std::vector<double> values) {
  if (values.empty())
    return 0;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// \p first doubled \p doublings times, up to \p maximum.
state::Duration Doubled(state::Duration first,
                        std::uint32_t doublings,
                        state::Duration maximum) {
  constexpr std::uint32_t kMaxDoublings = 20;
  return std::min(
      first * (std::int64_t{1} << std::min(doublings, kMaxDoublings)), maximum);
}

bool AcceptsCalls(BackendState backend_state) {
  return backend_state == BackendState::kStarting ||
         backend_state == BackendState::kServing;
}

/// Servers of one zone, highest rank first.
struct ZoneServers {
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  std::uint64_t live = 0;
};

/// Appends servers to \p out in order of rank until \p quota live ones have
/// been appended; dead ones count only if \p count_dead.
void AppendRanked(const ZoneServers& zone,
                  const std::vector<state::NodeRecord>& servers,
                  bool count_dead,
                  std::uint64_t quota,
                  std::vector<std::size_t>* out) {
  std::uint64_t live = 0;
  for (const auto& [rank, index] : zone.ranked) {
    if (live >= quota)
      return;
    out->push_back(index);
    if (count_dead || servers[index].liveness != Liveness::kDead)
      ++live;
  }
}

}  // namespace

std::uint32_t SubsetSize(std::uint32_t connections,
                         std::uint32_t calling_nodes,
                         std::uint32_t servers) {
  if (calling_nodes <= connections || servers <= 1)
    return servers;
  // mean + d x sqrt(mean) = connections, solved for the mean.
  const double half = kSubsetDeviations / 2;
  const double root = std::sqrt(half * half + connections) - half;
  const double size = root * root * servers / calling_nodes;
  return std::clamp(static_cast<std::uint32_t>(size), 1U, servers);
}

std::vector<std::size_t> SubsetOf(NodeId self,
                                  std::string_view service,
                                  const std::vector<state::NodeRecord>& servers,
                                  std::uint32_t size) {
  const std::uint64_t seed = state::HashOf(self, state::HashOf(service));
  std::map<std::string_view, ZoneServers> zones;
  std::uint64_t live = 0;
  std::uint64_t all = 0;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (!AcceptsCalls(servers[i].backend_state))
      continue;
    ZoneServers& zone = zones[servers[i].zone];
    zone.ranked.emplace_back(state::HashOf(seed, servers[i].node), i);
    const bool is_live = servers[i].liveness != Liveness::kDead;
    zone.live += is_live ? 1 : 0;
    live += is_live ? 1 : 0;
    ++all;
  }
  std::vector<std::size_t> subset;
  if (all == 0)
    return subset;
  const bool count_dead = live == 0;
  const std::uint64_t total = count_dead ? all : live;
  const std::uint64_t wanted = std::min<std::uint64_t>(size, total);
  // Systematic sampling: the zones are adjacent intervals of length `wanted *
  // weight`, and the quota of a zone is the number of multiples of `total` in
  // its interval. The start of the first interval depends on the node, so that
  // over many nodes no zone gains from rounding.
  std::uint64_t position = seed % total;
  for (auto& [name, zone] : zones) {
    std::sort(zone.ranked.begin(), zone.ranked.end(), std::greater<>());
    const std::uint64_t weight = count_dead ? zone.ranked.size() : zone.live;
    const std::uint64_t end = position + wanted * weight;
    const std::uint64_t quota =
        wanted == total ? zone.ranked.size() : end / total - position / total;
    AppendRanked(zone, servers, count_dead || wanted == total, quota, &subset);
    position = end;
  }
  std::sort(subset.begin(), subset.end());
  return subset;
}

Router::Router(NodeId self, std::string zone, RouterOptions options)
    : self_(self), zone_(std::move(zone)), options_(options) {}

void Router::SetZones(std::map<std::string, std::string> region_of_zone) {
  region_of_zone_ = std::move(region_of_zone);
}

std::uint8_t Router::DistanceOf(const std::string& zone) const {
  if (zone == zone_)
    return 0;
  const auto region_of = [this](const std::string& name) {
    const auto found = region_of_zone_.find(name);
    return found == region_of_zone_.end() ? std::string() : found->second;
  };
  return region_of(zone) == region_of(zone_) ? 1 : 2;
}

void Router::SetServers(std::string_view service,
                        const std::vector<state::NodeRecord>& servers,
                        const SubsetParameters& shape,
                        Instant now) {
  ServiceEntry& entry =
      services_.try_emplace(std::string(service)).first->second;
  // The connections are spread over the live servers only. If none is live,
  // liveness is ignored, as in SubsetOf.
  std::uint32_t live = 0;
  std::uint32_t listed = 0;
  for (const state::NodeRecord& record : servers) {
    if (!AcceptsCalls(record.backend_state))
      continue;
    ++listed;
    live += record.liveness != Liveness::kDead ? 1 : 0;
  }
  const std::uint32_t size = SubsetSize(shape.connections, shape.calling_nodes,
                                        live > 0 ? live : listed);
  std::vector<NodeId> subset;
  for (const std::size_t index : SubsetOf(self_, service, servers, size)) {
    UpdateServer(servers[index], &entry, now);
    subset.push_back(servers[index].node);
  }
  std::sort(subset.begin(), subset.end());
  for (const NodeId node : entry.subset) {
    if (std::binary_search(subset.begin(), subset.end(), node))
      continue;
    const Server* server = Find(node);
    if (server != nullptr && server->service == &entry)
      servers_.erase(node);
  }
  entry.subset = std::move(subset);
  entry.median_at.reset();
}

void Router::UpdateServer(const state::NodeRecord& record,
                          const ServiceEntry* service,
                          Instant now) {
  const auto [found, fresh] = servers_.try_emplace(record.node);
  Server& server = found->second;
  const bool same = !fresh && server.incarnation == record.incarnation &&
                    server.service == service;
  if (!same)
    server = Server{};
  // An answer may report that a server leaves before its record does. Only a
  // later record overrides that.
  if (!same || record.sequence > server.sequence ||
      AcceptsCalls(server.backend_state)) {
    if (record.backend_state == BackendState::kStarting &&
        server.backend_state != BackendState::kStarting) {
      server.starting_since = now;
    }
    server.backend_state = record.backend_state;
  }
  server.node = record.node;
  server.incarnation = record.incarnation;
  server.sequence = record.sequence;
  server.liveness = record.liveness;
  server.distance = DistanceOf(record.zone);
  server.service = service;
}

void Router::RemoveService(std::string_view service) {
  const auto found = services_.find(service);
  if (found == services_.end())
    return;
  for (const NodeId node : found->second.subset) {
    const Server* server = Find(node);
    if (server != nullptr && server->service == &found->second)
      servers_.erase(node);
  }
  services_.erase(found);
}

Router::Server* Router::Find(NodeId node) {
  const auto found = servers_.find(node);
  return found == servers_.end() ? nullptr : &found->second;
}

std::vector<const Router::Server*> Router::ServersOf(
    const ServiceEntry& service) const {
  std::vector<const Server*> servers;
  servers.reserve(service.subset.size());
  for (const NodeId node : service.subset) {
    const auto found = servers_.find(node);
    if (found != servers_.end() && found->second.service == &service)
      servers.push_back(&found->second);
  }
  return servers;
}

bool Router::AnsweredRecently(const Server& server, Instant now) const {
  return server.last_answer &&
         now - *server.last_answer < options_.answer_max_age;
}

bool Router::IsDead(const Server& server, Instant now) const {
  return server.liveness == Liveness::kDead && !AnsweredRecently(server, now);
}

Router::Group Router::GroupOf(const Server& server, Instant now) const {
  if (!AcceptsCalls(server.backend_state))
    return Group::kUnavailable;
  const bool probing =
      server.probe_sent && now - *server.probe_sent < options_.probe_timeout;
  if (server.unreachable_until > now || probing)
    return Group::kUnreachable;
  if (server.ejected_until > now)
    return Group::kEjected;
  return IsDead(server, now) ? Group::kDead : Group::kHealthy;
}

double Router::WeightOf(const Server& server, Instant now) const {
  double weight = 1;
  if (server.backend_state == BackendState::kStarting) {
    const double share =
        static_cast<double>((now - server.starting_since).count()) /
        static_cast<double>(options_.cold_start_ramp.count());
    weight = options_.cold_start_weight +
             (1 - options_.cold_start_weight) * std::clamp(share, 0.0, 1.0);
  }
  const bool suspected = server.liveness != Liveness::kAlive;
  if (suspected && !AnsweredRecently(server, now))
    weight *= options_.suspect_weight;
  return weight;
}

double Router::LatencyOf(const Server& server,
                         double median_us,
                         Instant now) const {
  if (server.answers == 0)
    return median_us;
  const double factor =
      DecayFactor(now - server.latency_updated, options_.latency_decay);
  return median_us + (server.latency_us - median_us) * factor;
}

double Router::Decayed(double rate, const Server& server, Instant now) const {
  return rate * DecayFactor(now - server.rates_updated, options_.rate_decay);
}

double Router::CostOf(const Server& server,
                      double median_us,
                      Instant now) const {
  if (ReportsWorkTime(server))
    return CostByCompletion(server, median_us, now);
  const double cost = LatencyOf(server, median_us, now) *
                          (static_cast<double>(server.in_flight) + 1) /
                          WeightOf(server, now) +
                      PenaltyOf(server, median_us, now);
  const bool fresh = server.hint_at && server.hint.limit > 0 &&
                     now - *server.hint_at < options_.hint_max_age;
  if (!fresh)
    return cost;
  const double load = std::min(
      1.0, static_cast<double>(server.hint.in_progress) / server.hint.limit);
  return cost * (1 + (options_.hint_max_factor - 1) * load);
}

bool Router::ReportsWorkTime(const Server& server) const {
  if (server.hint_at)
    return server.hint.work_time > state::Duration(0) && server.hint.limit > 0;
  // A server that has not answered yet is judged by the others.
  return server.service->work_time_us > 0;
}

Router::Expectation Router::Expect(const Server& server, Instant now) const {
  const ServiceEntry& service = *server.service;
  Expectation expected{service.work_time_us, service.mean_load * service.limit,
                       service.limit};
  double deviation = std::sqrt(expected.calls);
  if (server.hint_at) {
    const state::Duration age = now - *server.hint_at;
    const double load_decay = DecayFactor(age, options_.load_decay);
    const double factor = 1 + (server.hint.work_factor_percent / 100.0 - 1) *
                                  DecayFactor(age, options_.work_factor_decay);
    const auto work_us = static_cast<double>(server.hint.work_time.count());
    expected.work_us = factor * (service.work_time_us +
                                 (work_us - service.work_time_us) *
                                     DecayFactor(age, options_.latency_decay));
    expected.limit = server.hint.limit;
    const double mean = service.mean_load * expected.limit;
    expected.calls =
        mean +
        (server.hint.in_progress + server.hint.queued - mean) * load_decay;
    deviation = std::sqrt(std::max(expected.calls, 1.0) *
                          (1 - load_decay * load_decay));
  }
  expected.calls += std::min(server.sent_since_hint, server.in_flight);
  expected.limit = std::max(expected.limit * WeightOf(server, now), 1.0);
  // Mean number of calls ahead if the number of calls is uncertain. The
  // logistic distribution is close to the normal one and has a simple integral.
  // The least spread covers calls that other nodes have just sent.
  constexpr double kMinSpread = 0.3;
  constexpr double kSpreadPerDeviation = 0.6;
  const double spread = std::max(kMinSpread, kSpreadPerDeviation * deviation);
  const double excess = (expected.calls + 1 - expected.limit) / spread;
  // Above this, log(1 + e^x) equals x and e^x may overflow.
  constexpr double kLinearFrom = 30;
  const double ahead =
      spread * (excess > kLinearFrom ? excess : std::log1p(std::exp(excess)));
  expected.wait_us = expected.work_us * ahead / expected.limit;
  return expected;
}

double Router::PenaltyOf(const Server& server,
                         double median_us,
                         Instant now) const {
  const double penalty = server.refusal_rate * options_.refusal_cost +
                         server.failure_rate * options_.failure_cost;
  return Decayed(penalty, server, now) * median_us;
}

double Router::CompletionOf(const Server& server,
                            double median_us,
                            Instant now) const {
  const Expectation expected = Expect(server, now);
  return expected.work_us + expected.wait_us +
         PenaltyOf(server, median_us, now);
}

double Router::CostByCompletion(const Server& server,
                                double median_us,
                                Instant now) const {
  const Expectation expected = Expect(server, now);
  const double use = (expected.calls + 1) / expected.limit;
  const double congestion =
      options_.congestion_cost * std::pow(use, options_.congestion_power);
  // The calls of this node are known exactly, whatever the age of the report.
  return (expected.wait_us + expected.work_us * (1 + congestion)) *
             std::sqrt(server.in_flight + 1.0) +
         PenaltyOf(server, median_us, now);
}

double Router::SpillShareOf(const Server& server,
                            double median_us,
                            Instant now) const {
  const double rate =
      Decayed(std::max(server.refusal_rate, server.failure_rate), server, now);
  const double refused = (rate - options_.spill_start_rate) /
                         (options_.spill_full_rate - options_.spill_start_rate);
  const double ratio = LatencyOf(server, median_us, now) / median_us;
  const double slow =
      (ratio - options_.spill_latency_ratio) / options_.spill_latency_ratio;
  return std::clamp(std::max(refused, slow), 0.0, 1.0);
}

double Router::MedianOf(ServiceEntry& service, Instant now) {
  if (service.median_at && now - *service.median_at < options_.median_max_age)
    return service.median_us;
  std::vector<double> latencies;
  for (const Server* server : ServersOf(service)) {
    if (server->answers > 0)
      latencies.push_back(server->latency_us);
  }
  UpdateReportedMeans(service);
  const double median = LowerMedian(std::move(latencies));
  if (median <= 0) {
    // Not cached, because the first answer would seem slow relative to it.
    return kInitialLatencyUs;
  }
  service.median_us = median;
  service.median_at = now;
  return median;
}

void Router::UpdateReportedMeans(ServiceEntry& service) const {
  std::vector<double> work_times;
  double load = 0;
  double limit = 0;
  for (const Server* server : ServersOf(service)) {
    const LoadHint& hint = server->hint;
    if (!server->hint_at || hint.work_time <= state::Duration(0) ||
        hint.limit == 0)
      continue;
    work_times.push_back(static_cast<double>(hint.work_time.count()));
    load += static_cast<double>(hint.in_progress + hint.queued) / hint.limit;
    limit += hint.limit;
  }
  const auto count =
      static_cast<double>(std::max<std::size_t>(work_times.size(), 1));
  service.mean_load = load / count;
  service.limit = limit / count;
  service.work_time_us = LowerMedian(std::move(work_times));
}

std::vector<Router::Server*> Router::BestGroup(const ServiceEntry& service,
                                               Instant now,
                                               std::span<const NodeId> exclude,
                                               Group* group) {
  *group = Group::kUnavailable;
  std::vector<Server*> best;
  for (const NodeId node : service.subset) {
    Server* server = Find(node);
    if (server == nullptr || server->service != &service ||
        std::find(exclude.begin(), exclude.end(), node) != exclude.end()) {
      continue;
    }
    const Group of_server = GroupOf(*server, now);
    if (of_server == Group::kUnavailable || of_server > *group)
      continue;
    if (of_server < *group)
      best.clear();
    *group = of_server;
    best.push_back(server);
  }
  return best;
}

std::vector<Router::Server*> Router::NarrowToZone(
    const std::vector<Server*>& candidates,
    double median_us,
    Instant now,
    std::mt19937_64& rng) const {
  constexpr std::uint8_t kFarthest = 2;
  for (std::uint8_t distance = 0; distance < kFarthest; ++distance) {
    std::vector<Server*> near;
    double spill = 1;
    double near_cost = std::numeric_limits<double>::max();
    double far_cost = near_cost;
    bool by_completion = true;
    for (const Server* server : candidates) {
      by_completion &= ReportsWorkTime(*server);
      double& lowest = server->distance > distance ? far_cost : near_cost;
      lowest = std::min(lowest, CompletionOf(*server, median_us, now));
    }
    for (Server* server : candidates) {
      if (server->distance > distance)
        continue;
      near.push_back(server);
      spill = std::min(spill, SpillShareOf(*server, median_us, now));
    }
    if (near.empty())
      continue;
    // Spilling helps only as far as the servers farther away are less loaded.
    double elsewhere = 1;
    for (const Server* server : candidates) {
      if (server->distance > distance)
        elsewhere = std::min(elsewhere, SpillShareOf(*server, median_us, now));
    }
    spill -= elsewhere;
    if (by_completion)
      spill = (near_cost / far_cost - options_.spill_cost_ratio) /
              options_.spill_cost_ratio;
    std::uniform_real_distribution<double> draw(0, 1);
    if (spill <= 0 || draw(rng) >= spill)
      return near;
  }
  return candidates;
}

std::optional<RouteChoice> Router::Choose(std::string_view service,
                                          Instant now,
                                          std::mt19937_64& rng,
                                          std::span<const NodeId> exclude) {
  const auto found = services_.find(service);
  if (found == services_.end())
    return std::nullopt;
  Group group = Group::kUnavailable;
  const std::vector<Server*> candidates =
      BestGroup(found->second, now, exclude, &group);
  if (candidates.empty())
    return std::nullopt;
  const double median = MedianOf(found->second, now);
  std::vector<Server*> pool = NarrowToZone(candidates, median, now, rng);
  Server* chosen = nullptr;
  double lowest = 0;
  for (std::size_t i = 0; i < options_.candidates && i < pool.size(); ++i) {
    std::uniform_int_distribution<std::size_t> draw(i, pool.size() - 1);
    std::swap(pool[i], pool[draw(rng)]);
    const double cost = CostOf(*pool[i], median, now);
    if (chosen == nullptr || cost < lowest) {
      chosen = pool[i];
      lowest = cost;
    }
  }
  if (chosen->connect_failures > 0)
    chosen->probe_sent = now;
  return RouteChoice{chosen->node, chosen->incarnation,
                     group == Group::kHealthy && candidates.size() > 1};
}

void Router::OnSent(NodeId node, Instant /*now*/) {
  Server* server = Find(node);
  if (server == nullptr)
    return;
  ++server->in_flight;
  ++server->sent_since_hint;
}

void Router::OnLoadReport(NodeId node, const LoadHint& hint, Instant now) {
  Server* server = Find(node);
  if (server == nullptr)
    return;
  server->hint = hint;
  server->hint_at = now;
  server->sent_since_hint = 0;
}

void Router::OnAnswered(NodeId node,
                        ResultCode result,
                        state::Duration latency,
                        const LoadHint& hint,
                        Instant now) {
  Server* server = Find(node);
  if (server == nullptr)
    return;
  server->in_flight -= server->in_flight > 0 ? 1 : 0;
  server->connect_failures = 0;
  server->unreachable_until = Instant{};
  server->probe_sent.reset();
  server->last_answer = now;
  // An answer that did not come from the server's node reports no limit.
  if (hint.limit > 0)
    OnLoadReport(node, hint, now);
  if (result == ResultCode::kLeaving ||
      hint.backend_state == BackendState::kLeaving) {
    server->backend_state = BackendState::kLeaving;
  }
  if (result == ResultCode::kNoBackendServer)
    server->backend_state = BackendState::kAbsent;
  switch (ClassOf(result)) {
    case OutcomeClass::kSuccess:
      server->consecutive_failures = 0;
      UpdateRates(*server, false, false, now);
      CountLatency(*server, latency, now);
      return;
    case OutcomeClass::kRefusal:
      // The reported load tells that the server is full.
      if (result == ResultCode::kQueueFull && ReportsWorkTime(*server))
        return;
      // Refusals are not counted in the latency, because the server that
      // refuses fastest would then attract calls.
      UpdateRates(*server, true, false, now);
      return;
    case OutcomeClass::kFailure:
      CountFailure(*server, now);
      return;
    case OutcomeClass::kNeutral:
      return;
  }
}

void Router::OnFailed(NodeId node, ResultCode result, Instant now) {
  Server* server = Find(node);
  if (server == nullptr)
    return;
  server->in_flight -= server->in_flight > 0 ? 1 : 0;
  server->probe_sent.reset();
  if (result == ResultCode::kConnectFailed) {
    CountConnectFailure(*server, now);
    return;
  }
  if (ClassOf(result) == OutcomeClass::kFailure)
    CountFailure(*server, now);
}

void Router::OnCancelled(NodeId node) {
  Server* server = Find(node);
  if (server == nullptr)
    return;
  server->in_flight -= server->in_flight > 0 ? 1 : 0;
  server->probe_sent.reset();
}

void Router::UpdateRates(Server& server,
                         bool refused,
                         bool failed,
                         Instant now) {
  const auto update = [&](double rate, bool outcome) {
    const double before = Decayed(rate, server, now);
    return before + options_.rate_gain * ((outcome ? 1.0 : 0.0) - before);
  };
  server.refusal_rate = update(server.refusal_rate, refused);
  server.failure_rate = update(server.failure_rate, failed);
  server.rates_updated = now;
}

void Router::CountLatency(Server& server,
                          state::Duration latency,
                          Instant now) {
  ++server.answers;
  const double gain = std::max(options_.latency_gain, 1.0 / server.answers);
  server.latency_us +=
      gain * (static_cast<double>(latency.count()) - server.latency_us);
  server.latency_updated = now;
  EjectForLatency(server, now);
}

void Router::CountFailure(Server& server, Instant now) {
  UpdateRates(server, false, true, now);
  if (server.last_failure &&
      now - *server.last_failure < options_.failure_min_spacing) {
    return;
  }
  server.last_failure = now;
  ++server.consecutive_failures;
  EjectForFailures(server, now);
}

void Router::CountConnectFailure(Server& server, Instant now) {
  // Calls that fail together count as one, so that the time is doubled only
  // once.
  if (server.unreachable_until > now)
    return;
  server.unreachable_until =
      now + Doubled(options_.unreachable_time, server.connect_failures,
                    options_.unreachable_max_time);
  ++server.connect_failures;
}

bool Router::MayEject(const Server& server, Instant now) const {
  std::size_t usable = 0;
  std::size_t ejected = 0;
  std::size_t healthy_others = 0;
  for (const Server* other : ServersOf(*server.service)) {
    const Group group = GroupOf(*other, now);
    if (group == Group::kUnavailable)
      continue;
    ++usable;
    if (other == &server)
      continue;
    ejected += other->ejected_until > now ? 1 : 0;
    healthy_others += group == Group::kHealthy ? 1 : 0;
  }
  return healthy_others > 0 && (ejected + 1) * 2 <= usable;
}

void Router::EjectForFailures(Server& server, Instant now) {
  if (server.consecutive_failures < options_.ejection_failures ||
      server.ejected_until > now) {
    return;
  }
  std::vector<double> rates;
  for (const Server* other : ServersOf(*server.service)) {
    if (other != &server && AcceptsCalls(other->backend_state))
      rates.push_back(Decayed(other->failure_rate, *other, now));
  }
  if (LowerMedian(std::move(rates)) < options_.ejection_max_failure_rate)
    Eject(server, now);
}

bool Router::IsSlow(const Server& server) const {
  if (server.answers < options_.ejection_min_answers ||
      server.latency_us <
          static_cast<double>(options_.ejection_min_latency.count())) {
    return false;
  }
  std::vector<double> latencies;
  for (const Server* other : ServersOf(*server.service)) {
    if (other != &server && other->answers > 0)
      latencies.push_back(other->latency_us);
  }
  const double median = LowerMedian(std::move(latencies));
  return median > 0 &&
         server.latency_us > options_.ejection_latency_ratio * median;
}

void Router::EjectForLatency(Server& server, Instant now) {
  if (!IsSlow(server)) {
    server.slow_since.reset();
    return;
  }
  if (!server.slow_since)
    server.slow_since = now;
  const bool lasted =
      now - *server.slow_since >= options_.ejection_min_slow_time;
  if (lasted && server.ejected_until <= now)
    Eject(server, now);
}

void Router::Eject(Server& server, Instant now) {
  if (!MayEject(server, now))
    return;
  if (now - server.ejected_until > options_.ejection_reset_after)
    server.ejections = 0;
  server.ejected_until = now + Doubled(options_.ejection_time, server.ejections,
                                       options_.ejection_max_time);
  ++server.ejections;
  // After the ejection a single failure ejects the server again. Its latency
  // average starts anew.
  server.consecutive_failures = options_.ejection_failures - 1;
  server.answers = 0;
  server.latency_us = 0;
  server.slow_since.reset();
}

std::vector<ServerView> Router::View(std::string_view service,
                                     Instant now) const {
  std::vector<ServerView> views;
  const auto found = services_.find(service);
  if (found == services_.end())
    return views;
  for (const Server* server : ServersOf(found->second)) {
    ServerView view;
    view.node = server->node;
    view.distance = server->distance;
    view.backend_state = server->backend_state;
    view.liveness = server->liveness;
    view.in_flight = server->in_flight;
    view.latency = state::Duration(std::llround(server->latency_us));
    view.refusal_rate = Decayed(server->refusal_rate, *server, now);
    view.weight = WeightOf(*server, now);
    view.ejected = server->ejected_until > now;
    view.unreachable = server->unreachable_until > now;
    views.push_back(view);
  }
  return views;
}

}  // namespace sesamespread::coordination
