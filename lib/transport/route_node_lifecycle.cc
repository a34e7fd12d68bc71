/// \file
/// Periodic work, gauges, signals, settings reload and graceful shutdown of a
/// route node.
#include "route_node_impl.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

namespace sesamespread::transport {
namespace {

using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval of the periodic work on links, the backend server and the shutdown.
constexpr Duration kTickInterval = coordination::StallDetector::kTickInterval;

/// Interval between checks of the settings file, which may change without a
/// SIGHUP.
constexpr Duration kSettingsCheckInterval = seconds(1);

/// Shortest time from SIGTERM to the close of the ports. Callers check
/// readiness once a second and need two checks to detect that this node is
/// stopping.
constexpr Duration kMinShutdownTime = milliseconds(2600);

/// Time from SIGTERM until new requests of callers are refused. Requests that
/// start later might not end before the process does.
constexpr Duration kRefuseCallersDelay = milliseconds(2900);

/// The ports close this long before the shutdown timeout, at which the process
/// may be killed.
constexpr Duration kShutdownMargin = milliseconds(300);

/// Shortest time from the close of the ports to the end of the process, in
/// which pending writes complete.
constexpr Duration kFinalWriteTime = milliseconds(100);

/// The process ends this long before the shutdown timeout also if callers still
/// read answers.
constexpr Duration kEndMargin = milliseconds(100);

}  // namespace

void RouteNode::Impl::Tick() {
  const Instant now = Now();
  stalls_.OnTick(now);
  if (!shutdown_at_)
    directory_.OpenMissingLinks(now);
  CheckBackend(now);
  CheckShutdown(now);
  PullRoutes();
  ReadOrWatchDocument();
  RepeatAnnouncement(now);
  CheckDocumentAge(now);
  UpdateQuotaNodes(now);
  if (now - last_settings_check_ >= kSettingsCheckInterval) {
    last_settings_check_ = now;
    if (settings_file_.HasChanged())
      ReloadSettings("file changed");
  }
  deadlines_.Schedule(now + kTickInterval, [this] { Tick(); });
}

void RouteNode::Impl::CheckDocumentAge(Instant now) {
  if (settings_.revocation_timeout <= Duration(0) || !routes_)
    return;
  const bool are_current = document_freshness_.IsFresh(now);
  if (std::exchange(were_keys_current_, are_current) == are_current)
    return;
  const auto age = document_freshness_.Age(now);
  Log(are_current ? LogLevel::kInfo : LogLevel::kWarning,
      are_current ? "keys_current" : "keys_outdated",
      {{"version", std::to_string(version())},
       {"age_us", age ? std::to_string(age->count()) : "unknown"},
       {"store_connected", document_watch_.is_connected() ? "true" : "false"},
       {"era", std::to_string(store_era_)}});
}

NodeGauges RouteNode::Impl::Gauges() const {
  const Instant now = Now();
  const auto age = [now](Instant then) {
    return std::chrono::duration<double>(now - then).count();
  };
  const coordination::QueueLoad load = backend_executor_.load();
  NodeGauges gauges;
  gauges.in_progress = load.in_progress;
  gauges.queued = load.queued;
  gauges.limit = load.limit;
  gauges.server_rate_limit = backend_executor_.rate_limit().value_or(0);
  gauges.server_requests =
      static_cast<double>(backend_executor_.sent_requests());
  gauges.threshold = backend_executor_.threshold();
  gauges.configuration_version = static_cast<double>(version());
  gauges.nodes_known = static_cast<double>(directory_.known_nodes());
  gauges.nodes_alive = static_cast<double>(directory_.open_links());
  gauges.isolated = directory_.open_links() == 0 ? 1 : 0;
  gauges.links_open = static_cast<double>(directory_.open_links());
  gauges.unmatched_answers = static_cast<double>(outbound_.unmatched_answers());
  gauges.servers_available =
      static_cast<double>(directory_.available_servers());
  gauges.store_age_seconds = age(last_store_answer_);
  gauges.store_era = static_cast<double>(store_era_);
  gauges.store_version =
      static_cast<double>(document_watch_.position().version);
  gauges.store_clock_errors = static_cast<double>(store_clock_errors_);
  gauges.report_age_seconds =
      age(std::max(registry_.reported_at(), started_at_));
  gauges.memory_held_bytes = static_cast<double>(memory_.held());
  gauges.memory_bound_bytes = static_cast<double>(memory_.bound());
  gauges.memory_refusals = static_cast<double>(memory_.refusals());
  gauges.log_lines_lost = static_cast<double>(log_.lost_line_count());
  const QuotaCounters& quota = quota_.counters();
  gauges.quota_admitted = static_cast<double>(quota.admitted);
  gauges.quota_refused = static_cast<double>(quota.refused);
  gauges.quota_waited = static_cast<double>(quota.waited);
  gauges.quota_messages =
      static_cast<double>(quota.reports_sent + quota.grants_sent);
  gauges.quota_coordinator_changes =
      static_cast<double>(quota.coordinator_changes);
  return gauges;
}

void RouteNode::Impl::WaitForSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error)
          return;
        if (signal == SIGHUP) {
          ReloadSettings("signal");
        } else if (!shutdown_at_) {
          StartShutdown();
        }
        WaitForSignal();
      });
}

