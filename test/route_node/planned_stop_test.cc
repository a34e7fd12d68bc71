/// \file
/// Planned stops of a node under load: requests at each stage of their arrival
/// when the stop begins. Each one gets its whole answer or a refusal, and what
/// was refused has not run.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "raw_backend.h"
#include "sesamespread/transport/acceptor.h"

namespace sesamespread::test {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/// Grace time of the deployment's nodes.
constexpr std::chrono::seconds kGrace{6};

// How much of a request has been written when the stop begins.
struct Stage {
  const char* name;
  // Bytes of the request before the stop, as a share of all.
  double share;
  // Requests written in a row on the connection.
  int pipelined;
};

constexpr Stage kStages[] = {
    {"accepted and nothing sent", 0, 1}, {"half of the head sent", 0.3, 1},
    {"half of the body sent", 0.9, 1},   {"whole request sent", 1, 1},
    {"pipelined requests sent", 1, 3},
};

// A caller with its own connection.
class StopCaller {
 public:
  StopCaller(const state::Endpoint& entry, std::string id, const Stage& stage)
      : id_(std::move(id)), stage_(stage), socket_(context_) {
    socket_.connect(transport::ToTcpEndpoint(entry));
    for (int i = 0; i < stage.pipelined; ++i) {
      const std::string body(200, 'b');
      request_ += fmt::format(
          "POST /item HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {}\r\n"
          "X-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n{}",
          IdOf(i), body.size(), body);
    }
    before_ = static_cast<std::size_t>(static_cast<double>(request_.size()) *
                                       stage.share);
    boost::asio::write(socket_, boost::asio::buffer(request_.data(), before_));
  }

  std::string IdOf(int number) const {
    return fmt::format("{}n{}", id_, number);
  }
  const Stage& stage() const { return stage_; }

  // Writes the rest of the requests and reads until the node closes the
  // connection or all answers are complete. \returns what was received.
  std::string Finish() {
    boost::system::error_code error;
    boost::asio::write(socket_,
                       boost::asio::buffer(request_.data() + before_,
                                           request_.size() - before_),
                       error);
    std::string received;
    while (true) {
      char bytes[4096];
      const std::size_t size =
          socket_.read_some(boost::asio::buffer(bytes), error);
      received.append(bytes, size);
      if (error || CountAnswers(received) == stage_.pipelined)
        return received;
    }
  }

  // Complete answers in \p received.
  static int CountAnswers(const std::string& received) {
    int count = 0;
    std::size_t at = 0;
    while (true) {
      const std::size_t end = received.find("\r\n\r\n", at);
      if (end == std::string::npos)
        return count;
      const std::size_t length = received.find("Content-Length: ", at);
      if (length == std::string::npos || length > end)
        return count;
      at = end + 4 + std::stoul(received.substr(length + 16));
      if (at > received.size())
        return count;
      ++count;
    }
  }

 private:
  const std::string id_;
  const Stage stage_;
  boost::asio::io_context context_;
  tcp::socket socket_;
  std::string request_;
  // Bytes written before the stop.
  std::size_t before_ = 0;
};

// Guards against requests that are cut off without an answer because they were
// accepted just before or after a planned stop began, and against refused ones
// that run.
TEST(PlannedStopTest, EachRequestIsAnsweredAtEveryStageOfItsArrival) {
  for (const int delay_ms : {0, 1, 5, 20}) {
    RouteDeployment deployment({{"shop", "stock", "stock"}});
    ASSERT_TRUE(deployment.WaitUntilServing());
    for (std::size_t i : {0, 1})
      deployment.stock(i).backend->SetServiceTime(milliseconds(300));
    RouteHost& stopped = deployment.stock(0);
    std::vector<std::unique_ptr<StopCaller>> callers;
    for (const Stage& stage : kStages) {
      for (int i = 0; i < 6; ++i) {
        callers.push_back(std::make_unique<StopCaller>(
            stopped.entry, fmt::format("c{}", callers.size()), stage));
      }
    }
    std::this_thread::sleep_for(milliseconds(delay_ms));
    stopped.node->Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(delay_ms));
    std::vector<std::string> received(callers.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers.size(); ++i)
      threads.emplace_back([&, i] { received[i] = callers[i]->Finish(); });
    for (std::thread& thread : threads)
      thread.join();
    for (std::size_t i = 0; i < callers.size(); ++i) {
      const StopCaller& caller = *callers[i];
      SCOPED_TRACE(fmt::format("{}, stop after {} ms, received: {}",
                               caller.stage().name, delay_ms, received[i]));
      // After an answer that closes the connection, pipelined requests have not
      // been read; the caller may send them again.
      const int answers = StopCaller::CountAnswers(received[i]);
      const bool closes =
          received[i].find("Connection: close") != std::string::npos;
      EXPECT_GE(answers, closes ? 1 : caller.stage().pipelined);
      for (int n = 0; n < caller.stage().pipelined; ++n) {
        const std::size_t runs =
            deployment.CountStockExecutions(caller.IdOf(n));
        EXPECT_LE(runs, 1U);
        if (n >= answers) {
          EXPECT_EQ(runs, 0U) << "unanswered request " << n << " has run";
        }
      }
      if (received[i].rfind("HTTP/1.1 503", 0) == 0) {
        EXPECT_EQ(deployment.CountStockExecutions(caller.IdOf(0)), 0U);
      } else {
        EXPECT_EQ(received[i].rfind("HTTP/1.1 200", 0), 0U);
      }
    }
    EXPECT_EQ(stopped.node->Wait(kGrace), 0);
    if (::testing::Test::HasFailure())
      std::cerr << deployment.CollectDiagnostics();
  }
}

