/// \file
/// HTTP/1.1 server on one io_context, with a bound on everything a caller can
/// make it hold.
#ifndef SESAMESPREAD_TRANSPORT_HTTP_SERVER_H_
#define SESAMESPREAD_TRANSPORT_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "sesamespread/state/node_record.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"
#include "sesamespread/transport/http_message.h"

namespace sesamespread::transport {

/// Bounds of an HttpServer.
struct HttpServerOptions {
  std::size_t max_connections = 2048;
  std::size_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 1 << 20;
  /// From the first byte of a request to its last.
  state::Duration receive_timeout = std::chrono::seconds(10);
  /// Without progress while an answer is written.
  state::Duration send_timeout = std::chrono::seconds(10);
  /// Between requests on a connection.
  state::Duration idle_timeout = std::chrono::seconds(60);
};

/// One request and the means to answer it. All calls are made on the server's
/// io_context thread.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  /// Address of the other end of the connection; empty if unknown.
  virtual std::string peer_address() const { return {}; }

  /// Sends the answer; only the first call has an effect. Content-Length is
  /// set from the body.
  virtual void Respond(HttpResponse response) = 0;

  /// Announces the whole body, sends its first \p size bytes and closes the
  /// connection. Only for stand-ins that play a faulty server.
  virtual void RespondTruncated(HttpResponse response,
                                [[maybe_unused]] std::size_t size) {
    Respond(std::move(response));
  }

  /// \p callback runs once if the caller closes the connection before Respond.
  virtual void OnAbandoned(std::function<void()> callback) = 0;
};

/// Accepts connections and hands whole requests to a handler. Requests that
/// break a bound or are malformed are answered by the server itself, with
/// problem details and the result codes 400, 402, 403 and 409, after which the
/// connection is closed.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Listens at once. \throws std::system_error if the address is in use.
  HttpServer(boost::asio::io_context& context,
             const state::Endpoint& endpoint,
             const HttpServerOptions& options,
             Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The port listened on; differs from the one asked for if that was 0.
  std::uint16_t port() const;

  /// Goes on serving, but ends each connection after its next answer, so that
  /// callers move to other nodes without losing a request.
  void StartDraining();

  /// Accepts no more connections; requests in progress are answered with
  /// "Connection: close", idle connections are closed.
  void StopAccepting();

  /// Connections that are open.
  std::size_t connection_count() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_HTTP_SERVER_H_
