/// \file
/// A blocking HTTP client for the test bench, built on transport::HttpClient.
#include "harness/http.h"

#include <boost/asio/io_context.hpp>

#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/http_client.h"

namespace sesamespread::bench {

namespace {

transport::HttpClientOptions ClientOptions() {
  transport::HttpClientOptions options;
  options.max_body_bytes = 64 << 20;
  return options;
}

}  // namespace

struct KeepAliveClient::Impl {
  boost::asio::io_context context;
  transport::HttpClient client{context, ClientOptions()};
};

KeepAliveClient::KeepAliveClient() : impl_(std::make_unique<Impl>()) {}
KeepAliveClient::~KeepAliveClient() = default;

HttpResult KeepAliveClient::Fetch(const state::Endpoint& server,
                                  const transport::HttpRequest& request,
                                  std::chrono::milliseconds timeout) {
  HttpResult result;
  bool done = false;
  impl_->client.Send(
      server, request, transport::Now() + timeout,
      [&result, &done](transport::HttpOutcome outcome) {
        done = true;
        if (outcome.kind != transport::HttpOutcomeKind::kAnswered)
          return;
        result.status = outcome.response.status;
        result.headers = std::move(outcome.response.headers);
        result.body = std::move(outcome.response.body);
      });
  impl_->context.restart();
  while (!done && impl_->context.run_one() > 0) {
  }
  return result;
}

HttpResult Fetch(const state::Endpoint& server,
                 const transport::HttpRequest& request,
                 std::chrono::milliseconds timeout) {
  return KeepAliveClient().Fetch(server, request, timeout);
}

HttpResult Fetch(std::uint16_t port,
                 const transport::HttpRequest& request,
                 std::chrono::milliseconds timeout) {
  return Fetch(state::Endpoint{"127.0.0.1", port}, request, timeout);
}

HttpResult Get(const state::Endpoint& server, const std::string& target) {
  transport::HttpRequest request;
  request.target = target;
  return Fetch(server, request);
}

HttpResult Get(std::uint16_t port, const std::string& target) {
  return Get(state::Endpoint{"127.0.0.1", port}, target);
}

HttpResult Post(std::uint16_t port,
                const std::string& target,
                const std::string& body) {
  transport::HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return Fetch(port, request);
}

}  // namespace sesamespread::bench
