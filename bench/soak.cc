/// \file
/// Sends orders under random faults and compares the answers with the journals
/// of the backend servers: counts orders that ran more than once, and orders
/// that ran although they were reported as `not_run`. The seed determines the
/// faults but not their interleaving with the requests.
#include <fmt/format.h>
#include <signal.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "harness/checker.h"
#include "harness/cluster.h"

namespace sesamespread::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kDefaultSeed = 20260;
constexpr int kDefaultOrders = 10'000;
constexpr int kCallers = 32;
/// Minimum time between two orders of one caller. It spreads the default number
/// of orders over about fifty faults.
constexpr milliseconds kMinOrderInterval{160};
constexpr milliseconds kRequestTimeout{1300};
constexpr milliseconds kFaultInterval{300};
/// Longer than the 800 ms that an order may take, so that the deadlines of the
/// requests in a paused process expire.
constexpr milliseconds kFaultDuration{900};
constexpr int kMaxRepeats = 2;
constexpr int kIssuedKeyPercent = 80;
constexpr int kOwnKeyPercent = 10;

ClusterSpec MakeClusterSpec() {
  const std::vector<std::string> fixed = {"--distribution", "fixed"};
  ClusterSpec spec;
  spec.inventory = SourceDir() + "/test/matrix/inventory.yaml";
  spec.zones = {"litoral-a", "cuyo-a"};
  spec.journals = true;
  spec.services = {{"orders", 2, 32, 200, 10,
                    "inventory:GET:/stock,ledger:POST:/entries", fixed},
                   {"inventory", 2, 32, 200, 5, "prices:GET:/price", fixed},
                   {"prices", 2, 4, 100, 10, "", fixed},
                   {"ledger", 2, 32, 200, 5, "", fixed}};
  return spec;
}

class Soak {
 public:
  Soak(std::uint64_t seed, int orders)
      : seed_(seed),
        orders_(orders),
        random_(seed),
        cluster_(MakeClusterSpec()) {
    for (const Host& host : cluster_.hosts())
      ports_.push_back(host.ports.caller);
  }

