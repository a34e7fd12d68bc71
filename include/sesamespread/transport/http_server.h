/// \file
/// HTTP/1.1 server on one io_context. The connections, memory and time that
/// callers can occupy are limited.
#ifndef SESAMESPREAD_TRANSPORT_HTTP_SERVER_H_
#define SESAMESPREAD_TRANSPORT_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "sesamespread/state/node_record.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"
#include "sesamespread/transport/http_message.h"
#include "sesamespread/transport/memory_account.h"

namespace sesamespread::transport {

/// A request that the server answers itself, without calling its handler.
struct Rejection {
  std::uint16_t status = 0;
  state::ResultCode code = state::ResultCode::kOk;
  std::string_view detail;
  /// What was received of the request so far; null if nothing was read.
  const HttpRequest* request = nullptr;
  std::size_t received_bytes = 0;
  /// Requests received on the connection before this one.
  std::uint64_t earlier_requests = 0;
};

/// Limits of an HttpServer.
struct HttpServerOptions {
  std::size_t max_connections = 2048;
  std::size_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 1 << 20;
  /// Largest sum of the bodies of all requests that are being received. If it
  /// is exceeded, the request with the largest body is refused with kNodeBusy.
  std::size_t max_received_bytes = 64 << 20;
  /// Largest sum of the unsent bytes of all answers. If it is exceeded, the
  /// connection whose caller has not read for the longest time is reset.
  std::size_t max_unsent_bytes = 64 << 20;
  /// Charged with the memory of all connections; may be null.
  MemoryAccount* memory = nullptr;
  /// Longest time from the first byte of a request to its last.
  state::Duration receive_timeout = std::chrono::seconds(10);
  /// Longest time without progress while an answer is written.
  state::Duration send_timeout = std::chrono::seconds(10);
  /// Longest time between two requests on a connection.
  state::Duration idle_timeout = std::chrono::seconds(60);
  /// Called when the server answers a request itself; may be null.
  std::function<void(const Rejection&)> on_rejection;
};

/// One request and the interface to answer it. All calls are made on the
/// server's io_context thread. If the last reference is released before an
/// answer is sent, the server closes the connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  /// Moves the body out of the request, so that a large one is not held twice.
  virtual std::string TakeBody() { return request().body; }

  /// IP address of the other end of the connection; empty if unknown.
  virtual std::string peer_address() const { return {}; }

  /// Sends the answer. Only the first call has an effect. The server sets
  /// Content-Length from the body.
  virtual void Respond(HttpResponse response) = 0;

  /// Declares the length of the whole body, sends its first \p size bytes and
  /// closes the connection. Only for stand-in servers that inject faults.
  virtual void RespondTruncated(HttpResponse response,
                                [[maybe_unused]] std::size_t size) {
    Respond(std::move(response));
  }

  /// Sets a callback that runs once if the caller closes the connection before
  /// Respond. If the caller has closed it already, the callback is posted.
  virtual void OnAbandoned(std::function<void()> callback) = 0;
};

/// Accepts connections and passes complete requests to a handler. A request
/// that is malformed, exceeds a size limit or is not received in time is
/// answered by the server itself with problem details and one of the result
/// codes 400, 402, 403 and 409, and the connection is closed.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Starts to listen at \p endpoint.
  /// \throws std::system_error if the address is in use.
  HttpServer(boost::asio::io_context& context,
             const state::Endpoint& endpoint,
             const HttpServerOptions& options,
             Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The port of the listener; chosen by the system if the endpoint's port was
  /// 0.
  std::uint16_t port() const;

  /// Continues to serve, but closes each connection after its next answer, so
  /// that callers move to other nodes without losing a request.
  void StartDraining();

  /// Stops accepting connections and closes idle ones. Requests in progress are
  /// answered with "Connection: close". Pipelined requests behind an answer
  /// with that field count as not read, and are never passed to the handler.
  void StopAccepting();

  /// Number of open connections, without those that are being refused.
  std::size_t connection_count() const;

  /// Number of answers that are being written, or whose last bytes the caller's
  /// host has not acknowledged.
  std::size_t unfinished_answers() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_HTTP_SERVER_H_
