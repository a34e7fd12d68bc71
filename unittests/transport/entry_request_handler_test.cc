/// \file
/// Guards against orders that run twice, refusals of requests that have run,
/// answers that are not the backend server's own, and unbounded retries. An
/// HTTP server on loopback stands in for the backend server.
#include "sesamespread/transport/entry_request_handler.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

#include "call_fakes.h"
#include "sesamespread/transport/inbound_calls.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FieldNames kFields = {"X-Id",    "X-Budget",  "X-Seal",   "X-Expect",
                            "X-Load",  "X-Not-Run", "X-Caller", "X-Instance",
                            "X-Limit", "X-Leaving", "X-Key",    "Token",
                            "X-Tenant"};
constexpr state::NodeId kSelf = 5;
constexpr state::NodeId kPeer = 7;

state::RouteSet MakeRoutes() {
  state::Route read;
  read.name = "read";
  read.host = "shop";
  read.prefix = "/read/";
  read.targets = {{"orders", 1}};
  read.idempotent = true;
  read.priority = 2;
  read.max_attempts = 2;
  read.goal = seconds(1);
  read.timeout = seconds(3);
  state::Route order = read;
  order.name = "order";
  order.prefix = "/order/";
  order.idempotent = false;
  order.priority = 0;
  state::Route brief = read;
  brief.name = "brief";
  brief.prefix = "/brief/";
  brief.timeout = milliseconds(100);
  return {4, {}, {read, order, brief}, {}};
}

class EntryRequestHandlerTest : public ::testing::Test {
 protected:
  using BackendHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

  EntryRequestHandlerTest()
      : backend_server_(context_,
                        RawPeer::Loopback(0),
                        HttpServerOptions{},
                        [this](std::shared_ptr<HttpExchange> exchange) {
                          requests_.push_back(exchange->request());
                          backend_(std::move(exchange));
                        }) {
    EntryRequestHandler::Options options;
    options.self = kSelf;
    options.seed = 1;
    options.fields = kFields;
    options.caller = "stock";
    // Large enough that the tests do not exhaust the budget.
    options.retries.min_retries = 100;
    entry_ = std::make_unique<EntryRequestHandler>(
        deadlines_, options, router_, backend_executor_, outbound_,
        [this](state::NodeId) { return peer_endpoint_; }, metrics_, log_);
    entry_->SetRoutes(std::make_shared<const coordination::RouteTable>(
        std::make_shared<const state::RouteSet>(MakeRoutes())));
    SetBackend("i-1", 4);
    backend_ = [](const auto& exchange) { Answer(*exchange, "ok"); };
  }

  void SetBackend(const std::string& instance, std::uint32_t slots) {
    state::BackendReport report;
    report.identity = {instance, 1};
    report.endpoint = RawPeer::Loopback(backend_server_.port());
    report.service = "orders";
    report.slots = slots;
    backend_executor_.SetBackend(report);
    state::NodeRecord self;
    self.node = kSelf;
    self.incarnation = 1;
    self.sequence = ++sequence_;
    self.zone = "zone-a";
    self.service = "orders";
    self.backend_state = state::BackendState::kServing;
    router_.SetServers("orders", {self}, {}, Now());
  }

  static void Answer(HttpExchange& exchange,
                     const std::string& body,
                     std::uint16_t status = 200) {
    HttpResponse response;
    response.status = status;
    response.headers = {
        {"X-Id", std::string(FieldOf(exchange.request().headers, "X-Id"))},
        {"X-Seal", "seal"}};
    response.body = body;
    exchange.Respond(std::move(response));
  }

  // Backend servers echo the id of the request in each answer.
  static protocol::Header IdOf(const HttpExchange& exchange) {
    return {"X-Id", std::string(FieldOf(exchange.request().headers, "X-Id"))};
  }

  static void Refuse(HttpExchange& exchange) {
    HttpResponse response;
    response.status = 503;
    response.headers = {{"X-Not-Run", "1"}, IdOf(exchange)};
    exchange.Respond(std::move(response));
  }

  struct Sent {
    std::shared_ptr<FakeExchange> exchange;
    std::shared_ptr<std::optional<HttpResponse>> response;
  };

