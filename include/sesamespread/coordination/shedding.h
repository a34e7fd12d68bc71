/// \file
/// Admission thresholds: the priorities that a server admits, and the requests
/// that the entry node refuses on behalf of the servers behind it.
#ifndef SESAMESPREAD_COORDINATION_SHEDDING_H_
#define SESAMESPREAD_COORDINATION_SHEDDING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/request_context.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Priority that a server compares with its threshold. Requests on which other
/// servers have already spent work (depth > 0) use the lower, more important
/// half of the range of their importance: a threshold in this range admits up
/// to twice the share of them that it admits of new requests, and their order
/// is preserved.
std::uint32_t AdmissionPriority(std::uint32_t priority, std::uint32_t depth);

/// Time after which a refused request may be repeated: 50% to 150% of
/// \p drain_time, so that callers refused together do not repeat together.
/// \p drain_time is first bounded to 100 ms..10 s.
state::Duration JitteredRetryAfter(state::Duration drain_time,
                                   std::mt19937_64& random);

/// Drain time assumed at the entry node, where the server's rate is unknown.
constexpr state::Duration kEntryDrainTime = std::chrono::seconds(1);

struct SheddingOptions {
  /// Time between two changes of the threshold.
  state::Duration interval = std::chrono::milliseconds(100);
  /// Mean queueing delay of started requests above which the server counts as
  /// overloaded. Half of the service time is used if that is longer.
  state::Duration queue_delay_target = std::chrono::milliseconds(10);
  /// Ratio of admitted work to the service rate. Above 1, so that an error of
  /// the estimate leaves no slot idle; the queue absorbs the excess.
  double headroom = 1.08;
};

/// The admission threshold of one server. Constant within an interval, except
/// that the refusal of a critical request immediately lowers it to exclude
/// browse requests; therefore no critical request is refused while browse
/// requests are admitted. O(1) per request, O(kPriorityCount) per interval.
class SheddingThreshold {
 public:
  SheddingThreshold(const SheddingOptions& options, state::Instant now);

  /// 0..state::kPriorityCount; requests below it are admitted.
  std::uint32_t threshold() const { return threshold_; }
  bool Admits(std::uint32_t admission_priority) const {
    return admission_priority < threshold_;
  }

  /// Records an offered request, whether it is admitted or not.
  void OnArrival(std::uint32_t admission_priority);
  /// Records a started request that was queued for \p wait.
  void OnStart(state::Duration wait);
  /// Records that a request was refused for lack of capacity although the
  /// threshold admitted it.
  void OnDrop(state::Importance importance);
  /// Records a request that has ended.
  void OnFinish() { ++finished_; }

  /// Closes the interval if it has passed. \p queued requests are waiting;
  /// \p service_time is the median or zero if unknown.
  void Tick(std::uint32_t queued,
            state::Duration service_time,
            state::Instant now);

  /// True if the last interval was overloaded.
  bool overloaded() const { return overloaded_; }

  /// Requests per second that the server completed while overloaded, or the
  /// highest rate observed since; zero if unknown.
  double service_rate() const { return service_rate_; }

 private:
  bool IsOverloaded(std::uint32_t queued, state::Duration service_time) const;
  void CloseInterval(std::uint32_t queued,
                     state::Duration service_time,
                     double seconds);
  void UpdateServiceRate(double seconds, bool saturated);
  void UpdateArrivals();
  // The highest threshold at which the smoothed arrivals fit the budget.
  std::uint32_t FittingThreshold(double budget) const;
  void Lower(double budget);
  // \p saturated tells that the budget is the capacity of the server rather
  // than the demand.
  void Raise(double budget, bool saturated);

  SheddingOptions options_;
  std::uint32_t threshold_ = state::kPriorityCount;
  // Priorities added by the next raise; doubles with each interval without
  // overload.
  std::uint32_t raise_step_;
  bool overloaded_ = false;
  double service_rate_ = 0;

  state::Instant interval_start_;
  std::array<std::uint32_t, state::kPriorityCount> arrivals_{};
  // Arrivals per interval over the last intervals.
  std::array<float, state::kPriorityCount> smoothed_arrivals_{};
  std::uint32_t started_ = 0;
  // Part of started_ that had to wait.
  std::uint32_t waited_ = 0;
  std::uint32_t dropped_ = 0;
  std::uint32_t finished_ = 0;
  state::Duration wait_sum_{0};
};

struct ThresholdTableOptions {
  /// Maximum age of a report; older ones are ignored.
  state::Duration max_age = std::chrono::milliseconds(500);
  /// Maximum age of the newest report for the refusal of critical requests: one
  /// interval of a server.
  state::Duration critical_max_age = std::chrono::milliseconds(100);
  /// One in this many requests that would be shed is sent on as a probe, so
  /// that recovery is detected.
  std::uint32_t probe_every = 50;
  /// Maximum number of servers per service; beyond it the oldest report is
  /// replaced.
  std::size_t max_servers = 64;
  /// Maximum number of services; reports on further ones are ignored.
  std::size_t max_services = 4096;
};

/// The thresholds reported with answers, for the shedding decision at the entry
/// node.
class ThresholdTable {
 public:
  explicit ThresholdTable(const ThresholdTableOptions& options = {})
      : options_(options) {}

  /// Records that an answer from \p node reported \p threshold for \p service.
  /// A report older than the stored one is ignored.
  void Observe(std::string_view service,
               state::NodeId node,
               std::uint32_t threshold,
               state::Instant now);

  /// True if a new request of \p priority (state::PriorityOf) should be refused
  /// because at least half of the known servers of \p service, or of one of
  /// \p services_below, would refuse it. If fewer would, the router can select
  /// another server.
  bool ShouldShed(std::string_view service,
                  std::span<const std::string> services_below,
                  std::uint32_t priority,
                  state::Instant now);

  /// The priority from which on at least half of the known servers of
  /// \p service refuse; state::kPriorityCount if none is known.
  std::uint32_t EntryThreshold(std::string_view service, state::Instant now);

 private:
  struct Report {
    state::NodeId node;
    std::uint32_t threshold;
    state::Instant time;
  };
  struct ServiceReports {
    std::vector<Report> reports;
    // Valid while !changed and now <= valid_until.
    std::uint32_t threshold = state::kPriorityCount;
    state::Instant newest{};
    state::Instant valid_until{};
    bool changed = true;
    // Requests that would have been shed, modulo probe_every.
    std::uint32_t probe_counter = 0;
  };

  std::uint32_t ThresholdOf(ServiceReports& service, state::Instant now);
  ServiceReports* Find(std::string_view service);

  ThresholdTableOptions options_;
  std::map<std::string, ServiceReports, std::less<>> services_;
  std::vector<std::uint32_t> scratch_thresholds_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_SHEDDING_H_
