/// \file
/// Start order, concurrency limit and refusals of calls to one backend server.
#include "sesamespread/coordination/server_queue.h"

#include <algorithm>
#include <cmath>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using state::ResultCode;

// Multiple of its max_wait after which a queued call is refused. Calls with
// shorter objectives overtake it, so that it may wait for longer than was
// expected when it was queued.
constexpr int kMaxWaitFactor = 2;

Duration FromMicros(double micros) {
  return Duration(static_cast<std::int64_t>(micros));
}

}  // namespace

ServerQueue::ServerQueue(ServerQueueOptions options)
    : options_(options),
      service_time_us_(
          static_cast<double>(options.initial_service_time.count())) {
  groups_.reserve(options.goal_factors.size());
  for (std::size_t rank = 0; rank < options.goal_factors.size(); ++rank)
    groups_.push_back({FairShares(options.fair_shares), {}, {}, {}, {}});
}

std::uint32_t ServerQueue::limit() const {
  const std::uint32_t slots = slots_ > 0 ? slots_ : options_.default_slots;
  const auto usable = static_cast<std::uint32_t>(
      std::floor(options_.usable_slot_share * slots));
  const std::uint32_t limit = std::max<std::uint32_t>(
      1, usable > external_requests_ ? usable - external_requests_ : 1);
  return rate_limit_.is_known() ? limit
                                : std::min(limit, options_.max_before_answer);
}

void ServerQueue::SetSlots(std::uint32_t slots) {
  slots_ = slots;
}

std::uint32_t ServerQueue::ExternalOf(std::uint32_t requests) const {
  // The report is as old as the transmission of its answer took, so small
  // differences do not show that there are other requests.
  constexpr std::uint32_t kTolerance = 2;
  const std::uint32_t own = in_progress_ + kTolerance;
  return requests > own ? requests - own : 0;
}

void ServerQueue::OnReportedLoad(std::uint32_t requests) {
  external_requests_ = ExternalOf(requests);
}

void ServerQueue::OnReportedLoadAt(std::uint32_t requests, Instant now) {
  const std::uint32_t external = ExternalOf(requests);
  if (!external_window_start_) {
    least_external_ = external;
    external_window_start_ = now;
  }
  if (now - *external_window_start_ >= options_.external_window) {
    previous_least_external_ = least_external_;
    least_external_ = external;
    external_window_start_ = now;
  }
  least_external_ = std::min(least_external_, external);
  external_requests_ = std::min(least_external_, previous_least_external_);
}

std::size_t ServerQueue::RankOf(const QueuedCall& call) const {
  return std::min<std::size_t>(call.priority, options_.goal_factors.size() - 1);
}

Instant ServerQueue::OrderOf(const QueuedCall& call, Instant now) const {
  const double to_goal =
      static_cast<double>(std::max(call.goal - now, Duration(0)).count());
  return now + FromMicros(to_goal * options_.goal_factors.at(RankOf(call)));
}

Duration ServerQueue::SlotWaitBehind(std::size_t ahead, Instant now) const {
  if (in_progress_ < limit())
    return Duration(0);
  return FromMicros(service_time_us_ * WorkFactor(now) *
                    static_cast<double>(ahead + 1) / limit());
}

Duration ServerQueue::ExpectedWaitBehind(std::size_t ahead, Instant now) const {
  return std::max(SlotWaitBehind(ahead, now),
                  rate_limit_.WaitBehind(ahead, now));
}

Duration ServerQueue::AcceptedWait(const QueuedCall& call,
                                   std::size_t ahead,
                                   Instant now) const {
  const bool waits_for_rate = rate_limit_.WaitBehind(ahead, now) > Duration(0);
  return call.has_alternatives && waits_for_rate
             ? std::min(call.max_wait, options_.max_rate_wait)
             : call.max_wait;
}

std::size_t ServerQueue::CountAhead(const QueuedCall& call,
                                    Instant order) const {
  std::size_t ahead = order_.order_of_key({order, 0});
  if (call.tenant == 0) {
    for (const RankGroup& group : groups_)
      ahead += group.on_time.order_of_key({order, 0});
    return ahead;
  }
  const std::size_t rank = RankOf(call);
  for (std::size_t i = 0; i < rank; ++i)
    ahead += groups_.at(i).on_time.size();
  const RankGroup& group = groups_.at(rank);
  return ahead + group.places.order_of_key(
                     {group.shares.NextStart(call.tenant), next_place_, 0});
}

Duration ServerQueue::ServiceTime(std::string_view route, Instant now) const {
  const auto found = route_service_times_us_.find(std::string(route));
  return FromMicros(WorkFactor(now) * (found == route_service_times_us_.end()
                                           ? service_time_us_
                                           : found->second));
}

