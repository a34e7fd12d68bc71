/// \file
/// Work of a backend server whose requests in progress share its slots, so that
/// overload makes each of them slower.
#ifndef SESAMESPREAD_TOOLS_STANDINS_PROCESSOR_SHARING_H_
#define SESAMESPREAD_TOOLS_STANDINS_PROCESSOR_SHARING_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

/// Tracks the common progress of all requests instead of that of each, so that
/// a change of their number costs the same for any number.
class ProcessorSharing {
 public:
  using Seconds = std::chrono::duration<double>;
  /// Work by the common progress at which it ends.
  using Queue = std::multimap<double, std::function<void()>>;
  using Task = Queue::iterator;

  ProcessorSharing(boost::asio::io_context& context,
                   unsigned slots,
                   Seconds cold_start)
      : timer_(context), slots_(slots), cold_start_(cold_start) {}

  /// Runs \p done after \p work seconds at full speed.
  Task Add(double work, std::function<void()> done) {
    Advance();
    const Task task = queue_.emplace(progress_ + work, std::move(done));
    Rearm();
    return task;
  }

  /// \pre \p task has not been done.
  void Remove(Task task) {
    queue_.erase(task);
    Rearm();
  }

  /// Requests that share the slots, including those that wait for a sub-call.
  void SetInProgress(int count) {
    Advance();
    in_progress_ = count;
    Rearm();
  }

  void SetSlowFactor(double factor) {
    Advance();
    slow_factor_ = factor;
    Rearm();
  }

  int in_progress() const { return in_progress_; }

  /// Slot time that a request spent that was always in progress.
  double slot_seconds() {
    Advance();
    return slot_seconds_;
  }

 private:
  using Clock = std::chrono::steady_clock;

  /// Speed at the begin of a cold start; it rises linearly to 1.
  static constexpr double kColdSpeed = 0.1;
  /// How often the speed is adjusted during a cold start.
  static constexpr Seconds kColdStartStep = std::chrono::milliseconds(20);

  double Share() const {
    return std::min(1.0, slots_ / std::max(1.0, 1.0 * in_progress_));
  }

  bool cold() const { return Clock::now() - created_ < cold_start_; }

  double Speed() const {
    const double warm =
        cold() ? Seconds(Clock::now() - created_) / cold_start_ : 1;
    return (kColdSpeed + (1 - kColdSpeed) * warm) / slow_factor_;
  }

  void Advance() {
    const auto now = Clock::now();
    const double share = Share() * Seconds(now - advanced_).count();
    progress_ += share * Speed();
    slot_seconds_ += share;
    advanced_ = now;
  }

  void Rearm() {
    if (queue_.empty())
      return;
    const Seconds left((queue_.begin()->first - progress_) /
                       (Share() * Speed()));
    const Seconds longest = cold() ? kColdStartStep : Seconds(1);
    timer_.expires_after(std::chrono::ceil<std::chrono::microseconds>(
        std::clamp(left, Seconds(0), longest)));
    timer_.async_wait([this](const auto& error) {
      if (!error)
        OnTimer();
    });
  }

  void OnTimer() {
    constexpr double kRounding = 1e-9;
    Advance();
    while (!queue_.empty() && queue_.begin()->first <= progress_ + kRounding) {
      const auto done = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      done();
    }
    Rearm();
  }

  boost::asio::steady_timer timer_;
  const double slots_;
  const Seconds cold_start_;
  const Clock::time_point created_ = Clock::now();
  Clock::time_point advanced_ = created_;
  double progress_ = 0;
  double slot_seconds_ = 0;
  double slow_factor_ = 1;
  int in_progress_ = 0;
  Queue queue_;
};

#endif  // SESAMESPREAD_TOOLS_STANDINS_PROCESSOR_SHARING_H_
