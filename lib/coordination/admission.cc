/// \file
/// Admission control for one backend server.
#include "sesamespread/coordination/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Importance;
using state::Instant;
using state::ResultCode;

// Window over which service times and refusals are measured.
constexpr Duration kMeasurementWindow = std::chrono::milliseconds(100);
// Number of samples from which a new median replaces the previous one; with
// fewer it is replaced only after kMaxMeasurementWindow.
constexpr std::uint32_t kMinSamples = 5;
constexpr Duration kMaxMeasurementWindow = std::chrono::seconds(1);
// Weight of one window in the moving average of the refusal rate: smooths over
// ten windows, so one second.
constexpr double kRefusedRateWeight = 0.1;
// Drain time assumed while neither a service rate nor a service time is known.
constexpr Duration kUnknownDrainTime = std::chrono::seconds(1);

ConcurrencyLimiterOptions LimiterOptions(const AdmissionOptions& options) {
  ConcurrencyLimiterOptions limiter;
  limiter.slots = options.slots;
  limiter.cold_start = options.cold_start;
  return limiter;
}

std::uint8_t RankOf(const state::RequestContext& context) {
  return static_cast<std::uint8_t>(
      2 * static_cast<unsigned>(context.importance) +
      (context.depth > 0 ? 0 : 1));
}

}  // namespace

const AdmissionController::Policy AdmissionController::kPolicies[] = {
    // AdmissionPolicy::kNone
    {&AdmissionController::MaxInProgress, &AdmissionController::MaxInProgress,
     &AdmissionController::AdmitsAll, &AdmissionController::Never,
     &AdmissionController::Never, &AdmissionController::Never,
     &AdmissionController::OldestQueued, false},
    // AdmissionPolicy::kFixedLimit
    {&AdmissionController::Slots, &AdmissionController::FixedQueue,
     &AdmissionController::AdmitsAll, &AdmissionController::PastDeadline,
     &AdmissionController::Always, &AdmissionController::Never,
     &AdmissionController::OldestQueued, false},
    // AdmissionPolicy::kAdaptive
    {&AdmissionController::AdaptiveLimit, &AdmissionController::AdaptiveQueue,
     &AdmissionController::AdmitsByThreshold,
     &AdmissionController::TooLateToAnswer, &AdmissionController::StartsInTime,
     &AdmissionController::WaitedTooLong,
     &AdmissionController::MostImportantQueued, true},
};

AdmissionController::AdmissionController(const AdmissionOptions& options,
                                         std::mt19937_64 random,
                                         Instant now)
    : options_(options),
      random_(random),
      limiter_(LimiterOptions(options), now),
      shedding_(options.shedding, now),
      entries_(&memory_),
      queues_{RankQueue(&memory_), RankQueue(&memory_), RankQueue(&memory_),
              RankQueue(&memory_), RankQueue(&memory_), RankQueue(&memory_)},
      window_start_(now) {
  assert(options.slots > 0 && "a backend server has at least one slot");
  for (ServiceTime& time : service_times_) {
    time.since = now;
  }
}

