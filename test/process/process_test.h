/// \file
/// A small deployment of real processes, and a connection whose bytes the test
/// controls.
#ifndef SESAMESPREAD_TEST_PROCESS_PROCESS_TEST_H_
#define SESAMESPREAD_TEST_PROCESS_PROCESS_TEST_H_

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "harness/cluster.h"
#include "harness/http.h"

namespace sesamespread::test {

/// Longest wait for a condition; reached only by a test that fails.
constexpr std::chrono::seconds kTestTimeout{30};

/// A connection to a port of this machine.
class RawConnection {
 public:
  /// \p receive_bytes bounds what the kernel holds for a reader that is slow;
  /// 0 leaves that to the kernel.
  explicit RawConnection(std::uint16_t port, int receive_bytes = 0);

  /// Sends \p bytes; what the other end refuses to take is dropped.
  void Send(std::string_view bytes);
  void CloseSending();

  /// Reads until \p size bytes were received in all, the other end closes the
  /// connection or \p timeout is over. \returns everything received so far.
  const std::string& ReadUpTo(std::size_t size,
                              std::chrono::milliseconds timeout = kTestTimeout);
  /// Reads until the other end closes the connection.
  const std::string& ReadAll();

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
  std::string received_;
  bool closed_ = false;
};

/// Starts two backend servers of `orders`, which calls `stock`, and two of
/// `stock`, each with its node.
class ProcessTest : public ::testing::Test {
 protected:
  void SetUp() override;

  bench::Host& orders(std::size_t index) {
    return *cluster_->HostsOf("orders").at(index);
  }
  bench::Host& stock(std::size_t index) {
    return *cluster_->HostsOf("stock").at(index);
  }

  /// Posts an order to \p host's node, with \p key unless that is empty.
  static bench::HttpResult Order(const bench::Host& host,
                                 const std::string& key = "",
                                 const std::string& body = "ten frames");

  /// A key that is bound to \p executor, issued there: nodes bind keys to near
  /// servers. \throws std::runtime_error if none was issued in time.
  static std::string KeyFor(const bench::Host& executor);

  /// Number of the result code in \p result; 0 if there is none.
  static int ResultOf(const bench::HttpResult& result);
  static std::string RunStateOf(const bench::HttpResult& result);

  static double StatOf(const bench::Host& host, const std::string& name);
  static std::string ExecutionsOf(const bench::Host& host);
  /// Orders with \p key that the servers of `orders` ran or started.
  std::size_t RunsOf(const std::string& key);
  /// Requests that the servers of \p service have started.
  double StartedOf(const std::string& service);

  static bool IsStopping(const bench::Host& host);

  /// Ends \p host's node with SIGTERM. \returns its exit code.
  static int StopNode(bench::Host& host);

  std::unique_ptr<bench::Cluster> cluster_;
};

}  // namespace sesamespread::test

#endif  // SESAMESPREAD_TEST_PROCESS_PROCESS_TEST_H_
