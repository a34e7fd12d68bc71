/// \file
/// The shared deployment of the fault matrix, and what steps and faults do to
/// it.
#include "world.h"

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
// The inventory gives an order 800 ms; a pause has to outlast that.
constexpr auto kPause = 900ms;
constexpr auto kRequestTimeout = 1300ms;
constexpr auto kSurge = 600ms;
constexpr int kSurgeCallers = 32;
constexpr double kSlow = 8;
constexpr std::int64_t kInForceMicros = 14'000'000;
constexpr std::int64_t kLeaveMicros = 3'000'000;
constexpr std::size_t kStreamBytes = 4'000'000;

std::unique_ptr<World>& SharedWorld() {
  static std::unique_ptr<World> world;
  return world;
}

double SecondsSince(std::int64_t start) {
  return static_cast<double>(bench::WallMicros() - start) / 1e6;
}

std::string MatrixInventory() {
  return bench::SourceDir() + "/test/matrix/inventory.yaml";
}

bench::ClusterSpec SpecOf(const std::string& admission,
                          const std::vector<std::string>& order_options) {
  const std::vector<std::string> fixed = {"--distribution", "fixed"};
  std::vector<std::string> orders = fixed;
  orders.insert(orders.end(), order_options.begin(), order_options.end());
  bench::ClusterSpec spec;
  spec.inventory = MatrixInventory();
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

// Reads the answer's head, calls \p paused, and then reads the rest.
Answer Stream(std::uint16_t port,
              const CallerRequest& request,
              const std::function<void()>& paused) {
  namespace asio = boost::asio;
  Answer answer;
  answer.request = request;
  answer.sent = bench::WallMicros();
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.open(asio::ip::tcp::v4(), error);
  // A small window keeps most of the answer at the entry node.
  socket.set_option(asio::socket_base::receive_buffer_size(16 << 10), error);
  socket.connect({asio::ip::address_v4::loopback(), port}, error);
  const std::string text = fmt::format(
      "GET /{}{} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
      "traceparent: 00-{}-00000000000000a1-01\r\n\r\n",
      request.service, request.path, request.trace_id);
  asio::write(socket, asio::buffer(text), error);
  std::string received(512, '\0');
  received.resize(error ? 0 : socket.read_some(asio::buffer(received), error));
  paused();
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
  // As for any HTTP client, fewer bytes than announced are no answer.
  if (field < head && std::strtoull(received.c_str() + field + 16, nullptr,
                                    10) == answer.body.size())
    answer.status = 200;
  return answer;
}

}  // namespace

const std::vector<World::Step>& World::Steps() {
  static const std::vector<Step> kSteps = {
      {"received", &World::StepReceived, "orders"},
      {"waiting_for_link", &World::StepWaitingForLink, "orders"},
      {"queued", &World::StepQueued, "prices"},
      {"running", &World::StepRunning, "orders"},
      {"sub_call", &World::StepSubCall, "orders"},
      {"streaming", &World::StepStreaming, "orders"},
      {"recorded", &World::StepRecorded, "orders"},
      {"sent", &World::StepSent, "orders"},
      {"accepted", &World::StepAccepted, "orders"},
      {"spread", &World::StepSpread, "orders"},
      {"node_booting", &World::StepNodeBooting, "orders"},
      {"leave_announced", &World::StepLeaveAnnounced, "orders"},
      {"in_flight", &World::StepInFlight, "orders"},
      {"node_stopping", &World::StepNodeStopping, "orders"}};
  return kSteps;
}

const std::vector<World::Fault>& World::Faults() {
  static const std::vector<Fault> kFaults = {
      {"slow_deep", &World::SlowDeep, &World::FastDeep},
      {"surge", &World::Surge, &World::JoinBackground},
      {"client_retries", &World::ClientRetries, &World::JoinBackground},
      {"store_down", &World::StoreDown, &World::StoreUp, true},
      {"store_slow", &World::StoreSlow, &World::StoreUp, true},
      {"reply_lost", &World::LoseReply, &World::StoreUp, true},
      {"paused_holder", &World::PauseHolder, &World::ResumeHolder},
      {"operator_race", &World::OperatorRace, &World::JoinBackground, true},
      {"silent_connection", nullptr, nullptr},
      {"node_killed", &World::KillNode, &World::RestartExecutor},
      {"backend_killed", &World::KillBackend, &World::RestartExecutor},
      {"entry_killed", &World::KillEntry, &World::RestartEntry}};
  return kFaults;
}

