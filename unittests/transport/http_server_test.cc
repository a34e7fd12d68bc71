/// \file
/// Guards against callers that make the server misinterpret a message, occupy
/// its resources without limit, or miss the end of a connection.
#include "sesamespread/transport/http_server.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

#include "sesamespread/state/settings.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

// Lets a slow reader read the rest fast.
const boost::asio::socket_base::receive_buffer_size kLargeReceiveBuffer(1
                                                                        << 20);

constexpr char kGet[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

class HttpServerTest : public testing::Test {
 protected:
  void Start(const HttpServerOptions& options = {}) {
    server_.emplace(context_, RawPeer::Loopback(0), options,
                    [this](std::shared_ptr<HttpExchange> exchange) {
                      Handle(std::move(exchange));
                    });
  }

  void StartWithMemory(std::size_t bound) {
    account_.emplace(bound);
    HttpServerOptions options;
    options.memory = &*account_;
    Start(options);
  }

  /// Answers with the target and the body of the request, or with neither if
  /// the target is /short. Requests for /hold are stored in held_ and not
  /// answered.
  void Handle(std::shared_ptr<HttpExchange> exchange) {
    requests_.push_back(exchange->request());
    if (exchange->request().target == "/hold") {
      exchange->OnAbandoned([this] { ++abandoned_; });
      held_.push_back(std::move(exchange));
      return;
    }
    HttpResponse response;
    if (exchange->request().target != "/short")
      response.body = exchange->request().target + exchange->request().body;
    exchange->Respond(std::move(response));
  }

  void RunFor(std::chrono::milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  RawPeer Connect() {
    RawPeer peer(context_);
    peer.Connect(server_->port());
    return peer;
  }

  /// Answers a caller that does not read with a body of \p body_bytes.
  RawPeer SendToSlowReader(std::size_t body_bytes) {
    RawPeer peer(context_);
    peer.socket().open(boost::asio::ip::tcp::v4());
    peer.socket().set_option(
        boost::asio::socket_base::receive_buffer_size(4096));
    peer.Connect(server_->port());
    peer.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::size_t held = held_.size();
    EXPECT_TRUE(RunUntil(context_, [&] { return held_.size() > held; }));
    HttpResponse response;
    response.body.assign(body_bytes, 'a');
    held_.back()->Respond(std::move(response));
    return peer;
  }

  /// Sends \p bytes on a new connection and expects an answer with \p status,
  /// problem details with \p result, and then the end of the connection.
  void ExpectProblem(std::string_view bytes, int status, int result) {
    RawPeer peer = Connect();
    peer.Send(bytes);
    EXPECT_TRUE(peer.ExpectClose()) << bytes;
    ExpectProblemIn(peer.received(), status, result);
  }

  static void ExpectProblemIn(const std::string& answer,
                              int status,
                              int result) {
    const auto has = [&](const std::string& text) {
      EXPECT_NE(answer.find(text), std::string::npos) << text << "\n" << answer;
    };
    has("HTTP/1.1 " + std::to_string(status));
    has("Content-Type: application/problem+json");
    has("Sesamespread-Result: " + std::to_string(result));
    has("\"result\":" + std::to_string(result));
    has("Connection: close");
  }

  /// Outlives the connections, which the context owns.
  std::optional<MemoryAccount> account_;
  boost::asio::io_context context_;
  std::vector<HttpRequest> requests_;
  std::vector<std::shared_ptr<HttpExchange>> held_;
  int abandoned_ = 0;
  std::optional<HttpServer> server_;
};

// The process ends with the text of this error, which must contain the address
// that is in use.
TEST_F(HttpServerTest, ErrorNamesTheAddressThatIsInUse) {
  Start();
  const state::Endpoint in_use = RawPeer::Loopback(server_->port());
  try {
    HttpServer second(context_, in_use, {}, [](const auto&) {});
    FAIL() << "two servers listen at one address";
  } catch (const std::system_error& error) {
    EXPECT_NE(std::string(error.what()).find(state::ToString(in_use)),
              std::string::npos)
        << error.what();
  }
}

// Guards against a valid request that is refused because of its form, the
// pieces in which it arrives, or the requests sent before and behind it.
TEST_F(HttpServerTest, ServesAllValidFormsOfARequest) {
  HttpServerOptions options;
  options.max_header_bytes = 64 << 10;
  options.max_body_bytes = 4 << 20;
  options.on_rejection = [](const Rejection& rejection) {
    ADD_FAILURE() << rejection.status << " " << rejection.detail;
  };
  Start(options);
  std::mt19937_64 random(43);
  const auto below = [&random](std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
  };
  const auto chunked = [&](const std::string& body) {
    const bool is_small = below(2) == 0;
    std::string bytes;
    std::size_t offset = 0;
    while (offset < body.size()) {
      const std::size_t size =
          std::min(body.size() - offset, 1 + below(is_small ? 16 : 64 << 10));
      bytes += below(2) == 0 ? fmt::format("{:x}", size)
                             : fmt::format("{:04X}", size);
      bytes += below(8) == 0 ? ";name=\"value\"\r\n" : "\r\n";
      bytes += body.substr(offset, size) + "\r\n";
      offset += size;
    }
    return bytes + (below(4) == 0 ? "0\r\nX-Trailer: a\r\n\r\n" : "0\r\n\r\n");
  };
  for (int round = 0; round < 20; ++round) {
    SCOPED_TRACE(round);
    std::string sent;
    std::string expected;
    const std::size_t count = 1 + below(8);
    for (std::size_t i = 0; i < count; ++i) {
      const std::string target =
          fmt::format("/r{}?a={}%20b", i, std::string(below(300), 'q'));
      const std::string body(below(3) == 0 ? below(300 << 10) : below(300),
                             'b');
      const std::size_t form = below(4);
      sent += below(6) == 0 ? "\r\n" : "";
      sent +=
          fmt::format("{} {} HTTP/1.1\r\n",
                      form == 0 ? "GET" : (form == 1 ? "PUT" : "POST"), target);
      sent += below(2) == 0 ? "Host: h:80\r\n" : "hOST:h\r\n";
      if (below(2) == 0)
        sent +=
            fmt::format("X-Long: {}\r\n", std::string(below(15 << 10), 'l'));
      if (below(4) == 0)
        sent += "Connection: Keep-Alive\r\nX-Empty:\r\nX-Utf: \xc3\xa9\r\n";
      if (form == 0)
        sent += "\r\n";
      else if (form == 1)
        sent += fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
      else
        sent += "Transfer-Encoding: Chunked\r\n\r\n" + chunked(body);
      const std::string answer = target + (form == 0 ? "" : body);
      expected += fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                              answer.size(), answer);
    }
    RawPeer peer = Connect();
    const bool in_small_pieces = sent.size() < 20'000 && below(2) == 0;
    std::string_view rest = sent;
    ASSERT_TRUE(RunUntil(context_, [&] {
      if (!rest.empty()) {
        const std::size_t size =
            std::min(rest.size(), 1 + below(in_small_pieces ? 20 : 30 << 10));
        boost::system::error_code error;
        rest.remove_prefix(peer.socket().write_some(
            boost::asio::buffer(rest.data(), size), error));
      }
      peer.Poll();
      return peer.received().size() >= expected.size();
    }));
    ASSERT_EQ(peer.received(), expected);
  }
}

// If two HTTP implementations can disagree about the end of a message, a caller
// can smuggle a second request past the checks of the node.
TEST_F(HttpServerTest, RefusesMessagesWithAnAmbiguousEnd) {
  Start();
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const char* fields :
       {"Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3, 3\r\n", "Content-Length: -1\r\n",
        "Content-Length: +3\r\n", "Content-Length: 3x\r\n",
        "Content-Length: \r\n", "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n", "Host: other\r\n"}) {
    ExpectProblem(start + fields + "\r\nabc", 400, 400);
  }
  ExpectProblem(
      "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400,
      400);
  EXPECT_TRUE(requests_.empty());
}

