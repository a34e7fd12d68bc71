/// \file
/// Sends and receives gossip datagrams on an io_context.
#ifndef SESAMESPREAD_TRANSPORT_GOSSIP_SOCKET_H_
#define SESAMESPREAD_TRANSPORT_GOSSIP_SOCKET_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/state/node_record.h"

namespace sesamespread::transport {

/// A UDP socket for GossipMessage. All calls and the handler run on the
/// io_context's thread.
class GossipSocket {
 public:
  /// Gets each valid message and the datagram's size in bytes.
  using Handler =
      std::function<void(const protocol::GossipMessage&, std::size_t)>;

  /// Counters since the start.
  struct Counters {
    std::uint64_t sent = 0;
    /// Not sent: too large, an address that is not numeric, or refused by the
    /// system, as when the send buffer is full. Gossip repeats what matters.
    std::uint64_t send_failures = 0;
    std::uint64_t received = 0;
    /// Datagrams that did not decode.
    std::uint64_t malformed = 0;
  };

  /// Binds and starts to receive. \throws boost::system::system_error if the
  /// address can't be bound.
  GossipSocket(boost::asio::io_context& context,
               const state::Endpoint& endpoint,
               Handler handler);
  ~GossipSocket();

  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  /// The port bound; differs from the one asked for if that was 0.
  std::uint16_t port() const;

  /// Sends at once, without blocking. \returns false if it was not sent.
  bool Send(const state::Endpoint& to, const protocol::GossipMessage& message);

  /// Stops receiving.
  void Close();

  const Counters& counters() const { return counters_; }

 private:
  void Receive();

  boost::asio::ip::udp::socket socket_;
  Handler handler_;
  boost::asio::ip::udp::endpoint sender_;
  // One byte more than the largest datagram, so that a longer one is noticed.
  std::array<std::uint8_t, protocol::kMaxDatagramBytes + 1> buffer_{};
  Counters counters_;
  // False once this socket is destroyed; a handler may still be queued then.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_GOSSIP_SOCKET_H_
