/// \file
/// Guards against live nodes declared dead, updates that do not arrive in time,
/// and gossip above its byte budget.
#include "sesamespread/coordination/membership.h"

#include <gtest/gtest.h>

#include "fake_network.h"

namespace sesamespread::coordination {
namespace {

using state::BackendState;
using state::Liveness;
using state::NodeRecord;
using Kind = MembershipEvent::Kind;

constexpr std::uint64_t kMaxBytesPerSecond = 19'000;
constexpr auto kTimedOut = -std::chrono::seconds(1);

bool HasEvent(const FakeNetwork::Host& host, Kind kind) {
  return std::any_of(
      host.events.begin(), host.events.end(),
      [kind](const MembershipEvent& event) { return event.kind == kind; });
}

bool AllLive(FakeNetwork& network) {
  return network.All([&](Membership& membership) {
    for (const FakeNetwork::Host& host : network.hosts) {
      if (host.up && !membership.IsLive(host.membership->own().node))
        return false;
    }
    return true;
  });
}

// Guards against a change that is lost or delayed by the loss of datagrams.
TEST(MembershipTest, AChangeReachesAllNodesWithinSeconds) {
  FakeNetwork network(200, 4);
  network.loss = 0.02;
  network.Run(std::chrono::seconds(3));
  network[7].SetBackend("orders", BackendState::kServing, network.now);
  const auto time = network.RunUntil(std::chrono::seconds(10), [&] {
    return network.All([](Membership& membership) {
      return membership.ServersOf("orders").size() == 1;
    });
  });
  EXPECT_NE(time, kTimedOut);
}

// Guards against calls to a leaving backend server more than 3 s after its
// leave.
TEST(MembershipTest, ALeaveReachesAllNodesInLessThanThreeSeconds) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    FakeNetwork network(200, 4, true, seed);
    network.loss = 0.05;
    network[7].SetBackend("orders", BackendState::kServing, network.now);
    network.Run(std::chrono::seconds(10));
    network[7].SetBackend("orders", BackendState::kLeaving, network.now);
    const auto time = network.RunUntil(std::chrono::seconds(3), [&] {
      return network.All([&](Membership& membership) {
        return membership.Find(network[7].own().node)->backend_state ==
               BackendState::kLeaving;
      });
    });
    EXPECT_NE(time, kTimedOut) << "seed " << seed;
  }
}

// Guards against a crashed host that stays live, and against other hosts that
// are declared dead with it.
TEST(MembershipTest, OnlyTheCrashedHostIsDeclaredDead) {
  FakeNetwork network(64, 4);
  network.loss = 0.02;
  network.Run(std::chrono::seconds(3));
  network.hosts[9].up = false;
  const state::NodeId crashed = network[9].own().node;
  const auto time = network.RunUntil(std::chrono::seconds(30), [&] {
    return network.All(
        [&](Membership& membership) { return !membership.IsLive(crashed); });
  });
  EXPECT_NE(time, kTimedOut);
  EXPECT_TRUE(AllLive(network));
}

// Guards against suspicion of a node that stops by a graceful shutdown.
TEST(MembershipTest, AnAnnouncedDepartureCausesNoSuspicion) {
  FakeNetwork network(64, 4);
  network.Run(std::chrono::seconds(3));
  const state::NodeId departed = network[9].own().node;
  network[9].AnnounceDeparture(network.now);
  network.Run(std::chrono::seconds(3));
  network.hosts[9].up = false;
  EXPECT_TRUE(network.All(
      [&](Membership& membership) { return !membership.IsLive(departed); }));
  EXPECT_EQ(network.Sum(&MembershipCounters::suspicions), 0u);
}

