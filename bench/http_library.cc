/// \file
/// Compares the latency that one relay adds if it is written with cpprestsdk
/// and with the HTTP server and client of sesamespread, which use Boost.Beast.
/// One caller sends keep-alive requests one after another over loopback;
/// answers have 256 bytes.
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sesamespread/transport/http_client.h"
#include "sesamespread/transport/http_server.h"

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using sesamespread::state::Endpoint;
using sesamespread::transport::HttpClient;
using sesamespread::transport::HttpClientOptions;
using sesamespread::transport::HttpExchange;
using sesamespread::transport::HttpOutcome;
using sesamespread::transport::HttpResponse;
using sesamespread::transport::HttpServer;
using sesamespread::transport::HttpServerOptions;
using std::chrono::steady_clock;

constexpr int kRequests = 20'000;
constexpr int kWarmUpRequests = 1'000;
constexpr std::size_t kAnswerBytes = 256;
constexpr std::chrono::seconds kTimeout{10};

Endpoint Loopback(std::uint16_t port) {
  return {"127.0.0.1", port};
}

/// Answers each request with kAnswerBytes bytes.
class BackendServer {
 public:
  ~BackendServer() { context_.stop(); }

  std::uint16_t port() const { return server_.port(); }

 private:
  boost::asio::io_context context_{1};
  HttpServer server_{context_, Loopback(0), HttpServerOptions{},
                     [](const std::shared_ptr<HttpExchange>& exchange) {
                       HttpResponse response;
                       response.body.assign(kAnswerBytes, 'a');
                       exchange->Respond(std::move(response));
                     }};
  std::jthread thread_{[this] { context_.run(); }};
};

/// Relay on Boost.Beast.
class BeastRelay {
 public:
  explicit BeastRelay(std::uint16_t backend)
      : client_(context_, HttpClientOptions{}),
        server_(context_,
                Loopback(0),
                HttpServerOptions{},
                [this, backend](const std::shared_ptr<HttpExchange>& exchange) {
                  Relay(backend, exchange);
                }),
        thread_([this] { context_.run(); }) {}
  ~BeastRelay() { context_.stop(); }

  std::uint16_t port() const { return server_.port(); }

 private:
  void Relay(std::uint16_t backend,
             const std::shared_ptr<HttpExchange>& exchange) {
    const auto deadline =
        std::chrono::time_point_cast<sesamespread::state::Duration>(
            steady_clock::now() + kTimeout);
    client_.Send(Loopback(backend), exchange->request(), deadline,
                 [exchange](HttpOutcome outcome) {
                   exchange->Respond(std::move(outcome.response));
                 });
  }

  boost::asio::io_context context_{1};
  HttpClient client_;
  HttpServer server_;
  std::jthread thread_;
};

/// A port that is free at the time of the call. The cpprestsdk listener cannot
/// choose a free port itself.
std::uint16_t FreePort() {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

/// Relay on cpprestsdk.
class CpprestRelay {
 public:
  explicit CpprestRelay(std::uint16_t backend)
      : port_(FreePort()),
        client_(fmt::format("http://127.0.0.1:{}", backend)),
        listener_(fmt::format("http://127.0.0.1:{}/", port_)) {
    listener_.support(
        [this](const web::http::http_request& request) { Relay(request); });
    listener_.open().wait();
  }
  ~CpprestRelay() { listener_.close().wait(); }

  std::uint16_t port() const { return port_; }

 private:
  void Relay(const web::http::http_request& request) {
    web::http::http_request forward(request.method());
    forward.set_request_uri(request.relative_uri());
    client_.request(forward).then(
        [request](const web::http::http_response& response) {
          return response.extract_vector().then(
              [request, status = response.status_code()](
                  const std::vector<unsigned char>& body) {
                web::http::http_response answer(status);
                answer.set_body(body);
                return request.reply(answer);
              });
        });
  }

  const std::uint16_t port_;
  web::http::client::http_client client_;
  web::http::experimental::listener::http_listener listener_;
};

/// Sends kRequests requests one after another. \returns their latencies in
/// milliseconds, sorted.
std::vector<double> Measure(std::uint16_t port) {
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({boost::asio::ip::address_v4::loopback(), port});
  socket.set_option(tcp::no_delay(true));
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request(http::verb::get, "/a", 11);
  request.set(http::field::host, "127.0.0.1");
  std::vector<double> latencies;
  for (int i = 0; i < kWarmUpRequests + kRequests; ++i) {
    const auto begin = steady_clock::now();
    http::write(socket, request);
    http::response<http::string_body> response;
    http::read(socket, buffer, response);
    const std::chrono::duration<double, std::milli> latency =
        steady_clock::now() - begin;
    if (response.body().size() != kAnswerBytes) {
      fmt::print(stderr, "unexpected answer of {} bytes\n",
                 response.body().size());
      std::exit(1);
    }
    if (i >= kWarmUpRequests)
      latencies.push_back(latency.count());
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

double Quantile(const std::vector<double>& sorted, double q) {
  return sorted[static_cast<std::size_t>(
      q * static_cast<double>(sorted.size() - 1))];
}

void Print(const char* name,
           const std::vector<double>& latencies,
           const std::vector<double>& direct) {
  const double p50 = Quantile(latencies, 0.5);
  const double p99 = Quantile(latencies, 0.99);
  fmt::print("{:<12} p50 {:.3f} ms  p99 {:.3f} ms  added {:.3f} {:.3f} ms\n",
             name, p50, p99, p50 - Quantile(direct, 0.5),
             p99 - Quantile(direct, 0.99));
}

}  // namespace

int main(int argc, char** argv) {
  const int rounds = argc > 1 ? std::atoi(argv[1]) : 3;
  BackendServer backend;
  BeastRelay beast(backend.port());
  CpprestRelay cpprest(backend.port());
  for (int round = 0; round < rounds; ++round) {
    const std::vector<double> direct = Measure(backend.port());
    Print("direct", direct, direct);
    Print("beast", Measure(beast.port()), direct);
    Print("cpprestsdk", Measure(cpprest.port()), direct);
  }
  return 0;
}