  // Replaces the routes by those of MakeRoutes with two tenants and a public
  // route.
  void SetTenants() {
    state::RouteSet set = MakeRoutes();
    set.tenants = {{"acme", {"key-1"}, 1, {}}, {"beta", {"key-2"}, 2, {}}};
    state::Route open = set.routes[0];
    open.name = "open";
    open.prefix = "/open/";
    open.is_public = true;
    set.routes.push_back(open);
    entry_->SetRoutes(std::make_shared<const coordination::RouteTable>(
        std::make_shared<const state::RouteSet>(set)));
  }

  Sent Send(const std::string& target,
            const std::string& id,
            const std::vector<protocol::Header>& more = {}) {
    HttpRequest request;
    request.target = target;
    request.headers = {{"Host", "shop"},
                       {"X-Id", id},
                       {"X-Budget", "2000"},
                       {"X-Caller", "someone-else"},
                       {"X-Expect", "i-9"}};
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    auto response = std::make_shared<std::optional<HttpResponse>>();
    auto exchange = std::make_shared<FakeExchange>(request, response);
    entry_->Handle(exchange, state::Duration(0));
    return {exchange, response};
  }

  HttpResponse Await(const Sent& sent) {
    EXPECT_TRUE(RunUntil(context_, [&] { return sent.response->has_value(); }));
    return sent.response->value_or(HttpResponse{});
  }

  boost::asio::io_context context_{1};
  state::Endpoint peer_endpoint_;
  DeadlineQueue deadlines_{context_};
  Metrics metrics_;
  EventLog log_{LogLevel::kError, "test"};
  coordination::Router router_{kSelf, "zone-a"};
  BackendExecutor backend_executor_{context_, deadlines_, kFields, metrics_,
                                    log_};
  OutboundCalls outbound_{context_, deadlines_,
                          protocol::Hello{kSelf, 1, "self"},
                          [](state::NodeId, protocol::PeerMessage) {}};
  BackendHandler backend_;
  std::vector<HttpRequest> requests_;
  HttpServer backend_server_;
  std::unique_ptr<EntryRequestHandler> entry_;
  std::uint32_t sequence_ = 0;
};

// The only server refuses the first placement of a request while it is slow;
// without a second one, requests fail although it has free slots.
TEST_F(EntryRequestHandlerTest, RequestIsServedByTheOnlyServerWhileItIsSlow) {
  int requests = 0;
  backend_ = [&requests](const auto& exchange) {
    ++requests;
    HttpResponse response;
    response.headers = {
        IdOf(*exchange), {"X-Seal", "seal"}, {"X-Load", "1,0,4,250"}};
    exchange->Respond(std::move(response));
  };
  for (const char* id : {"a", "b", "c"})
    EXPECT_EQ(Await(Send("/read/1", id)).status, 200);
  EXPECT_EQ(requests, 3);
  const coordination::QueueLoad load = backend_executor_.load();
  EXPECT_EQ(load.work_factor_percent, 250U);
  EXPECT_GT(load.work_time, state::Duration(0));
}

// Guards against a server that gets no calls any more, for lack of time,
// because the pause of a host was taken for its service time.
TEST_F(EntryRequestHandlerTest, APauseOfTheHostIsNoServiceTime) {
  constexpr std::chrono::milliseconds kBudget{100};
  const auto send = [&](const std::string& id) {
    HttpRequest request;
    request.target = "/read/1";
    request.headers = {{"Host", "shop"},
                       {"X-Id", id},
                       {"X-Budget", std::to_string(kBudget.count())}};
    auto response = std::make_shared<std::optional<HttpResponse>>();
    auto exchange = std::make_shared<FakeExchange>(request, response);
    entry_->Handle(exchange, state::Duration(0));
    return Await({exchange, response}).status;
  };
  backend_ = [&](const auto& exchange) {
    std::this_thread::sleep_for(3 * kBudget);
    Answer(*exchange, "late");
  };
  send("paused");
  ASSERT_TRUE(RunUntil(context_, [&] {
    return backend_executor_.in_flight() == 0 && !requests_.empty();
  }));
  backend_ = [](const auto& exchange) { Answer(*exchange, "ok"); };
  EXPECT_EQ(send("afterwards"), 200);
}

