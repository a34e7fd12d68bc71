/// \file
/// UDP socket that sends and receives gossip messages on an io_context.
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
  /// Receives each valid message and the size of its datagram in bytes.
  using Handler =
      std::function<void(const protocol::GossipMessage&, std::size_t)>;

  /// Numbers of datagrams since the socket was created.
  struct Counters {
    std::uint64_t sent = 0;
    /// Datagrams that were not sent because they are too large, the address is
    /// not numeric, or the system call failed, for example because the send
    /// buffer is full. They are not sent again: the gossip protocol repeats its
    /// updates.
    std::uint64_t send_failures = 0;
    std::uint64_t received = 0;
    /// Datagrams that did not decode.
    std::uint64_t malformed = 0;
  };

  /// Binds to \p endpoint and starts to receive.
  /// \throws boost::system::system_error if the address cannot be bound.
  GossipSocket(boost::asio::io_context& context,
               const state::Endpoint& endpoint,
               Handler handler);
  ~GossipSocket();

  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  /// The bound port; chosen by the system if the endpoint's port was 0.
  std::uint16_t port() const;

  /// Sends \p message at once, without blocking.
  /// \returns false if it was not sent; see Counters::send_failures.
  bool Send(const state::Endpoint& to, const protocol::GossipMessage& message);

  /// Closes the socket; the handler does not run any more.
  void Close();

  const Counters& counters() const { return counters_; }

 private:
  void Receive();

  boost::asio::ip::udp::socket socket_;
  Handler handler_;
  boost::asio::ip::udp::endpoint sender_;
  // One byte larger than the largest datagram, so that a longer one is detected
  // and not truncated to a valid size.
  std::array<std::uint8_t, protocol::kMaxDatagramBytes + 1> buffer_{};
  Counters counters_;
  // Set to false by the destructor. Completion handlers that are still queued
  // then hold a copy and must not access this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_GOSSIP_SOCKET_H_
