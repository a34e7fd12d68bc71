/// \file
/// Connects the components of a route node, serves its HTTP ports and handles
/// messages from peers.
#include "route_node_impl.h"

#include <unistd.h>

#include <chrono>
#include <utility>

#include "sesamespread/coordination/membership.h"
#include "sesamespread/protocol/codec.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::transport {
namespace {

using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum number of peers from which the records of all nodes are requested
/// before the table of nodes has been read. Each answer contains as many
/// records as there are nodes.
constexpr int kMaxRecordPulls = 2;

/// Timeout for receiving a caller's request, from its first byte to its last.
constexpr Duration kReceiveTimeout = seconds(10);

/// Idle timeout of callers' connections. It is longer than any operator's
/// document is likely to require; surplus connections are closed sooner.
constexpr Duration kCallerIdleTimeout = seconds(90);

/// Time from the first start of the system after which a node without routes
/// reads them itself, although other nodes watch for them.
constexpr Duration kBootstrapReaderWait = seconds(5);

constexpr std::size_t kMaxCallerHeaderBytes = 64 << 10;

/// A request has to fit into one frame between nodes, with its fields.
constexpr std::uint64_t kMaxCallerBodyBytes =
    protocol::kMaxFrameBytes - 4 * kMaxCallerHeaderBytes;

/// Bound on the requests that are being received together, a fifth of the
/// memory of the smallest hosts.
constexpr std::size_t kMaxCallerReceivedBytes = 32 << 20;

/// Bound on the answers that callers have yet to read together.
constexpr std::size_t kMaxCallerUnsentBytes = 32 << 20;

/// Bound on the body of a status report or of the answer to a health check,
/// which have some hundred bytes.
constexpr std::uint64_t kMaxReportBytes = 256 << 10;

/// Bound on the reports that are being received together.
constexpr std::size_t kMaxControlReceivedBytes = 4 << 20;

/// Part of the revocation timeout that is kept for the resolution and the drift
/// of the clocks.
constexpr Duration kRevocationMargin = milliseconds(500);

/// Shortest time between two requests for another node's reading of the store's
/// clock.
constexpr Duration kStoreClockPullInterval = milliseconds(300);

/// Bytes of a rejected request's method and target in the log.
constexpr std::size_t kMaxLoggedTargetBytes = 256;

/// Key of the document in a ConfigurationPush.
constexpr char kDocumentEntry[] = "document";

HttpServerOptions CallerServerOptions(std::size_t max_connections,
                                      MemoryAccount* memory) {
  HttpServerOptions options;
  options.memory = memory;
  options.max_connections = max_connections;
  options.max_header_bytes = kMaxCallerHeaderBytes;
  options.max_body_bytes = kMaxCallerBodyBytes;
  options.max_received_bytes = kMaxCallerReceivedBytes;
  options.max_unsent_bytes = kMaxCallerUnsentBytes;
  options.receive_timeout = kReceiveTimeout;
  options.idle_timeout = kCallerIdleTimeout;
  return options;
}

// Options of the servers for the backend server's reports and the platform's
// checks.
HttpServerOptions ControlServerOptions(MemoryAccount* memory) {
  HttpServerOptions options;
  options.memory = memory;
  options.max_body_bytes = kMaxReportBytes;
  options.max_received_bytes = kMaxControlReceivedBytes;
  return options;
}

HttpClientOptions HealthClientOptions(MemoryAccount* memory) {
  HttpClientOptions options;
  options.memory = memory;
  options.max_body_bytes = kMaxReportBytes;
  return options;
}

state::NodeRecord MakeOwnRecord(const state::RouteNodeSettings& settings,
                                std::uint64_t seed) {
  state::NodeRecord record;
  record.node = state::NodeIdOf(settings.name);
  record.incarnation = coordination::MakeIncarnation(WallNow(), seed);
  record.sequence = 1;
  record.name = settings.name;
  record.zone = settings.availability_zone;
  record.peer = settings.advertise;
  record.service = settings.service;
  return record;
}

protocol::Hello MakeHello(const state::NodeRecord& self) {
  return {self.node, self.incarnation, self.name};
}

coordination::StoreReaderOptions ReaderOptions(
    const state::RouteNodeSettings& settings) {
  coordination::StoreReaderOptions options;
  // At the first start of the system, no node has routes before the operator
  // has written them.
  if (settings.bootstrap)
    options.start_wait = kBootstrapReaderWait;
  return options;
}

EntryRequestHandler::Options EntryOptions(
    const state::RouteNodeSettings& settings,
    const FieldNames& fields,
    std::uint64_t seed) {
  EntryRequestHandler::Options options;
  options.self = state::NodeIdOf(settings.name);
  options.seed = seed;
  options.fields = fields;
  options.caller = settings.service;
  options.retries.ratio = settings.retries.ratio;
  options.retries.window = settings.retries.window;
  return options;
}

}  // namespace

