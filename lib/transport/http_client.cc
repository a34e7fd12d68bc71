/// \file
/// HTTP/1.1 client. It waits for input on each connection, including idle ones,
/// so that a connection that the other end has closed is removed at once. All
/// deadlines share one timer.
#include "sesamespread/transport/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "body_budget.h"
#include "http_wire.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::transport {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using state::Instant;

constexpr std::size_t kHeaderReadBytes = 8 << 10;
constexpr std::size_t kBodyReadBytes = 64 << 10;

/// Number of interim (1xx) answers accepted before the final one.
constexpr int kMaxInterimAnswers = 8;

/// Number of failures answered on one connection after which it is closed,
/// since it remembers the request of each.
constexpr std::size_t kMaxFailuresPerConnection = 64;

constexpr std::uint16_t kFirstFailureStatus = 400;

/// Longest time that the deadline timer is set for. It is set again for later
/// deadlines.
constexpr std::chrono::hours kMaxTimerWait{24};

constexpr state::Duration kMinIdleSweepInterval = std::chrono::milliseconds(5);

bool NeedsContentLength(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

std::string SerializeHeader(const HttpRequest& request,
                            const state::Endpoint& endpoint) {
  constexpr std::size_t kTypicalHeaderBytes = 512;
  std::string header;
  header.reserve(kTypicalHeaderBytes);
  header.append(request.method).append(" ").append(request.target);
  header.append(" HTTP/1.1\r\n");
  if (FieldOf(request.headers, "Host").empty()) {
    const bool is_ipv6 = endpoint.address.find(':') != std::string::npos;
    const std::string address =
        is_ipv6 ? "[" + endpoint.address + "]" : endpoint.address;
    wire::AppendField(&header, "Host",
                      address + ":" + std::to_string(endpoint.port));
  }
  wire::AppendFields(&header, request.headers);
  if (NeedsContentLength(request)) {
    wire::AppendField(&header, "Content-Length",
                      std::to_string(request.body.size()));
  }
  header += "\r\n";
  return header;
}

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context, const HttpClientOptions& options)
      : context_(context),
        options_(options),
        bodies_(options.max_received_bytes),
        deadline_timer_(context),
        idle_timer_(context) {}

  Handle Send(const state::Endpoint& endpoint,
              HttpRequest request,
              Instant deadline,
              Callback callback,
              state::Duration max_idle);
  void Cancel(Handle handle);
  void SetBounds(std::size_t max_connections_per_endpoint,
                 std::uint64_t max_body_bytes);
  void Close();

  std::size_t in_flight() const { return calls_.size(); }

  /// The id that the server echoes; empty if it echoes none.
  std::string_view IdOf(const HttpRequest& request) const {
    return options_.request_id_field.empty()
               ? std::string_view()
               : FieldOf(request.headers, options_.request_id_field);
  }

 private:
  class Connection;
  struct Call;
  struct Pool;
  using ConnectionPtr = std::shared_ptr<Connection>;

  Pool* GetOrCreatePool(const state::Endpoint& endpoint);
  void AssignConnection(Call* call);
  void OpenConnection(Call* call);
  ConnectionPtr AcquireIdleConnection(const Call& call);
  void DiscardConnection(const ConnectionPtr& connection);
  /// Closes the connections that have been idle since before \p time. Called
  /// when a request that was sent at \p time on a reused connection has timed
  /// out: connections without an answer since then may be broken as well.
  void DiscardIdleBefore(Pool* pool, Instant time);
  void ReleaseConnection(const ConnectionPtr& connection, bool reusable);
  void AssignNextWaitingCall(Pool* pool);
  /// Removes and destroys the call. \returns its callback.
  Callback RemoveCall(Call* call);
  /// Removes a call without complete answer and closes its connection.
  /// \returns its callback.
  Callback AbortCall(Call* call);
  void PostOutcome(Callback callback, HttpOutcomeKind kind, bool request_sent);
  void SetTimeout(Call* call, Instant timeout_at);
  void ArmDeadlineTimer();
  void OnDeadlineTimer();
  void ArmIdleTimer();
  void OnIdleTimer();

  boost::asio::io_context& context_;
  HttpClientOptions options_;
  BodyBudget<Connection> bodies_;
  /// Pools are never removed; connections and calls point to them.
  std::map<state::Endpoint, Pool> pools_;
  std::unordered_map<Handle, std::unique_ptr<Call>> calls_;
  /// `timeout_at` of each call, earliest first.
  std::set<std::pair<Instant, Handle>> timeouts_;
  boost::asio::steady_timer deadline_timer_;
  /// When deadline_timer_ expires; max() if it is not running.
  Instant timer_expiry_ = Instant::max();
  boost::asio::steady_timer idle_timer_;
  bool idle_timer_running_ = false;
  Handle next_handle_ = 1;
};

