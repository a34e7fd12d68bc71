/// \file
/// Hundreds of connections at a time that send bytes without end, or begin a
/// message that takes more memory than its bytes and never end it: to the ports
/// of a node for peers, status reports and callers, and from its backend
/// server. Guards against a node that runs out of memory, or that no longer
/// serves others.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "deployment.h"
#include "raw_backend.h"
#include "sesamespread/protocol/codec.h"
#include "sesamespread/transport/acceptor.h"

namespace sesamespread::test {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kConnections = 400;

/// How long the connections send, at least. An ordinary request is sent
/// meanwhile, and one after it.
constexpr std::chrono::seconds kPlayTime{3};

/// Bytes that one connection sends at most; a node closes it before, or stops
/// reading.
constexpr std::size_t kMaxSentBytes = 12 << 20;

// A message that is begun, and what is written after it again and again.
struct Endless {
  const char* name;
  std::string start;
  std::string unit;
  std::size_t max_bytes = kMaxSentBytes;
};

std::string FrameHeader(std::size_t size) {
  std::string header(protocol::kFrameHeaderBytes, '\0');
  for (std::size_t i = 0; i < header.size(); ++i)
    header[i] = static_cast<char>(size >> (8 * i));
  return header;
}

std::vector<Endless> EndlessMessagesOfPeers() {
  const std::string hello =
      protocol::EncodeFrame(protocol::Hello{7, 1, "peer"});
  const std::string text(1 << 10, 'x');
  const std::size_t frame = protocol::kMaxFrameBytes;
  return {
      {"no frames", "", text},
      {"nothing", "", ""},
      {"a first frame that does not end", FrameHeader(frame), text, frame - 1},
      {"a frame that does not end", hello + FrameHeader(frame), text,
       frame - 1},
      {"unread pongs", hello, protocol::EncodeFrame(protocol::Ping{1})},
      {"unread routes", hello,
       protocol::EncodeFrame(protocol::ConfigurationPull{0})},
      {"unread records", hello,
       protocol::EncodeFrame(protocol::NodeRecordsPull{0})},
  };
}

std::vector<Endless> EndlessRequests(const std::string& line) {
  const std::string head = line + " HTTP/1.1\r\nHost: stock.example\r\n";
  const std::string text(1 << 10, 'x');
  return {
      {"no HTTP", "", text},
      {"short header lines", head, "a:\r\n", 15 << 10},
      {"a body", head + "Content-Length: 200000\r\n\r\n", text, 199'000},
      {"a body in short chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
       "1\r\nx\r\n", 400 << 10},
      {"a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;",
       text},
  };
}

// One connection, which is opened again once it is closed.
class Flooder {
 public:
  Flooder(boost::asio::io_context& context,
          const state::Endpoint& target,
          const Endless& endless)
      : context_(context), target_(target), endless_(endless) {
    constexpr std::size_t kPieceBytes = 16 << 10;
    while (!endless.unit.empty() && units_.size() < kPieceBytes)
      units_ += endless.unit;
  }

  // Writes what the other end takes, without reading.
  void Step() {
    if (!socket_)
      Connect();
    error_code error;
    std::string_view unsent = Unsent();
    while (!error && !unsent.empty()) {
      sent_ += socket_->write_some(
          boost::asio::buffer(unsent.data(), unsent.size()), error);
      unsent = Unsent();
    }
    if (error && error != boost::asio::error::would_block)
      socket_.reset();
  }

 private:
  // What is to be written next, a part of the start or of the units.
  std::string_view Unsent() const {
    const std::size_t left = endless_.max_bytes - sent_;
    const std::size_t start_bytes = endless_.start.size();
    if (sent_ < start_bytes)
      return std::string_view(endless_.start).substr(sent_, left);
    if (units_.empty())
      return {};
    return std::string_view(units_).substr(
        (sent_ - start_bytes) % units_.size(), left);
  }

  void Connect() {
    sent_ = 0;
    socket_ = std::make_unique<tcp::socket>(context_);
    error_code ignored;
    socket_->connect(transport::ToTcpEndpoint(target_), ignored);
    socket_->non_blocking(true, ignored);
  }

  boost::asio::io_context& context_;
  const state::Endpoint target_;
  const Endless& endless_;
  // The unit several times.
  std::string units_;
  std::size_t sent_ = 0;
  std::unique_ptr<tcp::socket> socket_;
};

class EndlessBytesTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    if (HasFailure())
      std::cout << deployment_.CollectDiagnostics();
  }

