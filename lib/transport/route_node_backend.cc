/// \file
/// The backend server beside a route node: what the node tells of it, and
/// whether it answers.
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

/// A backend server that takes longer for a health check isn't well.
constexpr Duration kHealthTimeout = seconds(1);

/// Pause between health checks of a backend server that is down.
constexpr Duration kHealthInterval = milliseconds(400);

/// Reports that a backend server may miss before its silence counts.
constexpr double kMissedReports = 2.2;

/// Time without an answer after which a silent backend server with calls in
/// progress counts as down.
constexpr Duration kAnswerSilence = milliseconds(1500);

/// Queued calls are sent until this long before the end of the drain time.
constexpr Duration kDrainMargin = milliseconds(400);

}  // namespace

void RouteNode::Impl::ApplyBackend() {
  const auto& backend = registry_.current();
  door_.SetBackend(backend);
  is_backend_down_ = false;
  if (!backend->service.empty())
    entry_.SetCaller(backend->service);
  if (backend->leaving) {
    door_.StopNewWork(QueuedWorkTime());
  } else if (shutdown_at_) {
    door_.StopNewWork(Duration(0));
  }
  AnnounceServer();
}

Duration RouteNode::Impl::QueuedWorkTime() const {
  return std::max(settings_.drain - kDrainMargin, Duration(0));
}

void RouteNode::Impl::AnnounceServer() {
  const state::NodeRecord& self = directory_.self();
  const state::BackendState state =
      is_backend_down_ ? state::BackendState::kAbsent : door_.state();
  const std::string service =
      door_.backend() ? door_.backend()->service : settings_.service;
  if (self.service == service && self.backend_state == state)
    return;
  directory_.SetOwnServer(service, state);
  Log(LogLevel::kInfo, "own_server_changed",
      {{"service", service},
       {"state", std::string(state::ToString(state))},
       {"instance",
        door_.backend() ? door_.backend()->identity.instance : ""}});
  inbound_.Broadcast(protocol::NodeRecordsPush{{directory_.self()}, 1, 1});
}

void RouteNode::Impl::CheckBackend(Instant now) {
  if (!registry_.takes_work() || shutdown_at_)
    return;
  if (is_backend_down_) {
    if (!is_health_pending_ && now >= next_health_)
      CheckHealth();
    return;
  }
  if (door_.is_unreachable()) {
    MarkBackendDown("no connection");
    return;
  }
  const auto silence = std::chrono::duration_cast<Duration>(
      settings_.report_interval * kMissedReports);
  const bool is_silent = now - registry_.reported_at() > silence;
  if (is_silent && door_.load().in_progress > 0 &&
      now - door_.last_answer() > kAnswerSilence)
    MarkBackendDown("neither reports nor answers");
}

void RouteNode::Impl::MarkBackendDown(std::string_view reason) {
  is_backend_down_ = true;
  next_health_ = Now() + kHealthInterval;
  Log(LogLevel::kWarning, "backend_down",
      {{"reason", std::string(reason)},
       {"report_age_us",
        std::to_string((Now() - registry_.reported_at()).count())},
       {"in_progress", std::to_string(door_.load().in_progress)}});
  door_.StopNewWork(Duration(0));
  door_.AbandonIdempotent();
  AnnounceServer();
}

void RouteNode::Impl::MarkBackendUp(std::string_view reason) {
  if (!is_backend_down_ || shutdown_at_)
    return;
  is_backend_down_ = false;
  Log(LogLevel::kInfo, "backend_up", {{"reason", std::string(reason)}});
  door_.ResumeNewWork();
  AnnounceServer();
}

std::string RouteNode::Impl::HealthPath() const {
  if (routes_) {
    for (const state::RoutedService& service : routes_->services) {
      if (service.name == settings_.service && !service.health_path.empty())
        return service.health_path;
    }
  }
  return interface_.health_path;
}

void RouteNode::Impl::CheckHealth() {
  is_health_pending_ = true;
  next_health_ = Now() + kHealthInterval;
  HttpRequest request;
  request.target = HealthPath();
  request.headers = {{"Connection", "close"}};
  health_client_.Send(
      settings_.backend, std::move(request), Now() + kHealthTimeout,
      [this](const HttpOutcome& outcome) { OnHealth(outcome); });
}

void RouteNode::Impl::OnHealth(const HttpOutcome& outcome) {
  is_health_pending_ = false;
  if (outcome.kind != HttpOutcomeKind::kAnswered ||
      outcome.response.status != 200)
    return;
  const std::string instance(
      FieldOf(outcome.response.headers, interface_.fields.instance));
  const auto& current = registry_.current();
  if (!current) {
    if (unconfirmed_)
      return;
    const auto load = ParseServerLoad(
        FieldOf(outcome.response.headers, interface_.fields.load));
    unconfirmed_.emplace();
    unconfirmed_->identity.instance = instance;
    unconfirmed_->slots = load ? load->slots : 0;
    ConfirmBackend();
    return;
  }
  if (current->identity.instance == instance)
    MarkBackendUp("health check");
}

}  // namespace sesamespread::transport
