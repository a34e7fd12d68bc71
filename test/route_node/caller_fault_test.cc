/// \file
/// Callers that send bytes without end which are no request. Guards against a
/// node whose memory they exhaust, or whose other callers wait because of them.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "sesamespread/transport/acceptor.h"

namespace sesamespread::test {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr int kEndlessCallers = 100;

/// Pause of a caller after each write of up to kWriteBytes, 80 MB/s for all. A
/// hundred callers without pause would take the processor time of the stand-in
/// servers, which run in the same process, and of the nodes.
constexpr milliseconds kWritePause{20};
constexpr std::size_t kWriteBytes = 16 << 10;

/// Time for each kind of bytes.
constexpr std::chrono::seconds kPlayTime{1};

/// Time budget of a sound caller, and what it may take beyond it.
constexpr milliseconds kBudget{2000};
constexpr milliseconds kMargin{500};

struct EndlessRequest {
  const char* name;
  const char* start;
  // Written again and again.
  std::string unit;

  // Units of about kWriteBytes.
  std::string Repeated() const {
    std::string text;
    while (text.size() < kWriteBytes)
      text += unit;
    return text;
  }
};

std::vector<EndlessRequest> EndlessRequests() {
  const char* const chunked =
      "POST /item HTTP/1.1\r\nHost: stock.example\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text(1 << 10, 'x');
  return {
      {"header lines", "GET /item HTTP/1.1\r\n", "X-Field: " + text + "\r\n"},
      {"one header line", "GET /item HTTP/1.1\r\nX-Field: ", text},
      {"a request line", "GET /", text},
      {"empty lines", "", "\r\n"},
      {"a chunk extension", chunked, "1;" + text},
      {"a chunked body", chunked, "400\r\n" + text + "\r\n"},
      {"trailers",
       "POST /item HTTP/1.1\r\nHost: stock.example\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-Field: " + text + "\r\n"},
      {"requests", "", "GET /none HTTP/1.1\r\nHost: none.example\r\n\r\n"},
  };
}

class CallerFaultTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    if (HasFailure())
      std::cerr << deployment_.CollectDiagnostics();
  }

  // Writes without reading, on a new connection whenever the node has closed
  // the last one, until the test ends.
  void WriteWithoutEnd(const EndlessRequest& bytes, bool is_slow) {
    boost::asio::io_context context;
    const std::string text = bytes.Repeated();
    const auto entry = transport::ToTcpEndpoint(deployment_.shop().entry);
    while (!is_over_) {
      tcp::socket socket(context);
      boost::system::error_code error;
      socket.connect(entry, error);
      socket.non_blocking(true, error);
      boost::asio::write(socket, boost::asio::buffer(std::string(bytes.start)),
                         error);
      for (std::size_t at = 0; !is_over_ && !IsClosed(error);) {
        error.clear();
        at += socket.write_some(
            boost::asio::buffer(text.data() + at,
                                is_slow ? 1 : text.size() - at),
            error);
        at %= text.size();
        std::this_thread::sleep_for(kWritePause);
      }
    }
  }

  static bool IsClosed(const boost::system::error_code& error) {
    return error && error != boost::asio::error::would_block;
  }

  RouteDeployment deployment_;
  std::atomic<bool> is_over_ = false;
};

TEST_F(CallerFaultTest, CallersWithoutEndDoNotDelayOthers) {
  const pid_t node = deployment_.shop().node->pid();
  const double cpu_before = bench::UsageOf(node).cpu_seconds;
  long peak_kib = 0;
  int number = 0;
  const std::vector<EndlessRequest> all = EndlessRequests();
  for (const EndlessRequest& bytes : all) {
    for (const bool is_slow : {false, true}) {
      SCOPED_TRACE(fmt::format("{}, slow {}", bytes.name, is_slow));
      is_over_ = false;
      std::vector<std::thread> callers;
      for (int i = 0; i < kEndlessCallers; ++i)
        callers.emplace_back([&] { WriteWithoutEnd(bytes, is_slow); });
      const auto end = std::chrono::steady_clock::now() + kPlayTime;
      while (std::chrono::steady_clock::now() < end) {
        const auto start = std::chrono::steady_clock::now();
        const auto result =
            deployment_.Send(deployment_.shop(), "stock.example",
                             fmt::format("c{}", number++), kBudget);
        EXPECT_EQ(result.status, 200);
        EXPECT_LT(std::chrono::steady_clock::now() - start, kBudget + kMargin);
        peak_kib = std::max(peak_kib, bench::UsageOf(node).resident_kib);
        std::this_thread::sleep_for(milliseconds(50));
      }
      is_over_ = true;
      for (std::thread& caller : callers)
        caller.join();
    }
  }
  EXPECT_LT(peak_kib, kMaxNodeMemoryKib);
  RecordProperty("peak_kib", static_cast<int>(peak_kib));
  RecordProperty(
      "cpu_ms",
      static_cast<int>((bench::UsageOf(node).cpu_seconds - cpu_before) * 1000));
}

}  // namespace
}  // namespace sesamespread::test
