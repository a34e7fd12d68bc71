/// \file
/// The whole path on the users' platform, from a caller through two nodes to a
/// backend server, under failures of each part.
#include <gtest/gtest.h>
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "sesamespread/transport/acceptor.h"

namespace sesamespread::test {
namespace {

using platform::standin::Backend;
using platform::standin::Store;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;

std::string FieldOf(const bench::HttpResult& result, const char* name) {
  return std::string(transport::FieldOf(result.headers, name));
}

class RouteNodeTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    if (HasFailure())
      std::cerr << deployment_.Diagnosis();
  }

  RouteDeployment deployment_;
};

// Guards against a path that changes an answer, loses a call or gives it to a
// server of another service.
TEST_F(RouteNodeTest, ARequestAndItsCallAreServed) {
  const auto result =
      deployment_.Send(deployment_.stock(0), "shop.example", "r1");
  EXPECT_EQ(result.status, kOk);
  EXPECT_EQ(FieldOf(result, "X-Response-Seal"), "i-0/r1");
  EXPECT_EQ(result.body, "i-0 answers r1");
  EXPECT_EQ(deployment_.shop().backend->CountExecutions("r1"), 1U);
  EXPECT_EQ(deployment_.StockRunsOf("r1.1"), 1U);
}

// Guards against an order that is sent again after a server may have run it.
TEST_F(RouteNodeTest, AnOrderWithALostAnswerRunsOnce) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetFault(Backend::Fault::kTruncatesAnswers);
  const auto result =
      deployment_.Send(deployment_.shop(), "orders.example", "o1");
  EXPECT_EQ(result.status, kBadGateway);
  EXPECT_EQ(FieldOf(result, "X-Response-Seal"), "");
  EXPECT_EQ(deployment_.StockRunsOf("o1"), 1U);
}

// Guards against a safe request that is given up although another server could
// answer it.
TEST_F(RouteNodeTest, ASafeRequestWithALostAnswerIsSentAgain) {
  deployment_.stock(0).backend->SetFault(Backend::Fault::kTruncatesAnswers);
  for (int i = 0; i < 2; ++i) {
    const auto result = deployment_.Send(deployment_.shop(), "stock.example",
                                         "s" + std::to_string(i));
    EXPECT_EQ(result.status, kOk);
  }
}

// Guards against a kill beside the server that makes an order run twice, or
// leaves its caller without an answer.
TEST_F(RouteNodeTest, AnOrderAtAKilledNodeRunsOnceAtMost) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetServiceTime(milliseconds(600));
  auto result = deployment_.SendLater("orders.example", "o1");
  RouteHost* const executor = deployment_.AwaitStockRun("o1");
  ASSERT_NE(executor, nullptr);
  deployment_.KillNode(*executor);
  EXPECT_EQ(result.get().status, kBadGateway);
  EXPECT_EQ(deployment_.StockRunsOf("o1"), 1U);
  // The other server serves at once.
  EXPECT_EQ(deployment_.Send(deployment_.shop(), "orders.example", "o2").status,
            kOk);
}

// Guards against a refusal of work that runs all the same, and one that does
// not say when to come back.
TEST_F(RouteNodeTest, ARefusedOrderNeverRuns) {
  for (std::size_t i : {0, 1}) {
    EXPECT_EQ(deployment_.stock(i).backend->Report(true), kOk);
  }
  const auto result =
      deployment_.Send(deployment_.shop(), "orders.example", "o1");
  EXPECT_EQ(result.status, kUnavailable);
  EXPECT_NE(FieldOf(result, "Retry-After"), "");
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_EQ(deployment_.StockRunsOf("o1"), 0U);
}