AdmissionDecision AdmissionController::Offer(const AdmissionRequest& request,
                                             Instant now) {
  assert(!entries_.contains(request.ticket) &&
         "a ticket identifies one request at a time");
  UpdateMeasurements(now);
  const state::RequestContext& context = request.context;
  if (leaving_) {
    return Refuse(request.ticket, ResultCode::kLeaving);
  }
  const std::uint32_t priority =
      AdmissionPriority(context.priority(), context.depth);
  shedding_.OnArrival(priority);
  Entry offered;
  offered.ticket = request.ticket;
  offered.importance = context.importance;
  offered.rank = RankOf(context);
  offered.deadline = context.deadline;
  offered.offered = now;
  if ((this->*policy().expired)(offered, now)) {
    return Refuse(request.ticket, ResultCode::kDeadlineBeforeStart);
  }
  if (!(this->*policy().admits)(priority)) {
    return Refuse(request.ticket, ResultCode::kShedAtServer);
  }
  AdmissionDecision decision;
  // When the limit has risen, queued requests start before new ones.
  if (queued_ == 0 && in_progress_ < limit()) {
    Start(entries_.try_emplace(request.ticket, offered).first->second, now);
    return decision;
  }
  if (in_progress_ >= options_.max_in_progress) {
    return Refuse(request.ticket, ResultCode::kNodeBusy);
  }
  limiter_.OnLimitReached();
  const bool full = queued_ >= (this->*policy().queue_bound)();
  Entry* displaceable =
      full && policy().displaces ? FindDisplaceable(offered) : nullptr;
  if (!(this->*policy().in_time)(offered, now) ||
      (full && displaceable == nullptr)) {
    shedding_.OnDrop(offered.importance);
    return Refuse(request.ticket, ResultCode::kQueueFull);
  }
  if (displaceable != nullptr) {
    const bool expired = (this->*policy().expired)(*displaceable, now);
    decision.displaced =
        Drop(*displaceable, expired ? ResultCode::kDeadlineBeforeStart
                                    : ResultCode::kShedAtServer);
  }
  Enqueue(entries_.try_emplace(request.ticket, offered).first->second);
  decision.outcome = AdmissionOutcome::kQueued;
  return decision;
}

AdmissionActions AdmissionController::Finish(Ticket ticket,
                                             const RequestTiming& timing,
                                             Instant now) {
  const auto found = entries_.find(ticket);
  if (found == entries_.end() || !found->second.running) {
    return {};
  }
  const Importance importance = found->second.importance;
  entries_.erase(found);
  --in_progress_;
  ServiceTime& time = service_times_[static_cast<std::size_t>(importance)];
  --time.running;
  if (timing.outcome != RequestOutcome::kFailed) {
    time.histogram.Add(timing.total);
  }
  shedding_.OnFinish();
  limiter_.OnFinish(timing, importance, now);
  UpdateMeasurements(now);
  return ProcessQueue(now);
}

AdmissionActions AdmissionController::Tick(Instant now) {
  UpdateMeasurements(now);
  return ProcessQueue(now);
}

CancelOutcome AdmissionController::Cancel(Ticket ticket, Instant now) {
  UpdateMeasurements(now);
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) {
    return CancelOutcome::kUnknown;
  }
  if (found->second.running) {
    return CancelOutcome::kInProgress;
  }
  Unlink(found->second);
  entries_.erase(found);
  return CancelOutcome::kRemoved;
}

AdmissionActions AdmissionController::RefuseQueued(ResultCode code,
                                                   Instant now) {
  UpdateMeasurements(now);
  AdmissionActions actions;
  for (RankQueue& queue : queues_) {
    while (queue.oldest != nullptr) {
      const Ticket ticket = queue.oldest->ticket;
      Unlink(*queue.oldest);
      entries_.erase(ticket);
      actions.refuse.push_back(RefusalOf(ticket, code));
    }
  }
  return actions;
}

ServerLoad AdmissionController::load() const {
  return {in_progress_, queued_, limit(), shedding_.threshold()};
}

Duration AdmissionController::service_time(Importance importance) const {
  return service_times_[static_cast<std::size_t>(importance)].median;
}

std::uint32_t AdmissionController::MaxInProgress() const {
  return options_.max_in_progress;
}

std::uint32_t AdmissionController::Slots() const {
  return std::min(options_.slots, options_.max_in_progress);
}

std::uint32_t AdmissionController::AdaptiveLimit() const {
  return std::min(limiter_.limit(), options_.max_in_progress);
}

std::uint32_t AdmissionController::FixedQueue() const {
  return options_.fixed_queue_size;
}

std::uint32_t AdmissionController::AdaptiveQueue() const {
  return options_.slots * options_.queue_per_slot;
}

bool AdmissionController::AdmitsAll(std::uint32_t /*priority*/) const {
  return true;
}

