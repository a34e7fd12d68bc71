/// \file
/// Guards against answers that are delivered though they are incomplete or
/// belong to another request, requests that are sent twice, and calls that
/// never end.
#include "sesamespread/transport/http_client.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "sesamespread/transport/http_server.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

constexpr std::chrono::seconds kLongTimeout{60};

class HttpClientTest : public testing::Test {
 protected:
  HttpClientTest()
      : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    client_.emplace(context_, HttpClientOptions{});
  }

  state::Endpoint endpoint() const {
    return RawPeer::Loopback(acceptor_.local_endpoint().port());
  }

  /// Sends a request and returns the index of its outcome.
  std::size_t Send(const std::string& target = "/a",
                   state::Duration timeout = kLongTimeout,
                   const std::string& method = "GET") {
    const std::size_t index = outcomes_.size();
    outcomes_.emplace_back();
    HttpRequest request;
    request.method = method;
    request.target = target;
    handle_ = client_->Send(endpoint(), request, FromNow(timeout),
                            [this, index](HttpOutcome outcome) {
                              EXPECT_FALSE(outcomes_[index].has_value());
                              outcomes_[index] = std::move(outcome);
                            });
    EXPECT_FALSE(outcomes_[index].has_value()) << "callback inside Send";
    return index;
  }

  HttpOutcome Outcome(std::size_t index) {
    EXPECT_TRUE(
        RunUntil(context_, [&] { return outcomes_[index].has_value(); }));
    return outcomes_[index].value_or(HttpOutcome{});
  }

  /// Sends a request, answers it with \p answer, then closes the connection if
  /// \p close is set, and returns the outcome of the request.
  HttpOutcome OutcomeOf(std::string_view answer,
                        bool close = true,
                        const std::string& method = "GET") {
    const std::size_t index = Send("/a", kLongTimeout, method);
    RawPeer peer(context_);
    EXPECT_TRUE(peer.Accept(acceptor_));
    EXPECT_TRUE(peer.Expect("\r\n\r\n"));
    peer.Send(answer);
    if (close)
      peer.socket().close();
    return Outcome(index);
  }

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::optional<HttpOutcome>> outcomes_;
  HttpClient::Handle handle_ = 0;
  std::optional<HttpClient> client_;
};

