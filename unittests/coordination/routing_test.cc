/// \file
/// Guards against calls to servers that cannot accept them, against ejecting
/// the last usable servers, and against too many connections to one server.
#include "sesamespread/coordination/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

namespace sesamespread::coordination {
namespace {

using state::BackendState;
using state::Instant;
using state::Liveness;
using state::NodeId;
using state::NodeRecord;
using state::ResultCode;
using std::chrono::milliseconds;

constexpr SubsetParameters kAllServers{1100, 16};
const LoadHint kNoHint{0, 0, 0, BackendState::kServing};

Instant At(std::int64_t ms) {
  return Instant(std::chrono::hours(1) + milliseconds(ms));
}

NodeRecord MakeServer(NodeId node,
                      const std::string& zone,
                      BackendState backend_state = BackendState::kServing,
                      Liveness liveness = Liveness::kAlive) {
  NodeRecord record;
  record.node = node;
  record.incarnation = node + 1000;
  record.sequence = 1;
  record.zone = zone;
  record.service = "orders";
  record.backend_state = backend_state;
  record.liveness = liveness;
  return record;
}

class RoutingTest : public ::testing::Test {
 protected:
  void SetServers(const std::vector<NodeRecord>& servers, std::int64_t ms = 0) {
    router_.SetServers("orders", servers, kAllServers, At(ms));
  }

  std::optional<NodeId> Choose(std::int64_t ms,
                               std::vector<NodeId> exclude = {}) {
    const auto choice = router_.Choose("orders", At(ms), rng_, exclude);
    if (!choice)
      return std::nullopt;
    return choice->node;
  }

  void Answer(NodeId node,
              std::int64_t ms,
              milliseconds latency = milliseconds(10),
              ResultCode result = ResultCode::kOk) {
    router_.OnSent(node, At(ms));
    router_.OnAnswered(node, result, latency, kNoHint, At(ms));
  }

  void Fail(NodeId node, std::int64_t ms, ResultCode result) {
    router_.OnSent(node, At(ms));
    router_.OnFailed(node, result, At(ms));
  }

  /// Number of times that each server is selected for 1000 calls that end
  /// immediately.
  std::map<NodeId, int> Shares(std::int64_t ms) {
    std::map<NodeId, int> shares;
    for (int i = 0; i < 1000; ++i)
      ++shares[*Choose(ms)];
    return shares;
  }

  std::size_t CountEjected(std::int64_t ms) {
    const auto views = router_.View("orders", At(ms));
    return static_cast<std::size_t>(
        std::count_if(views.begin(), views.end(),
                      [](const ServerView& view) { return view.ejected; }));
  }

  std::mt19937_64 rng_{7};
  Router router_{1, "a"};
};

// Guards against calls that cross zones without need, and against a full local
// zone that refuses while others have capacity.
TEST_F(RoutingTest, PrefersTheLocalZoneWhileItHasCapacity) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "b"), MakeServer(12, "c")});
  for (const NodeId node : {10, 11, 12})
    Answer(node, 0);
  EXPECT_EQ(Shares(1)[10], 1000);
  for (int i = 0; i < 20; ++i)
    Answer(10, 2, milliseconds(1), ResultCode::kQueueFull);
  EXPECT_LT(Shares(3)[10], 100);
  // The refusal rate decays, so that the zone is used again.
  EXPECT_EQ(Shares(30'000)[10], 1000);
}

// Guards against a spill to another region while the local one has capacity.
TEST_F(RoutingTest, PrefersServersOfTheSameRegion) {
  router_.SetZones({{"a", "north"}, {"b", "north"}, {"c", "south"}});
  SetServers({MakeServer(11, "b"), MakeServer(12, "c")});
  EXPECT_EQ(Shares(1)[11], 1000);
}

// Guards against a slow server that keeps its share of calls.
TEST_F(RoutingTest, AvoidsTheSlowerOfTwoServers) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a"), MakeServer(12, "a")});
  Answer(10, 0, milliseconds(30));
  Answer(11, 0);
  Answer(12, 0);
  EXPECT_LT(Shares(1)[10], 50);
}

// Guards against a server that fails a part of its calls immediately and,
// having fewer calls in flight, looks idle and attracts more. Simulates 100
// calls a second that take 80 ms; one server fails half of its calls.
class FailingServerTest : public RoutingTest,
                          public ::testing::WithParamInterface<ResultCode> {};