/// A request that has not ended.
struct HttpClient::Impl::Call {
  Handle handle = 0;
  Pool* pool = nullptr;
  HttpRequest request;
  Instant deadline;
  /// `deadline`, or the timeout of the connection attempt if that is earlier.
  Instant timeout_at;
  Callback callback;
  state::Duration max_idle = state::Duration::max();
  bool request_sent = false;
  bool reused_connection = false;
  /// When the request was written to its connection.
  Instant sent_at;
  /// Null while the call waits for a connection.
  ConnectionPtr connection;
  /// Position in pool->waiting; valid if `waiting`.
  std::list<Call*>::iterator waiting_position;
  bool waiting = false;
};

/// The connections to one endpoint.
struct HttpClient::Impl::Pool {
  state::Endpoint endpoint;
  /// Empty if the endpoint's address is not valid.
  std::optional<tcp::endpoint> address;
  /// Connections that are open or being opened.
  std::set<ConnectionPtr> connections;
  /// Idle connections, the last used at the back. The last used is reused
  /// first, so that surplus connections reach the idle timeout and are closed.
  std::deque<ConnectionPtr> idle;
  /// Calls that wait for a connection, in order of arrival.
  std::list<Call*> waiting;
};

/// One connection, which carries one call at a time.
class HttpClient::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> client, Pool* pool)
      : client_(std::move(client)),
        pool_(pool),
        socket_(client_->context_),
        charge_(client_->options_.memory, [this] { GiveUp(); }) {}

  Pool* pool() const { return pool_; }
  bool connecting() const { return connecting_; }
  Instant idle_since() const { return idle_since_; }
  /// Idle time after which the connection is not reused, because the other end
  /// may close it.
  state::Duration idle_limit() const { return idle_limit_; }

  void Connect(Call* call) {
    call_ = call;
    connecting_ = true;
    socket_.async_connect(*pool_->address,
                          [self = shared_from_this()](const error_code& error) {
                            self->OnConnected(error);
                          });
  }

  /// True if a failure of the request \p id was answered on this connection. A
  /// server may write that answer once more; it would be taken for the answer
  /// to a repeated request.
  bool HasFailureOf(std::string_view id) const {
    return std::find(failed_ids_.begin(), failed_ids_.end(),
                     state::HashOf(id)) != failed_ids_.end();
  }

  /// True if the other end has neither closed the connection nor sent bytes
  /// while no request was outstanding.
  bool IsUsable() {
    char byte = 0;
    const ssize_t size =
        recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  /// Starts to write the request of \p call.
  /// \returns false if no byte of it could be written; \p call is unchanged
  /// then.
  bool SendRequest(Call* call) {
    header_ = SerializeHeader(call->request, pool_->endpoint);
    body_ = std::move(call->request.body);
    written_ = 0;
    write_error_ = {};
    error_code error;
    const std::size_t size = socket_.write_some(UnsentBuffers(), error);
    if (error && error != boost::asio::error::would_block) {
      call->request.body = std::move(body_);
      return false;
    }
    call_ = call;
    call->request_sent = true;
    call->sent_at = Now();
    interim_answers_ = 0;
    ResetParser();
    written_ = size;
    AwaitWritable();
    return true;
  }

  /// Waits until the socket is readable, without reading. A byte that arrives
  /// while the connection is idle must never become part of the answer to the
  /// next request.
  void AwaitReadable() {
    if (awaiting_readable_ || closed_)
      return;
    awaiting_readable_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         self->awaiting_readable_ = false;
                         if (!self->closed_)
                           self->OnReadable(error);
                       });
  }

  /// Ends the association with the call; the connection is idle afterwards.
  void DetachFromCall() {
    call_ = nullptr;
    client_->bodies_.Remove(this);
    charge_.Set(0);
    buffer_.consume(buffer_.size());
    parsed_ = 0;
    buffer_.shrink_to_fit();
    idle_since_ = Now();
    parser_.reset();
    body_ = std::string();
  }

  void Close() {
    closed_ = true;
    call_ = nullptr;
    client_->bodies_.Remove(this);
    charge_.Set(0);
    error_code error;
    socket_.close(error);
  }

 private:
  void OnConnected(const error_code& error) {
    if (closed_)
      return;
    connecting_ = false;
    error_code option_error;
    socket_.set_option(tcp::no_delay(true), option_error);
    socket_.non_blocking(true, option_error);
    if (error || !SendRequest(call_))
      Fail(HttpOutcomeKind::kConnectFailed);
    else
      AwaitReadable();
  }

  void ResetParser() {
    parser_.emplace(client_->options_.max_header_bytes,
                    client_->options_.max_body_bytes);
    parser_->skip(call_->request.method == "HEAD");
  }

  std::array<boost::asio::const_buffer, 2> UnsentBuffers() const {
    const std::size_t in_header = std::min(written_, header_.size());
    const std::size_t in_body = written_ - in_header;
    return {
        boost::asio::buffer(header_.data() + in_header,
                            header_.size() - in_header),
        boost::asio::buffer(body_.data() + in_body, body_.size() - in_body)};
  }

  bool is_written() const { return written_ == header_.size() + body_.size(); }

  /// Writes the rest of the request as the socket takes it. Each write is made
  /// here and not by the reactor, so that its error is known before the next
  /// read.
  void AwaitWritable() {
    if (is_written())
      return;
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](const error_code& error) {
                         if (!error && !self->closed_ && self->call_)
                           self->WriteMore();
                       });
  }

  void WriteMore() {
    error_code error;
    written_ += socket_.write_some(UnsentBuffers(), error);
    if (!error || error == boost::asio::error::would_block) {
      AwaitWritable();
      return;
    }
    // The call ends with a later read, because the other end may have sent an
    // answer before it closed the connection.
    write_error_ = error;
  }

  /// Whether the other end has closed the connection in an orderly way, given
  /// that a read has returned the end of the stream. The kernel reports a reset
  /// once: if a write has met it, reads return the end of the stream. A write
  /// error other than EPIPE means that no FIN came before the reset.
  bool HasOrderlyEnd() const {
    return !write_error_ || write_error_ == boost::asio::error::broken_pipe;
  }

  void OnReadable(error_code error) {
    if (!call_) {
      client_->ReleaseConnection(shared_from_this(), false);
      return;
    }
    buffer_.consume(parsed_);
    parsed_ = 0;
    const bool reading_body = parser_->is_header_done();
    std::size_t size = 0;
    if (!error) {
      size = socket_.read_some(
          buffer_.prepare(reading_body ? kBodyReadBytes : kHeaderReadBytes),
          error);
    }
    if (error == boost::asio::error::would_block) {
      AwaitReadable();
      return;
    }
    if (error) {
      OnReadError(error);
      return;
    }
    buffer_.commit(size);
    Parse();
  }

  void OnReadError(const error_code& error) {
    const bool is_complete = error == boost::asio::error::eof &&
                             client_->options_.accept_close_delimited &&
                             HasOrderlyEnd() && parser_->FinishAtEof();
    if (is_complete && AnswerMatchesRequest())
      Complete();
    else
      Fail(HttpOutcomeKind::kTruncated,
           (HasOrderlyEnd() ? error : write_error_).message());
  }

  /// False if the parsed answer carries the id of another request.
  bool AnswerMatchesRequest() {
    const std::string& field = client_->options_.request_id_field;
    if (field.empty())
      return true;
    const std::string_view expected = client_->IdOf(call_->request);
    const std::string_view id = FieldOf(parser_->message().headers, field);
    return expected.empty() || id.empty() || id == expected;
  }

  /// True if the server echoes ids and the parsed answer has none. On a reused
  /// connection it may belong to an earlier request, and the answer to the
  /// current one may follow.
  bool LacksId() {
    const std::string& field = client_->options_.request_id_field;
    return !field.empty() && call_->reused_connection &&
           !client_->IdOf(call_->request).empty() &&
           FieldOf(parser_->message().headers, field).empty();
  }

  wire::ParseStatus Feed() {
    const auto data = buffer_.data();
    const std::string_view bytes(static_cast<const char*>(data.data()),
                                 data.size());
    std::size_t consumed = 0;
    const wire::ParseStatus status =
        parser_->Feed(bytes.substr(parsed_), &consumed);
    parsed_ += consumed;
    return status;
  }

  void Parse() {
    wire::ParseStatus status = Feed();
    while (status == wire::ParseStatus::kDone &&
           (parser_->message().status < 200 || !AnswerMatchesRequest())) {
      received_unmatched_answer_ =
          received_unmatched_answer_ || parser_->message().status >= 200;
      const bool unexpected = parser_->message().status == 101 ||
                              ++interim_answers_ > kMaxInterimAnswers;
      if (unexpected) {
        Fail(HttpOutcomeKind::kMalformed, "too many interim answers");
        return;
      }
      ResetParser();
      status = Feed();
    }
    switch (status) {
      case wire::ParseStatus::kDone:
        Complete();
        return;
      case wire::ParseStatus::kNeedMore:
        // If the end of the connection ends the answer, a complete answer
        // cannot be distinguished from a truncated one.
        if (!client_->options_.accept_close_delimited &&
            parser_->is_header_done() && parser_->need_eof())
          Fail(HttpOutcomeKind::kTruncated);
        else
          LimitBodies();
        return;
      case wire::ParseStatus::kMalformed:
        Fail(HttpOutcomeKind::kMalformed, parser_->detail());
        return;
      case wire::ParseStatus::kHeaderTooLarge:
        Fail(HttpOutcomeKind::kTooLarge,
             parser_->is_header_done()
                 ? "a chunk header or the trailers exceed the bound of a head"
                 : "the head exceeds its bound");
        return;
      case wire::ParseStatus::kBodyTooLarge:
        Fail(HttpOutcomeKind::kTooLarge, "the body exceeds its bound");
        return;
    }
  }

  /// Continues to receive, unless the bodies of all connections together have
  /// become too large.
  void LimitBodies() {
    Connection* const largest =
        client_->bodies_.Update(this, parser_->message().body.size());
    charge_.Set(buffer_.capacity() + parser_->held_bytes(), true,
                std::chrono::steady_clock::now());
    AwaitReadable();
    if (largest)
      largest->Fail(HttpOutcomeKind::kTooLarge,
                    "it is the largest of the bodies that exceed their bound");
    if (client_->options_.memory)
      client_->options_.memory->Relieve();
  }

  /// Ends the call, to free the memory of its answer.
  void GiveUp() {
    // The account may be relieved while a callback of another call runs.
    boost::asio::post(socket_.get_executor(), [self = shared_from_this(),
                                               handle = call_->handle] {
      if (self->call_ && self->call_->handle == handle)
        self->Fail(HttpOutcomeKind::kTooLarge, "the node holds too many bytes");
    });
  }

  void Complete() {
    if (parser_->message().status >= kFirstFailureStatus)
      failed_ids_.push_back(state::HashOf(client_->IdOf(call_->request)));
    const bool reusable = parser_->keep_alive() && is_written() &&
                          !received_unmatched_answer_ && !LacksId() &&
                          parsed_ == buffer_.size() &&
                          failed_ids_.size() < kMaxFailuresPerConnection;
    idle_limit_ = wire::KeepAliveIdleLimit(parser_->message().headers);
    HttpOutcome outcome;
    outcome.request_sent = true;
    outcome.reused_connection = call_->reused_connection;
    outcome.response = std::move(parser_->message());
    const Callback callback = client_->RemoveCall(call_);
    DetachFromCall();
    client_->ReleaseConnection(shared_from_this(), reusable);
    AwaitReadable();
    callback(std::move(outcome));
  }

  void Fail(HttpOutcomeKind kind, std::string detail = {}) {
    HttpOutcome outcome;
    outcome.kind = kind;
    outcome.detail = std::move(detail);
    outcome.request_sent = call_->request_sent;
    outcome.reused_connection = call_->reused_connection;
    const Callback callback = client_->AbortCall(call_);
    callback(std::move(outcome));
  }

  const std::shared_ptr<Impl> client_;
  Pool* const pool_;
  tcp::socket socket_;
  /// Null while the connection is idle or closed.
  Call* call_ = nullptr;
  bool connecting_ = false;
  bool closed_ = false;
  Instant idle_since_;
  state::Duration idle_limit_ = state::Duration::max();
  /// Set once an answer to another request was received. The connection is not
  /// reused then.
  bool received_unmatched_answer_ = false;
  /// Hashes of the ids of requests that were answered with a failure.
  std::vector<std::uint64_t> failed_ids_;
  std::optional<wire::ResponseParser> parser_;
  int interim_answers_ = 0;
  /// Bytes that were read. The first `parsed_` bytes are removed before the
  /// next read.
  boost::beast::flat_buffer buffer_;
  std::size_t parsed_ = 0;
  /// True while the wait of AwaitReadable() is outstanding.
  bool awaiting_readable_ = false;
  std::string header_;
  std::string body_;
  std::size_t written_ = 0;
  /// The first error of a write of the request; none may follow.
  error_code write_error_;
  /// The answer that is being received.
  MemoryAccount::Charge charge_;
};

