/// \file
/// The backend server beside a route node: detects whether it is up, and
/// announces its state to the other nodes.
#include "route_node_impl.h"

#include <algorithm>
#include <chrono>

#include "sesamespread/transport/server_load.h"

namespace sesamespread::transport {
namespace {

using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Timeout of a health check.
constexpr Duration kHealthCheckTimeout = seconds(1);

/// Interval between health checks of a backend server that is down.
constexpr Duration kHealthCheckInterval = milliseconds(400);

/// Report intervals without a report after which a backend server counts as
/// silent.
constexpr double kMaxMissedReports = 2.2;

/// Time without an answer after which a silent backend server with calls in
/// progress counts as down.
constexpr Duration kMaxAnswerSilence = milliseconds(1500);

/// Last part of the drain time, in which no queued calls are sent any more.
constexpr Duration kDrainMargin = milliseconds(400);

}  // namespace

void RouteNode::Impl::ApplyBackendChange() {
  const auto& backend = registry_.current();
  backend_executor_.SetBackend(backend);
  const bool was_down = std::exchange(is_backend_down_, false);
  if (!backend->service.empty())
    entry_.SetCaller(backend->service);
  if (backend->leaving) {
    backend_executor_.StopNewWork(QueueDrainTime());
  } else if (shutdown_at_) {
    backend_executor_.StopNewWork(Duration(0));
  } else if (was_down) {
    backend_executor_.ResumeNewWork();
  }
  AnnounceBackendState();
}

Duration RouteNode::Impl::QueueDrainTime() const {
  return std::max(settings_.drain - kDrainMargin, Duration(0));
}

void RouteNode::Impl::AnnounceBackendState() {
  const state::NodeRecord& self = directory_.self();
  const state::BackendState state = is_backend_down_
                                        ? state::BackendState::kAbsent
                                        : backend_executor_.backend_state();
  const std::string service = backend_executor_.backend()
                                  ? backend_executor_.backend()->service
                                  : settings_.service;
  if (self.service == service && self.backend_state == state)
    return;
  directory_.SetOwnServer(service, state);
  Log(LogLevel::kInfo, "own_server_changed",
      {{"service", service},
       {"state", std::string(state::ToString(state))},
       {"instance", backend_executor_.backend()
                        ? backend_executor_.backend()->identity.instance
                        : ""}});
  inbound_.Broadcast(protocol::NodeRecordsPush{{directory_.self()}, 1, 1});
}

void RouteNode::Impl::CheckBackend(Instant now) {
  const bool is_unknown = !registry_.current() && !is_health_check_answered_;
  if ((!registry_.accepts_work() && !is_unknown) || shutdown_at_)
    return;
  if (is_backend_down_ || is_unknown) {
    if (!health_check_pending_ && now >= next_health_check_)
      StartHealthCheck();
    return;
  }
  if (backend_executor_.is_unreachable()) {
    MarkBackendDown("no connection");
    return;
  }
  const auto silence = std::chrono::duration_cast<Duration>(
      settings_.report_interval * kMaxMissedReports);
  const bool is_silent = now - registry_.reported_at() > silence;
  if (is_silent && backend_executor_.load().in_progress > 0 &&
      now - backend_executor_.last_answer() > kMaxAnswerSilence)
    MarkBackendDown("neither reports nor answers");
}

void RouteNode::Impl::MarkBackendDown(std::string_view reason) {
  is_backend_down_ = true;
  next_health_check_ = Now() + kHealthCheckInterval;
  Log(LogLevel::kWarning, "backend_down",
      {{"reason", std::string(reason)},
       {"report_age_us",
        std::to_string((Now() - registry_.reported_at()).count())},
       {"in_progress", std::to_string(backend_executor_.load().in_progress)}});
  backend_executor_.StopNewWork(Duration(0));
  backend_executor_.CancelIdempotentCalls();
  AnnounceBackendState();
}

void RouteNode::Impl::MarkBackendUp(std::string_view reason) {
  if (!is_backend_down_ || shutdown_at_)
    return;
  is_backend_down_ = false;
  Log(LogLevel::kInfo, "backend_up", {{"reason", std::string(reason)}});
  backend_executor_.ResumeNewWork();
  AnnounceBackendState();
}

std::string RouteNode::Impl::HealthCheckPath() const {
  if (routes_) {
    for (const state::RoutedService& service : routes_->services) {
      if (service.name == settings_.service && !service.health_path.empty())
        return service.health_path;
    }
  }
  return interface_.health_path;
}

void RouteNode::Impl::StartHealthCheck() {
  health_check_pending_ = true;
  const Instant sent = Now();
  next_health_check_ = sent + kHealthCheckInterval;
  HttpRequest request;
  request.target = HealthCheckPath();
  request.headers = {{"Connection", "close"}};
  health_client_.Send(settings_.backend, std::move(request),
                      sent + kHealthCheckTimeout,
                      [this, sent](const HttpOutcome& outcome) {
                        OnHealthCheckResult(outcome, sent);
                      });
}

void RouteNode::Impl::OnHealthCheckResult(const HttpOutcome& outcome,
                                          Instant sent) {
  health_check_pending_ = false;
  if (outcome.kind != HttpOutcomeKind::kAnswered)
    return;
  const std::string instance(
      FieldOf(outcome.response.headers, interface_.fields.instance));
  const auto& current = registry_.current();
  const bool states_leave =
      !FieldOf(outcome.response.headers, interface_.fields.leaving).empty();
  // A leaving server may fail its health check. Its leave may be unknown here,
  // and a late report may follow.
  if (!current && states_leave && !instance.empty()) {
    is_health_check_answered_ = true;
    RecordLeave({instance, 0});
    return;
  }
  if (outcome.response.status != 200)
    return;
  is_health_check_answered_ = true;
  if (!current || current->identity.instance == instance)
    backend_executor_.OnServerHeaders(outcome.response.headers, sent,
                                      /*may_lift_limit=*/true);
  if (!current) {
    if (states_leave)
      return;
    // A report of another instance is a late one of an earlier server.
    const bool is_reported =
        unconfirmed_report_ &&
        (instance.empty() ||
         instance == unconfirmed_report_->identity.instance);
    if (!is_reported) {
      const auto load = ParseServerLoad(
          FieldOf(outcome.response.headers, interface_.fields.load));
      unconfirmed_report_.emplace();
      unconfirmed_report_->identity.instance = instance;
      unconfirmed_report_->slots = load ? load->slots : 0;
    }
    ApplyUnconfirmedReport();
    return;
  }
  if (current->identity.instance == instance)
    MarkBackendUp("health check");
}

}  // namespace sesamespread::transport
