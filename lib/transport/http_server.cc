/// \file
/// HTTP/1.1 server. It waits for input on each connection nearly all the time,
/// including while its request is handled, so that a closed connection is
/// detected at once. Pipelined requests wait in the read buffer and are handled
/// one after the other. One timer checks the timeouts of all connections.
#include "sesamespread/transport/http_server.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <limits>
#include <optional>
#include <system_error>
#include <unordered_set>
#include <utility>
#include <vector>

#include "body_budget.h"
#include "http_wire.h"
#include "sesamespread/protocol/http_fields.h"
#include "sesamespread/transport/acceptor.h"

namespace sesamespread::transport {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::size_t kHeaderReadBytes = 4 << 10;
constexpr std::size_t kBodyReadBytes = 64 << 10;

/// Bytes of pipelined requests that are read ahead on a connection.
constexpr std::size_t kMaxReadAheadBytes = 16 << 10;

/// Copies of a request's head while it is handled: the request, the call made
/// from it, and the frame or the request to the backend server.
constexpr std::size_t kHeadCopies = 3;

/// Bytes of an answer in the kernel that the caller's window has no room for.
/// The send buffer of a connection otherwise grows to megabytes, which count as
/// memory of the host.
constexpr int kMaxKernelUnsentBytes = 128 << 10;

/// While memory is scarce, one large request is received at a time. It is given
/// up if it makes no progress for the first time or is not complete after the
/// second: requests that never end would otherwise stop all others.
constexpr state::Duration kMaxReadSilence = std::chrono::milliseconds(300);
constexpr state::Duration kMaxReadTurn = std::chrono::seconds(2);

/// Lingering close: after the last answer the server continues to read for this
/// long, because closing a socket with unread bytes resets the connection, and
/// the caller could lose the answer.
constexpr state::Duration kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxLingerBytes = 4 << 20;

/// Largest number of connections over the limit that stay open until their
/// refusal is delivered. Further ones are closed without an answer.
constexpr std::size_t kMaxRefusedConnections = 64;

/// Delay after a failed accept, for example for lack of file descriptors.
constexpr state::Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

constexpr state::Duration kMinSweepInterval = std::chrono::milliseconds(5);
constexpr state::Duration kMaxSweepInterval = std::chrono::milliseconds(250);

/// Retry-After of the answer to connections over the limit.
constexpr std::chrono::seconds kBusyRetryAfter{1};

/// Idle connections are closed while fewer than one in this many of the
/// permitted connections are free.
constexpr std::size_t kFreeShareDivisor = 4;

constexpr std::size_t kWholeBody = std::numeric_limits<std::size_t>::max();

constexpr steady_clock::time_point kNoDeadline =
    steady_clock::time_point::max();

HttpResponse ProblemResponse(state::ResultCode code, std::string_view detail) {
  const state::ResultCodeInfo& info = state::InfoOf(code);
  const bool busy = code == state::ResultCode::kNodeBusy;
  HttpResponse response;
  response.status = static_cast<std::uint16_t>(info.http_status);
  response.headers = {{"Content-Type", "application/problem+json"},
                      {std::string(protocol::kResultField),
                       std::to_string(static_cast<int>(code))}};
  // Stand-in backend servers use this server too, and their nodes evaluate this
  // field.
  if (info.run_state == state::RunState::kNotRun)
    response.headers.push_back({std::string(protocol::kNotRunField), "1"});
  if (busy) {
    response.headers.push_back(
        {"Retry-After", std::to_string(kBusyRetryAfter.count())});
  }
  response.body = protocol::ProblemDetails(
      code, info.run_state, detail, {},
      busy ? state::Duration(kBusyRetryAfter) : state::Duration(0));
  return response;
}

state::ResultCode ResultCodeOf(wire::ParseStatus status) {
  switch (status) {
    case wire::ParseStatus::kHeaderTooLarge:
      return state::ResultCode::kHeaderTooLarge;
    case wire::ParseStatus::kBodyTooLarge:
      return state::ResultCode::kBodyTooLarge;
    default:
      return state::ResultCode::kMalformedRequest;
  }
}

bool HasConnectionClose(const HttpResponse& response) {
  const std::string_view value = FieldOf(response.headers, "Connection");
  return boost::beast::iequals({value.data(), value.size()}, "close");
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       const HttpServerOptions& options,
       Handler handler)
      : acceptor_(context),
        accept_timer_(context),
        sweep_timer_(context),
        options_(options),
        bodies_(options.max_received_bytes),
        handler_(std::move(handler)) {}