HttpClient::Handle HttpClient::Impl::Send(const state::Endpoint& endpoint,
                                          HttpRequest request,
                                          Instant deadline,
                                          Callback callback,
                                          state::Duration max_idle) {
  const Handle handle = next_handle_++;
  Pool* const pool = GetOrCreatePool(endpoint);
  if (deadline <= Now()) {
    PostOutcome(std::move(callback), HttpOutcomeKind::kTimedOut, false);
    return handle;
  }
  if (!pool->address || !wire::IsRequestLineWord(request.method) ||
      !wire::IsRequestLineWord(request.target)) {
    PostOutcome(std::move(callback), HttpOutcomeKind::kConnectFailed, false);
    return handle;
  }
  auto call = std::make_unique<Call>();
  call->handle = handle;
  call->pool = pool;
  call->request = std::move(request);
  call->deadline = deadline;
  call->timeout_at = deadline;
  call->callback = std::move(callback);
  call->max_idle = max_idle;
  timeouts_.insert({call->timeout_at, handle});
  Call* const added = call.get();
  calls_.emplace(handle, std::move(call));
  AssignConnection(added);
  ArmDeadlineTimer();
  return handle;
}

HttpClient::Impl::Pool* HttpClient::Impl::GetOrCreatePool(
    const state::Endpoint& endpoint) {
  const auto [entry, added] = pools_.try_emplace(endpoint);
  Pool* const pool = &entry->second;
  if (added) {
    pool->endpoint = endpoint;
    error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (!error)
      pool->address = tcp::endpoint(address, endpoint.port);
  }
  return pool;
}

