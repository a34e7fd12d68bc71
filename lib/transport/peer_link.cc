/// \file
/// TCP connections between nodes that carry framed messages.
#include "sesamespread/transport/peer_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/transport/acceptor.h"
#include "sesamespread/transport/deadline_queue.h"

namespace sesamespread::transport {
namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Largest number of frames in one gathering write.
constexpr std::size_t kMaxFramesPerWrite = 64;

// Space for many small frames in one read. The buffer grows for a larger frame.
constexpr std::size_t kReadBytes = 16 << 10;

// Set in the length field of a compressed frame. Lengths are at most
// kMaxFrameBytes, so the bit is otherwise clear.
constexpr std::uint32_t kCompressedFlag = 1U << 31;

}  // namespace

PeerLink::PeerLink(tcp::socket socket)
    : socket_(std::move(socket)), last_received_(Now()) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

void PeerLink::SetMemory(MemoryAccount* memory) {
  memory_ = memory;
  if (!memory)
    return;
  charge_ = std::make_unique<MemoryAccount::Charge>(memory);
  link_charge_ = std::make_unique<MemoryAccount::Charge>(
      &memory->links(),
      [this] { Close("the links hold too many bytes, this one the most"); });
}

void PeerLink::Start(MessageHandler on_message, ClosedHandler on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  Read();
}

bool PeerLink::Send(const protocol::PeerMessage& message) {
  if (!open_)
    return false;
  std::string frame = protocol::EncodeFrame(message);
  if (queued_bytes_ + frame.size() > kMaxQueuedBytes)
    return false;
  // A compressed frame must be sent, because later ones refer to its bytes.
  if (compressor_ && frame.size() <= kMaxCompressedFrame)
    frame = CompressFrame(frame);
  queued_bytes_ += frame.size();
  added_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  UpdateCharge();
  if (!open_)
    return false;
  if (writing_.empty())
    WriteNext();
  return true;
}

void PeerLink::SendReply(const protocol::PeerMessage& message) {
  if (queued_bytes_ < kMaxReplyQueueBytes)
    Send(message);
}

std::string PeerLink::CompressFrame(std::string_view frame) {
  const std::string payload =
      compressor_->Compress(frame.substr(protocol::kFrameHeaderBytes));
  std::string compressed(protocol::kFrameHeaderBytes, '\0');
  const std::uint32_t size =
      static_cast<std::uint32_t>(payload.size()) | kCompressedFlag;
  for (std::size_t i = 0; i < protocol::kFrameHeaderBytes; ++i)
    compressed[i] = static_cast<char>(size >> (8 * i));
  return compressed + payload;
}

void PeerLink::EnableCompression() {
  if (!compressor_)
    compressor_ = std::make_unique<FrameCompressor>();
}

void PeerLink::Close(const std::string& reason) {
  if (!open_)
    return;
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
  asio::post(socket_.get_executor(), [self = shared_from_this(), reason] {
    if (self->on_closed_)
      std::exchange(self->on_closed_, nullptr)(reason);
    self->on_message_ = nullptr;
    self->on_written_ = nullptr;
  });
}

void PeerLink::CheckLiveness(state::Instant now, bool has_outstanding_work) {
  if (!open_)
    return;
  if (ping_outstanding_) {
    if (now - std::max(ping_sent_, last_received_) >=
        kLinkSilenceTimeout - kPingInterval)
      Close("no data received while a ping was unanswered");
    return;
  }
  if (has_outstanding_work && now - last_received_ >= kPingInterval)
    SendPing();
}

void PeerLink::SendPing() {
  ping_outstanding_ = true;
  ping_sent_ = Now();
  Send(protocol::Ping{next_ping_token_++});
}

void PeerLink::Read() {
  if (read_begin_ == read_end_)
    read_begin_ = read_end_ = 0;
  if (read_buffer_.size() - read_end_ < kReadBytes / 2) {
    std::copy(read_buffer_.begin() + static_cast<std::ptrdiff_t>(read_begin_),
              read_buffer_.begin() + static_cast<std::ptrdiff_t>(read_end_),
              read_buffer_.begin());
    read_end_ -= read_begin_;
    read_begin_ = 0;
    read_buffer_.resize(std::max(read_buffer_.size(), read_end_ + kReadBytes));
  }
  socket_.async_read_some(
      asio::buffer(read_buffer_.data() + read_end_,
                   read_buffer_.size() - read_end_),
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        if (error) {
          self->Close(error.message());
          return;
        }
        self->last_received_ = Now();
        self->read_end_ += size;
        self->OnRead();
      });
}

void PeerLink::OnRead() {
  while (open_ && read_end_ - read_begin_ >= protocol::kFrameHeaderBytes) {
    const std::span<const std::uint8_t> bytes(read_buffer_.data() + read_begin_,
                                              read_end_ - read_begin_);
    const std::uint32_t header =
        protocol::DecodeFrameLength(bytes.first(protocol::kFrameHeaderBytes));
    const std::uint32_t size = header & ~kCompressedFlag;
    if (size == 0 || size > max_frame_bytes_) {
      Close("frame length out of bounds");
      return;
    }
    const std::size_t frame = protocol::kFrameHeaderBytes + size;
    if (bytes.size() < frame) {
      GrowReadBuffer(frame);
      break;
    }
    if (!OnPayload(bytes.subspan(protocol::kFrameHeaderBytes, size),
                   size != header))
      return;
    read_begin_ += frame;
  }
  ReleaseLargeBuffers();
  if (open_)
    Read();
}