  void Listen(const state::Endpoint& endpoint);
  void StartDraining() { draining_ = true; }
  void StopAccepting();
  void Close();

  std::uint16_t port() const { return port_; }
  std::size_t connection_count() const {
    return connections_.size() - refused_count_;
  }
  std::size_t unfinished_answers() const;

 private:
  class Connection;
  class Exchange;

  void Accept();
  void OnAccept(const error_code& error, tcp::socket socket);
  void ScheduleSweep();
  void Sweep();
  // Resets connections whose callers read slowly until the unsent bytes of all
  // answers are within their bound.
  void LimitUnsentBytes();
  // Whether \p connection may read on although memory is scarce.
  bool MayReadOn(const std::shared_ptr<Connection>& connection);
  // Lets the paused connection read on whose request has been received for the
  // longest time.
  void ChooseReader();
  // Closes the connections that have been idle for the longest time, so that
  // new ones are not refused. See kFreeShareDivisor.
  void CloseSurplusIdleConnections();
  state::Duration SweepInterval() const;

  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer sweep_timer_;
  const HttpServerOptions options_;
  BodyBudget<Connection> bodies_;
  Handler handler_;
  std::uint16_t port_ = 0;
  /// Includes the `refused_count_` connections over the limit.
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::size_t refused_count_ = 0;
  /// Sum of unsent_bytes() of all connections.
  std::size_t unsent_bytes_ = 0;
  /// The connection that reads a large request while memory is scarce.
  std::weak_ptr<Connection> reader_;
  bool draining_ = false;
  bool stopping_ = false;
  bool sweep_scheduled_ = false;
};

