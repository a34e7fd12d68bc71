/// \file
/// Events of the load balancing bench.
#include "load_balancing_bench.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using state::NodeId;
using state::ResultCode;

constexpr char kService[] = "stock";
constexpr char kRoute[] = "read";
constexpr double kGoal = 300;
constexpr double kTimeout = 800;
constexpr double kFirstPassWaitShare = 0.15;
constexpr double kLastPassWaitShare = 0.5;
constexpr std::uint32_t kMaxPlacements = 12;
constexpr std::uint32_t kMaxFirstWorkFactorPercent = 150;
constexpr double kWork = 94;
constexpr double kSigma = 0.4;
constexpr double kTailShare = 0.03;
constexpr double kTailFactor = 7;
constexpr double kZoneDelay = 0.2;
constexpr double kOtherZoneDelay = 1.0;
// The first requests measure the servers.
constexpr double kWarmUp = 3000;

Instant At(double ms) {
  return Instant(std::chrono::hours(1)) +
         Duration(static_cast<std::int64_t>(ms * 1000));
}

Duration Span(double ms) {
  return Duration(static_cast<std::int64_t>(ms * 1000));
}

NodeId NodeOf(std::size_t server) {
  return 1000 + server;
}

std::string ZoneName(std::size_t zone) {
  return "zone-" + std::to_string(zone);
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

}  // namespace

LoadBalancingBench::LoadBalancingBench(BenchScenario scenario,
                                       BenchPolicy policy)
    : scenario_(std::move(scenario)),
      policy_(std::move(policy)),
      random_(scenario_.seed) {
  std::vector<state::NodeRecord> records;
  for (std::size_t i = 0; i < scenario_.servers; ++i) {
    Server& server = servers_.emplace_back();
    server.queue = std::make_unique<ServerQueue>();
    server.queue->SetSlots(scenario_.slots);
    server.queue->rate_limit().OnAnswer(std::nullopt, At(0), At(0));
    server.zone = i % scenario_.zones;
    server.speed =
        scenario_.speeds[i / scenario_.zones % scenario_.speeds.size()];
    if (server.zone == 0)
      server.speed /= scenario_.first_zone_slowdown;
    state::NodeRecord record;
    record.node = NodeOf(i);
    record.incarnation = 1;
    record.sequence = 1;
    record.zone = ZoneName(server.zone);
    record.service = kService;
    record.backend_state = state::BackendState::kServing;
    record.liveness = state::Liveness::kAlive;
    records.push_back(record);
  }
  for (std::size_t i = 0; i < scenario_.deciders; ++i) {
    Decider& decider = deciders_.emplace_back();
    decider.zone = i % scenario_.zones;
    decider.router =
        std::make_unique<Router>(1 + i, ZoneName(decider.zone), policy_.router);
    decider.router->SetServers(kService, records, {1100, 78}, At(0));
  }
}

void LoadBalancingBench::After(double delay, std::function<void()> action) {
  events_.push({now_ + delay, next_event_++, std::move(action)});
}

double LoadBalancingBench::Delay(std::size_t zone, std::size_t other_zone) {
  return zone == other_zone ? kZoneDelay : kOtherZoneDelay;
}

double LoadBalancingBench::MaxWait(const Request& request) const {
  const double to_goal = std::max(request.received + kGoal - now_, 0.0);
  return to_goal *
         (request.is_last_pass ? kLastPassWaitShare : kFirstPassWaitShare);
}

void LoadBalancingBench::NextRequest(std::size_t decider) {
  std::exponential_distribution<double> gap(scenario_.requests_per_second /
                                            1000);
  After(gap(random_), [this, decider] {
    if (now_ >= scenario_.duration)
      return;
    // The mean of the log-normal distribution is kWork.
    std::lognormal_distribution<double> work(
        std::log(kWork) - kSigma * kSigma / 2, kSigma);
    std::bernoulli_distribution is_tail(kTailShare);
    Request request;
    request.decider = decider;
    request.received = now_;
    request.work = work(random_) * (is_tail(random_) ? kTailFactor : 1);
    requests_.push_back(request);
    Place(requests_.size() - 1);
    NextRequest(decider);
  });
}