INSTANTIATE_TEST_SUITE_P(,
                         FailingServerTest,
                         ::testing::Values(ResultCode::kTruncatedAnswer,
                                           ResultCode::kBadBackendAnswer,
                                           ResultCode::kAnswerTooLarge));

TEST_P(FailingServerTest, ServerThatFailsImmediatelyAttractsNoCalls) {
  constexpr NodeId kFailing = 10;
  SetServers(
      {MakeServer(kFailing, "a"), MakeServer(11, "a"), MakeServer(12, "a")});
  std::multimap<std::int64_t, NodeId> running;
  int failed = 0;
  constexpr int kCalls = 1000;
  for (int call = 0; call < kCalls; ++call) {
    const std::int64_t now = call * 10;
    while (!running.empty() && running.begin()->first <= now) {
      router_.OnAnswered(running.begin()->second, ResultCode::kOk,
                         milliseconds(80), kNoHint, At(now));
      running.erase(running.begin());
    }
    const NodeId node = *Choose(now);
    router_.OnSent(node, At(now));
    if (node == kFailing && call % 2 == 0) {
      ++failed;
      router_.OnAnswered(node, GetParam(), milliseconds(1), kNoHint, At(now));
    } else {
      running.emplace(now + 80, node);
    }
  }
  // With an equal share of the calls, a sixth would fail.
  EXPECT_LT(failed, kCalls / 50);
}

// Guards against a server that is excluded by a wrong load report: a report may
// move calls but never exclude the server.
TEST_F(RoutingTest, ReportedLoadIsOnlyAHint) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "b")});
  for (const NodeId node : {10, 11})
    Answer(node, 0);
  router_.OnSent(10, At(1));
  router_.OnAnswered(10, ResultCode::kOk, milliseconds(10),
                     {1000, 10, 0, BackendState::kServing}, At(1));
  EXPECT_EQ(Shares(2)[10], 1000);
  EXPECT_EQ(Choose(2, {11}), 10);
}

// Guards against new calls to a server that leaves, whether its record or its
// answer reports this first.
LoadHint WorkTime(milliseconds work_time,
                  std::uint32_t percent,
                  std::uint32_t in_progress = 4) {
  LoadHint hint{in_progress, 16, 0, BackendState::kServing};
  hint.work_time = work_time;
  hint.work_factor_percent = percent;
  return hint;
}

// A server that was slow for a moment was avoided for seconds.
TEST_F(RoutingTest, SlowMomentCountsAtOnceAndIsForgotten) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a"), MakeServer(12, "a")});
  for (const NodeId node : {10, 11, 12})
    router_.OnLoadReport(node, WorkTime(milliseconds(90), 100), At(0));
  router_.OnLoadReport(10, WorkTime(milliseconds(90), 250), At(100));
  EXPECT_EQ(Shares(101)[10], 0);
  for (const NodeId node : {11, 12})
    router_.OnLoadReport(node, WorkTime(milliseconds(90), 100, 8), At(1200));
  EXPECT_GT(Shares(1201)[10], 300);
}

// All calls went to the server whose report was the best, until the next one.
TEST_F(RoutingTest, OwnCallsSinceTheReportCount) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a"), MakeServer(12, "a")});
  for (const NodeId node : {10, 11, 12}) {
    router_.OnLoadReport(
        node, WorkTime(milliseconds(90), 100, node == 10 ? 0 : 6), At(0));
  }
  std::map<NodeId, int> calls;
  for (int i = 0; i < 30; ++i) {
    const NodeId node = *Choose(1);
    ++calls[node];
    router_.OnSent(node, At(1));
  }
  EXPECT_GT(calls[10], 8);
  EXPECT_GT(calls[11], 4);
  EXPECT_GT(calls[12], 4);
}

