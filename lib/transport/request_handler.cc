/// \file
/// Admission and dispatch of requests of callers and of sub-calls of the local
/// backend server, with their idempotency keys.
#include "sesamespread/transport/request_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "sesamespread/coordination/idempotency.h"
#include "sesamespread/protocol/http_fields.h"
#include "sesamespread/transport/clock.h"
#include "sesamespread/transport/random_seed.h"

namespace sesamespread::transport {
namespace {

using state::ResultCode;
using state::RunState;

constexpr std::string_view kReservedPrefix = "/-/";
constexpr std::string_view kKeysPrefix = "/-/keys/";
constexpr state::Duration kTickInterval = std::chrono::milliseconds(100);

// Answered requests are logged if they took longer than this.
constexpr state::Duration kSlowRequest = std::chrono::seconds(1);

state::RequestId RandomId(std::mt19937_64& random) {
  return {random(), random()};
}

std::string RetryAfterSeconds(state::Duration retry_after) {
  const auto whole =
      std::chrono::duration_cast<std::chrono::seconds>(
          retry_after + std::chrono::seconds(1) - state::Duration(1))
          .count();
  return std::to_string(std::max<std::int64_t>(1, whole));
}

// Parses "count=n" in the query of \p target; 1 without it. The result is at
// least 1 and at most kMaxKeysPerCall.
std::uint32_t ParseKeyCount(std::string_view target) {
  constexpr std::string_view kParameter = "count=";
  const std::size_t at = target.find(kParameter);
  if (at == std::string_view::npos)
    return 1;
  const std::string_view digits = target.substr(at + kParameter.size());
  std::uint32_t count = 1;
  std::from_chars(digits.data(), digits.data() + digits.size(), count);
  return std::clamp<std::uint32_t>(count, 1, kMaxKeysPerCall);
}

void RespondProblem(const std::shared_ptr<HttpExchange>& exchange,
                    ResultCode code,
                    RunState run_state,
                    std::string_view detail,
                    const state::RequestId& id,
                    state::Duration retry_after) {
  HttpResponse response;
  response.status = static_cast<std::uint16_t>(state::InfoOf(code).http_status);
  response.headers = {
      {"Content-Type", "application/problem+json"},
      {std::string(protocol::kResultField),
       std::to_string(static_cast<int>(code))},
      {std::string(protocol::kRequestIdField), state::ToHex(id)}};
  if (retry_after > state::Duration(0))
    response.headers.push_back({"Retry-After", RetryAfterSeconds(retry_after)});
  response.body =
      protocol::ProblemDetails(code, run_state, detail, id, retry_after);
  exchange->Respond(std::move(response));
}

}  // namespace

RequestHandler::RequestHandler(DeadlineQueue& deadlines,
                               const Options& options,
                               CallDispatcher& dispatcher,
                               LocalExecutor& executor,
                               Metrics& metrics,
                               EventLog& log,
                               SendClaims send_claims)
    : deadlines_(deadlines),
      options_(options),
      dispatcher_(dispatcher),
      executor_(executor),
      metrics_(metrics),
      log_(log),
      send_claims_(std::move(send_claims)),
      random_(RandomSeed()),
      configuration_(std::make_shared<const state::Configuration>()) {
  Tick();
}

RequestHandler::~RequestHandler() {
  *alive_ = false;
}

void RequestHandler::SetConfiguration(
    std::shared_ptr<const state::Configuration> configuration) {
  configuration_ = std::move(configuration);
}

void RequestHandler::HandleCaller(std::shared_ptr<HttpExchange> exchange) {
  const std::string& target = exchange->request().target;
  if (target.starts_with(kKeysPrefix)) {
    IssueKeys(exchange, target);
    return;
  }
  std::string_view service;
  std::string path;
  if (!CheckService(exchange, &service, &path))
    return;
  Request request = MakeRequest(std::move(exchange), service, path);
  request.context.id = RandomId(random_);
  const state::Classification rule =
      configuration_->Classify(service, request.call.method, path);
  request.context.importance = rule.importance;
  request.context.repeatable = rule.repeatable;
  request.context.deadline = request.received + rule.answer_within;
  request.context.allotment = configuration_->limits().retry_allotment;
  if (!rule.repeatable)
    request.context.idempotency_key = FieldOf(
        request.exchange->request().headers, protocol::kIdempotencyKeyField);
  if (!AdmitAtEntry(request))
    return;
  ResolveExecutor(AddRequest(std::move(request)));
}

void RequestHandler::HandleSubCall(std::shared_ptr<HttpExchange> exchange) {
  std::string_view service;
  std::string path;
  if (!CheckService(exchange, &service, &path))
    return;
  const std::vector<protocol::Header>& headers = exchange->request().headers;
  const auto ticket =
      protocol::ParseTicket(FieldOf(headers, protocol::kBaggageField));
  const std::string key(FieldOf(headers, protocol::kIdempotencyKeyField));
  Request request = MakeRequest(std::move(exchange), service, path);
  request.from_caller = false;
  const state::Classification rule =
      configuration_->Classify(service, request.call.method, path);
  request.context.id = RandomId(random_);
  request.context.importance = rule.importance;
  request.context.deadline = request.received + rule.answer_within;
  // A sub-call without a ticket has no retries. Otherwise a backend server that
  // drops the headers would exceed the bound on retries of the whole request.
  request.context.allotment = 0;
  request.context.depth = 1;
  const state::RequestContext* parent =
      ticket ? executor_.ledger().FindContext(*ticket) : nullptr;
  if (ticket && !parent) {
    Refuse(request, ResultCode::kUnknownTicket, RunState::kNotRun,
           "the request that the ticket names is over", state::Duration(0));
    return;
  }
  if (parent) {
    request.ticket = *ticket;
    request.context.id = parent->id;
    request.context.importance = parent->importance;
    request.context.deadline =
        std::min(request.context.deadline, parent->deadline);
    request.context.depth = parent->depth + 1;
    executor_.OnSubCallStarted(*ticket);
  }
  request.context.repeatable = rule.repeatable;
  if (!rule.repeatable)
    request.context.idempotency_key = key;
  ResolveExecutor(AddRequest(std::move(request)));
}

void RequestHandler::OnClaimReply(const coordination::ClaimTableReply& reply) {
  ResolveClaims(claims_.OnBatchResult(reply, Now()));
  SendClaimBatches();
}

RequestHandler::Request RequestHandler::MakeRequest(
    std::shared_ptr<HttpExchange> exchange,
    std::string_view service,
    std::string_view path) const {
  Request request;
  request.received = Now();
  const HttpRequest& http = exchange->request();
  request.call.service = service;
  request.call.method = http.method;
  request.call.path = path;
  request.call.body = http.body;
  for (const protocol::Header& header : http.headers) {
    if (!protocol::IsStrippedField(header.name))
      request.call.headers.push_back(header);
  }
  const std::string_view credentials = FieldOf(http.headers, "Authorization");
  if (!credentials.empty())
    request.call.caller_identity = state::HashOf(credentials);
  request.exchange = std::move(exchange);
  return request;
}

// Parses the target of a request. If it does not name a service of the
// inventory, sends an error response and returns false.
bool RequestHandler::CheckService(const std::shared_ptr<HttpExchange>& exchange,
                                  std::string_view* service,
                                  std::string* path) {
  const auto refuse = [this, &exchange](ResultCode code,
                                        std::string_view detail) {
    // All these are counted under one name: the number of metric series is
    // bounded, and names made up by callers would displace those of the
    // inventory's services.
    metrics_.CountRequest("unknown", code, state::Duration(0));
    RespondProblem(exchange, code, RunState::kNotRun, detail, {},
                   state::Duration(0));
    return false;
  };
  const std::string& target = exchange->request().target;
  if (target.starts_with(kReservedPrefix))
    return refuse(ResultCode::kNotPermitted,
                  "this port does not serve the node's own paths");
  if (!protocol::SplitTarget(target, service, path))
    return refuse(ResultCode::kUnknownService, "the path names no service");
  if (configuration_->version() == 0)
    return refuse(ResultCode::kNoConfiguration,
                  "the node has not received a configuration");
  if (!configuration_->FindService(*service))
    return refuse(ResultCode::kUnknownService,
                  fmt::format("no service '{}' in the inventory", *service));
  return true;
}

void RequestHandler::IssueKeys(const std::shared_ptr<HttpExchange>& exchange,
                               const std::string& target) {
  const std::string_view rest =
      std::string_view(target).substr(kKeysPrefix.size());
  const std::string service(rest.substr(0, rest.find('?')));
  if (!configuration_->FindService(service)) {
    RespondProblem(exchange, ResultCode::kUnknownService, RunState::kNotRun,
                   "no such service in the inventory", {}, state::Duration(0));
    return;
  }
  const std::uint32_t count = ParseKeyCount(rest);
  dispatcher_.WhenServersKnown(
      service, [this, exchange, service, count, alive = alive_] {
        if (!*alive)
          return;
        std::string keys;
        for (std::uint32_t i = 0; i < count; ++i) {
          const auto executor = dispatcher_.ChooseExecutor(service);
          if (!executor) {
            RespondProblem(exchange, ResultCode::kNoBackendServer,
                           RunState::kNotRun, "no backend server is known", {},
                           coordination::JitteredRetryAfter(
                               coordination::kEntryDrainTime, random_));
            return;
          }
          coordination::KeyBinding key;
          key.executor = *executor;
          key.issued_ms = state::WallMilliseconds(WallNow());
          key.random = random_();
          keys += fmt::format("{}\"{}\"", keys.empty() ? "" : ",",
                              coordination::FormatKey(key));
        }
        HttpResponse response;
        response.headers = {{"Content-Type", "application/json"}};
        response.body = fmt::format("{{\"keys\":[{}]}}", keys);
        exchange->Respond(std::move(response));
      });
}

bool RequestHandler::AdmitAtEntry(Request& request) {
  const state::Instant now = request.received;
  // The run state of a refusal here. A request with an idempotency key may have
  // run earlier at its executor, which does not take part in this decision.
  const RunState refusal_run_state = request.context.idempotency_key.empty()
                                         ? RunState::kNotRun
                                         : RunState::kUnknown;
  const auto retry_after = [this] {
    return coordination::JitteredRetryAfter(coordination::kEntryDrainTime,
                                            random_);
  };
  if (requests_.size() >= options_.max_requests_in_progress) {
    Refuse(request, ResultCode::kNodeBusy, refusal_run_state,
           "the node has too many requests in progress", retry_after());
    return false;
  }
  const std::string& service = request.call.service;
  if (options_.shed_at_entry &&
      dispatcher_.thresholds().ShouldShed(
          service, configuration_->DownstreamServices(service),
          request.context.priority(), now)) {
    Refuse(request, ResultCode::kShedAtEntry, refusal_run_state,
           "the service is overloaded", retry_after());
    return false;
  }
  const std::string_view traceparent =
      FieldOf(request.exchange->request().headers, protocol::kTraceparentField);
  const auto trace = protocol::ParseTraceparent(traceparent);
  const auto repeat_key = coordination::RepeatKeyOf(
      request.call.caller_identity, request.context.idempotency_key,
      trace ? state::ToHex(*trace) : std::string(), service,
      request.call.method, request.call.path);
  const auto admission = entries_.Admit(repeat_key, request.context, now);
  if (admission.verdict == coordination::CallerRepeatTable::Verdict::kSpent) {
    Refuse(request, ResultCode::kRetryBudgetSpent, RunState::kUnknown,
           "the request was repeated too often", retry_after());
    return false;
  }
  if (admission.verdict == coordination::CallerRepeatTable::Verdict::kFull) {
    Refuse(request, ResultCode::kNodeBusy, refusal_run_state,
           "the table of requests is full", retry_after());
    return false;
  }
  request.ticket = admission.ticket;
  request.is_repeat =
      admission.verdict == coordination::CallerRepeatTable::Verdict::kRepeat;
  return true;
}

RequestHandler::RequestKey RequestHandler::AddRequest(Request request) {
  const RequestKey key = next_key_++;
  const std::string_view traceparent =
      FieldOf(request.exchange->request().headers, protocol::kTraceparentField);
  const auto trace = protocol::ParseTraceparent(traceparent);
  request.call.headers.push_back(
      {std::string(protocol::kTraceparentField),
       protocol::FormatTraceparent(trace.value_or(request.context.id),
                                   random_() | 1)});
  request.call.request_id = request.context.id;
  request.call.importance = request.context.importance;
  request.call.repeatable = request.context.repeatable;
  request.call.depth = request.context.depth;
  request.call.idempotency_key = request.context.idempotency_key;
  request.exchange->OnAbandoned([this, key, alive = alive_] {
    if (*alive)
      OnAbandoned(key);
  });
  requests_.emplace(key, std::move(request));
  return key;
}

// Sends the request to the executor to which its idempotency key is bound, or
// to any server if it has no key. Keys made up by callers are claimed first.
void RequestHandler::ResolveExecutor(RequestKey key) {
  Request& request = requests_.at(key);
  const std::string& text = request.call.idempotency_key;
  if (text.empty()) {
    Send(key, std::nullopt);
    return;
  }
  if (!coordination::HasKeyPrefix(text)) {
    if (text.size() <= coordination::kMaxCallerKeyLength) {
      dispatcher_.WhenServersKnown(request.call.service,
                                   [this, key, alive = alive_] {
                                     if (*alive)
                                       ClaimKey(key);
                                   });
      return;
    }
  } else if (const auto binding = coordination::ParseKey(text)) {
    Send(key, binding->executor);
    return;
  }
  OnAnswer(key, FailedAnswer(request.call, ResultCode::kMalformedKey,
                             RunState::kNotRun,
                             "the Idempotency-Key can't be read"));
}

void RequestHandler::ClaimKey(RequestKey key) {
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return;
  Request& request = found->second;
  const auto executor = dispatcher_.ChooseExecutor(request.call.service);
  if (!executor) {
    OnAnswer(key,
             FailedAnswer(request.call, ResultCode::kNoBackendServer,
                          RunState::kUnknown, "no backend server is known"));
    return;
  }
  coordination::Claim claim;
  claim.waiter = key;
  claim.row.key = coordination::ClaimRowKey(request.call.service,
                                            request.call.caller_identity,
                                            request.call.idempotency_key);
  claim.row.executor = *executor;
  claim.row.issued_ms = state::WallMilliseconds(WallNow());
  claim.deadline = request.context.deadline;
  if (!claims_.Add(claim, Now())) {
    OnAnswer(key, FailedAnswer(request.call, ResultCode::kNodeBusy,
                               RunState::kUnknown,
                               "too many keys wait to be bound"));
    return;
  }
  SendClaimBatches();
}

void RequestHandler::ResolveClaims(
    const std::vector<coordination::ClaimResolution>& resolutions) {
  using Verdict = coordination::ClaimResolution::Verdict;
  for (const coordination::ClaimResolution& resolution : resolutions) {
    const auto found = requests_.find(resolution.waiter);
    if (found == requests_.end())
      continue;
    if (resolution.verdict == Verdict::kUnavailable) {
      OnAnswer(resolution.waiter,
               FailedAnswer(found->second.call, ResultCode::kClaimUnavailable,
                            RunState::kUnknown,
                            "the platform does not answer; this request did "
                            "not run, an earlier one with the key may have"));
      continue;
    }
    const coordination::KeyBinding binding =
        coordination::BindingOf(resolution.row);
    found->second.call.idempotency_key = coordination::FormatKey(binding);
    Send(resolution.waiter, binding.executor);
  }
}

void RequestHandler::SendClaimBatches() {
  const state::Instant now = Now();
  while (auto batch = claims_.NextBatch(now))
    send_claims_(std::move(*batch));
  const auto next_wake = claims_.NextWake();
  if (!next_wake || *next_wake >= claims_timer_at_)
    return;
  claims_timer_at_ = *next_wake;
  deadlines_.Schedule(*next_wake, [this] {
    claims_timer_at_ = state::Instant::max();
    ResolveClaims(claims_.Tick(Now()));
    SendClaimBatches();
  });
}

void RequestHandler::Send(RequestKey key,
                          std::optional<state::NodeIncarnation> target) {
  Request& request = requests_.at(key);
  DispatchRequest dispatch_request;
  dispatch_request.request = request.call;
  dispatch_request.deadline = request.context.deadline;
  dispatch_request.target = target;
  dispatch_request.ledger =
      request.from_caller ? &entries_.ledger() : &executor_.ledger();
  dispatch_request.ticket = request.ticket;
  request.call.body.clear();
  request.dispatch_handle = dispatcher_.Dispatch(
      std::move(dispatch_request),
      [this, key, alive = alive_](const protocol::CallAnswer& answer) {
        if (*alive)
          OnAnswer(key, answer);
      });
}

void RequestHandler::OnAnswer(RequestKey key,
                              const protocol::CallAnswer& answer) {
  auto node = requests_.extract(key);
  if (node.empty())
    return;
  Request& request = node.mapped();
  // A repeat that has not run is not deducted from the allotment. Otherwise a
  // few refusals for overload would make every further repeat of the request be
  // refused.
  if (request.is_repeat && answer.run_state == RunState::kNotRun)
    entries_.ledger().Refund(request.ticket);
  if (request.from_caller)
    entries_.Finish(request.ticket);
  else if (request.ticket != 0)
    executor_.OnSubCallEnded(request.ticket);
  Respond(request, answer);
}

void RequestHandler::FailAllInFlight() {
  std::vector<RequestKey> keys;
  keys.reserve(requests_.size());
  for (const auto& [key, request] : requests_)
    keys.push_back(key);
  for (const RequestKey key : keys) {
    const auto found = requests_.find(key);
    if (found == requests_.end())
      continue;
    claims_.Cancel(key);
    dispatcher_.Cancel(found->second.dispatch_handle);
    OnAnswer(key, FailedAnswer(found->second.call, ResultCode::kLeaving,
                               RunState::kUnknown, "the node was stopped"));
  }
}

void RequestHandler::OnAbandoned(RequestKey key) {
  auto node = requests_.extract(key);
  if (node.empty())
    return;
  Request& request = node.mapped();
  claims_.Cancel(key);
  dispatcher_.Cancel(request.dispatch_handle);
  if (request.from_caller)
    entries_.Finish(request.ticket);
  else if (request.ticket != 0)
    executor_.OnSubCallEnded(request.ticket);
  metrics_.CountRequest(request.call.service, ResultCode::kCancelled,
                        Now() - request.received);
}

void RequestHandler::Respond(const Request& request,
                             const protocol::CallAnswer& answer) {
  if (!state::IsAnswered(answer.result)) {
    Refuse(request, answer.result, answer.run_state, answer.detail,
           answer.retry_after);
    return;
  }
  metrics_.CountRequest(request.call.service, answer.result,
                        Now() - request.received);
  LogResult(request, answer);
  HttpResponse response;
  response.status = answer.http_status;
  response.headers = answer.headers;
  response.headers.push_back({std::string(protocol::kResultField),
                              std::to_string(static_cast<int>(answer.result))});
  response.headers.push_back({std::string(protocol::kRequestIdField),
                              state::ToHex(request.context.id)});
  response.body = answer.body;
  request.exchange->Respond(std::move(response));
}

void RequestHandler::Refuse(const Request& request,
                            ResultCode code,
                            RunState run_state,
                            std::string detail,
                            state::Duration retry_after) {
  metrics_.CountRequest(request.call.service, code, Now() - request.received);
  protocol::CallAnswer answer =
      FailedAnswer(request.call, code, run_state, std::move(detail));
  LogResult(request, answer);
  // Every 503 response carries a Retry-After.
  if (retry_after == state::Duration(0) &&
      state::InfoOf(code).http_status == 503)
    retry_after = coordination::JitteredRetryAfter(
        coordination::kEntryDrainTime, random_);
  RespondProblem(request.exchange, code, run_state, answer.detail,
                 request.context.id, retry_after);
}

void RequestHandler::LogResult(const Request& request,
                               const protocol::CallAnswer& answer) {
  const state::Duration latency = Now() - request.received;
  const bool answered = state::IsAnswered(answer.result);
  if (answered && latency < kSlowRequest)
    return;
  log_.Write(
      ThreadRole::kData, answered ? LogLevel::kInfo : LogLevel::kWarning,
      answered ? "slow_request" : "request_failed",
      {{"request_id", state::ToHex(request.context.id)},
       {"service", request.call.service},
       {"result", std::to_string(static_cast<int>(answer.result))},
       {"run_state", std::string(state::ToString(answer.run_state))},
       {"importance", std::string(state::ToString(request.context.importance))},
       {"latency_us", std::to_string(latency.count())},
       {"configuration_version", std::to_string(configuration_->version())},
       {"detail", answer.detail}});
}

void RequestHandler::Tick() {
  entries_.Tick(Now());
  deadlines_.Schedule(Now() + kTickInterval, [this, alive = alive_] {
    if (*alive)
      Tick();
  });
}

}  // namespace sesamespread::transport
