/// \file
/// Implementation of the callers of the soak.
#include "soak_callers.h"

#include <fmt/format.h>

#include <array>
#include <random>
#include <utility>

#include "harness/http.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::test {
namespace {

constexpr std::size_t kCallers = 8;

/// Pause of a caller between an answer and its next request.
constexpr std::chrono::milliseconds kRequestInterval{10};

/// Time after which a caller stops waiting for an answer.
constexpr std::chrono::milliseconds kAnswerTimeout = kCallerBudget * 2;

/// Half of all requests are orders, since most guarantees apply to them.
constexpr std::array<const char*, 4> kRouteHosts = {
    "orders.example", "shop.example", "orders.example", "stock.example"};

}  // namespace

SoakCallers::SoakCallers(std::vector<state::Endpoint> entries,
                         std::uint64_t seed)
    : entries_(std::move(entries)), seed_(seed) {
  for (std::size_t i = 0; i < kCallers; ++i)
    threads_.emplace_back([this, i] { Send(i); });
}

SoakCallers::~SoakCallers() {
  Finish();
}

std::vector<CallerRecord> SoakCallers::Finish() {
  is_finished_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
  return std::move(records_);
}

void SoakCallers::Send(std::size_t caller) {
  std::mt19937_64 random(seed_ + 1 + caller);
  bench::KeepAliveClient client;
  for (std::size_t i = 0; !is_finished_; ++i) {
    CallerRecord record;
    record.id = fmt::format("s{}c{}n{}", seed_, caller, i);
    record.route_host = kRouteHosts[random() % kRouteHosts.size()];
    record.entry = random() % entries_.size();
    transport::HttpRequest request;
    request.method = record.is_order() ? "POST" : "GET";
    request.target = "/item";
    request.headers = {
        {"Host", record.route_host},
        {"X-Attempt-Id", record.id},
        {"X-Deadline-Ms", std::to_string(kCallerBudget.count())}};
    record.sent = transport::Now();
    const bench::HttpResult result =
        client.Fetch(entries_[record.entry], request, kAnswerTimeout);
    record.ended = transport::Now();
    record.status = result.status;
    record.seal = transport::FieldOf(result.headers, "X-Response-Seal");
    record.body = result.body;
    {
      const std::lock_guard lock(mutex_);
      records_.push_back(std::move(record));
    }
    std::this_thread::sleep_for(kRequestInterval);
  }
}

}  // namespace sesamespread::test
