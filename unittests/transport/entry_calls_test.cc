/// \file
/// Guards against orders that run twice, refusals that are not true, answers
/// that are not the backend server's own, and retries without end. A backend
/// server is played by an HTTP server on loopback.
#include "sesamespread/transport/entry_calls.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "call_fakes.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FieldNames kFields = {"X-Id",   "X-Budget",  "X-Seal",   "X-Expect",
                            "X-Load", "X-Not-Run", "X-Caller", "X-Instance"};
constexpr state::NodeId kSelf = 5;

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

class EntryCallsTest : public ::testing::Test {
 protected:
  using Backend = std::function<void(std::shared_ptr<HttpExchange>)>;

  EntryCallsTest()
      : backend_server_(context_,
                        RawPeer::Loopback(0),
                        HttpServerOptions{},
                        [this](std::shared_ptr<HttpExchange> exchange) {
                          requests_.push_back(exchange->request());
                          backend_(std::move(exchange));
                        }) {
    EntryCalls::Options options;
    options.self = kSelf;
    options.seed = 1;
    options.fields = kFields;
    options.caller = "stock";
    // A budget that small tests don't meet.
    options.retries.free_repeats = 100;
    entry_ = std::make_unique<EntryCalls>(
        deadlines_, options, router_, door_, outbound_,
        [](state::NodeId) { return state::Endpoint{}; }, metrics_, log_);
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
    door_.SetBackend(report);
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

  static void Refuse(HttpExchange& exchange) {
    HttpResponse response;
    response.status = 503;
    response.headers = {{"X-Not-Run", "1"}};
    exchange.Respond(std::move(response));
  }

  struct Sent {
    std::shared_ptr<FakeExchange> exchange;
    std::shared_ptr<std::optional<HttpResponse>> response;
  };

  Sent Send(const std::string& target, const std::string& id) {
    HttpRequest request;
    request.target = target;
    request.headers = {{"Host", "shop"},
                       {"X-Id", id},
                       {"X-Budget", "2000"},
                       {"X-Caller", "someone-else"},
                       {"X-Expect", "i-9"}};
    auto response = std::make_shared<std::optional<HttpResponse>>();
    auto exchange = std::make_shared<FakeExchange>(request, response);
    entry_->Handle(exchange);
    return {exchange, response};
  }

  HttpResponse Await(const Sent& sent) {
    EXPECT_TRUE(RunUntil(context_, [&] { return sent.response->has_value(); }));
    return sent.response->value_or(HttpResponse{});
  }

  boost::asio::io_context context_{1};
  DeadlineQueue deadlines_{context_};
  Metrics metrics_;
  EventLog log_{LogLevel::kError, "test"};
  coordination::Router router_{kSelf, "zone-a"};
  ServerDoor door_{context_, deadlines_, kFields, metrics_, log_};
  OutboundCalls outbound_{context_, deadlines_,
                          protocol::Hello{kSelf, 1, "self"},
                          [](state::NodeId, protocol::PeerMessage) {}};
  Backend backend_;
  std::vector<HttpRequest> requests_;
  HttpServer backend_server_;
  std::unique_ptr<EntryCalls> entry_;
  std::uint32_t sequence_ = 0;
};

TEST_F(EntryCallsTest, PassesARequestOnWithItsOwnFields) {
  const HttpResponse response = Await(Send("/read/1?a=b", "r1"));
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "ok");
  EXPECT_EQ(FieldOf(response.headers, "X-Seal"), "seal");
  ASSERT_EQ(requests_.size(), 1U);
  const auto& headers = requests_.front().headers;
  EXPECT_EQ(requests_.front().target, "/read/1?a=b");
  EXPECT_EQ(FieldOf(headers, "Host"), "shop");
  EXPECT_EQ(FieldOf(headers, "X-Id"), "r1");
  // What the caller says of itself doesn't count.
  EXPECT_EQ(FieldOf(headers, "X-Caller"), "stock");
  EXPECT_EQ(FieldOf(headers, "X-Expect"), "i-1");
  EXPECT_LE(std::stoi(std::string(FieldOf(headers, "X-Budget"))), 2000);
  EXPECT_GT(std::stoi(std::string(FieldOf(headers, "X-Budget"))), 1500);
}

TEST_F(EntryCallsTest, WithoutRoutesNothingIsDenied) {
  entry_->SetRoutes(nullptr);
  const HttpResponse response = Await(Send("/read/1", "r1"));
  EXPECT_EQ(response.status, 503);
  EXPECT_NE(FieldOf(response.headers, "Retry-After"), "");
}

TEST_F(EntryCallsTest, UnknownRoutesAreNotFound) {
  EXPECT_EQ(Await(Send("/none/1", "r1")).status, 404);
  EXPECT_TRUE(requests_.empty());
}