// A server whose reported work time was once very long was never asked again.
TEST_F(RoutingTest, OldWorkTimeIsForgotten) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a")});
  router_.OnLoadReport(10, WorkTime(milliseconds(900), 100), At(0));
  router_.OnLoadReport(11, WorkTime(milliseconds(90), 100), At(0));
  EXPECT_EQ(Shares(1)[10], 0);
  router_.OnLoadReport(11, WorkTime(milliseconds(90), 100, 10), At(60'000));
  EXPECT_GT(Shares(60'001)[10], 0);
}

// An answer made by this node itself erased the last report of the server.
TEST_F(RoutingTest, AnswerWithoutLoadKeepsTheLastReport) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a")});
  router_.OnLoadReport(10, WorkTime(milliseconds(300), 100), At(0));
  router_.OnLoadReport(11, WorkTime(milliseconds(90), 100), At(0));
  Answer(10, 1, milliseconds(10), ResultCode::kNodeBusy);
  EXPECT_EQ(Shares(2)[10], 0);
}

// Refusals by full servers moved calls to other zones although the expected
// completion there was no better.
TEST_F(RoutingTest, SpillsByExpectedCompletion) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "b")});
  router_.OnLoadReport(11, WorkTime(milliseconds(90), 100, 15), At(0));
  for (int i = 0; i < 20; ++i) {
    router_.OnSent(10, At(0));
    router_.OnAnswered(10, ResultCode::kQueueFull, milliseconds(1),
                       WorkTime(milliseconds(90), 100, 16), At(0));
  }
  EXPECT_EQ(Shares(1)[10], 1000);
  router_.OnLoadReport(10, WorkTime(milliseconds(360), 100, 16), At(1));
  EXPECT_LT(Shares(2)[10], 100);
}

TEST_F(RoutingTest, NeverChoosesALeavingServer) {
  SetServers({MakeServer(10, "a", BackendState::kLeaving)});
  EXPECT_EQ(Choose(1), std::nullopt);
  std::vector<NodeRecord> servers{MakeServer(10, "a"), MakeServer(11, "a")};
  servers[0].sequence = 2;
  SetServers(servers, 2);
  Answer(10, 3, milliseconds(1), ResultCode::kLeaving);
  EXPECT_EQ(Choose(4, {11}), std::nullopt);
  // A record from before that answer does not make it usable again, a later one
  // does.
  SetServers(servers, 5);
  EXPECT_EQ(Choose(6, {11}), std::nullopt);
  servers[0].sequence = 3;
  SetServers(servers, 7);
  EXPECT_EQ(Choose(8, {11}), 10);
}

// Guards against a full load on a server with cold caches.
TEST_F(RoutingTest, ColdStartWeightGrows) {
  SetServers({MakeServer(10, "a", BackendState::kStarting)});
  EXPECT_NEAR(router_.View("orders", At(0))[0].weight, 0.1, 0.01);
  EXPECT_NEAR(router_.View("orders", At(5000))[0].weight, 0.55, 0.01);
  EXPECT_NEAR(router_.View("orders", At(20'000))[0].weight, 1, 0.01);
  SetServers({MakeServer(10, "a")}, 1000);
  EXPECT_NEAR(router_.View("orders", At(1000))[0].weight, 1, 0.01);
}

// Guards against a server that fails every call and still gets calls.
TEST_F(RoutingTest, EjectsAFailingServerForGrowingTimes) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a"), MakeServer(12, "a")});
  for (std::int64_t i = 0; i < 5; ++i)
    Fail(10, 100 * i, ResultCode::kTimedOut);
  EXPECT_EQ(Shares(500).count(10), 0u);
  EXPECT_EQ(CountEjected(5300), 1u);
  EXPECT_EQ(CountEjected(5500), 0u);
  Fail(10, 5600, ResultCode::kTimedOut);
  EXPECT_EQ(CountEjected(15'500), 1u);
  EXPECT_EQ(CountEjected(15'700), 0u);
}

// Guards against ejecting a server for one lost link that failed many calls.
TEST_F(RoutingTest, SimultaneousFailuresCountOnce) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a")});
  for (int i = 0; i < 50; ++i)
    Fail(10, 1, ResultCode::kLinkLost);
  EXPECT_EQ(CountEjected(2), 0u);
}

TEST_F(RoutingTest, EjectsASlowServerUnlessAllAreSlow) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a"), MakeServer(12, "a")});
  for (int i = 0; i < 30; ++i) {
    for (const NodeId node : {10, 11, 12})
      Answer(node, i, milliseconds(500));
  }
  EXPECT_EQ(CountEjected(31), 0u);
  for (int i = 0; i < 80; ++i) {
    Answer(10, 100 + 10 * i, milliseconds(500));
    Answer(11, 100 + 10 * i, milliseconds(10));
    Answer(12, 100 + 10 * i, milliseconds(10));
  }
  EXPECT_EQ(CountEjected(900), 1u);
}

// Guards against ejecting a healthy server for a burst in its queue, which
// costs a quarter of the capacity with four servers at 80% load.
TEST_F(RoutingTest, EjectsNoServerForABurst) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a"), MakeServer(12, "a"),
              MakeServer(13, "a")});
  for (std::int64_t ms = 0; ms < 10'000; ++ms) {
    const bool burst = ms % 1000 < 400;
    Answer(10, ms, milliseconds(burst ? 500 : 10));
    for (const NodeId node : {11, 12, 13})
      Answer(node, ms);
    ASSERT_EQ(CountEjected(ms), 0u);
  }
}

// Guards against an ejection of all servers when the service itself fails.
TEST_F(RoutingTest, EjectsNoServerWhenAllFail) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "a"), MakeServer(12, "a"),
              MakeServer(13, "a")});
  for (std::int64_t i = 0; i < 20; ++i) {
    for (const NodeId node : {10, 11, 12, 13})
      Fail(node, 50 * i, ResultCode::kTimedOut);
  }
  EXPECT_EQ(CountEjected(1000), 0u);
}