TEST_F(HttpClientTest, DeliversWholeAnswers) {
  const HttpOutcome sized =
      OutcomeOf("HTTP/1.1 201 Created\r\nx: y\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(sized.kind, HttpOutcomeKind::kAnswered);
  EXPECT_TRUE(sized.request_sent);
  EXPECT_EQ(sized.response.status, 201);
  EXPECT_EQ(sized.response.body, "abc");
  EXPECT_EQ(FieldOf(sized.response.headers, "X"), "y");

  const HttpOutcome chunked = OutcomeOf(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n");
  EXPECT_EQ(chunked.kind, HttpOutcomeKind::kAnswered);
  EXPECT_EQ(chunked.response.body, "abc");

  EXPECT_EQ(OutcomeOf("HTTP/1.1 204 No Content\r\n\r\n").kind,
            HttpOutcomeKind::kAnswered);
  const HttpOutcome interim = OutcomeOf(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 1\r\n\r\na");
  EXPECT_EQ(interim.response.body, "a");
  const HttpOutcome head = OutcomeOf(
      "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n", false, "HEAD");
  EXPECT_EQ(head.kind, HttpOutcomeKind::kAnswered);
  EXPECT_EQ(head.response.body, "");
}

// A part of an answer must never be delivered as a complete answer.
TEST_F(HttpClientTest, ReportsAnswersThatAreCutShort) {
  for (const char* answer :
       {"", "HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\n\r\nabc",
        "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na"}) {
    const HttpOutcome outcome = OutcomeOf(answer);
    EXPECT_EQ(outcome.kind, HttpOutcomeKind::kTruncated) << answer;
    EXPECT_TRUE(outcome.request_sent);
  }
}

TEST_F(HttpClientTest, ReportsMalformedAnswers) {
  std::string interim;
  for (int i = 0; i < 20; ++i)
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::string& answer :
       {std::string("SSH-2.0-x\r\n\r\n"), std::string("HTTP/1.1 99 x\r\n\r\n"),
        std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                    "Content-Length: 2\r\n\r\na"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\na"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\na"),
        interim}) {
    EXPECT_EQ(OutcomeOf(answer).kind, HttpOutcomeKind::kMalformed) << answer;
  }
}

// Guards against a status line that one implementation takes for a success and
// another one for an error, and against statuses that no caller understands.
TEST_F(HttpClientTest, ReportsInvalidStatusLinesAndClosesTheConnection) {
  std::vector<std::string> lines = {
      "HTTP/1.1 1000 x",         "HTTP/1.1 2000 x", "HTTP/1.1 0200 x",
      "HTTP/1.1 20 x",           "HTTP/1.1 2 x",    "HTTP/1.1 +20 x",
      "HTTP/1.1 -20 x",          "HTTP/1.1 +200 x", "HTTP/1.1 -200 x",
      "HTTP/1.1  200 x",         "HTTP/1.1 2 0 x",  "HTTP/1.1 20\t x",
      "HTTP/1.1\t200 x",         "HTTP/1.1 200\tx", "HTTP/1.1 20x x",
      "HTTP/1.1 \xb2\xb0\xb0 x", "HTTP/1.1 ",       "HTTP/1.1 x",
      "HTTP/1.2 200 x",          "HTTP/2.0 200 x",  "HTTP/0.9 200 x",
      " HTTP/1.1 200 x",         "http/1.1 200 x",  "HTTP/1.1 101 x"};
  for (int status = 0; status <= 999; ++status) {
    const bool is_valid = status >= 100 && status <= 599;
    if (!is_valid && (status % 50 == 0 || status % 100 == 99 || status < 12))
      lines.push_back(fmt::format("HTTP/1.1 {:03} x", status));
  }
  for (const std::string& line : lines) {
    RawPeer peer(context_);
    const std::size_t index = Send();
    ASSERT_TRUE(peer.Accept(acceptor_));
    ASSERT_TRUE(peer.Expect("\r\n\r\n"));
    peer.Send(line + "\r\nContent-Length: 1\r\n\r\na");
    EXPECT_EQ(Outcome(index).kind, HttpOutcomeKind::kMalformed) << line;
    EXPECT_TRUE(peer.ExpectClose()) << line;
  }
}

// An endless answer must be ended at the size limit before memory is exhausted.
TEST_F(HttpClientTest, LimitsTheSizeOfAnswers) {
  HttpClientOptions options;
  options.max_header_bytes = 1000;
  options.max_body_bytes = 1000;
  client_.emplace(context_, options);
  EXPECT_EQ(
      OutcomeOf("HTTP/1.1 200 OK\r\nx: " + std::string(5000, 'a'), false).kind,
      HttpOutcomeKind::kTooLarge);
  EXPECT_EQ(
      OutcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n", false).kind,
      HttpOutcomeKind::kTooLarge);
  std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 1000; ++i)
    endless += "64\r\n" + std::string(100, 'a') + "\r\n";
  EXPECT_EQ(OutcomeOf(endless, false).kind, HttpOutcomeKind::kTooLarge);
}

// A server that does not answer must not keep a call open beyond its deadline.
// Guards against servers that send bodies without end on several connections
// and together exhaust the memory, each within the limit of one body.
TEST_F(HttpClientTest, LimitsTheSumOfBodies) {
  HttpClientOptions options;
  options.max_body_bytes = 1 << 20;
  options.max_received_bytes = 600 << 10;
  client_.emplace(context_, options);
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "19000\r\n" + std::string(100 << 10, 'x') + "\r\n";
  const std::size_t small = Send("/small");
  RawPeer small_peer(context_);
  ASSERT_TRUE(small_peer.Accept(acceptor_));
  small_peer.Send(head + chunk);
  const std::size_t endless = Send("/endless");
  RawPeer endless_peer(context_);
  ASSERT_TRUE(endless_peer.Accept(acceptor_));
  endless_peer.Send(head);
  for (int i = 0; i < 9 && !outcomes_[endless]; ++i)
    endless_peer.Send(chunk);
  EXPECT_EQ(Outcome(endless).kind, HttpOutcomeKind::kTooLarge);
  EXPECT_FALSE(outcomes_[small].has_value());
  small_peer.Send("0\r\n\r\n");
  EXPECT_EQ(Outcome(small).kind, HttpOutcomeKind::kAnswered);
}

