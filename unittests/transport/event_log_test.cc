/// \file
/// Guards against a log that delays requests or the end of the process when the
/// reader of its output stops reading.
#include "sesamespread/transport/event_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace sesamespread::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class Pipe {
 public:
  Pipe() { EXPECT_EQ(pipe2(ends_.data(), O_CLOEXEC), 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writer() const { return ends_[1]; }

  void Fill() const {
    const int flags = fcntl(ends_[1], F_GETFL);
    fcntl(ends_[1], F_SETFL, flags | O_NONBLOCK);
    const std::string block(4096, 'x');
    while (write(ends_[1], block.data(), block.size()) > 0) {
    }
    fcntl(ends_[1], F_SETFL, flags);
  }

  // Reads until the text contains `last`, and returns everything read.
  std::string ReadUntil(std::string_view last) const {
    std::string text;
    std::array<char, 4096> buffer{};
    while (text.find(last) == std::string::npos) {
      const ssize_t size = read(ends_[0], buffer.data(), buffer.size());
      if (size <= 0)
        break;
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

template <std::size_t kCount>
std::array<std::string, kCount> EventNames() {
  std::array<std::string, kCount> names;
  for (std::size_t i = 0; i < names.size(); ++i)
    names[i] = "event_" + std::to_string(i);
  return names;
}

TEST(EventLogTest, WritesLinesToTheOutput) {
  const Pipe pipe;
  EventLog log(LogLevel::kInfo, "a", pipe.writer());
  log.Write(ThreadRole::kData, LogLevel::kDebug, "hidden", {});
  log.Write(ThreadRole::kData, LogLevel::kInfo, "shown", {{"id", "7 8"}});
  const std::string text = pipe.ReadUntil("shown");
  EXPECT_NE(text.find("event=shown id=\"7 8\""), std::string::npos) << text;
  EXPECT_EQ(text.find("hidden"), std::string::npos) << text;
}

TEST(EventLogTest, AppliesLevelChangesWhileRunning) {
  const Pipe pipe;
  EventLog log(LogLevel::kError, "a", pipe.writer());
  EXPECT_FALSE(log.ShouldLog(ThreadRole::kData, LogLevel::kInfo, "one"));
  log.SetLevel(LogLevel::kInfo);
  EXPECT_TRUE(log.ShouldLog(ThreadRole::kData, LogLevel::kInfo, "one"));
}

// Guards against a flood of successes that leaves no room for failures, and
// against log output without a limit.
TEST(EventLogTest, LimitsBytesPerSecondAndReservesRoomForFailures) {
  constexpr std::size_t kLineBytes = 10'000;
  static const auto kEvents = EventNames<40>();
  const Pipe pipe;
  EventLog log(LogLevel::kDebug, "a", pipe.writer());
  // Writes each event once and returns how many lines were admitted.
  const auto lines_admitted = [&](LogLevel level) {
    std::size_t lines = 0;
    for (const std::string& event : kEvents) {
      if (!log.ShouldLog(ThreadRole::kData, level, event))
        continue;
      log.Write(ThreadRole::kData, level, event,
                {{"text", std::string(kLineBytes, 'y')}});
      ++lines;
    }
    return lines;
  };
  // Everything is written within one second, so that the limits apply once.
  const auto into_second =
      steady_clock::now().time_since_epoch() % std::chrono::seconds(1);
  if (into_second > milliseconds(500))
    std::this_thread::sleep_for(std::chrono::seconds(1) - into_second);
  const std::size_t successes = lines_admitted(LogLevel::kDebug);
  const std::size_t failures = lines_admitted(LogLevel::kInfo);
  EXPECT_EQ(lines_admitted(LogLevel::kError), 0U);
  EXPECT_GE(successes * kLineBytes,
            EventLog::kMaxDebugBytesPerSecond - kLineBytes);
  EXPECT_LE(successes * kLineBytes,
            EventLog::kMaxDebugBytesPerSecond + kLineBytes);
  EXPECT_GE(failures, 5U);
  EXPECT_LE((successes + failures) * kLineBytes,
            EventLog::kMaxBytesPerSecond + kLineBytes);
  // Suppressed lines are counted per event and reported in its next line.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  log.Write(ThreadRole::kData, LogLevel::kInfo, kEvents.back(), {});
  const std::string text = pipe.ReadUntil("suppressed=");
  EXPECT_NE(text.find("event=event_39 suppressed=3"), std::string::npos);
}

TEST(EventLogTest, BlockedReaderLosesLinesWithoutDelayingWriters) {
  constexpr std::size_t kLines = 20'000;
  // The final write waits at most 100 ms and the batch before it takes 100 ms;
  // the rest is for a loaded machine.
  constexpr milliseconds kMaxElapsed{2000};
  static const auto kEvents = EventNames<20>();
  const Pipe pipe;
  pipe.Fill();
  const auto start = steady_clock::now();
  {
    EventLog log(LogLevel::kInfo, "a", pipe.writer());
    // All threads write, since the rate of one thread stays below the number of
    // bytes that may wait for the reader.
    for (const ThreadRole role : {ThreadRole::kData, ThreadRole::kControl,
                                  ThreadRole::kPlatform, ThreadRole::kMain}) {
      for (std::size_t i = 0; i < kLines; ++i)
        log.Write(role, LogLevel::kInfo, kEvents[i % kEvents.size()],
                  {{"text", std::string(1000, 'y')}});
    }
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_GT(log.lost_line_count(), 0U);
  }
  EXPECT_LT(steady_clock::now() - start, kMaxElapsed);
}

}  // namespace
}  // namespace sesamespread::transport
