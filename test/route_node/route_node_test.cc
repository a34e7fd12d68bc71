/// \file
/// Requests on the users' platform, from a caller through two nodes to a
/// backend server, with failures of each of these components.
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
#include "sesamespread/transport/clock.h"

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
      std::cerr << deployment_.CollectDiagnostics();
  }

  RouteDeployment deployment_;
};

// Guards against nodes that change an answer, lose a downstream call or send it
// to a server of another service.
TEST_F(RouteNodeTest, ARequestAndItsDownstreamCallAreServed) {
  const auto result =
      deployment_.Send(deployment_.stock(0), "shop.example", "r1");
  EXPECT_EQ(result.status, kOk);
  EXPECT_EQ(FieldOf(result, "X-Response-Seal"), "i-0/r1");
  EXPECT_EQ(result.body, "i-0 answers r1");
  EXPECT_EQ(deployment_.shop().backend->CountExecutions("r1"), 1U);
  EXPECT_EQ(deployment_.CountStockExecutions("r1.1"), 1U);
}

// Guards against a retry of an order that a server may have run.
TEST_F(RouteNodeTest, AnOrderWithALostAnswerRunsOnce) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetFault(Backend::Fault::kTruncatesAnswers);
  const auto result =
      deployment_.Send(deployment_.shop(), "orders.example", "o1");
  EXPECT_EQ(result.status, kBadGateway);
  EXPECT_EQ(FieldOf(result, "X-Response-Seal"), "");
  EXPECT_EQ(deployment_.CountStockExecutions("o1"), 1U);
}

// Guards against a safe request that fails although another server could answer
// it.
TEST_F(RouteNodeTest, ASafeRequestWithALostAnswerIsRetried) {
  deployment_.stock(0).backend->SetFault(Backend::Fault::kTruncatesAnswers);
  for (int i = 0; i < 2; ++i) {
    const auto result = deployment_.Send(deployment_.shop(), "stock.example",
                                         "s" + std::to_string(i));
    EXPECT_EQ(result.status, kOk);
  }
}

// Guards against an order that runs twice, or whose caller gets no answer, if
// the node beside its server is killed.
TEST_F(RouteNodeTest, AnOrderAtAKilledNodeRunsAtMostOnce) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetServiceTime(milliseconds(600));
  auto result = deployment_.SendAsync("orders.example", "o1");
  RouteHost* const executor = deployment_.WaitForStockExecution("o1");
  ASSERT_NE(executor, nullptr);
  deployment_.KillNode(*executor);
  EXPECT_EQ(result.get().status, kBadGateway);
  EXPECT_EQ(deployment_.CountStockExecutions("o1"), 1U);
  // The next order is served by the other server.
  EXPECT_EQ(deployment_.Send(deployment_.shop(), "orders.example", "o2").status,
            kOk);
}

// Guards against a refused order that runs nevertheless, and a refusal without
// Retry-After.
TEST_F(RouteNodeTest, ARefusedOrderNeverRuns) {
  for (std::size_t i : {0, 1}) {
    EXPECT_EQ(deployment_.stock(i).backend->Report(true), kOk);
  }
  const auto result =
      deployment_.Send(deployment_.shop(), "orders.example", "o1");
  EXPECT_EQ(result.status, kUnavailable);
  EXPECT_NE(FieldOf(result, "Retry-After"), "");
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_EQ(deployment_.CountStockExecutions("o1"), 0U);
}

// Guards against new work at a server whose leave was confirmed, also after its
// node was killed and restarted.
TEST_F(RouteNodeTest, ALeavingServerGetsNoNewWork) {
  RouteHost& leaving = deployment_.stock(0);
  ASSERT_EQ(leaving.backend->Report(false), kOk);
  ASSERT_EQ(leaving.backend->Report(true), kOk);
  // The store has to contain the leave before the node is killed.
  ASSERT_TRUE(bench::WaitFor(
      [&] { return deployment_.store().RowCount("sesamespread-left") > 0; },
      kTestTimeout));
  deployment_.KillNode(leaving);
  deployment_.StartNode(leaving);
  ASSERT_TRUE(bench::WaitFor([&] { return deployment_.IsReady(leaving); },
                             kTestTimeout));
  for (int i = 0; i < 20; ++i) {
    const auto result = deployment_.Send(deployment_.shop(), "stock.example",
                                         "s" + std::to_string(i));
    EXPECT_EQ(result.status, kOk);
  }
  EXPECT_TRUE(leaving.backend->executed_ids().empty());
}