World& World::Shared() {
  if (!SharedWorld())
    SharedWorld() = std::make_unique<World>();
  return *SharedWorld();
}

void World::Reset() {
  SharedWorld().reset();
}

World::World(const std::string& admission,
             const std::vector<std::string>& order_options)
    : cluster_(
          std::make_unique<bench::Cluster>(SpecOf(admission, order_options))) {
  entry_ = cluster_->HostsOf("inventory")[0];
  other_ = cluster_->HostsOf("ledger")[1];
  executor_ = cluster_->HostsOf("orders")[0];
}

World::~World() {
  JoinRequests();
  JoinBackground();
}

std::vector<std::string> World::RunCell(
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
      if (one.host == executor_->name && one.time > left_at_ + kLeaveMicros &&
          one.time < restarted_at_)
        violations_.push_back("new work after the leave: " + one.trace_id);
    }
  }
  const bool harmless =
      std::all_of(faults_.begin(), faults_.end(),
                  [](const Fault* fault) { return fault->harmless; });
  if (planned_stop_ && harmless) {
    for (const Answer& answer : answers) {
      // An order whose key was still being bound is not in flight at the
      // leaving server: it is refused with 205, or with 206 while the store is
      // down, and the journals confirm that it did not start.
      const bool not_there =
          (answer.result == 205 || answer.result == 206) &&
          std::none_of(started.begin(), started.end(), [&](const auto& one) {
            return one.trace_id == answer.request.trace_id;
          });
      if (answer.sent < left_at_ && answer.status != 200 && !not_there)
        violations_.push_back(
            fmt::format("the planned stop cut {}: status {} result {}",
                        answer.request.trace_id, answer.status, answer.result));
    }
  }
  const auto ok =
      std::count_if(answers.begin(), answers.end(),
                    [](const Answer& a) { return a.status == 200; });
  detail_ += fmt::format("{}/{} answered", ok, answers.size());
  std::map<int, int> others;
  for (const Answer& answer : answers) {
    if (answer.status != 200)
      ++others[answer.result];
  }
  for (const auto& [result, count] : others)
    detail_ += fmt::format(", {} x {}", count, result);
  return violations_;
}

// Requests.

