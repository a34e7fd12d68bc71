/// \file
/// Guards against a request that ends one server after the other, and against
/// refusals of healthy requests that ran beside it.
#include "sesamespread/coordination/crash_suspects.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

state::Instant At(std::int64_t ms) {
  return state::Instant(std::chrono::hours(1) + milliseconds(ms));
}

constexpr RequestContent kDeadly = 7;

TEST(CrashSuspectsTest, ContentDependsOnEachPart) {
  const RequestContent content = ContentOf("GET", "h", "/a", "b");
  EXPECT_EQ(content, ContentOf("GET", "h", "/a", "b"));
  EXPECT_NE(content, ContentOf("PUT", "h", "/a", "b"));
  EXPECT_NE(content, ContentOf("GET", "i", "/a", "b"));
  EXPECT_NE(content, ContentOf("GET", "h", "/b", "b"));
  EXPECT_NE(content, ContentOf("GET", "h", "/a", "c"));
  EXPECT_NE(ContentOf("GET", "h", "/ab", ""), ContentOf("GET", "h", "/a", "b"));
}

TEST(CrashSuspectsTest, TheSecondEndBlocksAContent) {
  CrashSuspects suspects;
  EXPECT_EQ(suspects.Judge(kDeadly, At(0)), CrashVerdict::kNone);
  const RequestContent first[] = {1, kDeadly, 2};
  EXPECT_TRUE(suspects.OnServerEnd(100, first, At(0)));
  EXPECT_EQ(suspects.Judge(kDeadly, At(1)), CrashVerdict::kSuspect);
  EXPECT_EQ(suspects.BlockedFor(kDeadly, At(1)), seconds(0));
  const RequestContent second[] = {3, kDeadly};
  EXPECT_TRUE(suspects.OnServerEnd(101, second, At(100)));
  EXPECT_EQ(suspects.Judge(kDeadly, At(101)), CrashVerdict::kBlocked);
  EXPECT_EQ(suspects.BlockedFor(kDeadly, At(100)),
            CrashSuspectOptions{}.block_time);
  EXPECT_EQ(suspects.Judge(1, At(101)), CrashVerdict::kSuspect);
}

TEST(CrashSuspectsTest, OneReportOfAnEndCountsOnce) {
  CrashSuspects suspects;
  const RequestContent contents[] = {kDeadly};
  EXPECT_TRUE(suspects.OnServerEnd(100, contents, At(0)));
  EXPECT_FALSE(suspects.OnServerEnd(100, contents, At(1)));
  EXPECT_EQ(suspects.Judge(kDeadly, At(2)), CrashVerdict::kSuspect);
}

// Guards against a deadly request that is let through each time its block ends.
TEST(CrashSuspectsTest, AFurtherEndAfterTheBlockLeadsToALongOne) {
  CrashSuspects suspects;
  const CrashSuspectOptions options;
  const RequestContent contents[] = {kDeadly};
  suspects.OnServerEnd(100, contents, At(0));
  suspects.OnServerEnd(101, contents, At(0));
  const state::Instant retried = At(0) + options.block_time;
  EXPECT_EQ(suspects.Judge(kDeadly, retried), CrashVerdict::kSuspect);
  suspects.OnServerEnd(102, contents, retried);
  EXPECT_EQ(suspects.BlockedFor(kDeadly, retried), options.long_block_time);
}

TEST(CrashSuspectsTest, AnAnswerClearsAContent) {
  CrashSuspects suspects;
  const RequestContent contents[] = {1, 2};
  suspects.OnServerEnd(100, contents, At(0));
  EXPECT_TRUE(suspects.OnAnswered(1, At(50)));
  EXPECT_FALSE(suspects.OnAnswered(1, At(60)));
  EXPECT_EQ(suspects.Judge(1, At(70)), CrashVerdict::kNone);
  suspects.Clear(std::vector<RequestContent>{2});
  EXPECT_TRUE(suspects.empty());
}

// Guards against a route that is refused because all its requests have the same
// content, after servers that ran some of them have ended for another cause.
TEST(CrashSuspectsTest, AContentThatTheServerHasAnsweredIsNotSuspected) {
  CrashSuspects suspects;
  suspects.OnAnswered(1, At(0));
  const RequestContent running[] = {1, kDeadly, kDeadly};
  EXPECT_EQ(suspects.SuspectsOfEnd(running, At(1000)),
            std::vector<RequestContent>{kDeadly});
  EXPECT_EQ(suspects
                .SuspectsOfEnd(running,
                               At(1000) + CrashSuspectOptions{}.harmless_time)
                .size(),
            2U);
}

TEST(CrashSuspectsTest, SuspicionsExpireAndAreBounded) {
  CrashSuspectOptions options;
  options.max_contents = 100;
  CrashSuspects suspects(options);
  for (RequestContent content = 1; content <= 1000; ++content)
    suspects.OnServerEnd(content, std::vector<RequestContent>{content},
                         At(static_cast<std::int64_t>(content)));
  EXPECT_EQ(suspects.size(), 100U);
  EXPECT_EQ(suspects.Judge(1000, At(1000)), CrashVerdict::kSuspect);
  EXPECT_EQ(suspects.Judge(1, At(1000)), CrashVerdict::kNone);
  EXPECT_EQ(suspects.Judge(1000, At(1000) + options.suspicion_time),
            CrashVerdict::kNone);
}