void LoadBalancingBench::NextSpell(std::size_t server, bool is_slow) {
  servers_[server].noise = is_slow ? scenario_.noise_factor : 1;
  After(scenario_.noise_spell, [this, server] {
    std::bernoulli_distribution slow(scenario_.noise_share);
    if (now_ < scenario_.duration)
      NextSpell(server, slow(random_));
  });
}

void LoadBalancingBench::Sample() {
  double idle = 0;
  double queued = 0;
  double slots = 0;
  for (Server& server : servers_) {
    Apply(server.queue->Tick(At(now_)));
    const QueueLoad load = server.queue->load(At(now_));
    idle += load.limit - std::min(load.in_progress, load.limit);
    queued += load.queued;
    slots += load.limit;
  }
  if (now_ > kWarmUp && now_ < scenario_.duration) {
    idle_sum_ += std::min(idle, queued) / slots;
    ++samples_;
  }
  After(5, [this] {
    if (now_ < scenario_.duration + kTimeout)
      Sample();
  });
}

QueuedCall LoadBalancingBench::MakeCall(Ticket ticket) const {
  const Request& request = requests_[ticket];
  QueuedCall call;
  call.ticket = ticket;
  call.route = kRoute;
  call.goal = At(request.received + kGoal);
  call.deadline = At(request.received + kTimeout);
  call.max_wait = Span(MaxWait(request));
  call.priority = 1;
  call.has_alternatives = !request.is_last_pass;
  if (policy_.refuses_slow && request.placements == 1)
    call.max_work_factor_percent = kMaxFirstWorkFactorPercent;
  return call;
}

void LoadBalancingBench::Place(Ticket ticket) {
  Request& request = requests_[ticket];
  Decider& decider = deciders_[request.decider];
  if (now_ >= request.received + kTimeout ||
      request.placements >= kMaxPlacements) {
    failed_ += request.received > kWarmUp ? 1 : 0;
    return;
  }
  const auto choose = [&] {
    std::vector<NodeId> excluded = request.tried;
    for (const NodeId node :
         decider.waits.NodesAbove(kRoute, Span(MaxWait(request)), At(now_)))
      excluded.push_back(node);
    return decider.router->Choose(kService, At(now_), random_, excluded);
  };
  auto choice = choose();
  if (!choice && !request.is_last_pass) {
    request.is_last_pass = true;
    request.tried.clear();
    choice = choose();
  }
  if (!choice) {
    failed_ += request.received > kWarmUp ? 1 : 0;
    return;
  }
  request.server = choice->node - NodeOf(0);
  request.tried.push_back(choice->node);
  request.sent = now_;
  ++request.placements;
  decider.router->OnSent(choice->node, At(now_));
  After(Delay(decider.zone, servers_[request.server].zone),
        [this, ticket] { Offer(ticket); });
}

void LoadBalancingBench::Offer(Ticket ticket) {
  Request& request = requests_[ticket];
  request.offered = now_;
  const QueueDecision decision =
      servers_[request.server].queue->Offer(MakeCall(ticket), At(now_));
  if (decision.outcome == QueueOutcome::kStart)
    Start(ticket);
  else if (decision.outcome == QueueOutcome::kRefused)
    Answer(ticket, decision.code);
}

void LoadBalancingBench::Start(Ticket ticket) {
  const Request& request = requests_[ticket];
  Server& server = servers_[request.server];
  ++server.running;
  if (request.received > kWarmUp) {
    waits_.push_back(now_ - request.received);
    server.work += request.work / server.speed;
    ++runs_;
    other_zone_ += server.zone != deciders_[request.decider].zone ? 1 : 0;
  }
  const double took = request.work / server.speed * server.noise;
  After(took, [this, ticket, took] {
    const std::size_t index = requests_[ticket].server;
    Server& at = servers_[index];
    if (scenario_.reports_work_time) {
      at.queue->OnReportedWorkTime(static_cast<std::uint32_t>(at.noise * 100),
                                   At(now_));
      at.queue->OnReportedLoadAt(at.running, At(now_));
    } else {
      at.queue->OnReportedLoad(at.running);
    }
    --at.running;
    const QueueActions actions =
        at.queue->Finish(kRoute, Span(took), true, At(now_));
    Answer(ticket, ResultCode::kOk);
    Apply(actions);
  });
}