TEST_F(HttpClientTest, EndsAtTheDeadline) {
  const std::size_t sent = Send("/a", std::chrono::milliseconds(30));
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  const HttpOutcome outcome = Outcome(sent);
  EXPECT_EQ(outcome.kind, HttpOutcomeKind::kTimedOut);
  EXPECT_TRUE(outcome.request_sent);
  // The close notifies the other end that the answer is no longer needed.
  EXPECT_TRUE(peer.ExpectClose());

  const HttpOutcome expired = Outcome(Send("/a", std::chrono::seconds(-1)));
  EXPECT_EQ(expired.kind, HttpOutcomeKind::kTimedOut);
  EXPECT_FALSE(expired.request_sent);
  EXPECT_EQ(client_->in_flight(), 0U);
}

// `request_sent` decides whether a request may be sent to another server. It
// must be false if no connection was opened.
TEST_F(HttpClientTest, ReportsAFailedConnection) {
  const state::Endpoint closed = endpoint();
  acceptor_.close();
  int ended = 0;
  for (const state::Endpoint& target :
       {closed, state::Endpoint{"nowhere", 1}}) {
    client_->Send(target, {}, FromNow(kLongTimeout),
                  [&](const HttpOutcome& outcome) {
                    EXPECT_EQ(outcome.kind, HttpOutcomeKind::kConnectFailed);
                    EXPECT_FALSE(outcome.request_sent);
                    ++ended;
                  });
  }
  EXPECT_TRUE(RunUntil(context_, [&] { return ended == 2; }));
}

// A server whose accept queue is full does not answer connection attempts. They
// must end at the connect timeout, before the deadline of the call.
TEST_F(HttpClientTest, TimesOutTheConnectionAttempt) {
  acceptor_.close();
  acceptor_.open(boost::asio::ip::tcp::v4());
  acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  acceptor_.listen(0);
  HttpClientOptions options;
  options.connect_timeout = std::chrono::milliseconds(30);
  client_.emplace(context_, options);
  std::vector<std::size_t> sent;
  for (int i = 0; i < 4; ++i)
    sent.push_back(Send("/a", std::chrono::milliseconds(500)));
  const HttpOutcome last = Outcome(sent.back());
  EXPECT_EQ(last.kind, HttpOutcomeKind::kConnectFailed);
  EXPECT_FALSE(last.request_sent);
}

TEST_F(HttpClientTest, CancelClosesTheConnection) {
  const std::size_t sent = Send();
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  ASSERT_TRUE(peer.Expect("\r\n\r\n"));
  client_->Cancel(handle_);
  EXPECT_FALSE(outcomes_[sent].has_value()) << "callback inside Cancel";
  EXPECT_EQ(Outcome(sent).kind, HttpOutcomeKind::kCancelled);
  EXPECT_TRUE(peer.ExpectClose());
  client_->Cancel(handle_);
  EXPECT_EQ(client_->in_flight(), 0U);
}

TEST_F(HttpClientTest, ReusesAConnection) {
  const std::size_t first = Send("/a");
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  EXPECT_EQ(Outcome(first).response.body, "a");
  const std::size_t second = Send("/b");
  ASSERT_TRUE(peer.Expect("GET /b"));
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
  EXPECT_EQ(Outcome(second).response.body, "b");
}

// If all connections break at once without being closed, each of them would
// cost one request its timeout. The first timeout must discard the idle ones.
TEST_F(HttpClientTest, DropsIdleConnectionsWhenOneIsSilent) {
  std::vector<RawPeer> peers;
  for (int i = 0; i < 2; ++i) {
    Send("/a");
    peers.emplace_back(context_);
    ASSERT_TRUE(peers.back().Accept(acceptor_));
  }
  for (std::size_t i = 0; i < 2; ++i) {
    peers[i].Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    EXPECT_EQ(Outcome(i).response.body, "a");
  }
  const std::size_t silent = Send("/b", std::chrono::milliseconds(50));
  EXPECT_EQ(Outcome(silent).kind, HttpOutcomeKind::kTimedOut);
  const std::size_t next = Send("/c");
  peers.emplace_back(context_);
  ASSERT_TRUE(peers.back().Accept(acceptor_));
  peers.back().Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc");
  EXPECT_FALSE(Outcome(next).reused_connection);
}

