/// \file
/// Formats log lines and writes them on the log's thread.
#include "sesamespread/transport/event_log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace sesamespread::transport {
namespace {

// Lines of one thread that wait for the log's thread: about a second of the
// busiest thread at the permitted rate.
constexpr std::size_t kRingCapacity = 4096;

// Lines are written in batches this far apart, since each wake-up and each
// write of the log's thread costs CPU time.
constexpr std::chrono::milliseconds kBatchInterval{100};

// Time between two attempts to write while the reader does not read.
constexpr std::chrono::milliseconds kBlockedRetryInterval{100};

// Longest wait for the reader before each write in the destructor.
constexpr std::chrono::milliseconds kFinalWriteTimeout{100};

// Lines that wait for the reader: two seconds of one thread at its permitted
// rate. Further lines are dropped.
constexpr std::size_t kMaxPendingBytes = 256 << 10;

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string Quoted(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    quoted += c == '\n' || c == '\r' ? ' ' : c;
  }
  return quoted + "\"";
}

std::int64_t CurrentSecond() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string Timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() %
                      1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis);
}

}  // namespace

EventLog::Source::Source(std::function<void()> wake)
    : ring(kRingCapacity, std::move(wake)) {}

EventLog::EventLog(LogLevel level, std::string node_name, int output)
    : level_(level), node_name_(std::move(node_name)), output_(output) {
  for (auto& source : sources_)
    source = std::make_unique<Source>([this] { work_available_.release(); });
  thread_ = std::thread([this] { Run(); });
}

EventLog::~EventLog() {
  stopping_ = true;
  work_available_.release();
  thread_.join();
}

bool EventLog::IsWithinLimits(Source& source,
                              RateWindow& window,
                              LogLevel level) {
  const std::int64_t second = CurrentSecond();
  if (source.second != second) {
    source.second = second;
    source.bytes = 0;
  }
  if (window.second != second) {
    window.second = second;
    window.lines = 0;
  }
  const std::size_t max_bytes =
      level <= LogLevel::kDebug ? kMaxDebugBytesPerSecond : kMaxBytesPerSecond;
  if (window.lines < kMaxLinesPerEventPerSecond && source.bytes < max_bytes)
    return true;
  ++window.suppressed;
  return false;
}

bool EventLog::ShouldLog(ThreadRole role,
                         LogLevel level,
                         std::string_view event) {
  if (level < level_)
    return false;
  Source& source = SourceOf(role);
  return IsWithinLimits(source, source.windows[event], level);
}

void EventLog::Write(ThreadRole role,
                     LogLevel level,
                     std::string_view event,
                     const LogFields& fields) {
  if (level < level_)
    return;
  Source& source = SourceOf(role);
  RateWindow& window = source.windows[event];
  if (!IsWithinLimits(source, window, level))
    return;
  ++window.lines;
  const std::uint64_t suppressed = std::exchange(window.suppressed, 0);
  std::string line =
      fmt::format("time={} level={} node={} event={}", Timestamp(),
                  state::ToString(level), node_name_, event);
  for (const auto& [key, value] : fields)
    line +=
        fmt::format(" {}={}", key, NeedsQuotes(value) ? Quoted(value) : value);
  if (suppressed > 0)
    line += fmt::format(" suppressed={}", suppressed);
  line += '\n';
  source.bytes += line.size();
  source.ring.Push(std::move(line));
}

std::uint64_t EventLog::lost_line_count() const {
  std::uint64_t lost = dropped_lines_;
  for (const auto& source : sources_)
    lost += source->ring.overflow_count();
  return lost;
}

void EventLog::Run() {
  while (!stopping_) {
    if (pending_.empty())
      work_available_.acquire();
    else
      (void)work_available_.try_acquire_for(kBlockedRetryInterval);
    DrainAll();
    WritePending({});
    // Collects the lines of the next interval for one write.
    if (!stopping_)
      std::this_thread::sleep_for(kBatchInterval);
  }
  DrainAll();
  WritePending(kFinalWriteTimeout);
}

void EventLog::DrainAll() {
  for (const auto& source : sources_) {
    source->ring.Drain([this](const std::string& line) {
      if (pending_.size() + line.size() > kMaxPendingBytes)
        ++dropped_lines_;
      else
        pending_ += line;
    });
  }
}

void EventLog::WritePending(std::chrono::milliseconds wait) {
  std::size_t written = 0;
  while (written < pending_.size()) {
    pollfd output = {output_, POLLOUT, 0};
    if (poll(&output, 1, static_cast<int>(wait.count())) <= 0)
      break;
    // A pipe that poll() reports as writable accepts PIPE_BUF bytes without
    // blocking.
    const std::size_t size =
        std::min<std::size_t>(pending_.size() - written, PIPE_BUF);
    const ssize_t result = write(output_, pending_.data() + written, size);
    if (result < 0 && errno == EINTR)
      continue;
    if (result <= 0)
      break;
    written += static_cast<std::size_t>(result);
  }
  pending_.erase(0, written);
}

}  // namespace sesamespread::transport