// Guards against losing parts of a request or its answer, and against callers
// that set fields which only nodes may set.
TEST_F(EntryRequestHandlerTest, ForwardsARequestWithItsOwnFields) {
  const HttpResponse response = Await(Send("/read/1?a=b", "r1"));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "ok");
  EXPECT_EQ(FieldOf(response.headers, "X-Seal"), "seal");
  ASSERT_EQ(requests_.size(), 1U);
  const auto& headers = requests_.front().headers;
  EXPECT_EQ(requests_.front().target, "/read/1?a=b");
  EXPECT_EQ(FieldOf(headers, "Host"), "shop");
  EXPECT_EQ(FieldOf(headers, "X-Id"), "r1");
  // These fields of the caller are replaced.
  EXPECT_EQ(FieldOf(headers, "X-Caller"), "stock");
  EXPECT_EQ(FieldOf(headers, "X-Expect"), "i-1");
  EXPECT_LE(std::stoi(std::string(FieldOf(headers, "X-Budget"))), 2000);
  EXPECT_GT(std::stoi(std::string(FieldOf(headers, "X-Budget"))), 1500);
}

// Guards against a server that sees a caller's key, or the name of a tenant
// that the caller has made up.
TEST_F(EntryRequestHandlerTest, AServerSeesTheTenantInPlaceOfTheKey) {
  SetTenants();
  const Sent sent =
      Send("/read/1", "r1", {{"X-Key", "Token key-2"}, {"X-Tenant", "acme"}});
  EXPECT_EQ(Await(sent).status, 200);
  ASSERT_EQ(requests_.size(), 1U);
  const auto& headers = requests_.front().headers;
  EXPECT_EQ(FieldOf(headers, "X-Tenant"), "beta");
  EXPECT_EQ(FieldOf(headers, "X-Key"), "");
  EXPECT_EQ(std::count_if(headers.begin(), headers.end(),
                          [](const protocol::Header& header) {
                            return header.name == "X-Tenant";
                          }),
            1);
}

// Guards against requests without a tenant's key that run.
TEST_F(EntryRequestHandlerTest, RequestsWithoutAKnownKeyAreUnauthorized) {
  SetTenants();
  EXPECT_EQ(Await(Send("/read/1", "r1")).status, 401);
  EXPECT_EQ(Await(Send("/read/1", "r2", {{"X-Key", "Token other"}})).status,
            401);
  EXPECT_EQ(Await(Send("/read/1", "r3", {{"X-Key", "key-1"}})).status, 401);
  EXPECT_TRUE(requests_.empty());
}

// Guards against 401 for calls of runs that an earlier process has started.
TEST_F(EntryRequestHandlerTest, CallsOfEarlierRunsAreNotUnauthorized) {
  SetTenants();
  const HttpResponse response = Await(Send("/read/1", "r1.call"));
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(FieldOf(response.headers, "Retry-After"), "");
  EXPECT_EQ(Await(Send("/read/1", "r2")).status, 401);
  EXPECT_EQ(
      Await(Send("/read/1", "r3.call", {{"X-Key", "Token other"}})).status,
      401);
  // No run of an earlier process takes longer than the longest timeout, 3 s.
  std::uint16_t status = 503;
  for (const state::Instant end = Now() + seconds(10);
       status == 503 && Now() < end; context_.run_for(milliseconds(50)))
    status = Await(Send("/read/1", "r4.call")).status;
  EXPECT_EQ(status, 401);
  EXPECT_TRUE(requests_.empty());
}

// Guards against public routes that need a key, or that pass one on.
TEST_F(EntryRequestHandlerTest, PublicRoutesNeedNoKey) {
  SetTenants();
  EXPECT_EQ(Await(Send("/open/1", "r1")).status, 200);
  EXPECT_EQ(Await(Send("/open/1", "r2", {{"X-Key", "Token other"}})).status,
            200);
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(FieldOf(requests_.back().headers, "X-Key"), "");
}

