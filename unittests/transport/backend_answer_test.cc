/// \file
/// Guards against bytes of a backend server that reach a caller as an answer
/// although nothing shows that they are one. A raw server on loopback writes
/// each combination of status, seal, id, framing and end of the connection.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "call_fakes.h"
#include "sesamespread/transport/entry_request_handler.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::seconds;

const FieldNames kFields = {"X-Id",    "X-Budget",  "X-Seal",   "X-Expect",
                            "X-Load",  "X-Not-Run", "X-Caller", "X-Instance",
                            "X-Limit", "X-Leaving", "X-Key",    "Token",
                            "X-Tenant"};
constexpr state::NodeId kSelf = 5;
constexpr char kUploadByte = 'x';

enum class End : std::uint8_t { kKeep, kClose, kReset };

struct Reply {
  std::string bytes;
  End end = End::kKeep;
};

// Answers as soon as it has read the head of a request, and then reads the
// body.
class RawServer {
 public:
  using Handler = std::function<Reply(const std::string& id, bool is_reused)>;

  explicit RawServer(boost::asio::io_context& context)
      : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void SetHandler(Handler handler) { handler_ = std::move(handler); }
  const std::vector<std::string>& ids() const { return ids_; }
  // Whether a body was continued with bytes that do not belong to it.
  bool has_foreign_bytes() const { return has_foreign_bytes_; }

 private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string received;
    std::size_t body_left = 0;
    int requests = 0;
    char bytes[64 << 10];
  };

  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error)
        return;
      connections_.emplace_back(std::move(socket));
      Read(&connections_.back());
      Accept();
    });
  }

  void Read(Connection* connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->bytes),
        [this, connection](const error_code& error, std::size_t size) {
          if (error)
            return;
          connection->received.append(connection->bytes, size);
          if (Consume(connection))
            Read(connection);
        });
  }

  static std::string FieldOfHead(const std::string& head,
                                 const std::string& name) {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
      return "";
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  // \returns false once the connection is closed.
  bool Consume(Connection* connection) {
    std::string& received = connection->received;
    while (!received.empty()) {
      if (connection->body_left > 0) {
        const std::size_t size =
            std::min(connection->body_left, received.size());
        has_foreign_bytes_ |=
            std::any_of(received.begin(),
                        received.begin() + static_cast<std::ptrdiff_t>(size),
                        [](char byte) { return byte != kUploadByte; });
        received.erase(0, size);
        connection->body_left -= size;
        continue;
      }
      const std::size_t end = received.find("\r\n\r\n");
      if (end == std::string::npos)
        return true;
      const std::string head = received.substr(0, end + 2);
      received.erase(0, end + 4);
      const std::string length = FieldOfHead(head, "Content-Length");
      connection->body_left = length.empty() ? 0 : std::stoul(length);
      const std::string id = FieldOfHead(head, "X-Id");
      ids_.push_back(id);
      const Reply reply = handler_(id, connection->requests++ > 0);
      error_code ignored;
      boost::asio::write(connection->socket, boost::asio::buffer(reply.bytes),
                         ignored);
      if (reply.end == End::kKeep)
        continue;
      if (reply.end == End::kReset)
        connection->socket.set_option(tcp::socket::linger(true, 0), ignored);
      connection->socket.close(ignored);
      return false;
    }
    return true;
  }

  tcp::acceptor acceptor_;
  Handler handler_;
  std::list<Connection> connections_;
  std::vector<std::string> ids_;
  bool has_foreign_bytes_ = false;
};

state::RouteSet MakeRoutes() {
  state::Route read;
  read.name = "read";
  read.host = "shop";
  read.prefix = "/read/";
  read.targets = {{"orders", 1}};
  read.idempotent = true;
  read.max_attempts = 2;
  read.goal = seconds(1);
  read.timeout = seconds(3);
  state::Route order = read;
  order.name = "order";
  order.prefix = "/order/";
  order.idempotent = false;
  return {4, {}, {read, order}, {}};
}

