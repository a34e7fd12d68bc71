/// \file
/// Sends calls to backend servers and decides about retries.
#include "sesamespread/transport/call_dispatcher.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "sesamespread/transport/inbound_calls.h"
#include "sesamespread/transport/random_seed.h"

namespace sesamespread::transport {
namespace {

using state::ResultCode;
using state::RunState;

// How long a call waits for the first list of servers of its service.
constexpr state::Duration kServersTimeout = std::chrono::milliseconds(200);

// Calls of a service that may wait for that list.
constexpr std::size_t kMaxWaitingCalls = 1024;

// No usable answer will arrive after a lost link, a timeout or a digest
// mismatch, so the allotment that the callee used is unknown. Every other
// result was reported by the executing node or stands for a call that was not
// sent.
bool IsAnswerLost(const protocol::CallAnswer& answer) {
  return answer.run_state != RunState::kNotRun &&
         (answer.result == ResultCode::kLinkLost ||
          answer.result == ResultCode::kTimedOut ||
          answer.result == ResultCode::kDigestMismatch);
}

// Results that are no evidence of a server's health or load.
bool IsUnrelatedToServer(ResultCode code) {
  return code == ResultCode::kCancelled || code == ResultCode::kExecutorGone ||
         code == ResultCode::kInProgress || code == ResultCode::kKeyReused ||
         code == ResultCode::kMalformedKey || code == ResultCode::kKeyExpired ||
         code == ResultCode::kDeadlineBeforeStart;
}

// Results that this node may produce itself, without an answer of the executor.
// If the call's key is bound to that executor, an earlier request with the key
// may still have run there.
bool IsDecidedByThisNode(ResultCode code) {
  return code == ResultCode::kConnectFailed ||
         code == ResultCode::kDeadlineBeforeStart ||
         code == ResultCode::kNodeBusy;
}

bool IsFailure(ResultCode code) {
  return code == ResultCode::kLinkLost || code == ResultCode::kTimedOut ||
         code == ResultCode::kConnectFailed ||
         code == ResultCode::kTruncatedAnswer ||
         code == ResultCode::kBadBackendAnswer ||
         code == ResultCode::kDigestMismatch;
}

}  // namespace

CallDispatcher::CallDispatcher(boost::asio::io_context& context,
                               DeadlineQueue& deadlines,
                               state::NodeId self,
                               const std::string& zone,
                               CallExecutor& local,
                               OutboundCalls& outbound,
                               Metrics& metrics,
                               Subscribe subscribe)
    : context_(context),
      deadlines_(deadlines),
      self_(self),
      local_(local),
      outbound_(outbound),
      metrics_(metrics),
      subscribe_(std::move(subscribe)),
      random_(RandomSeed()),
      configuration_(std::make_shared<const state::Configuration>()),
      router_(self, zone) {}

CallDispatcher::~CallDispatcher() {
  *alive_ = false;
}

void CallDispatcher::SetConfiguration(
    std::shared_ptr<const state::Configuration> configuration) {
  configuration_ = std::move(configuration);
  std::map<std::string, std::string> regions;
  for (const auto& [name, zone] : configuration_->zones())
    regions.emplace(name, zone.region);
  router_.SetZones(std::move(regions));
  for (auto& [service, state] : services_) {
    if (state.known)
      router_.SetServers(service, state.servers, ShapeOf(service), Now());
  }
}

void CallDispatcher::SetServers(const std::string& service,
                                std::vector<state::NodeRecord> servers,
                                std::size_t nodes_known) {
  nodes_known_ = nodes_known;
  ServiceState& state = services_[service];
  state.known = true;
  state.servers = std::move(servers);
  router_.SetServers(service, state.servers, ShapeOf(service), Now());
  for (auto& ready : std::exchange(state.waiting, {}))
    ready();
}

void CallDispatcher::OnLeaveNotice(state::NodeId node,
                                   state::Incarnation incarnation) {
  for (auto& [service, state] : services_) {
    for (state::NodeRecord& record : state.servers) {
      if (record.node != node || record.incarnation != incarnation)
        continue;
      record.backend_state = state::BackendState::kLeaving;
      router_.SetServers(service, state.servers, ShapeOf(service), Now());
    }
  }
}

void CallDispatcher::WhenServersKnown(const std::string& service,
                                      std::function<void()> ready) {
  ServiceState& state = services_[service];
  if (!std::exchange(state.subscribed, true))
    subscribe_(service);
  if (state.known || state.waiting.size() >= kMaxWaitingCalls) {
    ready();
    return;
  }
  auto once = std::make_shared<std::function<void()>>(std::move(ready));
  auto run = [once] {
    if (*once)
      std::exchange(*once, nullptr)();
  };
  state.waiting.push_back(run);
  deadlines_.Schedule(Now() + kServersTimeout, run);
}

CallDispatcher::Handle CallDispatcher::Dispatch(DispatchRequest dispatch,
                                                AnswerCallback done) {
  const Handle handle = next_handle_++;
  Call& call = calls_[handle];
  const std::string service = dispatch.request.service;
  call.dispatch = std::move(dispatch);
  call.done = std::move(done);
  const state::Instant now = Now();
  call.attempt = call.dispatch.ledger->Reserve(call.dispatch.ticket, now);
  retry_budget_.OnFirstAttempt(now);
  WhenServersKnown(service, [this, handle, alive = alive_] {
    if (*alive)
      StartAttempt(handle);
  });
  return handle;
}

void CallDispatcher::Cancel(Handle handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end())
    return;
  Call& call = found->second;
  if (call.attempt_in_flight) {
    if (call.local)
      local_.Cancel(call.handle);
    else
      outbound_.Cancel(call.handle);
    router_.OnCancelled(call.node);
  }
  deadlines_.Cancel(call.retry_timer_id);
  call.dispatch.ledger->Finish(call.attempt.id);
  calls_.erase(found);
}

