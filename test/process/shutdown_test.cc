/// \file
/// Graceful shutdown of a node: requests in flight complete, and a second
/// signal stops the node immediately.
#include <signal.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "process_test.h"

namespace sesamespread::test {
namespace {

constexpr std::size_t kPlanBytes = 8 << 20;
constexpr char kPlanRequest[] =
    "GET /stock/plan?bytes=8388608 HTTP/1.1\r\nHost: node\r\n\r\n";
constexpr char kOrderRequest[] =
    "POST /orders/new HTTP/1.1\r\nHost: node\r\nContent-Length: 2\r\n\r\nok";
constexpr char kStockRequest[] =
    "GET /stock/levels HTTP/1.1\r\nHost: node\r\n\r\n";

// \returns the number of bytes after the header of an answer.
std::size_t BodyBytes(const std::string& answer) {
  const std::size_t end = answer.find("\r\n\r\n");
  return end == std::string::npos ? 0 : answer.size() - end - 4;
}

// Guards against an answer that is truncated while a slow reader receives it,
// and a request that loses its answer, when the node is stopped.
TEST_F(ProcessTest, ShutdownWaitsForSlowReaderAndSlowRequest) {
  for (std::size_t i = 0; i < 2; ++i)
    bench::Cluster::ControlBackend(orders(i), R"({"slow_factor": 1000})");
  RawConnection reader(orders(0).ports.caller, 4096);
  reader.Send(kPlanRequest);
  ASSERT_GE(reader.ReadUpTo(64 << 10).size(), std::size_t{64 << 10});
  RawConnection slow(orders(0).ports.caller);
  slow.Send(kOrderRequest);
  ASSERT_TRUE(bench::WaitFor(
      [&] {
        return StatOf(orders(0), "in_progress") +
                   StatOf(orders(1), "in_progress") ==
               1;
      },
      kTestTimeout));

  orders(0).node->Signal(SIGTERM);
  ASSERT_TRUE(
      bench::WaitFor([&] { return IsStopping(orders(0)); }, kTestTimeout));
  const std::string& answer = slow.ReadAll();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_NE(answer.find("orders "), std::string::npos) << answer;
  // Only the answer to the slow reader is in flight; the node must wait for it.
  EXPECT_EQ(orders(0).node->Wait(std::chrono::milliseconds(1500)), -1);
  const std::string& plan = reader.ReadAll();
  EXPECT_TRUE(plan.starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(BodyBytes(plan), kPlanBytes);
  EXPECT_EQ(orders(0).node->Wait(kTestTimeout), 0);
}

// Guards against a second signal that is ignored, or after which callers get no
// final answers.
TEST_F(ProcessTest, SecondSigtermStopsTheNodeImmediately) {
  for (std::size_t i = 0; i < 2; ++i)
    bench::Cluster::ControlBackend(stock(i), R"({"fail": "hang"})");
  RawConnection remote(orders(0).ports.caller);
  remote.Send(kStockRequest);
  RawConnection local(stock(0).ports.caller);
  local.Send(kStockRequest);
  ASSERT_TRUE(
      bench::WaitFor([&] { return CountStarted("stock") == 2; }, kTestTimeout));
  for (bench::Host* host : {&orders(0), &stock(0)}) {
    host->node->Signal(SIGTERM);
    ASSERT_TRUE(
        bench::WaitFor([&] { return IsStopping(*host); }, kTestTimeout));
    host->node->Signal(SIGTERM);
    EXPECT_EQ(host->node->Wait(std::chrono::seconds(3)), 9);
  }
  for (RawConnection* connection : {&remote, &local}) {
    const std::string& answer = connection->ReadAll();
    EXPECT_NE(answer.find("\"run_state\":\"unknown\""), std::string::npos)
        << answer;
  }
}

// Guards against data races, leaks and uses of destroyed objects under load, at
// a drain and at a stop. A sanitizer build writes a report to the node's log
// and exits with another code if it detects one.
TEST_F(ProcessTest, LoadDrainAndStopCauseNoSanitizerReport) {
  const std::string scenario = cluster_->directory() + "/test.load.yaml";
  std::ofstream(scenario)
      << "duration: 5s\nkinds:\n"
         "  - {name: orders, method: POST, path: /orders/new, share: 2,"
         " timeout: 5s, key: issued, body_bytes: 256, repeats: 2,"
         " patience: 800ms, after_refusal: wait}\n"
         "  - {name: own, method: POST, path: /orders/own, share: 1,"
         " timeout: 5s, key: own, body_bytes: 64}\n"
         "  - {name: browsing, path: /stock/levels, share: 3, timeout: 5s}\n"
         "  - {name: plans, path: \"/stock/plan?bytes=300000\", share: 1,"
         " timeout: 5s}\n"
         "phases:\n  - {rate: 100}\n";
  const bench::ProgramResult load = cluster_->RunVerb(
      {"load", "--scenario", scenario, "--target", cluster_->CallerTargets()});
  EXPECT_EQ(load.exit_code, 0) << load.output;

  transport::HttpRequest drain;
  drain.method = "POST";
  drain.target = "/v1/drain";
  drain.headers = {{"Authorization", "Bearer bench-token"}};
  EXPECT_EQ(bench::Fetch(stock(1).ports.operators, drain).status, 202);
  EXPECT_EQ(stock(1).node->Wait(kTestTimeout), 0);
  EXPECT_EQ(Order(orders(0)).status, 200);
  for (bench::Host* host : {&orders(0), &orders(1), &stock(0)})
    EXPECT_EQ(StopNode(*host), 0) << host->name;
  for (const bench::Host& host : cluster_->hosts()) {
    const std::filesystem::path log =
        std::filesystem::path(cluster_->directory()) / (host.name + ".log");
    std::stringstream text;
    text << std::ifstream(log).rdbuf();
    EXPECT_EQ(text.str().find("Sanitizer"), std::string::npos) << text.str();
    EXPECT_EQ(text.str().find("runtime error"), std::string::npos)
        << text.str();
  }
}

}  // namespace
}  // namespace sesamespread::test
