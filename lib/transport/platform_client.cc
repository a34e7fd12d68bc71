/// \file
/// Implements the platform's client with cpprestsdk.
#include "sesamespread/transport/platform_client.h"

#include <cpprest/json.h>
#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <mutex>
#include <optional>

#include "rest_call.h"
#include "sesamespread/state/result_code.h"

namespace sesamespread::transport {
namespace {

using coordination::CommitReply;
using coordination::ObjectReply;
using coordination::RangeReply;
using coordination::RowReply;
using coordination::StoreStatus;
using coordination::TableRow;
using coordination::TableTransaction;
using web::json::value;

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kOctetStreamType = "application/octet-stream";
constexpr std::size_t kMaxDetailBytes = 200;

// Counts calls in total, in the current second and in the last full second.
// Seconds are numbered by CurrentSecond().
class RateCounter {
 public:
  void Count(std::int64_t second) {
    Advance(second);
    ++total_;
    ++current_second_count_;
  }

  std::uint64_t total() const { return total_; }

  std::uint32_t CountInLastSecond(std::int64_t second) const {
    if (second == current_second_)
      return last_second_count_;
    return second == current_second_ + 1 ? current_second_count_ : 0;
  }

 private:
  void Advance(std::int64_t second) {
    last_second_count_ = CountInLastSecond(second);
    if (second != current_second_)
      current_second_count_ = 0;
    current_second_ = second;
  }

  std::int64_t current_second_ = 0;
  std::uint64_t total_ = 0;
  std::uint32_t current_second_count_ = 0;
  std::uint32_t last_second_count_ = 0;
};

std::int64_t CurrentSecond() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

StoreStatus StatusOf(const RestReply& reply) {
  using web::http::status_codes;
  switch (reply.outcome) {
    case RestOutcome::kNotConnected:
      return StoreStatus::kNotDelivered;
    case RestOutcome::kNoReply:
      return StoreStatus::kNoReply;
    case RestOutcome::kAnswered:
      break;
  }
  if (reply.status == status_codes::OK)
    return StoreStatus::kDone;
  if (reply.status == status_codes::Unauthorized ||
      reply.status == status_codes::Forbidden)
    return StoreStatus::kUnauthorized;
  if (reply.status == status_codes::TooManyRequests)
    return StoreStatus::kNotDelivered;
  // After an internal error of the platform the call may have taken effect.
  if (reply.status >= status_codes::InternalError)
    return StoreStatus::kNoReply;
  return StoreStatus::kRefused;
}

std::string DetailOf(const RestReply& reply) {
  if (reply.outcome != RestOutcome::kAnswered)
    return reply.detail;
  return fmt::format("status {}: {}", reply.status,
                     reply.body.substr(0, kMaxDetailBytes));
}

value JsonOf(const TableTransaction& transaction) {
  value conditions = value::array();
  for (const auto& condition : transaction.conditions) {
    value item = value::object();
    item["key"] = value::string(condition.key);
    if (condition.version)
      item["equals-version"] = value::number(*condition.version);
    else
      item["absent"] = value::boolean(true);
    conditions[conditions.size()] = item;
  }
  value puts = value::array();
  for (const auto& put : transaction.puts) {
    value item = value::object();
    item["key"] = value::string(put.key);
    item["value"] = value::string(put.value);
    puts[puts.size()] = item;
  }
  value deletes = value::array();
  for (const auto& key : transaction.deletes)
    deletes[deletes.size()] = value::string(key);
  value body = value::object();
  body["conditions"] = conditions;
  body["puts"] = puts;
  body["deletes"] = deletes;
  return body;
}

TableRow RowOf(const value& item) {
  return {item.at("key").as_string(), item.at("value").as_string(),
          item.at("version").as_number().to_uint64()};
}

std::vector<TableRow> RowsOf(const std::string& body) {
  std::vector<TableRow> rows;
  // Must outlive the loop: as_array() returns a reference into it.
  const value document = value::parse(body);
  for (const value& item : document.at("rows").as_array())
    rows.push_back(RowOf(item));
  return rows;
}

}  // namespace

class PlatformClient::Impl {
 public:
  explicit Impl(const PlatformOptions& options)
      : options_(options), client_(options.url, RestConfig(options.timeout)) {}

  RestReply Call(const web::http::method& method,
                 const web::uri_builder& target,
                 std::string body = {},
                 std::string_view type = kJsonType) {
    Count(method);
    web::http::http_request request(method);
    request.set_request_uri(target.to_uri());
    if (!options_.token.empty())
      request.headers().add("Authorization", "Bearer " + options_.token);
    if (!body.empty())
      request.set_body(std::move(body), std::string(type));
    RestReply reply = CallRest(client_, request, options_.timeout);
    const StoreStatus status = StatusOf(reply);
    if (status == StoreStatus::kNotDelivered || status == StoreStatus::kNoReply)
      CountFailure();
    return reply;
  }