std::optional<state::NodeIncarnation> CallDispatcher::ChooseExecutor(
    const std::string& service) {
  const auto choice = router_.Choose(service, Now(), random_, {});
  if (!choice)
    return std::nullopt;
  return state::NodeIncarnation{choice->node, choice->incarnation};
}

std::vector<protocol::ServiceThreshold> CallDispatcher::DownstreamThresholds(
    const std::string& service) {
  std::vector<protocol::ServiceThreshold> thresholds;
  const state::Instant now = Now();
  for (const std::string& downstream :
       configuration_->DownstreamServices(service)) {
    // A threshold that sheds nothing is reported as well. Otherwise the entry
    // nodes would keep the last lower one until it expires and shed requests
    // for which there is capacity again.
    thresholds.push_back(
        {downstream, thresholds_.EntryThreshold(downstream, now)});
  }
  return thresholds;
}

void CallDispatcher::StartAttempt(Handle handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end())
    return;
  Call& call = found->second;
  call.retry_timer_id = 0;
  ++call.attempts;
  if (Now() >= call.dispatch.deadline) {
    PostFailure(handle, ResultCode::kDeadlineBeforeStart, RunState::kNotRun,
                "the deadline passed before the call was sent");
    return;
  }
  const state::NodeRecord* record = nullptr;
  if (!ChooseNode(call, &record)) {
    if (call.dispatch.target)
      PostFailure(handle, ResultCode::kExecutorGone, RunState::kUnknown,
                  "the node that the key is bound to is not known");
    else
      PostFailure(handle, ResultCode::kNoBackendServer, RunState::kNotRun,
                  "no backend server of the service is known");
    return;
  }
  Send(handle, call, *record);
}

bool CallDispatcher::ChooseNode(Call& call, const state::NodeRecord** record) {
  const std::string& service = call.dispatch.request.service;
  if (call.dispatch.target) {
    *record = FindServer(service, call.dispatch.target->node);
    return *record != nullptr &&
           (*record)->incarnation == call.dispatch.target->incarnation;
  }
  auto choice = router_.Choose(service, Now(), random_, call.tried);
  if (!choice)
    choice = router_.Choose(service, Now(), random_, {});
  if (!choice)
    return false;
  call.others_available = choice->others_available;
  *record = FindServer(service, choice->node);
  return *record != nullptr;
}

const state::NodeRecord* CallDispatcher::FindServer(const std::string& service,
                                                    state::NodeId node) const {
  const auto found = services_.find(service);
  if (found == services_.end())
    return nullptr;
  for (const state::NodeRecord& record : found->second.servers) {
    if (record.node == node)
      return &record;
  }
  return nullptr;
}

void CallDispatcher::Send(Handle handle,
                          Call& call,
                          const state::NodeRecord& record) {
  call.node = record.node;
  call.local = record.node == self_;
  call.sent = Now();
  call.attempt_in_flight = true;
  call.tried.push_back(record.node);
  router_.OnSent(record.node, call.sent);
  protocol::CallRequest request = call.dispatch.request;
  request.allotment = call.attempt.allotment;
  request.remaining = call.dispatch.deadline - call.sent;
  request.configuration_version = configuration_->version();
  request.target_incarnation =
      call.dispatch.target ? call.dispatch.target->incarnation : 0;
  auto done = [this, handle, alive = alive_](protocol::CallAnswer answer) {
    if (*alive)
      OnAnswer(handle, std::move(answer));
  };
  if (call.local)
    call.handle =
        local_.Execute(std::move(request), call.dispatch.deadline, done);
  else
    call.handle = outbound_.Call(
        record.node, record.peer, std::move(request), call.dispatch.deadline,
        configuration_->limits().max_answer_bytes, done);
}