// A request whose last bytes arrive some time after the stop began.
struct LateCaller {
  milliseconds delay;
  std::unique_ptr<StopCaller> caller;
  std::string received;
};

// Guards against requests that are passed on and cut off as the process ends.
TEST(PlannedStopTest, RequestsLateInTheGraceAreNotCutOff) {
  constexpr Stage kLate = {"the last part sent late", 0.9, 1};
  constexpr milliseconds kStep{25};
  constexpr milliseconds kServiceTime{250};
  struct Load {
    milliseconds first_delay;
    milliseconds last_delay;
    // Whether a long request keeps the node from ending early.
    bool is_busy;
  };
  // An idle node closes its ports 2.6 to 2.7 s after the stop began.
  for (const auto& [first_delay, last_delay, is_busy] :
       {Load{milliseconds(2200), milliseconds(6000), false},
        Load{milliseconds(2200), milliseconds(6000), true},
        Load{milliseconds(2630), milliseconds(2800), false},
        Load{milliseconds(2660), milliseconds(2800), false},
        Load{milliseconds(2690), milliseconds(2800), false},
        Load{milliseconds(2720), milliseconds(2800), false}}) {
    RouteDeployment deployment({{"shop", "stock", "stock"}});
    ASSERT_TRUE(deployment.WaitUntilServing());
    RouteHost& stopped = deployment.stock(0);
    const auto set_service_time = [&](milliseconds time) {
      for (std::size_t i : {0, 1})
        deployment.stock(i).backend->SetServiceTime(time);
    };
    set_service_time(milliseconds(4400));
    std::thread holder([&] {
      if (is_busy)
        deployment.Send(stopped, "orders.example", "holder");
    });
    if (is_busy) {
      ASSERT_NE(deployment.WaitForStockExecution("holder"), nullptr);
    }
    set_service_time(kServiceTime);
    std::vector<LateCaller> late;
    for (milliseconds delay = first_delay; delay < last_delay; delay += kStep) {
      late.push_back(
          {delay,
           std::make_unique<StopCaller>(stopped.entry,
                                        fmt::format("l{}", late.size()), kLate),
           ""});
    }
    stopped.node->Signal(SIGTERM);
    std::vector<std::thread> threads;
    for (LateCaller& entry : late) {
      threads.emplace_back([&entry] {
        std::this_thread::sleep_for(entry.delay);
        entry.received = entry.caller->Finish();
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    holder.join();
    EXPECT_EQ(stopped.node->Wait(kGrace), 0);
    for (const LateCaller& entry : late) {
      SCOPED_TRACE(fmt::format("busy {}, {} ms after the stop, received: {}",
                               is_busy, entry.delay.count(), entry.received));
      const std::size_t runs =
          deployment.CountStockExecutions(entry.caller->IdOf(0));
      if (StopCaller::CountAnswers(entry.received) == 0) {
        EXPECT_EQ(runs, 0U) << "a request that has run is cut off";
      } else if (entry.received.rfind("HTTP/1.1 503", 0) == 0) {
        EXPECT_EQ(runs, 0U);
      } else {
        EXPECT_EQ(entry.received.rfind("HTTP/1.1 200", 0), 0U);
      }
    }
    if (::testing::Test::HasFailure())
      std::cerr << deployment.CollectDiagnostics();
  }
}

// Guards against calls of a running request that the end of the node cuts off.
TEST(PlannedStopTest, CallsLateInTheGraceAreAnswered) {
  RouteDeployment deployment({{"shop", "stock", "stock"}});
  ASSERT_TRUE(deployment.WaitUntilServing());
  RouteHost& stopped = deployment.shop();
  // The call begins 5.4 s after the stop and would last longer than the grace.
  stopped.backend->SetServiceTime(milliseconds(4700));
  for (std::size_t i : {0, 1})
    deployment.stock(i).backend->SetServiceTime(milliseconds(900));
  std::atomic<bool> stopped_reports = false;
  std::thread reports([&] {
    while (!stopped_reports) {
      for (std::size_t i : {0, 1})
        deployment.stock(i).backend->Report(false);
      std::this_thread::sleep_for(milliseconds(500));
    }
  });
  auto result = std::async(std::launch::async, [&] {
    return deployment.Send(deployment.stock(0), "shop.example", "r1");
  });
  ASSERT_TRUE(
      bench::WaitFor([&] { return stopped.backend->CountExecutions("r1") > 0; },
                     kTestTimeout));
  stopped.node->Signal(SIGTERM);
  EXPECT_EQ(stopped.node->Wait(kGrace + milliseconds(500)), 0);
  EXPECT_EQ(result.get().status / 100, 5);
  stopped_reports = true;
  reports.join();
  EXPECT_EQ(deployment.CountStockExecutions("r1.1"), 0U)
      << "a call was passed on that could not end within the grace";
  if (::testing::Test::HasFailure())
    std::cerr << deployment.CollectDiagnostics();
}

// Guards against a long answer that is cut off because its reader is slow: the
// node took itself for idle once the answer was passed to the server of its
// entry port, and ended 2.7 s after the stop.
TEST(PlannedStopTest, AnAnswerThatIsReadSlowlyIsComplete) {
  constexpr std::size_t kBodyBytes = 15 << 20;
  constexpr std::size_t kReadBeforeStop = 1 << 20;
  // Later than an idle node ends, and earlier than the grace time.
  constexpr milliseconds kReadPause{3600};
  RouteDeployment deployment({{"shop", "stock"}});
  ASSERT_TRUE(deployment.WaitUntilServing());
  RouteHost& stopped = deployment.stock(0);
  stopped.backend.reset();
  const std::string body(kBodyBytes, 'b');
  auto server = std::make_unique<RawBackend>(
      stopped.backend_server, "i-1",
      [&](const std::string& id, RawConnection& connection) {
        connection.Write(fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Response-Seal: i-1/{0}"
            "\r\nContent-Length: {1}\r\n\r\n",
            id, body.size()));
        connection.Write(body);
      });
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.open(tcp::v4());
  socket.set_option(tcp::socket::receive_buffer_size(64 << 10));
  socket.connect(transport::ToTcpEndpoint(stopped.entry));
  const std::string request =
      "GET /item HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: slow\r\n"
      "X-Deadline-Ms: 15000\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string received(kReadBeforeStop, 0);
  boost::asio::read(socket, boost::asio::buffer(received));
  ASSERT_EQ(received.rfind("HTTP/1.1 200", 0), 0U) << received.substr(0, 500);
  const std::size_t size =
      received.find("\r\n\r\n") + std::string("\r\n\r\n").size() + kBodyBytes;
  stopped.node->Signal(SIGTERM);
  std::this_thread::sleep_for(kReadPause);
  received.resize(size);
  boost::system::error_code error;
  const std::size_t rest =
      boost::asio::read(socket,
                        boost::asio::buffer(received.data() + kReadBeforeStop,
                                            size - kReadBeforeStop),
                        error);
  EXPECT_EQ(kReadBeforeStop + rest, size) << error.message();
  socket.close();
  EXPECT_EQ(stopped.node->Wait(kGrace), 0);
  server.reset();
  if (::testing::Test::HasFailure())
    std::cerr << deployment.CollectDiagnostics();
}

}  // namespace
}  // namespace sesamespread::test