/// The connection of a caller.
class HttpServer::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> server, tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        charge_(server_->options_.memory, [this] { GiveUp(); }) {}

  void Start() {
    SetOptions();
    deadline_ = steady_clock::now() + server_->options_.idle_timeout;
    StartRead();
  }

  /// Answers with kNodeBusy without reading a request, and closes the
  /// connection.
  void Refuse() {
    refused_ = true;
    SetOptions();
    SendProblem(state::ResultCode::kNodeBusy,
                fmt::format("the bound of {} connections is reached",
                            server_->options_.max_connections));
  }

  bool refused() const { return refused_; }
  bool idle() const { return phase_ == Phase::kIdle; }
  /// Whether bytes of an answer have not been sent, or not been acknowledged by
  /// the caller's host.
  bool is_answering() {
    if (phase_ == Phase::kWriting)
      return true;
    int unacknowledged_bytes = 0;
    return (phase_ == Phase::kIdle || phase_ == Phase::kLingering) &&
           ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged_bytes) ==
               0 &&
           unacknowledged_bytes > 0;
  }
  steady_clock::time_point deadline() const { return deadline_; }

  std::string peer_address() const {
    error_code error;
    const auto endpoint = socket_.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
  }

  /// Closes the connection if no request is in progress and no bytes of a new
  /// one have been received.
  void CloseIfIdle() {
    error_code error;
    if (phase_ == Phase::kIdle && socket_.available(error) == 0)
      Close();
  }

  /// Whether the connection waits for memory to receive the rest of its
  /// request.
  bool is_paused() const { return paused_ && phase_ == Phase::kReceiving; }

  bool has_turn() const { return has_turn_; }

  /// Starts the turn of this connection to read although memory is scarce.
  void StartTurn() {
    has_turn_ = true;
    turn_started_at_ = last_read_at_ = steady_clock::now();
  }

  /// Ends an exceeded turn.
  void CheckTurn(steady_clock::time_point now) {
    if (!has_turn_ || (now - last_read_at_ < kMaxReadSilence &&
                       now - turn_started_at_ < kMaxReadTurn))
      return;
    server_->options_.memory->CountRefusal();
    GiveUp();
  }

  void ResumeReading() {
    paused_ = false;
    StartRead();
  }

  void CheckDeadline(steady_clock::time_point now) {
    if (now < deadline_)
      return;
    if (phase_ == Phase::kReceiving) {
      SendProblem(state::ResultCode::kRequestTimeout,
                  "the request was not received in time");
      return;
    }
    if (phase_ == Phase::kWriting)
      Reset();
    else
      Close();
  }

  /// Bytes of the answer that the socket has not taken yet.
  std::size_t unsent_bytes() const { return unsent_bytes_; }

  /// Closes the connection and frees its send buffer.
  void Reset() {
    error_code error;
    socket_.set_option(tcp::socket::linger(true, 0), error);
    Close();
  }

  void Close() {
    if (phase_ == Phase::kClosed)
      return;
    phase_ = Phase::kClosed;
    server_->bodies_.Remove(this);
    SetUnsentBytes(0);
    UpdateCharge();
    error_code error;
    socket_.close(error);
    const std::function<void()> dropped = std::move(on_abandoned_);
    on_abandoned_ = nullptr;
    server_->refused_count_ -= refused_ ? 1 : 0;
    server_->connections_.erase(shared_from_this());
  }

  void Respond(std::uint64_t exchange_number,
               HttpResponse response,
               std::size_t body_bytes) {
    if (phase_ != Phase::kHandling || exchange_number != exchange_number_)
      return;
    body_bytes_ = body_bytes;
    close_after_answer_ =
        close_after_answer_ || body_bytes < response.body.size();
    const std::function<void()> dropped = std::move(on_abandoned_);
    on_abandoned_ = nullptr;
    SendAnswer(std::move(response));
  }

  void OnAbandoned(std::uint64_t exchange_number,
                   std::function<void()> callback) {
    if (exchange_number != exchange_number_)
      return;
    if (phase_ == Phase::kHandling)
      on_abandoned_ = std::move(callback);
    else if (abandoned_)
      boost::asio::post(socket_.get_executor(), std::move(callback));
  }

  /// Closes the connection if the handler has destroyed the exchange without an
  /// answer.
  void OnExchangeDestroyed(std::uint64_t exchange_number) {
    if (phase_ == Phase::kHandling && exchange_number == exchange_number_)
      Close();
  }

 private:
  enum class Phase : std::uint8_t {
    kIdle,
    kReceiving,
    kHandling,
    kWriting,
    kLingering,
    kClosed,
  };

  void SetOptions() {
    error_code error;
    socket_.set_option(tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &kMaxKernelUnsentBytes, sizeof(kMaxKernelUnsentBytes));
  }

  /// Sets the charge to the memory of this connection in its current phase.
  void UpdateCharge() {
    if (has_turn_ && phase_ != Phase::kReceiving) {
      has_turn_ = false;
      boost::asio::post(socket_.get_executor(),
                        [server = server_] { server->ChooseReader(); });
    }
    const std::size_t buffered = buffer_.capacity();
    switch (phase_) {
      case Phase::kReceiving:
        charge_.Set(buffered + parser_->held_bytes(), true, deadline_);
        return;
      case Phase::kHandling:
        charge_.Set(buffered + request_bytes_);
        return;
      case Phase::kWriting:
        charge_.Set(buffered + header_.size() + body_.size(), true, deadline_);
        return;
      case Phase::kIdle:
      case Phase::kLingering:
        charge_.Set(buffered);
        return;
      case Phase::kClosed:
        charge_.Set(0);
        return;
    }
  }

  /// Frees the memory of this connection, because the node holds too much. A
  /// request that is being received has not run.
  void GiveUp() {
    const auto self = shared_from_this();
    if (phase_ == Phase::kReceiving) {
      SendProblem(state::ResultCode::kNodeBusy,
                  "too many bytes are held for requests and answers");
    } else if (phase_ == Phase::kWriting) {
      Reset();
    }
  }

  void Relieve() {
    if (server_->options_.memory)
      server_->options_.memory->Relieve();
  }

  bool IsMemoryHigh() const {
    return server_->options_.memory && server_->options_.memory->is_high();
  }

  /// Waits with the rest of a large request until less memory is held.
  void PauseReading() {
    paused_ = true;
    if (std::exchange(awaits_memory_, true))
      return;
    server_->options_.memory->WhenLow([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self)
        return;
      boost::asio::post(self->socket_.get_executor(), [self] {
        self->awaits_memory_ = false;
        self->ResumeReading();
      });
    });
  }

  /// Removes the parsed bytes and frees the memory behind the others.
  void TrimBuffer() {
    buffer_.consume(phase_ == Phase::kLingering ? buffer_.size() : parsed_);
    parsed_ = 0;
    if (buffer_.capacity() - buffer_.size() >= kHeaderReadBytes)
      buffer_.shrink_to_fit();
    UpdateCharge();
  }

  std::string_view Unparsed() const {
    const auto data = buffer_.data();
    return std::string_view(static_cast<const char*>(data.data()), data.size())
        .substr(parsed_);
  }

  void StartRead() {
    if (reading_ || end_of_input_ || phase_ == Phase::kClosed)
      return;
    TrimBuffer();
    const bool busy = phase_ == Phase::kHandling || phase_ == Phase::kWriting;
    const std::size_t max_read_ahead = IsMemoryHigh() ? 1 : kMaxReadAheadBytes;
    if (busy && Unparsed().size() >= max_read_ahead)
      return;
    if (phase_ == Phase::kReceiving && IsMemoryHigh() &&
        charge_.bytes() > MemoryAccount::kSmallBytes &&
        !server_->MayReadOn(shared_from_this())) {
      PauseReading();
      return;
    }
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         self->OnReadable(error);
                       });
  }

  void OnReadable(error_code error) {
    reading_ = false;
    if (phase_ == Phase::kClosed)
      return;
    const bool reading_body =
        phase_ == Phase::kReceiving && parser_->is_header_done();
    std::size_t size = 0;
    if (!error) {
      size = socket_.read_some(
          buffer_.prepare(reading_body ? kBodyReadBytes : kHeaderReadBytes),
          error);
    }
    if (error == boost::asio::error::would_block) {
      StartRead();
      return;
    }
    if (error) {
      OnReadError(error);
      return;
    }
    buffer_.commit(size);
    last_read_at_ = steady_clock::now();
    if (phase_ == Phase::kLingering) {
      lingered_bytes_ += size;
      if (lingered_bytes_ > kMaxLingerBytes) {
        Close();
        return;
      }
    }
    Parse();
    StartRead();
  }

  void OnReadError(const error_code& error) {
    end_of_input_ = true;
    const bool half_closed = error == boost::asio::error::eof;
    if (phase_ == Phase::kReceiving && half_closed) {
      // What has arrived is valid, so that the caller may send it again.
      SendProblem(state::ResultCode::kRequestTimeout,
                  "the request was cut short");
      return;
    }
    // The caller may still read the answer that is being written.
    if (phase_ == Phase::kWriting && half_closed) {
      close_after_answer_ = true;
      return;
    }
    abandoned_ = phase_ == Phase::kHandling;
    const std::function<void()> callback = std::move(on_abandoned_);
    on_abandoned_ = nullptr;
    Close();
    if (callback)
      callback();
  }

  /// Skips empty lines before a request line, as RFC 9112, section 2.2,
  /// recommends: some callers send one after a body. They do not begin a
  /// request, so that the idle timeout stays in effect.
  void SkipEmptyLines() {
    while (Unparsed().starts_with("\r\n"))
      parsed_ += 2;
  }

  /// Parses the bytes that were read, unless a request is being handled or
  /// answered.
  void Parse() {
    if (phase_ != Phase::kIdle && phase_ != Phase::kReceiving)
      return;
    if (phase_ == Phase::kIdle)
      SkipEmptyLines();
    const std::string_view unparsed = Unparsed();
    // A single CR may be the first half of an empty line.
    const bool may_be_empty_line = phase_ == Phase::kIdle && unparsed == "\r";
    if (unparsed.empty() || may_be_empty_line)
      return;
    const HttpServerOptions& options = server_->options_;
    if (phase_ == Phase::kIdle) {
      phase_ = Phase::kReceiving;
      deadline_ = steady_clock::now() + options.receive_timeout;
      continue_sent_ = false;
      parser_.emplace(options.max_header_bytes, options.max_body_bytes);
    }
    std::size_t consumed = 0;
    const wire::ParseStatus status = parser_->Feed(unparsed, &consumed);
    parsed_ += consumed;
    if (status == wire::ParseStatus::kNeedMore) {
      SendContinueIfExpected();
      LimitBodies();
      if (phase_ == Phase::kReceiving)
        TrimBuffer();
      Relieve();
      return;
    }
    if (status != wire::ParseStatus::kDone) {
      SendProblem(ResultCodeOf(status), parser_->detail());
      return;
    }
    if (ReserveMemory())
      DispatchRequest();
  }

  /// Charges the memory that the handling of the complete request takes.
  /// \returns false if the request was refused for it.
  bool ReserveMemory() {
    TrimBuffer();
    request_bytes_ =
        parser_->held_bytes() + (kHeadCopies - 1) * parser_->header_bytes();
    if (!server_->options_.memory)
      return true;
    charge_.Set(buffer_.capacity() + request_bytes_, true, deadline_);
    Relieve();
    if (phase_ != Phase::kReceiving)
      return false;
    charge_.Set(buffer_.capacity());
    if (server_->options_.memory->Admits(request_bytes_))
      return true;
    GiveUp();
    return false;
  }

  /// Refuses the largest request if the bodies of all connections together have
  /// become too large.
  void LimitBodies() {
    if (phase_ != Phase::kReceiving)
      return;
    Connection* const largest =
        server_->bodies_.Update(this, parser_->message().body.size());
    if (largest) {
      largest->SendProblem(state::ResultCode::kNodeBusy,
                           "too many bytes of requests are being received");
    }
  }

  /// Sends "100 Continue" if the caller waits for it before it sends the body.
  void SendContinueIfExpected() {
    if (continue_sent_ || !parser_->is_header_done() ||
        !parser_->expects_continue())
      return;
    continue_sent_ = true;
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    // The connection is closed if its send buffer has no room for these bytes.
    error_code error;
    const std::size_t sent = socket_.write_some(
        boost::asio::buffer(kContinue.data(), kContinue.size()), error);
    if (error || sent != kContinue.size())
      Close();
  }

  void DispatchRequest();

  /// Answers with problem details and closes the connection.
  void SendProblem(state::ResultCode code, std::string_view detail) {
    close_after_answer_ = true;
    is_head_request_ = false;
    body_bytes_ = kWholeBody;
    HttpResponse response = ProblemResponse(code, detail);
    ReportRejection(response.status, code, detail);
    SendAnswer(std::move(response));
  }

  void ReportRejection(std::uint16_t status,
                       state::ResultCode code,
                       std::string_view detail) {
    if (!server_->options_.on_rejection)
      return;
    Rejection rejection;
    rejection.status = status;
    rejection.code = code;
    rejection.detail = detail;
    rejection.earlier_requests = exchange_number_;
    if (phase_ == Phase::kReceiving) {
      rejection.request = &parser_->message();
      rejection.received_bytes = parser_->received_bytes();
    }
    server_->options_.on_rejection(rejection);
  }

  void SendAnswer(HttpResponse response) {
    DiscardReceivedBody();
    close_after_answer_ = close_after_answer_ || server_->stopping_ ||
                          server_->draining_ || HasConnectionClose(response);
    const bool no_content = response.status == 204 || response.status == 304;
    header_.clear();
    wire::AppendStatusLine(&header_, response.status);
    wire::AppendFields(&header_, response.headers);
    if (!no_content) {
      wire::AppendField(&header_, "Content-Length",
                        std::to_string(response.body.size()));
    }
    if (close_after_answer_)
      wire::AppendField(&header_, "Connection", "close");
    else if (is_http_1_0_)
      wire::AppendField(&header_, "Connection", "keep-alive");
    header_ += "\r\n";
    body_ = no_content || is_head_request_ ? std::string()
                                           : std::move(response.body);
    body_.resize(std::min(body_.size(), body_bytes_));
    written_ = 0;
    phase_ = Phase::kWriting;
    Write();
    SetUnsentBytes(header_.size() + body_.size());
    UpdateCharge();
    server_->LimitUnsentBytes();
    Relieve();
  }

  void SetUnsentBytes(std::size_t bytes) {
    server_->unsent_bytes_ += bytes - unsent_bytes_;
    unsent_bytes_ = bytes;
  }

  void Write() {
    deadline_ = steady_clock::now() + server_->options_.send_timeout;
    const std::size_t header_left =
        header_.size() - std::min(written_, header_.size());
    const std::size_t body_left =
        header_.size() + body_.size() - written_ - header_left;
    const std::array<boost::asio::const_buffer, 2> buffers = {
        boost::asio::buffer(header_.data() + header_.size() - header_left,
                            header_left),
        boost::asio::buffer(body_.data() + body_.size() - body_left,
                            body_left)};
    socket_.async_write_some(
        buffers,
        [self = shared_from_this()](const error_code& error, std::size_t size) {
          self->OnWritten(error, size);
        });
  }

  void OnWritten(const error_code& error, std::size_t size) {
    if (phase_ != Phase::kWriting)
      return;
    if (error) {
      Close();
      return;
    }
    written_ += size;
    SetUnsentBytes(header_.size() + body_.size() - written_);
    if (unsent_bytes_ > 0) {
      Write();
      UpdateCharge();
      return;
    }
    body_ = std::string();
    if (close_after_answer_) {
      Linger();
      return;
    }
    phase_ = Phase::kIdle;
    deadline_ = steady_clock::now() + server_->options_.idle_timeout;
    // Requests that were read are answered also while the server stops: nothing
    // in the last answer told the caller that they would not be.
    Parse();
    if (phase_ == Phase::kIdle && server_->stopping_)
      Linger();
    else
      StartRead();
  }

  void Linger() {
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    if (end_of_input_) {
      Close();
      return;
    }
    phase_ = Phase::kLingering;
    deadline_ = steady_clock::now() + kLingerTimeout;
    StartRead();
  }

  /// Frees the body of a request that is answered before it is complete.
  void DiscardReceivedBody() {
    server_->bodies_.Remove(this);
    if (parser_)
      parser_->message().body = std::string();
  }

  const std::shared_ptr<Impl> server_;
  tcp::socket socket_;
  Phase phase_ = Phase::kIdle;
  steady_clock::time_point deadline_ = kNoDeadline;
  /// The first `parsed_` bytes are removed before the next read.
  boost::beast::flat_buffer buffer_;
  std::size_t parsed_ = 0;
  /// True while StartRead() waits for input.
  bool reading_ = false;
  /// True from PauseReading() to ResumeReading().
  bool paused_ = false;
  /// True while the account has a callback of this connection.
  bool awaits_memory_ = false;
  /// Set from StartTurn() until the request is complete or given up.
  bool has_turn_ = false;
  steady_clock::time_point turn_started_at_;
  steady_clock::time_point last_read_at_;
  /// No more bytes will be read, because of an error or because the caller has
  /// closed its end.
  bool end_of_input_ = false;
  std::optional<wire::RequestParser> parser_;
  bool continue_sent_ = false;
  /// Number of the request in progress, to ignore calls from the exchanges of
  /// earlier requests.
  std::uint64_t exchange_number_ = 0;
  std::function<void()> on_abandoned_;
  bool abandoned_ = false;
  bool is_head_request_ = false;
  /// Number of bytes of the answer's body to send.
  std::size_t body_bytes_ = kWholeBody;
  bool is_http_1_0_ = false;
  bool close_after_answer_ = false;
  bool refused_ = false;
  std::string header_;
  std::string body_;
  std::size_t written_ = 0;
  std::size_t unsent_bytes_ = 0;
  std::size_t lingered_bytes_ = 0;
  /// Estimate for the request that is being handled.
  std::size_t request_bytes_ = 0;
  MemoryAccount::Charge charge_;
};