Duration MaxDocumentAge(const state::RouteNodeSettings& settings) {
  if (settings.revocation_timeout <= Duration(0))
    return Duration(0);
  return std::max(settings.revocation_timeout - kRevocationMargin,
                  settings.revocation_timeout / 2);
}

HttpResponse JsonResponse(std::uint16_t status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = std::move(body);
  return response;
}

RouteNode::Impl::Impl(const state::RouteNodeSettings& settings,
                      std::string settings_path,
                      PlatformInterface interface)
    : settings_(settings),
      settings_file_(std::move(settings_path)),
      interface_(std::move(interface)),
      log_(settings.log_level, settings.name, STDOUT_FILENO),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      router_(state::NodeIdOf(settings.name), settings.availability_zone),
      backend_executor_(context_,
                        deadlines_,
                        interface_.fields,
                        metrics_,
                        log_,
                        &memory_),
      outbound_(
          context_,
          deadlines_,
          MakeHello(MakeOwnRecord(settings, seed_)),
          [this](state::NodeId node, const protocol::PeerMessage& message) {
            OnPeerMessage(
                message, [this, node](const protocol::PeerMessage& m) {
                  outbound_.SendControl(node, directory_.EndpointOf(node), m);
                });
          },
          &memory_),
      directory_(MakeOwnRecord(settings, seed_), outbound_, router_, log_),
      quota_(
          state::NodeIdOf(settings.name),
          deadlines_,
          log_,
          [this](state::NodeId node, const protocol::PeerMessage& message) {
            // Registered nodes that the directory has forgotten have no
            // address.
            const state::Endpoint endpoint = directory_.EndpointOf(node);
            if (endpoint.port != 0)
              outbound_.SendControl(node, endpoint, message);
          },
          seed_),
      entry_(
          deadlines_,
          EntryOptions(settings, interface_.fields, seed_),
          router_,
          backend_executor_,
          outbound_,
          [this](state::NodeId node) { return directory_.EndpointOf(node); },
          metrics_,
          log_),
      registry_(settings.backend),
      store_(interface_.open_store(context_)),
      health_client_(context_, HealthClientOptions(&memory_)),
      inbound_(
          context_,
          settings.listen.peer,
          MakeHello(directory_.self()),
          *this,
          [this](const protocol::PeerMessage& message, const Reply& reply) {
            OnPeerMessage(message, reply);
          },
          &memory_),
      entry_server_(context_,
                    settings.listen.entry,
                    EntryServerOptions(),
                    [this](std::shared_ptr<HttpExchange> exchange) {
                      entry_.Handle(std::move(exchange), stalls_.MaxAge(Now()));
                    }),
      report_server_(context_,
                     settings.listen.reports,
                     ControlServerOptions(&memory_),
                     [this](const std::shared_ptr<HttpExchange>& exchange) {
                       HandleReport(exchange);
                     }),
      ready_server_(context_,
                    settings.listen.ready,
                    ControlServerOptions(&memory_),
                    [this](const std::shared_ptr<HttpExchange>& exchange) {
                      HandleReady(exchange);
                    }),
      document_watch_({}, seed_),
      store_readers_(ReaderOptions(settings)) {
  outbound_.SetInitialMessages(
      [this](state::NodeId) { return InitialMessages(); });
  inbound_.SetInitialMessages([this] { return InitialMessages(); });
  outbound_.SetLinkObserver(
      [this](state::NodeId node, bool is_open, const std::string& reason) {
        directory_.OnLinkChange(node, is_open, reason);
        quota_.OnLinkChange(node, is_open);
      });
  backend_executor_.SetLeaveObserver([this] { OnStatedLeave(); });
  backend_executor_.SetCrashObserver(
      [this](const protocol::CrashReport& r) { BroadcastCrashReport(r); });
  document_freshness_.set_max_age(MaxDocumentAge(settings));
  entry_.SetKeyCheck([this] { return document_freshness_.IsFresh(Now()); });
  entry_.SetQuotaGate(&quota_);
  entry_.SetVersionObserver([this](state::NodeId node, std::uint64_t version) {
    OnPeerRoutesVersion(node, version);
  });
}