// Guards against withdrawn keys at a node that is cut off: it can't tell which
// keys are still valid, so that it answers neither with success nor with 401.
TEST_F(EntryRequestHandlerTest, KeysAreNotAcceptedFromOutdatedRoutes) {
  SetTenants();
  entry_->SetKeyCheck([] { return false; });
  for (const char* key : {"Token key-1", "Token other"}) {
    const HttpResponse response =
        Await(Send("/read/1", "r1", {{"X-Key", key}}));
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(FieldOf(response.headers, "Retry-After"), "");
  }
  EXPECT_TRUE(requests_.empty());
  EXPECT_EQ(Await(Send("/open/1", "r2", {{"X-Key", "Token key-1"}})).status,
            200);
}

// Guards against key fields that are removed where the routes have no tenants.
TEST_F(EntryRequestHandlerTest, WithoutTenantsCredentialsAreForwarded) {
  EXPECT_EQ(Await(Send("/read/1", "r1", {{"X-Key", "Basic abc"}})).status, 200);
  EXPECT_EQ(FieldOf(requests_.front().headers, "X-Key"), "Basic abc");
}

// Guards against 404 from a node that has not received its routes yet.
TEST_F(EntryRequestHandlerTest, RequestsWithoutRoutesAreRefusedWithRetryAfter) {
  entry_->SetRoutes(nullptr);
  const HttpResponse response = Await(Send("/read/1", "r1"));
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(FieldOf(response.headers, "Retry-After"), "");
}

// Guards against forwarding a request that matches no route.
TEST_F(EntryRequestHandlerTest, UnknownRoutesAreNotFound) {
  EXPECT_EQ(Await(Send("/none/1", "r1")).status, 404);
  EXPECT_TRUE(requests_.empty());
}

// Guards against a result of another node that no call has and whose status
// tells the caller that its request is wrong, has not run or was answered.
TEST_F(EntryRequestHandlerTest, ResultsOfOtherNodesAreNoClientErrors) {
  FakeCallExecutor executor;
  InboundCalls peer(context_, RawPeer::Loopback(0),
                    protocol::Hello{kPeer, 1, "peer"}, executor,
                    [](const protocol::PeerMessage&, const auto&) {});
  peer_endpoint_ = RawPeer::Loopback(peer.port());
  state::NodeRecord record;
  record.node = kPeer;
  record.incarnation = 1;
  record.sequence = 1;
  record.zone = "zone-a";
  record.service = "orders";
  record.backend_state = state::BackendState::kServing;
  router_.SetServers("orders", {record}, {}, Now());
  for (const state::ResultCodeInfo& info : state::AllResultCodes()) {
    if (info.code == state::ResultCode::kOk)
      continue;
    for (const auto run_state :
         {state::RunState::kNotRun, state::RunState::kUnknown}) {
      const Sent sent = Send("/order/1", "r1");
      while (!sent.response->has_value()) {
        ASSERT_TRUE(RunUntil(context_, [&] {
          return sent.response->has_value() || !executor.calls().empty();
        }));
        if (!executor.calls().empty())
          executor.Answer(info.code, run_state);
      }
      const int status = (*sent.response)->status;
      if (run_state == state::RunState::kNotRun)
        EXPECT_EQ(status, 503) << info.name;
      else
        EXPECT_TRUE(status == 502 || status == 504) << info.name << status;
    }
  }
}

// Guards against an order that runs twice, or is answered with 503, which
// promises that it has not run. Its answer was lost, so it may have run.
TEST_F(EntryRequestHandlerTest,
       AnOrderWithoutAnswerIsNeitherRetriedNorRefused) {
  backend_ = [](const auto& exchange) {
    HttpResponse response;
    response.body = "the whole answer";
    exchange->RespondTruncated(response, 3);
  };
  const HttpResponse response = Await(Send("/order/1", "r1"));
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(requests_.size(), 1U);
}

// Guards against failing an idempotent request whose answer was lost once.
TEST_F(EntryRequestHandlerTest, AReadWithoutAnswerIsRetried) {
  int runs = 0;
  backend_ = [&runs](const auto& exchange) {
    if (++runs > 1)
      return Answer(*exchange, "second");
    HttpResponse response;
    response.body = "the whole answer";
    exchange->RespondTruncated(response, 3);
  };
  const HttpResponse response = Await(Send("/read/1", "r1"));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "second");
}

