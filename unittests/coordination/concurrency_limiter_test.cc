/// \file
/// Guards against a concurrency limit that falls for a wrong reason (idleness,
/// a slow dependency, a slowdown that fewer requests do not remedy), that does
/// not fall under saturation, or that recovers late.
#include "sesamespread/coordination/concurrency_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <random>
#include <vector>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Importance;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 160;
constexpr int kBaseMs = 20;
constexpr int kSlowStart = 5000;
constexpr int kSlowEnd = 15000;
constexpr int kEnd = 18000;

// The alternatives compared in docs/notes/concurrency-limit.md. Each updates
// its limit every 100 ms from the mean latency of the window.
class WindowedLimiter {
 public:
  WindowedLimiter(const ConcurrencyLimiterOptions& options, Instant now)
      : slots_(options.slots), limit_(slots_), start_(now) {}
  virtual ~WindowedLimiter() = default;
  std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }
  void OnLimitReached() {}
  void OnFinish(const RequestTiming& timing, Importance, Instant) {
    sum_ms_ +=
        static_cast<double>((timing.total - timing.downstream_wait).count()) /
        1000;
    ++count_;
  }
  void Tick(Instant now) {
    if (now - start_ < milliseconds(100) || count_ < 5) {
      return;
    }
    limit_ = std::clamp(Next(sum_ms_ / count_), 1.0, slots_);
    start_ = now;
    sum_ms_ = 0;
    count_ = 0;
  }

 protected:
  virtual double Next(double mean_ms) = 0;
  double slots_;
  double limit_;

 private:
  Instant start_;
  double sum_ms_ = 0;
  int count_ = 0;
};

// Multiplies the limit by the ratio of baseline to latency and adds its square
// root for headroom; the baseline follows the latency over 10 s (100 windows).
class PlainGradient : public WindowedLimiter {
 public:
  using WindowedLimiter::WindowedLimiter;
  double Next(double mean_ms) override {
    baseline_ = baseline_ == 0 || mean_ms < baseline_
                    ? mean_ms
                    : baseline_ + (mean_ms - baseline_) / 100;
    const double gradient = std::clamp(1.5 * baseline_ / mean_ms, 0.5, 1.0);
    return limit_ * gradient + std::sqrt(limit_);
  }

 private:
  double baseline_ = 0;
};

// Adds 1 while the latency is less than 10 ms above the lowest one observed,
// and multiplies by 0.7 otherwise.
class QueueDelayAimd : public WindowedLimiter {
 public:
  using WindowedLimiter::WindowedLimiter;
  double Next(double mean_ms) override {
    lowest_ = std::min(lowest_, mean_ms);
    return mean_ms - lowest_ > 10 ? limit_ * 0.7 : limit_ + 1;
  }

 private:
  double lowest_ = std::numeric_limits<double>::max();
};

enum class Slowdown { kConstant, kSaturating, kDownstream };

struct Outcome {
  // Throughput in the slow period as a share of the highest possible.
  double throughput = 0;
  double mean_latency_ms = 0;
  // Lowest limit in the slow period.
  std::uint32_t lowest_limit = kSlots;
  // From the end of the slowdown until 0.95 of the slots are allowed.
  int recovery_ms = -1;
};

