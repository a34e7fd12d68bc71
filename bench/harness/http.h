/// \file
/// A blocking HTTP client for the test bench.
#ifndef SESAMESPREAD_BENCH_HARNESS_HTTP_H_
#define SESAMESPREAD_BENCH_HARNESS_HTTP_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "sesamespread/state/node_record.h"
#include "sesamespread/transport/http_message.h"

namespace sesamespread::bench {

struct HttpResult {
  /// 0 if the request failed or was not answered within the timeout.
  std::uint16_t status = 0;
  std::vector<protocol::Header> headers;
  std::string body;
};

/// Client that keeps its connections open between requests. Not thread safe.
class KeepAliveClient {
 public:
  KeepAliveClient();
  ~KeepAliveClient();

  KeepAliveClient(const KeepAliveClient&) = delete;
  KeepAliveClient& operator=(const KeepAliveClient&) = delete;

  HttpResult Fetch(const state::Endpoint& server,
                   const transport::HttpRequest& request,
                   std::chrono::milliseconds timeout);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Sends one request to \p server on a new connection.
HttpResult Fetch(const state::Endpoint& server,
                 const transport::HttpRequest& request,
                 std::chrono::milliseconds timeout = std::chrono::seconds(5));
/// Sends one request to 127.0.0.1:\p port on a new connection.
HttpResult Fetch(std::uint16_t port,
                 const transport::HttpRequest& request,
                 std::chrono::milliseconds timeout = std::chrono::seconds(5));

HttpResult Get(const state::Endpoint& server, const std::string& target);
HttpResult Get(std::uint16_t port, const std::string& target);
HttpResult Post(std::uint16_t port,
                const std::string& target,
                const std::string& body);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_HARNESS_HTTP_H_