class BackendAnswerTest : public ::testing::Test {
 protected:
  BackendAnswerTest() {
    EntryRequestHandler::Options options;
    options.self = kSelf;
    options.seed = 1;
    options.fields = kFields;
    options.caller = "stock";
    // Large enough that the tests do not exhaust the budget.
    options.retries.min_retries = 100'000;
    entry_ = std::make_unique<EntryRequestHandler>(
        deadlines_, options, router_, backend_executor_, outbound_,
        [](state::NodeId) { return state::Endpoint{}; }, metrics_, log_);
    entry_->SetRoutes(std::make_shared<const coordination::RouteTable>(
        std::make_shared<const state::RouteSet>(MakeRoutes())));
    state::BackendReport report;
    report.identity = {"i-1", 1};
    report.endpoint = RawPeer::Loopback(server_.port());
    report.service = "orders";
    report.slots = 4;
    backend_executor_.SetBackend(report);
    state::NodeRecord self;
    self.node = kSelf;
    self.incarnation = 1;
    self.sequence = 1;
    self.zone = "zone-a";
    self.service = "orders";
    self.backend_state = state::BackendState::kServing;
    router_.SetServers("orders", {self}, {}, Now());
    server_.SetHandler(
        [this](const std::string& id, bool) { return Reply{Proved(id)}; });
  }

  static std::string Proved(const std::string& id,
                            const std::string& more = "") {
    return fmt::format(
        "HTTP/1.1 200 OK\r\nX-Id: {0}\r\nX-Seal: seal-{0}\r\n{1}"
        "Content-Length: 5\r\n\r\nwhole",
        id, more);
  }

  HttpResponse Send(bool is_order,
                    const std::string& id,
                    std::size_t upload_bytes = 0) {
    HttpRequest request;
    request.target = is_order ? "/order/1" : "/read/1";
    request.headers = {{"Host", "shop"}, {"X-Id", id}, {"X-Budget", "2000"}};
    if (upload_bytes > 0) {
      request.method = "POST";
      request.body = std::string(upload_bytes, kUploadByte);
    }
    const auto response = std::make_shared<std::optional<HttpResponse>>();
    const auto exchange = std::make_shared<FakeExchange>(request, response);
    entry_->Handle(exchange, state::Duration(0));
    EXPECT_TRUE(RunUntil(context_, [&] { return response->has_value(); }));
    return response->value_or(HttpResponse{});
  }

  // Makes the next request use the connection of an earlier one, or a new one.
  void PrepareConnection(bool reused) {
    bool may_have_idle = true;
    server_.SetHandler([&](const std::string& id, bool on_reused) {
      may_have_idle = on_reused;
      return Reply{Proved(id, reused ? "" : "Connection: close\r\n")};
    });
    do {
      EXPECT_EQ(Send(true, fmt::format("p{}", ++prepared_)).status, 200);
    } while (!reused && may_have_idle);
  }

  std::size_t CountArrivals(const std::string& id) const {
    return static_cast<std::size_t>(
        std::count(server_.ids().begin(), server_.ids().end(), id));
  }

  boost::asio::io_context context_{1};
  DeadlineQueue deadlines_{context_};
  Metrics metrics_;
  EventLog log_{LogLevel::kError, "test"};
  coordination::Router router_{kSelf, "zone-a"};
  BackendExecutor backend_executor_{context_, deadlines_, kFields, metrics_,
                                    log_};
  OutboundCalls outbound_{context_, deadlines_,
                          protocol::Hello{kSelf, 1, "self"},
                          [](state::NodeId, protocol::PeerMessage) {}};
  RawServer server_{context_};
  std::unique_ptr<EntryRequestHandler> entry_;
  int prepared_ = 0;
};

struct Bytes {
  int status = 0;
  const char* seal = "";
  const char* id = "";
  const char* more = "";
  const char* framing = "";
  const char* body = "";
  End end = End::kKeep;

  std::string For(const std::string& request_id) const {
    return fmt::format("HTTP/1.1 {} Text\r\n", status) +
           fmt::format(fmt::runtime(id), request_id) + seal + more + framing +
           "\r\n" + body;
  }
};

constexpr const char* kOwnId = "X-Id: {}\r\n";
constexpr const char* kSeal = "X-Seal: seal\r\n";
constexpr const char* kEmptySeal = "X-Seal: \r\n";

std::vector<Bytes> UnprovedBytes() {
  struct Framing {
    const char* field;
    const char* body;
    End end;
  };
  constexpr Framing kFramings[] = {
      {"Content-Length: 5\r\n", "other", End::kKeep},
      {"Transfer-Encoding: chunked\r\n", "5\r\nother\r\n0\r\n\r\n", End::kKeep},
      {"", "other", End::kClose}};
  std::vector<Bytes> all;
  for (const int status :
       {200, 201, 204, 206, 226, 299, 300, 302, 304, 307, 308, 400, 401,
        403, 404, 409, 410, 412, 413, 417, 418, 422, 425, 431, 451, 499}) {
    for (const Framing& framing : kFramings) {
      for (const char* seal : {"", kEmptySeal, kSeal}) {
        for (const char* id : {"", kOwnId}) {
          if (seal != kSeal || id != kOwnId)
            all.push_back({status, seal, id, "", framing.field, framing.body,
                           framing.end});
        }
      }
    }
  }
  return all;
}