// Guards against a paused node that stays suspect or dead after it has resumed.
TEST(MembershipTest, APausedNodeRefutesTheSuspicion) {
  FakeNetwork network(64, 4);
  network.Run(std::chrono::seconds(3));
  network.hosts[5].paused = true;
  const state::NodeId paused = network[5].own().node;
  const auto suspected = network.RunUntil(std::chrono::seconds(10), [&] {
    return network.Sum(&MembershipCounters::suspicions) > 0;
  });
  ASSERT_NE(suspected, kTimedOut);
  network.Run(std::chrono::seconds(2));
  network.Resume(5);
  const auto time = network.RunUntil(std::chrono::seconds(6), [&] {
    return network.All([&](Membership& membership) {
      return membership.Find(paused)->liveness == Liveness::kAlive;
    });
  });
  EXPECT_NE(time, kTimedOut);
  EXPECT_EQ(network.Sum(&MembershipCounters::deaths), 0u);
  EXPECT_GE(network[5].counters().refutations, 1u);
}

// Guards against a node that declares others dead because it received nothing
// during its own pause.
TEST(MembershipTest, ANodeThatWasPausedDeclaresNoNodeDead) {
  FakeNetwork network(64, 4);
  network.Run(std::chrono::seconds(3));
  network.hosts[5].paused = true;
  network.Run(std::chrono::seconds(60));
  const state::NodeId paused = network[5].own().node;
  EXPECT_EQ(network[0].Find(paused)->liveness, Liveness::kDead);
  network.Resume(5);
  network.Run(std::chrono::seconds(15));
  EXPECT_EQ(network[5].counters().deaths, 0u);
  EXPECT_EQ(network[5].counters().suspicions, 0u);
  EXPECT_TRUE(AllLive(network));
}

// Guards against an isolated node that declares the other nodes dead.
TEST(MembershipTest, AnIsolatedNodeDeclaresNoNodeDead) {
  FakeNetwork network(64, 4);
  network.Run(std::chrono::seconds(3));
  network.cut = [](std::size_t from, std::size_t to) {
    return from == 5 || to == 5;
  };
  network.Run(std::chrono::seconds(60));
  EXPECT_TRUE(network[5].isolated());
  EXPECT_TRUE(HasEvent(network.hosts[5], Kind::kIsolated));
  EXPECT_EQ(network[5].counters().deaths, 0u);
  EXPECT_FALSE(network[5].IsZoneLost("zone-0"));
  for (std::size_t i = 0; i < network.hosts.size(); ++i)
    EXPECT_TRUE(network[5].IsLive(network[i].own().node));
  network.cut = nullptr;
  const auto time = network.RunUntil(std::chrono::seconds(20),
                                     [&] { return AllLive(network); });
  EXPECT_NE(time, kTimedOut);
  EXPECT_FALSE(network[5].isolated());
}

// Guards against a node that can receive but not send, and declares others dead
// because its probes are not acked.
TEST(MembershipTest, ANodeThatCannotSendDeclaresNoNodeDead) {
  FakeNetwork network(64, 4);
  network.Run(std::chrono::seconds(3));
  network.cut = [](std::size_t from, std::size_t) { return from == 5; };
  network.Run(std::chrono::seconds(60));
  EXPECT_EQ(network[5].counters().deaths, 0u);
  for (std::size_t i = 0; i < network.hosts.size(); ++i)
    EXPECT_TRUE(network[0].IsLive(network[i].own().node) || i == 5) << i;
}

