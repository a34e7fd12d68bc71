/// \file
/// HTTP/1.1 client. It waits for input on each connection, also while that is
/// idle, so that a connection that the other end closed is removed at once.
/// All deadlines share one timer.
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

#include "http_wire.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::transport {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using state::Instant;

constexpr std::size_t kHeaderReadBytes = 8 << 10;
constexpr std::size_t kBodyReadBytes = 64 << 10;

/// Interim (1xx) answers accepted before the final one.
constexpr int kMaxInterimAnswers = 8;

/// Longest time that the timer is set for; deadlines beyond it are set again.
constexpr std::chrono::hours kMaxTimerWait{24};

constexpr state::Duration kMinIdleSweepInterval = std::chrono::milliseconds(5);

bool NeedsLength(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

std::string HeaderOf(const HttpRequest& request,
                     const state::Endpoint& endpoint) {
  constexpr std::size_t kUsualBytes = 512;
  std::string header;
  header.reserve(kUsualBytes);
  header.append(request.method).append(" ").append(request.target);
  header.append(" HTTP/1.1\r\n");
  if (FieldOf(request.headers, "Host").empty()) {
    const bool v6 = endpoint.address.find(':') != std::string::npos;
    const std::string address =
        v6 ? "[" + endpoint.address + "]" : endpoint.address;
    wire::AppendField(&header, "Host",
                      address + ":" + std::to_string(endpoint.port));
  }
  wire::AppendFields(&header, request.headers);
  if (NeedsLength(request)) {
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
        deadline_timer_(context),
        idle_timer_(context) {}

  Handle Send(const state::Endpoint& endpoint,
              HttpRequest request,
              Instant deadline,
              Callback callback,
              state::Duration max_idle);
  void Cancel(Handle handle);
  void Close();

  std::size_t in_flight() const { return calls_.size(); }

 private:
  class Connection;
  struct Call;
  struct Pool;
  using ConnectionPtr = std::shared_ptr<Connection>;

  Pool* PoolOf(const state::Endpoint& endpoint);
  void Assign(Call* call);
  void Open(Call* call);
  ConnectionPtr TakeIdle(Pool* pool, state::Duration max_idle);
  void Discard(const ConnectionPtr& connection);
  /// After a connection has gone silent: others that have answered nothing
  /// since \p time may be silent as well.
  void DiscardIdleBefore(Pool* pool, Instant time);
  void Release(const ConnectionPtr& connection, bool reusable);
  void ServeWaiting(Pool* pool);
  /// Removes the call; nothing of it is left but the returned callback.
  Callback Remove(Call* call);
  /// Ends a call that has no whole answer, with its connection.
  Callback Abort(Call* call);
  void Post(Callback callback, HttpOutcomeKind kind, bool request_sent);
  void SetWake(Call* call, Instant wake);
  void ArmDeadlineTimer();
  void OnDeadlineTimer();
  void ArmIdleTimer();
  void OnIdleTimer();

  boost::asio::io_context& context_;
  const HttpClientOptions options_;
  /// Pools are never removed; connections and calls point to them.
  std::map<state::Endpoint, Pool> pools_;
  std::unordered_map<Handle, std::unique_ptr<Call>> calls_;
  /// `wake` of each call, soonest first.
  std::set<std::pair<Instant, Handle>> wakes_;
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
  /// `deadline`, or the end of the connection attempt if that is sooner.
  Instant wake;
  Callback callback;
  state::Duration max_idle = state::Duration::max();
  bool request_sent = false;
  bool reused_connection = false;
  /// When the request was handed to its connection.
  Instant sent;
  /// Null while the call waits for a connection.
  ConnectionPtr connection;
  /// Position in pool->waiting; valid if `waiting`.
  std::list<Call*>::iterator position;
  bool waiting = false;
};

/// The connections to one endpoint.
struct HttpClient::Impl::Pool {
  state::Endpoint endpoint;
  /// Empty if the endpoint's address is not valid.
  std::optional<tcp::endpoint> address;
  /// Open or being opened.
  std::set<ConnectionPtr> connections;
  /// The last used is at the back and is used first, so that surplus
  /// connections grow old and are closed.
  std::deque<ConnectionPtr> idle;
  std::list<Call*> waiting;
};

/// One connection; serves one call at a time.
class HttpClient::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> client, Pool* pool)
      : client_(std::move(client)), pool_(pool), socket_(client_->context_) {}

  Pool* pool() const { return pool_; }
  bool connecting() const { return connecting_; }
  Instant idle_since() const { return idle_since_; }
  /// Idle time after which the other end may close the connection.
  state::Duration idle_limit() const { return idle_limit_; }

  void Connect(Call* call) {
    call_ = call;
    connecting_ = true;
    socket_.async_connect(*pool_->address,
                          [self = shared_from_this()](const error_code& error) {
                            self->OnConnected(error);
                          });
  }

  /// True if the other end has neither closed the connection nor sent bytes
  /// that no request asked for.
  bool IsUsable() {
    char byte = 0;
    const ssize_t size =
        recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  /// Sends the call's request.
  /// \returns false if no byte of it could be written; the request is intact.
  bool Start(Call* call) {
    header_ = HeaderOf(call->request, pool_->endpoint);
    body_ = std::move(call->request.body);
    written_ = 0;
    error_code error;
    const std::size_t size = socket_.write_some(Remaining(), error);
    if (error && error != boost::asio::error::would_block) {
      call->request.body = std::move(body_);
      return false;
    }
    call_ = call;
    call->request_sent = true;
    call->sent = Now();
    interim_answers_ = 0;
    ResetParser();
    OnWritten({}, size);
    return true;
  }

  /// Waits for bytes without taking them: a byte that arrives while the
  /// connection is idle must never become part of the next request's answer.
  void AwaitInput() {
    if (waiting_ || closed_)
      return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) {
                         self->waiting_ = false;
                         if (!self->closed_)
                           self->OnInput(error);
                       });
  }

  /// Takes the connection off its call.
  void Detach() {
    call_ = nullptr;
    idle_since_ = Now();
    parser_.reset();
    body_ = std::string();
  }

  void Close() {
    closed_ = true;
    call_ = nullptr;
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
    if (error || !Start(call_))
      Fail(HttpOutcomeKind::kConnectFailed);
    else
      AwaitInput();
  }

  void ResetParser() {
    parser_.emplace(client_->options_.max_header_bytes,
                    client_->options_.max_body_bytes);
    parser_->skip(call_->request.method == "HEAD");
  }

  std::array<boost::asio::const_buffer, 2> Remaining() const {
    const std::size_t in_header = std::min(written_, header_.size());
    const std::size_t in_body = written_ - in_header;
    return {
        boost::asio::buffer(header_.data() + in_header,
                            header_.size() - in_header),
        boost::asio::buffer(body_.data() + in_body, body_.size() - in_body)};
  }

  bool written() const { return written_ == header_.size() + body_.size(); }

  void OnWritten(const error_code& error, std::size_t size) {
    // After an error the read ends the call: the other end may have answered
    // before it closed the connection.
    if (closed_ || error)
      return;
    written_ += size;
    if (written())
      return;
    socket_.async_write_some(
        Remaining(), [self = shared_from_this()](const error_code& write_error,
                                                 std::size_t more) {
          self->OnWritten(write_error, more);
        });
  }

  void OnInput(error_code error) {
    if (!call_) {
      client_->Release(shared_from_this(), false);
      return;
    }
    buffer_.consume(parsed_);
    parsed_ = 0;
    const bool body = parser_->is_header_done();
    std::size_t size = 0;
    if (!error) {
      size = socket_.read_some(
          buffer_.prepare(body ? kBodyReadBytes : kHeaderReadBytes), error);
    }
    if (error == boost::asio::error::would_block) {
      AwaitInput();
      return;
    }
    if (error) {
      OnInputEnd(error);
      return;
    }
    buffer_.commit(size);
    Parse();
  }

  void OnInputEnd(const error_code& error) {
    const bool whole = error == boost::asio::error::eof &&
                       client_->options_.accept_close_delimited &&
                       parser_->EndsWithInput();
    if (whole && BelongsToCall())
      Complete();
    else
      Fail(HttpOutcomeKind::kTruncated);
  }

  /// False if the answer that was parsed names another request.
  bool BelongsToCall() {
    const std::string& field = client_->options_.request_id_field;
    if (field.empty())
      return true;
    const std::string_view expected = FieldOf(call_->request.headers, field);
    const std::string_view id = FieldOf(parser_->message().headers, field);
    return expected.empty() || id.empty() || id == expected;
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
           (parser_->message().status < 200 || !BelongsToCall())) {
      tainted_ = tainted_ || parser_->message().status >= 200;
      const bool unexpected = parser_->message().status == 101 ||
                              ++interim_answers_ > kMaxInterimAnswers;
      if (unexpected) {
        Fail(HttpOutcomeKind::kMalformed);
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
        // An answer that ends with the connection can't be told from one that
        // is cut short.
        if (!client_->options_.accept_close_delimited &&
            parser_->is_header_done() && parser_->need_eof())
          Fail(HttpOutcomeKind::kTruncated);
        else
          AwaitInput();
        return;
      case wire::ParseStatus::kMalformed:
        Fail(HttpOutcomeKind::kMalformed);
        return;
      case wire::ParseStatus::kHeaderTooLarge:
      case wire::ParseStatus::kBodyTooLarge:
        Fail(HttpOutcomeKind::kTooLarge);
        return;
    }
  }

  void Complete() {
    const bool reusable = parser_->keep_alive() && written() && !tainted_ &&
                          parsed_ == buffer_.size();
    idle_limit_ = wire::IdleLimitOf(parser_->message().headers);
    HttpOutcome outcome;
    outcome.request_sent = true;
    outcome.reused_connection = call_->reused_connection;
    outcome.response = std::move(parser_->message());
    const Callback callback = client_->Remove(call_);
    Detach();
    client_->Release(shared_from_this(), reusable);
    AwaitInput();
    callback(std::move(outcome));
  }

  void Fail(HttpOutcomeKind kind) {
    HttpOutcome outcome;
    outcome.kind = kind;
    outcome.request_sent = call_->request_sent;
    outcome.reused_connection = call_->reused_connection;
    const Callback callback = client_->Abort(call_);
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
  /// Set once bytes arrived that belong to no request of this connection.
  bool tainted_ = false;
  std::optional<wire::ResponseParser> parser_;
  int interim_answers_ = 0;
  /// Its first `parsed_` bytes are removed before the next read.
  boost::beast::flat_buffer buffer_;
  std::size_t parsed_ = 0;
  /// AwaitInput() is outstanding.
  bool waiting_ = false;
  std::string header_;
  std::string body_;
  std::size_t written_ = 0;
};

