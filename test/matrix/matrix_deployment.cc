/// \file
/// Implementation of the steps, the faults and the checks of the fault matrix.
#include "matrix_deployment.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <sstream>

#include "harness/http.h"
#include "sesamespread/state/ids.h"

namespace sesamespread::matrix {
namespace {

using namespace std::chrono_literals;
using bench::Answer;
using bench::CallerRequest;
using bench::Host;

constexpr std::size_t kHosts = 8;
// Longer than the answer time of an order in the inventory (800 ms), so that
// the deadline passes while the process is paused.
constexpr auto kPauseDuration = 900ms;
constexpr auto kRequestTimeout = 1300ms;
constexpr auto kSurgeDuration = 600ms;
constexpr int kSurgeCallers = 32;
constexpr double kSlowFactor = 8;
constexpr std::int64_t kMaxInForceMicros = 14'000'000;
constexpr std::int64_t kMaxLeaveMicros = 3'000'000;
constexpr std::size_t kStreamBytes = 4'000'000;

std::unique_ptr<MatrixDeployment>& SharedDeployment() {
  static std::unique_ptr<MatrixDeployment> deployment;
  return deployment;
}

double SecondsSince(std::int64_t start) {
  return static_cast<double>(bench::WallMicros() - start) / 1e6;
}

std::string InventoryPath() {
  return bench::SourceDir() + "/test/matrix/inventory.yaml";
}

bench::ClusterSpec MakeClusterSpec(
    const std::string& admission,
    const std::vector<std::string>& order_options) {
  const std::vector<std::string> fixed = {"--distribution", "fixed"};
  std::vector<std::string> orders = fixed;
  orders.insert(orders.end(), order_options.begin(), order_options.end());
  bench::ClusterSpec spec;
  spec.inventory = InventoryPath();
  spec.zones = {"litoral-a", "cuyo-a"};
  spec.admission = admission;
  spec.journals = true;
  spec.node_settings = "bounds:\n  shutdown_timeout: 4s\n";
  spec.services = {{"orders", 2, 32, 200, 10,
                    "inventory:GET:/stock,ledger:POST:/entries", orders},
                   {"inventory", 2, 32, 200, 5, "prices:GET:/price", fixed},
                   {"prices", 2, 4, 100, 20, "", fixed},
                   {"ledger", 2, 32, 200, 5, "", fixed}};
  return spec;
}

// Reads the first bytes of the answer, calls \p on_first_bytes, and then reads
// the rest.
Answer ReadWithPause(std::uint16_t port,
                     const CallerRequest& request,
                     const std::function<void()>& on_first_bytes) {
  namespace asio = boost::asio;
  Answer answer;
  answer.request = request;
  answer.sent = bench::WallMicros();
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.open(asio::ip::tcp::v4(), error);
  // A small receive window keeps most of the answer at the entry node.
  socket.set_option(asio::socket_base::receive_buffer_size(16 << 10), error);
  socket.connect({asio::ip::address_v4::loopback(), port}, error);
  const std::string text = fmt::format(
      "GET /{}{} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
      "traceparent: 00-{}-00000000000000a1-01\r\n\r\n",
      request.service, request.path, request.trace_id);
  asio::write(socket, asio::buffer(text), error);
  std::string received(512, '\0');
  received.resize(error ? 0 : socket.read_some(asio::buffer(received), error));
  on_first_bytes();
  while (!error) {
    char chunk[65536];
    const std::size_t size = socket.read_some(asio::buffer(chunk), error);
    received.append(chunk, size);
  }
  answer.ended = bench::WallMicros();
  const std::size_t head = received.find("\r\n\r\n");
  if (head == std::string::npos || !received.starts_with("HTTP/1.1 200"))
    return answer;
  const std::size_t field = received.find("Content-Length: ");
  answer.body = received.substr(head + 4);
  // An answer with fewer bytes than announced is truncated and does not count
  // as an answer.
  if (field < head && std::strtoull(received.c_str() + field + 16, nullptr,
                                    10) == answer.body.size())
    answer.status = 200;
  return answer;
}

}  // namespace

const std::vector<MatrixDeployment::Step>& MatrixDeployment::Steps() {
  static const std::vector<Step> kSteps = {
      {"received", &MatrixDeployment::StepReceived, "orders"},
      {"waiting_for_link", &MatrixDeployment::StepWaitingForLink, "orders"},
      {"queued", &MatrixDeployment::StepQueued, "prices"},
      {"running", &MatrixDeployment::StepRunning, "orders"},
      {"sub_call", &MatrixDeployment::StepSubCall, "orders"},
      {"streaming", &MatrixDeployment::StepStreaming, "orders"},
      {"recorded", &MatrixDeployment::StepRecorded, "orders"},
      {"sent", &MatrixDeployment::StepSent, "orders"},
      {"accepted", &MatrixDeployment::StepAccepted, "orders"},
      {"spread", &MatrixDeployment::StepSpread, "orders"},
      {"node_booting", &MatrixDeployment::StepNodeBooting, "orders"},
      {"leave_announced", &MatrixDeployment::StepLeaveAnnounced, "orders"},
      {"in_flight", &MatrixDeployment::StepInFlight, "orders"},
      {"node_stopping", &MatrixDeployment::StepNodeStopping, "orders"}};
  return kSteps;
}

const std::vector<MatrixDeployment::Fault>& MatrixDeployment::Faults() {
  static const std::vector<Fault> kFaults = {
      {"slow_deep", &MatrixDeployment::SlowDeep,
       &MatrixDeployment::WaitWhileSlow},
      {"surge", &MatrixDeployment::Surge, &MatrixDeployment::JoinBackground},
      {"client_retries", &MatrixDeployment::ClientRetries,
       &MatrixDeployment::JoinBackground},
      {"store_down", &MatrixDeployment::StoreDown,
       &MatrixDeployment::RestoreStore, true},
      {"store_slow", &MatrixDeployment::StoreSlow,
       &MatrixDeployment::RestoreStore, true},
      {"reply_lost", &MatrixDeployment::LoseReply,
       &MatrixDeployment::RestoreStore, true},
      {"paused_holder", &MatrixDeployment::PauseExecutorNode,
       &MatrixDeployment::ResumeExecutorNode},
      {"operator_race", &MatrixDeployment::OperatorRace,
       &MatrixDeployment::JoinBackground, true},
      {"silent_connection", nullptr, nullptr},
      {"node_killed", &MatrixDeployment::KillNode,
       &MatrixDeployment::RestartExecutor},
      {"backend_killed", &MatrixDeployment::KillBackend,
       &MatrixDeployment::RestartExecutor},
      {"entry_killed", &MatrixDeployment::KillEntry,
       &MatrixDeployment::RestartEntry}};
  return kFaults;
}

MatrixDeployment& MatrixDeployment::Shared() {
  if (!SharedDeployment())
    SharedDeployment() = std::make_unique<MatrixDeployment>();
  return *SharedDeployment();
}

void MatrixDeployment::Reset() {
  SharedDeployment().reset();
}

MatrixDeployment::MatrixDeployment(
    const std::string& admission,
    const std::vector<std::string>& order_options)
    : cluster_(std::make_unique<bench::Cluster>(
          MakeClusterSpec(admission, order_options))) {
  entry_ = cluster_->HostsOf("inventory")[0];
  other_entry_ = cluster_->HostsOf("ledger")[1];
  executor_ = cluster_->HostsOf("orders")[0];
}

MatrixDeployment::~MatrixDeployment() {
  JoinRequests();
  JoinBackground();
}

std::vector<std::string> MatrixDeployment::RunCell(
    const Step& step,
    const std::vector<const Fault*>& faults) {
  faults_ = faults;
  executor_ = cluster_->HostsOf(step.executor)[0];
  violations_.clear();
  sent_.clear();
  in_flight_.clear();
  detail_.clear();
  accepted_version_ = 0;
  accepted_at_ = left_at_ = restarted_at_ = 0;
  planned_stop_ = false;
  cell_started_ = bench::WallMicros();
  SampleVersions();
  (this->*step.run)();
  Repair();
  const std::vector<Answer> answers = JoinRequests();
  SampleVersions();
  CheckInForce();
  CheckServesAgain();
  const std::vector<bench::StartedRequest> started =
      bench::ReadJournals(*cluster_);
  for (std::string& line : bench::CheckAll(answers, started, {}))
    violations_.push_back(std::move(line));
  if (left_at_ > 0) {
    for (const bench::StartedRequest& one : started) {
      if (one.host == executor_->name &&
          one.time > left_at_ + kMaxLeaveMicros && one.time < restarted_at_)
        violations_.push_back(
            "request started at the leaving server more than 3 s after its "
            "leave: " +
            one.trace_id);
    }
  }
  const bool harmless =
      std::all_of(faults_.begin(), faults_.end(),
                  [](const Fault* fault) { return fault->harmless; });
  if (planned_stop_ && harmless) {
    for (const Answer& answer : answers) {
      // An order whose key is not bound yet is not in flight at the leaving
      // server: it is refused with 205, or with 206 while the store is down.
      // The journals confirm that it did not start.
      const bool is_unstarted_refusal =
          (answer.result == 205 || answer.result == 206) &&
          std::none_of(started.begin(), started.end(), [&](const auto& one) {
            return one.trace_id == answer.request.trace_id;
          });
      if (answer.sent < left_at_ && answer.status != 200 &&
          !is_unstarted_refusal)
        violations_.push_back(fmt::format(
            "request {} failed at the planned stop: status {} result {}",
            answer.request.trace_id, answer.status, answer.result));
    }
  }
  const auto ok =
      std::count_if(answers.begin(), answers.end(),
                    [](const Answer& a) { return a.status == 200; });
  detail_ += fmt::format("{}/{} answered", ok, answers.size());
  std::map<int, int> failures_by_result;
  for (const Answer& answer : answers) {
    if (answer.status != 200)
      ++failures_by_result[answer.result];
  }
  for (const auto& [result, count] : failures_by_result)
    detail_ += fmt::format(", {} x {}", count, result);
  return violations_;
}

// Requests.

CallerRequest MatrixDeployment::Order(const std::string& key) const {
  CallerRequest request;
  request.trace_id = bench::NewTraceId();
  request.key = key;
  request.method = "POST";
  request.service = "orders";
  request.path = "/new";
  request.body = "frame kit " + request.trace_id;
  request.is_order = true;
  return request;
}

CallerRequest MatrixDeployment::Browse() const {
  CallerRequest request;
  request.trace_id = bench::NewTraceId();
  request.service = "inventory";
  request.path = "/catalogue";
  return request;
}

void MatrixDeployment::SendAsync(std::uint16_t port, CallerRequest request) {
  sent_.push_back(request);
  requests_.emplace_back([this, port, request = std::move(request)] {
    Answer answer = bench::Send(port, request, kRequestTimeout);
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
  });
}

std::vector<Answer> MatrixDeployment::JoinRequests() {
  for (std::thread& thread : requests_)
    thread.join();
  requests_.clear();
  const std::lock_guard lock(mutex_);
  return std::exchange(answers_, {});
}

// Sends orders with issued keys, with a key of the caller and without a key,
// and browse requests.
void MatrixDeployment::SendMixedRequests() {
  const std::uint16_t port = entry_->ports.caller;
  for (int i = 0; i < 3; ++i)
    SendAsync(port, Order(bench::IssueKey(port, "orders")));
  SendAsync(port, Order("own-" + bench::NewTraceId()));
  SendAsync(port, Order(""));
  SendAsync(port, Browse());
  SendAsync(port, Browse());
}

std::size_t MatrixDeployment::CountStarted(const std::string& service,
                                           std::int64_t since) {
  const std::vector<bench::StartedRequest> started =
      bench::ReadJournals(*cluster_);
  return static_cast<std::size_t>(
      std::count_if(started.begin(), started.end(), [&](const auto& one) {
        return one.service == service && one.time >= since;
      }));
}

bool MatrixDeployment::WaitStarted(const std::string& service,
                                   std::size_t count) {
  return bench::WaitFor(
      [&] { return CountStarted(service, cell_started_) >= count; }, 500ms);
}

void MatrixDeployment::SetSlowFactor(const std::string& service,
                                     double factor) {
  for (const Host* host : cluster_->HostsOf(service)) {
    if (host->backend)
      bench::Cluster::ControlBackend(
          *host, fmt::format(R"({{"slow_factor":{:.1f}}})", factor));
  }
}

// Steps of a request.

void MatrixDeployment::StepReceived() {
  SendMixedRequests();
  Inject();
}

void MatrixDeployment::StepWaitingForLink() {
  // A node that has just started has no links to its peers.
  StartHost(*entry_);
  bench::WaitFor(
      [this] {
        const std::string status =
            bench::Cluster::GetFromOperatorPort(*entry_, "/v1/status").body;
        return bench::CountOccurrences(
                   status, R"("backend_state":"serving",)") >= kHosts - 1;
      },
      5s);
  SendMixedRequests();
  Inject();
}

void MatrixDeployment::StepQueued() {
  SetSlowFactor("prices", 4);
  SendMixedRequests();
  for (int i = 0; i < 24; ++i)
    SendAsync(other_entry_->ports.caller, Browse());
  WaitStarted("prices", 8);
  Inject();
}

void MatrixDeployment::StepRunning() {
  SetSlowFactor("orders", 10);
  SendMixedRequests();
  WaitStarted("orders", 4);
  Inject();
}

void MatrixDeployment::StepSubCall() {
  SetSlowFactor("prices", 5);
  SendMixedRequests();
  WaitStarted("prices", 4);
  Inject();
}

void MatrixDeployment::StepStreaming() {
  CallerRequest request;
  request.trace_id = bench::NewTraceId();
  request.service = "orders";
  request.path = fmt::format("/route-sheets?bytes={}", kStreamBytes);
  Answer answer = ReadWithPause(entry_->ports.caller, request, [this] {
    SendMixedRequests();
    Inject();
  });
  const std::lock_guard lock(mutex_);
  answers_.push_back(std::move(answer));
}

void MatrixDeployment::StepRecorded() {
  SendMixedRequests();
  std::vector<Answer> first = JoinRequests();
  Inject();
  for (const Answer& answer : first) {
    if (!answer.request.key.empty())
      SendAsync(other_entry_->ports.caller, answer.request);
  }
  const std::lock_guard lock(mutex_);
  answers_.insert(answers_.end(), first.begin(), first.end());
}

// Steps of a configuration change.

void MatrixDeployment::ApplyInventoryChange() {
  const std::string path =
      fmt::format("{}/change-{}.yaml", cluster_->directory(), ++changes_);
  std::ifstream base(InventoryPath());
  std::stringstream text;
  text << base.rdbuf();
  std::string inventory = text.str();
  inventory.insert(
      inventory.find("\nlimits:"),
      fmt::format("  - {{name: change-{}, service: ledger, methods: [PUT], "
                  "importance: standard}}\n",
                  changes_));
  std::ofstream(path) << inventory;
  background_.emplace_back([this, path] {
    const bench::ProgramResult result = cluster_->RunVerb(
        {"apply", "--platform", cluster_->PlatformUrl(), "--who", "matrix",
         "--why", "cell", "--output", "json", path});
    if (result.exit_code != 0)
      return;
    const std::lock_guard lock(mutex_);
    const auto version = static_cast<std::uint64_t>(
        std::max(0.0, bench::JsonNumber(result.output, "version")));
    accepted_version_ = std::max(accepted_version_, version);
    accepted_at_ = bench::WallMicros();
  });
}

void MatrixDeployment::StepSent() {
  ApplyInventoryChange();
  Inject();
  SendMixedRequests();
}

void MatrixDeployment::StepAccepted() {
  ApplyInventoryChange();
  JoinBackground();
  Inject();
  SendMixedRequests();
}

void MatrixDeployment::StepSpread() {
  ApplyInventoryChange();
  JoinBackground();
  bench::WaitFor(
      [this] {
        const auto versions = SampleVersions();
        return *std::max_element(versions.begin(), versions.end()) >=
               accepted_version_;
      },
      3s);
  Inject();
  SendMixedRequests();
}

void MatrixDeployment::StepNodeBooting() {
  ApplyInventoryChange();
  StartHost(*executor_);
  Inject();
  SendMixedRequests();
}

// Steps of a drain.

void MatrixDeployment::StepLeaveAnnounced() {
  planned_stop_ = true;
  SendMixedRequests();
  WaitStarted("orders", 4);
  left_at_ = bench::WallMicros();
  bench::Cluster::ControlBackend(*executor_, R"({"drain":true})");
  Inject();
  SendMixedRequests();
  std::this_thread::sleep_for(std::chrono::microseconds(
      left_at_ + kMaxLeaveMicros + 50'000 - bench::WallMicros()));
  // These requests check that the leaving server gets no new work. A killed
  // entry node cannot receive them.
  if (entry_->node)
    SendMixedRequests();
}

void MatrixDeployment::StepInFlight() {
  SetSlowFactor("orders", 10);
  SendMixedRequests();
  WaitStarted("orders", 4);
  planned_stop_ = true;
  left_at_ = bench::WallMicros();
  bench::Cluster::ControlBackend(*executor_, R"({"drain":true})");
  Inject();
}

void MatrixDeployment::StepNodeStopping() {
  SetSlowFactor("orders", 10);
  SendMixedRequests();
  WaitStarted("orders", 4);
  planned_stop_ = true;
  left_at_ = bench::WallMicros();
  executor_->node->Signal(SIGTERM);
  Inject();
}

// Faults.

void MatrixDeployment::Inject() {
  injected_at_ = bench::WallMicros();
  for (const Fault* fault : faults_)
    (this->*fault->inject)();
}

void MatrixDeployment::SlowDeep() {
  SetSlowFactor("prices", kSlowFactor);
}

void MatrixDeployment::WaitWhileSlow() {
  std::this_thread::sleep_for(300ms);
}

void MatrixDeployment::Surge() {
  std::vector<std::uint16_t> ports;
  for (const Host& host : cluster_->hosts()) {
    if (host.node)
      ports.push_back(host.ports.caller);
  }
  for (int i = 0; i < kSurgeCallers; ++i) {
    const std::uint16_t port =
        ports[static_cast<std::size_t>(i) % ports.size()];
    background_.emplace_back([this, port, i] {
      const auto until = std::chrono::steady_clock::now() + kSurgeDuration;
      while (std::chrono::steady_clock::now() < until) {
        Answer answer = bench::Send(port, i % 5 == 0 ? Order("") : Browse(),
                                    kRequestTimeout);
        const std::lock_guard lock(mutex_);
        answers_.push_back(std::move(answer));
      }
    });
  }
}

void MatrixDeployment::ClientRetries() {
  // Orders with a key are repeated at two nodes, browse requests only at the
  // entry node, which counts their repeats.
  const std::vector<CallerRequest> originals = sent_;
  for (int i = 0; i < 3; ++i) {
    for (const CallerRequest& request : originals) {
      const bool elsewhere = !request.key.empty() && i % 2 == 0;
      if (request.is_order && request.key.empty())
        continue;
      SendAsync((elsewhere ? other_entry_ : entry_)->ports.caller, request);
    }
  }
}

void MatrixDeployment::StoreDown() {
  cluster_->ControlPlatform(R"({"mode":"down"})");
}

void MatrixDeployment::StoreSlow() {
  cluster_->ControlPlatform(R"({"mode":"slow","delay_ms":400})");
}

void MatrixDeployment::LoseReply() {
  cluster_->ControlPlatform(R"({"lose_replies":1})");
}

void MatrixDeployment::RestoreStore() {
  std::this_thread::sleep_for(500ms);
  cluster_->ControlPlatform(R"({"mode":"up","lose_replies":0})");
}

void MatrixDeployment::PauseExecutorNode() {
  executor_->node->Signal(SIGSTOP);
}

void MatrixDeployment::ResumeExecutorNode() {
  std::this_thread::sleep_for(kPauseDuration);
  executor_->node->Signal(SIGCONT);
}

void MatrixDeployment::OperatorRace() {
  ApplyInventoryChange();
  ApplyInventoryChange();
}

void MatrixDeployment::KillNode() {
  executor_->node.reset();
}

void MatrixDeployment::KillBackend() {
  executor_->backend.reset();
}

void MatrixDeployment::KillEntry() {
  entry_->node.reset();
}

void MatrixDeployment::RestartExecutor() {
  StartHost(*executor_);
}

void MatrixDeployment::RestartEntry() {
  StartHost(*entry_);
}

void MatrixDeployment::JoinBackground() {
  for (std::thread& thread : background_)
    thread.join();
  background_.clear();
}

// Replaces the node and the backend server of the host under the same name.
void MatrixDeployment::StartHost(Host& host) {
  if (&host == executor_ && restarted_at_ == 0)
    restarted_at_ = bench::WallMicros();
  host.backend.reset();
  host.node.reset();
  cluster_->StartNode(host);
  cluster_->StartBackend(host);
}

void MatrixDeployment::Repair() {
  for (const Fault* fault : faults_)
    (this->*fault->repair)();
  JoinBackground();
  for (const char* service : {"orders", "prices"})
    SetSlowFactor(service, 1);
  CheckPlannedStop();
}

// Checks that need the running deployment.

void MatrixDeployment::CheckPlannedStop() {
  if (!planned_stop_)
    return;
  const bool killed = !executor_->node || !executor_->backend;
  if (!killed && executor_->node->Wait(0ms) == -1) {
    // Depending on the step, either the backend server exits or its node does.
    const bool ended = bench::WaitFor(
        [this] {
          return executor_->backend->Wait(0ms) != -1 ||
                 executor_->node->Wait(0ms) != -1;
        },
        6s);
    const bool restarted =
        std::any_of(faults_.begin(), faults_.end(), [](const Fault* fault) {
          return fault->repair == &MatrixDeployment::RestartExecutor;
        });
    if (!ended && !restarted)
      violations_.push_back(
          "neither the backend server nor its node exited within 6 s of the "
          "planned "
          "stop");
  }
  detail_ += fmt::format("stop {:.1f} s, ", SecondsSince(left_at_));
  StartHost(*executor_);
}

std::vector<std::uint64_t> MatrixDeployment::SampleVersions() {
  std::vector<std::uint64_t> versions;
  for (const Host& host : cluster_->hosts()) {
    if (!host.node)
      continue;
    transport::HttpRequest request;
    request.target = "/v1/status";
    std::ifstream token_file(cluster_->TokenFile());
    std::string token;
    token_file >> token;
    request.headers = {{"Authorization", "Bearer " + token}};
    const bench::HttpResult status =
        bench::Fetch(host.ports.operators, request, 300ms);
    if (status.status != 200) {
      versions.push_back(0);
      continue;
    }
    const auto version = static_cast<std::uint64_t>(
        bench::JsonNumber(status.body, "configuration_version"));
    std::uint64_t& last = versions_[host.node->pid()];
    if (version < last)
      violations_.push_back(
          fmt::format("{}: configuration version decreased from {} to {}",
                      host.name, last, version));
    last = version;
    versions.push_back(version);
  }
  return versions;
}

void MatrixDeployment::CheckInForce() {
  if (accepted_version_ == 0)
    return;
  const bool in_force = bench::WaitFor(
      [this] {
        const auto versions = SampleVersions();
        return std::all_of(versions.begin(), versions.end(), [&](auto one) {
          return one >= accepted_version_ && one == versions.front();
        });
      },
      std::chrono::microseconds(std::max<std::int64_t>(
          0, accepted_at_ + kMaxInForceMicros - bench::WallMicros())) /
          1ms * 1ms);
  if (!in_force)
    violations_.push_back(fmt::format(
        "configuration version {} is not in force at all nodes after 14 s",
        accepted_version_));
  detail_ += fmt::format("version {} in force after {:.1f} s, ",
                         accepted_version_, SecondsSince(accepted_at_));
}

void MatrixDeployment::CheckServesAgain() {
  const std::int64_t since = bench::WallMicros();
  if (!cluster_->WaitReady(kHosts, 15s))
    violations_.push_back("not all nodes list all backend servers after 15 s");
  Answer answer;
  const bool served = bench::WaitFor(
      [&] {
        const std::uint16_t port = entry_->ports.caller;
        answer = bench::Send(port, Order(bench::IssueKey(port, "orders")),
                             kRequestTimeout);
        return answer.status == 200;
      },
      5s);
  if (!served)
    violations_.push_back(fmt::format(
        "no order was answered within 5 s after the repair: result {}",
        answer.result));
  detail_ += fmt::format("served again after {:.1f} s, ", SecondsSince(since));
}

}  // namespace sesamespread::matrix
