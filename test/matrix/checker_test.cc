/// \file
/// Tests that the checker reports a violation if a mechanism is disabled or an
/// answer is falsified.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "harness/http.h"
#include "matrix_deployment.h"

namespace sesamespread::matrix {
namespace {

using bench::Answer;
using bench::CallerRequest;

// Guards against a checker that misses an order that ran twice: sending one
// order with two issued keys bypasses at-most-once execution.
TEST(CheckerTest, ReportsOrderThatRanTwice) {
  MatrixDeployment deployment;
  const std::uint16_t port = deployment.cluster().hosts()[2].ports.caller;
  CallerRequest order = deployment.Order(bench::IssueKey(port, "orders"));
  std::vector<Answer> answers = {bench::Send(port, order)};
  std::vector<bench::StartedRequest> started =
      bench::ReadJournals(deployment.cluster());
  ASSERT_EQ(answers[0].status, 200);
  EXPECT_TRUE(bench::CheckAll(answers, started, {}).empty());
  order.key = bench::IssueKey(port, "orders");
  answers.push_back(bench::Send(port, order));
  started = bench::ReadJournals(deployment.cluster());
  EXPECT_FALSE(bench::CheckAtMostOnce(answers, started).empty());

  // Guards against a checker that accepts `not_run` without comparing it with
  // the journals.
  for (Answer& answer : answers)
    answer.not_run = true;
  EXPECT_FALSE(bench::CheckNotRun(answers, started).empty());

  // Guards against a checker that accepts the answer of another request or a
  // truncated answer.
  Answer other = answers[0];
  other.request.trace_id = bench::NewTraceId();
  EXPECT_FALSE(bench::CheckAnswers({other}).empty());
  Answer shortened = answers[0];
  shortened.body.pop_back();
  EXPECT_FALSE(bench::CheckAnswers({shortened}).empty());
}

// Guards against a node that forwards a truncated answer as complete: the
// stand-in announces more bytes than it sends.
TEST(CheckerTest, TruncatedAnswerIsAnError) {
  MatrixDeployment deployment;
  for (const bench::Host* host : deployment.cluster().HostsOf("ledger"))
    bench::Cluster::ControlBackend(*host, R"({"fail":"truncate"})");
  CallerRequest request = deployment.Order("");
  request.service = "ledger";
  const Answer answer =
      bench::Send(deployment.cluster().hosts()[0].ports.caller, request);
  EXPECT_NE(answer.status, 200);
  EXPECT_FALSE(answer.not_run);
  EXPECT_FALSE(bench::ReadJournals(deployment.cluster()).empty());
}

// Guards against a checker that does not count the retries of a backend server
// that drops the headers: the node sees each of them as a new trace.
TEST(CheckerTest, ReportsRetriesOfBackendServer) {
  MatrixDeployment deployment("adaptive",
                              {"--drop-headers", "--call-retries", "6"});
  for (const bench::Host* host : deployment.cluster().HostsOf("inventory"))
    bench::Cluster::ControlBackend(*host, R"({"fail":"500"})");
  const Answer answer = bench::Send(
      deployment.cluster().hosts()[2].ports.caller, deployment.Order(""));
  std::vector<bench::StartedRequest> started =
      bench::ReadJournals(deployment.cluster());
  // Only one request was sent, so all executions belong to it.
  for (bench::StartedRequest& one : started)
    one.trace_id = answer.request.trace_id;
  EXPECT_FALSE(bench::CheckAttempts({answer}, started, {}).empty());
}

// Sets the time of the last browse request that each `prices` server started to
// the time of the last start at any of them. All servers then admit browsing at
// that time, regardless of how their processes were scheduled. Returns that
// time, or 0 if a server started no browse request.
std::int64_t AlignLastBrowseStarts(
    const std::vector<Answer>& answers,
    std::vector<bench::StartedRequest>* started) {
  std::set<std::string> browsing;
  for (const Answer& answer : answers) {
    if (!answer.request.is_order)
      browsing.insert(answer.request.trace_id);
  }
  std::int64_t last = 0;
  std::map<std::string, bench::StartedRequest*> last_browses;
  for (bench::StartedRequest& one : *started) {
    if (one.service != "prices")
      continue;
    last = std::max(last, one.time);
    bench::StartedRequest*& browse = last_browses[one.host];
    if (browsing.contains(one.trace_id) &&
        (browse == nullptr || one.time > browse->time))
      browse = &one;
  }
  for (const auto& [host, browse] : last_browses) {
    if (browse == nullptr)
      return 0;
    browse->time = last;
  }
  return last;
}

// Guards against a checker that misses orders shed before browsing. With
// `admission: none` the servers admit both alike. The test marks the orders
// that failed as refused, as if they had been shed in order of arrival.
TEST(CheckerTest, ReportsOrderShedWhileBrowsingWasAdmitted) {
  MatrixDeployment deployment("none");
  // One entry host in each zone, since requests stay in their zone if possible.
  // With a single entry, the `prices` server of the other zone might start one
  // order and no browse request, which fails the test.
  const std::vector<bench::Host*> entries =
      deployment.cluster().HostsOf("ledger");
  for (const bench::Host* host : deployment.cluster().HostsOf("prices"))
    bench::Cluster::ControlBackend(*host, R"({"slow_factor":4.0})");
  // More requests than 8 slots serve within the 800 ms of an order, so that
  // some orders fail.
  for (std::size_t i = 0; i < 160; ++i) {
    deployment.SendAsync(
        entries[i / 8 % entries.size()]->ports.caller,
        i % 8 == 0 ? deployment.Order("") : deployment.Browse());
  }
  std::vector<Answer> answers = deployment.JoinRequests();
  std::vector<bench::StartedRequest> started =
      bench::ReadJournals(deployment.cluster());
  EXPECT_TRUE(bench::CheckShedding(answers, started, {}).empty());
  const std::int64_t refused_at = AlignLastBrowseStarts(answers, &started);
  ASSERT_GT(refused_at, 0);
  int failed = 0;
  for (Answer& answer : answers) {
    if (!answer.request.is_order || answer.status == 200)
      continue;
    ++failed;
    answer.result = 201;
    answer.ended = refused_at;
  }
  ASSERT_GT(failed, 0);
  EXPECT_FALSE(bench::CheckShedding(answers, started, {}).empty());
}

// The check counts a browse request that was admitted, however long before, if
// its entry node refused none after it, and does not count it if it did.
TEST(CheckerTest, AdmittedBrowsingDoesNotCountOnceBrowsingIsRefused) {
  Answer browse;
  browse.request.trace_id = "b1";
  browse.status = 200;
  browse.sent = 100'000;
  browse.ended = 190'000;
  browse.entry = 1;
  Answer refused = browse;
  refused.request.trace_id = "b2";
  refused.status = 503;
  refused.result = 200;
  refused.sent = 130'000;
  refused.ended = 131'000;
  Answer order = refused;
  order.request.trace_id = "o1";
  order.request.is_order = true;
  order.sent = 150'000;
  order.ended = 151'000;
  bench::StartedRequest start;
  start.time = 120'000;
  start.host = "prices-1";
  start.service = "prices";
  start.trace_id = "b1";
  EXPECT_EQ(bench::CheckShedding({browse, order}, {start}, {}).size(), 1U);
  EXPECT_TRUE(
      bench::CheckShedding({browse, refused, order}, {start}, {}).empty());
  // A refusal at another entry node, or before the admission, excuses nothing.
  refused.entry = 2;
  EXPECT_EQ(bench::CheckShedding({browse, refused, order}, {start}, {}).size(),
            1U);
  refused.entry = 1;
  refused.sent = 90'000;
  EXPECT_EQ(bench::CheckShedding({browse, refused, order}, {start}, {}).size(),
            1U);
}

}  // namespace
}  // namespace sesamespread::matrix