void HttpClient::Impl::AssignConnection(Call* call) {
  Pool* const pool = call->pool;
  while (const ConnectionPtr connection = AcquireIdleConnection(*call)) {
    if (connection->SendRequest(call)) {
      call->reused_connection = true;
      call->connection = connection;
      return;
    }
    DiscardConnection(connection);
  }
  if (pool->connections.size() < options_.max_connections_per_endpoint) {
    OpenConnection(call);
    return;
  }
  call->waiting_position = pool->waiting.insert(pool->waiting.end(), call);
  call->waiting = true;
}

void HttpClient::Impl::OpenConnection(Call* call) {
  const auto connection =
      std::make_shared<Connection>(shared_from_this(), call->pool);
  call->pool->connections.insert(connection);
  call->connection = connection;
  SetTimeout(call, std::min(call->deadline, Now() + options_.connect_timeout));
  connection->Connect(call);
}

HttpClient::Impl::ConnectionPtr HttpClient::Impl::AcquireIdleConnection(
    const Call& call) {
  const Instant now = Now();
  std::deque<ConnectionPtr>& idle = call.pool->idle;
  const std::string_view id = IdOf(call.request);
  // The connection at the back has been idle for the shortest time.
  for (std::size_t i = idle.size(); i-- > 0;) {
    ConnectionPtr connection = idle[i];
    if (now - connection->idle_since() > call.max_idle)
      return nullptr;
    if (!id.empty() && connection->HasFailureOf(id))
      continue;
    if (now - connection->idle_since() >= connection->idle_limit() ||
        !connection->IsUsable()) {
      DiscardConnection(connection);
      continue;
    }
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    return connection;
  }
  return nullptr;
}