// Guards against a suspicion and a death of each node after the loss of a zone,
// which would exceed the byte budget, and against a zone that stays lost.
TEST(MembershipTest, TheLossOfAZoneStaysWithinTheByteBudget) {
  FakeNetwork network(200, 4);
  network.Run(std::chrono::seconds(5));
  for (std::size_t i = 1; i < network.hosts.size(); i += 4)
    network.hosts[i].up = false;
  const auto time = network.RunUntil(std::chrono::seconds(12), [&] {
    return network.All(
        [](Membership& membership) { return membership.IsZoneLost("zone-1"); });
  });
  EXPECT_NE(time, kTimedOut);
  network.Run(std::chrono::seconds(60));
  EXPECT_LE(network.Sum(&MembershipCounters::suspicions), 5u);
  EXPECT_EQ(network.Sum(&MembershipCounters::deaths), 0u);
  EXPECT_LE(network.MaxBytesPerSecond(), kMaxBytesPerSecond);
  for (const char* zone : {"zone-0", "zone-2", "zone-3"})
    EXPECT_FALSE(network[0].IsZoneLost(zone));
  EXPECT_FALSE(network[0].IsLive(network[1].own().node));

  // The hosts restart with new incarnations, 250 ms apart: a quarter of the
  // cluster within 12.5 s.
  const std::size_t count = network.hosts.size();
  std::vector<state::Endpoint> seeds;
  for (std::size_t i = 0; i < 32; i += 2)
    seeds.push_back(network[i].own().gossip);
  for (std::size_t i = 1; i < count; i += 4) {
    NodeRecord record = network[i].own();
    record.incarnation = IncarnationAfter(record.incarnation, 1);
    network.Start(record, seeds);
    network.Run(std::chrono::milliseconds(250));
  }
  const auto back = network.RunUntil(std::chrono::seconds(40), [&] {
    return network.All([](Membership& membership) {
      return !membership.IsZoneLost("zone-1");
    }) && AllLive(network);
  });
  EXPECT_NE(back, kTimedOut);
  EXPECT_LE(network.MaxBytesPerSecond(), kMaxBytesPerSecond);
}

// Guards against a death of each node after a partition between regions, and
// against sides that do not rejoin when it heals.
TEST(MembershipTest, APartitionedRegionIsUnreachableUntilItHeals) {
  FakeNetwork network(96, 4);
  for (FakeNetwork::Host& host : network.hosts)
    host.membership->SetRegions({{"zone-0", "north"},
                                 {"zone-1", "north"},
                                 {"zone-2", "south"},
                                 {"zone-3", "south"}});
  network.Run(std::chrono::seconds(3));
  network.cut = [](std::size_t from, std::size_t to) {
    return (from % 4 < 2) != (to % 4 < 2);
  };
  network.Run(std::chrono::seconds(120));
  for (std::size_t i = 0; i < network.hosts.size(); ++i) {
    EXPECT_EQ(network[i].IsRegionUnreachable("north"), i % 4 >= 2) << i;
    EXPECT_EQ(network[i].IsRegionUnreachable("south"), i % 4 < 2) << i;
  }
  EXPECT_EQ(network.Sum(&MembershipCounters::deaths), 0u);
  network.cut = nullptr;
  const auto time = network.RunUntil(std::chrono::seconds(40), [&] {
    return AllLive(network) && network.All([](Membership& membership) {
      return !membership.IsRegionUnreachable("north") &&
             !membership.IsRegionUnreachable("south");
    });
  });
  EXPECT_NE(time, kTimedOut);
  EXPECT_LE(network.MaxBytesPerSecond(), kMaxBytesPerSecond);
}

// Guards against the loss of a zone reported by a single node that cannot reach
// it.
TEST(MembershipTest, AZoneRefutesAFalseLoss) {
  FakeNetwork network(64, 4);
  network.Run(std::chrono::seconds(3));
  GossipMessage message;
  message.kind = GossipKind::kPush;
  message.from = network[0].own();
  message.zones = {{"zone-1", true, 9}};
  network[2].Receive(message, EncodedBytesBound(message), network.now);
  EXPECT_TRUE(network[2].IsZoneLost("zone-1"));
  const auto time = network.RunUntil(std::chrono::seconds(10), [&] {
    return network.All([](Membership& membership) {
      return !membership.IsZoneLost("zone-1");
    }) && HasEvent(network.hosts[2], Kind::kZoneRecovered);
  });
  EXPECT_NE(time, kTimedOut);
  EXPECT_FALSE(HasEvent(network.hosts[1], Kind::kZoneLost));
}

