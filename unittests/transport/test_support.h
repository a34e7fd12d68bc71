/// \file
/// Helpers of the transport tests: running an io_context until a condition
/// holds, and a peer that sends and receives raw bytes.
#ifndef SESAMESPREAD_UNITTESTS_TRANSPORT_TEST_SUPPORT_H_
#define SESAMESPREAD_UNITTESTS_TRANSPORT_TEST_SUPPORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::transport {

/// Longest wait for a condition; reached only by a test that fails.
constexpr std::chrono::seconds kTestTimeout{20};

inline state::Instant FromNow(state::Duration span) {
  return Now() + span;
}

/// Runs \p context until \p condition holds; false after kTestTimeout.
template <class Condition>
bool RunUntil(boost::asio::io_context& context, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    context.restart();
    context.run_one_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// One end of a connection whose bytes the test controls.
class RawPeer {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit RawPeer(boost::asio::io_context& context)
      : context_(context), socket_(context) {}

  static state::Endpoint Loopback(std::uint16_t port) {
    return {"127.0.0.1", port};
  }

  void Connect(std::uint16_t port) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket_.non_blocking(true);
  }

  /// Accepts a connection while the context runs.
  bool Accept(boost::asio::ip::tcp::acceptor& acceptor) {
    acceptor.non_blocking(true);
    return RunUntil(context_, [&] {
      boost::system::error_code error;
      acceptor.accept(socket_, error);
      if (!error)
        socket_.non_blocking(true);
      return !error;
    });
  }

  /// Sends all of \p bytes while the context runs, or until the other end
  /// closes the connection.
  void Send(std::string_view bytes) {
    RunUntil(context_, [&] {
      boost::system::error_code error;
      bytes.remove_prefix(socket_.write_some(
          boost::asio::buffer(bytes.data(), bytes.size()), error));
      return bytes.empty() ||
             (error && error != boost::asio::error::would_block);
    });
  }

  /// Reads what is there; `received()` grows.
  void Poll() {
    char bytes[4096];
    boost::system::error_code error;
    const std::size_t size =
        socket_.read_some(boost::asio::buffer(bytes), error);
    received_.append(bytes, size);
    if (error && error != boost::asio::error::would_block)
      closed_ = true;
  }

  /// Runs the context until \p text was received.
  bool Expect(std::string_view text) {
    return RunUntil(context_, [&] {
      Poll();
      return received_.find(text) != std::string::npos;
    });
  }

  /// Runs the context until the other end closed the connection.
  bool ExpectClose() {
    return RunUntil(context_, [&] {
      Poll();
      return closed_;
    });
  }

  Socket& socket() { return socket_; }
  std::string& received() { return received_; }

 private:
  boost::asio::io_context& context_;
  Socket socket_;
  std::string received_;
  bool closed_ = false;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_UNITTESTS_TRANSPORT_TEST_SUPPORT_H_
