/// \file
/// Guards against orders that run twice or lose their answer, and against
/// `not_run` for requests that ran.
#include "sesamespread/transport/local_executor.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>

#include "call_fakes.h"
#include "sesamespread/protocol/http_fields.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

using state::ResultCode;
using state::RunState;

constexpr state::NodeIncarnation kSelf{1, 11};

class LocalExecutorTest : public ::testing::Test {
 protected:
  LocalExecutorTest()
      : server_(context_,
                {"127.0.0.1", 0},
                HttpServerOptions(),
                [this](std::shared_ptr<HttpExchange> exchange) {
                  ++received_;
                  at_server_.push_back(std::move(exchange));
                }) {
    executor_.SetConfiguration(TestConfiguration());
    executor_.SetBackend(OneSlot());
  }

  BackendInfo OneSlot() const {
    BackendInfo backend;
    backend.service = "orders";
    backend.endpoint = {"127.0.0.1", server_.port()};
    backend.slots = 1;
    backend.connections = 4;
    return backend;
  }

  static std::string NewKey() {
    static std::uint64_t next = 1;
    coordination::KeyBinding key;
    key.executor = kSelf;
    key.issued_ms =
        state::WallMilliseconds(std::chrono::time_point_cast<state::Duration>(
            std::chrono::system_clock::now()));
    key.random = next++;
    return coordination::FormatKey(key);
  }

  // Its answer appears in answers_[name].
  LocalExecutor::Handle Execute(const std::string& name,
                                const std::string& key = "") {
    protocol::CallRequest request;
    request.request_id = {1, ++next_id_};
    request.service = "orders";
    request.method = "POST";
    request.path = "/new";
    request.body = "ten frames";
    request.importance = state::Importance::kCritical;
    request.idempotency_key = key;
    request.allotment = 3;
    return executor_.Execute(std::move(request),
                             FromNow(std::chrono::seconds(15)),
                             [this, name](protocol::CallAnswer answer) {
                               EXPECT_EQ(answers_.count(name), 0U) << name;
                               answers_[name] = std::move(answer);
                             });
  }

  bool WaitForServer(std::size_t requests) {
    return RunUntil(context_, [&] { return received_ >= requests; });
  }
  bool WaitForAnswer(const std::string& name) {
    return RunUntil(context_, [&] { return answers_.count(name) > 0; });
  }

  // The backend server answers its oldest request.
  void Answer(std::uint16_t status,
              const std::string& body,
              std::vector<protocol::Header> headers = {}) {
    ASSERT_FALSE(at_server_.empty());
    at_server_.front()->Respond({status, std::move(headers), body});
    at_server_.pop_front();
  }

  coordination::Ticket TicketAtServer() const {
    return protocol::ParseTicket(FieldOf(at_server_.front()->request().headers,
                                         protocol::kBaggageField))
        .value_or(0);
  }

  boost::asio::io_context context_{1};
  DeadlineQueue deadlines_{context_};
  Metrics metrics_;
  std::deque<std::shared_ptr<HttpExchange>> at_server_;
  std::size_t received_ = 0;
  HttpServer server_;
  LocalExecutor executor_{
      context_, deadlines_,
      kSelf,    coordination::AdmissionPolicy::kFixedLimit,
      metrics_, [] {
                            return std::vector<protocol::ServiceThreshold>(); }};
  std::map<std::string, protocol::CallAnswer> answers_;
  std::uint64_t next_id_ = 0;
};

// A key whose request was cancelled before its start must not block the order.
TEST_F(LocalExecutorTest, CancelOfQueuedCallFreesItsKey) {
  const std::string key = NewKey();
  Execute("first");
  ASSERT_TRUE(WaitForServer(1));
  executor_.Cancel(Execute("cancelled", key));
  ASSERT_TRUE(
      RunUntil(context_, [this] { return executor_.in_flight() == 1; }));
  Execute("repeat", key);
  Answer(200, "one");
  ASSERT_TRUE(WaitForServer(2));
  Answer(200, "two");
  ASSERT_TRUE(WaitForAnswer("repeat"));
  EXPECT_EQ(answers_["repeat"].result, ResultCode::kOk);
  EXPECT_EQ(answers_["repeat"].body, "two");
  EXPECT_EQ(answers_.count("cancelled"), 0U);
  EXPECT_EQ(received_, 2U);
}

// The caller that went away repeats its order and must not order twice.
TEST_F(LocalExecutorTest, KeyedRunSurvivesItsCallersLeave) {
  const std::string key = NewKey();
  const auto handle = Execute("first", key);
  ASSERT_TRUE(WaitForServer(1));
  executor_.Cancel(handle);
  Answer(200, "one");
  ASSERT_TRUE(
      RunUntil(context_, [this] { return executor_.in_flight() == 0; }));
  Execute("repeat", key);
  ASSERT_TRUE(WaitForAnswer("repeat"));
  EXPECT_EQ(answers_["repeat"].result, ResultCode::kReplayed);
  EXPECT_EQ(answers_["repeat"].body, "one");
  EXPECT_EQ(answers_.count("first"), 0U);
  EXPECT_EQ(received_, 1U);
}