// Guards against a server that answers but is not used because membership
// reports it as dead.
TEST_F(RoutingTest, DeadServerThatAnswersStaysInUse) {
  SetServers({MakeServer(10, "a", BackendState::kServing, Liveness::kDead),
              MakeServer(11, "b")});
  EXPECT_EQ(Choose(1), 11);
  EXPECT_EQ(Choose(1, {11}), 10);
  Answer(10, 2);
  EXPECT_EQ(Choose(3), 10);
  EXPECT_EQ(Choose(6000), 11);
}

// Guards against many calls to a server whose connects fail, and against a
// server that is never tried again.
TEST_F(RoutingTest, ProbesAnUnreachableServerWithOneCall) {
  SetServers({MakeServer(10, "a"), MakeServer(11, "b")});
  Fail(10, 0, ResultCode::kConnectFailed);
  EXPECT_EQ(Choose(50), 11);
  EXPECT_EQ(Choose(150), 10);
  EXPECT_EQ(Choose(151), 11);
  Fail(10, 152, ResultCode::kConnectFailed);
  EXPECT_EQ(Choose(300), 11);
  EXPECT_EQ(Choose(400), 10);
  Answer(10, 401);
  EXPECT_EQ(Choose(402), 10);
}

// Guards against measurements that are applied to a later incarnation.
TEST_F(RoutingTest, NewIncarnationResetsMeasurements) {
  std::vector<NodeRecord> servers{MakeServer(10, "a"), MakeServer(11, "a")};
  SetServers(servers);
  for (std::int64_t i = 0; i < 5; ++i)
    Fail(10, 100 * i, ResultCode::kTimedOut);
  ASSERT_EQ(CountEjected(500), 1u);
  servers[0].incarnation = 5;
  SetServers(servers, 501);
  EXPECT_EQ(CountEjected(501), 0u);
}

// Guards against more connections than a server accepts, and against a zone
// that gets more of them than the others: 20,000 nodes, 200 connections.
TEST(SubsetTest, ConnectionLimitHoldsAndZonesAreBalanced) {
  constexpr std::uint32_t kServers = 600;
  constexpr std::uint32_t kNodes = 20'000;
  std::vector<NodeRecord> servers;
  for (std::uint32_t i = 0; i < kServers; ++i) {
    // Zones of 60, 120 and 420 servers.
    const std::string zone = i < 60 ? "a" : i < 180 ? "b" : "c";
    servers.push_back(MakeServer(state::HashOf(3, i), zone));
  }
  const std::uint32_t size = SubsetSize(200, kNodes, kServers);
  EXPECT_GE(size, 4u);
  std::vector<std::uint32_t> connections(kServers);
  std::map<std::string, double> per_zone;
  for (std::uint32_t node = 0; node < kNodes; ++node) {
    const auto subset =
        SubsetOf(state::HashOf(5, node), "prices", servers, size);
    EXPECT_EQ(subset.size(), size);
    for (const std::size_t index : subset) {
      ++connections[index];
      ++per_zone[servers[index].zone];
    }
  }
  EXPECT_LE(*std::max_element(connections.begin(), connections.end()), 200u);
  const double mean = static_cast<double>(kNodes) * size / kServers;
  EXPECT_NEAR(per_zone["a"] / 60, mean, 0.05 * mean);
  EXPECT_NEAR(per_zone["b"] / 120, mean, 0.05 * mean);
  EXPECT_NEAR(per_zone["c"] / 420, mean, 0.05 * mean);
}