// Guards against new work at a server whose leave was confirmed while the store
// refused writes: the restarted node receives the leave from a peer.
TEST_F(RouteNodeTest, ALeaveThatWasNotStoredSurvivesARestart) {
  RouteHost& leaving = deployment_.stock(0);
  ASSERT_EQ(leaving.backend->Report(false), kOk);
  deployment_.store().SetMode(Store::Mode::kRefusing);
  ASSERT_EQ(leaving.backend->Report(true), kOk);
  // The peers have received the leave once the shop's node no longer lists the
  // server.
  ASSERT_TRUE(bench::WaitFor(
      [&] {
        return deployment_.MetricOf(deployment_.shop(),
                                    "sesamespread_servers_available") == 2;
      },
      kTestTimeout));
  deployment_.KillNode(leaving);
  deployment_.store().SetMode(Store::Mode::kServing);
  deployment_.StartNode(leaving);
  ASSERT_TRUE(bench::WaitFor([&] { return deployment_.IsReady(leaving); },
                             kTestTimeout));
  for (int i = 0; i < 40; ++i)
    deployment_.Send(leaving, "stock.example", "s" + std::to_string(i));
  EXPECT_TRUE(leaving.backend->executed_ids().empty());
}

// Guards against a leave that was confirmed while the store refused writes and
// that all nodes have forgotten, because they were killed together: a late
// report made the server count as a new one, although its health check says
// that it leaves.
TEST_F(RouteNodeTest, ALateReportDoesNotUndoALeaveThatAllNodesHaveForgotten) {
  RouteHost& leaving = deployment_.stock(0);
  ASSERT_EQ(leaving.backend->Report(false), kOk);
  deployment_.store().SetMode(Store::Mode::kRefusing);
  ASSERT_EQ(leaving.backend->Report(true), kOk);
  leaving.backend->SetStatesLeaving();
  for (RouteHost& host : deployment_.hosts())
    deployment_.KillNode(host);
  deployment_.store().SetMode(Store::Mode::kServing);
  const state::Instant killed = transport::Now();
  for (RouteHost& host : deployment_.hosts())
    deployment_.StartNode(host);
  ASSERT_TRUE(bench::WaitFor(
      [&] { return leaving.backend->Report(false) == kOk; }, kTestTimeout));
  for (RouteHost& host : deployment_.hosts()) {
    ASSERT_TRUE(bench::WaitFor([&] { return deployment_.IsReady(host); },
                               kTestTimeout));
  }
  ASSERT_TRUE(bench::WaitFor(
      [&] {
        return deployment_.MetricOf(deployment_.shop(),
                                    "sesamespread_servers_available") >= 2;
      },
      kTestTimeout));
  for (int i = 0; i < 40; ++i)
    deployment_.Send(leaving, "stock.example", "k" + std::to_string(i));
  EXPECT_TRUE(leaving.backend->ExecutedAfter(killed).empty());
}

// Guards against a server that gets no work after a restart of its node because
// its health check fails: it goes on reporting.
TEST_F(RouteNodeTest, ASecondReportSufficesWithoutAHealthCheck) {
  RouteHost& host = deployment_.stock(0);
  deployment_.KillNode(host);
  host.backend->SetFailsHealthChecks();
  deployment_.StartNode(host);
  ASSERT_TRUE(bench::WaitFor([&] { return host.backend->Report(false) == kOk; },
                             kTestTimeout));
  EXPECT_TRUE(bench::WaitFor(
      [&] {
        host.backend->Report(false);
        return deployment_.MetricOf(host, "sesamespread_servers_available") ==
               3;
      },
      kTestTimeout));
}

