/// \file
/// Requests with bodies through real nodes: bodies that come slowly, break off,
/// are large or too large. Guards against a slow sender that occupies a slot of
/// the server, a part of a body that runs, and a body that breaks a link.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <string>
#include <thread>

#include "deployment.h"
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

}  // namespace
}  // namespace sesamespread::test