TEST(SubsetTest, SmallServicesUseAllServers) {
  EXPECT_EQ(SubsetSize(200, 16, 4), 4u);
  EXPECT_EQ(SubsetSize(200, 200, 4), 4u);
  EXPECT_EQ(SubsetSize(200, 32'000, 4), 1u);
  EXPECT_EQ(SubsetSize(200, 32'000, 0), 0u);
}

// Guards against a mass reconnection when one server is added or removed.
TEST(SubsetTest, ChangeOfOneServerMovesFewLinks) {
  const std::vector<std::string> zones{"a", "b", "c", "d"};
  std::vector<NodeRecord> servers;
  for (std::uint32_t i = 0; i < 200; ++i)
    servers.push_back(MakeServer(state::HashOf(3, i), zones[i % 4]));
  std::vector<NodeRecord> fewer = servers;
  fewer.pop_back();
  std::size_t moved = 0;
  for (NodeId node = 0; node < 2000; ++node) {
    const auto before = SubsetOf(node, "orders", servers, 20);
    for (const std::size_t index : SubsetOf(node, "orders", fewer, 20))
      moved += std::count(before.begin(), before.end(), index) == 0 ? 1 : 0;
  }
  // 10% of the nodes lose a link; the rounding of the zones' shares may move
  // more.
  EXPECT_LT(moved, 2000u * 20 / 40);
}

// Guards against sequences of events after which no server, a leaving one or an
// excluded one is selected, or more than half of the servers are ejected.
TEST(RouterPropertyTest, AlwaysChoosesAServerThatMayTakeCalls) {
  const bool holds = rc::check([] {
    Router router(1, "a");
    std::mt19937_64 rng(*rc::gen::arbitrary<std::uint64_t>());
    const auto count = *rc::gen::inRange<std::size_t>(1, 7);
    std::vector<NodeRecord> servers;
    for (NodeId node = 1; node <= count; ++node) {
      servers.push_back(MakeServer(
          node, *rc::gen::element<std::string>("a", "b"),
          *rc::gen::element(BackendState::kServing, BackendState::kStarting,
                            BackendState::kLeaving, BackendState::kAbsent),
          *rc::gen::element(Liveness::kAlive, Liveness::kSuspect,
                            Liveness::kDead)));
    }
    router.SetServers("orders", servers, kAllServers, At(0));
    const auto accepts_calls = [&](NodeId node) {
      const BackendState backend_state = servers[node - 1].backend_state;
      return backend_state == BackendState::kServing ||
             backend_state == BackendState::kStarting;
    };
    std::size_t usable = 0;
    for (NodeId node = 1; node <= count; ++node)
      usable += accepts_calls(node) ? 1 : 0;
    std::int64_t now = 0;
    const auto steps = *rc::gen::inRange(1, 400);
    for (int step = 0; step < steps; ++step) {
      now += static_cast<std::int64_t>(rng() % 300);
      std::vector<NodeId> exclude;
      if (rng() % 4 == 0)
        exclude.push_back(rng() % count + 1);
      const auto choice = router.Choose("orders", At(now), rng, exclude);
      std::size_t left = usable;
      if (!exclude.empty() && accepts_calls(exclude[0]))
        --left;
      RC_ASSERT(choice.has_value() == (left > 0));
      if (!choice)
        continue;
      RC_ASSERT(accepts_calls(choice->node));
      RC_ASSERT(std::count(exclude.begin(), exclude.end(), choice->node) == 0);
      router.OnSent(choice->node, At(now));
      switch (rng() % 6) {
        case 0:
          router.OnFailed(choice->node, ResultCode::kConnectFailed, At(now));
          break;
        case 1:
        case 2:
          router.OnFailed(choice->node, ResultCode::kTimedOut, At(now));
          break;
        case 3:
          router.OnAnswered(choice->node, ResultCode::kQueueFull,
                            milliseconds(1), kNoHint, At(now));
          break;
        case 4:
          router.OnCancelled(choice->node);
          break;
        default:
          router.OnAnswered(choice->node, ResultCode::kOk,
                            milliseconds(rng() % 900), kNoHint, At(now));
      }
      std::size_t ejected = 0;
      for (const ServerView& view : router.View("orders", At(now)))
        ejected += view.ejected ? 1 : 0;
      RC_ASSERT(ejected * 2 <= usable);
    }
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace sesamespread::coordination
