/// \file
/// Backend servers that write bytes which are not the answer to the request:
/// late copies of answers, answers that break off, and bytes without end.
/// Real nodes forward the requests, and a raw server writes the bytes.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "raw_backend.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::test {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kUnavailable = 503;

// Replaces the server of one `stock` host by a raw one.
class ServerFaultTest : public ::testing::Test {
 protected:
  void Start(RawBackend::Handler handler) {
    deployment_ = std::make_unique<RouteDeployment>(RouteDeploymentOptions{
        .services = {"shop", "stock"}, .keeps_logs = true});
    ASSERT_TRUE(deployment_->WaitUntilServing());
    RouteHost& host = deployment_->stock(0);
    host.backend.reset();
    raw_ = std::make_unique<RawBackend>(host.backend_server, "i-1",
                                        std::move(handler));
  }

  // Called at the end of each test, whose variables the handler uses.
  void StopServer() { raw_.reset(); }

  void TearDown() override {
    if (HasFailure())
      std::cerr << deployment_->CollectDiagnostics();
    deployment_.reset();
  }

  // Sends an order or a read through one node, or through two if \p remote.
  bench::HttpResult Send(const std::string& id,
                         bool is_order,
                         bool remote,
                         milliseconds budget = milliseconds(3000)) {
    return deployment_->Send(
        remote ? deployment_->shop() : deployment_->stock(0),
        is_order ? "orders.example" : "stock.example", id, budget);
  }

  static void ExpectOwnAnswer(const bench::HttpResult& result,
                              const std::string& id) {
    EXPECT_EQ(transport::FieldOf(result.headers, "X-Attempt-Id"), id);
    EXPECT_EQ(transport::FieldOf(result.headers, "X-Response-Seal"),
              "i-1/" + id);
    EXPECT_EQ(result.body, "i-1 answers " + id);
  }

  std::unique_ptr<RouteDeployment> deployment_;
  std::unique_ptr<RawBackend> raw_;
};

// --- Copies of answers

// A copy of an answer that the server writes in addition.
struct Copy {
  const char* name;
  // Status line and fields; {} stands for the id of the previous request.
  const char* head;
};