// Guards against work at a server whose leave was confirmed, also after its
// node was killed and started again.
TEST_F(RouteNodeTest, ALeavingServerGetsNoNewWork) {
  RouteHost& left = deployment_.stock(0);
  ASSERT_EQ(left.backend->Report(false), kOk);
  ASSERT_EQ(left.backend->Report(true), kOk);
  // The leave has to be stored before the node may forget it.
  ASSERT_TRUE(bench::WaitFor(
      [&] { return deployment_.store().RowCount("sesamespread-left") > 0; },
      kTestTimeout));
  deployment_.KillNode(left);
  deployment_.StartNode(left);
  ASSERT_TRUE(
      bench::WaitFor([&] { return deployment_.IsReady(left); }, kTestTimeout));
  for (int i = 0; i < 20; ++i) {
    const auto result = deployment_.Send(deployment_.shop(), "stock.example",
                                         "s" + std::to_string(i));
    EXPECT_EQ(result.status, kOk);
  }
  EXPECT_TRUE(left.backend->executed_ids().empty());
}

// Guards against work at a server whose leave was confirmed while the store
// refused to keep it: after its restart the node hears of it from another one.
TEST_F(RouteNodeTest, ALeaveThatWasNotStoredIsKept) {
  RouteHost& left = deployment_.stock(0);
  ASSERT_EQ(left.backend->Report(false), kOk);
  deployment_.store().SetMode(Store::Mode::kRefusing);
  ASSERT_EQ(left.backend->Report(true), kOk);
  // The other nodes know it once none of them offers the server any more.
  ASSERT_TRUE(bench::WaitFor(
      [&] {
        return deployment_.MetricOf(deployment_.shop(),
                                    "sesamespread_servers_available") == 2;
      },
      kTestTimeout));
  deployment_.KillNode(left);
  deployment_.store().SetMode(Store::Mode::kServing);
  deployment_.StartNode(left);
  ASSERT_TRUE(
      bench::WaitFor([&] { return deployment_.IsReady(left); }, kTestTimeout));
  for (int i = 0; i < 40; ++i)
    deployment_.Send(left, "stock.example", "s" + std::to_string(i));
  EXPECT_TRUE(left.backend->executed_ids().empty());
}

// Guards against a planned stop that breaks off a request or takes longer than
// its time.
TEST_F(RouteNodeTest, APlannedStopAnswersWhatRuns) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetServiceTime(milliseconds(1000));
  auto result = deployment_.SendLater("orders.example", "o1");
  RouteHost* const stopped = deployment_.AwaitStockRun("o1");
  ASSERT_NE(stopped, nullptr);
  stopped->node->Signal(SIGTERM);
  EXPECT_EQ(result.get().status, kOk);
  EXPECT_EQ(stopped->node->Wait(std::chrono::seconds(6)), 0);
  EXPECT_EQ(deployment_.StockRunsOf("o1"), 1U);
}

// Guards against a node that takes older routes than it has, from the store or
// from another node.
TEST_F(RouteNodeTest, RoutesNeverGoBack) {
  deployment_.PutRoutes(3, false);
  const auto is_withdrawn = [&](const RouteHost& host) {
    return deployment_.Send(host, "stock.example", "s1").status == kNotFound;
  };
  ASSERT_TRUE(bench::WaitFor([&] { return is_withdrawn(deployment_.shop()); },
                             kTestTimeout));
  deployment_.PutRoutes(2);
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_TRUE(is_withdrawn(deployment_.shop()));
  // A node that starts reads version 2 from the store and learns of 3 from the
  // others.
  RouteHost& restarted = deployment_.stock(0);
  deployment_.KillNode(restarted);
  deployment_.StartNode(restarted);
  ASSERT_TRUE(bench::WaitFor([&] { return deployment_.IsReady(restarted); },
                             kTestTimeout));
  EXPECT_TRUE(
      bench::WaitFor([&] { return is_withdrawn(restarted); }, kTestTimeout));
}

// Guards against a node that needs the store to start or to serve.
TEST_F(RouteNodeTest, ANodeStartsWithTheStoreAway) {
  for (const Store::Mode mode : {Store::Mode::kSilent, Store::Mode::kRefusing,
                                 Store::Mode::kLosingAnswers}) {
    deployment_.store().SetMode(mode);
    RouteHost& restarted = deployment_.stock(0);
    deployment_.KillNode(restarted);
    deployment_.StartNode(restarted);
    ASSERT_TRUE(deployment_.WaitUntilServing())
        << "store mode " << static_cast<int>(mode);
    EXPECT_EQ(deployment_.Send(restarted, "shop.example", "r1").status, kOk);
  }
}

