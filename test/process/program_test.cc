/// \file
/// Guards against a bench that waits for good for a program that hangs, and
/// against children that keep what the bench has closed.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "harness/process.h"
#include "sesamespread/transport/acceptor.h"

namespace sesamespread::bench {
namespace {

TEST(ProgramTest, AProgramThatHangsIsEnded) {
  Process process({"/bin/sh", "-c", "echo started; exec sleep 60"},
                  "/dev/null");
  const auto start = std::chrono::steady_clock::now();
  const ProgramResult result =
      FinishProgram(process, std::chrono::milliseconds(300));
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(10));
  EXPECT_EQ(result.output, "started\n");
  EXPECT_LT(result.exit_code, 0);
}

// Guards against "address already in use" for a listener that was just closed:
// a child that had not been executed yet still had it open. Beside a
// compilation this ended a soak.
TEST(ProgramTest, AStartedProcessHoldsNoListener) {
  boost::asio::io_context context;
  const state::Endpoint address = {ProcessLoopbackAddress(), 7000};
  for (int i = 0; i < 100; ++i) {
    boost::asio::ip::tcp::acceptor listener(context);
    ASSERT_NO_THROW(transport::OpenAcceptor(listener, address)) << i;
    Process process({"/bin/true"}, "/dev/null");
    listener.close();
    boost::asio::ip::tcp::acceptor next(context);
    ASSERT_NO_THROW(transport::OpenAcceptor(next, address)) << i;
  }
}

}  // namespace
}  // namespace sesamespread::bench