constexpr Copy kCopies[] = {
    {"with the id of the previous request",
     "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Response-Seal: i-1/{0}\r\n"},
    {"without id", "HTTP/1.1 200 OK\r\nX-Response-Seal: i-1/{0}\r\n"},
    {"of a refusal with the id of the previous request",
     "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {0}\r\n"
     "X-Not-Executed: 1\r\n"},
    {"of a refusal without id",
     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"},
    {"of an error without id", "HTTP/1.1 500 Internal Server Error\r\n"},
};

// Guards against an answer that a caller gets although it belongs to another
// request, and against an order that runs again, or counts as refused, because
// of the copy of an earlier refusal.
TEST_F(ServerFaultTest, ACopyOfAnAnswerReachesNoCaller) {
  enum Place { kBefore, kTogether, kAfter, kLate };
  int place = kBefore;
  const Copy* copy = nullptr;
  std::string previous = "none";
  Start([&](const std::string& id, RawConnection& connection) {
    const std::string extra =
        fmt::format(fmt::runtime(copy->head), previous) +
        fmt::format("Content-Length: {}\r\n\r\ni-1 answers {}",
                    previous.size() + 12, previous);
    const std::string answer = raw_->AnswerTo(id);
    previous = id;
    // A copy can only follow an earlier answer on the same connection.
    if (connection.request_count() == 1 && place < kAfter) {
      connection.Write(answer);
      return;
    }
    switch (place) {
      case kBefore:
        connection.Write(extra);
        std::this_thread::sleep_for(milliseconds(10));
        connection.Write(answer);
        break;
      case kTogether:
        connection.Write(extra + answer);
        break;
      case kAfter:
        connection.Write(answer + extra);
        break;
      default:
        connection.Write(answer);
        std::this_thread::sleep_for(milliseconds(5));
        connection.Write(extra);
    }
  });
  int number = 0;
  for (const Copy& tried : kCopies) {
    copy = &tried;
    for (place = kBefore; place <= kLate; ++place) {
      for (int i = 0; i < 8; ++i) {
        SCOPED_TRACE(
            fmt::format("copy {}, place {}, request {}", copy->name, place, i));
        const bool is_order = i % 2 == 0;
        const std::string id = fmt::format("c{}", number++);
        const auto result = Send(id, is_order, i % 4 < 2);
        if (result.status == kOk) {
          ExpectOwnAnswer(result, id);
        } else {
          EXPECT_EQ(transport::FieldOf(result.headers, "X-Response-Seal"), "");
        }
        if (result.status == kUnavailable) {
          EXPECT_EQ(raw_->CountExecutions(id), 0U);
        }
        if (is_order) {
          EXPECT_LE(raw_->CountExecutions(id), 1U);
        }
      }
    }
  }
  StopServer();
}

// The copy carries the id of the request, which does not tell it apart.
TEST_F(ServerFaultTest, ACopyOfTheRefusalOfTheSameRequestIsNotBelieved) {
  constexpr int kRounds = 12;
  constexpr int kServedPerRound = 20;
  struct Sends {
    int arrivals = 0;
    int runs = 0;
    const RawConnection* refused_on = nullptr;
  };
  std::mutex mutex;
  std::map<std::string, Sends> sends;
  Start([&](const std::string& id, RawConnection& connection) {
    const std::string refusal = fmt::format(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {}\r\n"
        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        id);
    bool is_refused = false;
    bool has_copy = false;
    {
      const std::lock_guard lock(mutex);
      Sends& sent = sends[id];
      is_refused = ++sent.arrivals == 1 && id[0] == 'r';
      has_copy = sent.refused_on == &connection;
      sent.runs += is_refused ? 0 : 1;
      if (is_refused)
        sent.refused_on = &connection;
    }
    if (is_refused || has_copy)
      connection.Write(refusal);
    if (is_refused)
      return;
    std::this_thread::sleep_for(milliseconds(5));
    connection.Write(raw_->AnswerTo(id));
  });
  int sent_again = 0;
  for (int round = 0; round < kRounds; ++round) {
    const bool is_order = round % 3 != 2;
    const bool remote = round % 2 == 0;
    // Requests that are served add to the retry budget.
    for (int i = 0; i < kServedPerRound; ++i)
      Send(fmt::format("s{}-{}", round, i), is_order, remote);
    const std::string id = fmt::format("r{}", round);
    const auto result = Send(id, is_order, remote);
    const std::lock_guard lock(mutex);
    const Sends& sent = sends[id];
    sent_again += sent.arrivals > 1 ? 1 : 0;
    if (is_order) {
      EXPECT_LE(sent.runs, 1) << id;
    }
    if (result.status == kUnavailable) {
      EXPECT_EQ(sent.runs, 0) << id;
    }
    if (result.status == kOk)
      ExpectOwnAnswer(result, id);
  }
  // Otherwise the case has not been played.
  EXPECT_GT(sent_again, kRounds / 2);
  StopServer();
}

// --- Answers that break off

struct Break {
  const char* name;
  // Bytes before the end of the connection; {0} stands for the id.
  const char* bytes;
  bool reset;
};

#define SEALED \
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Response-Seal: i-1/{0}\r\n"

constexpr Break kBreaks[] = {
    {"before the head, FIN", "", false},
    {"before the head, RST", "", true},
    {"in the head, FIN", "HTTP/1.1 200 OK\r\nX-Atte", false},
    {"in the head, RST", "HTTP/1.1 200 OK\r\nX-Atte", true},
    {"with length, before the body, FIN", SEALED "Content-Length: 14\r\n\r\n",
     false},
    {"with length, in the body, FIN",
     SEALED "Content-Length: 14\r\n\r\ni-1 ans", false},
    {"with length, in the body, RST",
     SEALED "Content-Length: 14\r\n\r\ni-1 ans", true},
    {"chunked, before the first chunk, FIN",
     SEALED "Transfer-Encoding: chunked\r\n\r\n", false},
    {"chunked, in a chunk, FIN",
     SEALED "Transfer-Encoding: chunked\r\n\r\ne\r\ni-1 ans", false},
    {"chunked, after a chunk, FIN",
     SEALED "Transfer-Encoding: chunked\r\n\r\n7\r\ni-1 ans\r\n", false},
    {"chunked, in the last chunk, FIN",
     SEALED "Transfer-Encoding: chunked\r\n\r\n7\r\ni-1 ans\r\n0\r\n", false},
    {"chunked, in the last chunk, RST",
     SEALED "Transfer-Encoding: chunked\r\n\r\n7\r\ni-1 ans\r\n0\r\n", true},
    {"without length, before the body, RST", SEALED "\r\n", true},
    {"without length, in the body, RST", SEALED "\r\ni-1 ans", true},
};

#undef SEALED

// Guards against a part of an answer that reaches the caller as a complete
// success, and against an order that runs again or counts as not run because
// its answer was lost.
TEST_F(ServerFaultTest, AnAnswerThatBreaksOffIsNoSuccess) {
  std::atomic<const Break*> tried = nullptr;
  Start([&](const std::string& id, RawConnection& connection) {
    const Break& current = *tried.load();
    connection.Write(fmt::format(fmt::runtime(current.bytes), id));
    // A reset may overtake the bytes; the client reads them first.
    std::this_thread::sleep_for(milliseconds(5));
    connection.Close(current.reset);
  });
  int number = 0;
  for (const Break& entry : kBreaks) {
    tried = &entry;
    for (const bool is_order : {true, false}) {
      for (const bool remote : {true, false}) {
        SCOPED_TRACE(fmt::format("break {}, order {}, remote {}", entry.name,
                                 is_order, remote));
        const std::string id = fmt::format("b{}", number++);
        const auto result = Send(id, is_order, remote);
        EXPECT_GE(result.status, 500);
        EXPECT_NE(result.status, kUnavailable);
        if (is_order) {
          EXPECT_EQ(raw_->CountExecutions(id), 1U);
        }
      }
    }
  }
  StopServer();
}

// Ends the head at each of its bytes, for each way to tell the body's length.
TEST_F(ServerFaultTest, AHeadThatBreaksOffIsNoSuccess) {
  constexpr const char* kFramings[] = {"Content-Length: 14\r\n",
                                       "Transfer-Encoding: chunked\r\n", ""};
  std::mutex mutex;
  std::string bytes;
  Start([&](const std::string&, RawConnection& connection) {
    const std::lock_guard lock(mutex);
    connection.Write(bytes);
    connection.Close(false);
  });
  int number = 0;
  for (const char* const framing : kFramings) {
    const std::string id = fmt::format("h{}", number++);
    const std::string head = fmt::format(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\n{1}X-Response-Seal: i-1/{0}"
        "\r\n\r\n",
        id, framing);
    for (std::size_t size = 0; size < head.size(); ++size) {
      {
        const std::lock_guard lock(mutex);
        bytes = head.substr(0, size);
      }
      const bool is_order = size % 2 == 0;
      const auto result = Send(id, is_order, size % 4 < 2);
      EXPECT_GE(result.status, 500) << bytes;
      EXPECT_NE(result.status, kUnavailable) << bytes;
    }
  }
  StopServer();
}

// --- Status lines that are not valid

// Guards against a status that no caller understands, or a success that the
// server did not state: each of these is a failure of the attempt, the order
// does not run again, and the connection is not used again.
TEST_F(ServerFaultTest, AnAnswerWithAnInvalidStatusLineReachesNoCaller) {
  const std::vector<std::string> lines = {"HTTP/1.1 000 None",
                                          "HTTP/1.1 007 None",
                                          "HTTP/1.1 099 None",
                                          "HTTP/1.1 600 None",
                                          "HTTP/1.1 799 None",
                                          "HTTP/1.1 999 None",
                                          "HTTP/1.1 20 OK",
                                          "HTTP/1.1 2 OK",
                                          "HTTP/1.1 2000 OK",
                                          "HTTP/1.1 0200 OK",
                                          "HTTP/1.1 20000000000 OK",
                                          "HTTP/1.1 +20 OK",
                                          "HTTP/1.1 -200 OK",
                                          "HTTP/1.1 -20 OK",
                                          "HTTP/1.1  200 OK",
                                          "HTTP/1.1 2 0 OK",
                                          "HTTP/1.1 20x OK",
                                          "HTTP/1.1 0x2 OK",
                                          "HTTP/1.1 2e2 OK",
                                          "HTTP/1.1\t200 OK",
                                          "HTTP/1.1 200\tOK",
                                          "HTTP/1.1 OK",
                                          "HTTP/1.1 ",
                                          "HTTP/1.1",
                                          " HTTP/1.1 200 OK",
                                          "HTTP/1.2 200 OK",
                                          "HTTP/2.0 200 OK",
                                          "HTTP/2 200 OK",
                                          "http/1.1 200 OK",
                                          "200 OK",
                                          "HTTP/1.1 101 Switching Protocols"};
  std::mutex mutex;
  std::string head;
  std::vector<std::string> reused;
  Start([&](const std::string& id, RawConnection& connection) {
    const std::lock_guard lock(mutex);
    if (connection.request_count() > 1)
      reused.push_back(id);
    connection.Write(head + fmt::format("\r\nX-Attempt-Id: {0}\r\n"
                                        "X-Response-Seal: i-1/{0}\r\n"
                                        "Content-Length: {1}\r\n\r\n"
                                        "i-1 answers {0}",
                                        id, id.size() + 12));
  });
  int number = 0;
  for (const std::string& line : lines) {
    {
      const std::lock_guard lock(mutex);
      head = line;
    }
    for (const bool is_order : {true, false}) {
      for (const bool remote : {true, false}) {
        SCOPED_TRACE(fmt::format("line '{}', order {}, remote {}", line,
                                 is_order, remote));
        const std::string id = fmt::format("i{}", number++);
        const auto result = Send(id, is_order, remote);
        EXPECT_GE(result.status, 500);
        EXPECT_LE(result.status, 599);
        EXPECT_NE(result.status, kUnavailable);
        if (is_order) {
          EXPECT_EQ(raw_->CountExecutions(id), 1U);
          EXPECT_EQ(transport::FieldOf(result.headers, "Sesamespread-Result"),
                    std::to_string(static_cast<int>(
                        state::ResultCode::kBadBackendAnswer)));
        }
      }
    }
  }
  StopServer();
  EXPECT_EQ(reused, std::vector<std::string>{});
}

// --- Bytes without end

struct Endless {
  const char* name;
  const char* start;
  // Written again and again.
  std::string unit;
};

std::vector<Endless> EndlessBytes() {
  const char* const chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string text(1 << 10, 'x');
  return {
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-Field: " + text + "\r\n"},
      {"one header line", "HTTP/1.1 200 OK\r\nX-Field: ", text},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"no HTTP", "", text},
      {"empty lines", "", "\r\n"},
      {"a chunk extension", chunked, "1;" + text},
      {"chunks with extensions", chunked, "1;" + text + "\r\nx\r\n"},
      {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-Field: " + text + "\r\n"},
      {"a chunked body", chunked, "400\r\n" + text + "\r\n"},
      {"a body without length", "HTTP/1.1 200 OK\r\n\r\n", text},
      {"a body past its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
       text},
  };
}

// Guards against a server that exhausts the memory of its node or holds a
// request past its time by bytes without end: fast on many connections at once,
// and slowly.
TEST_F(ServerFaultTest, BytesWithoutEndAreBounded) {
  constexpr milliseconds kBudget{1200};
  constexpr int kConnections = 20;
  std::atomic<const Endless*> tried = nullptr;
  std::atomic<bool> slow = false;
  Start([&](const std::string&, RawConnection& connection) {
    const Endless& bytes = *tried;
    bool open = connection.Write(bytes.start);
    for (std::size_t i = 0; open; ++i) {
      if (slow) {
        open =
            connection.Write(std::string(1, bytes.unit[i % bytes.unit.size()]));
        std::this_thread::sleep_for(milliseconds(20));
      } else {
        open = connection.Write(bytes.unit);
      }
    }
  });
  const pid_t node = deployment_->stock(0).node->pid();
  const std::vector<Endless> all = EndlessBytes();
  long peak_kib = 0;
  int number = 0;
  for (const Endless& bytes : all) {
    tried = &bytes;
    for (const bool is_slow : {false, true}) {
      slow = is_slow;
      std::vector<std::thread> callers;
      for (int i = 0; i < kConnections; ++i) {
        const std::string id = fmt::format("e{}", number++);
        const bool is_order = i % 2 == 0;
        callers.emplace_back([&, id, is_order, i] {
          const auto start = transport::Now();
          const auto result = Send(id, is_order, i % 4 < 2, kBudget);
          const auto elapsed = transport::Now() - start;
          EXPECT_NE(result.status, kOk) << bytes.name;
          EXPECT_NE(result.status, 0) << bytes.name;
          EXPECT_LT(elapsed, kBudget + milliseconds(500)) << bytes.name;
          if (result.status == kUnavailable) {
            EXPECT_EQ(raw_->CountExecutions(id), 0U) << bytes.name;
          }
          if (is_order) {
            EXPECT_LE(raw_->CountExecutions(id), 1U) << bytes.name;
          }
        });
      }
      std::this_thread::sleep_for(kBudget / 2);
      peak_kib = std::max(peak_kib, bench::UsageOf(node).resident_kib);
      for (std::thread& caller : callers)
        caller.join();
    }
    EXPECT_LT(peak_kib, kMaxNodeMemoryKib) << bytes.name;
  }
  RecordProperty("peak_kib", static_cast<int>(peak_kib));
  // The node is still there.
  EXPECT_TRUE(deployment_->IsReady(deployment_->stock(0)));
  StopServer();
}

// Guards against a refusal, or a log without the reason, of an order whose
// server sends bytes without end. Through the server's own node and another.
TEST_F(ServerFaultTest, BytesWithoutEndEndWith502AndAReason) {
  const Endless* tried = nullptr;
  Start([&](const std::string&, RawConnection& connection) {
    bool open = connection.Write(tried->start);
    while (open)
      open = connection.Write(tried->unit);
  });
  const std::vector<Endless> all = EndlessBytes();
  int number = 0;
  for (const Endless& bytes : all) {
    tried = &bytes;
    for (const bool remote : {false, true}) {
      SCOPED_TRACE(fmt::format("{}, remote {}", bytes.name, remote));
      const std::string id = fmt::format("w{}", number++);
      EXPECT_EQ(Send(id, /*is_order=*/true, remote).status, 502);
      EXPECT_EQ(raw_->CountExecutions(id), 1U);
      EXPECT_TRUE(bench::WaitFor(
          [&] {
            return deployment_->Trace(id).find("detail=the answer") !=
                   std::string::npos;
          },
          kTestTimeout))
          << deployment_->Trace(id);
    }
  }
  StopServer();
}

}  // namespace
}  // namespace sesamespread::test