// Guards against a confirmed leave that nobody but the confirming node has: the
// store and the peers are out of its reach, and it is killed afterwards.
TEST(RouteNodeLeaveTest, ALeaveWithoutAnyCopyIsNotConfirmed) {
  RouteDeployment deployment({{"shop", "stock", "stock"}, true});
  ASSERT_TRUE(deployment.WaitUntilServing());
  RouteHost& leaving = deployment.stock(0);
  ASSERT_EQ(leaving.backend->Report(false), kOk);
  bench::ProxyFault silent;
  silent.holds_requests = silent.holds_answers = true;
  for (RouteHost& host : deployment.hosts())
    host.peer_proxy->SetFault(silent);
  leaving.store_proxy->SetFault(silent);
  EXPECT_EQ(leaving.backend->Report(true), kUnavailable);
  deployment.KillNode(leaving);
  for (RouteHost& host : deployment.hosts())
    host.peer_proxy->SetFault({});
  leaving.store_proxy->SetFault({});
  deployment.StartNode(leaving);
  ASSERT_TRUE(bench::WaitFor([&] { return deployment.IsReady(leaving); },
                             kTestTimeout));
  // The server reports its leave until it is confirmed.
  ASSERT_TRUE(bench::WaitFor(
      [&] { return leaving.backend->Report(true) == kOk; }, kTestTimeout));
  EXPECT_GT(deployment.store().RowCount("sesamespread-left"), 0U);
  deployment.KillNode(leaving);
  deployment.StartNode(leaving);
  ASSERT_TRUE(bench::WaitFor([&] { return deployment.IsReady(leaving); },
                             kTestTimeout));
  const state::Instant restarted = transport::Now();
  for (int i = 0; i < 40; ++i)
    deployment.Send(leaving, "stock.example", "s" + std::to_string(i));
  EXPECT_TRUE(leaving.backend->ExecutedAfter(restarted).empty());
}

// Guards against a restarted node that asks one peer only for the leaves of its
// server: a peer that restarted after the leave knows of none.
TEST(RouteNodeLeaveTest, ALeaveIsFoundAlthoughAPeerHasRestartedToo) {
  RouteDeployment deployment({{"shop", "stock", "stock", "stock"}, true});
  ASSERT_TRUE(deployment.WaitUntilServing());
  RouteHost& leaving = deployment.stock(0);
  RouteHost& restarted_peer = deployment.stock(1);
  ASSERT_EQ(leaving.backend->Report(false), kOk);
  ASSERT_EQ(leaving.backend->Report(true), kOk);
  deployment.KillNode(leaving);
  deployment.KillNode(restarted_peer);
  deployment.StartNode(restarted_peer);
  ASSERT_TRUE(bench::WaitFor([&] { return deployment.IsReady(restarted_peer); },
                             kTestTimeout));
  // The leaving server's node can't reach the store, and it reaches the peer
  // that has restarted sooner than the others.
  bench::ProxyFault silent;
  silent.holds_requests = silent.holds_answers = true;
  leaving.store_proxy->SetFault(silent);
  for (RouteHost* host : {&deployment.shop(), &deployment.stock(2)})
    host->node->Signal(SIGSTOP);
  const state::Instant restarted = transport::Now();
  deployment.StartNode(leaving);
  ASSERT_TRUE(bench::WaitFor([&] { return deployment.IsReady(leaving); },
                             kTestTimeout));
  std::this_thread::sleep_for(milliseconds(500));
  for (RouteHost* host : {&deployment.shop(), &deployment.stock(2)})
    host->node->Signal(SIGCONT);
  std::this_thread::sleep_for(milliseconds(1000));
  for (int i = 0; i < 40; ++i)
    deployment.Send(leaving, "stock.example", "s" + std::to_string(i));
  EXPECT_TRUE(leaving.backend->ExecutedAfter(restarted).empty());
}

// Guards against a planned stop that fails a running request or exceeds the
// shutdown timeout.
TEST_F(RouteNodeTest, APlannedStopCompletesRunningRequests) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetServiceTime(milliseconds(1000));
  auto result = deployment_.SendAsync("orders.example", "o1");
  RouteHost* const stopped = deployment_.WaitForStockExecution("o1");
  ASSERT_NE(stopped, nullptr);
  stopped->node->Signal(SIGTERM);
  EXPECT_EQ(result.get().status, kOk);
  EXPECT_EQ(stopped->node->Wait(std::chrono::seconds(6)), 0);
  EXPECT_EQ(deployment_.CountStockExecutions("o1"), 1U);
}

