/// \file
/// A TCP connection between two nodes that carries framed messages, and the
/// listener for such connections.
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

#include "sesamespread/protocol/codec.h"
#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"
#include "sesamespread/transport/frame_compression.h"
#include "sesamespread/transport/memory_account.h"

namespace sesamespread::transport {

/// A link with outstanding work that has received nothing for this long is
/// pinged.
constexpr state::Duration kPingInterval = std::chrono::milliseconds(200);

/// A link that was pinged after kPingInterval is closed if it has received
/// nothing for this long. A middlebox may drop the state of a connection
/// without either end being notified.
constexpr state::Duration kLinkSilenceTimeout = std::chrono::milliseconds(600);

/// Largest number of bytes in the send queue of a link. Two answers of the
/// largest size fit.
constexpr std::size_t kMaxQueuedBytes = 48 << 20;

/// Bound on the first frame of a link, a Hello.
constexpr std::size_t kMaxFirstFrameBytes = 4 << 10;

/// Size of the send queue from which on replies are left out.
constexpr std::size_t kMaxReplyQueueBytes = 1 << 20;

/// One connection. All calls are made and all callbacks run on the io_context's
/// thread.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  using MessageHandler = std::function<void(protocol::PeerMessage)>;
  using ClosedHandler = std::function<void(const std::string& reason)>;

  explicit PeerLink(boost::asio::ip::tcp::socket socket);

  /// Sets the account that is charged with the buffers of the link; null for
  /// none. Called before Start.
  void SetMemory(MemoryAccount* memory);

  /// Bounds the first frame by kMaxFirstFrameBytes. Called before Start.
  void ExpectHello() { max_frame_bytes_ = kMaxFirstFrameBytes; }

  /// Starts to read. \p on_closed runs once, never inside Send or Close.
  void Start(MessageHandler on_message, ClosedHandler on_closed);

  /// Sets a callback that runs after each completed write, when the send queue
  /// has room again.
  void OnWritten(std::function<void()> callback) {
    on_written_ = std::move(callback);
  }

  /// Adds \p message to the send queue.
  /// \returns false if the link is closed or the queue is full; no part of the
  /// message is sent then.
  bool Send(const protocol::PeerMessage& message);

  /// Sends the reply to a control message, unless the other end does not read:
  /// it could otherwise fill the send queue with replies. What is queued shows
  /// the other end that the link works.
  void SendReply(const protocol::PeerMessage& message);

  /// Closes the link and posts the closed handler with \p reason.
  void Close(const std::string& reason);

  /// Sends a ping if the link has outstanding work and nothing has been
  /// received for kPingInterval. Closes the link if a ping, including one
  /// sent by SendPing, is not answered in time. \p has_outstanding_work is true
  /// if an answer is outstanding or the send queue is not empty.
  void CheckLiveness(state::Instant now, bool has_outstanding_work);

  void SendPing();
  bool ping_outstanding() const { return ping_outstanding_; }

  /// Compresses frames of up to kMaxCompressedFrame bytes from now on. The
  /// other end does the same once it receives the first compressed frame.
  void EnableCompression();

  /// When the last bytes were received.
  state::Instant last_received() const { return last_received_; }

  /// Bytes of all frames that were added to the send queue so far.
  std::uint64_t added_bytes() const { return added_bytes_; }
  /// Upper bound on the bytes that were passed to the kernel. The other end
  /// cannot have received a frame that ends beyond it.
  std::uint64_t max_written_bytes() const { return max_written_bytes_; }

  bool is_open() const { return open_; }
  /// Whether a whole frame has been received.
  bool has_received_frame() const { return has_received_frame_; }
  std::size_t queued_bytes() const { return queued_bytes_; }

 private:
  void Read();
  // Handles the complete frames in read_buffer_.
  void OnRead();
  // \returns false if the link was closed.
  bool OnPayload(std::span<const std::uint8_t> payload, bool is_compressed);
  void WriteNext();
  std::string CompressFrame(std::string_view frame);
  // Makes room for the rest of a frame of \p frame bytes, by doubling: most of
  // the frame may never arrive.
  void GrowReadBuffer(std::size_t frame);
  // Frees the buffers of a large frame that was handled.
  void ReleaseLargeBuffers();
  void UpdateCharge();

  boost::asio::ip::tcp::socket socket_;
  MessageHandler on_message_;
  ClosedHandler on_closed_;
  std::function<void()> on_written_;
  bool open_ = true;
  bool has_received_frame_ = false;
  // Bound on the next frame.
  std::size_t max_frame_bytes_ = protocol::kMaxFrameBytes;
  // Bytes that were read but not handled yet are in [read_begin_, read_end_).
  std::vector<std::uint8_t> read_buffer_;
  std::size_t read_begin_ = 0;
  std::size_t read_end_ = 0;
  // Payload that is being decoded, in an aligned buffer.
  std::vector<std::uint8_t> payload_;
  // Null while frames are not compressed in the respective direction.
  std::unique_ptr<FrameCompressor> compressor_;
  std::unique_ptr<FrameDecompressor> decompressor_;
  // Frames that wait to be written; the write in progress owns writing_.
  std::deque<std::string> queue_;
  std::vector<std::string> writing_;
  // Sum of the sizes of queue_ and writing_.
  std::size_t queued_bytes_ = 0;
  // The buffers and the queue, in the node's account and in that of its links;
  // null without an account.
  std::unique_ptr<MemoryAccount::Charge> charge_;
  std::unique_ptr<MemoryAccount::Charge> link_charge_;
  MemoryAccount* memory_ = nullptr;
  std::uint64_t added_bytes_ = 0;
  // Counts the bytes of writing_ as written until the write has ended.
  std::uint64_t max_written_bytes_ = 0;
  state::Instant last_received_;
  // True while a ping is unanswered; ping_sent_ is the time of that ping.
  bool ping_outstanding_ = false;
  state::Instant ping_sent_;
  std::uint64_t next_ping_token_ = 1;
};

/// Accepts links from peers.
class PeerListener {
 public:
  using AcceptHandler = std::function<void(std::shared_ptr<PeerLink>)>;

  /// Starts to listen at \p endpoint.
  /// \throws std::system_error if the address is in use.
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

/// Opens a link to \p endpoint. \p done receives the link, or nullptr if no
/// connection could be opened within \p timeout or the address is not valid;
/// it never runs inside this function.
void ConnectPeer(boost::asio::io_context& context,
                 const state::Endpoint& endpoint,
                 state::Duration timeout,
                 std::function<void(std::shared_ptr<PeerLink>)> done);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_PEER_LINK_H_
