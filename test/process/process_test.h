/// \file
/// Test fixture with a small deployment of real processes, and a TCP connection
/// that sends arbitrary bytes.
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

/// Time limit for a condition; only failing tests reach it.
constexpr std::chrono::seconds kTestTimeout{30};

/// A connection to a loopback port. Not thread-safe.
class RawConnection {
 public:
  /// \p receive_bytes is the size of the socket's receive buffer; 0 keeps the
  /// default of the kernel. \throws boost::system::system_error on failure.
  explicit RawConnection(std::uint16_t port, int receive_bytes = 0);

  /// Sends \p bytes and ignores errors, since the other end may close the
  /// connection early.
  void Send(std::string_view bytes);
  /// Closes the sending direction only.
  void HalfClose();

  /// Reads until \p size bytes were received in total, the other end closes the
  /// connection or \p timeout expires. \returns all bytes received so far.
  const std::string& ReadUpTo(std::size_t size,
                              std::chrono::milliseconds timeout = kTestTimeout);
  /// Reads until the other end closes the connection or kTestTimeout expires.
  /// \returns all bytes received so far.
  const std::string& ReadAll();

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_{context_};
  std::string received_;
  bool closed_ = false;
};

/// Starts two backend servers of `orders`, which calls `stock`, and two of
/// `stock`, each with a node of its own.
class ProcessTest : public ::testing::Test {
 protected:
  void SetUp() override;

  bench::Host& orders(std::size_t index) {
    return *cluster_->HostsOf("orders").at(index);
  }
  bench::Host& stock(std::size_t index) {
    return *cluster_->HostsOf("stock").at(index);
  }

  /// Posts an order to the node of \p host, with the idempotency key \p key
  /// unless it is empty.
  static bench::HttpResult Order(const bench::Host& host,
                                 const std::string& key = "",
                                 const std::string& body = "ten frames");

  /// \returns an idempotency key that is bound to \p executor. The node of
  /// \p executor issues it, since nodes bind keys to nearby servers.
  /// \throws std::runtime_error if none is issued within kTestTimeout.
  static std::string IssueKeyBoundTo(const bench::Host& executor);

  /// \returns the number of the result code in \p result; 0 if there is none.
  static int ResultOf(const bench::HttpResult& result);
  /// \returns the run state in the body of \p result; empty if there is none.
  static std::string RunStateOf(const bench::HttpResult& result);

  /// \returns the value \p name of the statistics of the stand-in at \p host.
  static double StatOf(const bench::Host& host, const std::string& name);
  static std::string ExecutionsOf(const bench::Host& host);
  /// \returns the number of orders with \p key that the servers of `orders`
  /// started.
  std::size_t CountExecutions(const std::string& key);
  /// \returns the number of requests that the servers of \p service started.
  double CountStarted(const std::string& service);

  static bool IsStopping(const bench::Host& host);

  /// Sends SIGTERM to the node of \p host and waits for its exit. \returns its
  /// exit code.
  static int StopNode(bench::Host& host);

  std::unique_ptr<bench::Cluster> cluster_;
};

}  // namespace sesamespread::test

#endif  // SESAMESPREAD_TEST_PROCESS_PROCESS_TEST_H_
