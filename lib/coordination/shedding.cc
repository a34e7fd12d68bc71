/// \file
/// Admission thresholds of this server and of others.
#include "sesamespread/coordination/shedding.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using state::kPriorityCount;

constexpr Duration kShortestDrainTime = std::chrono::milliseconds(100);
constexpr Duration kLongestDrainTime = std::chrono::seconds(10);

// The first raise after pressure. Doubled per calm interval it covers all
// priorities in 5 intervals (16 + 32 + ... + 256 = 496 > 384), so 0.5 s.
constexpr std::uint32_t kFirstRaise = 16;
// Lowest priority value of browsing.
constexpr std::uint32_t kFirstBrowse =
    static_cast<std::uint32_t>(state::Importance::kBrowse) *
    state::kPrioritiesPerImportance;
// Weight of the newest interval in the service rate: its requests over
// kRateSamples, within these bounds.
constexpr double kRateSamples = 64;
constexpr double kLeastRateWeight = 0.1;
constexpr double kMostRateWeight = 0.5;
// An interval with that many arrivals replaces the smoothed ones; with fewer,
// up to kMostKeptArrivals of them is kept. 8 completions per interval (4 slots
// of 50 ms) left as little as 0.84 of the goodput when each interval stood for
// itself.
constexpr float kArrivalSamples = 100;
constexpr float kMostKeptArrivals = 0.8F;
// Intervals after a pause that are closed one by one; the threshold is fully
// raised by then.
constexpr std::int64_t kMostIntervals = 10;

// The importance of a priority, or the one that a threshold opens next.
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
  const Duration base =
      std::clamp(drain_time, kShortestDrainTime, kLongestDrainTime);
  std::uniform_int_distribution<Duration::rep> jitter(0, base.count());
  return base / 2 + Duration(jitter(random));
}

SheddingThreshold::SheddingThreshold(const SheddingOptions& options,
                                     Instant now)
    : options_(options), raise_step_(kFirstRaise), interval_start_(now) {
  assert(options.interval > Duration(0) && "intervals need a duration");
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
    threshold_ = std::min(threshold_, kFirstBrowse);
  }
}

void SheddingThreshold::Tick(std::uint32_t queued,
                             Duration service_time,
                             Instant now) {
  const std::int64_t intervals = (now - interval_start_) / options_.interval;
  if (intervals <= 0) {
    return;
  }
  // After a pause the counters belong to all intervals that passed.
  const auto seconds =
      std::chrono::duration<double>(intervals * options_.interval).count();
  CloseInterval(queued, service_time, seconds);
  const std::int64_t calm = std::min(intervals - 1, kMostIntervals);
  for (std::int64_t i = 0; i < calm; ++i) {
    CloseInterval(queued, service_time, seconds);
  }
  interval_start_ += intervals * options_.interval;
}

bool SheddingThreshold::UnderPressure(std::uint32_t queued,
                                      Duration service_time) const {
  // An empty queue ends the pressure, whatever was dropped before that.
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
  overloaded_ = UnderPressure(queued, service_time);
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
  // Without saturation the server could do more than it was asked for.
  if (rate < service_rate_ && !saturated) {
    return;
  }
  const double samples = std::max(rate, service_rate_) * seconds;
  service_rate_ +=
      std::clamp(samples / kRateSamples, kLeastRateWeight, kMostRateWeight) *
      (rate - service_rate_);
}

void SheddingThreshold::UpdateArrivals() {
  const auto total = static_cast<float>(
      std::accumulate(arrivals_.begin(), arrivals_.end(), 0U));
  const float keep =
      std::clamp(1 - total / kArrivalSamples, 0.0F, kMostKeptArrivals);
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    smoothed_arrivals_[i] = keep * smoothed_arrivals_[i] +
                            (1 - keep) * static_cast<float>(arrivals_[i]);
  }
  arrivals_.fill(0);
}

std::uint32_t SheddingThreshold::Placement(double budget) const {
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
  // Never raised here: while first hops shed, the arrivals above the threshold
  // are not seen.
  const std::uint32_t fitting = Placement(budget);
  // A burst that fits on average must not start the recovery anew.
  raise_step_ = fitting < threshold_ ? kFirstRaise
                                     : std::max(raise_step_ / 2, kFirstRaise);
  threshold_ = std::min(threshold_, fitting);
}

void SheddingThreshold::Raise(double budget, bool saturated) {
  const std::uint32_t stepped =
      std::min(threshold_ + raise_step_, kPriorityCount);
  const std::uint32_t fitting = saturated ? Placement(budget) : kPriorityCount;
  if (fitting >= stepped) {
    threshold_ = stepped;
    raise_step_ = std::min(raise_step_ * 2, kPriorityCount);
    return;
  }
  // Arrivals above the threshold are known not to fit.
  threshold_ = std::max(threshold_, fitting);
  raise_step_ = kFirstRaise;
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
  // Views of first hops differ by the age of their reports. An order is refused
  // only on one as fresh as a server's interval, so that it isn't shed here
  // while browsing is admitted on a newer view elsewhere.
  if (ImportanceOf(priority) == 0 &&
      now - refusing->newest > options_.critical_max_age) {
    return false;
  }
  // Only requests of the importance that opens next may probe: browsing must
  // not pass while orders are refused.
  if (ImportanceOf(priority) > ImportanceOf(refusing->threshold)) {
    return true;
  }
  refusing->shed_count =
      (refusing->shed_count + 1) % std::max(1U, options_.probe_every);
  return refusing->shed_count != 0;
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
  scratch_.clear();
  Instant oldest = now;
  for (const Report& report : service.reports) {
    scratch_.push_back(report.threshold);
    oldest = std::min(oldest, report.time);
  }
  service.changed = false;
  service.valid_until = oldest + options_.max_age;
  service.threshold = kPriorityCount;
  if (!scratch_.empty()) {
    // The n/2-th smallest, rounded up: that many servers refuse at it.
    const auto half = static_cast<std::ptrdiff_t>((scratch_.size() - 1) / 2);
    std::ranges::nth_element(scratch_, scratch_.begin() + half);
    service.threshold = scratch_[static_cast<std::size_t>(half)];
  }
  return service.threshold;
}

ThresholdTable::ServiceReports* ThresholdTable::Find(std::string_view service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace sesamespread::coordination
