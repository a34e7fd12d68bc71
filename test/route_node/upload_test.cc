/// \file
/// Requests with bodies through real nodes: bodies that come slowly, break off,
/// are large or too large. Guards against a slow sender that occupies a slot of
/// the server, a part of a body that runs, and a body that breaks a link.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
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

class UploadTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    if (HasFailure())
      std::cerr << deployment_.CollectDiagnostics();
  }

  // Connects to the node of `shop`, which sends the order to another node.
  void Connect() {
    caller_ = tcp::socket(context_);
    caller_.connect(transport::ToTcpEndpoint(deployment_.shop().entry));
  }

  void SendHead(const std::string& id, std::size_t body_bytes) {
    Send(fmt::format(
        "POST /item HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {}\r\n"
        "X-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n",
        id, body_bytes));
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(caller_, boost::asio::buffer(bytes), ignored);
  }

  // \returns the first bytes of the answer.
  std::string ReceiveStart() {
    std::string received(512, '\0');
    boost::system::error_code ignored;
    received.resize(caller_.read_some(boost::asio::buffer(received), ignored));
    return received;
  }

  RouteDeployment deployment_;
  boost::asio::io_context context_;
  tcp::socket caller_{context_};
};

TEST_F(UploadTest, ASlowBodyOccupiesNoSlotBeforeItIsComplete) {
  const std::string half(30 << 10, 'x');
  Connect();
  SendHead("u1", 2 * half.size());
  Send(half);
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_EQ(deployment_.CountStockExecutions("u1"), 0U);
  Send(half);
  EXPECT_EQ(ReceiveStart().rfind("HTTP/1.1 200", 0), 0U);
  EXPECT_EQ(deployment_.CountStockExecutions("u1"), 1U);
}

TEST_F(UploadTest, ABodyThatBreaksOffDoesNotRun) {
  Connect();
  SendHead("u1", 60 << 10);
  Send(std::string(30 << 10, 'x'));
  caller_.close();
  // A later request of another caller shows that the node goes on.
  EXPECT_EQ(deployment_.Send(deployment_.shop(), "orders.example", "u2").status,
            200);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(deployment_.CountStockExecutions("u1"), 0U);
}

TEST_F(UploadTest, ALargeBodyReachesTheServerOfAnotherNode) {
  // Within the limit of the stand-in server.
  const std::string body(900 << 10, 'x');
  Connect();
  SendHead("u1", body.size());
  Send(body);
  EXPECT_EQ(ReceiveStart().rfind("HTTP/1.1 200", 0), 0U);
  EXPECT_EQ(deployment_.CountStockExecutions("u1"), 1U);
  // The link that carried it is still used.
  EXPECT_EQ(deployment_.Send(deployment_.shop(), "orders.example", "u2").status,
            200);
}

// A body that does not fit into a frame between nodes would close the link with
// all calls on it.
TEST_F(UploadTest, ATooLargeBodyIsRefusedAndBreaksNoLink) {
  Connect();
  SendHead("u1", 9 << 20);
  Send(std::string(1 << 20, 'x'));
  EXPECT_EQ(ReceiveStart().rfind("HTTP/1.1 413", 0), 0U);
  EXPECT_EQ(deployment_.CountStockExecutions("u1"), 0U);
  EXPECT_EQ(deployment_.Send(deployment_.shop(), "orders.example", "u2").status,
            200);
}

// --- Answers that end before the upload

enum class Framing : std::uint8_t { kLength, kChunks };

// How the server answers an upload of which it has read the head only.
struct EarlyAnswer {
  const char* name;
  // The field that frames the answer; empty if its end is that of the
  // connection.
  std::string length_field;
  std::string body;
  // Before the end of the connection.
  milliseconds pause;
  bool is_reset = false;
};

std::vector<EarlyAnswer> EarlyAnswers() {
  std::vector<EarlyAnswer> answers;
  for (const milliseconds pause : {milliseconds(0), milliseconds(3)}) {
    answers.push_back({"reset before the body", "", "", pause, true});
    answers.push_back({"reset in the body", "", "part", pause, true});
    answers.push_back({"orderly end", "", "whole", pause, false});
    answers.push_back(
        {"length", "Content-Length: 5\r\n", "whole", pause, false});
  }
  return answers;
}