CallerRequest World::Order(const std::string& key) const {
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

CallerRequest World::Browse() const {
  CallerRequest request;
  request.trace_id = bench::NewTraceId();
  request.service = "inventory";
  request.path = "/catalogue";
  return request;
}

void World::SendLater(std::uint16_t port, CallerRequest request) {
  sent_.push_back(request);
  requests_.emplace_back([this, port, request = std::move(request)] {
    Answer answer = bench::Send(port, request, kRequestTimeout);
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
  });
}

std::vector<Answer> World::JoinRequests() {
  for (std::thread& thread : requests_)
    thread.join();
  requests_.clear();
  const std::lock_guard lock(mutex_);
  return std::exchange(answers_, {});
}

// Orders with issued keys, with an own key and without one, and browsing.
void World::SendMix() {
  const std::uint16_t port = entry_->ports.caller;
  for (int i = 0; i < 3; ++i)
    SendLater(port, Order(bench::IssueKey(port, "orders")));
  SendLater(port, Order("own-" + bench::NewTraceId()));
  SendLater(port, Order(""));
  SendLater(port, Browse());
  SendLater(port, Browse());
}

std::size_t World::CountStarted(const std::string& service,
                                std::int64_t since) {
  const std::vector<bench::StartedRequest> started =
      bench::ReadJournals(*cluster_);
  return static_cast<std::size_t>(
      std::count_if(started.begin(), started.end(), [&](const auto& one) {
        return one.service == service && one.time >= since;
      }));
}

bool World::WaitStarted(const std::string& service, std::size_t count) {
  return bench::WaitFor(
      [&] { return CountStarted(service, cell_started_) >= count; }, 500ms);
}

void World::SetSlow(const std::string& service, double factor) {
  for (const Host* host : cluster_->HostsOf(service)) {
    if (host->backend)
      bench::Cluster::ControlBackend(
          *host, fmt::format(R"({{"slow_factor":{:.1f}}})", factor));
  }
}

// Steps of a request.

void World::StepReceived() {
  SendMix();
  Inject();
}

void World::StepWaitingForLink() {
  // A node that just started has no link to any other one.
  StartHost(*entry_);
  bench::WaitFor(
      [this] {
        const std::string status =
            bench::Cluster::GetFromOperatorPort(*entry_, "/v1/status").body;
        return bench::CountOccurrences(
                   status, R"("backend_state":"serving",)") >= kHosts - 1;
      },
      5s);
  SendMix();
  Inject();
}

void World::StepQueued() {
  SetSlow("prices", 4);
  SendMix();
  for (int i = 0; i < 24; ++i)
    SendLater(other_->ports.caller, Browse());
  WaitStarted("prices", 8);
  Inject();
}

void World::StepRunning() {
  SetSlow("orders", 10);
  SendMix();
  WaitStarted("orders", 4);
  Inject();
}

void World::StepSubCall() {
  SetSlow("prices", 5);
  SendMix();
  WaitStarted("prices", 4);
  Inject();
}

void World::StepStreaming() {
  CallerRequest request;
  request.trace_id = bench::NewTraceId();
  request.service = "orders";
  request.path = fmt::format("/route-sheets?bytes={}", kStreamBytes);
  Answer answer = Stream(entry_->ports.caller, request, [this] {
    SendMix();
    Inject();
  });
  const std::lock_guard lock(mutex_);
  answers_.push_back(std::move(answer));
}

void World::StepRecorded() {
  SendMix();
  std::vector<Answer> first = JoinRequests();
  Inject();
  for (const Answer& answer : first) {
    if (!answer.request.key.empty())
      SendLater(other_->ports.caller, answer.request);
  }
  const std::lock_guard lock(mutex_);
  answers_.insert(answers_.end(), first.begin(), first.end());
}

// Steps of a configuration change.

void World::Apply() {
  const std::string path =
      fmt::format("{}/change-{}.yaml", cluster_->directory(), ++changes_);
  std::ifstream base(MatrixInventory());
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

void World::StepSent() {
  Apply();
  Inject();
  SendMix();
}

void World::StepAccepted() {
  Apply();
  JoinBackground();
  Inject();
  SendMix();
}

void World::StepSpread() {
  Apply();
  JoinBackground();
  bench::WaitFor(
      [this] {
        const auto versions = SampleVersions();
        return *std::max_element(versions.begin(), versions.end()) >=
               accepted_version_;
      },
      3s);
  Inject();
  SendMix();
}

void World::StepNodeBooting() {
  Apply();
  StartHost(*executor_);
  Inject();
  SendMix();
}

// Steps of a drain.

void World::StepLeaveAnnounced() {
  planned_stop_ = true;
  SendMix();
  WaitStarted("orders", 4);
  left_at_ = bench::WallMicros();
  bench::Cluster::ControlBackend(*executor_, R"({"drain":true})");
  Inject();
  SendMix();
  std::this_thread::sleep_for(std::chrono::microseconds(
      left_at_ + kLeaveMicros + 50'000 - bench::WallMicros()));
  // A killed or paused entry has to be back for the check of new work.
  if (entry_->node)
    SendMix();
}

void World::StepInFlight() {
  SetSlow("orders", 10);
  SendMix();
  WaitStarted("orders", 4);
  planned_stop_ = true;
  left_at_ = bench::WallMicros();
  bench::Cluster::ControlBackend(*executor_, R"({"drain":true})");
  Inject();
}

void World::StepNodeStopping() {
  SetSlow("orders", 10);
  SendMix();
  WaitStarted("orders", 4);
  planned_stop_ = true;
  left_at_ = bench::WallMicros();
  executor_->node->Signal(SIGTERM);
  Inject();
}

// Faults.

void World::Inject() {
  injected_at_ = bench::WallMicros();
  for (const Fault* fault : faults_)
    (this->*fault->inject)();
}

void World::SlowDeep() {
  SetSlow("prices", kSlow);
}

void World::FastDeep() {
  std::this_thread::sleep_for(300ms);
}

void World::Surge() {
  std::vector<std::uint16_t> ports;
  for (const Host& host : cluster_->hosts()) {
    if (host.node)
      ports.push_back(host.ports.caller);
  }
  for (int i = 0; i < kSurgeCallers; ++i) {
    const std::uint16_t port =
        ports[static_cast<std::size_t>(i) % ports.size()];
    background_.emplace_back([this, port, i] {
      const auto until = std::chrono::steady_clock::now() + kSurge;
      while (std::chrono::steady_clock::now() < until) {
        Answer answer = bench::Send(port, i % 5 == 0 ? Order("") : Browse(),
                                    kRequestTimeout);
        const std::lock_guard lock(mutex_);
        answers_.push_back(std::move(answer));
      }
    });
  }
}

void World::ClientRetries() {
  // Orders are repeated at another node too; browsing at the node that counts
  // its repeats.
  const std::vector<CallerRequest> originals = sent_;
  for (int i = 0; i < 3; ++i) {
    for (const CallerRequest& request : originals) {
      const bool elsewhere = !request.key.empty() && i % 2 == 0;
      if (request.is_order && request.key.empty())
        continue;
      SendLater((elsewhere ? other_ : entry_)->ports.caller, request);
    }
  }
}

void World::StoreDown() {
  cluster_->ControlPlatform(R"({"mode":"down"})");
}

void World::StoreSlow() {
  cluster_->ControlPlatform(R"({"mode":"slow","delay_ms":400})");
}

void World::LoseReply() {
  cluster_->ControlPlatform(R"({"lose_replies":1})");
}

void World::StoreUp() {
  std::this_thread::sleep_for(500ms);
  cluster_->ControlPlatform(R"({"mode":"up","lose_replies":0})");
}

void World::PauseHolder() {
  executor_->node->Signal(SIGSTOP);
}

void World::ResumeHolder() {
  std::this_thread::sleep_for(kPause);
  executor_->node->Signal(SIGCONT);
}

void World::OperatorRace() {
  Apply();
  Apply();
}

void World::KillNode() {
  executor_->node.reset();
}

void World::KillBackend() {
  executor_->backend.reset();
}

void World::KillEntry() {
  entry_->node.reset();
}

void World::RestartExecutor() {
  StartHost(*executor_);
}

void World::RestartEntry() {
  StartHost(*entry_);
}

void World::JoinBackground() {
  for (std::thread& thread : background_)
    thread.join();
  background_.clear();
}

// Its node and backend server are replaced under the same name.
void World::StartHost(Host& host) {
  if (&host == executor_ && restarted_at_ == 0)
    restarted_at_ = bench::WallMicros();
  host.backend.reset();
  host.node.reset();
  cluster_->StartNode(host);
  cluster_->StartBackend(host);
}

void World::Repair() {
  for (const Fault* fault : faults_)
    (this->*fault->repair)();
  JoinBackground();
  for (const char* service : {"orders", "prices"})
    SetSlow(service, 1);
  CheckPlannedStop();
}

// Invariants that need the running deployment.

void World::CheckPlannedStop() {
  if (!planned_stop_)
    return;
  const bool killed = !executor_->node || !executor_->backend;
  if (!killed && executor_->node->Wait(0ms) == -1) {
    // Either the backend server leaves, or its node stops.
    const bool ended = bench::WaitFor(
        [this] {
          return executor_->backend->Wait(0ms) != -1 ||
                 executor_->node->Wait(0ms) != -1;
        },
        6s);
    const bool restarted =
        std::any_of(faults_.begin(), faults_.end(), [](const Fault* fault) {
          return fault->repair == &World::RestartExecutor;
        });
    if (!ended && !restarted)
      violations_.push_back("the planned stop did not end within 6 s");
  }
  detail_ += fmt::format("stop {:.1f} s, ", SecondsSince(left_at_));
  StartHost(*executor_);
}

std::vector<std::uint64_t> World::SampleVersions() {
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
      violations_.push_back(fmt::format("{} went from version {} to {}",
                                        host.name, last, version));
    last = version;
    versions.push_back(version);
  }
  return versions;
}

void World::CheckInForce() {
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
          0, accepted_at_ + kInForceMicros - bench::WallMicros())) /
          1ms * 1ms);
  if (!in_force)
    violations_.push_back(fmt::format(
        "version {} is not in force everywhere after 14 s", accepted_version_));
  detail_ += fmt::format("version {} in force after {:.1f} s, ",
                         accepted_version_, SecondsSince(accepted_at_));
}

void World::CheckServesAgain() {
  const std::int64_t since = bench::WallMicros();
  if (!cluster_->WaitReady(kHosts, 15s))
    violations_.push_back("not each node knows each backend server after 15 s");
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
    violations_.push_back(
        fmt::format("no order was served after the repair: {}", answer.result));
  detail_ += fmt::format("served again after {:.1f} s, ", SecondsSince(since));
}

}  // namespace sesamespread::matrix