// Guards against requests that are turned away without a trace.
TEST_F(HttpServerTest, ReportsTheRequestsThatItRejects) {
  struct Report {
    std::uint16_t status;
    state::ResultCode code;
    std::string target;
    std::uint64_t earlier_requests;
    auto operator<=>(const Report&) const = default;
  };
  std::vector<Report> reports;
  HttpServerOptions options;
  options.on_rejection = [&reports](const Rejection& rejection) {
    EXPECT_GT(rejection.received_bytes, 0U);
    ASSERT_NE(rejection.request, nullptr);
    reports.push_back({rejection.status, rejection.code,
                       rejection.request->target, rejection.earlier_requests});
  };
  options.max_body_bytes = 4;
  Start(options);
  RawPeer peer = Connect();
  peer.Send(std::string(kGet) +
            "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return reports.size() == 1; }));
  EXPECT_EQ(reports[0],
            (Report{413, state::ResultCode::kBodyTooLarge, "/b", 1}));
}

TEST_F(HttpServerTest, RefusesMalformedRequests) {
  Start();
  for (const char* request :
       {"\x16\x03\x01 hello\r\n\r\n", "GET\r\n\r\n", "GET /a\r\n\r\n",
        "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n",
        "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a HTTP/1.1\nHost: h\n\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nbad field: x\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nx: a\x01\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
        "chunked\r\n\r\nzz\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n"}) {
    ExpectProblem(request, 400, 400);
  }
  EXPECT_TRUE(requests_.empty());
}

// Guards against a 400 for a request after an empty line.
TEST_F(HttpServerTest, IgnoresEmptyLinesBeforeARequestLine) {
  HttpServerOptions options;
  options.receive_timeout = std::chrono::milliseconds(40);
  Start(options);
  RawPeer peer = Connect();
  peer.Send(
      "\r\n\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\r\n"
      "GET /b HTTP/1.1\r\nHost: h\r\n\r\n\r");
  ASSERT_TRUE(peer.Expect("/b"));
  // An empty line is not the start of a request that can be late.
  RunFor(std::chrono::milliseconds(100));
  peer.Send("\n");
  RunFor(std::chrono::milliseconds(100));
  peer.Send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(peer.Expect("/c"));
  EXPECT_EQ(peer.received(),
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n/aabc"
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/b"
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/c");
  for (const char* request : {"\n", "\rGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
                              " \r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n"}) {
    ExpectProblem(request, 400, 400);
  }
}

// Guards against a caller that holds a connection with empty lines alone.
TEST_F(HttpServerTest, EmptyLinesDoNotExtendTheIdleTimeout) {
  HttpServerOptions options;
  options.idle_timeout = std::chrono::milliseconds(100);
  Start(options);
  RawPeer peer = Connect();
  peer.Send(kGet);
  ASSERT_TRUE(peer.Expect("/a"));
  const std::string answer = peer.received();
  EXPECT_TRUE(RunUntil(context_, [&] {
    peer.Send("\r\n");
    return server_->connection_count() == 0;
  }));
  EXPECT_TRUE(peer.ExpectClose());
  EXPECT_EQ(peer.received(), answer);
}

// A truncated request must not run, and its sender must receive an error that
// does not call the request wrong.
TEST_F(HttpServerTest, RefusesARequestCutShort) {
  Start();
  const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& request :
       {std::string("GET /a HT"), post + "Content-Length: 5\r\n\r\nabc",
        post + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
        post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
    RawPeer peer = Connect();
    peer.Send(request);
    peer.socket().shutdown(RawPeer::Socket::shutdown_send);
    EXPECT_TRUE(peer.ExpectClose());
    ExpectProblemIn(peer.received(), 408, 409);
  }
  EXPECT_TRUE(requests_.empty());
}

// The options must limit the memory of one connection: the limit holds for the
// whole header and not for each of its parts.
TEST_F(HttpServerTest, LimitsTheSizeOfTheHeader) {
  HttpServerOptions options;
  options.max_header_bytes = 1000;
  Start(options);
  const std::string start = "GET /a HTTP/1.1\r\nHost: h\r\n";
  ExpectProblem("GET /" + std::string(2000, 'a'), 431, 403);
  ExpectProblem("GET /" + std::string(600, 'a') +
                    " HTTP/1.1\r\nHost: h\r\nx: " + std::string(600, 'b') +
                    "\r\n\r\n",
                431, 403);
  ExpectProblem(start + "x: " + std::string(2000, 'a'), 431, 403);
  ExpectProblem(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n1;x=" +
          std::string(2000, 'a'),
      431, 403);
  ExpectProblem(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\nx: " +
          std::string(2000, 'a'),
      431, 403);
  EXPECT_TRUE(requests_.empty());
}

TEST_F(HttpServerTest, LimitsTheSizeOfTheBody) {
  HttpServerOptions options;
  options.max_body_bytes = 1000;
  Start(options);
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  ExpectProblem(start + "Content-Length: 1001\r\n\r\n", 413, 402);
  // The answer must reach a caller that is still sending.
  ExpectProblem(
      start + "Content-Length: 1000000\r\n\r\n" + std::string(1000000, 'a'),
      413, 402);
  std::string chunks = start + "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20; ++i)
    chunks += "64\r\n" + std::string(100, 'a') + "\r\n";
  ExpectProblem(chunks, 413, 402);
  EXPECT_TRUE(requests_.empty());
}

// Guards against callers that together exhaust the memory, each with a body
// within the limit. The largest one is refused, and its request has not run.
TEST_F(HttpServerTest, LimitsTheSumOfBodies) {
  HttpServerOptions options;
  options.max_body_bytes = 1 << 20;
  options.max_received_bytes = 600 << 10;
  Start(options);
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 614400\r\n\r\n";
  RawPeer small = Connect();
  small.Send(head + std::string(100 << 10, 'a'));
  RawPeer large = Connect();
  large.Send(head + std::string(570 << 10, 'a'));
  ASSERT_TRUE(large.Expect("Connection: close"));
  ExpectProblemIn(large.received(), 503,
                  static_cast<int>(state::ResultCode::kNodeBusy));
  EXPECT_NE(large.received().find("Retry-After"), std::string::npos);
  EXPECT_TRUE(requests_.empty());
  small.Send(std::string(500 << 10, 'a'));
  EXPECT_TRUE(small.Expect("HTTP/1.1 200"));
}

TEST_F(HttpServerTest, AcceptsAChunkedBodyAndDropsTrailers) {
  Start();
  RawPeer peer = Connect();
  peer.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nIdempotency-Key: forged\r\n\r\n");
  ASSERT_TRUE(peer.Expect("/aabcde"));
  EXPECT_EQ(FieldOf(requests_[0].headers, "idempotency-key"), "");
}

// A caller that never completes its request must not occupy a connection
// without limit.
TEST_F(HttpServerTest, TimesOutASlowSender) {
  HttpServerOptions options;
  options.receive_timeout = std::chrono::milliseconds(40);
  Start(options);
  ExpectProblem("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc",
                408, 409);
  EXPECT_TRUE(
      RunUntil(context_, [&] { return server_->connection_count() == 0; }));
}

TEST_F(HttpServerTest, ClosesAnIdleConnection) {
  HttpServerOptions options;
  options.idle_timeout = std::chrono::milliseconds(40);
  Start(options);
  RawPeer peer = Connect();
  EXPECT_TRUE(peer.ExpectClose());
  EXPECT_EQ(peer.received(), "");
}

// A caller that does not read its answer must not occupy a connection without
// limit.
TEST_F(HttpServerTest, TimesOutASlowReader) {
  HttpServerOptions options;
  options.send_timeout = std::chrono::milliseconds(40);
  Start(options);
  const RawPeer peer = SendToSlowReader(32 << 20);
  EXPECT_TRUE(
      RunUntil(context_, [&] { return server_->connection_count() == 0; }));
}

// Guards against callers that together exhaust the memory because they don't
// read their answers. The one that has not read for the longest time is reset.
TEST_F(HttpServerTest, LimitsTheSumOfUnsentAnswers) {
  // The sockets of a connection take a few megabytes.
  constexpr std::size_t kAnswerBytes = 32 << 20;
  HttpServerOptions options;
  options.max_unsent_bytes = 5 * kAnswerBytes / 2;
  Start(options);
  RawPeer first = SendToSlowReader(kAnswerBytes);
  const RawPeer second = SendToSlowReader(kAnswerBytes);
  EXPECT_EQ(server_->connection_count(), 2U);
  const RawPeer third = SendToSlowReader(kAnswerBytes);
  EXPECT_EQ(server_->connection_count(), 2U);
  EXPECT_TRUE(first.ExpectClose());
  EXPECT_LT(first.received().size(), kAnswerBytes);
  RawPeer other = Connect();
  other.Send(kGet);
  EXPECT_TRUE(other.Expect("/a"));
}

// Connections over the limit must be refused with a Retry-After field, and must
// not displace those that are served.
TEST_F(HttpServerTest, RefusesConnectionsOverTheLimit) {
  HttpServerOptions options;
  options.max_connections = 2;
  Start(options);
  std::vector<RawPeer> peers;
  for (int i = 0; i < 2; ++i) {
    peers.push_back(Connect());
    peers.back().Send(kGet);
    ASSERT_TRUE(peers.back().Expect("/a"));
  }
  RawPeer refused = Connect();
  EXPECT_TRUE(refused.ExpectClose());
  ExpectProblemIn(refused.received(), 503, 210);
  EXPECT_NE(refused.received().find("Retry-After: 1\r\n"), std::string::npos);
  peers[0].received().clear();
  peers[0].Send(kGet);
  EXPECT_TRUE(peers[0].Expect("/a"));

  peers[1].socket().close();
  ASSERT_TRUE(
      RunUntil(context_, [&] { return server_->connection_count() == 1; }));
  RawPeer next = Connect();
  next.Send(kGet);
  EXPECT_TRUE(next.Expect("/a"));
}

// Answers on one connection must be sent in the order of its requests, although
// a later request could be answered earlier.
TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder) {
  Start();
  RawPeer peer = Connect();
  peer.Send(std::string("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n") + kGet +
            "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  HttpResponse response;
  response.body = "held";
  held_[0]->Respond(response);
  // A second answer to one request must not become the answer to another.
  held_[0]->Respond(response);
  ASSERT_TRUE(peer.Expect("/b"));
  EXPECT_EQ(peer.received(),
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld"
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/a"
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/b");
}

// An abandoned request is reported once, and a late answer to it must not be
// sent on any connection.
// A caller that pipelines without reading must not occupy memory for requests
// that have to wait.
TEST_F(HttpServerTest, BoundsTheBytesReadAhead) {
  StartWithMemory(1 << 20);
  RawPeer peer = Connect();
  peer.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  std::string requests;
  while (requests.size() < 200 << 10)
    requests += "GET /a HTTP/1.1\r\nHost: h\r\nX-F: " + std::string(1000, 'x') +
                "\r\n\r\n";
  peer.Send(requests);
  // Long enough for the server to read all of them.
  context_.run_for(std::chrono::milliseconds(200));
  EXPECT_GT(account_->held(), 8U << 10);
  EXPECT_LT(account_->held(), 40U << 10);
  EXPECT_EQ(requests_.size(), 1U);
  server_.reset();
  EXPECT_EQ(account_->held(), 0U);
}

// Their caller sends them again elsewhere: they must not run.
TEST_F(HttpServerTest, RequestsBehindAClosingAnswerDoNotRun) {
  Start();
  RawPeer peer = Connect();
  peer.Send(
      "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  HttpResponse response;
  response.headers = {{"Connection", "close"}};
  held_[0]->Respond(std::move(response));
  EXPECT_TRUE(peer.ExpectClose());
  EXPECT_EQ(requests_.size(), 1U);
  EXPECT_EQ(peer.received().find("HTTP/1.1 200"), 0U);
  EXPECT_EQ(peer.received().find("HTTP/1.1", 1), std::string::npos);
}

// Without a turn for one connection, no large request would ever be complete
// while memory is scarce.
TEST_F(HttpServerTest, ReceivesLargeRequestsOneAfterTheOtherIfMemoryIsScarce) {
  constexpr std::size_t kBodyBytes = 300 << 10;
  StartWithMemory(1 << 20);
  std::vector<RawPeer> peers;
  for (int i = 0; i < 8; ++i) {
    peers.push_back(Connect());
    peers.back().Send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                      std::to_string(kBodyBytes) + "\r\n\r\n" +
                      std::string(kBodyBytes / 2, 'x'));
  }
  ASSERT_TRUE(RunUntil(context_, [&] { return account_->is_high(); }));
  for (RawPeer& peer : peers)
    peer.Send(std::string(kBodyBytes / 2, 'x'));
  EXPECT_TRUE(RunUntil(context_, [&] { return requests_.size() >= 4; }));
}

// Requests that stop short of their end must not stop others until their
// timeouts.
TEST_F(HttpServerTest, SilentRequestsDoNotStopALargeOneIfMemoryIsScarce) {
  constexpr std::size_t kBodyBytes = 300 << 10;
  const std::string head =
      "POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: " +
      std::to_string(kBodyBytes) + "\r\n\r\n";
  StartWithMemory(1 << 20);
  std::vector<RawPeer> silent;
  for (int i = 0; i < 8; ++i) {
    silent.push_back(Connect());
    silent.back().Send(head + std::string(kBodyBytes / 2, 'x'));
  }
  ASSERT_TRUE(RunUntil(context_, [&] { return account_->is_high(); }));
  RawPeer complete = Connect();
  complete.Send(head + std::string(kBodyBytes, 'x'));
  EXPECT_TRUE(RunUntil(context_, [&] { return requests_.size() == 1; }));
  EXPECT_TRUE(complete.Expect("HTTP/1.1 200"));
  EXPECT_GT(account_->refusals(), 0U);
}

// Only the largest requests are refused, and truly: they do not run.
TEST_F(HttpServerTest, RefusesALargeRequestAndServesASmallOneWithoutMemory) {
  StartWithMemory(256 << 10);
  const std::string body(200 << 10, 'x');
  const std::string request =
      " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  RawPeer first = Connect();
  first.Send("POST /hold" + request);
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  ExpectProblem("POST /a" + request, 503, 210);
  EXPECT_EQ(requests_.size(), 1U);
  EXPECT_GT(account_->refusals(), 0U);
  RawPeer small = Connect();
  small.Send(kGet);
  EXPECT_TRUE(small.Expect("/a"));
}

TEST_F(HttpServerTest, ReportsAnAbandonedRequestOnce) {
  Start();
  RawPeer peer = Connect();
  // A pipelined request must not hide the end of the connection.
  peer.Send(std::string("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n") + kGet);
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  EXPECT_EQ(abandoned_, 0);
  peer.socket().close();
  ASSERT_TRUE(RunUntil(context_, [&] { return abandoned_ == 1; }));
  EXPECT_EQ(server_->connection_count(), 0U);
  held_[0]->Respond({});
  // A callback that is set after the close must run as well.
  held_[0]->OnAbandoned([this] { abandoned_ += 10; });
  ASSERT_TRUE(RunUntil(context_, [&] { return abandoned_ == 11; }));
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(HttpServerTest, DoesNotReportAnAnsweredRequestAsAbandoned) {
  Start();
  RawPeer peer = Connect();
  peer.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  held_[0]->Respond({});
  ASSERT_TRUE(peer.Expect("Content-Length: 0"));
  peer.socket().close();
  ASSERT_TRUE(
      RunUntil(context_, [&] { return server_->connection_count() == 0; }));
  EXPECT_EQ(abandoned_, 0);
}

// A handler that destroys an exchange without an answer must not leave the
// caller waiting.
TEST_F(HttpServerTest, ClosesTheConnectionOfADestroyedExchange) {
  Start();
  RawPeer peer = Connect();
  peer.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  held_.clear();
  EXPECT_TRUE(peer.ExpectClose());
}

// A field with a line end would allow a backend server to inject further fields
// or a further answer.
TEST_F(HttpServerTest, DropsFieldsThatWouldBreakTheFraming) {
  Start();
  RawPeer peer = Connect();
  peer.Send("HEAD /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  HttpResponse response;
  response.headers = {{"x", "a\r\nforged: b"},
                      {"y\r\nforged", "b"},
                      {"Content-Length", "77"},
                      {"Transfer-Encoding", "chunked"},
                      {"z", "kept"}};
  response.body = "abc";
  held_[0]->Respond(response);
  peer.Send(kGet);
  ASSERT_TRUE(peer.Expect("/a"));
  EXPECT_EQ(peer.received(),
            "HTTP/1.1 200 OK\r\nz: kept\r\nContent-Length: 3\r\n\r\n"
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/a");
}

TEST_F(HttpServerTest, SendsContinueIfTheRequestExpectsIt) {
  Start();
  RawPeer peer = Connect();
  peer.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 3\r\n\r\n");
  ASSERT_TRUE(peer.Expect("HTTP/1.1 100 Continue\r\n\r\n"));
  peer.Send("abc");
  EXPECT_TRUE(peer.Expect("/aabc"));
}

// StopAccepting must not interrupt a request in progress, and must close idle
// connections.
TEST_F(HttpServerTest, StopsWithoutInterruptingRequests) {
  Start();
  RawPeer idle = Connect();
  idle.Send(kGet);
  ASSERT_TRUE(idle.Expect("/a"));
  RawPeer busy = Connect();
  busy.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  server_->StopAccepting();
  EXPECT_TRUE(idle.ExpectClose());
  RawPeer late(context_);
  EXPECT_THROW(late.Connect(server_->port()), boost::system::system_error);
  HttpResponse response;
  response.body = "whole";
  held_[0]->Respond(response);
  EXPECT_TRUE(busy.ExpectClose());
  EXPECT_NE(busy.received().find("Connection: close\r\n\r\nwhole"),
            std::string::npos);
}

// Guards against a stop that counts a connection as idle while its caller still
// reads a long answer.
TEST_F(HttpServerTest, CountsAnswersUntilTheyAreReceived) {
  constexpr std::size_t kBodyBytes = 8 << 20;
  Start();
  EXPECT_EQ(server_->unfinished_answers(), 0U);
  RawPeer peer = SendToSlowReader(kBodyBytes);
  server_->StartDraining();
  RunFor(std::chrono::milliseconds(50));
  EXPECT_EQ(server_->unfinished_answers(), 1U);
  server_->StopAccepting();
  EXPECT_EQ(server_->unfinished_answers(), 1U);
  peer.socket().set_option(kLargeReceiveBuffer);
  EXPECT_TRUE(peer.ExpectClose());
  EXPECT_GT(peer.received().size(), kBodyBytes);
  peer.socket().close();
  EXPECT_TRUE(
      RunUntil(context_, [&] { return server_->unfinished_answers() == 0; }));
}

// Guards against pipelined requests that get no answer although no answer
// before them closes the connection: the server stopped while it wrote one.
TEST_F(HttpServerTest, AnswersRequestsThatWereReadAheadOfAStop) {
  Start();
  RawPeer peer = SendToSlowReader(8 << 20);
  peer.Send(std::string(kGet) + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  RunFor(std::chrono::milliseconds(50));
  server_->StopAccepting();
  peer.socket().set_option(kLargeReceiveBuffer);
  EXPECT_TRUE(peer.ExpectClose());
  // The first request after the stop is answered and closes the connection; the
  // one behind it is not run.
  const std::string& received = peer.received();
  EXPECT_NE(received.find("Connection: close\r\n\r\n/a"), std::string::npos);
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_[1].target, "/a");
}

// Guards against a request that runs although it is behind an answer that
// closes the connection, so that a caller that sends it again runs it twice.
TEST_F(HttpServerTest, ARequestBehindAClosingAnswerIsNotRun) {
  Start();
  RawPeer peer = Connect();
  peer.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(kGet) + kGet);
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  server_->StartDraining();
  held_[0]->Respond({});
  ASSERT_TRUE(peer.Expect("Connection: close\r\n\r\n"));
  peer.Send(kGet);
  EXPECT_TRUE(peer.ExpectClose());
  EXPECT_EQ(requests_.size(), 1U);
  EXPECT_EQ(peer.received().find("HTTP/1.1", 1), std::string::npos);
}

TEST_F(HttpServerTest, ThrowsIfTheAddressIsInUse) {
  Start();
  EXPECT_THROW(HttpServer(context_, RawPeer::Loopback(server_->port()), {},
                          [](const std::shared_ptr<HttpExchange>&) {}),
               std::system_error);
}

// A handler may use an exchange after the server was destroyed.
TEST_F(HttpServerTest, AnExchangeMayOutliveTheServer) {
  Start();
  RawPeer peer = Connect();
  peer.Send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(context_, [&] { return held_.size() == 1; }));
  server_.reset();
  held_[0]->Respond({});
  EXPECT_TRUE(peer.ExpectClose());
  EXPECT_EQ(peer.received(), "");
}

}  // namespace
}  // namespace sesamespread::transport