  PlatformCounters counters() const {
    const std::int64_t second = CurrentSecond();
    const std::lock_guard lock(mutex_);
    return {reads_.total(), writes_.total(), failures_,
            reads_.CountInLastSecond(second),
            writes_.CountInLastSecond(second)};
  }

 private:
  void Count(const web::http::method& method) {
    const bool is_read = method == web::http::methods::GET;
    const std::lock_guard lock(mutex_);
    (is_read ? reads_ : writes_).Count(CurrentSecond());
  }

  void CountFailure() {
    const std::lock_guard lock(mutex_);
    ++failures_;
  }

  PlatformOptions options_;
  web::http::client::http_client client_;
  mutable std::mutex mutex_;
  RateCounter reads_;
  RateCounter writes_;
  std::uint64_t failures_ = 0;
};

PlatformClient::PlatformClient(const PlatformOptions& options) {
  try {
    impl_ = std::make_unique<Impl>(options);
  } catch (const std::exception& error) {
    throw state::Error(
        state::ResultCode::kSettingsInvalid,
        fmt::format("platform URL '{}': {}", options.url, error.what()));
  }
}

PlatformClient::~PlatformClient() = default;

CommitReply PlatformClient::Commit(const TableTransaction& transaction) {
  const RestReply reply =
      impl_->Call(web::http::methods::POST, web::uri_builder("/table/tx"),
                  JsonOf(transaction).serialize());
  if (reply.status != web::http::status_codes::Conflict) {
    const StoreStatus status = StatusOf(reply);
    return {status,
            {},
            std::nullopt,
            status == StoreStatus::kDone ? "" : DetailOf(reply)};
  }
  try {
    const value body = value::parse(reply.body);
    CommitReply refused{StoreStatus::kConditionFailed,
                        body.at("failed_key").as_string(), std::nullopt,
                        DetailOf(reply)};
    if (!body.at("current_value").is_null())
      refused.current_value = body.at("current_value").as_string();
    return refused;
  } catch (const std::exception& error) {
    // The reply does not show whether the transaction took effect.
    return {StoreStatus::kNoReply, {}, std::nullopt, error.what()};
  }
}

RowReply PlatformClient::ReadRow(std::string_view key) {
  web::uri_builder target("/table/rows");
  target.append_query("key", std::string(key));
  const RestReply reply = impl_->Call(web::http::methods::GET, target);
  if (reply.status == web::http::status_codes::NotFound)
    return {};
  const StoreStatus status = StatusOf(reply);
  if (status != StoreStatus::kDone)
    return {status, std::nullopt, DetailOf(reply)};
  try {
    return {status, RowOf(value::parse(reply.body)), {}};
  } catch (const std::exception& error) {
    return {StoreStatus::kNoReply, std::nullopt, error.what()};
  }
}

RangeReply PlatformClient::ReadRange(std::string_view prefix,
                                     std::string_view after,
                                     std::size_t limit) {
  web::uri_builder target("/table/range");
  target.append_query("prefix", std::string(prefix));
  target.append_query("after", std::string(after));
  target.append_query("limit", limit);
  const RestReply reply = impl_->Call(web::http::methods::GET, target);
  const StoreStatus status = StatusOf(reply);
  if (status != StoreStatus::kDone)
    return {status, {}, DetailOf(reply)};
  try {
    return {status, RowsOf(reply.body), {}};
  } catch (const std::exception& error) {
    return {StoreStatus::kNoReply, {}, error.what()};
  }
}

StoreStatus PlatformClient::PutObject(std::string_view name,
                                      std::string_view content) {
  const web::uri_builder target(fmt::format("/objects/{}", name));
  return StatusOf(impl_->Call(web::http::methods::PUT, target,
                              std::string(content), kOctetStreamType));
}

ObjectReply PlatformClient::GetObject(std::string_view name) {
  const web::uri_builder target(fmt::format("/objects/{}", name));
  RestReply reply = impl_->Call(web::http::methods::GET, target);
  if (reply.status == web::http::status_codes::NotFound)
    return {};
  const StoreStatus status = StatusOf(reply);
  if (status != StoreStatus::kDone)
    return {status, std::nullopt, DetailOf(reply)};
  return {status, std::move(reply.body), {}};
}

PlatformCounters PlatformClient::counters() const {
  return impl_->counters();
}

std::string ReadTokenFile(const std::string& path) {
  std::ifstream file(path);
  std::string token;
  if (!std::getline(file, token))
    throw state::Error(state::ResultCode::kUnauthorized,
                       fmt::format("token file '{}' can't be read", path));
  token.erase(token.find_last_not_of(" \t\r") + 1);
  if (token.empty())
    throw state::Error(state::ResultCode::kUnauthorized,
                       fmt::format("token file '{}' is empty", path));
  return token;
}

}  // namespace sesamespread::transport