// Guards against a late record of the previous incarnation that replaces the
// current one.
TEST(MembershipTest, AnOldIncarnationDoesNotReplaceTheNewOne) {
  FakeNetwork network(8, 2);
  const NodeRecord old = network[3].own();
  NodeRecord fresh = old;
  fresh.incarnation = IncarnationAfter(old.incarnation, 0);
  network[0].ApplyRecords({fresh}, network.now);
  NodeRecord late = old;
  late.sequence = 1'000;
  late.liveness = Liveness::kDead;
  network[0].ApplyRecords({late}, network.now);
  EXPECT_EQ(network[0].Find(old.node)->incarnation, fresh.incarnation);
  EXPECT_TRUE(network[0].IsLive(old.node));

  const state::WallTime start{std::chrono::hours(500'000)};
  EXPECT_LT(MakeIncarnation(start, ~0ULL),
            MakeIncarnation(start + std::chrono::milliseconds(1), 0));
}

// Guards against a node that is not notified that its records are ignored
// because the clock of its host went backwards before its start.
TEST(MembershipTest, ANodeIsNotifiedOfItsNewerIncarnation) {
  FakeNetwork network(8, 2);
  NodeRecord newer = network[3].own();
  newer.incarnation = IncarnationAfter(newer.incarnation, 0);
  network[0].ApplyRecords({newer}, network.now);
  network[3].ApplyRecords({newer}, network.now);
  network.Run(std::chrono::seconds(1));
  EXPECT_TRUE(HasEvent(network.hosts[3], Kind::kSuperseded));
}

// Guards against a cold start after which nodes that have only a seed do not
// discover each other.
TEST(MembershipTest, NodesJoinThroughASeed) {
  FakeNetwork network(48, 4, false);
  const auto time = network.RunUntil(std::chrono::seconds(20), [&] {
    return network.All(
        [](Membership& membership) { return membership.size() == 48; });
  });
  EXPECT_NE(time, kTimedOut);
  EXPECT_TRUE(AllLive(network));
}

// Guards against a node that never contacts its seeds because it discovered
// other nodes first, so that two clusters stay separate.
TEST(MembershipTest, NodesThatDiscoveredEachOtherStillContactTheirSeeds) {
  FakeNetwork network(2, 1, false);
  // Node 3 receives the record of node 2, which has no seeds, before it
  // contacts its own seed.
  network.Start(MakeNodeRecord(2, "zone-0"), {});
  network.Start(MakeNodeRecord(3, "zone-0"), {network[0].own().gossip});
  network[3].ApplyRecords({network[2].own()}, network.now);
  const auto time = network.RunUntil(std::chrono::seconds(15), [&] {
    return network.All(
        [](Membership& membership) { return membership.size() == 4; });
  });
  EXPECT_NE(time, kTimedOut);
}

// Guards against all nodes probing a dead one, which floods its host with
// probes when it restarts.
TEST(MembershipTest, ARestartedHostIsNotFloodedWithProbes) {
  FakeNetwork network(200, 4);
  network.Run(std::chrono::seconds(3));
  network.hosts[9].up = false;
  network.Run(std::chrono::seconds(60));
  const std::uint64_t before = network[9].counters().datagrams_received;
  network.hosts[9].up = true;
  network.Run(std::chrono::seconds(2));
  // A probe by each of 199 nodes every 5 s would be 80 in 2 s.
  EXPECT_LE(network[9].counters().datagrams_received - before, 40u);
  const auto time = network.RunUntil(std::chrono::seconds(20),
                                     [&] { return AllLive(network); });
  EXPECT_NE(time, kTimedOut);
}

// Guards against a node that counts as joined because a later one has probed
// it, and never contacts its own seed, so that the two stay a separate cluster.
TEST(MembershipTest, ANodeThatWasProbedFirstStillContactsItsSeed) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeNetwork network(1, 1, false, seed);
    const state::Endpoint first = network[0].own().gossip;
    const NodeRecord second = MakeNodeRecord(1, "zone-0");
    network.Start(second, {first});
    network.Start(MakeNodeRecord(2, "zone-0"), {second.gossip});
    GossipMessage probe;
    probe.kind = GossipKind::kProbe;
    probe.from = network[2].own();
    network[1].Receive(probe, EncodedBytesBound(probe), network.now);
    const auto time = network.RunUntil(std::chrono::seconds(20), [&] {
      return network.All(
          [](Membership& membership) { return membership.size() == 3; });
    });
    EXPECT_NE(time, kTimedOut) << "seed " << seed;
  }
}