// Guards against more attempts than the route allows when every server fails.
TEST_F(EntryRequestHandlerTest, AttemptsAreBoundedByTheRoute) {
  backend_ = [](const auto& exchange) { Answer(*exchange, "no", 500); };
  const HttpResponse response = Await(Send("/read/1", "r1"));
  // The server's own answer is delivered.
  EXPECT_EQ(response.status, 500);
  EXPECT_EQ(response.body, "no");
  EXPECT_EQ(requests_.size(), 2U);
}

// Guards against 502 for a request that certainly has not run, and against a
// refusal without a useful Retry-After.
TEST_F(EntryRequestHandlerTest, AnOrderThatNoServerRanIsRefused) {
  backend_ = [](const auto& exchange) { Refuse(*exchange); };
  const HttpResponse response = Await(Send("/order/1", "r1"));
  EXPECT_EQ(response.status, 503);
  EXPECT_GT(std::stod(std::string(FieldOf(response.headers, "Retry-After"))),
            0.1);
}

// Guards against refusing a request although a server that refused it at first
// would accept it a moment later.
TEST_F(EntryRequestHandlerTest, ARefusingServerIsTriedAgain) {
  int arrivals = 0;
  backend_ = [&arrivals](const auto& exchange) {
    if (++arrivals < 5)
      return Refuse(*exchange);
    Answer(*exchange, "ok");
  };
  EXPECT_EQ(Await(Send("/order/1", "r1")).status, 200);
  EXPECT_EQ(arrivals, 5);
}

// Guards against status 503, which promises "not run", for a request that may
// have run at one server before others refused it.
TEST_F(EntryRequestHandlerTest, ARequestThatMayHaveRunIsNotReportedAsRefused) {
  int arrivals = 0;
  backend_ = [&arrivals](const auto& exchange) {
    if (++arrivals > 1)
      return Refuse(*exchange);
    HttpResponse response;
    response.body = "the whole answer";
    exchange->RespondTruncated(response, 3);
  };
  EXPECT_EQ(Await(Send("/read/1", "r1")).status, 502);
  EXPECT_GT(arrivals, 1);
}

// Guards against delivering a body that the backend server did not sign, or
// that was encoded on the way.
TEST_F(EntryRequestHandlerTest, UnsignedAndEncodedAnswersAreNotDelivered) {
  backend_ = [](const auto& exchange) {
    HttpResponse response;
    response.headers = {{"X-Id", "r1"}};
    response.body = "unsigned";
    exchange->Respond(response);
  };
  EXPECT_EQ(Await(Send("/order/1", "r1")).status, 502);
  backend_ = [](const auto& exchange) {
    HttpResponse response;
    response.headers = {
        {"X-Id", "r2"}, {"X-Seal", "s"}, {"Content-Encoding", "gzip"}};
    exchange->Respond(response);
  };
  EXPECT_EQ(Await(Send("/order/1", "r2")).status, 502);
}

// Guards against failures of the node that count as those of backend servers.
TEST_F(EntryRequestHandlerTest, AnswersAreCountedByTheirSource) {
  backend_ = [](const auto& exchange) { Answer(*exchange, "no", 404); };
  EXPECT_EQ(Await(Send("/read/1", "r1")).status, 404);
  EXPECT_EQ(Await(Send("/none/1", "r2")).status, 404);
  const std::string text = metrics_.Serialize();
  for (const char* line :
       {"sesamespread_answers_total{result=\"100\",source=\"sealed\","
        "status=\"404\"} 1",
        "sesamespread_answers_total{result=\"410\",source=\"own\","
        "status=\"404\"} 1"})
    EXPECT_NE(text.find(line), std::string::npos) << line << "\n" << text;
}

// Guards against a request that stays open when the backend server is silent.
TEST_F(EntryRequestHandlerTest, RespondsAtTheRoutesTimeout) {
  std::vector<std::shared_ptr<HttpExchange>> pending;
  backend_ = [&pending](auto exchange) {
    pending.push_back(std::move(exchange));
  };
  const state::Instant start = Now();
  EXPECT_EQ(Await(Send("/brief/1", "r1")).status, 504);
  EXPECT_LT(Now() - start, milliseconds(600));
}

