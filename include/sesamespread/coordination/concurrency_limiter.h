/// \file
/// Adaptive limit of requests in progress at the local backend server.
///
/// The limit follows the gradient of the server's own latency relative to a
/// tracked baseline. Each reduction is a trial: it is kept only if it lowers
/// the latency. docs/notes/concurrency-limit.md compares it with the
/// alternatives.
#ifndef SESAMESPREAD_COORDINATION_CONCURRENCY_LIMITER_H_
#define SESAMESPREAD_COORDINATION_CONCURRENCY_LIMITER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "sesamespread/state/inventory.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Number of values of state::Importance.
constexpr std::size_t kImportanceCount = 3;

/// How a request in progress ended.
enum class RequestOutcome : std::uint8_t {
  /// The backend server answered completely.
  kAnswered,
  /// The deadline passed first; the time taken is a lower bound.
  kTimedOut,
  /// Anything else, such as a cancellation, a lost connection or an error
  /// answer; the time taken says nothing about the service time.
  kFailed,
};

/// Times of a request that has ended.
struct RequestTiming {
  /// From the start at the backend server to the end.
  state::Duration total{0};
  /// Part of total in which at least one sub-call was pending; parallel
  /// sub-calls count once.
  state::Duration downstream_wait{0};
  RequestOutcome outcome = RequestOutcome::kAnswered;

  auto operator<=>(const RequestTiming&) const = default;
};

struct ConcurrencyLimiterOptions {
  /// Upper bound of the limit; at least 1.
  std::uint32_t slots = 1;
  /// Duration of the ramp of a new backend server; zero for no ramp.
  state::Duration cold_start{0};
  /// Limit at the start of the ramp; zero for a sixteenth of the slots.
  std::uint32_t initial_limit = 0;
  /// Minimum time between two changes of the limit.
  state::Duration window = std::chrono::milliseconds(100);
  /// Ratio of latency to baseline above which the limit is reduced.
  double tolerance = 1.5;
  /// Added to latency and baseline before they are compared, so that scheduling
  /// jitter of very short requests is not taken for overload.
  state::Duration slack = std::chrono::milliseconds(2);
  /// Time constant with which the baseline rises while the limit is not
  /// reached. It falls to a lower latency within a few windows.
  state::Duration baseline_rise = std::chrono::seconds(10);
};

/// Adapts the limit between 1 and the slots. O(1) per request.
class ConcurrencyLimiter {
 public:
  /// \pre options.slots and options.window are above zero.
  ConcurrencyLimiter(const ConcurrencyLimiterOptions& options,
                     state::Instant now);

  /// The limit in force; 1..slots.
  std::uint32_t limit() const;

  /// Records that a request had to wait because the limit was reached. The
  /// limit rises only in windows in which this happened.
  void OnLimitReached() { limit_reached_ = true; }

  /// Records a request that has ended.
  void OnFinish(const RequestTiming& timing,
                state::Importance importance,
                state::Instant now);

  /// Closes windows and advances the ramp. May be called at any interval.
  void Tick(state::Instant now);

  /// Changes the upper bound; at least 1. A limit at the previous bound moves
  /// to the new one.
  void set_slots(std::uint32_t slots);

  /// The tracked latency of \p importance without queueing; zero if none was
  /// measured yet.
  state::Duration baseline(state::Importance importance) const;

 private:
  // Samples of one importance in the current window; sums of log2 of
  // microseconds.
  struct ClassWindow {
    std::uint32_t answered = 0;
    double answered_sum = 0;
  };
  struct Baseline {
    // log2 of microseconds, slack included.
    double latency = 0;
    // Counted until there are enough for a mean; 0 if none was measured.
    std::uint32_t samples = 0;
  };
  // A reduction of the limit whose effect is not known yet.
  struct Trial {
    double limit_before;
    // log2 of latency over baseline before the reduction.
    double excess_before;
    // Without enough samples by then, the limit is restored.
    state::Instant expires_at;
  };

  bool has_answers() const;
  std::uint32_t SamplesNeeded() const;
  void CloseWindow(state::Instant now);
  void UpdateBaselines(state::Duration elapsed);
  // False if the reduction had no effect and the limit was restored.
  bool EndTrial(double excess);
  void StartTrial(double excess,
                  double over,
                  state::Instant now,
                  state::Duration settling);
  void Raise();
  void AdvanceRamp(state::Instant now);
  void ResetWindow(state::Instant now);

  ConcurrencyLimiterOptions options_;
  // 1..slots; the limit in force is also bounded by ramp_limit_.
  double limit_;
  // Doubles during the cold start; slots afterwards.
  double ramp_limit_;
  state::Duration ramp_step_{0};
  state::Instant ramp_next_;
  // True if latency was too high in the current step of the ramp.
  bool ramp_held_ = false;

  std::array<Baseline, kImportanceCount> baseline_{};
  // log2 of the slowdown that a lower limit does not reduce; >= 0.
  double slowdown_ = 0;
  std::optional<Trial> trial_;
  // Consecutive raises since the last reduction; each doubles the step.
  std::uint32_t consecutive_raises_ = 0;

  // In the future while a changed limit takes effect; samples before it are
  // ignored.
  state::Instant window_start_;
  std::array<ClassWindow, kImportanceCount> window_{};
  // Sum of log2 of latency over baseline, and number of samples in it.
  double excess_sum_ = 0;
  std::uint32_t samples_ = 0;
  double latency_sum_us_ = 0;
  bool limit_reached_ = false;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CONCURRENCY_LIMITER_H_