// Guards against a 3xx or 4xx that callers take for an answer of the node and
// do not repeat, and against a request that is not tried again because of it.
TEST_F(BackendAnswerTest, AnUnprovedAnswerBelow500ReachesNoCaller) {
  int number = 0;
  for (const Bytes& bytes : UnprovedBytes()) {
    for (const bool is_order : {true, false}) {
      for (const bool reused : {true, false}) {
        const std::string id = fmt::format("r{}", ++number);
        SCOPED_TRACE(fmt::format("order {}, reused {}, bytes {}", is_order,
                                 reused, bytes.For(id)));
        PrepareConnection(reused);
        bool is_first = true;
        server_.SetHandler([&](const std::string& request, bool on_reused) {
          if (!std::exchange(is_first, false))
            return Reply{Proved(request)};
          EXPECT_EQ(on_reused, reused);
          return Reply{bytes.For(request), bytes.end};
        });
        const HttpResponse response = Send(is_order, id);
        EXPECT_EQ(response.status, is_order ? 502 : 200);
        EXPECT_EQ(FieldOf(response.headers, "X-Seal"),
                  is_order ? "" : "seal-" + id);
        EXPECT_EQ(CountArrivals(id), is_order ? 1U : 2U);
      }
    }
  }
}

// Guards against stray bytes that lift or set the limit of a server, make it
// leave, or change its load.
TEST_F(BackendAnswerTest, AnUnprovedAnswerStatesNothingAboutTheServer) {
  int leaves = 0;
  backend_executor_.SetLeaveObserver([&leaves] { ++leaves; });
  server_.SetHandler([](const std::string& id, bool) {
    return Reply{Proved(id, "X-Limit: 40\r\nX-Load: 1,0,4,100\r\n")};
  });
  EXPECT_EQ(Send(/*is_order=*/true, "r1").status, 200);
  int number = 1;
  for (const int status : {200, 404, 429}) {
    for (const char* more :
         {"", "X-Limit: 1\r\nX-Leaving: 1\r\nX-Load: 4,9,4,900\r\n"}) {
      const Bytes bytes{status, "", kOwnId, more, "Content-Length: 5\r\n",
                        "other"};
      SCOPED_TRACE(bytes.For("r"));
      server_.SetHandler([&bytes](const std::string& id, bool) {
        return Reply{bytes.For(id)};
      });
      EXPECT_EQ(Send(true, fmt::format("r{}", ++number)).status, 502);
      EXPECT_EQ(backend_executor_.rate_limit(), 40);
      EXPECT_EQ(backend_executor_.load().work_factor_percent, 100U);
    }
  }
  EXPECT_EQ(leaves, 0);
}

// Guards against a deadly request that stray bytes clear of suspicion.
TEST_F(BackendAnswerTest, AnUnprovedSuccessClearsNoCrashSuspect) {
  const auto content = coordination::ContentOf("GET", "shop", "/order/1", "");
  coordination::CrashSuspects& suspects = backend_executor_.crash_suspects();
  const auto judge = [&] { return suspects.Judge(content, Now()); };
  suspects.OnServerEnd(7, std::vector{content}, Now());
  ASSERT_EQ(judge(), coordination::CrashVerdict::kSuspect);
  server_.SetHandler([](const std::string& id, bool) {
    return Reply{fmt::format(
        "HTTP/1.1 200 OK\r\nX-Id: {}\r\nContent-Length: 0\r\n\r\n", id)};
  });
  EXPECT_EQ(Send(/*is_order=*/true, "r1").status, 502);
  EXPECT_EQ(judge(), coordination::CrashVerdict::kSuspect);
  server_.SetHandler(
      [](const std::string& id, bool) { return Reply{Proved(id)}; });
  EXPECT_EQ(Send(true, "r2").status, 200);
  EXPECT_EQ(judge(), coordination::CrashVerdict::kNone);
}

// Guards against the load of a server that has taken over the address.
TEST_F(BackendAnswerTest, AnAnswerOfAnotherServerStatesNoLoad) {
  server_.SetHandler([](const std::string& id, bool) {
    return Reply{fmt::format(
        "HTTP/1.1 421 Misdirected Request\r\nX-Id: {}\r\nX-Not-Run: 1\r\n"
        "X-Load: 4,9,4,900\r\nContent-Length: 0\r\n\r\n",
        id)};
  });
  EXPECT_EQ(Send(/*is_order=*/true, "r1").status, 503);
  EXPECT_EQ(backend_executor_.load().work_factor_percent, 100U);
}

