/// \file
/// The queue of a backend server as it was before tenants shared it, with which
/// the present one is compared.
#ifndef SESAMESPREAD_UNITTESTS_COORDINATION_REFERENCE_SERVER_QUEUE_H_
#define SESAMESPREAD_UNITTESTS_COORDINATION_REFERENCE_SERVER_QUEUE_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/coordination/server_queue.h"

namespace sesamespread::coordination {

using state::Duration;
using state::Instant;
using state::ResultCode;

class ReferenceServerQueue {
 public:
  explicit ReferenceServerQueue(ServerQueueOptions options = {});

  QueueDecision Offer(const QueuedCall& call, state::Instant now);

  QueueActions Finish(const std::string& route,
                      state::Duration service_time,
                      bool answered,
                      state::Instant now);

  QueueActions Tick(state::Instant now);

  bool Cancel(Ticket ticket);

  std::vector<QueueRefusal> RefuseAll(state::ResultCode code);

  void SetSlots(std::uint32_t slots);

  void OnReportedLoad(std::uint32_t requests);

  RequestRateLimit& rate_limit() { return rate_limit_; }
  const RequestRateLimit& rate_limit() const { return rate_limit_; }

  QueueLoad load(state::Instant now) const;

  state::Duration ExpectedWaitOf(const QueuedCall& call,
                                 state::Instant now) const;

  state::Duration ServiceTime(std::string_view route) const;

 private:
  struct Waiting {
    QueuedCall call;
    state::Instant offered;
    state::Instant order;
  };
  using Order = std::pair<state::Instant, Ticket>;

  std::uint32_t limit() const;
  // Position in the queue: calls with an earlier value start first.
  state::Instant OrderOf(const QueuedCall& call, state::Instant now) const;
  state::Duration SlotWaitBehind(std::size_t ahead) const;
  state::Duration ExpectedWaitBehind(std::size_t ahead,
                                     state::Instant now) const;
  // Wait that the sender of \p call accepts behind \p ahead others.
  state::Duration AcceptedWait(const QueuedCall& call,
                               std::size_t ahead,
                               state::Instant now) const;
  std::size_t CountAhead(state::Instant order) const;
  void StartNext(state::Instant now, QueueActions& actions);
  void Remove(Ticket ticket);
  bool IsTooLate(const QueuedCall& call, state::Instant now) const;