HttpClient::Handle HttpClient::Impl::Send(const state::Endpoint& endpoint,
                                          HttpRequest request,
                                          Instant deadline,
                                          Callback callback,
                                          state::Duration max_idle) {
  const Handle handle = next_handle_++;
  Pool* const pool = PoolOf(endpoint);
  if (deadline <= Now()) {
    Post(std::move(callback), HttpOutcomeKind::kTimedOut, false);
    return handle;
  }
  if (!pool->address || !wire::IsRequestLineWord(request.method) ||
      !wire::IsRequestLineWord(request.target)) {
    Post(std::move(callback), HttpOutcomeKind::kConnectFailed, false);
    return handle;
  }
  auto call = std::make_unique<Call>();
  call->handle = handle;
  call->pool = pool;
  call->request = std::move(request);
  call->deadline = deadline;
  call->wake = deadline;
  call->callback = std::move(callback);
  call->max_idle = max_idle;
  wakes_.insert({call->wake, handle});
  Call* const added = call.get();
  calls_.emplace(handle, std::move(call));
  Assign(added);
  ArmDeadlineTimer();
  return handle;
}

HttpClient::Impl::Pool* HttpClient::Impl::PoolOf(
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

void HttpClient::Impl::Assign(Call* call) {
  Pool* const pool = call->pool;
  while (const ConnectionPtr connection = TakeIdle(pool, call->max_idle)) {
    if (connection->Start(call)) {
      call->reused_connection = true;
      call->connection = connection;
      return;
    }
    Discard(connection);
  }
  if (pool->connections.size() < options_.max_connections_per_endpoint) {
    Open(call);
    return;
  }
  call->position = pool->waiting.insert(pool->waiting.end(), call);
  call->waiting = true;
}

void HttpClient::Impl::Open(Call* call) {
  const auto connection =
      std::make_shared<Connection>(shared_from_this(), call->pool);
  call->pool->connections.insert(connection);
  call->connection = connection;
  SetWake(call, std::min(call->deadline, Now() + options_.connect_timeout));
  connection->Connect(call);
}

HttpClient::Impl::ConnectionPtr HttpClient::Impl::TakeIdle(
    Pool* pool,
    state::Duration max_idle) {
  const Instant now = Now();
  // The last one has been idle for the shortest time.
  while (!pool->idle.empty() &&
         now - pool->idle.back()->idle_since() <= max_idle) {
    ConnectionPtr connection = std::move(pool->idle.back());
    pool->idle.pop_back();
    if (now - connection->idle_since() < connection->idle_limit() &&
        connection->IsUsable())
      return connection;
    Discard(connection);
  }
  return nullptr;
}

void HttpClient::Impl::Discard(const ConnectionPtr& connection) {
  connection->Close();
  Pool* const pool = connection->pool();
  std::erase(pool->idle, connection);
  pool->connections.erase(connection);
}

void HttpClient::Impl::DiscardIdleBefore(Pool* pool, Instant time) {
  const std::deque<ConnectionPtr> idle = pool->idle;
  for (const ConnectionPtr& connection : idle) {
    if (connection->idle_since() < time)
      Discard(connection);
  }
}

void HttpClient::Impl::Release(const ConnectionPtr& connection, bool reusable) {
  Pool* const pool = connection->pool();
  if (reusable) {
    pool->idle.push_back(connection);
    ArmIdleTimer();
  } else {
    Discard(connection);
  }
  ServeWaiting(pool);
}

void HttpClient::Impl::ServeWaiting(Pool* pool) {
  if (pool->waiting.empty())
    return;
  Call* const call = pool->waiting.front();
  pool->waiting.pop_front();
  call->waiting = false;
  Assign(call);
  ArmDeadlineTimer();
}

HttpClient::Callback HttpClient::Impl::Remove(Call* call) {
  if (call->waiting)
    call->pool->waiting.erase(call->position);
  wakes_.erase({call->wake, call->handle});
  Callback callback = std::move(call->callback);
  calls_.erase(call->handle);
  return callback;
}

HttpClient::Callback HttpClient::Impl::Abort(Call* call) {
  const ConnectionPtr connection = call->connection;
  Callback callback = Remove(call);
  if (connection)
    Release(connection, false);
  return callback;
}

void HttpClient::Impl::Cancel(Handle handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end())
    return;
  const bool request_sent = found->second->request_sent;
  Post(Abort(found->second.get()), HttpOutcomeKind::kCancelled, request_sent);
}

