/// \file
/// Processor-sharing queue of a backend server: the requests in progress share
/// its slots, so that overload makes each of them slower.
#ifndef SESAMESPREAD_TOOLS_STANDINS_PROCESSOR_SHARING_H_
#define SESAMESPREAD_TOOLS_STANDINS_PROCESSOR_SHARING_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

/// Processor-sharing queue on virtual time. All requests progress at the same
/// rate, so one progress value is tracked for all, and the cost of a change of
/// their number does not depend on the number. Not thread safe.
class ProcessorSharing {
 public:
  using Seconds = std::chrono::duration<double>;
  /// Completion callbacks by the progress at which they run.
  using Queue = std::multimap<double, std::function<void()>>;
  using Task = Queue::iterator;

  ProcessorSharing(boost::asio::io_context& context,
                   unsigned slots,
                   Seconds cold_start)
      : timer_(context), slots_(slots), cold_start_(cold_start) {}

  /// Runs \p done after \p work seconds of work at full speed.
  Task Add(double work, std::function<void()> done) {
    UpdateProgress();
    const Task task = queue_.emplace(progress_ + work, std::move(done));
    RearmTimer();
    return task;
  }

  /// Removes \p task without running its callback.
  /// \pre its callback has not run.
  void Remove(Task task) {
    queue_.erase(task);
    RearmTimer();
  }

  /// Sets the number of requests that share the slots, including those that
  /// wait for a sub-call.
  void SetInProgress(int count) {
    UpdateProgress();
    in_progress_ = count;
    RearmTimer();
  }

  /// Divides the speed by \p factor.
  void SetSlowFactor(double factor) {
    UpdateProgress();
    slow_factor_ = factor;
    RearmTimer();
  }

  int in_progress() const { return in_progress_; }

  /// Slot time that one request in progress since the start would have used, in
  /// seconds. The difference of two values is the slot time of one request in
  /// between.
  double slot_seconds() {
    UpdateProgress();
    return slot_seconds_;
  }

 private:
  using Clock = std::chrono::steady_clock;

  /// Speed at the start of a cold start, from which it rises linearly to 1.
  static constexpr double kInitialSpeed = 0.1;
  /// Interval at which the speed is adjusted during a cold start.
  static constexpr Seconds kColdStartStep = std::chrono::milliseconds(20);

  double SlotShare() const {
    return std::min(1.0, slots_ / std::max(1.0, 1.0 * in_progress_));
  }

  bool IsColdStarting() const { return Clock::now() - created_ < cold_start_; }

  double Speed() const {
    const double warm_share =
        IsColdStarting() ? Seconds(Clock::now() - created_) / cold_start_ : 1;
    return (kInitialSpeed + (1 - kInitialSpeed) * warm_share) / slow_factor_;
  }

  void UpdateProgress() {
    const auto now = Clock::now();
    const double share = SlotShare() * Seconds(now - updated_at_).count();
    progress_ += share * Speed();
    slot_seconds_ += share;
    updated_at_ = now;
  }

  void RearmTimer() {
    if (queue_.empty())
      return;
    const Seconds remaining((queue_.begin()->first - progress_) /
                            (SlotShare() * Speed()));
    const Seconds max_wait = IsColdStarting() ? kColdStartStep : Seconds(1);
    timer_.expires_after(std::chrono::ceil<std::chrono::microseconds>(
        std::clamp(remaining, Seconds(0), max_wait)));
    timer_.async_wait([this](const auto& error) {
      if (!error)
        OnTimer();
    });
  }

  void OnTimer() {
    constexpr double kTolerance = 1e-9;
    UpdateProgress();
    while (!queue_.empty() && queue_.begin()->first <= progress_ + kTolerance) {
      const auto done = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      done();
    }
    RearmTimer();
  }

  boost::asio::steady_timer timer_;
  const double slots_;
  const Seconds cold_start_;
  const Clock::time_point created_ = Clock::now();
  Clock::time_point updated_at_ = created_;
  double progress_ = 0;
  double slot_seconds_ = 0;
  double slow_factor_ = 1;
  int in_progress_ = 0;
  Queue queue_;
};

#endif  // SESAMESPREAD_TOOLS_STANDINS_PROCESSOR_SHARING_H_