// Guards against a node whose only seed is down and that does not report that
// it is isolated.
TEST(MembershipTest, ANodeWhoseSeedIsDownIsIsolated) {
  FakeNetwork network(2, 1, false);
  network.hosts[0].up = false;
  network.Run(std::chrono::seconds(10));
  EXPECT_TRUE(network[1].isolated());
}

// Guards against a dead record that is never removed.
TEST(MembershipTest, ADeadRecordIsRemovedAfterItsRetention) {
  FakeNetwork network(8, 2);
  NodeRecord dead = network[3].own();
  dead.liveness = Liveness::kDead;
  network[0].ApplyRecords({dead}, network.now);
  state::Instant now = network.now;
  const state::Instant end =
      now + MembershipOptions().dead_retention + std::chrono::seconds(20);
  for (; now < end; now += std::chrono::seconds(1))
    network[0].Tick(now);
  EXPECT_EQ(network[0].Find(dead.node), std::nullopt);
}

// Guards against datagrams above the MTU and traffic above the budget when more
// changes arrive than can be disseminated.
TEST(MembershipTest, DatagramsAndBytesStayBoundedUnderAFloodOfChanges) {
  MembershipOptions options;
  Membership membership(MakeNodeRecord(0, "zone-0"), {}, options,
                        std::mt19937_64(1), state::Instant());
  state::Instant now{};
  std::uint64_t before = 0;
  std::uint32_t sequence = 0;
  for (int second = 0; second < 30; ++second) {
    for (int tick = 0; tick < 10; ++tick) {
      now += std::chrono::milliseconds(100);
      std::vector<NodeRecord> records;
      for (std::size_t i = 1; i < 400; ++i) {
        records.push_back(MakeNodeRecord(i, "zone-" + std::to_string(i % 7)));
        records.back().sequence = sequence;
        records.back().backend_state = BackendState::kLeaving;
      }
      ++sequence;
      GossipMessage message;
      message.kind = GossipKind::kProbe;
      message.from = records[0];
      message.updates = records;
      membership.Receive(message, 300, now);
      membership.Tick(now);
      for (const OutgoingGossip& out : membership.TakeDatagrams())
        EXPECT_LE(EncodedBytesBound(out.message), kMaxDatagramBytes);
      membership.TakeEvents();
    }
    const std::uint64_t sent = membership.counters().bytes_sent;
    EXPECT_LE(sent - before, kMaxBytesPerSecond);
    before = sent;
  }
  EXPECT_GT(membership.counters().over_budget, 0u);
}

// Guards against a node that is not notified of a newer configuration.
TEST(MembershipTest, ANewConfigurationVersionReachesAllNodes) {
  FakeNetwork network(64, 4);
  network.Run(std::chrono::seconds(3));
  network[0].SetConfiguration(5, 77, network.now);
  const auto time = network.RunUntil(std::chrono::seconds(10), [&] {
    for (std::size_t i = 1; i < network.hosts.size(); ++i) {
      if (HasEvent(network.hosts[i], Kind::kNewerConfiguration) &&
          network[i].own().node != network[0].own().node)
        network[i].SetConfiguration(5, 77, network.now);
    }
    return std::all_of(network.hosts.begin() + 1, network.hosts.end(),
                       [](const FakeNetwork::Host& host) {
                         return HasEvent(host, Kind::kNewerConfiguration);
                       });
  });
  EXPECT_NE(time, kTimedOut);
}

}  // namespace
}  // namespace sesamespread::coordination
