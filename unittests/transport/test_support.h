/// \file
/// Helpers for the transport tests: run an io_context until a condition holds,
/// and send and receive raw bytes on a TCP connection.
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

/// Longest wait for a condition. Only a failing test waits this long.
constexpr std::chrono::seconds kTestTimeout{20};

/// Returns the instant \p span after the current one.
inline state::Instant FromNow(state::Duration span) {
  return Now() + span;
}

/// Runs \p context until \p condition holds. Returns false after kTestTimeout.
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

/// One end of a TCP connection on which the test sends and receives raw bytes.
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

  /// Runs the context until a connection is accepted. Returns false after
  /// kTestTimeout.
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

  /// Runs the context until all of \p bytes are sent or the connection fails.
  void Send(std::string_view bytes) {
    RunUntil(context_, [&] {
      boost::system::error_code error;
      bytes.remove_prefix(socket_.write_some(
          boost::asio::buffer(bytes.data(), bytes.size()), error));
      return bytes.empty() ||
             (error && error != boost::asio::error::would_block);
    });
  }

  /// Appends the bytes that are available to `received()`, without blocking.
  void Poll() {
    char bytes[4096];
    boost::system::error_code error;
    const std::size_t size =
        socket_.read_some(boost::asio::buffer(bytes), error);
    received_.append(bytes, size);
    if (error && error != boost::asio::error::would_block)
      closed_ = true;
  }

  /// Runs the context until \p text has been received. Returns false after
  /// kTestTimeout.
  bool Expect(std::string_view text) {
    return RunUntil(context_, [&] {
      Poll();
      return received_.find(text) != std::string::npos;
    });
  }

  /// Runs the context until the other end has closed the connection. Returns
  /// false after kTestTimeout.
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
