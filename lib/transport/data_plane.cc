/// \file
/// The data thread of a node: wiring of its parts, the announcements of the
/// backend server, and messages of other nodes.
#include "sesamespread/transport/data_plane.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <utility>

#include "sesamespread/protocol/http_fields.h"

namespace sesamespread::transport {
namespace {

using state::BackendState;
using state::ResultCode;

constexpr state::Duration kBackendCheckInterval =
    std::chrono::milliseconds(100);

// An announcement is a small JSON object.
constexpr std::size_t kMaxAnnouncementBytes = 4096;

HttpServerOptions CallerServerOptions(const state::NodeSettings& settings) {
  HttpServerOptions options;
  options.max_connections = settings.bounds.max_connections;
  return options;
}

HttpServerOptions BackendServerOptions(const state::NodeSettings& settings) {
  HttpServerOptions options;
  options.max_connections = settings.bounds.max_connections;
  // The backend server keeps its connections to the local node open.
  options.idle_timeout = std::chrono::minutes(10);
  return options;
}

RequestHandler::Options HandlerOptions(const state::NodeSettings& settings) {
  RequestHandler::Options options;
  options.max_requests_in_progress = settings.bounds.max_requests_in_progress;
  options.shed_at_entry = settings.admission == state::AdmissionMode::kAdaptive;
  return options;
}

coordination::AdmissionPolicy AdmissionPolicyOf(state::AdmissionMode mode) {
  switch (mode) {
    case state::AdmissionMode::kNone:
      return coordination::AdmissionPolicy::kNone;
    case state::AdmissionMode::kFixed:
      return coordination::AdmissionPolicy::kFixedLimit;
    case state::AdmissionMode::kAdaptive:
      break;
  }
  return coordination::AdmissionPolicy::kAdaptive;
}

void RespondStatus(const std::shared_ptr<HttpExchange>& exchange,
                   ResultCode code,
                   std::string_view detail) {
  HttpResponse response;
  response.status = static_cast<std::uint16_t>(state::InfoOf(code).http_status);
  response.headers = {{"Content-Type", "application/problem+json"}};
  response.body = protocol::ProblemDetails(code, state::InfoOf(code).run_state,
                                           detail, {}, state::Duration(0));
  exchange->Respond(std::move(response));
}

// Parses an announcement. JSON is a subset of YAML, so no second parser is
// needed. Throws YAML::Exception if a value is missing or of the wrong type.
BackendInfo ParseAnnouncement(const std::string& body) {
  const YAML::Node node = YAML::Load(body);
  BackendInfo backend;
  backend.service = node["service"].as<std::string>();
  backend.endpoint = {"127.0.0.1", node["port"].as<std::uint16_t>()};
  backend.slots = node["slots"].as<std::uint32_t>(0);
  backend.connections = node["connections"].as<std::uint32_t>(0);
  backend.cold_start =
      std::chrono::milliseconds(node["cold_start_ms"].as<std::uint32_t>(0));
  backend.instance = node["instance"].as<std::string>("");
  return backend;
}

}  // namespace

DataPlane::DataPlane(boost::asio::io_context& context,
                     const state::NodeSettings& settings,
                     state::NodeIncarnation self,
                     Metrics& metrics,
                     EventLog& log,
                     DataPlaneEvents& events)
    : settings_(settings),
      self_(self),
      log_(log),
      events_(events),
      deadlines_(context),
      configuration_(std::make_shared<const state::Configuration>()),
      outbound_(context,
                deadlines_,
                protocol::Hello{self.node, self.incarnation, settings.name},
                [this](state::NodeId from, protocol::PeerMessage message) {
                  OnControl(from, std::move(message), nullptr);
                }),
      executor_(context,
                deadlines_,
                self,
                AdmissionPolicyOf(settings.admission),
                metrics,
                [this] {
                  return executor_.backend()
                             ? dispatcher_.DownstreamThresholds(
                                   executor_.backend()->service)
                             : std::vector<protocol::ServiceThreshold>();
                }),
      dispatcher_(
          context,
          deadlines_,
          self.node,
          settings.availability_zone,
          executor_,
          outbound_,
          metrics,
          [this](const std::string& service) { events_.OnSubscribe(service); }),
      handler_(deadlines_,
               HandlerOptions(settings),
               dispatcher_,
               executor_,
               metrics,
               log,
               [this](coordination::ClaimTableRequest request) {
                 events_.OnClaims(std::move(request));
               }),
      inbound_(context,
               settings.listen.peer,
               protocol::Hello{self.node, self.incarnation, settings.name},
               executor_,
               [this](protocol::PeerMessage message,
                      std::function<void(const protocol::PeerMessage&)> reply) {
                 OnControl(0, std::move(message), std::move(reply));
               }) {
  caller_server_ = std::make_unique<HttpServer>(
      context, settings.listen.caller, CallerServerOptions(settings),
      [this](std::shared_ptr<HttpExchange> exchange) {
        handler_.HandleCaller(std::move(exchange));
      });
  backend_server_ = std::make_unique<HttpServer>(
      context, settings.listen.backend, BackendServerOptions(settings),
      [this](std::shared_ptr<HttpExchange> exchange) {
        HandleBackendPort(std::move(exchange));
      });
  Tick();
}

DataPlane::~DataPlane() = default;

void DataPlane::SetConfiguration(
    std::shared_ptr<const state::Configuration> configuration) {
  configuration_ = configuration;
  executor_.SetConfiguration(configuration);
  dispatcher_.SetConfiguration(configuration);
  handler_.SetConfiguration(std::move(configuration));
}

void DataPlane::SetServers(const std::string& service,
                           std::vector<state::NodeRecord> servers,
                           std::size_t nodes_known) {
  dispatcher_.SetServers(service, std::move(servers), nodes_known);
}

void DataPlane::OnClaimReply(const coordination::ClaimTableReply& reply) {
  handler_.OnClaimReply(reply);
}

void DataPlane::SendControl(state::NodeId node,
                            const state::Endpoint& endpoint,
                            protocol::PeerMessage message) {
  outbound_.SendControl(node, endpoint, std::move(message));
}

void DataPlane::StartLeaving() {
  if (executor_.leaving())
    return;
  executor_.SetLeaving(true);
  const protocol::LeaveNotice notice{self_.node, self_.incarnation, 0};
  inbound_.Broadcast(notice);
  outbound_.Broadcast(notice);
  log_.Write(ThreadRole::kData, LogLevel::kInfo, "backend_server_leaving", {});
  UpdateBackendState();
}

void DataPlane::StopAccepting() {
  stopping_ = true;
  caller_server_->StopAccepting();
}

void DataPlane::FailAllInFlight() {
  executor_.FailAllInFlight();
  handler_.FailAllInFlight();
}

bool DataPlane::IsIdle() const {
  // A connection of a caller stays open until its answer has been written.
  return caller_server_->connection_count() == 0 && handler_.in_flight() == 0 &&
         executor_.in_flight() == 0 && inbound_.in_flight() == 0 &&
         outbound_.in_flight() == 0;
}

DataStatus DataPlane::Status() {
  DataStatus status;
  status.load = executor_.load();
  if (executor_.backend())
    status.service = executor_.backend()->service;
  status.backend_state = executor_.backend_state();
  status.requests = handler_.in_flight();
  status.dispatched = dispatcher_.in_flight();
  status.executing = executor_.in_flight();
  status.links = inbound_.link_count() + outbound_.open_links();
  status.unmatched_answers = outbound_.unmatched_answers();
  const state::Instant now = Now();
  for (const auto& [name, service] : configuration_->services()) {
    const std::uint32_t threshold =
        dispatcher_.thresholds().EntryThreshold(name, now);
    if (threshold < state::kPriorityCount)
      status.thresholds.push_back({name, threshold});
    for (const coordination::ServerView& view :
         dispatcher_.router().View(name, now))
      status.servers.push_back(view);
  }
  return status;
}

void DataPlane::HandleBackendPort(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request();
  if (request.method == "POST" && request.target == "/-/announce") {
    HandleAnnouncement(exchange);
    return;
  }
  if (request.method == "POST" && request.target == "/-/leave") {
    HandleLeave(exchange);
    return;
  }
  handler_.HandleSubCall(std::move(exchange));
}

void DataPlane::HandleAnnouncement(
    const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& body = exchange->request().body;
  if (body.size() > kMaxAnnouncementBytes) {
    RespondStatus(exchange, ResultCode::kBodyTooLarge,
                  "the announcement is too large");
    return;
  }
  BackendInfo backend;
  try {
    backend = ParseAnnouncement(body);
  } catch (const YAML::Exception& error) {
    RespondStatus(exchange, ResultCode::kMalformedRequest, error.what());
    return;
  }
  const state::Service* service = configuration_->FindService(backend.service);
  if (!service) {
    RespondStatus(exchange, ResultCode::kUnknownService,
                  "the inventory has no such service");
    return;
  }
  // The inventory, which operators maintain, bounds the slots and connections
  // that a backend server may announce.
  if (backend.slots == 0 || backend.slots > service->slots)
    backend.slots = service->slots;
  if (backend.connections == 0 || backend.connections > service->connections)
    backend.connections = service->connections;
  last_announcement_ = Now();
  if (executor_.backend() != backend) {
    log_.Write(ThreadRole::kData, LogLevel::kInfo, "backend_server_announced",
               {{"service", backend.service},
                {"port", std::to_string(backend.endpoint.port)},
                {"slots", std::to_string(backend.slots)}});
    // The leaving state belongs to the previous backend server, not to one that
    // replaces it.
    const bool is_new = !executor_.backend() ||
                        executor_.backend()->endpoint != backend.endpoint ||
                        executor_.backend()->instance != backend.instance;
    if (is_new && !stopping_)
      executor_.SetLeaving(false);
    executor_.SetBackend(std::move(backend));
  }
  UpdateBackendState();
  HttpResponse response;
  response.status = 200;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = fmt::format("{{\"node\":\"{}\",\"zone\":\"{}\"}}",
                              settings_.name, settings_.availability_zone);
  exchange->Respond(std::move(response));
}

void DataPlane::HandleLeave(const std::shared_ptr<HttpExchange>& exchange) {
  StartLeaving();
  HttpResponse response;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = fmt::format("{{\"in_flight\":{}}}", executor_.in_flight());
  exchange->Respond(std::move(response));
}

void DataPlane::OnControl(
    state::NodeId from,
    protocol::PeerMessage message,
    std::function<void(const protocol::PeerMessage&)> reply) {
  if (const auto* leave = std::get_if<protocol::LeaveNotice>(&message)) {
    dispatcher_.OnLeaveNotice(leave->node, leave->incarnation);
    return;
  }
  if (std::holds_alternative<protocol::Hello>(message))
    return;
  events_.OnPeerControl(from, std::move(message), std::move(reply));
}

void DataPlane::UpdateBackendState() {
  if (executor_.backend() &&
      Now() - last_announcement_ > kAnnouncementTimeout) {
    log_.Write(ThreadRole::kData, LogLevel::kWarning, "backend_server_silent",
               {{"service", executor_.backend()->service}});
    executor_.SetBackend(std::nullopt);
  }
  const BackendState backend_state = executor_.backend_state();
  if (backend_state != reported_state_) {
    reported_state_ = backend_state;
    events_.OnBackendChanged(
        executor_.backend() ? executor_.backend()->service : std::string(),
        backend_state);
  }
}

void DataPlane::Tick() {
  // After a pause of this process, announcements may wait in the sockets. The
  // timeout restarts so that they are read before the backend server counts as
  // absent.
  const state::Instant now = Now();
  if (now - last_tick_ > kAnnouncementTimeout / 2)
    last_announcement_ = now;
  last_tick_ = now;
  UpdateBackendState();
  deadlines_.Schedule(Now() + kBackendCheckInterval, [this] { Tick(); });
}

}  // namespace sesamespread::transport
