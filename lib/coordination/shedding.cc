/// \file
/// Admission threshold of this server, and table of those of other servers.
#include "sesamespread/coordination/shedding.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using state::kPriorityCount;

constexpr Duration kMinDrainTime = std::chrono::milliseconds(100);
constexpr Duration kMaxDrainTime = std::chrono::seconds(10);

// Step of the first raise after an overload. Doubled per interval, it covers
// all priorities in 5 intervals (16 + 32 + ... + 256 = 496 > 384), which take
// 0.5 s.
constexpr std::uint32_t kInitialRaiseStep = 16;
// Lowest priority value of browse requests.
constexpr std::uint32_t kMinBrowsePriority =
    static_cast<std::uint32_t>(state::Importance::kBrowse) *
    state::kPrioritiesPerImportance;
// Weight of the newest interval in the service rate: its requests over
// kRateSamples, within these bounds.
constexpr double kRateSamples = 64;
constexpr double kMinRateWeight = 0.1;
constexpr double kMaxRateWeight = 0.5;
// An interval with this many arrivals replaces the smoothed arrivals; with
// fewer, these keep a weight of up to kMaxHistoryWeight. Without smoothing, a
// server with 8 completions per interval (4 slots of 50 ms) reaches as little
// as 0.84 of its goodput.
constexpr float kArrivalSamples = 100;
constexpr float kMaxHistoryWeight = 0.8F;
// Maximum number of intervals that are closed individually after a pause; the
// threshold is fully raised by then.
constexpr std::int64_t kMaxCatchUpIntervals = 10;

// The importance of a priority, or the one that a rising threshold admits next.
std::uint32_t ImportanceOf(std::uint32_t priority) {
  return priority / state::kPrioritiesPerImportance;
}

}  // namespace

std::uint32_t AdmissionPriority(std::uint32_t priority, std::uint32_t depth) {
  if (depth == 0) {
    return priority;
  }
  const std::uint32_t offset = priority % state::kPrioritiesPerImportance;
  return priority - offset + offset / 2;
}

Duration JitteredRetryAfter(Duration drain_time, std::mt19937_64& random) {
  const Duration base = std::clamp(drain_time, kMinDrainTime, kMaxDrainTime);
  std::uniform_int_distribution<Duration::rep> jitter(0, base.count());
  return base / 2 + Duration(jitter(random));
}

SheddingThreshold::SheddingThreshold(const SheddingOptions& options,
                                     Instant now)
    : options_(options), raise_step_(kInitialRaiseStep), interval_start_(now) {
  assert(options.interval > Duration(0) &&
         "the duration of an interval must be above zero");
}

void SheddingThreshold::OnArrival(std::uint32_t admission_priority) {
  ++arrivals_[std::min(admission_priority, kPriorityCount - 1)];
}

void SheddingThreshold::OnStart(Duration wait) {
  ++started_;
  waited_ += wait > Duration(0) ? 1 : 0;
  wait_sum_ += wait;
}

void SheddingThreshold::OnDrop(state::Importance importance) {
  ++dropped_;
  if (importance == state::Importance::kCritical) {
    threshold_ = std::min(threshold_, kMinBrowsePriority);
  }
}

void SheddingThreshold::Tick(std::uint32_t queued,
                             Duration service_time,
                             Instant now) {
  const std::int64_t intervals = (now - interval_start_) / options_.interval;
  if (intervals <= 0) {
    return;
  }
  // After a pause the counters cover all intervals that have passed.
  const auto seconds =
      std::chrono::duration<double>(intervals * options_.interval).count();
  CloseInterval(queued, service_time, seconds);
  const std::int64_t remaining = std::min(intervals - 1, kMaxCatchUpIntervals);
  for (std::int64_t i = 0; i < remaining; ++i) {
    CloseInterval(queued, service_time, seconds);
  }
  interval_start_ += intervals * options_.interval;
}

bool SheddingThreshold::IsOverloaded(std::uint32_t queued,
                                     Duration service_time) const {
  // An empty queue means no overload, even if requests were dropped before.
  if (queued == 0) {
    return false;
  }
  if (dropped_ > 0 || started_ == 0) {
    return true;
  }
  const Duration target =
      std::max(options_.queue_delay_target, service_time / 2);
  return wait_sum_ / started_ > target;
}

void SheddingThreshold::CloseInterval(std::uint32_t queued,
                                      Duration service_time,
                                      double seconds) {
  overloaded_ = IsOverloaded(queued, service_time);
  const bool saturated = overloaded_ || 2 * waited_ > started_;
  UpdateServiceRate(seconds, saturated);
  UpdateArrivals();
  const double budget = service_rate_ * seconds * options_.headroom;
  if (overloaded_) {
    Lower(budget);
  } else {
    Raise(budget, saturated);
  }
  started_ = 0;
  waited_ = 0;
  dropped_ = 0;
  finished_ = 0;
  wait_sum_ = Duration(0);
}

void SheddingThreshold::UpdateServiceRate(double seconds, bool saturated) {
  const double rate = finished_ / seconds;
  if (service_rate_ <= 0) {
    service_rate_ = rate;
    return;
  }
  // Without saturation the rate is that of the demand, not of the capacity.
  if (rate < service_rate_ && !saturated) {
    return;
  }
  const double samples = std::max(rate, service_rate_) * seconds;
  service_rate_ +=
      std::clamp(samples / kRateSamples, kMinRateWeight, kMaxRateWeight) *
      (rate - service_rate_);
}