// Guards against wasted work for callers that closed their connection, and
// against cancelling an order, which may have taken effect already.
TEST_F(EntryRequestHandlerTest, AbandonedRequestsAreCancelledIfIdempotent) {
  std::vector<std::shared_ptr<HttpExchange>> pending;
  int abandoned = 0;
  backend_ = [&](auto exchange) {
    exchange->OnAbandoned([&abandoned] { ++abandoned; });
    pending.push_back(std::move(exchange));
  };
  const Sent read = Send("/read/1", "r1");
  const Sent order = Send("/order/1", "r2");
  ASSERT_TRUE(RunUntil(context_, [&] { return pending.size() == 2; }));
  order.exchange->Abandon();
  read.exchange->Abandon();
  ASSERT_TRUE(RunUntil(context_, [&] { return abandoned == 1; }));
  const state::Instant wait_end = Now() + milliseconds(100);
  RunUntil(context_, [&] { return Now() >= wait_end; });
  EXPECT_EQ(abandoned, 1);
  EXPECT_EQ(entry_->in_flight(), 0U);
}

// Guards against new calls to a leaving server while the router still has it as
// serving.
TEST_F(EntryRequestHandlerTest, ALeavingServerReceivesNoNewWork) {
  backend_executor_.StopNewWork(milliseconds(0));
  EXPECT_EQ(Await(Send("/read/1", "r1")).status, 503);
  EXPECT_TRUE(requests_.empty());
  // The refusal must not exclude the server after it accepts work again.
  backend_executor_.ResumeNewWork();
  EXPECT_EQ(Await(Send("/read/1", "r2")).status, 200);
}

// Guards against passing on a status that promises "not run" although the
// server has not stated it: the order has run.
TEST_F(EntryRequestHandlerTest, AnUnstatedRefusalOfAServerIsNoPromise) {
  for (const std::uint16_t status : {408, 429, 503}) {
    backend_ = [status](const auto& exchange) {
      HttpResponse response;
      response.status = status;
      response.headers = {IdOf(*exchange)};
      exchange->Respond(response);
    };
    EXPECT_EQ(Await(Send("/order/1", "r" + std::to_string(status))).status,
              502);
  }
  EXPECT_EQ(requests_.size(), 3U);
}

// Guards against reporting a misdirected request as one that may have run: a
// server that is another instance than expected answers 421 and does not run
// it.
TEST_F(EntryRequestHandlerTest, AMisdirectedRequestHasNotRun) {
  backend_ = [](const auto& exchange) {
    HttpResponse response;
    response.status = 421;
    response.headers = {IdOf(*exchange)};
    exchange->Respond(response);
  };
  EXPECT_EQ(Await(Send("/order/1", "r1")).status, 503);
}

// Guards against refusing the calls of a running request while new requests are
// refused: the dotted id identifies the request that makes the call.
TEST_F(EntryRequestHandlerTest, CallsOfRunningRequestsAreIdentifiedByTheirId) {
  std::vector<std::shared_ptr<HttpExchange>> pending;
  backend_ = [&pending](auto exchange) {
    pending.push_back(std::move(exchange));
  };
  Send("/order/1", "r1");
  ASSERT_TRUE(RunUntil(context_, [&] { return pending.size() == 1; }));
  entry_->RefuseCallers(Now() + seconds(5));
  backend_ = [](const auto& exchange) { Answer(*exchange, "called"); };
  EXPECT_EQ(Await(Send("/read/1", "r1.c1")).status, 200);
  EXPECT_EQ(Await(Send("/read/1", "r9.c1")).status, 503);
  EXPECT_EQ(Await(Send("/read/1", "r2")).status, 503);
}

// Guards against calls that a node passes on although it ends before they do.
TEST_F(EntryRequestHandlerTest, AStoppingNodeRefusesCallsThatItCannotAnswer) {
  std::vector<std::shared_ptr<HttpExchange>> pending;
  backend_ = [&pending](auto exchange) {
    pending.push_back(std::move(exchange));
  };
  Send("/order/1", "r1");
  ASSERT_TRUE(RunUntil(context_, [&] { return pending.size() == 1; }));
  // Shorter than the calls' time budget, and the route has no measurements.
  entry_->RefuseCallers(Now() + seconds(1));
  EXPECT_EQ(Await(Send("/read/1", "r1.c1")).status, 503);
  entry_->FailRequests();
  EXPECT_EQ(requests_.size(), 1U);
}