  int Run() {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i)
      callers.emplace_back([this, i] { RunCaller(i); });
    while (next_order_ < orders_)
      InjectFault();
    for (std::thread& caller : callers)
      caller.join();
    return CheckResults();
  }

 private:
  void RunCaller(int caller) {
    std::mt19937_64 random(seed_ + 1 + static_cast<std::uint64_t>(caller));
    while (next_order_++ < orders_) {
      const auto start = std::chrono::steady_clock::now();
      SendOrder(random);
      std::this_thread::sleep_until(start + kMinOrderInterval);
    }
  }

  void SendOrder(std::mt19937_64& random) {
    const auto random_port = [&] { return ports_[random() % ports_.size()]; };
    CallerRequest order;
    order.trace_id = NewTraceId();
    order.method = "POST";
    order.service = "orders";
    order.path = "/new";
    order.body = "order " + order.trace_id;
    order.is_order = true;
    const auto kind = static_cast<int>(random() % 100);
    if (kind < kIssuedKeyPercent) {
      for (int i = 0; i < 5 && order.key.empty(); ++i)
        order.key = IssueKey(random_port(), "orders");
    } else if (kind < kIssuedKeyPercent + kOwnKeyPercent) {
      order.key = "own-" + order.trace_id;
    }
    // A caller must not repeat an order without an idempotency key.
    const int sends = order.key.empty() ? 1 : 1 + kMaxRepeats;
    for (int i = 0; i < sends; ++i) {
      Answer answer = Send(random_port(), order, kRequestTimeout);
      const bool done = answer.status == 200;
      // A tenth of the answered orders is repeated as well, to test that the
      // repeat does not run.
      const bool repeat_anyway = random() % 10 == 0;
      const std::lock_guard lock(mutex_);
      answers_.push_back(std::move(answer));
      if (done && !repeat_anyway)
        break;
    }
  }

  Host& RandomHost() { return cluster_.hosts()[random_() % 8]; }

  void RestartHost(Host& host) {
    host.backend.reset();
    host.node.reset();
    cluster_.StartNode(host);
    cluster_.StartBackend(host);
  }

  void Pause(const Process& process) {
    process.Signal(SIGSTOP);
    std::this_thread::sleep_for(kFaultDuration);
    process.Signal(SIGCONT);
  }

  void InjectFault() {
    static constexpr const char* kNames[] = {
        "node killed",           "backend server killed", "node paused",
        "backend server paused", "platform down",         "platform slow",
        "replies lost",          "answers reset",         "answers truncated"};
    const std::size_t kind = random_() % std::size(kNames);
    Host& host = RandomHost();
    ++faults_[kNames[kind]];
    switch (kind) {
      case 0:
        RestartHost(host);
        break;
      case 1:
        host.backend.reset();
        std::this_thread::sleep_for(kFaultInterval);
        cluster_.StartBackend(host);
        break;
      case 2:
        Pause(*host.node);
        break;
      case 3:
        Pause(*host.backend);
        break;
      case 4:
        ControlPlatformFor(R"({"mode":"down"})");
        break;
      case 5:
        ControlPlatformFor(R"({"mode":"slow","delay_ms":400})");
        break;
      case 6:
        ControlPlatformFor(R"({"lose_replies":5})");
        break;
      case 7:
        ControlBackendFor(host, R"({"fail":"reset"})");
        break;
      default:
        ControlBackendFor(host, R"({"fail":"truncate"})");
        break;
    }
    std::this_thread::sleep_for(kFaultInterval);
  }

  void ControlPlatformFor(const std::string& json) {
    cluster_.ControlPlatform(json);
    std::this_thread::sleep_for(kFaultDuration);
    cluster_.ControlPlatform(R"({"mode":"up","lose_replies":0})");
  }

  void ControlBackendFor(const Host& host, const std::string& json) {
    Cluster::ControlBackend(host, json);
    std::this_thread::sleep_for(kFaultDuration);
    Cluster::ControlBackend(host, R"({"fail":"none"})");
  }

  int CheckResults() {
    const std::vector<StartedRequest> started = ReadJournals(cluster_);
    std::map<int, int> results;
    std::map<std::string, bool> orders;
    int not_run = 0;
    for (const Answer& answer : answers_) {
      ++results[answer.status == 200 ? 100 : answer.result];
      not_run += answer.not_run ? 1 : 0;
      bool& served = orders[answer.request.trace_id];
      served = served || answer.status == 200;
    }
    const auto served =
        std::count_if(orders.begin(), orders.end(),
                      [](const auto& entry) { return entry.second; });
    fmt::print("seed {}: {} orders, {} requests, {} orders served\n", seed_,
               orders.size(), answers_.size(), served);
    for (const auto& [name, count] : faults_)
      fmt::print("fault {}: {}\n", name, count);
    for (const auto& [result, count] : results)
      fmt::print("result {}: {}\n", result, count);
    fmt::print("not_run: {}; executions at backend servers: {}\n", not_run,
               started.size());
    const auto duplicates = CheckAtMostOnce(answers_, started);
    const auto false_not_run = CheckNotRun(answers_, started);
    const auto wrong = CheckAnswers(answers_);
    for (const auto* lines : {&duplicates, &false_not_run, &wrong}) {
      for (const std::string& line : *lines)
        fmt::print("violation: {}\n", line);
    }
    const auto verdict = [](const std::vector<std::string>& lines) {
      return lines.empty() ? "ok" : "short";
    };
    fmt::print("bench duplicates {} orders 0 {}\n", duplicates.size(),
               verdict(duplicates));
    fmt::print("bench false_not_run {} requests 0 {}\n", false_not_run.size(),
               verdict(false_not_run));
    const bool enough = static_cast<int>(orders.size()) >= orders_;
    return duplicates.empty() && false_not_run.empty() && wrong.empty() &&
                   enough
               ? 0
               : 1;
  }

  const std::uint64_t seed_;
  const int orders_;
  std::mt19937_64 random_;
  Cluster cluster_;
  std::vector<std::uint16_t> ports_;
  std::atomic<int> next_order_ = 0;
  std::mutex mutex_;
  std::vector<Answer> answers_;  // guarded by mutex_
  std::map<std::string, int> faults_;
};

}  // namespace
}  // namespace sesamespread::bench

int main(int argc, char** argv) {
  using sesamespread::bench::kDefaultOrders;
  using sesamespread::bench::kDefaultSeed;
  using sesamespread::bench::Soak;
  if (argc > 3) {
    fmt::print(stderr, "usage: soak [seed [orders]]\n");
    return 2;
  }
  try {
    const auto seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeed;
    return Soak(seed, argc > 2 ? std::atoi(argv[2]) : kDefaultOrders).Run();
  } catch (const std::exception& error) {
    fmt::print(stderr, "soak: {}\n", error.what());
    return 1;
  }
}