// A request must not fail because the other end has closed an idle connection,
// and must not be sent twice to detect that.
TEST_F(HttpClientTest, DetectsAStaleConnectionBeforeTheWrite) {
  const std::size_t first = Send("/a");
  {
    RawPeer peer(context_);
    ASSERT_TRUE(peer.Accept(acceptor_));
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    EXPECT_EQ(Outcome(first).response.body, "a");
  }
  // The io_context has not run since the peer closed the connection.
  const std::size_t second = Send("/b");
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  ASSERT_TRUE(peer.Expect("GET /b"));
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
  EXPECT_EQ(Outcome(second).response.body, "b");
}

// A request that was written must not be sent again when the connection ends,
// because it may have run.
TEST_F(HttpClientTest, NeverSendsAWrittenRequestAgain) {
  const std::size_t first = Send("/a");
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  EXPECT_EQ(Outcome(first).response.body, "a");
  const std::size_t second = Send("/b");
  ASSERT_TRUE(peer.Expect("GET /b"));
  peer.socket().close();
  const HttpOutcome outcome = Outcome(second);
  EXPECT_EQ(outcome.kind, HttpOutcomeKind::kTruncated);
  EXPECT_TRUE(outcome.request_sent);
  acceptor_.non_blocking(true);
  boost::system::error_code error;
  acceptor_.accept(error);
  EXPECT_EQ(error, boost::asio::error::would_block);
}

// Bytes that arrive while no request is outstanding must not become the answer
// to the next request.
TEST_F(HttpClientTest, DropsAConnectionWithUnexpectedBytes) {
  const std::string forged =
      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged";
  for (const bool with_answer : {true, false}) {
    const std::size_t first = Send("/a");
    RawPeer peer(context_);
    ASSERT_TRUE(peer.Accept(acceptor_));
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    peer.Send(with_answer ? answer + forged : answer);
    EXPECT_EQ(Outcome(first).response.body, "a");
    if (!with_answer)
      peer.Send(forged);
    const std::size_t second = Send("/b");
    RawPeer next(context_);
    ASSERT_TRUE(next.Accept(acceptor_));
    next.Send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n"
        "Content-Length: 1\r\n\r\nb");
    EXPECT_EQ(Outcome(second).response.body, "b");
  }
}

// Requests over the limit of connections wait, and end at their own deadline if
// no connection becomes free.
TEST_F(HttpClientTest, LimitsConnections) {
  HttpClientOptions options;
  options.max_connections_per_endpoint = 1;
  client_.emplace(context_, options);
  const std::size_t first = Send("/a");
  const std::size_t second = Send("/b", std::chrono::milliseconds(30));
  const std::size_t third = Send("/c");
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  const HttpOutcome timed_out = Outcome(second);
  EXPECT_EQ(timed_out.kind, HttpOutcomeKind::kTimedOut);
  EXPECT_FALSE(timed_out.request_sent);
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  EXPECT_EQ(Outcome(first).response.body, "a");
  ASSERT_TRUE(peer.Expect("GET /c"));
  EXPECT_EQ(peer.received().find("GET /b"), std::string::npos);
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc");
  EXPECT_EQ(Outcome(third).response.body, "c");
}

TEST_F(HttpClientTest, ClosesIdleConnections) {
  HttpClientOptions options;
  options.idle_timeout = std::chrono::milliseconds(30);
  client_.emplace(context_, options);
  const std::size_t sent = Send();
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  EXPECT_EQ(Outcome(sent).kind, HttpOutcomeKind::kAnswered);
  EXPECT_TRUE(peer.ExpectClose());
}