// Guards against an order without answer, or called not run, as the node ends.
TEST_F(EntryRequestHandlerTest, TheEndOfAStopAnswersRequestsInProgress) {
  std::vector<std::shared_ptr<HttpExchange>> pending;
  backend_ = [&pending](auto exchange) {
    pending.push_back(std::move(exchange));
  };
  const Sent sent = Send("/order/1", "r1");
  ASSERT_TRUE(RunUntil(context_, [&] { return pending.size() == 1; }));
  entry_->RefuseRequests();
  entry_->FailRequests();
  EXPECT_EQ(Await(sent).status, 502);
  EXPECT_EQ(Await(Send("/order/1", "r2")).status, 503);
}

// Guards against a limit of another server or instance, or one that was lifted.
TEST_F(EntryRequestHandlerTest, ARateLimitIsThatOfTheCurrentServer) {
  std::optional<std::string> limit = "40";
  std::uint16_t status = 200;
  backend_ = [&](const auto& exchange) {
    HttpResponse response;
    response.status = status;
    response.headers = {IdOf(*exchange), {"X-Seal", "seal"}};
    if (limit)
      response.headers.push_back({"X-Limit", *limit});
    exchange->Respond(std::move(response));
  };
  Await(Send("/read/1", "r1"));
  EXPECT_EQ(backend_executor_.rate_limit(), 40);
  // A report of the same instance keeps it.
  SetBackend("i-1", 8);
  EXPECT_EQ(backend_executor_.rate_limit(), 40);
  limit.reset();
  Await(Send("/read/1", "r2"));
  EXPECT_EQ(backend_executor_.rate_limit(), std::nullopt);
  limit = "1";
  status = 421;
  Await(Send("/order/1", "r3"));
  EXPECT_EQ(backend_executor_.rate_limit(), std::nullopt);
  std::shared_ptr<HttpExchange> pending;
  backend_ = [&pending](auto exchange) { pending = std::move(exchange); };
  const Sent old = Send("/read/1", "r4");
  ASSERT_TRUE(RunUntil(context_, [&] { return pending != nullptr; }));
  SetBackend("i-2", 4);
  HttpResponse late;
  late.headers = {IdOf(*pending), {"X-Seal", "seal"}, {"X-Limit", "1"}};
  pending->Respond(std::move(late));
  Await(old);
  EXPECT_EQ(backend_executor_.rate_limit(), std::nullopt);
}

// Guards against a leave that only the caller learns of.
TEST_F(EntryRequestHandlerTest, AStatedLeaveIsReported) {
  int leaves = 0;
  backend_executor_.SetLeaveObserver([&leaves] { ++leaves; });
  Await(Send("/read/1", "r1"));
  EXPECT_EQ(leaves, 0);
  backend_ = [](const auto& exchange) {
    HttpResponse response;
    response.headers = {
        IdOf(*exchange), {"X-Seal", "seal"}, {"X-Leaving", "1"}};
    exchange->Respond(std::move(response));
  };
  Await(Send("/read/1", "r2"));
  EXPECT_EQ(leaves, 1);
}

// Guards against filling all four slots of a server: one that is full may never
// answer again.
TEST_F(EntryRequestHandlerTest, CallsInProgressStayBelowTheServersSlots) {
  std::vector<std::shared_ptr<HttpExchange>> pending;
  std::size_t max_pending = 0;
  backend_ = [&](auto exchange) {
    pending.push_back(std::move(exchange));
    max_pending = std::max(max_pending, pending.size());
  };
  std::vector<Sent> sent;
  for (int i = 0; i < 12; ++i)
    sent.push_back(Send("/read/1", "r" + std::to_string(i)));
  ASSERT_TRUE(RunUntil(context_, [&] { return pending.size() == 3; }));
  while (!pending.empty()) {
    Answer(*pending.back(), "ok");
    pending.pop_back();
    const state::Instant wait_end = Now() + milliseconds(20);
    RunUntil(context_, [&] { return Now() >= wait_end; });
  }
  EXPECT_LE(max_pending, 3U);
  for (const Sent& one : sent)
    Await(one);
}

}  // namespace
}  // namespace sesamespread::transport
