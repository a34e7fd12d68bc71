/// \file
/// Guards against orders that run twice or lose their answer, and against
/// `not_run` for requests that have run.
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
                  pending_requests_.push_back(std::move(exchange));
                }) {
    executor_.SetConfiguration(TestConfiguration());
    executor_.SetBackend(BackendWithOneSlot());
  }

  BackendInfo BackendWithOneSlot() const {
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

  // Executes an order. Its answer is stored in answers_[name].
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

  bool WaitForRequests(std::size_t requests) {
    return RunUntil(context_, [&] { return received_ >= requests; });
  }
  bool WaitForAnswer(const std::string& name) {
    return RunUntil(context_, [&] { return answers_.count(name) > 0; });
  }

  // The backend server answers its oldest request.
  void Answer(std::uint16_t status,
              const std::string& body,
              std::vector<protocol::Header> headers = {}) {
    ASSERT_FALSE(pending_requests_.empty());
    pending_requests_.front()->Respond({status, std::move(headers), body});
    pending_requests_.pop_front();
  }

  coordination::Ticket TicketOfOldestRequest() const {
    return protocol::ParseTicket(
               FieldOf(pending_requests_.front()->request().headers,
                       protocol::kBaggageField))
        .value_or(0);
  }

  boost::asio::io_context context_{1};
  DeadlineQueue deadlines_{context_};
  Metrics metrics_;
  std::deque<std::shared_ptr<HttpExchange>> pending_requests_;
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

// Guards against a key that stays in use after its request was cancelled in the
// queue, so that the repeat of the order never runs.
TEST_F(LocalExecutorTest, CancelOfQueuedCallReleasesItsKey) {
  const std::string key = NewKey();
  Execute("first");
  ASSERT_TRUE(WaitForRequests(1));
  executor_.Cancel(Execute("cancelled", key));
  ASSERT_TRUE(
      RunUntil(context_, [this] { return executor_.in_flight() == 1; }));
  Execute("repeat", key);
  Answer(200, "one");
  ASSERT_TRUE(WaitForRequests(2));
  Answer(200, "two");
  ASSERT_TRUE(WaitForAnswer("repeat"));
  EXPECT_EQ(answers_["repeat"].result, ResultCode::kOk);
  EXPECT_EQ(answers_["repeat"].body, "two");
  EXPECT_EQ(answers_.count("cancelled"), 0U);
  EXPECT_EQ(received_, 2U);
}

// Guards against an order that runs twice because its caller closes the
// connection while it runs and then repeats it.
TEST_F(LocalExecutorTest, KeyedRunContinuesAfterCancel) {
  const std::string key = NewKey();
  const auto handle = Execute("first", key);
  ASSERT_TRUE(WaitForRequests(1));
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

// Guards against wasted work: no repeat can receive the answer to a cancelled
// request without a key.
TEST_F(LocalExecutorTest, CancelOfRunWithoutKeyCancelsTheRequest) {
  const auto handle = Execute("first");
  ASSERT_TRUE(WaitForRequests(1));
  bool abandoned = false;
  pending_requests_.front()->OnAbandoned([&abandoned] { abandoned = true; });
  executor_.Cancel(handle);
  EXPECT_TRUE(RunUntil(context_, [&abandoned] { return abandoned; }));
  EXPECT_TRUE(answers_.empty());
}

// Guards against an order that runs again because its caller repeats it while
// it is still running.
TEST_F(LocalExecutorTest, AttachedRepeatsReceiveTheFirstAnswer) {
  const std::string key = NewKey();
  Execute("first", key);
  Execute("second", key);
  Execute("third", key);
  ASSERT_TRUE(WaitForRequests(1));
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

// Guards against `not_run` for a request whose backend server made sub-calls
// before it refused the request.
TEST_F(LocalExecutorTest, RefusalAfterSubCallsIsNotReportedAsNotRun) {
  const std::vector<protocol::Header> not_run = {
      {std::string(protocol::kNotRunField), "1"}};
  Execute("with");
  ASSERT_TRUE(WaitForRequests(1));
  const coordination::Ticket ticket = TicketOfOldestRequest();
  ASSERT_NE(ticket, 0U);
  executor_.OnSubCallStarted(ticket);
  executor_.OnSubCallEnded(ticket);
  Answer(503, "refused", not_run);
  ASSERT_TRUE(WaitForAnswer("with"));
  EXPECT_EQ(answers_["with"].result, ResultCode::kBackendRefused);
  EXPECT_EQ(answers_["with"].run_state, RunState::kRan);

  Execute("without");
  ASSERT_TRUE(WaitForRequests(2));
  Answer(503, "refused", not_run);
  ASSERT_TRUE(WaitForAnswer("without"));
  EXPECT_EQ(answers_["without"].run_state, RunState::kNotRun);
  EXPECT_EQ(answers_["without"].unused_allotment, 3U);
}

// Guards against `not_run` for the repeat of an order that has run, when the
// backend server has disappeared in between.
TEST_F(LocalExecutorTest, RepeatAfterBackendServerIsAbsentIsReplayed) {
  const std::string key = NewKey();
  Execute("first", key);
  ASSERT_TRUE(WaitForRequests(1));
  Answer(200, "one");
  ASSERT_TRUE(WaitForAnswer("first"));
  executor_.SetBackend(std::nullopt);
  Execute("repeat", key);
  ASSERT_TRUE(WaitForAnswer("repeat"));
  EXPECT_EQ(answers_["repeat"].result, ResultCode::kReplayed);
  EXPECT_EQ(answers_["repeat"].body, "one");
  // A request that has not run is refused, and can run once there is a server.
  const std::string fresh = NewKey();
  Execute("refused", fresh);
  ASSERT_TRUE(WaitForAnswer("refused"));
  EXPECT_EQ(answers_["refused"].result, ResultCode::kNoBackendServer);
  EXPECT_EQ(answers_["refused"].run_state, RunState::kNotRun);
  executor_.SetBackend(BackendWithOneSlot());
  Execute("later", fresh);
  ASSERT_TRUE(WaitForRequests(2));
  Answer(200, "two");
  ASSERT_TRUE(WaitForAnswer("later"));
  EXPECT_EQ(answers_["later"].result, ResultCode::kOk);
}

// Guards against a backend server that stays limited to the connections of its
// first registration.
TEST_F(LocalExecutorTest, LaterBoundsOnConnectionsApply) {
  BackendInfo backend = BackendWithOneSlot();
  backend.slots = 3;
  backend.connections = 1;
  executor_.SetBackend(backend);
  Execute("a");
  Execute("b");
  Execute("c");
  ASSERT_TRUE(WaitForRequests(1));
  context_.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(pending_requests_.size(), 1U);
  backend.connections = 3;
  executor_.SetBackend(backend);
  EXPECT_TRUE(WaitForRequests(3));
}

// Guards against a wrong run state of the calls that a forced shutdown ends.
TEST_F(LocalExecutorTest, FailAllInFlightReportsEachRunState) {
  Execute("running");
  ASSERT_TRUE(WaitForRequests(1));
  Execute("queued");
  executor_.FailAllInFlight();
  EXPECT_EQ(answers_["running"].run_state, RunState::kUnknown);
  EXPECT_EQ(answers_["queued"].run_state, RunState::kNotRun);
  EXPECT_EQ(executor_.in_flight(), 0U);
}

}  // namespace
}  // namespace sesamespread::transport