/// A request that is being handled.
class HttpServer::Impl::Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Connection> connection,
           std::uint64_t number,
           HttpRequest request)
      : connection_(std::move(connection)),
        number_(number),
        request_(std::move(request)) {}
  ~Exchange() override { connection_->OnExchangeDestroyed(number_); }

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const HttpRequest& request() const override { return request_; }
  std::string TakeBody() override { return std::exchange(request_.body, {}); }

  std::string peer_address() const override {
    return connection_->peer_address();
  }

  void Respond(HttpResponse response) override {
    connection_->Respond(number_, std::move(response), kWholeBody);
  }

  void RespondTruncated(HttpResponse response, std::size_t size) override {
    connection_->Respond(number_, std::move(response), size);
  }

  void OnAbandoned(std::function<void()> callback) override {
    connection_->OnAbandoned(number_, std::move(callback));
  }

 private:
  const std::shared_ptr<Connection> connection_;
  const std::uint64_t number_;
  HttpRequest request_;
};

void HttpServer::Impl::Connection::DispatchRequest() {
  phase_ = Phase::kHandling;
  server_->bodies_.Remove(this);
  deadline_ = kNoDeadline;
  ++exchange_number_;
  close_after_answer_ = !parser_->keep_alive();
  is_http_1_0_ = parser_->version() == 10;
  HttpRequest request = std::move(parser_->message());
  is_head_request_ = request.method == "HEAD";
  UpdateCharge();
  server_->handler_(std::make_shared<Exchange>(
      shared_from_this(), exchange_number_, std::move(request)));
}