void PeerLink::GrowReadBuffer(std::size_t frame) {
  const std::size_t received = read_end_ - read_begin_;
  if (read_buffer_.size() - read_begin_ >= frame ||
      read_end_ < read_buffer_.size())
    return;
  std::vector<std::uint8_t> grown;
  grown.reserve(std::min(frame, std::max(2 * received, kReadBytes)));
  grown.assign(read_buffer_.begin() + static_cast<std::ptrdiff_t>(read_begin_),
               read_buffer_.begin() + static_cast<std::ptrdiff_t>(read_end_));
  grown.resize(grown.capacity());
  read_buffer_ = std::move(grown);
  read_begin_ = 0;
  read_end_ = received;
}

void PeerLink::ReleaseLargeBuffers() {
  if (payload_.capacity() > kReadBytes)
    payload_ = std::vector<std::uint8_t>();
  if (read_buffer_.size() > 2 * kReadBytes &&
      read_end_ - read_begin_ <= kReadBytes) {
    read_buffer_ = std::vector<std::uint8_t>(
        read_buffer_.begin() + static_cast<std::ptrdiff_t>(read_begin_),
        read_buffer_.begin() + static_cast<std::ptrdiff_t>(read_end_));
    read_end_ -= read_begin_;
    read_begin_ = 0;
  }
  UpdateCharge();
}

void PeerLink::UpdateCharge() {
  if (!memory_)
    return;
  const std::size_t held =
      open_ ? queued_bytes_ + read_buffer_.capacity() + payload_.capacity() : 0;
  if (held == charge_->bytes())
    return;
  charge_->Set(held);
  // Of links of one size, those that have never sent a message go first.
  const auto last_progress =
      has_received_frame_ ? last_received_ : state::Instant{};
  link_charge_->Set(held, /*can_give_up=*/open_, last_progress);
  memory_->links().Relieve();
}

bool PeerLink::OnPayload(std::span<const std::uint8_t> payload,
                         bool is_compressed) {
  if (is_compressed) {
    if (!decompressor_)
      decompressor_ = std::make_unique<FrameDecompressor>();
    EnableCompression();
    auto frame = decompressor_->Decompress(payload);
    if (!frame) {
      Close("frame can't be decompressed");
      return false;
    }
    payload_ = std::move(*frame);
  } else {
    // The FlatBuffers decoder needs an aligned buffer.
    payload_.assign(payload.begin(), payload.end());
  }
  auto message = protocol::DecodePayload(payload_);
  if (!message) {
    Close("frame is not a valid message");
    return false;
  }
  has_received_frame_ = true;
  max_frame_bytes_ = protocol::kMaxFrameBytes;
  ping_outstanding_ = false;
  if (const auto* ping = std::get_if<protocol::Ping>(&*message))
    SendReply(protocol::Pong{ping->token});
  else if (on_message_)
    on_message_(std::move(*message));
  return open_;
}

void PeerLink::WriteNext() {
  std::vector<asio::const_buffer> buffers;
  while (!queue_.empty() && writing_.size() < kMaxFramesPerWrite) {
    writing_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  buffers.reserve(writing_.size());
  std::size_t size = 0;
  for (const std::string& frame : writing_) {
    buffers.push_back(asio::buffer(frame));
    size += frame.size();
  }
  max_written_bytes_ += size;
  asio::async_write(socket_, buffers,
                    [self = shared_from_this(), size](const error_code& error,
                                                      std::size_t written) {
                      self->queued_bytes_ -= size;
                      self->max_written_bytes_ -= size - written;
                      self->writing_.clear();
                      self->UpdateCharge();
                      if (error) {
                        self->Close(error.message());
                        return;
                      }
                      if (self->open_ && self->on_written_)
                        self->on_written_();
                      if (!self->queue_.empty() && self->writing_.empty())
                        self->WriteNext();
                    });
}

PeerListener::PeerListener(asio::io_context& context,
                           const state::Endpoint& endpoint,
                           AcceptHandler on_accept)
    : acceptor_(context), on_accept_(std::move(on_accept)) {
  OpenAcceptor(acceptor_, endpoint);
  AcceptNext();
}

std::uint16_t PeerListener::port() const {
  return acceptor_.local_endpoint().port();
}

void PeerListener::Stop() {
  error_code ignored;
  acceptor_.close(ignored);
}

void PeerListener::AcceptNext() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error)
      on_accept_(std::make_shared<PeerLink>(std::move(socket)));
    AcceptNext();
  });
}

void ConnectPeer(asio::io_context& context,
                 const state::Endpoint& endpoint,
                 state::Duration timeout,
                 std::function<void(std::shared_ptr<PeerLink>)> done) {
  struct Attempt {
    explicit Attempt(asio::io_context& context)
        : socket(context), timer(context) {}
    tcp::socket socket;
    asio::steady_timer timer;
    bool timed_out = false;
  };
  error_code invalid;
  const auto address = asio::ip::make_address(endpoint.address, invalid);
  if (invalid || endpoint.port == 0) {
    asio::post(context, [done = std::move(done)] { done(nullptr); });
    return;
  }
  auto attempt = std::make_shared<Attempt>(context);
  attempt->timer.expires_after(timeout);
  attempt->timer.async_wait([attempt](const error_code& error) {
    if (error)
      return;
    attempt->timed_out = true;
    error_code ignored;
    attempt->socket.close(ignored);
  });
  attempt->socket.async_connect(
      tcp::endpoint(address, endpoint.port),
      [attempt, done = std::move(done)](const error_code& error) {
        attempt->timer.cancel();
        if (error || attempt->timed_out) {
          done(nullptr);
          return;
        }
        done(std::make_shared<PeerLink>(std::move(attempt->socket)));
      });
}

}  // namespace sesamespread::transport