HttpServerOptions RouteNode::Impl::EntryServerOptions() {
  HttpServerOptions options =
      CallerServerOptions(settings_.max_connections, &memory_);
  options.on_rejection = [this](const Rejection& r) { OnRejection(r); };
  return options;
}

void RouteNode::Impl::OnRejection(const Rejection& rejection) {
  metrics_.CountAnswer(rejection.status, AnswerSource::kOwn, rejection.code);
  // A flood of refusals for lack of room must not suppress the lines of others.
  const std::string_view event = rejection.code == state::ResultCode::kNodeBusy
                                     ? "request_not_taken"
                                     : "request_rejected";
  if (!log_.ShouldLog(ThreadRole::kData, LogLevel::kInfo, event))
    return;
  static const HttpRequest kNothing;
  const HttpRequest& request =
      rejection.request ? *rejection.request : kNothing;
  Log(LogLevel::kInfo, event,
      {{"result", std::to_string(static_cast<int>(rejection.code))},
       {"status", std::to_string(rejection.status)},
       {"detail", std::string(rejection.detail)},
       {"request",
        std::string(FieldOf(request.headers, interface_.fields.request_id))},
       {"method", request.method.substr(0, kMaxLoggedTargetBytes)},
       {"target", request.target.substr(0, kMaxLoggedTargetBytes)},
       {"received_bytes", std::to_string(rejection.received_bytes)},
       {"earlier_requests", std::to_string(rejection.earlier_requests)}});
}

void RouteNode::Impl::Run() {
  Log(LogLevel::kInfo, "node_started",
      {{"zone", settings_.availability_zone},
       {"service", settings_.service},
       {"entry", state::ToString(settings_.listen.entry)},
       {"peer", state::ToString(settings_.listen.peer)},
       {"bootstrap", settings_.bootstrap ? "true" : "false"},
       {"incarnation", state::ToHex(directory_.self().incarnation)}});
  WaitForSignal();
  if (settings_.bootstrap)
    WriteOwnNodeRow({});
  else
    ReadNodeTable();
  RecoverLeaves();
  StartHealthCheck();
  Tick();
  context_.run();
  Log(LogLevel::kInfo, "node_stopped", {});
}

// --- Calls from other nodes

CallExecutor::Handle RouteNode::Impl::Execute(protocol::CallRequest request,
                                              Instant deadline,
                                              AnswerCallback done) {
  return backend_executor_.Execute(
      std::move(request), deadline - stalls_.MaxAge(Now()),
      [this, done = std::move(done)](protocol::CallAnswer answer) {
        answer.configuration_version = version();
        done(std::move(answer));
      });
}

// --- HTTP ports

void RouteNode::Impl::HandleReport(
    const std::shared_ptr<HttpExchange>& exchange) {
  const auto call = interface_.decode_backend_notice(exchange->request());
  if (!call) {
    Log(LogLevel::kWarning, "report_malformed",
        {{"target", exchange->request().target},
         {"bytes", std::to_string(exchange->request().body.size())}});
    exchange->Respond(JsonResponse(400, "{}"));
    return;
  }
  const Instant now = Now();
  const auto* report = std::get_if<state::BackendReport>(&*call);
  if (report && !report->leaving && !registry_.current()) {
    HoldFirstReport(*report);
    exchange->Respond(JsonResponse(200, "{}"));
    return;
  }
  const state::BackendInstance& identity =
      report ? report->identity : std::get<BackendLeaveNotice>(*call).identity;
  const auto outcome =
      report ? registry_.Apply(*report, now)
             : registry_.ApplyLeave(identity,
                                    state::WallMilliseconds(WallNow()), now);
  using coordination::ReportOutcome;
  if (outcome == ReportOutcome::kChanged) {
    ApplyBackendChange();
    if (!registry_.accepts_work())
      RecordLeave(registry_.current()->identity);
  } else if (outcome == ReportOutcome::kUnchanged && is_backend_down_ &&
             registry_.accepts_work())
    MarkBackendUp("report");
  // A leave that arrives before any report has to be recorded as well.
  if (!report && outcome == ReportOutcome::kStale &&
      !registry_.IsEarlierRun(identity))
    RecordLeave(identity);
  if (outcome != ReportOutcome::kUnchanged) {
    Log(LogLevel::kInfo, "report_taken",
        {{"instance", identity.instance},
         {"started_ms", std::to_string(identity.started_ms)},
         {"sequence", std::to_string(report ? report->sequence : 0)},
         {"leaving", report && !report->leaving ? "false" : "true"},
         {"outcome", std::to_string(static_cast<int>(outcome))}});
  }
  const bool is_leave = !report || report->leaving;
  if (is_leave)
    ConfirmLeave(identity.instance, exchange);
  else
    exchange->Respond(JsonResponse(200, "{}"));
}