  const ServerQueueOptions options_;
  std::uint32_t slots_ = 0;
  std::uint32_t in_progress_ = 0;
  // Requests in progress at the backend server that this node did not send.
  std::uint32_t external_requests_ = 0;
  RequestRateLimit rate_limit_;
  std::unordered_map<Ticket, Waiting> waiting_;
  // Number of calls in waiting_ that no other server may take.
  std::size_t bound_calls_ = 0;
  // The tickets of waiting_ in the order in which they start.
  std::set<Order> order_;
  // Average over the calls of all routes.
  double service_time_us_;
  std::unordered_map<std::string, double> route_service_times_us_;
};

// Multiple of its max_wait after which a queued call is refused. Calls with
// shorter objectives overtake it, so that it may wait for longer than was
// expected when it was queued.
constexpr int kReferenceMaxWaitFactor = 2;

inline Duration FromMicros(double micros) {
  return Duration(static_cast<std::int64_t>(micros));
}

inline ReferenceServerQueue::ReferenceServerQueue(ServerQueueOptions options)
    : options_(options),
      service_time_us_(
          static_cast<double>(options.initial_service_time.count())) {}

inline std::uint32_t ReferenceServerQueue::limit() const {
  const std::uint32_t slots = slots_ > 0 ? slots_ : options_.default_slots;
  const auto usable = static_cast<std::uint32_t>(
      std::floor(options_.usable_slot_share * slots));
  const std::uint32_t limit = std::max<std::uint32_t>(
      1, usable > external_requests_ ? usable - external_requests_ : 1);
  return rate_limit_.is_known() ? limit
                                : std::min(limit, options_.max_before_answer);
}

inline void ReferenceServerQueue::SetSlots(std::uint32_t slots) {
  slots_ = slots;
}

inline void ReferenceServerQueue::OnReportedLoad(std::uint32_t requests) {
  // The report is as old as the transmission of its answer took, so small
  // differences do not show that there are other requests.
  constexpr std::uint32_t kTolerance = 2;
  const std::uint32_t own = in_progress_ + kTolerance;
  external_requests_ = requests > own ? requests - own : 0;
}

inline Instant ReferenceServerQueue::OrderOf(const QueuedCall& call,
                                             Instant now) const {
  const std::size_t rank =
      std::min<std::size_t>(call.priority, options_.goal_factors.size() - 1);
  const double to_goal =
      static_cast<double>(std::max(call.goal - now, Duration(0)).count());
  return now + FromMicros(to_goal * options_.goal_factors.at(rank));
}

inline Duration ReferenceServerQueue::SlotWaitBehind(std::size_t ahead) const {
  if (in_progress_ < limit())
    return Duration(0);
  return FromMicros(service_time_us_ * static_cast<double>(ahead + 1) /
                    limit());
}

inline Duration ReferenceServerQueue::ExpectedWaitBehind(std::size_t ahead,
                                                         Instant now) const {
  return std::max(SlotWaitBehind(ahead), rate_limit_.WaitBehind(ahead, now));
}

inline Duration ReferenceServerQueue::AcceptedWait(const QueuedCall& call,
                                                   std::size_t ahead,
                                                   Instant now) const {
  const bool waits_for_rate = rate_limit_.WaitBehind(ahead, now) > Duration(0);
  return call.has_alternatives && waits_for_rate
             ? std::min(call.max_wait, options_.max_rate_wait)
             : call.max_wait;
}

inline std::size_t ReferenceServerQueue::CountAhead(Instant order) const {
  return static_cast<std::size_t>(
      std::distance(order_.begin(), order_.lower_bound({order, 0})));
}

inline Duration ReferenceServerQueue::ServiceTime(
    std::string_view route) const {
  const auto found = route_service_times_us_.find(std::string(route));
  return FromMicros(found == route_service_times_us_.end() ? service_time_us_
                                                           : found->second);
}

inline bool ReferenceServerQueue::IsTooLate(const QueuedCall& call,
                                            Instant now) const {
  return now + ServiceTime(call.route) / 2 >= call.deadline;
}

inline QueueDecision ReferenceServerQueue::Offer(const QueuedCall& call,
                                                 Instant now) {
  QueueDecision decision;
  if (IsTooLate(call, now)) {
    decision.outcome = QueueOutcome::kRefused;
    decision.code = ResultCode::kDeadlineBeforeStart;
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
  const Duration slot_wait = SlotWaitBehind(ahead);
  decision.expected_wait = ExpectedWaitBehind(ahead, now);
  const bool in_time =
      decision.expected_wait <= AcceptedWait(call, ahead, now) &&
      now + decision.expected_wait + ServiceTime(call.route) <= call.deadline;
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

inline void ReferenceServerQueue::Remove(Ticket ticket) {
  const auto found = waiting_.find(ticket);
  bound_calls_ -= found->second.call.has_alternatives ? 0 : 1;
  order_.erase({found->second.order, ticket});
  waiting_.erase(found);
}

inline void ReferenceServerQueue::StartNext(Instant now,
                                            QueueActions& actions) {
  while (in_progress_ < limit() && !order_.empty()) {
    // The first call that can still meet its objective, or else the first one.
    auto next = order_.begin();
    for (auto i = order_.begin(); i != order_.end(); ++i) {
      const QueuedCall& call = waiting_.at(i->second).call;
      if (now + ServiceTime(call.route) <= call.goal) {
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

inline QueueActions ReferenceServerQueue::Finish(const std::string& route,
                                                 Duration service_time,
                                                 bool answered,
                                                 Instant now) {
  in_progress_ -= in_progress_ > 0 ? 1 : 0;
  if (answered) {
    const auto micros = static_cast<double>(service_time.count());
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

inline QueueActions ReferenceServerQueue::Tick(Instant now) {
  QueueActions actions;
  std::vector<QueueRefusal> late;
  for (const auto& [ticket, waiting] : waiting_) {
    if (IsTooLate(waiting.call, now))
      late.push_back({ticket, ResultCode::kDeadlineBeforeStart});
    else if (now - waiting.offered >
             kReferenceMaxWaitFactor * waiting.call.max_wait)
      late.push_back({ticket, ResultCode::kQueueFull});
  }
  for (const QueueRefusal& refusal : late)
    Remove(refusal.ticket);
  actions.refuse = std::move(late);
  StartNext(now, actions);
  return actions;
}

inline bool ReferenceServerQueue::Cancel(Ticket ticket) {
  if (waiting_.find(ticket) == waiting_.end())
    return false;
  Remove(ticket);
  return true;
}

inline std::vector<QueueRefusal> ReferenceServerQueue::RefuseAll(
    ResultCode code) {
  std::vector<QueueRefusal> refused;
  refused.reserve(order_.size());
  for (const auto& [order, ticket] : order_)
    refused.push_back({ticket, code});
  bound_calls_ = 0;
  waiting_.clear();
  order_.clear();
  return refused;
}

inline Duration ReferenceServerQueue::ExpectedWaitOf(const QueuedCall& call,
                                                     Instant now) const {
  return ExpectedWaitBehind(CountAhead(OrderOf(call, now)), now);
}

inline QueueLoad ReferenceServerQueue::load(Instant now) const {
  const double unused_slots =
      1 - static_cast<double>(std::min(in_progress_, limit())) / limit();
  const Duration rate_wait = bound_calls_ > 0
                                 ? rate_limit_.WaitBehind(bound_calls_, now)
                                 : Duration(0);
  return {in_progress_, static_cast<std::uint32_t>(waiting_.size()), limit(),
          std::max(SlotWaitBehind(waiting_.size()), rate_wait),
          std::min(unused_slots, rate_limit_.UnusedShare(now))};
}

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_UNITTESTS_COORDINATION_REFERENCE_SERVER_QUEUE_H_
