/// \file
/// Implements the operators' port of a node.
#include "sesamespread/transport/operator_api.h"

#include <cpprest/http_listener.h>
#include <openssl/crypto.h>

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <utility>

#include "sesamespread/state/result_code.h"
#include "sesamespread/transport/rest_threads.h"
#include "status_page.h"

namespace sesamespread::transport {
namespace {

using web::http::http_request;
using web::http::status_codes;
using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

constexpr std::chrono::seconds kRequestTimeout{5};

// Attempts to listen on a free port. Another process may use the port between
// FindFreePort and the listener's start.
constexpr int kPortAttempts = 5;

// Returns a port that is free at the moment. cpprestsdk does not report which
// port it listens on for port 0, so a free port is found before.
std::uint16_t FindFreePort(const std::string& address) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address(address), 0});
  return acceptor.local_endpoint().port();
}

bool EqualInConstantTime(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

class OperatorApi::Impl {
 public:
  Impl(const OperatorApiOptions& options, OperatorApiDelegate& delegate)
      : options_(options), delegate_(delegate) {
    LimitRestThreads();
    for (int attempt = 1;; ++attempt) {
      port_ = options.endpoint.port != 0
                  ? options.endpoint.port
                  : FindFreePort(options.endpoint.address);
      try {
        Open();
        return;
      } catch (const std::exception& error) {
        if (options.endpoint.port != 0 || attempt == kPortAttempts)
          throw state::Error(state::ResultCode::kSettingsInvalid,
                             std::string("operators' port: ") + error.what());
      }
    }
  }

  ~Impl() {
    try {
      listener_->close().wait();
    } catch (const std::exception&) {
      // The process is ending, so nothing can handle the error.
    }
  }

  std::uint16_t port() const { return port_; }

 private:
  using Handler = void (Impl::*)(const http_request&);
  struct Route {
    const char* method;
    bool needs_token;
    Handler handler;
  };

  static const std::map<std::string, Route>& Routes() {
    static const std::map<std::string, Route> kRoutes = {
        {"/healthz", {"GET", false, &Impl::GetHealth}},
        {"/readyz", {"GET", false, &Impl::GetReady}},
        {"/metrics", {"GET", true, &Impl::GetMetrics}},
        {"/v1/status", {"GET", true, &Impl::GetStatus}},
        {"/v1/drain", {"POST", true, &Impl::PostDrain}},
        {"/", {"GET", false, &Impl::GetStatusPage}},
    };
    return kRoutes;
  }

  void Open() {
    const bool tls = !options_.certificate_file.empty();
    http_listener_config config;
    config.set_timeout(kRequestTimeout);
    if (tls) {
      config.set_ssl_context_callback(
          [this](boost::asio::ssl::context& context) {
            context.set_options(boost::asio::ssl::context::default_workarounds |
                                boost::asio::ssl::context::no_sslv3 |
                                boost::asio::ssl::context::no_tlsv1 |
                                boost::asio::ssl::context::no_tlsv1_1);
            context.use_certificate_chain_file(options_.certificate_file);
            context.use_private_key_file(options_.key_file,
                                         boost::asio::ssl::context::pem);
          });
    }
    const std::string& address = options_.endpoint.address;
    const bool is_v6 = address.find(':') != std::string::npos;
    listener_ = std::make_unique<http_listener>(
        std::string(tls ? "https://" : "http://") +
            (is_v6 ? "[" + address + "]" : address) + ":" +
            std::to_string(port_),
        config);
    listener_->support(
        [this](const http_request& request) { Handle(request); });
    listener_->open().wait();
  }

  void Handle(const http_request& request) {
    const auto found = Routes().find(request.relative_uri().path());
    if (found == Routes().end()) {
      request.reply(status_codes::NotFound, "no such path\n");
      return;
    }
    const Route& route = found->second;
    if (request.method() != route.method) {
      request.reply(status_codes::MethodNotAllowed, "method not allowed\n");
      return;
    }
    if (route.needs_token && !IsAuthorized(request)) {
      request.reply(status_codes::Unauthorized, "token missing or wrong\n");
      return;
    }
    (this->*route.handler)(request);
  }

  bool IsAuthorized(const http_request& request) const {
    if (options_.token.empty())
      return true;
    const auto found = request.headers().find("Authorization");
    return found != request.headers().end() &&
           EqualInConstantTime(found->second, "Bearer " + options_.token);
  }

  void GetHealth(const http_request& request) {
    request.reply(status_codes::OK, "ok\n");
  }

  void GetReady(const http_request& request) {
    if (delegate_.IsReady())
      request.reply(status_codes::OK, "ready\n");
    else
      request.reply(status_codes::ServiceUnavailable, "not ready\n");
  }

  void GetMetrics(const http_request& request) {
    request.reply(status_codes::OK, delegate_.MetricsText(),
                  "text/plain; version=0.0.4");
  }

  void GetStatus(const http_request& request) {
    request.reply(status_codes::OK, delegate_.StatusJson(), "application/json");
  }

  void GetStatusPage(const http_request& request) {
    request.reply(status_codes::OK, kStatusPage, "text/html; charset=utf-8");
  }

  void PostDrain(const http_request& request) {
    const bool started = delegate_.StartDrain();
    request.reply(
        status_codes::Accepted,
        started ? "{\"drain\":\"started\"}\n" : "{\"drain\":\"in progress\"}\n",
        "application/json");
  }

  const OperatorApiOptions options_;
  OperatorApiDelegate& delegate_;
  std::uint16_t port_ = 0;
  std::unique_ptr<http_listener> listener_;
};

OperatorApi::OperatorApi(const OperatorApiOptions& options,
                         OperatorApiDelegate& delegate)
    : impl_(std::make_unique<Impl>(options, delegate)) {}
OperatorApi::~OperatorApi() = default;

std::uint16_t OperatorApi::port() const {
  return impl_->port();
}

}  // namespace sesamespread::transport
