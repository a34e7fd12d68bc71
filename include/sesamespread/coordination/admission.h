/// \file
/// Admission to the local backend server: start, queue or refuse each request.
#ifndef SESAMESPREAD_COORDINATION_ADMISSION_H_
#define SESAMESPREAD_COORDINATION_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory_resource>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/coordination/concurrency_limiter.h"
#include "sesamespread/coordination/latency_histogram.h"
#include "sesamespread/coordination/shedding.h"
#include "sesamespread/coordination/ticket.h"
#include "sesamespread/state/request_context.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// How a backend server is protected. The first two are the baselines that
/// kAdaptive is measured against.
enum class AdmissionPolicy : std::uint8_t {
  /// Starts every request immediately.
  kNone,
  /// As many requests in progress as there are slots, a first-in-first-out
  /// queue, no shedding.
  kFixedLimit,
  kAdaptive,
};

struct AdmissionRequest {
  Ticket ticket = 0;
  state::RequestContext context;
};

/// The final result of a request that was not started. Its answer is due
/// immediately.
struct Refusal {
  Ticket ticket = 0;
  state::ResultCode code = state::ResultCode::kShedAtServer;
  state::Duration retry_after{0};

  auto operator<=>(const Refusal&) const = default;
};

enum class AdmissionOutcome : std::uint8_t { kStart, kQueued, kRefused };

/// The decision on an offered request.
struct AdmissionDecision {
  AdmissionOutcome outcome = AdmissionOutcome::kStart;
  /// Meaningful if refused.
  state::ResultCode code = state::ResultCode::kOk;
  state::Duration retry_after{0};
  /// A less important request that lost its place in the queue to this one.
  std::optional<Refusal> displaced;
};

/// Requests to start and to refuse now.
struct AdmissionActions {
  std::vector<Ticket> start;
  std::vector<Refusal> refuse;

  bool empty() const { return start.empty() && refuse.empty(); }
};

/// Load of a server as reported with its answers.
struct ServerLoad {
  std::uint32_t in_progress = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  std::uint32_t threshold = state::kPriorityCount;

  auto operator<=>(const ServerLoad&) const = default;
};

enum class CancelOutcome : std::uint8_t {
  /// The request was queued and is forgotten; it did not run.
  kRemoved,
  /// The request is in progress; Finish is still due once its backend
  /// connection is closed.
  kInProgress,
  /// No such ticket.
  kUnknown,
};

struct AdmissionOptions {
  AdmissionPolicy policy = AdmissionPolicy::kAdaptive;
  /// Requests that the backend server works on at a time; at least 1.
  std::uint32_t slots = 1;
  /// See ConcurrencyLimiterOptions::cold_start.
  state::Duration cold_start{0};
  /// kAdaptive: most requests queued per slot. Four are drained within four
  /// service times, more would only age.
  std::uint32_t queue_per_slot = 4;
  /// kFixedLimit: most requests queued.
  std::uint32_t fixed_queue = 4096;
  /// Most requests in progress under any policy; kNodeBusy above it.
  std::uint32_t max_in_progress = 65536;
  /// Longest wait of queued standard and browse requests. A request that was
  /// passed over for that long is refused instead of kept until its deadline.
  state::Duration max_wait = std::chrono::milliseconds(250);
  /// The same for critical requests.
  state::Duration max_critical_wait = std::chrono::seconds(1);
  SheddingOptions shedding;
};

/// Admission to one backend server. O(log n) per request; the memory is
/// bounded by the queue bound and max_in_progress, and reused.
///
/// Invariants: after Finish and Tick the queue is empty or the limit is
/// reached; no request starts whose deadline has passed (kNone excepted) or,
/// under kAdaptive, whose remaining time is below the median service time of
/// its importance.
class AdmissionController {
 public:
  /// \pre options.slots is at least 1.
  AdmissionController(const AdmissionOptions& options,
                      std::mt19937_64 random,
                      state::Instant now);
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  /// Decides on a new request. \pre its ticket is not in use.
  AdmissionDecision Offer(const AdmissionRequest& request, state::Instant now);

  /// Ends a request in progress; an unknown ticket changes nothing.
  AdmissionActions Finish(Ticket ticket,
                          const RequestTiming& timing,
                          state::Instant now);

  /// Refuses what waited too long and starts what became possible. Due every
  /// 10 ms or so while load().queued is not zero, and every 100 ms otherwise.
  AdmissionActions Tick(state::Instant now);

  /// Forgets a queued request whose caller went away.
  CancelOutcome Cancel(Ticket ticket, state::Instant now);

  /// Applies a changed number of slots; at least 1. Requests in progress beyond
  /// it go on.
  void set_slots(std::uint32_t slots) {
    options_.slots = slots;
    limiter_.set_slots(slots);
  }

  /// While leaving, all new requests are refused with kLeaving. Queued ones
  /// still start.
  void set_leaving(bool leaving) { leaving_ = leaving; }
  bool leaving() const { return leaving_; }