// Large bodies are written and read in many parts, in both directions.
TEST_F(HttpClientTest, ExchangesLargeBodiesWithTheServer) {
  HttpServerOptions options;
  options.max_body_bytes = 8 << 20;
  HttpServer server(context_, RawPeer::Loopback(0), options,
                    [](const std::shared_ptr<HttpExchange>& exchange) {
                      HttpResponse response;
                      response.body = exchange->request().body;
                      exchange->Respond(std::move(response));
                    });
  HttpRequest request;
  request.method = "POST";
  for (int i = 0; request.body.size() < (6 << 20); ++i)
    request.body += std::to_string(i) + ",";
  int complete_count = 0;
  for (int i = 0; i < 3; ++i) {
    client_->Send(RawPeer::Loopback(server.port()), request,
                  FromNow(kLongTimeout), [&](const HttpOutcome& outcome) {
                    complete_count +=
                        outcome.kind == HttpOutcomeKind::kAnswered &&
                        outcome.response.body == request.body;
                  });
  }
  EXPECT_TRUE(RunUntil(context_, [&] { return complete_count == 3; }));
}

// Cancel must notify the handler of the server that the request is abandoned.
TEST_F(HttpClientTest, CancelNotifiesTheServersHandler) {
  std::shared_ptr<HttpExchange> held;
  bool abandoned = false;
  HttpServer server(context_, RawPeer::Loopback(0), {},
                    [&](std::shared_ptr<HttpExchange> exchange) {
                      exchange->OnAbandoned([&] { abandoned = true; });
                      held = std::move(exchange);
                    });
  const HttpClient::Handle handle =
      client_->Send(RawPeer::Loopback(server.port()), {}, FromNow(kLongTimeout),
                    [](const HttpOutcome&) {});
  ASSERT_TRUE(RunUntil(context_, [&] { return held != nullptr; }));
  client_->Cancel(handle);
  EXPECT_TRUE(RunUntil(context_, [&] { return abandoned; }));
}

// A client with the options that are used towards backend servers: answers
// carry the id of their request and may end with the connection.
class PlatformHttpClientTest : public HttpClientTest {
 protected:
  PlatformHttpClientTest() {
    HttpClientOptions options;
    options.request_id_field = "X-Id";
    options.accept_close_delimited = true;
    client_.emplace(context_, options);
  }

  std::size_t SendWithId(const std::string& id,
                         state::Duration max_idle = state::Duration::max()) {
    const std::size_t index = outcomes_.size();
    outcomes_.emplace_back();
    HttpRequest request;
    request.headers = {{"X-Id", id}};
    client_->Send(
        endpoint(), request, FromNow(kLongTimeout),
        [this, index](HttpOutcome outcome) {
          outcomes_[index] = std::move(outcome);
        },
        max_idle);
    return index;
  }
};

// A duplicate answer to an earlier request must not be delivered as the answer
// to the current one.
TEST_F(PlatformHttpClientTest, DropsAnswersWithTheIdOfAnotherRequest) {
  const std::size_t index = SendWithId("b");
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  ASSERT_TRUE(peer.Expect("\r\n\r\n"));
  peer.Send("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\n1");
  peer.Send("HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\n2");
  const HttpOutcome outcome = Outcome(index);
  EXPECT_EQ(outcome.kind, HttpOutcomeKind::kAnswered);
  EXPECT_EQ(outcome.response.body, "2");
  // The connection is out of step with its requests and must not be reused.
  EXPECT_TRUE(peer.ExpectClose());
}

