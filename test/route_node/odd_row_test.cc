/// \file
/// Guards against rows of another writer in the tables of the nodes that end a
/// node, stop it from following a table or make it call the store without end.
#include <gtest/gtest.h>

#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "deployment.h"
#include "sesamespread/protocol/codec.h"
#include "sesamespread/state/ids.h"

namespace sesamespread::test {
namespace {

using std::chrono::seconds;

constexpr std::uint16_t kOk = 200;
constexpr char kNodeTable[] = "sesamespread-nodes";
constexpr char kLeaveTable[] = "sesamespread-left";

state::NodeRecord MakeRecord(const std::string& name,
                             const state::Endpoint& peer) {
  state::NodeRecord record;
  record.node = state::NodeIdOf(name);
  // Later than the records of all running processes.
  record.incarnation = ~state::Incarnation{0};
  record.name = name;
  record.zone = "zone-a";
  record.service = "stock";
  record.peer = peer;
  return record;
}

std::string EncodeRow(std::vector<state::NodeRecord> records) {
  const auto count = static_cast<std::uint32_t>(records.size());
  return protocol::EncodeFrame(
             protocol::NodeRecordsPush{std::move(records), count, count})
      .substr(protocol::kFrameHeaderBytes);
}

// Writes odd rows, restarts all nodes so that they read them, and returns the
// number of writes to the store in the two seconds after they serve again.
std::size_t CountWritesBesideOddRows(RouteDeployment& deployment) {
  platform::standin::Store& store = deployment.store();
  const state::Endpoint unused{deployment.shop().peer.address, 1};
  const std::string host_name = deployment.shop().name;
  store.Put(kNodeTable, "", "");
  store.Put(kNodeTable, "bytes", std::string(50'000, '\xff'));
  store.Put(kNodeTable, "nested", std::string(50'000, '['));
  store.Put(kNodeTable, "claims-host",
            EncodeRow({MakeRecord(host_name, unused)}));
  store.Put(kNodeTable, "port-zero",
            EncodeRow({MakeRecord("port-zero", {unused.address, 0})}));
  store.Put(kNodeTable, "no-address",
            EncodeRow({MakeRecord("no-address", {"somewhere", 70})}));
  store.Put(kNodeTable, std::string(190, 'k'),
            EncodeRow({MakeRecord(std::string(5'000, 'n'), unused)}));
  for (std::size_t i = 0; i < deployment.hosts().size(); ++i) {
    const std::string prefix = deployment.hosts()[i].name + "/";
    store.Put(kLeaveTable, prefix, "12");
    store.Put(kLeaveTable, prefix + "odd", "99999999999999999999999");
    // A time that has not come yet, for the running instance.
    store.Put(kLeaveTable, prefix + "i-" + std::to_string(i),
              "18446744073709551615");
  }
  for (RouteHost& host : deployment.hosts()) {
    deployment.KillNode(host);
    deployment.StartNode(host);
  }
  EXPECT_TRUE(deployment.WaitUntilServing());
  const std::size_t before = store.CountWrites();
  bench::WaitFor([] { return false; }, seconds(2));
  return store.CountWrites() - before;
}

TEST(OddRowTest, NodesServeBesideOddRows) {
  RouteDeployment deployment;
  ASSERT_TRUE(deployment.WaitUntilServing());
  EXPECT_LE(CountWritesBesideOddRows(deployment), deployment.hosts().size());
  for (RouteHost& host : deployment.hosts())
    EXPECT_EQ(deployment.Send(host, "stock.example", "s-" + host.name).status,
              kOk);
  deployment.PutRoutes(2);
  EXPECT_TRUE(bench::WaitFor(
      [&] {
        for (const RouteHost& host : deployment.hosts()) {
          if (deployment.MetricOf(host, "sesamespread_configuration_version") !=
              2)
            return false;
        }
        return true;
      },
      seconds(2)));
  if (::testing::Test::HasFailure())
    std::cerr << deployment.CollectDiagnostics();
}

// Guards against writes without end while the store refuses writes and answers
// reads.
TEST(OddRowTest, ANodeWhoseRowCannotBeWrittenTriesAgainRarely) {
  RouteDeployment deployment;
  ASSERT_TRUE(deployment.WaitUntilServing());
  platform::standin::Store& store = deployment.store();
  RouteHost& host = deployment.stock(0);
  deployment.KillNode(host);
  store.Remove(kNodeTable, host.name);
  store.SetMode(platform::standin::Store::Mode::kRefusingWrites);
  const std::size_t before = store.CountWrites();
  deployment.StartNode(host);
  ASSERT_TRUE(
      bench::WaitFor([&] { return deployment.IsReady(host); }, kTestTimeout));
  bench::WaitFor([] { return false; }, seconds(2));
  EXPECT_LE(store.CountWrites() - before, 12U);
}

}  // namespace
}  // namespace sesamespread::test