// Guards against an order that starts at a server after its time budget, when
// its caller has its answer: its request waited in the socket of a node that
// was paused.
TEST_F(RouteNodeTest, AnOrderThatWaitedAtAPausedNodeDoesNotStart) {
  constexpr milliseconds kBudget{500};
  for (int i = 0; i < 10; ++i) {
    // The links have been used just now, so that the order is written to one.
    deployment_.Send(deployment_.shop(), "orders.example",
                     "w" + std::to_string(i));
  }
  for (std::size_t i : {0, 1})
    deployment_.stock(i).node->Signal(SIGSTOP);
  std::vector<std::future<bench::HttpResult>> orders;
  for (int i = 0; i < 10; ++i) {
    orders.push_back(std::async(std::launch::async, [this, i, kBudget] {
      return deployment_.Send(deployment_.shop(), "orders.example",
                              "o" + std::to_string(i), kBudget);
    }));
  }
  for (auto& order : orders)
    EXPECT_GE(order.get().status, 500);
  std::this_thread::sleep_for(milliseconds(1000));
  for (std::size_t i : {0, 1})
    deployment_.stock(i).node->Signal(SIGCONT);
  std::this_thread::sleep_for(milliseconds(500));
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(deployment_.CountStockExecutions("o" + std::to_string(i)), 0U);
}

// The same for a request of a caller at a paused entry node, with a caller that
// keeps its connection open.
TEST_F(RouteNodeTest, ARequestThatWaitedAtAPausedEntryNodeDoesNotStart) {
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  tcp::socket caller(context);
  RouteHost& entry = deployment_.stock(0);
  caller.connect(transport::ToTcpEndpoint(entry.entry));
  entry.node->Signal(SIGSTOP);
  const std::string request =
      "POST /item HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: o1\r\n"
      "X-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  std::this_thread::sleep_for(milliseconds(1500));
  entry.node->Signal(SIGCONT);
  std::string answer(4096, '\0');
  answer.resize(caller.read_some(boost::asio::buffer(answer)));
  EXPECT_EQ(answer.rfind("HTTP/1.1 503", 0), 0U) << answer;
  EXPECT_EQ(deployment_.CountStockExecutions("o1"), 0U);
}

// Guards against a node that replaces its routes by an older version from the
// store or from a peer.
TEST_F(RouteNodeTest, RoutesAreNeverReplacedByAnOlderVersion) {
  deployment_.PutRoutes(3, false);
  const auto is_withdrawn = [&](const RouteHost& host) {
    return deployment_.Send(host, "stock.example", "s1").status == kNotFound;
  };
  ASSERT_TRUE(bench::WaitFor([&] { return is_withdrawn(deployment_.shop()); },
                             kTestTimeout));
  deployment_.PutRoutes(2);
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_TRUE(is_withdrawn(deployment_.shop()));
  // A node that starts reads version 2 from the store and receives version 3
  // from its peers.
  RouteHost& restarted = deployment_.stock(0);
  deployment_.KillNode(restarted);
  deployment_.StartNode(restarted);
  ASSERT_TRUE(bench::WaitFor([&] { return deployment_.IsReady(restarted); },
                             kTestTimeout));
  EXPECT_TRUE(
      bench::WaitFor([&] { return is_withdrawn(restarted); }, kTestTimeout));
}

// Guards against old routes at a node that is cut off from all peers but
// reaches the store: other nodes read the store for it, and its idle links to
// them seem to be open.
TEST(RouteNodeStoreTest, NodesCutOffFromTheirPeersReadTheStore) {
  RouteDeployment deployment(
      {{"shop", "stock", "stock", "stock", "stock"}, true});
  ASSERT_TRUE(deployment.WaitUntilServing());
  bench::ProxyFault silent;
  silent.holds_requests = silent.holds_answers = true;
  for (RouteHost& host : deployment.hosts())
    host.peer_proxy->SetFault(silent);
  const state::Instant changed = transport::Now();
  deployment.PutRoutes(2);
  const bool in_force = bench::WaitFor(
      [&] {
        for (const RouteHost& host : deployment.hosts()) {
          if (deployment.MetricOf(host, "sesamespread_configuration_version") !=
              2)
            return false;
        }
        return true;
      },
      kTestTimeout);
  EXPECT_TRUE(in_force);
  // The users' bound for new routes.
  EXPECT_LT(transport::Now() - changed, std::chrono::seconds(2));
}