bool AdmissionController::AdmitsByThreshold(std::uint32_t priority) const {
  return shedding_.Admits(priority);
}

bool AdmissionController::Never(const Entry& /*entry*/, Instant /*now*/) const {
  return false;
}

bool AdmissionController::Always(const Entry& /*entry*/,
                                 Instant /*now*/) const {
  return true;
}

bool AdmissionController::PastDeadline(const Entry& entry, Instant now) const {
  return now >= entry.deadline;
}

bool AdmissionController::TooLateToAnswer(const Entry& entry,
                                          Instant now) const {
  return now >= entry.deadline ||
         entry.deadline - now < service_time(entry.importance);
}

bool AdmissionController::StartsInTime(const Entry& entry, Instant now) const {
  // Queued requests of the same or a higher rank, each of which occupies one
  // slot for a service time.
  std::uint32_t ahead = 0;
  for (std::size_t rank = 0; rank <= entry.rank; ++rank) {
    ahead += static_cast<std::uint32_t>(queues_[rank].by_deadline.size());
  }
  const Duration service = service_time(entry.importance);
  return entry.deadline - now >= service + service * ahead / limit();
}

bool AdmissionController::WaitedTooLong(const Entry& entry, Instant now) const {
  // Requests that were queued before the threshold excluded their importance
  // would otherwise start while critical requests are refused.
  if (entry.importance != Importance::kCritical &&
      shedding_.threshold() <= static_cast<std::uint32_t>(entry.importance) *
                                   state::kPrioritiesPerImportance) {
    return true;
  }
  return now - entry.offered > (entry.importance == Importance::kCritical
                                    ? options_.max_critical_wait
                                    : options_.max_wait);
}

AdmissionController::Entry* AdmissionController::OldestQueued() const {
  Entry* oldest = nullptr;
  for (const RankQueue& queue : queues_) {
    if (queue.oldest != nullptr &&
        (oldest == nullptr || queue.oldest->offered < oldest->offered)) {
      oldest = queue.oldest;
    }
  }
  return oldest;
}

AdmissionController::Entry* AdmissionController::MostImportantQueued() const {
  for (const RankQueue& queue : queues_) {
    if (queue.oldest != nullptr) {
      // Under overload not all queued requests can be answered in time; the
      // newest have the most time left.
      return shedding_.overloaded() ? queue.newest : queue.oldest;
    }
  }
  return nullptr;
}

const AdmissionController::Policy& AdmissionController::policy() const {
  return kPolicies[static_cast<std::size_t>(options_.policy)];
}

Refusal AdmissionController::RefusalOf(Ticket ticket, ResultCode code) {
  ++refused_in_window_;
  return {ticket, code, JitteredRetryAfter(DrainTime(), random_)};
}

AdmissionDecision AdmissionController::Refuse(Ticket ticket, ResultCode code) {
  const Refusal refusal = RefusalOf(ticket, code);
  return {AdmissionOutcome::kRefused, code, refusal.retry_after, std::nullopt};
}

AdmissionController::Entry* AdmissionController::FindDisplaceable(
    const Entry& entry) const {
  for (std::size_t rank = kRankCount - 1; rank > entry.rank; --rank) {
    if (queues_[rank].oldest != nullptr) {
      // A full queue means overload, in which the newest start first and the
      // oldest would start last.
      return queues_[rank].oldest;
    }
  }
  return nullptr;
}

void AdmissionController::Enqueue(Entry& entry) {
  RankQueue& queue = queues_[entry.rank];
  entry.older = queue.newest;
  entry.newer = nullptr;
  (queue.newest == nullptr ? queue.oldest : queue.newest->newer) = &entry;
  queue.newest = &entry;
  queue.by_deadline.emplace(entry.deadline, entry.ticket);
  ++queued_;
}

