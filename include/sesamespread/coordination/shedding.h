/// \file
/// Admission thresholds: which priorities a server admits, and what the first
/// hop refuses on behalf of the servers behind it.
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

/// Priority that a server compares with its threshold. Requests that other
/// servers already worked on (depth > 0) use the better half of their
/// importance's range: at any threshold twice as many of them are admitted as
/// of fresh ones, and their order among themselves is kept.
std::uint32_t AdmissionPriority(std::uint32_t priority, std::uint32_t depth);

/// Retry time for a refused request: 50% to 150% of \p drain_time, so that
/// callers refused together do not return together. \p drain_time is first
/// bounded to 100 ms..10 s.
state::Duration JitteredRetryAfter(state::Duration drain_time,
                                   std::mt19937_64& random);

/// Drain time assumed at the first hop, where the server's rate is unknown.
constexpr state::Duration kEntryDrainTime = std::chrono::seconds(1);

struct SheddingOptions {
  /// Time between two changes of the threshold.
  state::Duration interval = std::chrono::milliseconds(100);
  /// Mean queueing delay of started requests above which the server counts as
  /// overloaded. Half of the service time is used if that is longer.
  state::Duration queue_delay_target = std::chrono::milliseconds(10);
  /// Admitted work in relation to the service rate. Above 1, so that an error
  /// of the estimate leaves no slot idle; the queue holds the excess.
  double headroom = 1.08;
};

/// The admission threshold of one server. Constant within an interval, except
/// that a refused critical request closes it to browsing immediately;
/// therefore no critical request is refused by a threshold that admits
/// browsing. O(1) per request, O(kPriorityCount) per interval.
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
  /// Records that a request was refused for lack of capacity after it passed
  /// the threshold.
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
  /// highest rate seen since; zero if unknown.
  double service_rate() const { return service_rate_; }

 private:
  bool UnderPressure(std::uint32_t queued, state::Duration service_time) const;
  void CloseInterval(std::uint32_t queued,
                     state::Duration service_time,
                     double seconds);
  void UpdateServiceRate(double seconds, bool saturated);
  void UpdateArrivals();
  // The highest threshold at which the smoothed arrivals fit the budget.
  std::uint32_t Placement(double budget) const;
  void Lower(double budget);
  // \p saturated tells that the budget is what the server can do, not what it
  // was asked for.
  void Raise(double budget, bool saturated);

  SheddingOptions options_;
  std::uint32_t threshold_ = state::kPriorityCount;
  // Priorities added by the next raise; doubles with each calm interval.
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
  /// Older reports are ignored.
  state::Duration max_age = std::chrono::milliseconds(500);
  /// The same for the refusal of critical requests: an interval of a server.
  state::Duration critical_max_age = std::chrono::milliseconds(100);
  /// One of this many requests that would be shed is let through, so that
  /// recovery is noticed.
  std::uint32_t probe_every = 50;
  /// Servers remembered per service; the oldest report is replaced.
  std::size_t max_servers = 64;
  /// Services remembered; reports on further ones are ignored.
  std::size_t max_services = 4096;
};

/// The thresholds carried back by answers, for the decision at the first hop.
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

  /// True if a fresh request of \p priority (state::PriorityOf) should be
  /// refused: at least half of the servers known of \p service, or of one of
  /// \p services_below, would refuse it. Only half is required, because the
  /// router can choose another server.
  bool ShouldShed(std::string_view service,
                  std::span<const std::string> services_below,
                  std::uint32_t priority,
                  state::Instant now);

  /// Threshold from which on half of the servers known refuse;
  /// state::kPriorityCount if none is known.
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
    std::uint32_t shed_count = 0;
  };

  std::uint32_t ThresholdOf(ServiceReports& service, state::Instant now);
  ServiceReports* Find(std::string_view service);

  ThresholdTableOptions options_;
  std::map<std::string, ServiceReports, std::less<>> services_;
  std::vector<std::uint32_t> scratch_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_SHEDDING_H_