// Guards against a node that cannot start or serve while the store is down.
TEST_F(RouteNodeTest, ANodeStartsWhileTheStoreIsDown) {
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

// Guards against a server that is not used until its next report, because the
// only health check of its node at the start failed.
TEST_F(RouteNodeTest, AServerThatAnswersAfterTheFirstHealthCheckIsUsed) {
  RouteHost& restarted = deployment_.stock(0);
  deployment_.KillNode(restarted);
  restarted.backend.reset();
  deployment_.StartNode(restarted);
  ASSERT_TRUE(bench::WaitFor(
      [&] {
        return deployment_.MetricOf(restarted,
                                    "sesamespread_configuration_version") == 1;
      },
      kTestTimeout));
  deployment_.StartBackend(restarted, "i-1");
  EXPECT_TRUE(deployment_.WaitUntilServing());
}

// Guards against idle connections that block the requests of other connections.
TEST_F(RouteNodeTest, IdleConnectionsDoNotDelayOtherRequests) {
  using boost::asio::ip::tcp;
  constexpr int kConnections = 300;
  boost::asio::io_context context;
  std::vector<tcp::socket> silent;
  for (int i = 0; i < kConnections; ++i) {
    silent.emplace_back(context);
    silent.back().connect(transport::ToTcpEndpoint(deployment_.shop().entry));
    // Half of them send an incomplete request.
    if (i % 2 == 0)
      boost::asio::write(silent.back(),
                         boost::asio::buffer("GET /item HTTP/1.1\r\nHo", 22));
  }
  const auto start = steady_clock::now();
  EXPECT_EQ(deployment_.Send(deployment_.shop(), "stock.example", "s1").status,
            kOk);
  // A request takes a few milliseconds; the limit is the latency objective of
  // the route.
  EXPECT_LT(steady_clock::now() - start, milliseconds(1000));
}

// Guards against requests that fail at a hung server although another server
// could answer them in time.
TEST_F(RouteNodeTest, RequestsAtAHungServerAreAnsweredByAnother) {
  constexpr milliseconds kBudget{1500};
  // The node needs this many answers to estimate their latency.
  std::string last_id;
  for (int i = 0; i < 40; ++i) {
    last_id = "w" + std::to_string(i);
    deployment_.Send(deployment_.shop(), "stock.example", last_id);
  }
  // The server that the node prefers if there is one request at a time. One
  // slow answer changes it, so that earlier requests may have gone to the other
  // one.
  const bool prefers_first =
      deployment_.stock(0).backend->CountExecutions(last_id) > 0;
  Backend& hung = *deployment_.stock(prefers_first ? 0 : 1).backend;
  const std::string healthy_prefix = prefers_first ? "i-2/" : "i-1/";
  hung.SetFault(Backend::Fault::kHangs);
  bool was_used = false;
  for (int i = 0; i < 30 && !was_used; ++i) {
    const std::string id = "s" + std::to_string(i);
    const auto start = steady_clock::now();
    const auto result =
        deployment_.Send(deployment_.shop(), "stock.example", id, kBudget);
    was_used = hung.CountExecutions(id) > 0;
    EXPECT_EQ(result.status, kOk);
    EXPECT_EQ(FieldOf(result, "X-Response-Seal"), healthy_prefix + id);
    // The latency objective of the route.
    EXPECT_LT(steady_clock::now() - start, milliseconds(1000));
    EXPECT_LE(deployment_.CountStockExecutions(id), 2U);
  }
  EXPECT_TRUE(was_used);
}

// Guards against a second execution of an order whose server does not answer,
// and against an answer after the caller's deadline.
TEST_F(RouteNodeTest, AnOrderAtAHungServerRunsOnce) {
  for (std::size_t i : {0, 1})
    deployment_.stock(i).backend->SetFault(Backend::Fault::kHangs);
  const auto start = steady_clock::now();
  const auto result = deployment_.Send(deployment_.shop(), "orders.example",
                                       "o1", milliseconds(600));
  EXPECT_EQ(result.status, 504);
  EXPECT_LT(steady_clock::now() - start, milliseconds(600 + 500));
  EXPECT_EQ(deployment_.CountStockExecutions("o1"), 1U);
}

// Guards against a log whose full output pipe blocks requests: this test does
// not read the pipe that is the node's standard output.
TEST_F(RouteNodeTest, ABlockedLogPipeDoesNotDelayRequests) {
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
