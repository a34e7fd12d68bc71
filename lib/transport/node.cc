/// \file
/// A node: its threads, the rings between them, and its graceful shutdown.
#include "sesamespread/transport/node.h"

#include <fmt/format.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "sesamespread/coordination/membership.h"
#include "sesamespread/transport/clock.h"
#include "sesamespread/transport/control_plane.h"
#include "sesamespread/transport/data_plane.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/metrics.h"
#include "sesamespread/transport/operator_api.h"
#include "sesamespread/transport/platform_client.h"
#include "sesamespread/transport/platform_worker.h"
#include "sesamespread/transport/task_ring.h"

namespace sesamespread::transport {
namespace {

namespace asio = boost::asio;

constexpr state::Duration kStatusInterval = std::chrono::milliseconds(500);
constexpr state::Duration kShutdownCheckInterval =
    std::chrono::milliseconds(50);

// Shortest time from the start of a shutdown to its end. Peers are notified of
// the leave on open links and by gossip. A call that a peer sends before the
// notice arrives would fail and need a retry if this process had ended already.
constexpr state::Duration kMinShutdownTime = std::chrono::seconds(1);

// Maximum number of nodes in the status.
constexpr std::size_t kMaxStatusNodes = 256;

state::Incarnation NewIncarnation() {
  std::random_device device;
  return coordination::MakeIncarnation(WallNow(), device());
}

std::string JsonOf(const NodeStatus& node) {
  return fmt::format(
      "{{\"node\":\"{}\",\"name\":\"{}\",\"zone\":\"{}\",\"service\":\"{}\","
      "\"backend_state\":\"{}\",\"liveness\":\"{}\",\"live\":{},"
      "\"peer\":\"{}\"}}",
      state::ToHex(node.record.node), node.record.name, node.record.zone,
      node.record.service, state::ToString(node.record.backend_state),
      state::ToString(node.record.liveness), node.live,
      state::ToString(node.record.peer));
}

std::string JsonOf(const coordination::ServerView& view) {
  return fmt::format(
      "{{\"node\":\"{}\",\"distance\":{},\"in_flight\":{},\"latency_us\":{},"
      "\"refusal_rate\":{:.3f},\"ejected\":{},\"unreachable\":{}}}",
      state::ToHex(view.node), view.distance, view.in_flight,
      view.latency.count(), view.refusal_rate, view.ejected, view.unreachable);
}

std::string JsonOf(const protocol::ServiceThreshold& threshold) {
  return fmt::format("{{\"service\":\"{}\",\"threshold\":{}}}",
                     threshold.service, threshold.threshold);
}

template <typename T>
std::string JsonList(const std::vector<T>& items) {
  std::string text;
  for (const T& item : items)
    text += (text.empty() ? "" : ",") + JsonOf(item);
  return "[" + text + "]";
}

// The latest status that the data thread and the control thread have published.
// Thread-safe.
class StatusSnapshot {
 public:
  void Set(DataStatus status) {
    const std::lock_guard lock(mutex_);
    data_ = std::move(status);
  }
  void Set(ControlStatus status) {
    const std::lock_guard lock(mutex_);
    control_ = std::move(status);
  }
  std::pair<DataStatus, ControlStatus> Get() const {
    const std::lock_guard lock(mutex_);
    return {data_, control_};
  }

