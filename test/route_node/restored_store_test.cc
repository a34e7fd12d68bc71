/// \file
/// Route nodes whose store comes back from an older copy: it has forgotten the
/// last writes and gives their versions out again.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>
#include <thread>

#include "deployment.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::test {
namespace {

using std::chrono::seconds;

constexpr std::uint16_t kOk = 200;

/// The users' bound for new routes.
constexpr seconds kRoutesBound{2};

/// The users' bound for entries that were lost while the store was away.
constexpr seconds kEntriesBound{2};

constexpr char kNodeTable[] = "sesamespread-nodes";
constexpr char kLeaveTable[] = "sesamespread-left";

class RestoredStoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(deployment_.WaitUntilServing());
    ASSERT_TRUE(bench::WaitFor(
        [this] {
          return store().RowCount(kNodeTable) == deployment_.hosts().size();
        },
        kTestTimeout));
  }

  void TearDown() override {
    if (HasFailure())
      std::cerr << deployment_.CollectDiagnostics();
  }

  platform::standin::Store& store() { return deployment_.store(); }

  // Writes of others, which raise the version of the store.
  void WriteUnrelatedRows(int count) {
    for (int i = 0; i < count; ++i)
      store().Put("unrelated", std::to_string(i), "value");
  }

  RouteDeployment deployment_;
};

// Guards against routes that are never seen because they are written at a
// version below that of a lost write.
TEST_F(RestoredStoreTest, RoutesAfterARestoreComeIntoForceInTime) {
  store().SaveCopy();
  WriteUnrelatedRows(20);
  deployment_.PutRoutes(2);
  ASSERT_TRUE(bench::WaitFor([this] { return deployment_.IsInForce(2); },
                             kTestTimeout));
  for (unsigned version = 3; version < 6; ++version) {
    store().Restore();
    deployment_.PutRoutes(version);
    const state::Instant confirmed = transport::Now();
    WriteUnrelatedRows(30);
    EXPECT_TRUE(bench::WaitFor([&] { return deployment_.IsInForce(version); },
                               kRoutesBound))
        << "version " << version;
    EXPECT_LT(transport::Now() - confirmed, kRoutesBound);
  }
}

// Guards against a node that new nodes don't find because the store has
// forgotten its row.
TEST_F(RestoredStoreTest, NodesWriteTheirForgottenRowsAgain) {
  const std::string key = deployment_.stock(1).name;
  store().Remove(kNodeTable, key);
  store().SaveCopy();
  store().Restore();
  EXPECT_TRUE(bench::WaitFor([&] { return store().HasRow(kNodeTable, key); },
                             kEntriesBound));
}

// Guards against a server that has left and gets work again because the store
// has forgotten its confirmed leave and all nodes restart.
TEST_F(RestoredStoreTest, NodesWriteForgottenLeavesAgain) {
  RouteHost& leaving = deployment_.stock(0);
  ASSERT_EQ(leaving.backend->Report(false), kOk);
  store().SaveCopy();
  ASSERT_EQ(leaving.backend->Report(true), kOk);
  const std::string key = leaving.name + "/i-1";
  ASSERT_TRUE(store().HasRow(kLeaveTable, key));
  for (int restores = 0; restores < 2; ++restores) {
    store().Restore();
    EXPECT_TRUE(bench::WaitFor([&] { return store().HasRow(kLeaveTable, key); },
                               kEntriesBound));
  }
}

}  // namespace
}  // namespace sesamespread::test