void HttpServer::Impl::Listen(const state::Endpoint& endpoint) {
  OpenAcceptor(acceptor_, endpoint);
  port_ = acceptor_.local_endpoint().port();
  Accept();
}

void HttpServer::Impl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const error_code& error, tcp::socket socket) {
        self->OnAccept(error, std::move(socket));
      });
}

void HttpServer::Impl::OnAccept(const error_code& error, tcp::socket socket) {
  if (!acceptor_.is_open())
    return;
  if (error) {
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait(
        [self = shared_from_this()](const error_code& wait_error) {
          if (!wait_error && self->acceptor_.is_open())
            self->Accept();
        });
    return;
  }
  const bool is_over_limit = connection_count() >= options_.max_connections;
  if (!is_over_limit || refused_count_ < kMaxRefusedConnections) {
    const auto connection =
        std::make_shared<Connection>(shared_from_this(), std::move(socket));
    connections_.insert(connection);
    refused_count_ += is_over_limit ? 1 : 0;
    if (is_over_limit)
      connection->Refuse();
    else
      connection->Start();
    ScheduleSweep();
  }
  Accept();
}

state::Duration HttpServer::Impl::SweepInterval() const {
  // A timeout is detected late by at most an eighth of the shortest timeout,
  // unless the smallest interval is longer.
  const state::Duration shortest =
      std::min({options_.receive_timeout, options_.send_timeout,
                options_.idle_timeout, kLingerTimeout});
  return std::clamp(shortest / 8, kMinSweepInterval, kMaxSweepInterval);
}

