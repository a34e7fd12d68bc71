/// \file
/// Latencies are handled as log2 of microseconds, so that a mean is robust
/// against single slow requests and a ratio is a difference.
#include "sesamespread/coordination/concurrency_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Importance;
using state::Instant;

// A window that still lacks samples after this time is closed with those it
// has.
constexpr Duration kMaxWindow = std::chrono::seconds(1);
// Number of mean latencies after a change of the limit during which samples are
// ignored. Requests that end in this time were started before the change, or
// are the shortest of those started after it; counting them would make a
// reduction without any effect look effective.
constexpr int kSettlingLatencies = 2;
// Time for the samples that decide a trial; the settling time is used if that
// is longer.
constexpr Duration kTrialTimeout = std::chrono::seconds(1);
// Bounds of the factor by which one reduction multiplies the limit.
constexpr double kMinLimitFactor = 0.5;
constexpr double kMaxLimitFactor = 0.9;
// A reduction counts as effective if latency falls by this share of a
// proportional decrease. 0.5 would be half-way between no effect and a
// proportional one; a lower value keeps reductions at a partly saturated
// server.
constexpr double kMinEffectShare = 0.3;
// A window needs twice the limit in samples, within these bounds. With 10
// instead of 30 the noise of 16 slots alone causes reductions.
constexpr std::uint32_t kMaxSamplesNeeded = 30;
constexpr std::uint32_t kMinSamplesNeeded = 4;
// Raises double their step at most this often: 2^16 exceeds any number of
// slots.
constexpr std::uint32_t kMaxDoublings = 16;
// Share of the difference to a lower latency by which the baseline falls per
// window. A larger share would follow the noise of single windows.
constexpr double kBaselineFallPerWindow = 0.2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(const ConcurrencyLimiterOptions& options,
                                       Instant now)
    : options_(options),
      limit_(options.slots),
      ramp_limit_(options.slots),
      ramp_next_(now),
      window_start_(now) {
  assert(options.slots > 0 && "a backend server has at least one slot");
  assert(options.window > Duration(0) &&
         "the duration of a window must be above zero");
  if (options.cold_start <= Duration(0)) {
    return;
  }
  const std::uint32_t initial =
      options.initial_limit > 0 ? options.initial_limit : options.slots / 16;
  ramp_limit_ = std::clamp(initial, 1U, options.slots);
  const double doublings = std::ceil(std::log2(options.slots / ramp_limit_));
  ramp_step_ = Duration(static_cast<Duration::rep>(
      static_cast<double>(options.cold_start.count()) /
      std::max(1.0, doublings)));
  ramp_next_ = now + ramp_step_;
}

std::uint32_t ConcurrencyLimiter::limit() const {
  return std::max(1U,
                  static_cast<std::uint32_t>(std::min(limit_, ramp_limit_)));
}

void ConcurrencyLimiter::set_slots(std::uint32_t slots) {
  assert(slots > 0 && "a backend server has at least one slot");
  const double old_slots = options_.slots;
  options_.slots = slots;
  const auto scale_to_slots = [&](double& limit) {
    limit = limit >= old_slots ? slots : std::min<double>(limit, slots);
  };
  scale_to_slots(limit_);
  scale_to_slots(ramp_limit_);
  if (trial_) {
    scale_to_slots(trial_->limit_before);
  }
}

Duration ConcurrencyLimiter::baseline(Importance importance) const {
  const Baseline& baseline = baseline_[static_cast<std::size_t>(importance)];
  if (baseline.samples == 0) {
    return Duration(0);
  }
  const auto with_slack =
      static_cast<Duration::rep>(std::exp2(baseline.latency));
  return std::max(Duration(0), Duration(with_slack) - options_.slack);
}

void ConcurrencyLimiter::OnFinish(const RequestTiming& timing,
                                  Importance importance,
                                  Instant now) {
  // The time taken by a failed request says nothing about the service time. The
  // window starts in the future while a changed limit takes effect.
  const bool counts =
      timing.outcome != RequestOutcome::kFailed && now >= window_start_;
  if (counts) {
    const Duration own =
        std::max(Duration(0), timing.total - timing.downstream_wait);
    const double latency = std::log2(static_cast<double>(
        std::max(Duration(1), own + options_.slack).count()));
    const auto index = static_cast<std::size_t>(importance);
    if (baseline_[index].samples > 0) {
      excess_sum_ += latency - baseline_[index].latency;
      ++samples_;
      latency_sum_us_ += static_cast<double>(timing.total.count());
    }
    if (timing.outcome == RequestOutcome::kAnswered) {
      ++window_[index].answered;
      window_[index].answered_sum += latency;
    }
  }
  Tick(now);
}

void ConcurrencyLimiter::Tick(Instant now) {
  AdvanceRamp(now);
  if (trial_ && now >= trial_->expires_at && samples_ < kMinSamplesNeeded) {
    // Traffic ended before the effect was known. The limit is restored, since
    // an idle service must not be left with a low one.
    limit_ = trial_->limit_before;
    trial_.reset();
    ResetWindow(now);
    return;
  }
  const Duration elapsed = now - window_start_;
  if (elapsed < options_.window) {
    return;
  }
  // Samples of an importance without a baseline only initialize the baseline.
  const bool only_new = samples_ == 0 && has_answers();
  const bool overdue =
      trial_ ? now >= trial_->expires_at : only_new || elapsed >= kMaxWindow;
  if (samples_ >= SamplesNeeded() || overdue) {
    CloseWindow(now);
  }
}