void HttpClient::Impl::DiscardConnection(const ConnectionPtr& connection) {
  connection->Close();
  Pool* const pool = connection->pool();
  std::erase(pool->idle, connection);
  pool->connections.erase(connection);
}

void HttpClient::Impl::DiscardIdleBefore(Pool* pool, Instant time) {
  const std::deque<ConnectionPtr> idle = pool->idle;
  for (const ConnectionPtr& connection : idle) {
    if (connection->idle_since() < time)
      DiscardConnection(connection);
  }
}

void HttpClient::Impl::ReleaseConnection(const ConnectionPtr& connection,
                                         bool reusable) {
  Pool* const pool = connection->pool();
  const bool is_over_bound =
      pool->connections.size() > options_.max_connections_per_endpoint;
  if (reusable && !is_over_bound) {
    pool->idle.push_back(connection);
    ArmIdleTimer();
  } else {
    DiscardConnection(connection);
  }
  AssignNextWaitingCall(pool);
}

void HttpClient::Impl::AssignNextWaitingCall(Pool* pool) {
  if (pool->waiting.empty())
    return;
  Call* const call = pool->waiting.front();
  pool->waiting.pop_front();
  call->waiting = false;
  AssignConnection(call);
  ArmDeadlineTimer();
}

void HttpClient::Impl::SetBounds(std::size_t max_connections_per_endpoint,
                                 std::uint64_t max_body_bytes) {
  options_.max_connections_per_endpoint = max_connections_per_endpoint;
  options_.max_body_bytes = max_body_bytes;
  for (auto& [endpoint, pool] : pools_) {
    while (pool.connections.size() > max_connections_per_endpoint &&
           !pool.idle.empty())
      DiscardConnection(ConnectionPtr(pool.idle.front()));
    while (!pool.waiting.empty() &&
           pool.connections.size() < max_connections_per_endpoint)
      AssignNextWaitingCall(&pool);
  }
}