class EarlyAnswerTest : public UploadTest {
 protected:
  // More than the buffers of a connection take, and less than the bound on
  // bodies.
  static constexpr std::size_t kUploadBytes = 6 << 20;

  // Sends an order to \p entry in pieces, with \p pause after each. \returns
  // what the caller gets.
  std::string Upload(const RouteHost& entry,
                     const std::string& id,
                     Framing framing,
                     milliseconds pause) {
    constexpr std::size_t kPieceBytes = 1 << 20;
    caller_ = tcp::socket(context_);
    caller_.connect(transport::ToTcpEndpoint(entry.entry));
    Send(fmt::format(
        "POST /item HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {}\r\n"
        "X-Deadline-Ms: 4000\r\nConnection: close\r\n{}\r\n\r\n",
        id,
        framing == Framing::kChunks
            ? "Transfer-Encoding: chunked"
            : fmt::format("Content-Length: {}", kUploadBytes)));
    const std::string piece(kPieceBytes, 'x');
    for (std::size_t sent = 0; sent < kUploadBytes; sent += kPieceBytes) {
      Send(framing == Framing::kChunks
               ? fmt::format("{:x}\r\n{}\r\n", kPieceBytes, piece)
               : piece);
      std::this_thread::sleep_for(pause);
    }
    if (framing == Framing::kChunks)
      Send("0\r\n\r\n");
    std::string received;
    boost::system::error_code error;
    boost::asio::read(caller_, boost::asio::dynamic_buffer(received), error);
    return received;
  }
};

// Guards against a part of an answer that a caller gets as a complete one
// because the server has reset the connection while the node still wrote the
// request; through the server's own node and through another.
TEST_F(EarlyAnswerTest, OnlyAnOrderlyEndMakesAnAnswerWithoutLengthComplete) {
  EarlyAnswer tried;
  const auto answer = [&tried](const std::string& id,
                               RawConnection& connection) {
    // The node takes a server that neither reports nor answers for down.
    const bool is_sound = id.rfind("ok", 0) == 0;
    connection.Write(fmt::format(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Response-Seal: i-1/{0}\r\n"
        "{1}\r\n{2}",
        id, is_sound ? "Content-Length: 0\r\n" : tried.length_field,
        is_sound ? "" : tried.body));
    if (is_sound)
      return;
    std::this_thread::sleep_for(tried.pause);
    if (tried.is_reset)
      connection.Close(/*reset=*/true);
    else
      connection.CloseAfterNode();
  };
  deployment_.KillNode(deployment_.stock(1));
  RouteHost& host = deployment_.stock(0);
  host.backend.reset();
  RawBackend server(host.backend_server, "i-1", answer);
  int number = 0;
  for (const EarlyAnswer& early : EarlyAnswers()) {
    tried = early;
    for (const RouteHost* entry : {&deployment_.shop(), &host}) {
      for (const Framing framing : {Framing::kLength, Framing::kChunks}) {
        // The last one is a slow writer.
        for (const int pause_ms : {0, 0, 0, 0, 0, 0, 20}) {
          const std::string id = fmt::format("u{}", ++number);
          SCOPED_TRACE(
              fmt::format("{} after {} ms, entry {}, chunks {}, pause {}",
                          early.name, early.pause.count(), entry->name,
                          framing == Framing::kChunks, pause_ms));
          EXPECT_EQ(deployment_.Send(host, "stock.example", "ok-" + id).status,
                    200);
          const std::string got =
              Upload(*entry, id, framing, milliseconds(pause_ms));
          EXPECT_EQ(got.substr(0, 12),
                    early.is_reset ? "HTTP/1.1 502" : "HTTP/1.1 200");
          EXPECT_EQ(server.CountExecutions(id), 1U);
          if (!early.is_reset) {
            EXPECT_TRUE(got.ends_with("\r\n\r\n" + early.body)) << got;
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace sesamespread::test
