/// \file
/// Structured log with one line per event. A separate thread writes the lines,
/// so that a slow reader of the output never delays a request.
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

/// The threads that write events. Each has a ring of its own.
enum class ThreadRole : std::uint8_t { kData, kControl, kPlatform, kMain };

/// The fields of an event as pairs of key and value.
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/// Collects events from the node's threads and writes them to a file
/// descriptor. Lines above the rate limits are suppressed and counted.
class EventLog {
 public:
  /// Lines per event name, thread and second. The event's next line reports how
  /// many were suppressed.
  static constexpr std::uint32_t kMaxLinesPerEventPerSecond = 20;

  /// Bytes per thread and second. At this rate of one thread, a reader may be
  /// two seconds behind before lines are dropped.
  static constexpr std::size_t kMaxBytesPerSecond = 128 << 10;

  /// Share of kMaxBytesPerSecond that events of level debug may use. Successes
  /// are logged at that level, refusals and failures above it, so that a flood
  /// of successes leaves room for failures.
  static constexpr std::size_t kMaxDebugBytesPerSecond = kMaxBytesPerSecond / 2;

  /// Writes to the file descriptor \p output, which the log does not own and
  /// which must stay open while the log exists.
  EventLog(LogLevel level, std::string node_name, int output = STDERR_FILENO);
  ~EventLog();

  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Returns false if the event would not be written, so that the caller need
  /// not build its fields. An event above a rate limit is then counted as
  /// suppressed. Must be called on the thread that \p role names.
  bool ShouldLog(ThreadRole role, LogLevel level, std::string_view event);

  /// Writes an event unless its level or a rate limit excludes it. Must be
  /// called on the thread that \p role names. \p event must have static
  /// lifetime.
  void Write(ThreadRole role,
             LogLevel level,
             std::string_view event,
             const LogFields& fields);

  /// Returns the number of lines dropped because a ring was full or the reader
  /// of the output was too slow.
  std::uint64_t lost_line_count() const;

  /// Sets the lowest level that is written. May be called on any thread.
  void SetLevel(LogLevel level) { level_ = level; }

 private:
  // Rate limit of one event name.
  struct RateWindow {
    std::int64_t second = 0;
    std::uint32_t lines = 0;
    // Lines suppressed since the last one that was written.
    std::uint64_t suppressed = 0;
  };
  // State of one producer thread.
  struct Source {
    explicit Source(std::function<void()> wake);
    BoundedRing<std::string> ring;
    // The members below are accessed only by the producer thread.
    std::unordered_map<std::string_view, RateWindow> windows;
    std::int64_t second = 0;
    // Bytes written in `second`.
    std::size_t bytes = 0;
  };

  // Returns true if the limits permit one more line of \p level in this second;
  // otherwise counts the line as suppressed.
  static bool IsWithinLimits(Source& source,
                             RateWindow& window,
                             LogLevel level);

  void Run();
  void DrainAll();
  void WritePending(std::chrono::milliseconds wait);
  Source& SourceOf(ThreadRole role) {
    return *sources_[static_cast<std::size_t>(role)];
  }

  std::atomic<LogLevel> level_;
  const std::string node_name_;
  const int output_;
  std::counting_semaphore<> work_available_{0};
  std::array<std::unique_ptr<Source>, 4> sources_;
  // Lines that have not been written; the first may be the rest of a line that
  // was written in part. Accessed only by the log's thread.
  std::string pending_;
  // Lines dropped because pending_ was full.
  std::atomic<std::uint64_t> dropped_lines_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_EVENT_LOG_H_