void ServerQueue::OnReportedWorkTime(std::uint32_t percent, Instant now) {
  // Beyond these bounds a report is taken for wrong.
  constexpr double kMinFactor = 0.1;
  constexpr double kMaxFactor = 10;
  work_factor_ = std::clamp(percent / 100.0, kMinFactor, kMaxFactor);
  work_factor_at_ = now;
  mean_work_factor_ +=
      options_.work_factor_gain * (work_factor_ - mean_work_factor_);
}

double ServerQueue::WorkFactor(Instant now) const {
  const bool is_fresh =
      work_factor_at_ && now - *work_factor_at_ <= options_.work_time_max_age;
  return is_fresh ? work_factor_ : 1;
}

bool ServerQueue::IsTooLate(const QueuedCall& call, Instant now) const {
  return now + ServiceTime(call.route, now) / 2 >= call.deadline;
}

QueueDecision ServerQueue::Offer(const QueuedCall& call, Instant now) {
  QueueDecision decision;
  if (IsTooLate(call, now)) {
    decision.outcome = QueueOutcome::kRefused;
    decision.code = ResultCode::kDeadlineBeforeStart;
    return decision;
  }
  if (call.max_work_factor_percent > 0 &&
      WorkFactor(now) * 100 >
          mean_work_factor_ * call.max_work_factor_percent) {
    decision.outcome = QueueOutcome::kRefused;
    decision.code = ResultCode::kQueueFull;
    return decision;
  }
  // Calls that wait for the rate limit start before this one.
  if (in_progress_ < limit() && waiting_.empty() &&
      rate_limit_.TryAcquire(now)) {
    ++in_progress_;
    CountStart(call, now);
    return decision;
  }
  const Instant order = OrderOf(call, now);
  const std::size_t ahead = CountAhead(call, order);
  const Duration slot_wait = SlotWaitBehind(ahead, now);
  decision.expected_wait = ExpectedWaitBehind(ahead, now);
  const bool in_time =
      decision.expected_wait <= AcceptedWait(call, ahead, now) &&
      now + decision.expected_wait + ServiceTime(call.route, now) <=
          call.deadline;
  if (in_time && waiting_.size() >= options_.max_queued)
    decision.evicted = Evict(call);
  if (!in_time || waiting_.size() >= options_.max_queued) {
    decision.outcome = QueueOutcome::kRefused;
    decision.code = decision.expected_wait > slot_wait
                        ? ResultCode::kRateLimited
                        : ResultCode::kQueueFull;
    return decision;
  }
  decision.outcome = QueueOutcome::kQueued;
  Insert(call, now, order);
  return decision;
}

std::set<ServerQueue::Order>& ServerQueue::CallsBeside(const QueuedCall& call,
                                                       Lateness lateness) {
  if (call.tenant == 0)
    return calls_without_tenant_.at(lateness);
  return groups_.at(RankOf(call)).flows[call.tenant].calls.at(lateness);
}

void ServerQueue::Insert(const QueuedCall& call, Instant now, Instant order) {
  const Duration service_time = ServiceTime(call.route, now);
  const Lateness lateness = now + service_time <= call.goal ? kOnTime : kLate;
  bound_calls_ += call.has_alternatives ? 0 : 1;
  waiting_.emplace(call.ticket, Waiting{call, now, order, lateness});
  routes_[call.route].at(lateness).insert({call.goal, call.ticket});
  CallsBeside(call, lateness).insert({order, call.ticket});
  if (call.tenant == 0) {
    order_.insert({order, call.ticket});
    return;
  }
  RankGroup& group = groups_.at(RankOf(call));
  const auto work = static_cast<double>(service_time.count());
  const Place place{group.shares.Reserve(call.tenant, work, now), next_place_++,
                    work};
  group.flows[call.tenant].places.push_back(place);
  group.places.insert({place.tag.start, place.number, call.tenant});
  if (lateness == kOnTime)
    group.on_time.insert({order, call.ticket});
  UpdateReady(group, call.tenant);
}

void ServerQueue::Remove(Ticket ticket, bool starts) {
  const auto found = waiting_.find(ticket);
  const Waiting& waiting = found->second;
  const QueuedCall& call = waiting.call;
  bound_calls_ -= call.has_alternatives ? 0 : 1;
  const auto route = routes_.find(call.route);
  route->second.at(waiting.lateness).erase({call.goal, ticket});
  if (route->second[kOnTime].empty() && route->second[kLate].empty())
    routes_.erase(route);
  CallsBeside(call, waiting.lateness).erase({waiting.order, ticket});
  if (call.tenant == 0)
    order_.erase({waiting.order, ticket});
  else
    RemoveFromFlow(waiting, ticket, starts);
  waiting_.erase(found);
}