void HttpServer::Impl::ScheduleSweep() {
  if (sweep_scheduled_ || connections_.empty())
    return;
  sweep_scheduled_ = true;
  sweep_timer_.expires_after(SweepInterval());
  sweep_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    self->sweep_scheduled_ = false;
    if (!error)
      self->Sweep();
  });
}

void HttpServer::Impl::Sweep() {
  const auto now = steady_clock::now();
  const std::vector<std::shared_ptr<Connection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections)
    connection->CheckDeadline(now);
  if (const auto reader = reader_.lock())
    reader->CheckTurn(now);
  CloseSurplusIdleConnections();
  ScheduleSweep();
}

bool HttpServer::Impl::MayReadOn(
    const std::shared_ptr<Connection>& connection) {
  const auto reader = reader_.lock();
  if (reader && reader->has_turn())
    return reader == connection;
  reader_ = connection;
  connection->StartTurn();
  return true;
}

void HttpServer::Impl::ChooseReader() {
  std::shared_ptr<Connection> oldest;
  for (const auto& connection : connections_) {
    if (connection->is_paused() &&
        (!oldest || connection->deadline() < oldest->deadline()))
      oldest = connection;
  }
  if (oldest)
    oldest->ResumeReading();
}

void HttpServer::Impl::LimitUnsentBytes() {
  while (unsent_bytes_ > options_.max_unsent_bytes) {
    // The deadline of an answer is the time of its last progress plus a
    // constant.
    Connection* slowest = nullptr;
    for (const auto& connection : connections_) {
      const bool is_slower =
          connection->unsent_bytes() > 0 &&
          (!slowest || connection->deadline() < slowest->deadline());
      if (is_slower)
        slowest = connection.get();
    }
    slowest->Reset();
  }
}

