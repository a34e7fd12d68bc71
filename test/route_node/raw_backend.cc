/// \file
/// Implementation of the raw backend server on blocking sockets.
#include "raw_backend.h"

#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "sesamespread/transport/acceptor.h"

namespace sesamespread::test {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Interval of the checks whether the test ends.
constexpr int kPollMs = 20;

// Waits until the socket is ready. \returns false if the test ends.
bool WaitFor(tcp::socket::native_handle_type handle,
             short events,
             const std::atomic<bool>& stopping) {
  while (!stopping) {
    pollfd entry{handle, events, 0};
    if (poll(&entry, 1, kPollMs) > 0)
      return true;
  }
  return false;
}

// The value of a header field, with its name in the case that nodes send.
std::string FieldOf(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos)
    return "";
  const std::size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

bool RawConnection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!WaitFor(socket_.native_handle(), POLLOUT, stopping_))
      return false;
    error_code error;
    const std::size_t size = socket_.write_some(
        boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != boost::asio::error::would_block)
      return false;
    bytes.remove_prefix(size);
  }
  return true;
}

void RawConnection::Close(bool reset) {
  error_code ignored;
  if (reset)
    socket_.set_option(tcp::socket::linger(true, 0), ignored);
  socket_.close(ignored);
}

void RawConnection::CloseAfterNode() {
  error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  char bytes[4096];
  while (!error && WaitFor(socket_.native_handle(), POLLIN, stopping_)) {
    socket_.read_some(boost::asio::buffer(bytes), error);
    if (error == boost::asio::error::would_block)
      error = {};
  }
  Close(/*reset=*/false);
}

RawBackend::RawBackend(const state::Endpoint& listen,
                       std::string instance,
                       Handler handler)
    : instance_(std::move(instance)),
      handler_(std::move(handler)),
      acceptor_(context_) {
  transport::OpenAcceptor(acceptor_, listen);
  acceptor_.non_blocking(true);
  acceptor_thread_ = std::thread([this] {
    while (WaitFor(acceptor_.native_handle(), POLLIN, stopping_)) {
      error_code error;
      tcp::socket socket = acceptor_.accept(error);
      if (error)
        continue;
      socket.non_blocking(true);
      connections_.emplace_back([this, socket = std::move(socket)]() mutable {
        Serve(std::move(socket));
      });
    }
  });
}

RawBackend::~RawBackend() {
  stopping_ = true;
  acceptor_thread_.join();
  for (std::thread& connection : connections_)
    connection.join();
}

std::size_t RawBackend::CountExecutions(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count(executed_ids_.begin(), executed_ids_.end(), id));
}

std::string RawBackend::AnswerTo(const std::string& id) const {
  const std::string body = fmt::format("{} answers {}", instance_, id);
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Response-Seal: {1}/{0}\r\n"
      "X-Instance: {1}\r\nContent-Length: {2}\r\n\r\n{3}",
      id, instance_, body.size(), body);
}

void RawBackend::Serve(tcp::socket socket) {
  RawConnection connection(socket, stopping_);
  std::string received;
  while (socket.is_open() &&
         WaitFor(socket.native_handle(), POLLIN, stopping_)) {
    char bytes[4096];
    error_code error;
    const std::size_t size =
        socket.read_some(boost::asio::buffer(bytes), error);
    if (error && error != boost::asio::error::would_block)
      return;
    received.append(bytes, size);
    // The requests of these tests have no bodies.
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos)
      continue;
    const std::string head = received.substr(0, end + 2);
    received.erase(0, end + 4);
    if (head.rfind("GET /healthz", 0) == 0) {
      connection.Write(fmt::format(
          "HTTP/1.1 200 OK\r\nX-Instance: {}\r\nContent-Length: 0\r\n\r\n",
          instance_));
      continue;
    }
    const std::string id = FieldOf(head, "X-Attempt-Id");
    {
      const std::lock_guard lock(mutex_);
      executed_ids_.push_back(id);
    }
    connection.CountRequest();
    handler_(id, connection);
  }
}

}  // namespace sesamespread::test