TEST_F(PlatformHttpClientTest, AnAnswerWithoutLengthEndsWithItsConnection) {
  const HttpOutcome complete = OutcomeOf("HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_EQ(complete.kind, HttpOutcomeKind::kAnswered);
  EXPECT_EQ(complete.response.body, "abc");
  EXPECT_EQ(OutcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc").kind,
            HttpOutcomeKind::kTruncated);
}

// An answer without length whose connection is reset may be truncated.
TEST_F(PlatformHttpClientTest, AnAnswerWithoutLengthIsTruncatedByAReset) {
  const std::size_t index = SendWithId("a");
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  ASSERT_TRUE(peer.Expect("\r\n\r\n"));
  peer.Send("HTTP/1.1 200 OK\r\n\r\nabc");
  peer.socket().set_option(boost::asio::ip::tcp::socket::linger(true, 0));
  peer.socket().close();
  EXPECT_EQ(Outcome(index).kind, HttpOutcomeKind::kTruncated);
}

// Starts to answer an upload that does not fit into the buffers of its
// connection.
class EarlyAnswerTest : public PlatformHttpClientTest {
 protected:
  static constexpr std::size_t kUploadBytes = 16 << 20;

  // Sends an upload and returns the index of its outcome, after the server has
  // received a part of it.
  std::size_t StartUpload(RawPeer* peer) {
    const std::size_t index = outcomes_.size();
    outcomes_.emplace_back();
    HttpRequest request;
    request.method = "POST";
    request.headers = {{"X-Id", "a"}};
    request.body = std::string(kUploadBytes, 'x');
    client_->Send(endpoint(), std::move(request), FromNow(kLongTimeout),
                  [this, index](HttpOutcome outcome) {
                    outcomes_[index] = std::move(outcome);
                  });
    EXPECT_TRUE(peer->Accept(acceptor_));
    EXPECT_TRUE(peer->Expect("\r\n\r\n"));
    return index;
  }
};

// Guards against a part of an answer that is delivered as a whole one because
// the write of the request, and not the read of the answer, meets the reset.
TEST_F(EarlyAnswerTest, AResetWhileTheRequestIsWrittenTruncatesTheAnswer) {
  for (const std::string_view body : {"", "abc"}) {
    for (int polls = 0; polls < 20; ++polls) {
      RawPeer peer(context_);
      const std::size_t index = StartUpload(&peer);
      peer.Send("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n");
      peer.Send(body);
      // The client reads the answer, and goes on to write, before the reset.
      for (int i = 0; i < polls; ++i) {
        peer.Poll();
        context_.poll_one();
      }
      peer.socket().set_option(boost::asio::ip::tcp::socket::linger(true, 0));
      peer.socket().close();
      EXPECT_EQ(Outcome(index).kind, HttpOutcomeKind::kTruncated)
          << "body '" << body << "', polls " << polls;
    }
  }
}

// Guards against a whole answer that is taken for a truncated one because the
// server does not read the rest of the request.
TEST_F(EarlyAnswerTest, AnOrderlyEndWhileTheRequestIsWrittenIsAWholeAnswer) {
  for (const bool is_reset_afterwards : {false, true}) {
    RawPeer peer(context_);
    const std::size_t index = StartUpload(&peer);
    peer.Send("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nabc");
    peer.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    // Bytes that have not been read turn the close into a reset.
    if (is_reset_afterwards)
      peer.socket().close();
    const HttpOutcome outcome = Outcome(index);
    EXPECT_EQ(outcome.kind, HttpOutcomeKind::kAnswered) << is_reset_afterwards;
    EXPECT_EQ(outcome.response.body, "abc");
  }
}

// Guards against a sound answer that is lost because the server still reads the
// request.
TEST_F(EarlyAnswerTest,
       AnAnswerWithALengthIsDeliveredBeforeTheRequestIsWritten) {
  RawPeer peer(context_);
  const std::size_t index = StartUpload(&peer);
  peer.Send("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nabc");
  const HttpOutcome outcome = Outcome(index);
  EXPECT_EQ(outcome.kind, HttpOutcomeKind::kAnswered);
  EXPECT_EQ(outcome.response.body, "abc");
}

// A connection whose keep-alive timeout is about to expire must not be reused,
// because the other end may close it while the request is sent.
TEST_F(PlatformHttpClientTest, RespectsTheKeepAliveTimeout) {
  const std::size_t first = SendWithId("a");
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  ASSERT_TRUE(peer.Expect("\r\n\r\n"));
  peer.Send(
      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
  Outcome(first);
  SendWithId("b");
  RawPeer other(context_);
  EXPECT_TRUE(other.Accept(acceptor_));
}

// A request that must not be repeated is sent only on a connection that was in
// use recently; see max_idle.
TEST_F(PlatformHttpClientTest,
       DoesNotReuseConnectionsIdleForLongerThanMaxIdle) {
  const std::size_t first = SendWithId("a");
  RawPeer peer(context_);
  ASSERT_TRUE(peer.Accept(acceptor_));
  ASSERT_TRUE(peer.Expect("\r\n\r\n"));
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Outcome(first);
  SendWithId("b", state::Duration(0));
  RawPeer other(context_);
  EXPECT_TRUE(other.Accept(acceptor_));
}

}  // namespace
}  // namespace sesamespread::transport
