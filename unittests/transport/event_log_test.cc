/// \file
/// Guards against a log whose reader stops reading and so delays requests or
/// the end of the process.
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

  // Everything until `last` was read.
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

TEST(EventLogTest, LinesGoToTheOutput) {
  const Pipe pipe;
  EventLog log(LogLevel::kInfo, "a", pipe.writer());
  log.Write(ThreadRole::kData, LogLevel::kDebug, "hidden", {});
  log.Write(ThreadRole::kData, LogLevel::kInfo, "shown", {{"id", "7 8"}});
  const std::string text = pipe.ReadUntil("shown");
  EXPECT_NE(text.find("event=shown id=\"7 8\""), std::string::npos) << text;
  EXPECT_EQ(text.find("hidden"), std::string::npos) << text;
}

TEST(EventLogTest, LevelChangesWhileRunning) {
  const Pipe pipe;
  EventLog log(LogLevel::kError, "a", pipe.writer());
  EXPECT_FALSE(log.ShouldLog(ThreadRole::kData, LogLevel::kInfo, "one"));
  log.SetLevel(LogLevel::kInfo);
  EXPECT_TRUE(log.ShouldLog(ThreadRole::kData, LogLevel::kInfo, "one"));
}

// Guards against a flood of successes that leaves no room for failures, and
// against a node that writes without bound.
TEST(EventLogTest, BytesAreBoundedAndFailuresGoFirst) {
  constexpr std::size_t kLine = 10'000;
  static const auto kEvents = EventNames<40>();
  const Pipe pipe;
  EventLog log(LogLevel::kDebug, "a", pipe.writer());
  const auto admitted = [&](LogLevel level) {
    std::size_t lines = 0;
    for (const std::string& event : kEvents) {
      if (!log.ShouldLog(ThreadRole::kData, level, event))
        continue;
      log.Write(ThreadRole::kData, level, event,
                {{"text", std::string(kLine, 'y')}});
      ++lines;
    }
    return lines;
  };
  // All in one second, so that the bounds count once.
  const auto into_second =
      steady_clock::now().time_since_epoch() % std::chrono::seconds(1);
  if (into_second > milliseconds(500))
    std::this_thread::sleep_for(std::chrono::seconds(1) - into_second);
  const std::size_t successes = admitted(LogLevel::kDebug);
  const std::size_t failures = admitted(LogLevel::kInfo);
  EXPECT_EQ(admitted(LogLevel::kError), 0U);
  EXPECT_GE(successes * kLine, EventLog::kMaxDebugBytesPerSecond - kLine);
  EXPECT_LE(successes * kLine, EventLog::kMaxDebugBytesPerSecond + kLine);
  EXPECT_GE(failures, 5U);
  EXPECT_LE((successes + failures) * kLine,
            EventLog::kMaxBytesPerSecond + kLine);
  // What was left out is counted by event and told with its next line.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  log.Write(ThreadRole::kData, LogLevel::kInfo, kEvents.back(), {});
  const std::string text = pipe.ReadUntil("suppressed=");
  EXPECT_NE(text.find("event=event_39 suppressed=3"), std::string::npos);
}

TEST(EventLogTest, ABlockedReaderCostsLinesAndNoTime) {
  constexpr std::size_t kLines = 20'000;
  // The stated bound: the log's last write waits at most 100 ms, plus one
  // batch of 100 ms; the rest is for a loaded machine.
  constexpr milliseconds kMostTime{2000};
  static const auto kEvents = EventNames<20>();
  const Pipe pipe;
  pipe.Fill();
  const auto start = steady_clock::now();
  {
    EventLog log(LogLevel::kInfo, "a", pipe.writer());
    // One duty alone stays below what waits for a reader.
    for (const ThreadRole duty : {ThreadRole::kData, ThreadRole::kControl,
                                  ThreadRole::kPlatform, ThreadRole::kMain}) {
      for (std::size_t i = 0; i < kLines; ++i)
        log.Write(duty, LogLevel::kInfo, kEvents[i % kEvents.size()],
                  {{"text", std::string(1000, 'y')}});
    }
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_GT(log.lost_count(), 0U);
  }
  EXPECT_LT(steady_clock::now() - start, kMostTime);
}

}  // namespace
}  // namespace sesamespread::transport
