/// \file
/// HTTP/1.1 client on one io_context with a pool of connections per endpoint.
#ifndef SESAMESPREAD_TRANSPORT_HTTP_CLIENT_H_
#define SESAMESPREAD_TRANSPORT_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"
#include "sesamespread/transport/http_message.h"

namespace sesamespread::transport {

/// Bounds of an HttpClient.
struct HttpClientOptions {
  /// Connections to one endpoint; further requests wait for one.
  std::size_t max_connections_per_endpoint = 160;
  std::size_t max_header_bytes = 32 << 10;
  std::uint64_t max_body_bytes = 16 << 20;
  state::Duration connect_timeout = std::chrono::seconds(1);
  /// Idle connections are closed after this long.
  state::Duration idle_timeout = std::chrono::seconds(30);
  /// Field by which the other end repeats a request's id in its answer; empty
  /// if it does not. An answer with another id is late or extra; it is dropped
  /// and the connection closed after the call.
  std::string request_id_field;
  /// Accepts an answer without length once the other end closes the connection
  /// in an orderly way. Without this such an answer counts as cut short.
  bool accept_close_delimited = false;
};

/// How a request ended.
enum class HttpOutcomeKind : std::uint8_t {
  /// `response` is whole.
  kAnswered,
  /// No connection was opened; nothing was sent.
  kConnectFailed,
  /// The deadline passed.
  kTimedOut,
  /// The connection ended before the answer was whole.
  kTruncated,
  /// The answer exceeds a bound.
  kTooLarge,
  /// The answer is not valid HTTP.
  kMalformed,
  kCancelled,
};

/// The end of a request.
struct HttpOutcome {
  HttpOutcomeKind kind = HttpOutcomeKind::kAnswered;
  /// False only if no byte of the request was handed to the network.
  bool request_sent = false;
  /// True if the request was written to a connection that had served others.
  bool reused_connection = false;
  HttpResponse response;
};

/// Sends requests; all calls and callbacks are on the io_context's thread.
class HttpClient {
 public:
  using Handle = std::uint64_t;
  using Callback = std::function<void(HttpOutcome)>;

  HttpClient(boost::asio::io_context& context,
             const HttpClientOptions& options);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends \p request; \p callback runs exactly once, never inside Send or
  /// Cancel, unless the client is destroyed first. A
  /// request on a reused connection that the other end had already closed is
  /// sent again on a new one only if no byte of it can have been read:
  /// it never is if any byte was written. Stale idle connections are detected
  /// before the write instead. Connections that have been idle for longer than
  /// \p max_idle aren't used.
  Handle Send(const state::Endpoint& endpoint,
              HttpRequest request,
              state::Instant deadline,
              Callback callback,
              state::Duration max_idle = state::Duration::max());

  /// Ends the request with kCancelled and closes its connection, which is how
  /// a backend server learns that the answer is no longer wanted.
  void Cancel(Handle handle);

  /// Requests that have not ended.
  std::size_t in_flight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_HTTP_CLIENT_H_
