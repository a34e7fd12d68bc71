/// \file
/// Structured log: one line per event, written by a thread of its own so that a
/// slow reader never delays a request.
#ifndef SESAMESPREAD_TRANSPORT_EVENT_LOG_H_
#define SESAMESPREAD_TRANSPORT_EVENT_LOG_H_

#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <semaphore>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/state/settings.h"
#include "sesamespread/state/time.h"
#include "sesamespread/transport/bounded_ring.h"

namespace sesamespread::transport {

using state::LogLevel;

/// The threads that write events; each has its own ring.
enum class ThreadRole : std::uint8_t { kData, kControl, kPlatform, kMain };

/// Fields of an event as key and value.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Takes events from the duties' threads and prints them.
class EventLog {
 public:
  /// Lines per event name and second; more are counted and reported in one.
  static constexpr std::uint32_t kMaxLinesPerEventPerSecond = 20;

  /// Bytes per duty and second: a reader may fall two seconds behind before
  /// lines that wait for it are lost.
  static constexpr std::size_t kMaxBytesPerSecond = 128 << 10;

  /// Part of these bytes that events of level debug may use. Successes are
  /// written at that level, refusals and failures above it.
  static constexpr std::size_t kMaxDebugBytesPerSecond = kMaxBytesPerSecond / 2;

  /// Writes to the file descriptor \p output, which the log doesn't own.
  EventLog(LogLevel level, std::string node_name, int output = STDERR_FILENO);
  ~EventLog();

  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// False if an event would be left out, so that its fields need not be made.
  /// Counts it as suppressed then. Only the thread of \p duty may call it.
  bool ShouldLog(ThreadRole duty, LogLevel level, std::string_view event);

  /// Writes an event. Only the thread of \p duty may call it with that value.
  /// \p event is a string with static lifetime.
  void Write(ThreadRole duty,
             LogLevel level,
             std::string_view event,
             const LogFields& fields);

  /// Lines lost because a ring was full or the output's reader too slow.
  std::uint64_t lost_count() const;

  void SetLevel(LogLevel level) { level_ = level; }

 private:
  struct RateWindow {
    std::int64_t second = 0;
    std::uint32_t lines = 0;
    // Left out since the last line.
    std::uint64_t suppressed = 0;
  };
  struct Source {
    explicit Source(std::function<void()> wake);
    BoundedRing<std::string> ring;
    // Touched only by the duty's own thread.
    std::unordered_map<std::string_view, RateWindow> windows;
    std::int64_t second = 0;
    // Written in that second.
    std::size_t bytes = 0;
  };

  // True if one more line of \p level may be written in this second; counts
  // it as left out otherwise.
  static bool HasRoom(Source& source, RateWindow& window, LogLevel level);

  void Run();
  void DrainAll();
  void WritePending(std::chrono::milliseconds wait);
  Source& SourceOf(ThreadRole duty) {
    return *sources_[static_cast<std::size_t>(duty)];
  }

  std::atomic<LogLevel> level_;
  const std::string node_name_;
  const int output_;
  std::counting_semaphore<> work_{0};
  std::array<std::unique_ptr<Source>, 4> sources_;
  // Whole lines, and the rest of one that was written in part. Touched only by
  // the log's thread.
  std::string pending_;
  std::atomic<std::uint64_t> unwritten_lines_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_EVENT_LOG_H_