HttpClient::Callback HttpClient::Impl::RemoveCall(Call* call) {
  if (call->waiting)
    call->pool->waiting.erase(call->waiting_position);
  timeouts_.erase({call->timeout_at, call->handle});
  Callback callback = std::move(call->callback);
  calls_.erase(call->handle);
  return callback;
}

HttpClient::Callback HttpClient::Impl::AbortCall(Call* call) {
  const ConnectionPtr connection = call->connection;
  Callback callback = RemoveCall(call);
  if (connection)
    ReleaseConnection(connection, false);
  return callback;
}

void HttpClient::Impl::Cancel(Handle handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end())
    return;
  const bool request_sent = found->second->request_sent;
  PostOutcome(AbortCall(found->second.get()), HttpOutcomeKind::kCancelled,
              request_sent);
}

void HttpClient::Impl::PostOutcome(Callback callback,
                                   HttpOutcomeKind kind,
                                   bool request_sent) {
  boost::asio::post(
      context_, [weak = weak_from_this(), callback = std::move(callback), kind,
                 request_sent] {
        if (weak.expired())
          return;
        HttpOutcome outcome;
        outcome.kind = kind;
        outcome.request_sent = request_sent;
        callback(std::move(outcome));
      });
}

void HttpClient::Impl::SetTimeout(Call* call, Instant timeout_at) {
  timeouts_.erase({call->timeout_at, call->handle});
  call->timeout_at = timeout_at;
  timeouts_.insert({timeout_at, call->handle});
}