void RouteNode::Impl::HandleReady(
    const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& target = exchange->request().target;
  if (target == "/metrics") {
    metrics_.SetGauges(Gauges());
    HttpResponse response = JsonResponse(200, metrics_.Serialize());
    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    exchange->Respond(std::move(response));
    return;
  }
  if (target != interface_.ready_path) {
    exchange->Respond(JsonResponse(404, "{}"));
    return;
  }
  const bool is_ready = routes_ && !shutdown_at_;
  exchange->Respond(JsonResponse(is_ready ? 200 : 503, "{}"));
}

// --- Other nodes

std::vector<protocol::PeerMessage> RouteNode::Impl::InitialMessages() {
  std::vector<protocol::PeerMessage> messages = {
      protocol::NodeRecordsPush{{directory_.self()}, 1, 1}};
  // The peer may have older routes or none.
  if (routes_)
    messages.emplace_back(MakeVersionNotice());
  if (!node_table_read_ && record_pulls_sent_ < kMaxRecordPulls) {
    ++record_pulls_sent_;
    messages.emplace_back(protocol::NodeRecordsPull{0});
  }
  const auto suspicions = backend_executor_.crash_suspects().Snapshot(Now());
  if (!suspicions.empty())
    messages.emplace_back(protocol::CrashSuspicions{suspicions});
  // A peer that has restarted itself knows of no leave, so that more than one
  // is asked, and all of them while the store does not answer.
  if (!leaves_read_from_store_ || leave_pulls_sent_ < kMaxLeavePulls) {
    ++leave_pulls_sent_;
    messages.emplace_back(protocol::BackendLeftPull{directory_.self().node});
  }
  return messages;
}

void RouteNode::Impl::OnPeerMessage(const protocol::PeerMessage& message,
                                    const Reply& reply) {
  if (const auto* push = std::get_if<protocol::NodeRecordsPush>(&message)) {
    // A push of one record contains the sender's own.
    const bool is_own = push->total == 1 && push->records.size() == 1;
    for (const state::NodeRecord& record : push->records) {
      if (is_own)
        directory_.OnDirectRecord(record);
      else
        directory_.OnIndirectRecord(record);
    }
    return;
  }
  if (const auto* notice = std::get_if<protocol::VersionNotice>(&message)) {
    OnVersionNotice(*notice, reply);
    return;
  }
  if (const auto* pull = std::get_if<protocol::StoreClockPull>(&message)) {
    if (const auto latest = store_clock_.LatestAt(Now()))
      reply(protocol::StoreClockPush{pull->token, latest->era, latest->time});
    return;
  }
  if (const auto* push = std::get_if<protocol::StoreClockPush>(&message)) {
    OnStoreClockPush(*push);
    return;
  }
  if (const auto* report = std::get_if<protocol::QuotaReport>(&message)) {
    quota_.OnReport(*report, reply);
    return;
  }
  if (const auto* grant = std::get_if<protocol::QuotaGrant>(&message)) {
    quota_.OnGrant(*grant);
    return;
  }
  if (const auto* pull = std::get_if<protocol::BackendLeftPull>(&message)) {
    const auto found = latest_leaves_.find(pull->node);
    reply(found == latest_leaves_.end()
              ? protocol::BackendLeft{pull->node, {}, 0}
              : found->second);
    return;
  }
  if (const auto* left = std::get_if<protocol::BackendLeft>(&message)) {
    OnBackendLeft(*left, reply);
    return;
  }
  if (const auto* report = std::get_if<protocol::CrashReport>(&message)) {
    OnCrashReport(*report);
    return;
  }
  if (const auto* all = std::get_if<protocol::CrashSuspicions>(&message)) {
    backend_executor_.crash_suspects().Merge(all->suspicions, Now());
    return;
  }
  if (std::holds_alternative<protocol::NodeRecordsPull>(message)) {
    const auto records = directory_.Records();
    const auto total = static_cast<std::uint32_t>(records.size());
    if (total > 1)
      reply(protocol::NodeRecordsPush{records, total, total});
    return;
  }
  if (const auto* pull = std::get_if<protocol::ConfigurationPull>(&message)) {
    if (version() <= pull->have_version)
      return;
    protocol::ConfigurationPush push;
    push.full = true;
    push.delta.to = version();
    push.delta.changes = {{kDocumentEntry, document_}};
    reply(push);
    return;
  }
  if (const auto* push = std::get_if<protocol::ConfigurationPush>(&message)) {
    for (const state::EntryChange& change : push->delta.changes) {
      if (change.key == kDocumentEntry && change.value)
        ApplyDocument(*change.value, "peer");
    }
  }
}

