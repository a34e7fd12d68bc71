/// \file
/// Stand-in for the table service and the object store of the platform, with
/// fault injection. All data are held in memory; each connection has a thread.
#include <cpprest/json.h>
#include <cpprest/uri.h>
#include <fmt/format.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "standins.h"

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using web::json::value;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Clock = std::chrono::steady_clock;

constexpr int kMaxConnections = 512;
constexpr std::uint64_t kMaxBodyBytes = 256 << 20;
constexpr std::size_t kDefaultRangeLimit = 500;

struct Row {
  std::string text;
  std::uint64_t version = 0;
};
using Rows = std::map<std::string, Row>;

/// Token bucket that allows `rate` calls per second and bursts of as many.
class RateLimit {
 public:
  explicit RateLimit(double rate) : rate_(rate), tokens_(rate) {}

  bool TryAcquire() {
    const auto now = Clock::now();
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    tokens_ = std::min(rate_, tokens_ + elapsed.count() * rate_);
    refilled_at_ = now;
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double rate_;
  double tokens_;
  Clock::time_point refilled_at_ = Clock::now();
};

struct Options {
  std::uint16_t port = 0;
  double writes_per_second = 0;
  double reads_per_second = 0;
  std::string token;
};

/// Faults that POST /control sets.
struct Faults {
  /// Whether connections are closed without a reply.
  bool is_down = false;
  /// Delay before a call is served.
  std::chrono::milliseconds delay{0};
  /// Number of further write calls whose reply is lost.
  int lose_replies = 0;
  /// Whether reads return the table as it was when this fault was set.
  bool stale_reads = false;
};

using Query = std::map<std::string, std::string>;

std::string Parameter(const Query& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : web::uri::decode(found->second);
}

Response Reply(http::status status, const std::string& body) {
  Response response(status, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = body;
  return response;
}

value JsonOf(const std::string& key, const Row& row) {
  value item = value::object();
  item["key"] = value::string(key);
  item["value"] = value::string(row.text);
  item["version"] = value::number(row.version);
  return item;
}

class Platform {
 public:
  explicit Platform(const Options& options)
      : options_(options),
        writes_limit_(options.writes_per_second),
        reads_limit_(options.reads_per_second) {}

  /// \returns the reply, or nullopt to close the connection without one.
  std::optional<Response> Handle(const Request& request) {
    const web::uri uri(std::string(request.target()));
    if (uri.path() == "/control")
      return HandleControl(request);
    Faults faults;
    {
      const std::lock_guard lock(mutex_);
      faults = faults_;
    }
    if (faults.is_down)
      return std::nullopt;
    std::this_thread::sleep_for(faults.delay);
    const std::lock_guard lock(mutex_);
    Response response = ServeRequest(request, uri);
    const bool is_write = request.method() != http::verb::get;
    if (is_write && faults_.lose_replies > 0) {
      --faults_.lose_replies;
      return std::nullopt;
    }
    return response;
  }

 private:
  Response ServeRequest(const Request& request, const web::uri& uri) {
    if (!options_.token.empty() &&
        request[http::field::authorization] != "Bearer " + options_.token)
      return Reply(http::status::unauthorized, R"({"detail": "wrong token"})");
    const bool is_read = request.method() == http::verb::get;
    if (!(is_read ? reads_limit_ : writes_limit_).TryAcquire()) {
      ++refused_;
      return Reply(http::status::too_many_requests,
                   R"({"detail": "too many calls"})");
    }
    ++(is_read ? reads_ : writes_);
    const std::string& path = uri.path();
    const Query query = web::uri::split_query(uri.query());
    if (path == "/table/tx" && request.method() == http::verb::post)
      return Transaction(value::parse(request.body()));
    if (path == "/table/rows" && is_read)
      return ReadRow(Parameter(query, "key"));
    if (path == "/table/range" && is_read)
      return ReadRange(query);
    if (path.compare(0, 9, "/objects/") == 0)
      return HandleObject(request, path.substr(9));
    return Reply(http::status::not_found, "{}");
  }

  Response Transaction(const value& body) {
    for (const value& condition : body.at("conditions").as_array()) {
      const std::string key = condition.at("key").as_string();
      const auto found = rows_.find(key);
      const bool is_absent = found == rows_.end();
      const bool is_met =
          condition.has_field("absent")
              ? is_absent
              : !is_absent &&
                    found->second.version ==
                        condition.at("equals-version").as_number().to_uint64();
      if (is_met)
        continue;
      value refusal = value::object();
      refusal["failed_key"] = value::string(key);
      refusal["current_value"] =
          is_absent ? value::null() : value::string(found->second.text);
      return Reply(http::status::conflict, refusal.serialize());
    }
    value versions = value::object();
    for (const value& put : body.at("puts").as_array()) {
      const std::string key = put.at("key").as_string();
      rows_[key] = {put.at("value").as_string(), ++last_version_};
      versions[key] = value::number(last_version_);
    }
    for (const value& key : body.at("deletes").as_array())
      rows_.erase(key.as_string());
    value reply = value::object();
    reply["versions"] = versions;
    return Reply(http::status::ok, reply.serialize());
  }

  const Rows& VisibleRows() const {
    return faults_.stale_reads ? stale_rows_ : rows_;
  }

  Response ReadRow(const std::string& key) const {
    const auto found = VisibleRows().find(key);
    if (found == VisibleRows().end())
      return Reply(http::status::not_found, "{}");
    return Reply(http::status::ok, JsonOf(key, found->second).serialize());
  }

  Response ReadRange(const Query& query) const {
    const std::string prefix = Parameter(query, "prefix");
    const std::string limit_text = Parameter(query, "limit");
    const std::size_t limit =
        limit_text.empty() ? kDefaultRangeLimit : std::stoul(limit_text);
    value rows = value::array();
    const std::string after = Parameter(query, "after");
    auto row = after < prefix ? VisibleRows().lower_bound(prefix)
                              : VisibleRows().upper_bound(after);
    for (; row != VisibleRows().end() && rows.size() < limit &&
           row->first.compare(0, prefix.size(), prefix) == 0;
         ++row)
      rows[rows.size()] = JsonOf(row->first, row->second);
    value reply = value::object();
    reply["rows"] = rows;
    return Reply(http::status::ok, reply.serialize());
  }

  Response HandleObject(const Request& request, const std::string& name) {
    if (request.method() == http::verb::put) {
      objects_[name] = request.body();
      return Reply(http::status::ok, "{}");
    }
    const auto found = objects_.find(name);
    if (found == objects_.end())
      return Reply(http::status::not_found, "{}");
    return Reply(http::status::ok, found->second);
  }

  Response HandleControl(const Request& request) {
    const std::lock_guard lock(mutex_);
    if (request.method() == http::verb::post)
      SetFaults(value::parse(request.body()));
    value reply = value::object();
    reply["reads"] = value::number(reads_);
    reply["writes"] = value::number(writes_);
    reply["refused"] = value::number(refused_);
    reply["rows"] = value::number(static_cast<std::uint64_t>(rows_.size()));
    return Reply(http::status::ok, reply.serialize());
  }

  void SetFaults(const value& body) {
    if (body.has_field("mode")) {
      const std::string mode = body.at("mode").as_string();
      faults_.is_down = mode == "down";
      faults_.delay = std::chrono::milliseconds(0);
      if (mode == "slow")
        faults_.delay =
            std::chrono::milliseconds(body.at("delay_ms").as_integer());
    }
    if (body.has_field("lose_replies"))
      faults_.lose_replies = body.at("lose_replies").as_integer();
    if (body.has_field("stale_reads")) {
      faults_.stale_reads = body.at("stale_reads").as_bool();
      stale_rows_ = faults_.stale_reads ? rows_ : Rows();
    }
  }

  const Options options_;
  std::mutex mutex_;
  Faults faults_;
  RateLimit writes_limit_;
  RateLimit reads_limit_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t refused_ = 0;
  // Counts the writes to all rows, so that a row that is deleted and written
  // again has a higher version than before.
  std::uint64_t last_version_ = 0;
  Rows rows_;
  Rows stale_rows_;
  std::map<std::string, std::string> objects_;
};

std::optional<Response> HandleOrReportError(Platform& platform,
                                            const Request& request) {
  try {
    return platform.Handle(request);
  } catch (const std::exception& error) {
    return Reply(http::status::bad_request, error.what());
  }
}

void ServeConnection(Platform& platform, tcp::socket socket) {
  beast::flat_buffer buffer;
  beast::error_code error;
  while (!error) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    http::read(socket, buffer, parser, error);
    if (error)
      return;
    const Request request = parser.release();
    std::optional<Response> response = HandleOrReportError(platform, request);
    if (!response)
      return;
    response->keep_alive(request.keep_alive());
    response->prepare_payload();
    http::write(socket, *response, error);
    if (!request.keep_alive())
      return;
  }
}

Options ParseOptions(int argc, char** argv) {
  cxxopts::Options parser("standins platform",
                          "Stand-in for the table service and object store.");
  parser.add_options()("port", "Port on 127.0.0.1; 0 lets the system choose",
                       cxxopts::value<std::uint16_t>()->default_value("0"))(
      "writes-per-second", "Writes accepted per second",
      cxxopts::value<double>()->default_value("400"))(
      "reads-per-second", "Reads accepted per second",
      cxxopts::value<double>()->default_value("2000"))(
      "token", "Bearer token that calls must carry",
      cxxopts::value<std::string>()->default_value(""));
  const auto parsed = parser.parse(argc, argv);
  return {parsed["port"].as<std::uint16_t>(),
          parsed["writes-per-second"].as<double>(),
          parsed["reads-per-second"].as<double>(),
          parsed["token"].as<std::string>()};
}

void AcceptConnections(const Options& options) {
  Platform platform(options);
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         {asio::ip::address_v4::loopback(), options.port});
  fmt::print("listening {}\n", acceptor.local_endpoint().port());
  std::fflush(stdout);
  std::atomic<int> connections = 0;
  while (true) {
    tcp::socket socket(context);
    acceptor.accept(socket);
    // Connections beyond kMaxConnections are closed immediately.
    if (++connections > kMaxConnections) {
      --connections;
      continue;
    }
    // Only a signal ends the program, so no detached thread outlives
    // `platform`.
    std::thread([&platform, &connections,
                 socket = std::move(socket)]() mutable {
      ServeConnection(platform, std::move(socket));
      --connections;
    }).detach();
  }
}

}  // namespace

int RunPlatform(int argc, char** argv) {
  try {
    AcceptConnections(ParseOptions(argc, argv));
    return 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "standins platform: {}\n", error.what());
    return 2;
  }
}