void CallDispatcher::OnAnswer(Handle handle, protocol::CallAnswer answer) {
  const auto found = calls_.find(handle);
  if (found == calls_.end())
    return;
  Call& call = found->second;
  call.attempt_in_flight = false;
  RecordAnswer(call, answer);
  SettleAllotment(call, answer);
  if (answer.run_state != RunState::kNotRun)
    call.may_have_run = true;
  if (ScheduleRetry(handle, call, answer))
    return;
  Finish(handle, std::move(answer));
}

void CallDispatcher::RecordAnswer(const Call& call,
                                  const protocol::CallAnswer& answer) {
  const state::Instant now = Now();
  for (const protocol::ServiceThreshold& threshold : answer.thresholds)
    thresholds_.Observe(threshold.service, call.node, threshold.threshold, now);
  if (IsUnrelatedToServer(answer.result)) {
    router_.OnCancelled(call.node);
    return;
  }
  if (IsFailure(answer.result)) {
    router_.OnFailed(call.node, answer.result, now);
    return;
  }
  const coordination::LoadHint hint{answer.in_progress, answer.limit,
                                    answer.thresholds.empty()
                                        ? state::kPriorityCount
                                        : answer.thresholds.back().threshold,
                                    answer.backend_state};
  router_.OnAnswered(call.node, answer.result, now - call.sent, hint, now);
  if (answer.result == ResultCode::kLeaving) {
    if (const state::NodeRecord* record =
            FindServer(call.dispatch.request.service, call.node))
      OnLeaveNotice(call.node, record->incarnation);
  }
}

void CallDispatcher::SettleAllotment(Call& call,
                                     const protocol::CallAnswer& answer) {
  if (IsAnswerLost(answer))
    call.dispatch.ledger->Forfeit(call.attempt.id);
  else
    call.dispatch.ledger->Settle(call.attempt.id, answer.unused_allotment);
}

bool CallDispatcher::ScheduleRetry(Handle handle,
                                   Call& call,
                                   const protocol::CallAnswer& answer) {
  coordination::FailedAttempt failed;
  failed.result = answer.result;
  failed.run_state = answer.run_state;
  failed.repeatable = call.dispatch.request.repeatable || call.dispatch.target;
  failed.others_available = call.others_available && !call.dispatch.target;
  failed.attempts = call.attempts;
  failed.allotment = call.dispatch.ledger->Remaining(call.dispatch.ticket);
  failed.deadline = call.dispatch.deadline;
  const state::Instant now = Now();
  const coordination::RetryDecision decision = coordination::DecideRetry(
      failed, coordination::RetryPolicy(), retry_budget_, now, random_);
  if (decision.verdict != coordination::RetryVerdict::kRetry)
    return false;
  const auto next = call.dispatch.ledger->Retry(call.attempt.id, now);
  if (!next)
    return false;
  call.attempt = *next;
  metrics_.CountRetry(call.dispatch.request.service);
  call.retry_timer_id = deadlines_.Schedule(
      now + decision.delay, [this, handle] { StartAttempt(handle); });
  return true;
}

void CallDispatcher::PostFailure(Handle handle,
                                 ResultCode code,
                                 RunState run_state,
                                 const std::string& detail) {
  boost::asio::post(
      context_, [this, handle, code, run_state, detail, alive = alive_] {
        if (!*alive)
          return;
        const auto found = calls_.find(handle);
        if (found == calls_.end())
          return;
        protocol::CallRequest request = found->second.dispatch.request;
        request.allotment = found->second.attempt.allotment;
        protocol::CallAnswer answer =
            FailedAnswer(request, code, run_state, detail);
        found->second.dispatch.ledger->Settle(found->second.attempt.id,
                                              answer.unused_allotment);
        Finish(handle, std::move(answer));
      });
}

void CallDispatcher::Finish(Handle handle, protocol::CallAnswer answer) {
  auto node = calls_.extract(handle);
  Call& call = node.mapped();
  call.dispatch.ledger->Finish(call.attempt.id);
  // `not_run` must hold for all attempts, not only for the last one.
  const bool may_have_run =
      call.may_have_run ||
      (call.dispatch.target && IsDecidedByThisNode(answer.result));
  if (may_have_run && answer.run_state == RunState::kNotRun)
    answer.run_state = RunState::kUnknown;
  call.done(std::move(answer));
}

coordination::SubsetParameters CallDispatcher::ShapeOf(
    const std::string& service) const {
  coordination::SubsetParameters shape;
  const state::Service* found = configuration_->FindService(service);
  if (!found)
    return shape;
  // Only the local node connects to a backend server; other nodes open links to
  // that node. Half of its inbound links are reserved for entry nodes.
  shape.connections = kMaxInboundLinks / 2;
  std::size_t calling_services = 0;
  for (const auto& [name, caller] : configuration_->services())
    calling_services += static_cast<std::size_t>(
        std::count(caller.calls.begin(), caller.calls.end(), service));
  const std::size_t nodes_per_service =
      nodes_known_ / configuration_->services().size() + 1;
  shape.calling_nodes = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, calling_services * nodes_per_service));
  return shape;
}

}  // namespace sesamespread::transport
