/// \file
/// Orders through real processes: complete answers, at-most-once execution, and
/// the behaviour while the platform or the key's executor is unavailable.
#include <signal.h>

#include <atomic>
#include <thread>

#include "process_test.h"
#include "sesamespread/protocol/codec.h"
#include "sesamespread/state/ids.h"

namespace sesamespread::test {
namespace {

// The end of the stand-in's answer to an order with \p body: the digest of the
// body, the requested size and the path.
std::string ExpectedAnswerEnd(const std::string& body) {
  return " " + state::ToHex(protocol::DigestOf(body)) + " 0 /new\n";
}

// Guards against answers that are truncated, belong to another request or do
// not come from the backend server.
TEST_F(ProcessTest, OrderGetsItsCompleteAnswer) {
  for (int i = 0; i < 20; ++i) {
    const std::string body = "order " + std::to_string(i);
    const bench::HttpResult result = Order(orders(i % 2), "", body);
    ASSERT_EQ(result.status, 200) << result.body;
    EXPECT_EQ(ResultOf(result), 100);
    EXPECT_TRUE(result.body.starts_with("orders ")) << result.body;
    EXPECT_TRUE(result.body.ends_with(ExpectedAnswerEnd(body))) << result.body;
  }
  // Each order makes one sub-call.
  EXPECT_EQ(CountStarted("orders"), 20);
  EXPECT_EQ(CountStarted("stock"), 20);
}

// Guards against a second execution if the caller repeats an order at another
// node.
TEST_F(ProcessTest, RepeatAtAnotherNodeGetsTheFirstAnswer) {
  const std::string key = IssueKeyBoundTo(orders(0));
  const bench::HttpResult first = Order(orders(0), key);
  ASSERT_EQ(first.status, 200) << first.body;
  EXPECT_EQ(ResultOf(first), 100);
  for (bench::Host* host : {&orders(1), &stock(0), &stock(1)}) {
    const bench::HttpResult repeat = Order(*host, key);
    EXPECT_EQ(repeat.status, 200) << repeat.body;
    EXPECT_EQ(ResultOf(repeat), 101);
    EXPECT_EQ(repeat.body, first.body);
  }
  EXPECT_EQ(CountExecutions(key), 1U);
  EXPECT_EQ(CountStarted("orders"), 1);
  // A different order with the same key must not get the answer of the first.
  const bench::HttpResult other = Order(orders(1), key, "a hundred frames");
  EXPECT_EQ(ResultOf(other), 404) << other.body;
  EXPECT_EQ(CountStarted("orders"), 1);
}

// Guards against an order that runs at another node after the node of its key,
// which may have run it, was killed, and against a false `not_run` for it.
TEST_F(ProcessTest, KeyOfKilledNodeIsUnknownAndDoesNotRun) {
  const std::string key = IssueKeyBoundTo(orders(1));
  const std::string second_key = IssueKeyBoundTo(orders(1));
  orders(1).node->Signal(SIGKILL);
  ASSERT_EQ(orders(1).node->Wait(kTestTimeout), 128 + SIGKILL);
  orders(1).node.reset();
  // Sent only once, since each repeat consumes one unit of the order's
  // allotment.
  const bench::HttpResult after_kill = Order(orders(0), key);
  EXPECT_NE(after_kill.status, 200) << after_kill.body;
  EXPECT_EQ(RunStateOf(after_kill), "unknown") << after_kill.body;
  // A new incarnation of the node is not the key's executor either.
  cluster_->StartNode(orders(1));
  ASSERT_TRUE(cluster_->WaitReady(4, kTestTimeout));
  for (bench::Host* host : {&orders(0), &orders(1)}) {
    const bench::HttpResult result = Order(*host, second_key);
    EXPECT_EQ(ResultOf(result), 305) << result.body;
    EXPECT_EQ(RunStateOf(result), "unknown");
  }
  EXPECT_EQ(CountStarted("orders"), 0);
}

// Guards against an order that runs although its key is not bound to an
// executor.
TEST_F(ProcessTest, CallerChosenKeyIsRefusedWhileThePlatformIsDown) {
  const bench::HttpResult before = Order(orders(0), "own-1");
  EXPECT_EQ(before.status, 200) << before.body;
  cluster_->ControlPlatform(R"({"mode": "down"})");
  const bench::HttpResult refused = Order(orders(0), "own-2");
  EXPECT_EQ(ResultOf(refused), 206) << refused.body;
  EXPECT_EQ(RunStateOf(refused), "unknown");
  EXPECT_FALSE(transport::FieldOf(refused.headers, "Retry-After").empty());
  EXPECT_EQ(CountStarted("orders"), 1);
  // Issued keys do not need the platform.
  EXPECT_EQ(Order(orders(0), IssueKeyBoundTo(orders(1))).status, 200);
  cluster_->ControlPlatform(R"({"mode": "up"})");
  EXPECT_TRUE(bench::WaitFor(
      [&] { return Order(orders(1), "own-2").status == 200; }, kTestTimeout));
  EXPECT_EQ(ResultOf(Order(orders(0), "own-2")), 101);
  EXPECT_EQ(CountStarted("orders"), 3);
}

// Guards against a node that cannot start during an outage of the platform.
TEST_F(ProcessTest, NodeStartsFromPeersWhileThePlatformIsDown) {
  cluster_->ControlPlatform(R"({"mode": "down"})");
  ASSERT_EQ(StopNode(orders(1)), 0);
  cluster_->StartNode(orders(1));
  ASSERT_TRUE(cluster_->WaitReady(4, kTestTimeout));
  const bench::HttpResult status =
      bench::Cluster::GetFromOperatorPort(orders(1), "/v1/status");
  EXPECT_EQ(bench::JsonNumber(status.body, "configuration_version"), 1);
  EXPECT_EQ(Order(orders(1)).status, 200);
}

// Guards against new work at a leaving server if nodes receive the leave from
// each other only, since the platform is down.
TEST_F(ProcessTest, LeavingServerGetsNoNewWorkWithoutThePlatform) {
  cluster_->ControlPlatform(R"({"mode": "down"})");
  std::atomic<bool> stop{false};
  std::atomic<int> sent{0};
  std::atomic<int> failed{0};
  std::thread load([&] {
    for (std::size_t i = 0; !stop; ++i) {
      const auto result =
          bench::Get(orders(i % 2).ports.caller, "/stock/levels");
      ++sent;
      failed += result.status == 200 ? 0 : 1;
    }
  });
  EXPECT_TRUE(bench::WaitFor([&] { return StatOf(stock(0), "started") > 20; },
                             kTestTimeout));
  const auto left_at = std::chrono::steady_clock::now();
  EXPECT_EQ(bench::Post(stock(0).ports.backend, "/-/leave", "").status, 200);
  EXPECT_TRUE(bench::WaitFor(
      [&] {
        return std::chrono::steady_clock::now() - left_at >=
               std::chrono::seconds(3);
      },
      kTestTimeout));
  const double started = StatOf(stock(0), "started");
  const int sent_before = sent;
  EXPECT_TRUE(
      bench::WaitFor([&] { return sent > sent_before + 300; }, kTestTimeout));
  EXPECT_EQ(StatOf(stock(0), "started"), started);
  stop = true;
  load.join();
  EXPECT_EQ(failed, 0) << "of " << sent;
}

}  // namespace
}  // namespace sesamespread::test