void RouteNode::Impl::OnVersionNotice(const protocol::VersionNotice& notice,
                                      const Reply& reply) {
  const Instant now = Now();
  if (directory_.is_in_own_zone(notice.node))
    last_zone_notice_ = now;
  OnStoreEra(notice.store_era);
  OnPeerRoutesVersion(notice.node, notice.version);
  if (notice.version > version() && !directory_.is_linked(notice.node))
    reply(protocol::ConfigurationPull{version()});
  if (notice.store_time <= Duration(0))
    return;
  document_freshness_.OnStatement(notice.version,
                                  {notice.store_era, notice.store_time},
                                  version(), store_clock_, now);
  if (store_clock_.IsKnown(notice.store_era) ||
      now - store_clock_pulled_at_ < kStoreClockPullInterval)
    return;
  store_clock_token_ = random_() | 1;
  store_clock_pulled_at_ = now;
  reply(protocol::StoreClockPull{store_clock_token_});
}

void RouteNode::Impl::OnStoreClockPush(const protocol::StoreClockPush& push) {
  // The reading is later than the request only if it answers the last one.
  if (push.token == 0 || push.token != store_clock_token_)
    return;
  store_clock_token_ = 0;
  store_clock_.OnReading({push.store_era, push.store_time},
                         store_clock_pulled_at_, Now());
}

void RouteNode::Impl::BroadcastCrashReport(
    const protocol::CrashReport& report) {
  inbound_.Broadcast(report);
  outbound_.Broadcast(report);
}

void RouteNode::Impl::OnCrashReport(const protocol::CrashReport& report) {
  coordination::CrashSuspects& suspects = backend_executor_.crash_suspects();
  if (report.id == 0) {
    suspects.Clear(report.contents);
    return;
  }
  if (!suspects.OnServerEnd(report.id, report.contents, Now()))
    return;
  // The sender has links to some of the nodes only.
  ForwardToSomePeers(report);
}

void RouteNode::Impl::OnPeerRoutesVersion(state::NodeId node,
                                          std::uint64_t seen) {
  if (seen <= version())
    return;
  // A node without a link is asked on the link on which it sent its version.
  if (!directory_.is_linked(node))
    return;
  version_sources_.OnVersionSeen(node, seen);
  PullRoutes();
}

void RouteNode::Impl::PullRoutes() {
  const auto node = version_sources_.NextSource(version(), Now());
  if (!node)
    return;
  Log(LogLevel::kInfo, "routes_behind",
      {{"version", std::to_string(version())},
       {"asked_node", state::ToHex(*node)}});
  outbound_.SendControl(*node, directory_.EndpointOf(*node),
                        protocol::ConfigurationPull{version()});
}

RouteNode::RouteNode(const state::RouteNodeSettings& settings,
                     std::string settings_path,
                     PlatformInterface interface)
    : impl_(std::make_unique<Impl>(settings,
                                   std::move(settings_path),
                                   std::move(interface))) {}
RouteNode::~RouteNode() = default;

RouteNodePorts RouteNode::ports() const {
  return impl_->ports();
}

void RouteNode::Run() {
  impl_->Run();
}

}  // namespace sesamespread::transport
