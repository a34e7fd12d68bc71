/// \file
/// Backend servers that state in their answers how many requests they accept,
/// or that they leave. Real nodes forward the requests of several callers.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>
#include <vector>

#include "deployment.h"
#include "sesamespread/transport/clock.h"
#include "stated_limit.h"

namespace sesamespread::test {
namespace {

using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kOk = 200;

/// The users' bound on the time from a stated leave to the last new request.
constexpr seconds kDrain{2};

class ServerStatementTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    StopLoad();
    if (HasFailure())
      std::cerr << deployment_.CollectDiagnostics();
  }

  // Sends about 120 requests a second at two nodes until StopLoad.
  void StartLoad() {
    for (int i = 0; i < 6; ++i) {
      callers_.emplace_back([this, i] {
        const RouteHost& entry =
            i % 2 == 0 ? deployment_.shop() : deployment_.stock(1);
        const char* const host = i < 3 ? "stock.example" : "orders.example";
        for (int n = 0; !stopped_; ++n) {
          const auto result =
              deployment_.Send(entry, host, fmt::format("l{}-{}", i, n));
          ++(result.status == kOk ? served_ : failed_);
          std::this_thread::sleep_for(milliseconds(45));
        }
      });
    }
  }

  void StopLoad() {
    stopped_ = true;
    for (std::thread& caller : callers_)
      caller.join();
    callers_.clear();
  }

  RouteDeployment deployment_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> served_ = 0;
  std::atomic<int> failed_ = 0;
  std::vector<std::thread> callers_;
};

TEST_F(ServerStatementTest, AServerGetsNoMoreThanItsStatedRate) {
  constexpr double kPerSecond = 15;
  RouteHost& limited = deployment_.stock(0);
  limited.backend->SetRateLimit(kPerSecond);
  StartLoad();
  ASSERT_TRUE(bench::WaitFor(
      [&] { return !limited.backend->execution_times().empty(); },
      kTestTimeout));
  const Instant stated = limited.backend->execution_times().front();
  std::this_thread::sleep_for(seconds(5));
  // The node beside the server must learn the limit again after a restart.
  deployment_.KillNode(limited);
  deployment_.StartNode(limited);
  std::this_thread::sleep_for(seconds(4));
  StopLoad();
  const auto times = limited.backend->execution_times();
  EXPECT_LE(MaxStartsInWindow(times, stated + kStatementDelay),
            MaxStartsAllowed(kPerSecond));
  // The limited server is used nevertheless, and the other one has room.
  EXPECT_GT(times.size(), 5U);
  EXPECT_GT(served_, 10 * failed_);
}

TEST_F(ServerStatementTest, AServerThatStatesItsLeaveGetsNoNewRequests) {
  RouteHost& leaving = deployment_.stock(0);
  StartLoad();
  ASSERT_TRUE(bench::WaitFor(
      [&] { return !leaving.backend->execution_times().empty(); },
      kTestTimeout));
  leaving.backend->SetStatesLeaving();
  std::this_thread::sleep_for(milliseconds(200));
  // A restarted node must not take the server for a serving one.
  deployment_.KillNode(leaving);
  deployment_.StartNode(leaving);
  const Instant last_allowed = transport::Now() + kDrain;
  std::this_thread::sleep_for(kDrain + seconds(2));
  StopLoad();
  const auto times = leaving.backend->execution_times();
  EXPECT_EQ(std::count_if(times.begin(), times.end(),
                          [&](Instant time) { return time > last_allowed; }),
            0);
  EXPECT_GT(served_, 10 * failed_);
}

// Guards against orders that never wait at a limited server in order of rank.
TEST(ServiceRateLimitTest, OrdersAreServedWhileAllServersLimitTheirRate) {
  constexpr std::size_t kStockServers = 16;
  constexpr double kPerSecond = 2;
  // 12 orders and 80 reads a second, while the limits allow 32.
  constexpr int kOrderCallers = 3;
  constexpr int kReadCallers = 20;
  constexpr milliseconds kPause{250};
  RouteDeploymentOptions options;
  options.services.assign(1 + kStockServers, "stock");
  options.services[0] = "shop";
  options.read_priority = 2;
  RouteDeployment deployment(options);
  ASSERT_TRUE(deployment.WaitUntilServing());
  for (std::size_t i = 0; i < kStockServers; ++i)
    deployment.stock(i).backend->SetRateLimit(kPerSecond);
  std::atomic<bool> stopped = false;
  std::atomic<int> orders = 0;
  std::atomic<int> served_orders = 0;
  std::atomic<bool> is_measured = false;
  std::vector<std::thread> callers;
  for (int i = 0; i < kOrderCallers + kReadCallers; ++i) {
    callers.emplace_back([&, i] {
      const bool is_order = i < kOrderCallers;
      for (int n = 0; !stopped; ++n) {
        const auto result = deployment.Send(
            deployment.hosts()[static_cast<std::size_t>(i) % kStockServers],
            is_order ? "orders.example" : "stock.example",
            fmt::format("a{}-{}", i, n));
        if (is_order && is_measured) {
          ++orders;
          served_orders += result.status == kOk ? 1 : 0;
        }
        std::this_thread::sleep_for(kPause);
      }
    });
  }
  std::this_thread::sleep_for(seconds(3));
  is_measured = true;
  std::this_thread::sleep_for(seconds(6));
  stopped = true;
  for (std::thread& caller : callers)
    caller.join();
  EXPECT_GT(orders, 20);
  EXPECT_GE(served_orders, 0.9 * orders) << orders << " orders";
  if (::testing::Test::HasFailure())
    std::cerr << deployment.CollectDiagnostics();
}

}  // namespace
}  // namespace sesamespread::test