// Simulates a server with unlimited demand in steps of 1 ms.
template <typename Limiter>
Outcome RunModel(Slowdown slowdown) {
  struct Running {
    int started;
    double left;
    bool delayed;
  };
  ConcurrencyLimiterOptions options;
  options.slots = kSlots;
  Limiter limiter(options, Instant(Duration(0)));
  std::mt19937_64 random(1);
  std::vector<Running> running;
  Outcome outcome;
  int done = 0;
  for (int ms = 0; ms < kEnd; ++ms) {
    const Instant now{milliseconds(ms)};
    const bool slow = ms >= kSlowStart && ms < kSlowEnd;
    const double in_use = static_cast<double>(running.size());
    double speed = 1;
    if (slow && slowdown == Slowdown::kSaturating) {
      speed = 1 / std::max(1.0, in_use / (kSlots / 10.0));
    }
    std::erase_if(running, [&](Running& request) {
      request.left -= speed;
      if (request.left > 0) {
        return false;
      }
      RequestTiming timing;
      timing.total = milliseconds(ms - request.started);
      if (slowdown == Slowdown::kDownstream && request.delayed) {
        timing.downstream_wait = milliseconds(9 * kBaseMs);
      }
      limiter.OnFinish(timing, Importance::kBrowse, now);
      done += slow ? 1 : 0;
      outcome.mean_latency_ms += slow ? ms - request.started : 0;
      return true;
    });
    limiter.Tick(now);
    while (running.size() < limiter.limit()) {
      const double work =
          kBaseMs * 0.5 + static_cast<int>(random() % (kBaseMs + 1));
      const bool delayed = slow && slowdown != Slowdown::kSaturating;
      const double factor = delayed && slowdown == Slowdown::kConstant ? 10 : 1;
      const double wait =
          delayed && slowdown == Slowdown::kDownstream ? 9 * kBaseMs : 0;
      running.push_back({ms, work * factor + wait, delayed});
    }
    limiter.OnLimitReached();
    if (slow) {
      outcome.lowest_limit = std::min(outcome.lowest_limit, limiter.limit());
    }
    if (ms >= kSlowEnd && outcome.recovery_ms < 0 &&
        limiter.limit() >= 0.95 * kSlots) {
      outcome.recovery_ms = ms - kSlowEnd;
    }
  }
  const double possible = (kSlots / 10.0) / kBaseMs * (kSlowEnd - kSlowStart);
  outcome.throughput = done / possible;
  outcome.mean_latency_ms /= std::max(1, done);
  return outcome;
}

void Print(const char* limiter, const char* slowdown, const Outcome& outcome) {
  std::printf("%-14s %-10s %10.3f %7.0f ms %6u %6d ms\n", limiter, slowdown,
              outcome.throughput, outcome.mean_latency_ms, outcome.lowest_limit,
              outcome.recovery_ms);
}

TEST(ConcurrencyLimiterTest, AdaptsToEachKindOfSlowdownAndRecovers) {
  const std::pair<const char*, Slowdown> kinds[] = {
      {"constant", Slowdown::kConstant},
      {"saturating", Slowdown::kSaturating},
      {"downstream", Slowdown::kDownstream}};
  std::printf("%-14s %-10s %10s %10s %6s %9s\n", "limiter", "slowdown",
              "throughput", "latency", "lowest", "recovery");
  for (const auto& [name, kind] : kinds) {
    const Outcome own = RunModel<ConcurrencyLimiter>(kind);
    Print("gradient+trial", name, own);
    Print("gradient", name, RunModel<PlainGradient>(kind));
    Print("AIMD on delay", name, RunModel<QueueDelayAimd>(kind));
    EXPECT_GE(own.throughput, 0.95) << name;
    EXPECT_GE(own.recovery_ms, 0) << name;
    EXPECT_LE(own.recovery_ms, 1000) << name;
    if (kind == Slowdown::kSaturating) {
      // Without a limit it is 10 times kBaseMs.
      EXPECT_LE(own.mean_latency_ms, 3 * kBaseMs);
    }
    if (kind == Slowdown::kDownstream) {
      EXPECT_EQ(own.lowest_limit, kSlots);
    }
  }
}

RequestTiming Answered(int ms) {
  RequestTiming timing;
  timing.total = milliseconds(ms);
  return timing;
}

