/// \file
/// Fakes for the transport tests: an executor whose calls the test answers, an
/// HTTP exchange whose response the test reads, and a configuration.
#ifndef SESAMESPREAD_UNITTESTS_TRANSPORT_CALL_FAKES_H_
#define SESAMESPREAD_UNITTESTS_TRANSPORT_CALL_FAKES_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sesamespread/state/configuration.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/http_server.h"

namespace sesamespread::transport {

/// Holds calls in the order of their arrival until the test answers them.
class FakeCallExecutor : public CallExecutor {
 public:
  struct Call {
    Handle handle = 0;
    protocol::CallRequest request;
    AnswerCallback done;
  };

  Handle Execute(protocol::CallRequest request,
                 state::Instant,
                 AnswerCallback done) override {
    ++executed_;
    calls_.push_back({next_, std::move(request), std::move(done)});
    return next_++;
  }
  void Cancel(Handle handle) override {
    std::erase_if(calls_,
                  [handle](const Call& call) { return call.handle == handle; });
  }

  const std::deque<Call>& calls() const { return calls_; }
  std::size_t executed() const { return executed_; }

  /// Answers the oldest call. With kNotRun all of its allotment is reported as
  /// unused.
  void Answer(state::ResultCode result,
              state::RunState run_state,
              std::string body = "") {
    const Call call = std::move(calls_.front());
    calls_.pop_front();
    protocol::CallAnswer answer =
        FailedAnswer(call.request, result, run_state, "");
    answer.http_status = state::IsAnswered(result) ? 200 : 0;
    answer.body = std::move(body);
    answer.backend_state = state::BackendState::kServing;
    call.done(std::move(answer));
  }

 private:
  std::deque<Call> calls_;
  Handle next_ = 1;
  std::size_t executed_ = 0;
};

/// An HTTP exchange that stores its first response where the test can read it
/// after the exchange was destroyed.
class FakeExchange : public HttpExchange {
 public:
  FakeExchange(HttpRequest request,
               std::shared_ptr<std::optional<HttpResponse>> response)
      : request_(std::move(request)), response_(std::move(response)) {}

  const HttpRequest& request() const override { return request_; }
  void Respond(HttpResponse response) override {
    if (!*response_)
      *response_ = std::move(response);
  }
  void OnAbandoned(std::function<void()> callback) override {
    abandoned_ = std::move(callback);
  }

  /// Simulates a caller that closes its connection.
  void Abandon() {
    if (abandoned_)
      std::exchange(abandoned_, nullptr)();
  }

 private:
  const HttpRequest request_;
  std::shared_ptr<std::optional<HttpResponse>> response_;
  std::function<void()> abandoned_;
};

/// Makes a configuration with the services `orders` and `stock`, which `orders`
/// calls. Requests to `stock` are repeatable; orders are not.
inline std::shared_ptr<const state::Configuration> TestConfiguration() {
  state::Service orders;
  orders.name = "orders";
  orders.slots = 4;
  orders.connections = 16;
  orders.answer_within = std::chrono::seconds(10);
  orders.calls = {"stock"};
  state::Service stock = orders;
  stock.name = "stock";
  stock.calls = {};
  state::Rule rule;
  rule.name = "orders";
  rule.service = "orders";
  rule.methods = {"POST"};
  rule.importance = state::Importance::kCritical;
  state::Rule reads;
  reads.name = "reads";
  reads.service = "stock";
  reads.repeatable = true;
  return std::make_shared<const state::Configuration>(
      1, state::Configuration::Entries{
             {"zone/zone-a",
              state::CanonicalText(state::AvailabilityZone{"zone-a", "one"})},
             {"service/orders", state::CanonicalText(orders)},
             {"service/stock", state::CanonicalText(stock)},
             {"rule/orders", state::CanonicalText(rule)},
             {"rule/reads", state::CanonicalText(reads)}});
}

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_UNITTESTS_TRANSPORT_CALL_FAKES_H_