void HttpClient::Impl::Post(Callback callback,
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

void HttpClient::Impl::SetWake(Call* call, Instant wake) {
  wakes_.erase({call->wake, call->handle});
  call->wake = wake;
  wakes_.insert({wake, call->handle});
}

void HttpClient::Impl::ArmDeadlineTimer() {
  if (wakes_.empty() || wakes_.begin()->first >= timer_expiry_)
    return;
  timer_expiry_ = std::min(wakes_.begin()->first, Now() + kMaxTimerWait);
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
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    Call* const call = calls_.at(wakes_.begin()->second).get();
    const bool timed_out = call->deadline <= now;
    if (!timed_out && !call->connection->connecting()) {
      SetWake(call, call->deadline);
      continue;
    }
    HttpOutcome outcome;
    outcome.kind = timed_out ? HttpOutcomeKind::kTimedOut
                             : HttpOutcomeKind::kConnectFailed;
    outcome.request_sent = call->request_sent;
    if (timed_out && call->reused_connection)
      DiscardIdleBefore(call->pool, call->sent);
    const Callback callback = Abort(call);
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
      Discard(ConnectionPtr(pool.idle.front()));
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
  wakes_.clear();
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

std::size_t HttpClient::in_flight() const {
  return impl_->in_flight();
}

}  // namespace sesamespread::transport
