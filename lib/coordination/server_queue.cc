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
          static_cast<double>(options.initial_service_time.count())) {}

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

Instant ServerQueue::OrderOf(const QueuedCall& call, Instant now) const {
  const std::size_t rank =
      std::min<std::size_t>(call.priority, options_.goal_factors.size() - 1);
  const double to_goal =
      static_cast<double>(std::max(call.goal - now, Duration(0)).count());
  return now + FromMicros(to_goal * options_.goal_factors.at(rank));
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

std::size_t ServerQueue::CountAhead(Instant order) const {
  return static_cast<std::size_t>(
      std::distance(order_.begin(), order_.lower_bound({order, 0})));
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
    return decision;
  }
  const Instant order = OrderOf(call, now);
  const std::size_t ahead = CountAhead(order);
  const Duration slot_wait = SlotWaitBehind(ahead, now);
  decision.expected_wait = ExpectedWaitBehind(ahead, now);
  const bool in_time =
      decision.expected_wait <= AcceptedWait(call, ahead, now) &&
      now + decision.expected_wait + ServiceTime(call.route, now) <=
          call.deadline;
  if (!in_time || waiting_.size() >= options_.max_queued) {
    decision.outcome = QueueOutcome::kRefused;
    decision.code = decision.expected_wait > slot_wait
                        ? ResultCode::kRateLimited
                        : ResultCode::kQueueFull;
    return decision;
  }
  decision.outcome = QueueOutcome::kQueued;
  bound_calls_ += call.has_alternatives ? 0 : 1;
  waiting_.emplace(call.ticket, Waiting{call, now, order});
  order_.insert({order, call.ticket});
  return decision;
}

void ServerQueue::Remove(Ticket ticket) {
  const auto found = waiting_.find(ticket);
  bound_calls_ -= found->second.call.has_alternatives ? 0 : 1;
  order_.erase({found->second.order, ticket});
  waiting_.erase(found);
}

void ServerQueue::StartNext(Instant now, QueueActions& actions) {
  while (in_progress_ < limit() && !order_.empty()) {
    // The first call that can still meet its objective, or else the first one.
    auto next = order_.begin();
    for (auto i = order_.begin(); i != order_.end(); ++i) {
      const QueuedCall& call = waiting_.at(i->second).call;
      if (now + ServiceTime(call.route, now) <= call.goal) {
        next = i;
        break;
      }
    }
    const Ticket ticket = next->second;
    if (IsTooLate(waiting_.at(ticket).call, now)) {
      Remove(ticket);
      actions.refuse.push_back({ticket, ResultCode::kDeadlineBeforeStart});
      continue;
    }
    if (!rate_limit_.TryAcquire(now))
      return;
    Remove(ticket);
    ++in_progress_;
    actions.start.push_back(ticket);
  }
}

QueueActions ServerQueue::Finish(const std::string& route,
                                 Duration service_time,
                                 bool answered,
                                 Instant now) {
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
  refused.reserve(order_.size());
  for (const auto& [order, ticket] : order_)
    refused.push_back({ticket, code});
  bound_calls_ = 0;
  waiting_.clear();
  order_.clear();
  return refused;
}

Duration ServerQueue::ExpectedWaitOf(const QueuedCall& call,
                                     Instant now) const {
  return ExpectedWaitBehind(CountAhead(OrderOf(call, now)), now);
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