void RouteNode::Impl::ReloadSettings(std::string_view reason) {
  state::RouteNodeSettings read;
  try {
    read = settings_file_.Read();
  } catch (const state::Error& error) {
    Log(LogLevel::kError, "settings_invalid",
        {{"reason", std::string(reason)}, {"detail", error.what()}});
    return;
  }
  const auto changes = state::CompareSettings(settings_, read);
  for (const state::SettingsChange& change : changes)
    Log(change.needs_restart ? LogLevel::kWarning : LogLevel::kInfo,
        change.needs_restart ? "setting_needs_restart" : "setting_changed",
        {{"field", change.field}});
  settings_ = state::MergeRuntimeSettings(settings_, read);
  log_.SetLevel(settings_.log_level);
  entry_.SetRetryRatio(settings_.retries.ratio);
  document_freshness_.set_max_age(MaxDocumentAge(settings_));
  Log(LogLevel::kInfo, "settings_reloaded",
      {{"reason", std::string(reason)},
       {"changes", std::to_string(changes.size())}});
}

void RouteNode::Impl::StartShutdown() {
  shutdown_at_ = Now();
  Log(LogLevel::kInfo, "shutdown_started",
      {{"entry_requests", std::to_string(entry_.in_flight())},
       {"server_calls", std::to_string(backend_executor_.in_flight())}});
  entry_server_.StartDraining();
  backend_executor_.StopNewWork(QueueDrainTime());
  AnnounceBackendState();
}

void RouteNode::Impl::CheckShutdown(Instant now) {
  if (!shutdown_at_)
    return;
  const Duration elapsed = now - *shutdown_at_;
  const bool is_idle =
      entry_.in_flight() == 0 && backend_executor_.in_flight() == 0 &&
      inbound_.in_flight() == 0 && entry_server_.unfinished_answers() == 0;
  const Duration last_close = settings_.shutdown_timeout - kShutdownMargin;
  const bool must_end = elapsed >= last_close;
  if (elapsed >= kRefuseCallersDelay)
    entry_.RefuseCallers(*shutdown_at_ + last_close);
  if (!ports_closed_at_ &&
      ((is_idle && elapsed >= kMinShutdownTime) || must_end)) {
    ports_closed_at_ = now;
    Log(LogLevel::kInfo, "ports_closed",
        {{"idle", is_idle ? "true" : "false"},
         {"elapsed_us", std::to_string(elapsed.count())},
         {"entry_requests", std::to_string(entry_.in_flight())},
         {"unfinished_answers",
          std::to_string(entry_server_.unfinished_answers())},
         {"server_calls", std::to_string(backend_executor_.in_flight())}});
    // A request that is read from now on could not be answered by a server.
    entry_.RefuseRequests();
    entry_.FailRequests();
    entry_server_.StopAccepting();
    report_server_.StopAccepting();
    ready_server_.StopAccepting();
  }
  if (!ports_closed_at_ || now - *ports_closed_at_ < kFinalWriteTime)
    return;
  if (entry_server_.unfinished_answers() == 0 ||
      elapsed >= settings_.shutdown_timeout - kEndMargin)
    context_.stop();
}

}  // namespace sesamespread::transport