// An order whose answer was lost may have run: 503 would be a lie, and a second
// run would be a second order.
TEST_F(EntryCallsTest, AnOrderWithoutAnswerIsNeitherRepeatedNorRefused) {
  backend_ = [](const auto& exchange) {
    HttpResponse response;
    response.body = "the whole answer";
    exchange->RespondTruncated(response, 3);
  };
  const HttpResponse response = Await(Send("/order/1", "r1"));
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(EntryCallsTest, AReadWithoutAnswerIsRepeated) {
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

TEST_F(EntryCallsTest, NoMoreServersAreAskedThanTheRouteAllows) {
  backend_ = [](const auto& exchange) { Answer(*exchange, "no", 500); };
  const HttpResponse response = Await(Send("/read/1", "r1"));
  // The server's own answer is delivered.
  EXPECT_EQ(response.status, 500);
  EXPECT_EQ(response.body, "no");
  EXPECT_EQ(requests_.size(), 2U);
}

TEST_F(EntryCallsTest, AnOrderThatNoServerRanIsRefused) {
  backend_ = [](const auto& exchange) { Refuse(*exchange); };
  const HttpResponse response = Await(Send("/order/1", "r1"));
  EXPECT_EQ(response.status, 503);
  EXPECT_GT(std::stod(std::string(FieldOf(response.headers, "Retry-After"))),
            0.1);
}

// Guards against a caller who is sent away although a server that had refused
// the request would have taken it a moment later.
TEST_F(EntryCallsTest, AServerThatRefusesIsAskedAgain) {
  int arrivals = 0;
  backend_ = [&arrivals](const auto& exchange) {
    if (++arrivals < 5)
      return Refuse(*exchange);
    Answer(*exchange, "ok");
  };
  EXPECT_EQ(Await(Send("/order/1", "r1")).status, 200);
  EXPECT_EQ(arrivals, 5);
}

// Guards against the promise "not run" for a request that a server ran before
// others refused it.
TEST_F(EntryCallsTest, ARequestThatRanIsNotCalledRefused) {
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

// Bytes that a server hands out without its signature are not its answer.
TEST_F(EntryCallsTest, UnsignedAndEncodedAnswersAreNotDelivered) {
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

TEST_F(EntryCallsTest, AnswersAtTheRoutesTimeout) {
  std::vector<std::shared_ptr<HttpExchange>> held;
  backend_ = [&held](auto exchange) { held.push_back(std::move(exchange)); };
  const state::Instant start = Now();
  EXPECT_EQ(Await(Send("/brief/1", "r1")).status, 504);
  EXPECT_LT(Now() - start, milliseconds(600));
}

// The work for a caller that has gone is given up; an order is not, since it
// may have its effect already.
TEST_F(EntryCallsTest, AGoneCallerEndsTheWorkThatCanBeRepeated) {
  std::vector<std::shared_ptr<HttpExchange>> held;
  int abandoned = 0;
  backend_ = [&](auto exchange) {
    exchange->OnAbandoned([&abandoned] { ++abandoned; });
    held.push_back(std::move(exchange));
  };
  const Sent read = Send("/read/1", "r1");
  const Sent order = Send("/order/1", "r2");
  ASSERT_TRUE(RunUntil(context_, [&] { return held.size() == 2; }));
  order.exchange->Abandon();
  read.exchange->Abandon();
  ASSERT_TRUE(RunUntil(context_, [&] { return abandoned == 1; }));
  const state::Instant later = Now() + milliseconds(100);
  RunUntil(context_, [&] { return Now() >= later; });
  EXPECT_EQ(abandoned, 1);
  EXPECT_EQ(entry_->in_flight(), 0U);
}

// A server that leaves gets nothing new, whatever the router believes.
TEST_F(EntryCallsTest, ALeavingServerGetsNoNewWork) {
  door_.StopNewWork(milliseconds(0));
  EXPECT_EQ(Await(Send("/read/1", "r1")).status, 503);
  EXPECT_TRUE(requests_.empty());
  // A refusal that was decided before the server came back must not keep it
  // out.
  door_.ResumeNewWork();
  EXPECT_EQ(Await(Send("/read/1", "r2")).status, 200);
}

// The server answers on its own connection when it has another run's id.
TEST_F(EntryCallsTest, AMisdirectedRequestHasNotRun) {
  backend_ = [](const auto& exchange) {
    HttpResponse response;
    response.status = 421;
    exchange->Respond(response);
  };
  EXPECT_EQ(Await(Send("/order/1", "r1")).status, 503);
}

// Calls of a running request carry its rank and are served while new requests
// are refused.
TEST_F(EntryCallsTest, CallsOfRunningRequestsAreKnownByTheirId) {
  std::vector<std::shared_ptr<HttpExchange>> held;
  backend_ = [&held](auto exchange) { held.push_back(std::move(exchange)); };
  Send("/order/1", "r1");
  ASSERT_TRUE(RunUntil(context_, [&] { return held.size() == 1; }));
  entry_->RefuseCallers();
  backend_ = [](const auto& exchange) { Answer(*exchange, "called"); };
  EXPECT_EQ(Await(Send("/read/1", "r1.c1")).status, 200);
  EXPECT_EQ(Await(Send("/read/1", "r9.c1")).status, 503);
  EXPECT_EQ(Await(Send("/read/1", "r2")).status, 503);
}

// A server with four slots is never given more than it can work on: one that is
// full may never answer again.
TEST_F(EntryCallsTest, TheServerIsNeverFilledUp) {
  std::vector<std::shared_ptr<HttpExchange>> held;
  std::size_t most = 0;
  backend_ = [&](auto exchange) {
    held.push_back(std::move(exchange));
    most = std::max(most, held.size());
  };
  std::vector<Sent> sent;
  for (int i = 0; i < 12; ++i)
    sent.push_back(Send("/read/1", "r" + std::to_string(i)));
  ASSERT_TRUE(RunUntil(context_, [&] { return held.size() == 3; }));
  while (!held.empty()) {
    Answer(*held.back(), "ok");
    held.pop_back();
    const state::Instant later = Now() + milliseconds(20);
    RunUntil(context_, [&] { return Now() >= later; });
  }
  EXPECT_LE(most, 3U);
  for (const Sent& one : sent)
    Await(one);
}

}  // namespace
}  // namespace sesamespread::transport