  // An ordinary request of another caller; it may come again after a refusal.
  void ExpectServed(const std::string& trace) {
    EXPECT_TRUE(bench::WaitFor(
        [&] {
          return deployment_
                     .Send(deployment_.shop(), "stock.example",
                           fmt::format("ok-{}", ordinary_requests_++),
                           milliseconds(2000))
                     .status == 200;
        },
        kTestTimeout))
        << trace << ": no ordinary request was answered";
  }

  void ExpectNodesWithinBounds(const std::string& trace) {
    for (RouteHost& host : deployment_.hosts()) {
      SCOPED_TRACE(trace + ", " + host.name);
      EXPECT_EQ(host.node->Wait(milliseconds(0)), -1) << "the node has ended";
      const long peak_kib = PeakKib(host.node->pid());
      std::cout << trace << ", " << host.name << ": peak " << peak_kib
                << " KiB\n";
      EXPECT_LT(peak_kib, kMaxPeakKib);
    }
  }

  // Sends to \p target on all connections, and an ordinary request through the
  // same node.
  void Flood(const state::Endpoint& target, const Endless& endless) {
    std::vector<std::unique_ptr<Flooder>> flooders;
    for (std::size_t i = 0; i < kConnections; ++i)
      flooders.push_back(std::make_unique<Flooder>(context_, target, endless));
    std::atomic<bool> is_served = false;
    std::thread caller([&] {
      ExpectServed(endless.name);
      is_served = true;
    });
    const auto end = steady_clock::now() + kPlayTime;
    while (steady_clock::now() < end || !is_served) {
      for (const auto& flooder : flooders)
        flooder->Step();
      std::this_thread::sleep_for(milliseconds(2));
    }
    caller.join();
    ExpectNodesWithinBounds(endless.name);
  }

  void FloodAll(const state::Endpoint& target,
                const std::vector<Endless>& messages) {
    for (const Endless& endless : messages) {
      Flood(target, endless);
      if (HasFailure())
        return;
    }
    ExpectServed("afterwards");
  }

  RouteDeployment deployment_{
      {.settings = "max_held_bytes: 33554432\n", .slots = kConnections}};
  boost::asio::io_context context_;
  std::atomic<int> ordinary_requests_ = 0;
};

TEST_F(EndlessBytesTest, OnLinksBetweenNodes) {
  FloodAll(deployment_.shop().peer, EndlessMessagesOfPeers());
}

TEST_F(EndlessBytesTest, InStatusReports) {
  FloodAll(deployment_.shop().reports,
           EndlessRequests("PUT /api/instances/i-0"));
}

TEST_F(EndlessBytesTest, InRequestsOfCallers) {
  FloodAll(deployment_.shop().entry, EndlessRequests("POST /item"));
}

// Heads of short lines that stop just below the bound of a head, in hundreds of
// answers at a time.
TEST_F(EndlessBytesTest, InHeadsOfAnswers) {
  constexpr std::size_t kHeadBytes = 60 << 10;
  std::string head = "HTTP/1.1 200 OK\r\n";
  while (head.size() < kHeadBytes)
    head += "a:\r\n";
  RouteHost& host = deployment_.stock(0);
  host.backend.reset();
  RawBackend* answering = nullptr;
  RawBackend server(host.backend_server, "i-1",
                    [&](const std::string& id, RawConnection& connection) {
                      if (id.rfind("ok-", 0) == 0)
                        connection.Write(answering->AnswerTo(id));
                      else
                        connection.Write(head);
                    });
  answering = &server;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kConnections; ++i) {
    callers.emplace_back([&, i] {
      const auto result = deployment_.Send(
          i % 2 == 0 ? host : deployment_.shop(), "orders.example",
          fmt::format("e{}", i), milliseconds(4000));
      // Half of them reach the sound server of the other host.
      EXPECT_TRUE(result.status == 200 || result.status >= 500)
          << result.status;
    });
  }
  std::this_thread::sleep_for(kPlayTime / 2);
  ExpectServed("meanwhile");
  for (std::thread& caller : callers)
    caller.join();
  ExpectNodesWithinBounds("heads of answers");
  ExpectServed("afterwards");
}

}  // namespace
}  // namespace sesamespread::test