void HttpClient::Impl::ArmDeadlineTimer() {
  if (timeouts_.empty() || timeouts_.begin()->first >= timer_expiry_)
    return;
  timer_expiry_ = std::min(timeouts_.begin()->first, Now() + kMaxTimerWait);
  deadline_timer_.expires_after(timer_expiry_ - Now());
  deadline_timer_.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (!error)
          self->OnDeadlineTimer();
      });
}

void HttpClient::Impl::OnDeadlineTimer() {
  timer_expiry_ = Instant::max();
  const Instant now = Now();
  while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
    Call* const call = calls_.at(timeouts_.begin()->second).get();
    const bool timed_out = call->deadline <= now;
    if (!timed_out && !call->connection->connecting()) {
      SetTimeout(call, call->deadline);
      continue;
    }
    HttpOutcome outcome;
    outcome.kind = timed_out ? HttpOutcomeKind::kTimedOut
                             : HttpOutcomeKind::kConnectFailed;
    outcome.request_sent = call->request_sent;
    if (timed_out && call->reused_connection)
      DiscardIdleBefore(call->pool, call->sent_at);
    const Callback callback = AbortCall(call);
    callback(std::move(outcome));
  }
  ArmDeadlineTimer();
}

void HttpClient::Impl::ArmIdleTimer() {
  if (idle_timer_running_)
    return;
  idle_timer_running_ = true;
  idle_timer_.expires_after(
      std::max(options_.idle_timeout / 4, kMinIdleSweepInterval));
  idle_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    self->idle_timer_running_ = false;
    if (!error)
      self->OnIdleTimer();
  });
}

void HttpClient::Impl::OnIdleTimer() {
  const Instant oldest = Now() - options_.idle_timeout;
  bool any_idle = false;
  for (auto& [endpoint, pool] : pools_) {
    while (!pool.idle.empty() && pool.idle.front()->idle_since() <= oldest)
      DiscardConnection(ConnectionPtr(pool.idle.front()));
    any_idle = any_idle || !pool.idle.empty();
  }
  if (any_idle)
    ArmIdleTimer();
}

void HttpClient::Impl::Close() {
  for (auto& [endpoint, pool] : pools_) {
    for (const ConnectionPtr& connection : pool.connections)
      connection->Close();
    pool.idle.clear();
    pool.connections.clear();
    pool.waiting.clear();
  }
  timeouts_.clear();
  calls_.clear();
  deadline_timer_.cancel();
  idle_timer_.cancel();
}

HttpClient::HttpClient(boost::asio::io_context& context,
                       const HttpClientOptions& options)
    : impl_(std::make_shared<Impl>(context, options)) {}

HttpClient::~HttpClient() {
  impl_->Close();
}

HttpClient::Handle HttpClient::Send(const state::Endpoint& endpoint,
                                    HttpRequest request,
                                    state::Instant deadline,
                                    Callback callback,
                                    state::Duration max_idle) {
  return impl_->Send(endpoint, std::move(request), deadline,
                     std::move(callback), max_idle);
}

void HttpClient::Cancel(Handle handle) {
  impl_->Cancel(handle);
}

void HttpClient::SetBounds(std::size_t max_connections_per_endpoint,
                           std::uint64_t max_body_bytes) {
  impl_->SetBounds(max_connections_per_endpoint, max_body_bytes);
}

std::size_t HttpClient::in_flight() const {
  return impl_->in_flight();
}

}  // namespace sesamespread::transport