// Guards against connections without requests that take the place of those
// with them.
TEST_F(RouteNodeTest, SilentConnectionsDelayNoOthers) {
  using boost::asio::ip::tcp;
  constexpr int kConnections = 300;
  boost::asio::io_context context;
  std::vector<tcp::socket> silent;
  for (int i = 0; i < kConnections; ++i) {
    silent.emplace_back(context);
    silent.back().connect(transport::ToTcpEndpoint(deployment_.shop().entry));
    // Some stop within a request.
    if (i % 2 == 0)
      boost::asio::write(silent.back(),
                         boost::asio::buffer("GET /item HTTP/1.1\r\nHo", 22));
  }
  const auto start = steady_clock::now();
  EXPECT_EQ(deployment_.Send(deployment_.shop(), "stock.example", "s1").status,
            kOk);
  // A request takes some milliseconds; the bound is the route's goal.
  EXPECT_LT(steady_clock::now() - start, milliseconds(1000));
}

// Guards against a hung server that costs the requests sent to it, though
// another server could answer them in time.
TEST_F(RouteNodeTest, AHungServerCostsNoRequest) {
  constexpr milliseconds kBudget{1500};
  // So many answers tell how long they take.
  for (int i = 0; i < 40; ++i)
    deployment_.Send(deployment_.shop(), "stock.example",
                     "w" + std::to_string(i));
  // The one that the node prefers for one request at a time.
  const bool prefers_first =
      deployment_.stock(0).backend->executed_ids().size() >
      deployment_.stock(1).backend->executed_ids().size();
  Backend& hung = *deployment_.stock(prefers_first ? 0 : 1).backend;
  const std::string sound = prefers_first ? "i-2/" : "i-1/";
  hung.SetFault(Backend::Fault::kHangs);
  bool was_asked = false;
  for (int i = 0; i < 30 && !was_asked; ++i) {
    const std::string id = "s" + std::to_string(i);
    const auto start = steady_clock::now();
    const auto result =
        deployment_.Send(deployment_.shop(), "stock.example", id, kBudget);
    was_asked = hung.CountExecutions(id) > 0;
    EXPECT_EQ(result.status, kOk);
    EXPECT_EQ(FieldOf(result, "X-Response-Seal"), sound + id);
    // The route's goal.
    EXPECT_LT(steady_clock::now() - start, milliseconds(1000));
    EXPECT_LE(deployment_.StockRunsOf(id), 2U);
  }
  EXPECT_TRUE(was_asked);
}

// Guards against a second run of an order whose server is silent, and against
// an answer later than the caller's time.
TEST_F(RouteNodeTest, AnOrderAtAHungServerRunsOnce) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetFault(Backend::Fault::kHangs);
  const auto start = steady_clock::now();
  const auto result = deployment_.Send(deployment_.shop(), "orders.example",
                                       "o1", milliseconds(600));
  EXPECT_EQ(result.status, 504);
  EXPECT_LT(steady_clock::now() - start, milliseconds(600 + 500));
  EXPECT_EQ(deployment_.StockRunsOf("o1"), 1U);
}

// Guards against a log that delays requests because nobody reads it: the
// node's standard output is a pipe that this test doesn't read.
TEST_F(RouteNodeTest, AnUnreadLogDelaysNoRequest) {
  constexpr int kRequests = 1500;
  RouteHost& shop = deployment_.shop();
  for (int i = 0; i < kRequests; ++i)
    ASSERT_EQ(deployment_.Send(shop, "none.example", "n").status, kNotFound);
  EXPECT_EQ(deployment_.Send(shop, "stock.example", "s1").status, kOk);
  shop.node->Signal(SIGTERM);
  EXPECT_EQ(shop.node->Wait(std::chrono::seconds(6)), 0);
}

}  // namespace
}  // namespace sesamespread::test