void ServerQueue::RemoveFromFlow(const Waiting& waiting,
                                 Ticket ticket,
                                 bool starts) {
  const TenantHash tenant = waiting.call.tenant;
  const std::size_t rank = RankOf(waiting.call);
  RankGroup& group = groups_.at(rank);
  Flow& flow = group.flows.at(tenant);
  const Place place = starts ? flow.places.front() : flow.places.back();
  if (starts) {
    flow.places.pop_front();
    group.shares.OnStart(place.tag);
    running_[ticket] = {rank, tenant, place.work};
  } else {
    flow.places.pop_back();
    group.shares.Release(tenant, place.tag);
  }
  group.places.erase({place.tag.start, place.number, tenant});
  if (waiting.lateness == kOnTime)
    group.on_time.erase({waiting.order, ticket});
  UpdateReady(group, tenant);
  if (flow.places.empty())
    group.flows.erase(tenant);
}

void ServerQueue::UpdateReady(RankGroup& group, TenantHash tenant) {
  Flow& flow = group.flows.at(tenant);
  for (const Lateness lateness : kLatenesses) {
    std::optional<PlaceKey>& key = flow.ready_key.at(lateness);
    if (key)
      group.ready.at(lateness).erase(*key);
    key.reset();
    if (flow.calls.at(lateness).empty())
      continue;
    const Place& first = flow.places.front();
    key = {first.tag.start, first.number, tenant};
    group.ready.at(lateness).insert(*key);
  }
}

void ServerQueue::CountStart(const QueuedCall& call, Instant now) {
  if (call.tenant == 0)
    return;
  const std::size_t rank = RankOf(call);
  FairShares& shares = groups_.at(rank).shares;
  const auto work = static_cast<double>(ServiceTime(call.route, now).count());
  shares.OnStart(shares.Reserve(call.tenant, work, now));
  running_[call.ticket] = {rank, call.tenant, work};
}

void ServerQueue::SetLateness(Ticket ticket, Lateness lateness) {
  Waiting& waiting = waiting_.at(ticket);
  const QueuedCall& call = waiting.call;
  RouteCalls& route = routes_.at(call.route);
  route.at(waiting.lateness).erase({call.goal, ticket});
  route.at(lateness).insert({call.goal, ticket});
  CallsBeside(call, waiting.lateness).erase({waiting.order, ticket});
  CallsBeside(call, lateness).insert({waiting.order, ticket});
  waiting.lateness = lateness;
  if (call.tenant == 0)
    return;
  RankGroup& group = groups_.at(RankOf(call));
  if (lateness == kOnTime)
    group.on_time.insert({waiting.order, ticket});
  else
    group.on_time.erase({waiting.order, ticket});
  UpdateReady(group, call.tenant);
}

void ServerQueue::UpdateLateness(Instant now) {
  for (auto& [route, calls] : routes_) {
    // Service times change, so that late calls may become punctual again.
    const Instant first_on_time = now + ServiceTime(route, now);
    while (!calls[kOnTime].empty() &&
           calls[kOnTime].begin()->first < first_on_time)
      SetLateness(calls[kOnTime].begin()->second, kLate);
    while (!calls[kLate].empty() &&
           calls[kLate].rbegin()->first >= first_on_time)
      SetLateness(calls[kLate].rbegin()->second, kOnTime);
  }
}

std::optional<QueueRefusal> ServerQueue::Evict(const QueuedCall& call) {
  if (call.tenant == 0)
    return std::nullopt;
  const std::size_t rank = RankOf(call);
  for (std::size_t i = groups_.size(); i-- > rank;) {
    RankGroup& group = groups_.at(i);
    if (group.places.empty())
      continue;
    const auto [start, number, tenant] = *group.places.rbegin();
    if (i == rank &&
        (tenant == call.tenant || start <= group.shares.NextStart(call.tenant)))
      return std::nullopt;
    const Flow& flow = group.flows.at(tenant);
    const std::set<Order>& calls =
        flow.calls[kLate].empty() ? flow.calls[kOnTime] : flow.calls[kLate];
    const Ticket ticket = calls.rbegin()->second;
    Remove(ticket);
    return QueueRefusal{ticket, ResultCode::kQueueFull};
  }
  return std::nullopt;
}