// Guards against a node that restarts and sends what the others block.
TEST(CrashSuspectsTest, ANodeThatStartsReceivesTheSuspicions) {
  CrashSuspects suspects;
  const RequestContent contents[] = {kDeadly};
  suspects.OnServerEnd(100, contents, At(0));
  suspects.OnServerEnd(101, contents, At(0));
  CrashSuspects restarted;
  restarted.Merge(suspects.Snapshot(At(1000)), At(9'000'000));
  EXPECT_EQ(restarted.Judge(kDeadly, At(9'000'001)), CrashVerdict::kBlocked);
  EXPECT_EQ(restarted.BlockedFor(kDeadly, At(9'000'000)),
            CrashSuspectOptions{}.block_time - seconds(1));
  const CrashSuspicion odd[] = {{1, 0, seconds(0)}, {2, 2, seconds(40)}};
  restarted.Merge(odd, At(9'000'001));
  EXPECT_EQ(restarted.size(), 1U);
}

TEST(ServerOfSuspectTest, NodesAgreeAndTheLoadIsSpread) {
  const std::vector<std::uint64_t> servers = {11, 12, 13, 14};
  std::vector<std::uint64_t> other_order = {14, 11, 13, 12};
  std::map<std::uint64_t, int> counts;
  for (RequestContent content = 0; content < 1000; ++content) {
    const std::uint64_t server = ServerOfSuspect(content, servers);
    EXPECT_EQ(server, ServerOfSuspect(content, other_order));
    ++counts[server];
  }
  for (const std::uint64_t server : servers)
    EXPECT_GT(counts[server], 150);
}

// The deadly day in virtual time: four servers, each runs several of 90
// requests a second, 10 of them deadly, from clients that repeat a failed
// request once. Reports take 3 ms to the other nodes. Callers get all healthy
// requests but those that ran beside a deadly one, and three servers end at
// most.
TEST(CrashSuspectsTest, ADeadlyRequestEndsFewServers) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    CrashSuspects suspects;
    struct Run {
      RequestContent content;
      std::int64_t end_ms;
      bool is_suspect;
    };
    std::vector<std::vector<Run>> servers(4);
    std::vector<std::int64_t> down_until(4, 0);
    // Ends that are not known yet, with the time of their arrival.
    std::vector<std::pair<std::int64_t, std::vector<RequestContent>>> reports;
    struct Arrival {
      std::int64_t at_ms;
      RequestContent content;
      bool is_repeat;
    };
    std::vector<Arrival> waiting;
    RequestContent next = 1000;
    int ends = 0;
    int lost = 0;
    int healthy = 0;
    for (std::int64_t ms = 0; ms < 20'000; ++ms) {
      if (ms % 11 == 0) {
        waiting.push_back({ms, ++next, false});
        ++healthy;
      }
      if (ms % 100 == 50)
        waiting.push_back({ms, kDeadly, false});
      std::erase_if(reports, [&](const auto& report) {
        if (report.first > ms)
          return false;
        suspects.OnServerEnd(++next, report.second, At(ms));
        return true;
      });
      for (std::size_t i = 0; i < servers.size(); ++i) {
        bool has_ended = false;
        std::erase_if(servers[i], [&](const Run& run) {
          if (run.end_ms > ms)
            return false;
          has_ended |= run.content == kDeadly;
          if (run.content != kDeadly)
            suspects.OnAnswered(run.content, At(ms));
          return run.content != kDeadly;
        });
        if (!has_ended)
          continue;
        ++ends;
        std::vector<RequestContent> running;
        for (const Run& run : servers[i]) {
          running.push_back(run.content);
          waiting.push_back({ms + 10, run.content, true});
        }
        servers[i].clear();
        down_until[i] = ms + 3000;
        reports.emplace_back(ms + 3, suspects.SuspectsOfEnd(running, At(ms)));
      }
      std::vector<Arrival> later;
      for (const Arrival& arrival : waiting) {
        if (arrival.at_ms > ms) {
          later.push_back(arrival);
          continue;
        }
        std::vector<std::uint64_t> up;
        for (std::size_t i = 0; i < servers.size(); ++i) {
          if (down_until[i] <= ms)
            up.push_back(i);
        }
        const CrashVerdict verdict = suspects.Judge(arrival.content, At(ms));
        if (up.empty() || verdict == CrashVerdict::kBlocked) {
          lost += arrival.content != kDeadly ? 1 : 0;
          continue;
        }
        const bool is_suspect =
            arrival.is_repeat || verdict == CrashVerdict::kSuspect;
        const std::size_t server = is_suspect
                                       ? ServerOfSuspect(arrival.content, up)
                                       : up[random() % up.size()];
        auto& runs = servers[server];
        const bool is_trial_running =
            std::any_of(runs.begin(), runs.end(),
                        [](const Run& run) { return run.is_suspect; });
        if (is_suspect && is_trial_running)
          later.push_back(arrival);
        else
          runs.push_back({arrival.content, ms + 60, is_suspect});
      }
      waiting = std::move(later);
    }
    EXPECT_LE(ends, 3) << "seed " << seed;
    EXPECT_LE(lost, healthy / 100) << "seed " << seed;
  }
}

}  // namespace
}  // namespace sesamespread::coordination