void LoadBalancingBench::Apply(const QueueActions& actions) {
  for (const QueueRefusal& refusal : actions.refuse)
    Answer(refusal.ticket, refusal.code);
  for (const Ticket ticket : actions.start)
    Start(ticket);
}

LoadHint LoadBalancingBench::HintOf(const Server& server) const {
  const QueueLoad load = server.queue->load(At(now_));
  LoadHint hint;
  hint.in_progress = load.in_progress;
  hint.limit = load.limit;
  hint.threshold = state::kPriorityCount;
  hint.backend_state = state::BackendState::kServing;
  if (policy_.uses_reports) {
    hint.queued = load.queued;
    hint.work_time = load.work_time;
    hint.work_factor_percent = load.work_factor_percent;
  }
  return hint;
}

void LoadBalancingBench::Answer(Ticket ticket, ResultCode result) {
  const Request& request = requests_[ticket];
  const Server& server = servers_[request.server];
  QueuedCall following;
  following.goal = At(std::max(request.received + kGoal, now_));
  following.priority = 1;
  const Duration wait = server.queue->ExpectedWaitOf(following, At(now_));
  After(Delay(deciders_[request.decider].zone, server.zone),
        [this, ticket, result, wait, hint = HintOf(server)] {
          OnAnswer(ticket, result, hint, wait);
        });
}

void LoadBalancingBench::OnAnswer(Ticket ticket,
                                  ResultCode result,
                                  const LoadHint& hint,
                                  Duration expected_wait) {
  const Request& request = requests_[ticket];
  Decider& decider = deciders_[request.decider];
  const NodeId node = NodeOf(request.server);
  decider.waits.Observe(node, kRoute, expected_wait, At(now_));
  decider.router->OnAnswered(node, result, Span(now_ - request.sent), hint,
                             At(now_));
  if (result != ResultCode::kOk) {
    Place(ticket);
    return;
  }
  if (request.received > kWarmUp)
    latencies_.push_back(now_ - request.received);
}

BenchResult LoadBalancingBench::Run() {
  std::bernoulli_distribution is_slow(scenario_.noise_share);
  std::uniform_real_distribution<double> phase(0, scenario_.noise_spell);
  for (std::size_t i = 0; i < servers_.size(); ++i)
    After(phase(random_), [this, i] { NextSpell(i, false); });
  for (std::size_t i = 0; i < deciders_.size(); ++i)
    NextRequest(i);
  Sample();
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  return Summarize();
}

BenchResult LoadBalancingBench::Summarize() {
  BenchResult result;
  for (const Request& request : requests_) {
    if (request.received > kWarmUp) {
      ++offered_;
      placements_ += request.placements;
    }
  }
  const auto offered = static_cast<double>(offered_);
  double sum = 0;
  double most = 0;
  for (const Server& server : servers_) {
    sum += server.work;
    most = std::max(most, server.work);
  }
  result.busiest = most / (sum / static_cast<double>(servers_.size()));
  result.wait_p99 = Percentile(waits_, 0.99);
  result.latency_p99 = Percentile(latencies_, 0.99);
  for (const double latency : latencies_) {
    result.mean_latency += latency / static_cast<double>(latencies_.size());
    result.in_time += latency <= kGoal ? 1 / offered : 0;
  }
  result.other_zone =
      static_cast<double>(other_zone_) / static_cast<double>(runs_);
  result.idle_while_queued = idle_sum_ / static_cast<double>(samples_);
  result.placements = static_cast<double>(placements_) / offered;
  result.failed = static_cast<double>(failed_) / offered;
  return result;
}

}  // namespace sesamespread::coordination
