/// \file
/// Proves that the checker reports a violation where a mechanism is off.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "harness/http.h"
#include "world.h"

namespace sesamespread::matrix {
namespace {

using bench::Answer;
using bench::CallerRequest;

// Guards against a checker that does not see an order that ran twice: two
// issued keys are the same as no at-most-once execution.
TEST(CheckerTest, ReportsOrderThatRanTwice) {
  World world;
  const std::uint16_t port = world.cluster().hosts()[2].ports.caller;
  CallerRequest order = world.Order(bench::IssueKey(port, "orders"));
  std::vector<Answer> answers = {bench::Send(port, order)};
  std::vector<bench::StartedRequest> started =
      bench::ReadJournals(world.cluster());
  ASSERT_EQ(answers[0].status, 200);
  EXPECT_TRUE(bench::CheckAll(answers, started, {}).empty());
  order.key = bench::IssueKey(port, "orders");
  answers.push_back(bench::Send(port, order));
  started = bench::ReadJournals(world.cluster());
  EXPECT_FALSE(bench::CheckAtMostOnce(answers, started).empty());

  // Guards against a checker that believes an answer: the same order with a
  // forged `not_run`.
  for (Answer& answer : answers)
    answer.not_run = true;
  EXPECT_FALSE(bench::CheckNotRun(answers, started).empty());

  // Guards against a checker that takes another request's answer as whole.
  Answer other = answers[0];
  other.request.trace_id = bench::NewTraceId();
  EXPECT_FALSE(bench::CheckAnswers({other}).empty());
  Answer shortened = answers[0];
  shortened.body.pop_back();
  EXPECT_FALSE(bench::CheckAnswers({shortened}).empty());
}

// Guards against a product that passes on a truncated answer as complete: the
// stand-in announces more bytes than it sends.
TEST(CheckerTest, TruncatedAnswerIsAnError) {
  World world;
  for (const bench::Host* host : world.cluster().HostsOf("ledger"))
    bench::Cluster::ControlBackend(*host, R"({"fail":"truncate"})");
  CallerRequest request = world.Order("");
  request.service = "ledger";
  const Answer answer =
      bench::Send(world.cluster().hosts()[0].ports.caller, request);
  EXPECT_NE(answer.status, 200);
  EXPECT_FALSE(answer.not_run);
  EXPECT_FALSE(bench::ReadJournals(world.cluster()).empty());
}

// Guards against a checker that does not count the repeats of a backend server
// that drops the headers: each of its repeats is a new trace to the node.
TEST(CheckerTest, ReportsRetriesOfBackendServer) {
  World world("adaptive", {"--drop-headers", "--call-retries", "6"});
  for (const bench::Host* host : world.cluster().HostsOf("inventory"))
    bench::Cluster::ControlBackend(*host, R"({"fail":"500"})");
  const Answer answer =
      bench::Send(world.cluster().hosts()[2].ports.caller, world.Order(""));
  std::vector<bench::StartedRequest> started =
      bench::ReadJournals(world.cluster());
  // The only request: whatever ran belongs to it.
  for (bench::StartedRequest& one : started)
    one.trace_id = answer.request.trace_id;
  EXPECT_FALSE(bench::CheckAttempts({answer}, started, {}).empty());
}

// Moves the last start of browsing at each `prices` server to the last start
// of all, so that all servers admit browsing at that moment however the servers
// were scheduled. Returns the moment, or 0 if a server started no browsing.
std::int64_t LetAllStartBrowsing(const std::vector<Answer>& answers,
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

// Guards against a checker that does not see orders shed before browsing. With
// `admission: none` the servers take browsing and orders alike; an order that
// failed there counts as refused, as if it had been shed in order of arrival.
TEST(CheckerTest, ReportsOrderShedWhileBrowsingWasAdmitted) {
  World world("none");
  // One host in each zone: requests stay in their zone while they can, and a
  // server that starts nothing but one order of another zone fails the test.
  const std::vector<bench::Host*> entries = world.cluster().HostsOf("ledger");
  for (const bench::Host* host : world.cluster().HostsOf("prices"))
    bench::Cluster::ControlBackend(*host, R"({"slow_factor":4.0})");
  // More than 8 slots serve in an order's 800 ms, so that orders fail too.
  for (std::size_t i = 0; i < 160; ++i) {
    world.SendLater(entries[i / 8 % entries.size()]->ports.caller,
                    i % 8 == 0 ? world.Order("") : world.Browse());
  }
  std::vector<Answer> answers = world.JoinRequests();
  std::vector<bench::StartedRequest> started =
      bench::ReadJournals(world.cluster());
  EXPECT_TRUE(bench::CheckShedding(answers, started, {}).empty());
  const std::int64_t refused_at = LetAllStartBrowsing(answers, &started);
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

}  // namespace
}  // namespace sesamespread::matrix