TEST(ConcurrencyLimiterTest, IdlenessDoesNotLowerTheLimit) {
  ConcurrencyLimiterOptions options;
  options.slots = 100;
  ConcurrencyLimiter limiter(options, Instant{});
  Instant now{};
  for (int i = 0; i < 100; ++i, now += milliseconds(10)) {
    limiter.OnFinish(Answered(20), Importance::kBrowse, now);
  }
  // Slow requests that never reach the limit are no reason to lower it.
  for (int i = 0; i < 100; ++i, now += milliseconds(10)) {
    limiter.OnFinish(Answered(200), Importance::kBrowse, now);
  }
  limiter.Tick(now + std::chrono::hours(1));
  EXPECT_EQ(limiter.limit(), 100U);
}

TEST(ConcurrencyLimiterTest, ReductionIsUndoneWhenTrafficEnds) {
  ConcurrencyLimiterOptions options;
  options.slots = 100;
  ConcurrencyLimiter limiter(options, Instant{});
  Instant now{};
  for (int i = 0; i < 100; ++i, now += milliseconds(10)) {
    limiter.OnFinish(Answered(20), Importance::kBrowse, now);
  }
  for (int i = 0; i < 200 && limiter.limit() == 100; ++i) {
    now += milliseconds(2);
    limiter.OnLimitReached();
    limiter.OnFinish(Answered(200), Importance::kBrowse, now);
  }
  ASSERT_LT(limiter.limit(), 100U);
  limiter.Tick(now + seconds(2));
  EXPECT_EQ(limiter.limit(), 100U);
}

TEST(ConcurrencyLimiterTest, FailuresDoNotSetTheBaseline) {
  ConcurrencyLimiterOptions options;
  options.slots = 10;
  ConcurrencyLimiter limiter(options, Instant{});
  Instant now{};
  RequestTiming failed = Answered(1);
  failed.outcome = RequestOutcome::kFailed;
  for (int i = 0; i < 200; ++i, now += milliseconds(5)) {
    limiter.OnFinish(i % 2 == 0 ? Answered(40) : failed, Importance::kCritical,
                     now);
  }
  EXPECT_GT(limiter.baseline(Importance::kCritical), milliseconds(35));
  EXPECT_EQ(limiter.baseline(Importance::kBrowse), Duration(0));
}

TEST(ConcurrencyLimiterTest, ChangedRequestMixIsNotASlowdown) {
  ConcurrencyLimiterOptions options;
  options.slots = 50;
  ConcurrencyLimiter limiter(options, Instant{});
  Instant now{};
  // Shedding replaces short browse requests by long critical ones.
  for (int i = 0; i < 2000; ++i, now += milliseconds(2)) {
    const bool order = i % 10 == 0 || i > 1000;
    limiter.OnLimitReached();
    limiter.OnFinish(Answered(order ? 100 : 10),
                     order ? Importance::kCritical : Importance::kBrowse, now);
    ASSERT_EQ(limiter.limit(), 50U) << i;
  }
}

TEST(ConcurrencyLimiterTest, RampDoublesUpToTheSlotsAndPausesWhileSlow) {
  ConcurrencyLimiterOptions options;
  options.slots = 160;
  options.cold_start = seconds(4);
  ConcurrencyLimiter limiter(options, Instant{});
  EXPECT_EQ(limiter.limit(), 10U);
  limiter.Tick(Instant{seconds(1)});
  EXPECT_EQ(limiter.limit(), 20U);
  limiter.Tick(Instant{seconds(2)});
  EXPECT_EQ(limiter.limit(), 40U);
  // A step with slow requests does not double the limit.
  Instant now{seconds(2)};
  for (int i = 0; i < 40; ++i, now += milliseconds(5)) {
    limiter.OnFinish(Answered(20), Importance::kBrowse, now);
  }
  for (int i = 0; i < 40; ++i, now += milliseconds(5)) {
    limiter.OnFinish(Answered(100), Importance::kBrowse, now);
  }
  limiter.Tick(Instant{milliseconds(3500)});
  EXPECT_EQ(limiter.limit(), 40U);
  limiter.Tick(Instant{seconds(6)});
  EXPECT_EQ(limiter.limit(), 160U);
}

}  // namespace
}  // namespace sesamespread::coordination
