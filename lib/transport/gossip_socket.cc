/// \file
/// Gossip over UDP with Boost.Asio.
#include "sesamespread/transport/gossip_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <span>
#include <string>
#include <utility>

namespace sesamespread::transport {
namespace {

using boost::asio::ip::udp;

}  // namespace

GossipSocket::GossipSocket(boost::asio::io_context& context,
                           const state::Endpoint& endpoint,
                           Handler handler)
    : socket_(context), handler_(std::move(handler)) {
  const udp::endpoint local(boost::asio::ip::make_address(endpoint.address),
                            endpoint.port);
  socket_.open(local.protocol());
  socket_.bind(local);
  // A full send buffer must not block the control thread.
  socket_.non_blocking(true);
  Receive();
}

GossipSocket::~GossipSocket() {
  *alive_ = false;
}

std::uint16_t GossipSocket::port() const {
  return socket_.local_endpoint().port();
}

bool GossipSocket::Send(const state::Endpoint& to,
                        const protocol::GossipMessage& message) {
  const std::string datagram = protocol::EncodeDatagram(message);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(to.address, error);
  if (error || datagram.size() > protocol::kMaxDatagramBytes) {
    ++counters_.send_failures;
    return false;
  }
  socket_.send_to(boost::asio::buffer(datagram),
                  udp::endpoint(address, to.port), 0, error);
  if (error) {
    ++counters_.send_failures;
    return false;
  }
  ++counters_.sent;
  return true;
}

void GossipSocket::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void GossipSocket::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this, alive = alive_](const boost::system::error_code& error,
                             std::size_t bytes) {
        if (!*alive || !socket_.is_open() ||
            error == boost::asio::error::operation_aborted)
          return;
        // Other errors, such as ECONNREFUSED, are the result of a datagram that
        // was sent earlier, and reception continues.
        if (!error) {
          ++counters_.received;
          const auto message =
              bytes <= protocol::kMaxDatagramBytes
                  ? protocol::DecodeDatagram(
                        std::span<const std::uint8_t>(buffer_.data(), bytes))
                  : std::nullopt;
          if (message)
            handler_(*message, bytes);
          else
            ++counters_.malformed;
        }
        // The handler may have closed or destroyed the socket.
        if (*alive && socket_.is_open())
          Receive();
      });
}

}  // namespace sesamespread::transport