void SheddingThreshold::UpdateArrivals() {
  const auto total = static_cast<float>(
      std::accumulate(arrivals_.begin(), arrivals_.end(), 0U));
  const float history_weight =
      std::clamp(1 - total / kArrivalSamples, 0.0F, kMaxHistoryWeight);
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    smoothed_arrivals_[i] =
        history_weight * smoothed_arrivals_[i] +
        (1 - history_weight) * static_cast<float>(arrivals_[i]);
  }
  arrivals_.fill(0);
}

std::uint32_t SheddingThreshold::FittingThreshold(double budget) const {
  double admitted = 0;
  for (std::uint32_t priority = 0; priority < kPriorityCount; ++priority) {
    admitted += smoothed_arrivals_[priority];
    if (admitted > budget) {
      return priority;
    }
  }
  return kPriorityCount;
}

void SheddingThreshold::Lower(double budget) {
  // Never raised here: while entry nodes shed, requests above the threshold do
  // not arrive and so are not counted.
  const std::uint32_t fitting = FittingThreshold(budget);
  // A burst that fits on average must not restart the recovery.
  raise_step_ = fitting < threshold_
                    ? kInitialRaiseStep
                    : std::max(raise_step_ / 2, kInitialRaiseStep);
  threshold_ = std::min(threshold_, fitting);
}

void SheddingThreshold::Raise(double budget, bool saturated) {
  const std::uint32_t stepped =
      std::min(threshold_ + raise_step_, kPriorityCount);
  const std::uint32_t fitting =
      saturated ? FittingThreshold(budget) : kPriorityCount;
  if (fitting >= stepped) {
    threshold_ = stepped;
    raise_step_ = std::min(raise_step_ * 2, kPriorityCount);
    return;
  }
  // Arrivals above the threshold are known not to fit.
  threshold_ = std::max(threshold_, fitting);
  raise_step_ = kInitialRaiseStep;
}

void ThresholdTable::Observe(std::string_view service,
                             state::NodeId node,
                             std::uint32_t threshold,
                             Instant now) {
  ServiceReports* found = Find(service);
  if (found == nullptr) {
    if (services_.size() >= options_.max_services) {
      return;
    }
    found = &services_[std::string(service)];
  }
  found->newest = std::max(found->newest, now);
  std::vector<Report>& reports = found->reports;
  auto report = std::ranges::find(reports, node, &Report::node);
  if (report == reports.end()) {
    if (reports.size() < options_.max_servers) {
      reports.push_back({node, threshold, now});
      found->changed = true;
      return;
    }
    report = std::ranges::min_element(reports, {}, &Report::time);
  }
  if (report->time > now) {
    return;
  }
  *report = {node, threshold, now};
  found->changed = true;
}

bool ThresholdTable::ShouldShed(std::string_view service,
                                std::span<const std::string> services_below,
                                std::uint32_t priority,
                                Instant now) {
  ServiceReports* refusing = nullptr;
  ServiceReports* entry = Find(service);
  if (entry != nullptr && priority >= ThresholdOf(*entry, now)) {
    refusing = entry;
  }
  const std::uint32_t deep_priority = AdmissionPriority(priority, 1);
  for (const std::string& name : services_below) {
    if (refusing != nullptr) {
      break;
    }
    ServiceReports* below = Find(name);
    if (below != nullptr && deep_priority >= ThresholdOf(*below, now)) {
      refusing = below;
    }
  }
  if (refusing == nullptr) {
    return false;
  }
  // The reports at different entry nodes differ in age. A critical request is
  // refused only on a report that is no older than a server's interval, so that
  // it is not shed here while another node admits browse requests on a newer
  // report.
  if (ImportanceOf(priority) == 0 &&
      now - refusing->newest > options_.critical_max_age) {
    return false;
  }
  // Only requests of the importance that a rising threshold admits next may
  // probe: browse requests must not pass while critical ones are refused.
  if (ImportanceOf(priority) > ImportanceOf(refusing->threshold)) {
    return true;
  }
  refusing->probe_counter =
      (refusing->probe_counter + 1) % std::max(1U, options_.probe_every);
  return refusing->probe_counter != 0;
}

std::uint32_t ThresholdTable::EntryThreshold(std::string_view service,
                                             Instant now) {
  ServiceReports* found = Find(service);
  return found == nullptr ? kPriorityCount : ThresholdOf(*found, now);
}

std::uint32_t ThresholdTable::ThresholdOf(ServiceReports& service,
                                          Instant now) {
  if (!service.changed && now <= service.valid_until) {
    return service.threshold;
  }
  std::erase_if(service.reports, [&](const Report& report) {
    return now - report.time > options_.max_age;
  });
  scratch_thresholds_.clear();
  Instant oldest = now;
  for (const Report& report : service.reports) {
    scratch_thresholds_.push_back(report.threshold);
    oldest = std::min(oldest, report.time);
  }
  service.changed = false;
  service.valid_until = oldest + options_.max_age;
  service.threshold = kPriorityCount;
  if (!scratch_thresholds_.empty()) {
    // The n/2-th smallest, rounded up: that many servers refuse this priority.
    const auto half =
        static_cast<std::ptrdiff_t>((scratch_thresholds_.size() - 1) / 2);
    std::ranges::nth_element(scratch_thresholds_,
                             scratch_thresholds_.begin() + half);
    service.threshold = scratch_thresholds_[static_cast<std::size_t>(half)];
  }
  return service.threshold;
}

ThresholdTable::ServiceReports* ThresholdTable::Find(std::string_view service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace sesamespread::coordination