std::optional<Ticket> ServerQueue::FindNext() const {
  for (const Lateness lateness : kLatenesses) {
    std::optional<Order> next;
    for (const RankGroup& group : groups_) {
      const auto& ready = group.ready.at(lateness);
      if (ready.empty())
        continue;
      const TenantHash tenant = std::get<2>(*ready.begin());
      next = *group.flows.at(tenant).calls.at(lateness).begin();
      break;
    }
    const auto& without_tenant = calls_without_tenant_.at(lateness);
    if (!without_tenant.empty() && (!next || *without_tenant.begin() < *next))
      next = *without_tenant.begin();
    if (next)
      return next->second;
  }
  return std::nullopt;
}

void ServerQueue::StartNext(Instant now, QueueActions& actions) {
  UpdateLateness(now);
  while (in_progress_ < limit()) {
    const auto next = FindNext();
    if (!next)
      return;
    if (IsTooLate(waiting_.at(*next).call, now)) {
      Remove(*next);
      actions.refuse.push_back({*next, ResultCode::kDeadlineBeforeStart});
      continue;
    }
    if (!rate_limit_.TryAcquire(now))
      return;
    Remove(*next, /*starts=*/true);
    ++in_progress_;
    actions.start.push_back(*next);
  }
}

QueueActions ServerQueue::Finish(const std::string& route,
                                 Duration service_time,
                                 bool answered,
                                 Instant now,
                                 Ticket ticket) {
  if (const auto ended = running_.extract(ticket); !ended.empty()) {
    const Running& call = ended.mapped();
    groups_.at(call.rank).shares.OnGiven(
        call.tenant, static_cast<double>(service_time.count()),
        call.reserved_work, now);
  }
  in_progress_ -= in_progress_ > 0 ? 1 : 0;
  if (answered) {
    const double micros =
        static_cast<double>(service_time.count()) / WorkFactor(now);
    ++usual_time_answers_;
    usual_time_us_ +=
        std::max(options_.usual_time_gain, 1.0 / usual_time_answers_) *
        (micros - usual_time_us_);
    service_time_us_ += options_.gain * (micros - service_time_us_);
    const auto [entry, added] =
        route_service_times_us_.try_emplace(route, micros);
    if (!added)
      entry->second += options_.gain * (micros - entry->second);
  }
  QueueActions actions;
  StartNext(now, actions);
  return actions;
}

QueueActions ServerQueue::Tick(Instant now) {
  QueueActions actions;
  std::vector<QueueRefusal> late;
  for (const auto& [ticket, waiting] : waiting_) {
    if (IsTooLate(waiting.call, now))
      late.push_back({ticket, ResultCode::kDeadlineBeforeStart});
    else if (now - waiting.offered > kMaxWaitFactor * waiting.call.max_wait)
      late.push_back({ticket, ResultCode::kQueueFull});
  }
  for (const QueueRefusal& refusal : late)
    Remove(refusal.ticket);
  actions.refuse = std::move(late);
  StartNext(now, actions);
  return actions;
}

bool ServerQueue::Cancel(Ticket ticket) {
  if (waiting_.find(ticket) == waiting_.end())
    return false;
  Remove(ticket);
  return true;
}

std::vector<QueueRefusal> ServerQueue::RefuseAll(ResultCode code) {
  std::vector<QueueRefusal> refused;
  refused.reserve(waiting_.size());
  for (const auto& [order, ticket] : order_)
    refused.push_back({ticket, code});
  for (const RankGroup& group : groups_) {
    for (const auto& [tenant, flow] : group.flows) {
      for (const std::set<Order>& calls : flow.calls) {
        for (const auto& [order, ticket] : calls)
          refused.push_back({ticket, code});
      }
    }
  }
  for (const QueueRefusal& refusal : refused)
    Remove(refusal.ticket);
  return refused;
}

Duration ServerQueue::ExpectedWaitOf(const QueuedCall& call,
                                     Instant now) const {
  return ExpectedWaitBehind(CountAhead(call, OrderOf(call, now)), now);
}

QueueLoad ServerQueue::load(Instant now) const {
  const double unused_slots =
      1 - static_cast<double>(std::min(in_progress_, limit())) / limit();
  const Duration rate_wait = bound_calls_ > 0
                                 ? rate_limit_.WaitBehind(bound_calls_, now)
                                 : Duration(0);
  return {in_progress_,
          static_cast<std::uint32_t>(waiting_.size()),
          limit(),
          std::max(SlotWaitBehind(waiting_.size(), now), rate_wait),
          std::min(unused_slots, rate_limit_.UnusedShare(now)),
          FromMicros(usual_time_us_),
          static_cast<std::uint32_t>(std::lround(WorkFactor(now) * 100))};
}

}  // namespace sesamespread::coordination