// Guards against an order that is sent twice because stray bytes are taken for
// a refusal: a server that refuses with status 421 alone echoes the id.
TEST_F(BackendAnswerTest, AMisdirectedAnswerWithoutIdIsNoPromise) {
  int number = 0;
  for (const char* seal : {"", kEmptySeal, kSeal}) {
    for (const bool reused : {true, false}) {
      const std::string id = fmt::format("r{}", ++number);
      const Bytes bytes{421, seal, "", "", "Content-Length: 5\r\n", "other"};
      SCOPED_TRACE(fmt::format("reused {}, bytes {}", reused, bytes.For(id)));
      PrepareConnection(reused);
      bool is_first = true;
      server_.SetHandler([&](const std::string& request, bool) {
        if (!std::exchange(is_first, false))
          return Reply{Proved(request)};
        return Reply{bytes.For(request)};
      });
      EXPECT_EQ(Send(/*is_order=*/true, id).status, 502);
      EXPECT_EQ(CountArrivals(id), 1U);
    }
  }
}

// Guards against bytes without seal and id that lift the limit of a server. A
// limit that they state is obeyed, because their answer is forwarded.
TEST_F(BackendAnswerTest, AnUnprovedFailureLiftsNoRateLimit) {
  int number = 0;
  for (const int status : {500, 502, 504}) {
    const Bytes bytes{status, "", "", "", "Content-Length: 5\r\n", "other"};
    server_.SetHandler([](const std::string& id, bool) {
      return Reply{Proved(id, "X-Limit: 40\r\nConnection: close\r\n")};
    });
    EXPECT_EQ(Send(/*is_order=*/true, fmt::format("p{}", ++number)).status,
              200);
    ASSERT_EQ(backend_executor_.rate_limit(), 40);
    server_.SetHandler(
        [&bytes](const std::string& id, bool) { return Reply{bytes.For(id)}; });
    SCOPED_TRACE(bytes.For("r"));
    EXPECT_EQ(Send(true, fmt::format("r{}", ++number)).status, status);
    EXPECT_EQ(backend_executor_.rate_limit(), 40);
  }
}

// Guards against a deadly request that a failure without seal and id clears of
// suspicion.
TEST_F(BackendAnswerTest, AnUnprovedFailureClearsNoCrashSuspect) {
  const auto content = coordination::ContentOf("GET", "shop", "/order/1", "");
  coordination::CrashSuspects& suspects = backend_executor_.crash_suspects();
  suspects.OnServerEnd(7, std::vector{content}, Now());
  server_.SetHandler([](const std::string&, bool) {
    return Reply{"HTTP/1.1 500 Text\r\nContent-Length: 0\r\n\r\n"};
  });
  EXPECT_EQ(Send(/*is_order=*/true, "r1").status, 500);
  EXPECT_EQ(suspects.Judge(content, Now()),
            coordination::CrashVerdict::kSuspect);
}

// Guards against a server's own answer that is replaced or repeated. An answer
// to a GET with status 304 may state the length of a body that it does not
// have, and interim answers may come first.
TEST_F(BackendAnswerTest, AProvedAnswerBelow500ReachesTheCaller) {
  int number = 0;
  for (const int status : {200, 204, 206, 299, 300, 302, 304, 307, 400, 401,
                           403, 404, 408, 409, 413, 422, 429, 451, 499}) {
    const bool has_body = status != 204 && status != 304;
    for (const bool is_order : {true, false}) {
      for (const bool reused : {true, false}) {
        for (const char* interim :
             {"", "HTTP/1.1 100 Continue\r\n\r\n",
              "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"}) {
          const std::string id = fmt::format("r{}", ++number);
          const Bytes bytes{status,
                            kSeal,
                            kOwnId,
                            "",
                            status == 204 ? "" : "Content-Length: 5\r\n",
                            has_body ? "whole" : ""};
          SCOPED_TRACE(fmt::format("order {}, reused {}, bytes {}{}", is_order,
                                   reused, interim, bytes.For(id)));
          PrepareConnection(reused);
          server_.SetHandler([&](const std::string& request, bool) {
            return Reply{interim + bytes.For(request)};
          });
          const HttpResponse response = Send(is_order, id);
          EXPECT_EQ(response.status, status);
          EXPECT_EQ(FieldOf(response.headers, "X-Seal"), "seal");
          EXPECT_EQ(response.body, has_body ? "whole" : "");
          EXPECT_EQ(CountArrivals(id), 1U);
        }
      }
    }
  }
}

}  // namespace
}  // namespace sesamespread::transport