  /// Refuses all queued requests, for the end of a drain.
  AdmissionActions RefuseQueued(state::ResultCode code, state::Instant now);

  ServerLoad load() const;

  /// Median time in progress of \p importance over the last window; zero if
  /// unknown.
  state::Duration service_time(state::Importance importance) const;

 private:
  struct Entry {
    Ticket ticket = 0;
    state::Importance importance = state::Importance::kStandard;
    std::uint8_t rank = 0;
    bool running = false;
    state::Instant deadline;
    state::Instant offered;
    // Neighbours in the queue of its rank; null while running.
    Entry* older = nullptr;
    Entry* newer = nullptr;
  };
  // Queued requests of one rank in order of arrival.
  struct RankQueue {
    explicit RankQueue(std::pmr::memory_resource* memory)
        : by_deadline(memory) {}
    Entry* oldest = nullptr;
    Entry* newest = nullptr;
    std::pmr::set<std::pair<state::Instant, Ticket>> by_deadline;
  };
  // Measured times in progress of one importance.
  struct ServiceTime {
    LatencyHistogram histogram;
    state::Duration median{0};
    // Since when the histogram counts.
    state::Instant since;
    std::uint32_t running = 0;
  };
  // What the policies do differently.
  struct Policy {
    std::uint32_t (AdmissionController::*limit)() const;
    std::uint32_t (AdmissionController::*queue_bound)() const;
    // Whether a request passes the threshold.
    bool (AdmissionController::*admits)(std::uint32_t priority) const;
    // Whether it is too late to start a request.
    bool (AdmissionController::*expired)(const Entry& entry,
                                         state::Instant now) const;
    // Whether a request would start in time if it were queued.
    bool (AdmissionController::*in_time)(const Entry& entry,
                                         state::Instant now) const;
    // Whether a queued request has waited too long, or its importance is no
    // longer admitted.
    bool (AdmissionController::*overdue)(const Entry& entry,
                                         state::Instant now) const;
    // The queued request to start next, or null.
    Entry* (AdmissionController::*next)() const;
    // Whether a better request takes the place of a queued one.
    bool displaces;
  };

  // Two ranks per importance: requests deep in a chain come first.
  static constexpr std::size_t kRankCount = 2 * kImportanceCount;
  static const Policy kPolicies[];

  std::uint32_t MaxInProgress() const;
  std::uint32_t Slots() const;
  std::uint32_t AdaptiveLimit() const;
  std::uint32_t FixedQueue() const;
  std::uint32_t AdaptiveQueue() const;
  bool AdmitsAll(std::uint32_t priority) const;
  bool AdmitsByThreshold(std::uint32_t priority) const;
  bool Never(const Entry& entry, state::Instant now) const;
  bool Always(const Entry& entry, state::Instant now) const;
  bool PastDeadline(const Entry& entry, state::Instant now) const;
  bool TooLateToAnswer(const Entry& entry, state::Instant now) const;
  bool StartsInTime(const Entry& entry, state::Instant now) const;
  bool WaitedTooLong(const Entry& entry, state::Instant now) const;
  Entry* OldestOfAll() const;
  Entry* MostImportant() const;

  const Policy& policy() const;
  std::uint32_t limit() const { return (this->*policy().limit)(); }
  Refusal RefusalOf(Ticket ticket, state::ResultCode code);
  AdmissionDecision Refuse(Ticket ticket, state::ResultCode code);
  // The queued request that gives way to \p entry; null if none is worse.
  Entry* WorseThan(const Entry& entry) const;
  void Enqueue(Entry& entry);
  void Unlink(Entry& entry);
  void Start(Entry& entry, state::Instant now);
  // Removes a queued request and records that capacity was lacking.
  Refusal Drop(Entry& entry, state::ResultCode code);
  void RefuseLate(RankQueue& queue,
                  state::Instant now,
                  AdmissionActions& actions);
  // Refuses what is late and starts what the limit allows.
  AdmissionActions Proceed(state::Instant now);
  // Closes the windows of all measurements that have passed.
  void Advance(state::Instant now);
  void UpdateServiceTime(ServiceTime& time, state::Duration elapsed);
  state::Duration LongestServiceTime() const;
  state::Duration DrainTime() const;

  AdmissionOptions options_;
  std::mt19937_64 random_;
  ConcurrencyLimiter limiter_;
  SheddingThreshold shedding_;
  bool leaving_ = false;

  std::pmr::unsynchronized_pool_resource memory_;
  // All requests queued or in progress; the addresses of entries are stable.
  std::pmr::unordered_map<Ticket, Entry> entries_;
  std::array<RankQueue, kRankCount> queues_;
  // Sizes of queues_ in total, and number of running entries.
  std::uint32_t queued_ = 0;
  std::uint32_t in_progress_ = 0;

  std::array<ServiceTime, kImportanceCount> service_times_;
  state::Instant window_start_;
  // Refused requests per second, smoothed over a second; they will return.
  double refused_rate_ = 0;
  std::uint32_t refused_ = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ADMISSION_H_
