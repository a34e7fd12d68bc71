/// \file
/// A framed TCP connection to another node, and the listener for such
/// connections.
#ifndef SESAMESPREAD_TRANSPORT_PEER_LINK_H_
#define SESAMESPREAD_TRANSPORT_PEER_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"
#include "sesamespread/transport/frame_compression.h"

namespace sesamespread::transport {

/// Sends a ping on a link that owes an answer and has been silent this long.
constexpr state::Duration kPingInterval = std::chrono::milliseconds(200);

/// A link that owes an answer to a ping and has delivered nothing for this long
/// is closed: something between the two ends may have lost track of it.
constexpr state::Duration kLinkSilenceTimeout = std::chrono::milliseconds(600);

/// Bytes that may wait to be written on one link. Two largest answers fit.
constexpr std::size_t kMaxQueuedBytes = 48 << 20;

/// One connection. All calls and callbacks are on the io_context's thread.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  using MessageHandler = std::function<void(protocol::PeerMessage)>;
  using ClosedHandler = std::function<void(const std::string& reason)>;

  explicit PeerLink(boost::asio::ip::tcp::socket socket);

  /// Starts to read. \p on_closed runs once, never inside a call of Send.
  void Start(MessageHandler on_message, ClosedHandler on_closed);

  /// \p callback runs after each write that leaves room in the queue.
  void OnWritten(std::function<void()> callback) {
    on_written_ = std::move(callback);
  }

  /// Queues \p message. \returns false if the link is closed or its queue is
  /// full; nothing was sent then.
  bool Send(const protocol::PeerMessage& message);

  /// Closes the link; the closed handler runs with \p reason.
  void Close(const std::string& reason);

  /// Sends a ping if the link is silent while it owes an answer, and closes it
  /// if the ping stays unanswered. An idle link costs nothing.
  void CheckLiveness(state::Instant now, bool has_outstanding_work);

  /// Sends a ping now.
  void SendPing();
  bool ping_outstanding() const { return ping_outstanding_; }

  /// Compresses small frames from now on. The other end does the same once it
  /// receives the first of them.
  void EnableCompression();

  /// When the last bytes arrived.
  state::Instant last_received() const { return last_received_; }

  bool is_open() const { return open_; }
  std::size_t queued_bytes() const { return queued_bytes_; }

 private:
  void Read();
  // Handles the whole frames in read_buffer_.
  void OnRead();
  // \returns false if the link was closed.
  bool OnPayload(std::span<const std::uint8_t> payload, bool is_compressed);
  void WriteNext();
  std::string CompressedFrame(std::string_view frame);

  boost::asio::ip::tcp::socket socket_;
  MessageHandler on_message_;
  ClosedHandler on_closed_;
  std::function<void()> on_written_;
  bool open_ = true;
  // Bytes that were read and not handled are in [read_begin_, read_end_).
  std::vector<std::uint8_t> read_buffer_;
  std::size_t read_begin_ = 0;
  std::size_t read_end_ = 0;
  std::vector<std::uint8_t> payload_;
  // Null while frames are not compressed in that direction.
  std::unique_ptr<FrameCompressor> compressor_;
  std::unique_ptr<FrameDecompressor> decompressor_;
  // Frames that wait; those in writing_ are with the kernel call in progress.
  std::deque<std::string> queue_;
  std::vector<std::string> writing_;
  // Sum of the sizes of queue_ and writing_.
  std::size_t queued_bytes_ = 0;
  state::Instant last_received_;
  // Set while a ping is unanswered, with the time it was sent.
  bool ping_outstanding_ = false;
  state::Instant ping_sent_;
  std::uint64_t next_ping_token_ = 1;
};

/// Accepts links from other nodes.
class PeerListener {
 public:
  using AcceptHandler = std::function<void(std::shared_ptr<PeerLink>)>;

  /// Listens at once. \throws std::system_error if the address is in use.
  PeerListener(boost::asio::io_context& context,
               const state::Endpoint& endpoint,
               AcceptHandler on_accept);

  std::uint16_t port() const;
  void Stop();

 private:
  void AcceptNext();

  boost::asio::ip::tcp::acceptor acceptor_;
  AcceptHandler on_accept_;
};

/// Opens a link. \p done gets the link, or nullptr if no connection could be
/// opened within \p timeout.
void ConnectPeer(boost::asio::io_context& context,
                 const state::Endpoint& endpoint,
                 state::Duration timeout,
                 std::function<void(std::shared_ptr<PeerLink>)> done);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_PEER_LINK_H_
