/// \file
/// Guards against calls to the store that grow with the number of nodes, and
/// against a fleet in which nobody reads the store.
#include "sesamespread/coordination/store_readers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Nodes of one zone with random ids.
std::vector<state::NodeId> MakeZone(std::size_t count) {
  std::mt19937_64 random(7);
  std::vector<state::NodeId> nodes(count);
  std::generate(nodes.begin(), nodes.end(), [&] { return random(); });
  return nodes;
}

StoreReaderInput InputOf(state::NodeId self,
                         const std::vector<state::NodeId>& linked) {
  StoreReaderInput input;
  input.self = self;
  for (const state::NodeId node : linked) {
    if (node != self)
      input.zone_peers.push_back(node);
  }
  input.has_routes = true;
  input.uptime = seconds(60);
  input.since_last_call = seconds(5);
  input.since_last_notice = milliseconds(400);
  return input;
}

std::vector<state::NodeId> ReadersOf(const std::vector<state::NodeId>& live) {
  std::vector<state::NodeId> readers;
  for (const state::NodeId node : live) {
    if (StoreReaders().IsReader(InputOf(node, live)))
      readers.push_back(node);
  }
  return readers;
}

TEST(StoreReadersTest, AZoneHasTwoReadersWhateverItsSize) {
  for (const std::size_t size : {2, 4, 33, 300})
    EXPECT_EQ(ReadersOf(MakeZone(size)).size(), 2U) << size;
  EXPECT_EQ(ReadersOf(MakeZone(1)).size(), 1U);
}

TEST(StoreReadersTest, CountsTheReadersOfAllZones) {
  EXPECT_EQ(StoreReaders().CountReaders({33, 32, 1}), 5U);
}

// Guards against a zone without readers after all of its readers died.
TEST(StoreReadersTest, OthersTakeOverOnceTheLinksToTheReadersAreLost) {
  std::vector<state::NodeId> live = MakeZone(33);
  const auto before = ReadersOf(live);
  std::erase_if(live, [&](state::NodeId node) {
    return std::find(before.begin(), before.end(), node) != before.end();
  });
  EXPECT_EQ(ReadersOf(live).size(), 2U);
}

// Guards against an isolated node that waits for peers.
TEST(StoreReadersTest, ANodeWithoutLinksReadsForItself) {
  EXPECT_TRUE(StoreReaders().MayCall(InputOf(42, {})));
}

TEST(StoreReadersTest, OthersDoNotCallWhileTheyHearFromAReader) {
  StoreReaderInput input = InputOf(~0ULL, MakeZone(33));
  input.since_last_call = seconds(600);
  EXPECT_FALSE(StoreReaders().MayCall(input));
}

// Guards against old routes at a node that is cut off from all peers but not
// from the store: its idle links to them count as open for many seconds. The
// users' bound for new routes in a zone of 33 hosts is 3 s.
TEST(StoreReadersTest, ANodeThatHearsFromNoReaderTakesOver) {
  StoreReaderInput input = InputOf(~0ULL, MakeZone(33));
  input.since_last_notice = milliseconds(1000);
  EXPECT_FALSE(StoreReaders().IsReader(input));
  input.since_last_notice = milliseconds(2700);
  EXPECT_TRUE(StoreReaders().IsReader(input));
  EXPECT_TRUE(StoreReaders().MayCall(input));
}

// Guards against an order of takeovers that grows with the zone: with 75 nodes
// the last one, cut off alone, read new routes after 4.8 s, and the users'
// bound is 3 s.
TEST(StoreReadersTest, TheLastNodeOfALargeZoneTakesOverInTime) {
  for (const std::size_t size : {75, 300, 1000}) {
    StoreReaderInput input = InputOf(~0ULL, MakeZone(size));
    input.since_last_notice = milliseconds(2500);
    EXPECT_TRUE(StoreReaders().IsReader(input)) << size;
  }
}

// Guards against a whole zone that calls the store at once because its readers
// were lost.
TEST(StoreReadersTest, OneNodeAfterTheOtherTakesOver) {
  const std::vector<state::NodeId> zone = MakeZone(33);
  std::size_t readers = 0;
  for (const state::NodeId node : zone) {
    StoreReaderInput input = InputOf(node, zone);
    input.since_last_notice = milliseconds(1125);
    readers += StoreReaders().IsReader(input) ? 1 : 0;
  }
  // The two readers by id and the next one.
  EXPECT_EQ(readers, 3U);
}

// Guards against calls of all nodes to a store that refuses them.
TEST(StoreReadersTest, ANodeThatTookOverCallsAFailingStoreRarely) {
  StoreReaderInput input = InputOf(~0ULL, MakeZone(33));
  input.since_last_notice = seconds(20);
  input.has_last_call_failed = true;
  input.since_last_call = milliseconds(2900);
  EXPECT_FALSE(StoreReaders().MayCall(input));
  input.since_last_call = milliseconds(3000);
  EXPECT_TRUE(StoreReaders().MayCall(input));
}

// Guards against a fleet that restarts at once and loads the store with reads
// of every node, and against a node that stays without routes because its peers
// have none either.
TEST(StoreReadersTest, ANodeWithoutRoutesWaitsForPeersFirst) {
  StoreReaderInput input = InputOf(~0ULL, MakeZone(33));
  input.has_routes = false;
  input.uptime = input.since_last_call = milliseconds(499);
  EXPECT_FALSE(StoreReaders().MayCall(input));
  input.uptime = input.since_last_call = milliseconds(500);
  EXPECT_TRUE(StoreReaders().MayCall(input));
  input.uptime = milliseconds(1500);
  input.since_last_call = milliseconds(1000);
  EXPECT_FALSE(StoreReaders().MayCall(input));
  input.uptime = milliseconds(2500);
  input.since_last_call = milliseconds(2000);
  EXPECT_TRUE(StoreReaders().MayCall(input));
}

}  // namespace
}  // namespace sesamespread::coordination
