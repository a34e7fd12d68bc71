/// \file
/// Admission control for the local backend server: each request is started,
/// queued or refused.
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

/// How a backend server is protected from overload. kNone and kFixedLimit are
/// the baselines to compare kAdaptive with.
enum class AdmissionPolicy : std::uint8_t {
  /// Starts every request immediately.
  kNone,
  /// A concurrency limit equal to the number of slots, a first-in-first-out
  /// queue, no shedding.
  kFixedLimit,
  /// An adaptive concurrency limit, a queue ordered by rank, and an admission
  /// threshold.
  kAdaptive,
};

struct AdmissionRequest {
  Ticket ticket = 0;
  state::RequestContext context;
};

/// The final result of a request that was refused before it started. It must be
/// answered immediately.
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
  /// A queued request of lower rank that was refused to make room for this one.
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
  /// The request was queued and has been removed; it did not run.
  kRemoved,
  /// The request is in progress; Finish must still be called once its backend
  /// connection is closed.
  kInProgress,
  /// No such ticket.
  kUnknown,
};

struct AdmissionOptions {
  AdmissionPolicy policy = AdmissionPolicy::kAdaptive;
  /// Number of requests that the backend server processes concurrently; at
  /// least 1.
  std::uint32_t slots = 1;
  /// See ConcurrencyLimiterOptions::cold_start.
  state::Duration cold_start{0};
  /// kAdaptive: maximum number of queued requests per slot. Four drain within
  /// four service times; a longer queue would only add queueing delay.
  std::uint32_t queue_per_slot = 4;
  /// kFixedLimit: maximum number of queued requests.
  std::uint32_t fixed_queue_size = 4096;
  /// Maximum number of requests in progress under any policy. Requests beyond
  /// it are refused with kNodeBusy.
  std::uint32_t max_in_progress = 65536;
  /// Maximum queueing delay of standard and browse requests. A request that has
  /// been overtaken for this long is refused rather than held until its
  /// deadline.
  state::Duration max_wait = std::chrono::milliseconds(250);
  /// The same for critical requests.
  state::Duration max_critical_wait = std::chrono::seconds(1);
  SheddingOptions shedding;
};

/// Admission control for one backend server. O(log n) per request. Memory is
/// bounded by the queue bound and max_in_progress, and is reused.
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

  /// Refuses queued requests that have expired or waited too long, and starts
  /// those that the limit now allows. Must be called about every 10 ms while
  /// load().queued is not zero, and every 100 ms otherwise.
  AdmissionActions Tick(state::Instant now);

  /// Removes a queued request whose caller has disconnected.
  CancelOutcome Cancel(Ticket ticket, state::Instant now);

  /// Changes the number of slots; at least 1. Requests in progress beyond the
  /// new number continue.
  void set_slots(std::uint32_t slots) {
    options_.slots = slots;
    limiter_.set_slots(slots);
  }

  /// While leaving, new requests are refused with kLeaving. Queued requests
  /// still start.
  void set_leaving(bool leaving) { leaving_ = leaving; }
  bool leaving() const { return leaving_; }

  /// Refuses all queued requests with \p code, at the end of a drain.
  AdmissionActions RefuseQueued(state::ResultCode code, state::Instant now);

  ServerLoad load() const;

  /// Median time in progress of requests of \p importance over the last window;
  /// zero if unknown.
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
  // Times in progress of requests of one importance.
  struct ServiceTime {
    LatencyHistogram histogram;
    state::Duration median{0};
    // Start of the period that the histogram covers.
    state::Instant since;
    std::uint32_t running = 0;
  };
  // The operations in which the policies differ.
  struct Policy {
    std::uint32_t (AdmissionController::*limit)() const;
    std::uint32_t (AdmissionController::*queue_bound)() const;
    // Whether requests of \p priority are admitted.
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
    // Whether a request may displace a queued one of lower rank.
    bool displaces;
  };

  // Two ranks per importance: requests below the first hop (depth above 0) come
  // before new ones. Rank 0 is the highest.
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
  Entry* OldestQueued() const;
  Entry* MostImportantQueued() const;

  const Policy& policy() const;
  std::uint32_t limit() const { return (this->*policy().limit)(); }
  Refusal RefusalOf(Ticket ticket, state::ResultCode code);
  AdmissionDecision Refuse(Ticket ticket, state::ResultCode code);
  // The queued request that \p entry may displace; null if none has a lower
  // rank.
  Entry* FindDisplaceable(const Entry& entry) const;
  void Enqueue(Entry& entry);
  void Unlink(Entry& entry);
  void Start(Entry& entry, state::Instant now);
  // Removes a queued request and records it as refused for lack of capacity.
  Refusal Drop(Entry& entry, state::ResultCode code);
  void RefuseExpired(RankQueue& queue,
                     state::Instant now,
                     AdmissionActions& actions);
  // Refuses expired and overdue requests and starts as many of the others as
  // the limit allows.
  AdmissionActions ProcessQueue(state::Instant now);
  // Closes the measurement windows that have ended.
  void UpdateMeasurements(state::Instant now);
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
  // Refused requests per second, smoothed over one second. Their callers are
  // expected to repeat them.
  double refused_rate_ = 0;
  std::uint32_t refused_in_window_ = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ADMISSION_H_