bool ConcurrencyLimiter::has_answers() const {
  return std::ranges::any_of(
      window_, [](const ClassWindow& window) { return window.answered > 0; });
}

std::uint32_t ConcurrencyLimiter::SamplesNeeded() const {
  return std::clamp(2 * limit(), kMinSamplesNeeded, kMaxSamplesNeeded);
}

void ConcurrencyLimiter::CloseWindow(Instant now) {
  const Duration elapsed = now - window_start_;
  if (samples_ == 0) {
    UpdateBaselines(elapsed);
    ResetWindow(now);
    return;
  }
  const double excess = excess_sum_ / samples_;
  // A slowdown that has ended must not hide a new one.
  slowdown_ = std::clamp(slowdown_, 0.0, std::max(0.0, excess));
  const Duration settling =
      kSettlingLatencies *
      Duration(static_cast<Duration::rep>(latency_sum_us_ / samples_));
  UpdateBaselines(elapsed);
  if (trial_ && !EndTrial(excess)) {
    ResetWindow(now + settling);
    return;
  }
  const double over = excess - slowdown_;
  const bool too_slow = over > std::log2(options_.tolerance);
  ramp_held_ = ramp_held_ || too_slow;
  if (limit_reached_ && too_slow && limit() > 1) {
    StartTrial(excess, over, now, settling);
    ResetWindow(now + settling);
    return;
  }
  if (limit_reached_ && !too_slow) {
    Raise();
  }
  ResetWindow(now);
}

bool ConcurrencyLimiter::EndTrial(double excess) {
  const Trial trial = *trial_;
  trial_.reset();
  const double needed =
      kMinEffectShare * std::log2(trial.limit_before / limit_);
  const double gained = trial.excess_before - excess;
  if (gained >= needed) {
    return true;
  }
  limit_ = trial.limit_before;
  // If the latency rose by that much instead, a slowdown began at about the
  // same time as the trial, which therefore shows nothing; the next trial
  // decides.
  if (gained > -needed) {
    slowdown_ = std::max(0.0, excess);
  }
  return false;
}

void ConcurrencyLimiter::StartTrial(double excess,
                                    double over,
                                    Instant now,
                                    Duration settling) {
  const double before = limit();
  const double cut =
      std::clamp(std::exp2(-over), kMinLimitFactor, kMaxLimitFactor);
  limit_ = std::max(1.0, std::floor(before * cut));
  consecutive_raises_ = 0;
  trial_ =
      Trial{before, excess, now + settling + std::max(kTrialTimeout, settling)};
}

void ConcurrencyLimiter::Raise() {
  // The step starts at the square root of the limit and doubles with each
  // further raise: it is small around an operating point, but the limit rises
  // from 1 to 160 within 6 windows once a slowdown has ended.
  limit_ += std::sqrt(limit_) *
            std::exp2(std::min(consecutive_raises_, kMaxDoublings));
  limit_ = std::min(limit_, static_cast<double>(options_.slots));
  ++consecutive_raises_;
}

void ConcurrencyLimiter::UpdateBaselines(Duration elapsed) {
  const double rise =
      1 - std::exp(-Seconds(elapsed) / Seconds(options_.baseline_rise));
  for (std::size_t i = 0; i < kImportanceCount; ++i) {
    const ClassWindow& window = window_[i];
    if (window.answered == 0) {
      continue;
    }
    const double latency = window.answered_sum / window.answered;
    Baseline& baseline = baseline_[i];
    const double change = latency - baseline.latency;
    const std::uint32_t samples = baseline.samples + window.answered;
    if (baseline.samples < kMaxSamplesNeeded) {
      // The baseline starts as the mean of the first samples, so that the very
      // first ones do not determine it.
      baseline.latency += change * window.answered / samples;
      baseline.samples = samples;
      continue;
    }
    if (change < 0) {
      // A window with few samples has less weight, so that a single fast
      // request does not determine the baseline.
      const double weight = std::min(
          1.0, static_cast<double>(window.answered) / kMaxSamplesNeeded);
      baseline.latency += change * kBaselineFallPerWindow * weight;
    } else if (!limit_reached_) {
      // While the limit is reached, the latency may include the effect of
      // overload. A baseline that followed it would raise the limit without
      // bound.
      baseline.latency += change * rise;
    }
  }
}

void ConcurrencyLimiter::AdvanceRamp(Instant now) {
  while (ramp_limit_ < options_.slots && now >= ramp_next_) {
    ramp_next_ += ramp_step_;
    if (!ramp_held_) {
      ramp_limit_ =
          std::min(ramp_limit_ * 2, static_cast<double>(options_.slots));
    }
    ramp_held_ = false;
  }
}

void ConcurrencyLimiter::ResetWindow(Instant now) {
  window_start_ = now;
  window_ = {};
  excess_sum_ = 0;
  samples_ = 0;
  latency_sum_us_ = 0;
  limit_reached_ = false;
}

}  // namespace sesamespread::coordination