void AdmissionController::Unlink(Entry& entry) {
  RankQueue& queue = queues_[entry.rank];
  (entry.older == nullptr ? queue.oldest : entry.older->newer) = entry.newer;
  (entry.newer == nullptr ? queue.newest : entry.newer->older) = entry.older;
  entry.older = nullptr;
  entry.newer = nullptr;
  queue.by_deadline.erase({entry.deadline, entry.ticket});
  --queued_;
}

void AdmissionController::Start(Entry& entry, Instant now) {
  entry.running = true;
  ++in_progress_;
  ++service_times_[static_cast<std::size_t>(entry.importance)].running;
  shedding_.OnStart(now - entry.offered);
}

Refusal AdmissionController::Drop(Entry& entry, ResultCode code) {
  const Ticket ticket = entry.ticket;
  shedding_.OnDrop(entry.importance);
  Unlink(entry);
  entries_.erase(ticket);
  return RefusalOf(ticket, code);
}

void AdmissionController::RefuseExpired(RankQueue& queue,
                                        Instant now,
                                        AdmissionActions& actions) {
  while (!queue.by_deadline.empty()) {
    Entry& entry = entries_.find(queue.by_deadline.begin()->second)->second;
    if (!(this->*policy().expired)(entry, now)) {
      break;
    }
    actions.refuse.push_back(Drop(entry, ResultCode::kDeadlineBeforeStart));
  }
  while (queue.oldest != nullptr &&
         (this->*policy().overdue)(*queue.oldest, now)) {
    actions.refuse.push_back(Drop(*queue.oldest, ResultCode::kShedAtServer));
  }
}

AdmissionActions AdmissionController::ProcessQueue(Instant now) {
  AdmissionActions actions;
  if (queued_ == 0) {
    return actions;
  }
  for (RankQueue& queue : queues_) {
    RefuseExpired(queue, now, actions);
  }
  while (queued_ > 0 && in_progress_ < limit()) {
    Entry* entry = (this->*policy().next)();
    Unlink(*entry);
    Start(*entry, now);
    actions.start.push_back(entry->ticket);
  }
  return actions;
}

void AdmissionController::UpdateMeasurements(Instant now) {
  limiter_.Tick(now);
  shedding_.Tick(queued_, LongestServiceTime(), now);
  const Duration elapsed = now - window_start_;
  if (elapsed < kMeasurementWindow) {
    return;
  }
  const double rate =
      refused_in_window_ / std::chrono::duration<double>(elapsed).count();
  const double weight =
      1 - std::pow(1 - kRefusedRateWeight,
                   static_cast<double>(elapsed / kMeasurementWindow));
  refused_rate_ += weight * (rate - refused_rate_);
  refused_in_window_ = 0;
  for (ServiceTime& time : service_times_) {
    UpdateServiceTime(time, now - time.since);
    if (time.histogram.count() == 0) {
      time.since = now;
    }
  }
  window_start_ = now;
}

void AdmissionController::UpdateServiceTime(ServiceTime& time,
                                            Duration elapsed) {
  if (time.histogram.count() == 0 && time.running == 0) {
    // Without requests in progress there are no new samples. If the median did
    // not decay, a value that is too high would have all requests refused for
    // ever.
    time.median /= 2;
    return;
  }
  if (time.histogram.count() >= kMinSamples ||
      (time.histogram.count() > 0 && elapsed >= kMaxMeasurementWindow)) {
    time.median = time.histogram.Median();
    time.histogram.Clear();
  }
}

Duration AdmissionController::LongestServiceTime() const {
  return std::ranges::max(service_times_, {}, &ServiceTime::median).median;
}

Duration AdmissionController::DrainTime() const {
  double rate = shedding_.service_rate();
  const double service =
      std::chrono::duration<double>(LongestServiceTime()).count();
  if (rate <= 0 && service > 0) {
    rate = limit() / service;
  }
  if (rate <= 0) {
    return kUnknownDrainTime;
  }
  // Requests refused in the last second are expected to be repeated.
  const double outstanding = queued_ + in_progress_ + refused_rate_;
  const double seconds = std::min(outstanding / rate, 3600.0);
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace sesamespread::coordination