// Without a key nobody can fetch the answer; the work would be wasted.
TEST_F(LocalExecutorTest, RunWithoutKeyEndsWithItsCaller) {
  const auto handle = Execute("first");
  ASSERT_TRUE(WaitForServer(1));
  bool abandoned = false;
  at_server_.front()->OnAbandoned([&abandoned] { abandoned = true; });
  executor_.Cancel(handle);
  EXPECT_TRUE(RunUntil(context_, [&abandoned] { return abandoned; }));
  EXPECT_TRUE(answers_.empty());
}

// Impatient callers repeat while the order runs.
TEST_F(LocalExecutorTest, AttachedRepeatsGetTheFirstAnswer) {
  const std::string key = NewKey();
  Execute("first", key);
  Execute("second", key);
  Execute("third", key);
  ASSERT_TRUE(WaitForServer(1));
  Answer(200, "one");
  ASSERT_TRUE(WaitForAnswer("third"));
  ASSERT_TRUE(WaitForAnswer("second"));
  EXPECT_EQ(answers_["first"].result, ResultCode::kOk);
  for (const char* name : {"second", "third"}) {
    EXPECT_EQ(answers_[name].result, ResultCode::kReplayed);
    EXPECT_EQ(answers_[name].body, "one");
    EXPECT_EQ(answers_[name].run_state, RunState::kRan);
    EXPECT_EQ(answers_[name].unused_allotment, 3U);
  }
  EXPECT_NE(answers_["second"].request_id, answers_["first"].request_id);
  EXPECT_EQ(received_, 1U);
}

// A backend server that made sub-calls has run something, whatever it says.
TEST_F(LocalExecutorTest, RefusalAfterSubCallsIsNotReportedAsNotRun) {
  const std::vector<protocol::Header> not_run = {
      {std::string(protocol::kNotRunField), "1"}};
  Execute("with");
  ASSERT_TRUE(WaitForServer(1));
  const coordination::Ticket ticket = TicketAtServer();
  ASSERT_NE(ticket, 0U);
  executor_.OnSubCallStarted(ticket);
  executor_.OnSubCallEnded(ticket);
  Answer(503, "refused", not_run);
  ASSERT_TRUE(WaitForAnswer("with"));
  EXPECT_EQ(answers_["with"].result, ResultCode::kBackendRefused);
  EXPECT_EQ(answers_["with"].run_state, RunState::kRan);

  Execute("without");
  ASSERT_TRUE(WaitForServer(2));
  Answer(503, "refused", not_run);
  ASSERT_TRUE(WaitForAnswer("without"));
  EXPECT_EQ(answers_["without"].run_state, RunState::kNotRun);
  EXPECT_EQ(answers_["without"].unused_allotment, 3U);
}

// An order that ran must not be reported as not run to its repeat because the
// backend server is gone since.
TEST_F(LocalExecutorTest, RepeatAfterTheBackendServerIsGoneGetsTheAnswer) {
  const std::string key = NewKey();
  Execute("first", key);
  ASSERT_TRUE(WaitForServer(1));
  Answer(200, "one");
  ASSERT_TRUE(WaitForAnswer("first"));
  executor_.SetBackend(std::nullopt);
  Execute("repeat", key);
  ASSERT_TRUE(WaitForAnswer("repeat"));
  EXPECT_EQ(answers_["repeat"].result, ResultCode::kReplayed);
  EXPECT_EQ(answers_["repeat"].body, "one");
  // A key that has not run is refused, and can run once there is a server.
  const std::string fresh = NewKey();
  Execute("refused", fresh);
  ASSERT_TRUE(WaitForAnswer("refused"));
  EXPECT_EQ(answers_["refused"].result, ResultCode::kNoBackendServer);
  EXPECT_EQ(answers_["refused"].run_state, RunState::kNotRun);
  executor_.SetBackend(OneSlot());
  Execute("later", fresh);
  ASSERT_TRUE(WaitForServer(2));
  Answer(200, "two");
  ASSERT_TRUE(WaitForAnswer("later"));
  EXPECT_EQ(answers_["later"].result, ResultCode::kOk);
}

// A forced end must tell what ran and what did not.
TEST_F(LocalExecutorTest, EndAllGivesEachCallItsFinalResult) {
  Execute("running");
  ASSERT_TRUE(WaitForServer(1));
  Execute("queued");
  executor_.EndAll();
  EXPECT_EQ(answers_["running"].run_state, RunState::kUnknown);
  EXPECT_EQ(answers_["queued"].run_state, RunState::kNotRun);
  EXPECT_EQ(executor_.in_flight(), 0U);
}

}  // namespace
}  // namespace sesamespread::transport
