/// \file
/// The procedures of docs/OPERATIONS.md that find the cause of a failed request
/// by its id, on the logs of nodes that run as processes.
#include <gtest/gtest.h>

#include <future>
#include <string>
#include <vector>

#include "deployment.h"

namespace sesamespread::test {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;

RouteDeploymentOptions WithLogs() {
  RouteDeploymentOptions options;
  options.keeps_logs = true;
  return options;
}

class TraceTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  // Waits for the lines, since nodes write their logs every 100 ms only.
  void ExpectTrace(const std::string& id,
                   const std::vector<std::string>& parts) {
    std::string output;
    const auto has_all = [&] {
      output = deployment_.Trace(id);
      for (const std::string& part : parts) {
        if (output.find(part) == std::string::npos)
          return false;
      }
      return true;
    };
    EXPECT_TRUE(bench::WaitFor(has_all, kLogTimeout)) << output;
  }

  static constexpr std::chrono::seconds kLogTimeout{5};

  RouteDeployment deployment_{WithLogs()};
};

// Guards against a trace that names the service of the caller's request as the
// cause while the queue of a downstream service is full.
TEST_F(TraceTest, NamesTheDownstreamServiceWithAFullQueue) {
  constexpr milliseconds kServiceTime{800};
  constexpr milliseconds kBudget{1000};
  constexpr int kLoad = 60;
  // A node leaves one of the eight slots of a server free.
  constexpr std::size_t kUsableSlots = 7;
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetServiceTime(kServiceTime);
  std::vector<std::future<bench::HttpResult>> load;
  for (int i = 0; i < kLoad; ++i) {
    load.push_back(std::async(std::launch::async, [this, i] {
      return deployment_.Send(deployment_.stock(0), "stock.example",
                              "load" + std::to_string(i), kBudget);
    }));
  }
  for (std::size_t i : {0, 1}) {
    const auto& backend = *deployment_.stock(i).backend;
    ASSERT_TRUE(bench::WaitFor(
        [&] { return backend.executed_ids().size() >= kUsableSlots; },
        kTestTimeout));
  }
  const auto result =
      deployment_.Send(deployment_.shop(), "shop.example", "w1", kBudget);
  EXPECT_NE(result.status, kOk);
  for (auto& one : load)
    (void)one.get();
  ExpectTrace("w1", {"cause: ", "queue is full (stock)"});
}

// Guards against a trace that does not distinguish the 502 of an order from a
// refusal.
TEST_F(TraceTest, NamesTheLostConnectionOfAnOrder) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetServiceTime(milliseconds(600));
  auto result = deployment_.SendAsync("orders.example", "w2");
  RouteHost* const executor = deployment_.WaitForStockExecution("w2");
  ASSERT_NE(executor, nullptr);
  deployment_.KillNode(*executor);
  EXPECT_EQ(result.get().status, kBadGateway);
  ExpectTrace("w2", {"status=502", "attempts=1",
                     "the connection was lost before the answer was whole"});
}

// Guards against a trace that names overload as the cause of a request that was
// refused because all servers were leaving.
TEST_F(TraceTest, NamesTheLeaveOfTheServers) {
  for (std::size_t i : {0, 1})
    ASSERT_EQ(deployment_.stock(i).backend->Report(true), kOk);
  const auto result =
      deployment_.Send(deployment_.shop(), "orders.example", "w3");
  EXPECT_EQ(result.status, kUnavailable);
  ExpectTrace("w3", {"status=503", "cause: it failed", "(stock)"});
}

// Guards against a trace of a 404 that lacks the version of the routes in
// force.
TEST_F(TraceTest, NamesTheRoutesThatLackedTheHost) {
  deployment_.PutRoutes(2, false);
  ASSERT_TRUE(bench::WaitFor(
      [&] {
        return deployment_.Send(deployment_.shop(), "stock.example", "w4")
                   .status == kNotFound;
      },
      kTestTimeout));
  ExpectTrace("w4", {"request_without_route", "version=2"});
}

}  // namespace
}  // namespace sesamespread::test