void HttpServer::Impl::CloseSurplusIdleConnections() {
  const std::size_t target_count =
      options_.max_connections / kFreeShareDivisor * (kFreeShareDivisor - 1);
  if (connection_count() <= target_count)
    return;
  std::vector<std::shared_ptr<Connection>> idle;
  for (const auto& connection : connections_) {
    if (connection->idle())
      idle.push_back(connection);
  }
  std::sort(idle.begin(), idle.end(), [](const auto& left, const auto& right) {
    return left->deadline() < right->deadline();
  });
  for (const auto& connection : idle) {
    if (connection_count() <= target_count)
      return;
    connection->CloseIfIdle();
  }
}

std::size_t HttpServer::Impl::unfinished_answers() const {
  return static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& connection) { return connection->is_answering(); }));
}

void HttpServer::Impl::StopAccepting() {
  stopping_ = true;
  error_code error;
  acceptor_.close(error);
  accept_timer_.cancel();
  const std::vector<std::shared_ptr<Connection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections)
    connection->CloseIfIdle();
}

void HttpServer::Impl::Close() {
  StopAccepting();
  const std::vector<std::shared_ptr<Connection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections)
    connection->Close();
  sweep_timer_.cancel();
  handler_ = nullptr;
}

HttpServer::HttpServer(boost::asio::io_context& context,
                       const state::Endpoint& endpoint,
                       const HttpServerOptions& options,
                       Handler handler)
    : impl_(std::make_shared<Impl>(context, options, std::move(handler))) {
  try {
    impl_->Listen(endpoint);
  } catch (const boost::system::system_error& error) {
    throw std::system_error(error.code(), error.what());
  }
}

HttpServer::~HttpServer() {
  impl_->Close();
}

std::uint16_t HttpServer::port() const {
  return impl_->port();
}

void HttpServer::StartDraining() {
  impl_->StartDraining();
}

void HttpServer::StopAccepting() {
  impl_->StopAccepting();
}

std::size_t HttpServer::connection_count() const {
  return impl_->connection_count();
}

std::size_t HttpServer::unfinished_answers() const {
  return impl_->unfinished_answers();
}

}  // namespace sesamespread::transport