 private:
  mutable std::mutex mutex_;
  // The members below are guarded by mutex_.
  DataStatus data_;
  ControlStatus control_;
};

}  // namespace

class Node::Impl : public DataPlaneEvents,
                   public ControlPlaneEvents,
                   public PlatformEvents,
                   public OperatorApiDelegate {
 public:
  explicit Impl(const state::NodeSettings& settings)
      : settings_(settings),
        self_{state::NodeIdOf(settings.name), NewIncarnation()},
        log_(settings.log_level, settings.name),
        signals_(main_context_, SIGTERM, SIGINT),
        main_deadlines_(main_context_),
        control_to_data_(data_context_),
        platform_to_data_(data_context_),
        main_to_data_(data_context_),
        data_to_control_(control_context_),
        platform_to_control_(control_context_),
        main_to_control_(control_context_),
        data_(data_context_, settings, self_, metrics_, log_, *this),
        control_(control_context_,
                 settings,
                 self_.incarnation,
                 data_.peer_port(),
                 log_,
                 *this) {
    StartPlatformWorker();
    OpenOperatorApi();
    PublishDataStatus();
    PublishControlStatus();
    data_thread_ = std::thread([this] { data_context_.run(); });
    control_thread_ = std::thread([this] { control_context_.run(); });
  }

  // The data thread and the control thread use platform_worker_, so it is
  // destroyed after they have ended.
  ~Impl() override {
    operator_api_.reset();
    control_context_.stop();
    data_context_.stop();
    control_thread_.join();
    data_thread_.join();
    platform_worker_.reset();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  NodePorts ports() const {
    return {data_.caller_port(), data_.backend_port(), data_.peer_port(),
            control_.gossip_port(), operator_api_->port()};
  }

  ExitReason Run() {
    WaitForSignal();
    main_context_.run();
    log_.Write(
        ThreadRole::kMain, LogLevel::kInfo, "node_stopped",
        {{"forced", exit_reason_ == ExitReason::kForced ? "true" : "false"}});
    return exit_reason_;
  }

 private:
  using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

  void StartPlatformWorker() {
    if (settings_.platform.url.empty())
      return;
    PlatformOptions options;
    options.url = settings_.platform.url;
    options.timeout = settings_.platform.timeout;
    if (!settings_.platform.token_file.empty())
      options.token = ReadTokenFile(settings_.platform.token_file);
    platform_client_ = std::make_unique<PlatformClient>(options);
    platform_worker_ = std::make_unique<PlatformWorker>(
        *platform_client_, *platform_client_, log_, *this);
  }

  void OpenOperatorApi() {
    OperatorApiOptions options;
    options.endpoint = settings_.listen.operators;
    if (!settings_.operators.token_file.empty())
      options.token = ReadTokenFile(settings_.operators.token_file);
    options.certificate_file = settings_.operators.certificate_file;
    options.key_file = settings_.operators.key_file;
    operator_api_ = std::make_unique<OperatorApi>(options, *this);
  }

  // --- Events of the data thread ---

  void OnBackendChanged(const std::string& service,
                        state::BackendState backend_state) override {
    data_to_control_.Push([this, service, backend_state] {
      control_.SetBackend(service, backend_state);
    });
  }

  void OnSubscribe(const std::string& service) override {
    data_to_control_.Push([this, service] { control_.Subscribe(service); });
  }

  void OnPeerControl(
      state::NodeId from,
      protocol::PeerMessage message,
      std::function<void(const protocol::PeerMessage&)> reply) override {
    // The reply runs on the data thread, which owns the link.
    std::function<void(protocol::PeerMessage)> post_reply;
    if (reply) {
      post_reply = [this, reply](protocol::PeerMessage answer) {
        control_to_data_.Push(
            [reply, answer = std::move(answer)] { reply(answer); });
      };
    }
    data_to_control_.Push([this, from, message = std::move(message),
                           post_reply = std::move(post_reply)] {
      control_.OnPeerControl(from, message, post_reply);
    });
  }

  void OnClaims(coordination::ClaimTableRequest request) override {
    if (platform_worker_) {
      platform_worker_->Claim(std::move(request));
      return;
    }
    coordination::ClaimTableReply reply;
    reply.id = request.id;
    reply.status = coordination::ClaimTableReply::Status::kUnavailable;
    asio::post(data_context_, [this, reply] { data_.OnClaimReply(reply); });
  }

  // --- Events of the control thread ---

  void OnConfiguration(
      std::shared_ptr<const state::Configuration> configuration) override {
    has_configuration_ = true;
    control_to_data_.Push(
        [this, configuration] { data_.SetConfiguration(configuration); });
  }

  void OnServers(const std::string& service,
                 std::vector<state::NodeRecord> servers,
                 std::size_t nodes_known) override {
    control_to_data_.Push(
        [this, service, servers = std::move(servers), nodes_known] {
          data_.SetServers(service, servers, nodes_known);
        });
  }

  void OnSendControl(state::NodeId node,
                     const state::Endpoint& endpoint,
                     protocol::PeerMessage message) override {
    control_to_data_.Push([this, node, endpoint, message = std::move(message)] {
      data_.SendControl(node, endpoint, message);
    });
  }

  void OnHeadReadNeeded() override {
    if (platform_worker_)
      platform_worker_->ReadHead();
  }

  void OnPlatformReadNeeded(
      const coordination::PlatformReadRequest& read_request) override {
    if (platform_worker_)
      platform_worker_->Read(read_request);
  }

  void OnSuperseded() override {
    asio::post(main_context_, [this] { StartShutdown(); });
  }

  // --- Events of the platform thread ---

  void OnPlatformHead(state::ConfigurationVersion version,
                      std::uint64_t digest) override {
    platform_to_control_.Push(
        [this, version, digest] { control_.OnPlatformHead(version, digest); });
  }

  void OnPlatformDelta(state::ConfigurationDelta delta, bool full) override {
    platform_to_control_.Push([this, delta = std::move(delta), full] {
      control_.OnPlatformDelta(delta, full);
    });
  }

  void OnClaimReply(coordination::ClaimTableReply reply) override {
    platform_to_data_.Push(
        [this, reply = std::move(reply)] { data_.OnClaimReply(reply); });
  }

  // --- Operators' port ---

  std::string StatusJson() override {
    const auto [data, control] = status_snapshot_.Get();
    return fmt::format(
        "{{\"name\":\"{}\",\"zone\":\"{}\",\"incarnation\":\"{}\","
        "\"service\":\"{}\",\"backend_state\":\"{}\",\"ready\":{},"
        "\"stopping\":{},\"configuration_version\":{},"
        "\"configuration_digest\":\"{}\",\"highest_seen_version\":{},"
        "\"isolated\":{},\"platform_reader\":{},\"nodes_known\":{},"
        "\"nodes_live\":{},\"in_progress\":{},\"queued\":{},\"limit\":{},"
        "\"threshold\":{},\"requests\":{},\"links\":{},"
        "\"unmatched_answers\":{},\"gossip_bytes_sent\":{},"
        "\"gossip_bytes_received\":{},\"thresholds\":{},\"servers\":{},"
        "\"nodes\":{}}}\n",
        settings_.name, settings_.availability_zone,
        state::ToHex(self_.incarnation), data.service,
        state::ToString(data.backend_state), IsReady(), stopping_.load(),
        control.configuration_version,
        state::ToHex(control.configuration_digest),
        control.highest_seen_version, control.isolated, control.platform_reader,
        control.nodes_known, control.nodes_live, data.load.in_progress,
        data.load.queued, data.load.limit, data.load.threshold, data.requests,
        data.links, data.unmatched_answers, control.gossip_bytes_sent,
        control.gossip_bytes_received, JsonList(data.thresholds),
        JsonList(data.servers), JsonList(control.nodes));
  }

  std::string MetricsText() override {
    const auto [data, control] = status_snapshot_.Get();
    NodeGauges gauges;
    gauges.in_progress = data.load.in_progress;
    gauges.queued = data.load.queued;
    gauges.limit = data.load.limit;
    gauges.threshold = data.load.threshold;
    gauges.configuration_version =
        static_cast<double>(control.configuration_version);
    gauges.nodes_alive = static_cast<double>(control.nodes_live);
    gauges.nodes_known = static_cast<double>(control.nodes_known);
    gauges.isolated = control.isolated ? 1 : 0;
    gauges.links_open = static_cast<double>(data.links);
    gauges.unmatched_answers = static_cast<double>(data.unmatched_answers);
    gauges.ring_overflows = static_cast<double>(RingOverflows());
    gauges.gossip_bytes_sent = static_cast<double>(control.gossip_bytes_sent);
    metrics_.SetGauges(gauges);
    return metrics_.Serialize();
  }

  bool IsReady() override { return has_configuration_ && !stopping_; }

  bool StartDrain() override {
    if (stopping_.exchange(true))
      return false;
    asio::post(main_context_, [this] { StartShutdown(); });
    return true;
  }

  std::uint64_t RingOverflows() const {
    return control_to_data_.overflow_count() +
           platform_to_data_.overflow_count() + main_to_data_.overflow_count() +
           data_to_control_.overflow_count() +
           platform_to_control_.overflow_count() +
           main_to_control_.overflow_count() + log_.lost_line_count();
  }

  // --- Status ---

  void PublishDataStatus() {
    status_snapshot_.Set(data_.Status());
    data_timer_.Schedule(
        Now() + (stopping_ ? kShutdownCheckInterval : kStatusInterval),
        [this] { PublishDataStatus(); });
  }

  void PublishControlStatus() {
    status_snapshot_.Set(control_.Status(kMaxStatusNodes));
    control_timer_.Schedule(Now() + kStatusInterval,
                            [this] { PublishControlStatus(); });
  }

  // --- Shutdown, on the main thread ---

  void WaitForSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (error)
        return;
      if (shutdown_started_) {
        ForceShutdown("second signal");
        return;
      }
      StartShutdown();
      WaitForSignal();
    });
  }

  void StartShutdown() {
    if (std::exchange(shutdown_started_, true))
      return;
    stopping_ = true;
    shutdown_start_ = Now();
    log_.Write(ThreadRole::kMain, LogLevel::kInfo, "shutdown_started", {});
    main_to_data_.Push([this] {
      data_.StopAccepting();
      data_.StartLeaving();
    });
    CheckShutdown();
  }

  void CheckShutdown() {
    if (finished_)
      return;
    // Each check uses the result that the previous check requested, and uses it
    // once. A result therefore never predates the leave, and a stalled data
    // thread, which sends no new result, does not count as idle.
    const bool idle = data_idle_.exchange(false);
    main_to_data_.Push([this] { data_idle_ = data_.IsIdle(); });
    const state::Duration elapsed = Now() - shutdown_start_;
    if (elapsed >= kMinShutdownTime && idle) {
      Finish(ExitReason::kDrained);
      return;
    }
    if (elapsed >= settings_.bounds.shutdown_timeout) {
      ForceShutdown("shutdown timeout");
      return;
    }
    main_deadlines_.Schedule(Now() + kShutdownCheckInterval,
                             [this] { CheckShutdown(); });
  }

  // Ends the requests in flight with their final results, and finishes after a
  // short time in which the answers are written.
  void ForceShutdown(const char* reason) {
    if (std::exchange(shutdown_forced_, true))
      return;
    log_.Write(ThreadRole::kMain, LogLevel::kWarning, "shutdown_forced",
               {{"reason", reason}});
    main_to_data_.Push([this] { data_.FailAllInFlight(); });
    main_deadlines_.Schedule(Now() + 2 * kShutdownCheckInterval,
                             [this] { Finish(ExitReason::kForced); });
  }

  void Finish(ExitReason reason) {
    finished_ = true;
    exit_reason_ = reason;
    main_to_control_.Push([this] { control_.AnnounceDeparture(); });
    main_deadlines_.Schedule(Now() + kShutdownCheckInterval,
                             [this] { main_context_.stop(); });
  }

  const state::NodeSettings settings_;
  const state::NodeIncarnation self_;
  Metrics metrics_;
  EventLog log_;
  StatusSnapshot status_snapshot_;

  asio::io_context main_context_{1};
  asio::io_context data_context_{1};
  asio::io_context control_context_{1};
  WorkGuard data_work_{data_context_.get_executor()};
  WorkGuard control_work_{control_context_.get_executor()};
  asio::signal_set signals_;
  DeadlineQueue main_deadlines_;
  DeadlineQueue data_timer_{data_context_};
  DeadlineQueue control_timer_{control_context_};

  // Each ring has exactly one producer thread and one consumer thread.
  TaskRing control_to_data_;
  TaskRing platform_to_data_;
  TaskRing main_to_data_;
  TaskRing data_to_control_;
  TaskRing platform_to_control_;
  TaskRing main_to_control_;

  std::atomic<bool> has_configuration_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> data_idle_{false};

  // Null if no platform is configured; otherwise valid from before the data and
  // control threads start until after they have ended. Declared before data_
  // and control_, because their constructors already call this class's events.
  std::unique_ptr<PlatformClient> platform_client_;
  std::unique_ptr<PlatformWorker> platform_worker_;

  DataPlane data_;
  ControlPlane control_;
  std::unique_ptr<OperatorApi> operator_api_;

  // Main thread only.
  bool shutdown_started_ = false;
  bool shutdown_forced_ = false;
  bool finished_ = false;
  state::Instant shutdown_start_;
  ExitReason exit_reason_ = ExitReason::kDrained;

  std::thread data_thread_;
  std::thread control_thread_;
};

Node::Node(const state::NodeSettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}
Node::~Node() = default;

NodePorts Node::ports() const {
  return impl_->ports();
}

Node::ExitReason Node::Run() {
  return impl_->Run();
}

}  // namespace sesamespread::transport
