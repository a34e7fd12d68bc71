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
#include "sesamespread/transport/memory_account.h"

namespace sesamespread::transport {

/// Limits and protocol options of an HttpClient.
struct HttpClientOptions {
  /// Largest number of connections to one endpoint. Further requests wait until
  /// one is free.
  std::size_t max_connections_per_endpoint = 160;
  std::size_t max_header_bytes = 32 << 10;
  std::uint64_t max_body_bytes = 16 << 20;
  /// Largest sum of the bodies of all answers that are being received. If it is
  /// exceeded, the call with the largest body ends with kTooLarge.
  std::size_t max_received_bytes = 64 << 20;
  /// Charged with the answers that are being received; may be null.
  MemoryAccount* memory = nullptr;
  state::Duration connect_timeout = std::chrono::seconds(1);
  /// Connections that have been idle for this long are closed.
  state::Duration idle_timeout = std::chrono::seconds(30);
  /// Header field in which the server echoes the id of the request; empty if
  /// the server does not echo it. An answer with another id belongs to an
  /// earlier request or is a duplicate. It is dropped, and the connection is
  /// closed after the request.
  std::string request_id_field;
  /// Accepts answers whose body has no declared length and ends with an orderly
  /// close of the connection. If false, such an answer ends as kTruncated.
  bool accept_close_delimited = false;
};

/// How a request ended.
enum class HttpOutcomeKind : std::uint8_t {
  /// `response` is complete.
  kAnswered,
  /// No connection could be opened, or the request or the address is not valid;
  /// nothing was sent.
  kConnectFailed,
  /// The deadline passed.
  kTimedOut,
  /// The connection ended before the answer was complete.
  kTruncated,
  /// The header or body of the answer exceeds its limit.
  kTooLarge,
  /// The answer is not valid HTTP.
  kMalformed,
  kCancelled,
};

/// Result of a request.
struct HttpOutcome {
  HttpOutcomeKind kind = HttpOutcomeKind::kAnswered;
  /// False only if no byte of the request was written to a socket.
  bool request_sent = false;
  /// True if the request was written to a connection that had carried an
  /// earlier request.
  bool reused_connection = false;
  /// What was wrong with the bytes that were received; empty if `kind` tells
  /// it.
  std::string detail;
  /// Meaningful only if `kind` is kAnswered.
  HttpResponse response;
};

/// Sends requests over pooled connections. All calls are made and all callbacks
/// run on the io_context's thread.
class HttpClient {
 public:
  using Handle = std::uint64_t;
  using Callback = std::function<void(HttpOutcome)>;

  HttpClient(boost::asio::io_context& context,
             const HttpClientOptions& options);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends \p request. \p callback runs exactly once, never inside Send or
  /// Cancel, unless the client is destroyed first. A connection is not used if
  /// it has been idle for longer than \p max_idle. Idle connections that the
  /// other end has closed are detected before the write; if the write still
  /// fails, the request moves to another connection only if no byte of it was
  /// written. It is never sent twice.
  Handle Send(const state::Endpoint& endpoint,
              HttpRequest request,
              state::Instant deadline,
              Callback callback,
              state::Duration max_idle = state::Duration::max());

  /// Ends the request with kCancelled and closes its connection, which notifies
  /// the backend server that the answer is no longer needed. Has no effect if
  /// the request has ended.
  void Cancel(Handle handle);

  /// Changes the bounds on the connections to one endpoint and on the bytes of
  /// a body. Connections over the bound end with their request.
  void SetBounds(std::size_t max_connections_per_endpoint,
                 std::uint64_t max_body_bytes);

  /// Number of requests that have not ended, including those that wait for a
  /// connection.
  std::size_t in_flight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_HTTP_CLIENT_H_
