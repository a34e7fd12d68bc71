/// \file
/// Guards against retries beyond the allotment of a request, and against
/// requests that end without a final result.
#include "sesamespread/transport/request_handler.h"

#include <gtest/gtest.h>

#include "call_fakes.h"
#include "sesamespread/protocol/http_fields.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

using state::ResultCode;
using state::RunState;

constexpr state::NodeIncarnation kSelf{1, 11};

class RequestHandlerTest : public ::testing::Test {
 protected:
  using Response = std::shared_ptr<std::optional<HttpResponse>>;

  RequestHandlerTest() {
    const auto configuration = TestConfiguration();
    dispatcher_.SetConfiguration(configuration);
    executor_.SetConfiguration(configuration);
    handler_.SetConfiguration(configuration);
    state::NodeRecord record;
    record.node = kSelf.node;
    record.incarnation = kSelf.incarnation;
    record.zone = "zone-a";
    record.service = "stock";
    record.backend_state = state::BackendState::kServing;
    dispatcher_.SetServers("stock", {record}, 2);
  }

  static HttpRequest GetStock(std::vector<protocol::Header> headers = {}) {
    HttpRequest request;
    request.target = "/stock/levels";
    request.headers = std::move(headers);
    return request;
  }

  std::shared_ptr<FakeExchange> Exchange(HttpRequest request) {
    response_ = std::make_shared<std::optional<HttpResponse>>();
    return std::make_shared<FakeExchange>(std::move(request), response_);
  }

  bool WaitForResponse() {
    return RunUntil(context_, [this] { return response_->has_value(); });
  }
  std::string Result() const {
    return std::string(FieldOf((*response_)->headers, protocol::kResultField));
  }

  boost::asio::io_context context_{1};
  DeadlineQueue deadlines_{context_};
  Metrics metrics_;
  EventLog log_{LogLevel::kError, "test"};
  // Executes the calls that are dispatched to this node, in place of executor_.
  FakeCallExecutor local_;
  LocalExecutor executor_{
      context_, deadlines_,
      kSelf,    coordination::AdmissionPolicy::kAdaptive,
      metrics_, [] {
                            return std::vector<protocol::ServiceThreshold>(); }};
  OutboundCalls outbound_{context_, deadlines_,
                          protocol::Hello{kSelf.node, 11, "node-1"},
                          [](state::NodeId, protocol::PeerMessage) {}};
  CallDispatcher dispatcher_{
      context_, deadlines_, kSelf.node, "zone-a",
      local_,   outbound_,  metrics_,   [](const auto&) {}};
  RequestHandler handler_{deadlines_,
                          RequestHandler::Options(),
                          dispatcher_,
                          executor_,
                          metrics_,
                          log_,
                          [](const coordination::ClaimTableRequest&) {}};
  Response response_;
};

// Guards against additional retries for a backend server that drops the headers
// which carry its ticket.
TEST_F(RequestHandlerTest, SubCallWithoutTicketHasNoRetries) {
  handler_.HandleSubCall(Exchange(GetStock()));
  ASSERT_EQ(local_.calls().size(), 1U);
  EXPECT_EQ(local_.calls().front().request.allotment, 0U);
  local_.Answer(ResultCode::kShedAtServer, RunState::kNotRun);
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(Result(), "201");
  EXPECT_EQ(local_.executed(), 1U);
}

// Guards against sub-calls with an invented ticket, which would use up the
// retries of another request.
TEST_F(RequestHandlerTest, SubCallWithUnknownTicketIsRefused) {
  handler_.HandleSubCall(Exchange(GetStock(
      {{std::string(protocol::kBaggageField), protocol::FormatTicket(5)}})));
  ASSERT_TRUE(WaitForResponse());
  EXPECT_EQ(Result(), "407");
  EXPECT_EQ(local_.executed(), 0U);
}

// Guards against callers that send a valid ticket on the caller port to use the
// context and the retries of another request.
TEST_F(RequestHandlerTest, CallerPortIgnoresTickets) {
  state::RequestContext context;
  context.id = {4, 5};
  context.deadline = FromNow(std::chrono::seconds(5));
  context.allotment = 100;
  executor_.ledger().Open(5, context, Now());
  handler_.HandleCaller(Exchange(GetStock(
      {{std::string(protocol::kBaggageField), protocol::FormatTicket(5)}})));
  ASSERT_EQ(local_.calls().size(), 1U);
  const protocol::CallRequest& request = local_.calls().front().request;
  EXPECT_NE(request.request_id, context.id);
  EXPECT_LT(request.allotment, 4U);
  EXPECT_TRUE(FieldOf(request.headers, protocol::kBaggageField).empty());
  EXPECT_EQ(executor_.ledger().Remaining(5), 100U);
}

// Guards against calls that continue after their caller has closed the
// connection.
TEST_F(RequestHandlerTest, AbandonedRequestCancelsItsCall) {
  const auto exchange = Exchange(GetStock());
  handler_.HandleCaller(exchange);
  ASSERT_EQ(local_.calls().size(), 1U);
  exchange->Abandon();
  EXPECT_TRUE(local_.calls().empty());
  EXPECT_EQ(handler_.in_flight(), 0U);
}

// Guards against requests without an answer after a forced shutdown, when their
// calls run at other nodes.
TEST_F(RequestHandlerTest, FailAllInFlightAnswersRequestsOfRemoteCalls) {
  handler_.HandleCaller(Exchange(GetStock()));
  ASSERT_EQ(local_.calls().size(), 1U);
  handler_.FailAllInFlight();
  ASSERT_TRUE(response_->has_value());
  EXPECT_EQ(Result(), "205");
  EXPECT_NE((*response_)->body.find("\"run_state\":\"unknown\""),
            std::string::npos);
  EXPECT_TRUE(local_.calls().empty());
  EXPECT_EQ(handler_.in_flight(), 0U);
}

}  // namespace
}  // namespace sesamespread::transport
