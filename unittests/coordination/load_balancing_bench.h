/// \file
/// A service and the nodes that call it, in virtual time: one Router and one
/// WaitTable per calling node, one ServerQueue per server. The retries and the
/// reports are those of lib/transport/entry_request_handler.cc and
/// backend_executor.cc.
#ifndef SESAMESPREAD_UNITTESTS_COORDINATION_LOAD_BALANCING_BENCH_H_
#define SESAMESPREAD_UNITTESTS_COORDINATION_LOAD_BALANCING_BENCH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "sesamespread/coordination/routing.h"
#include "sesamespread/coordination/server_queue.h"
#include "sesamespread/coordination/wait_table.h"
#include "sesamespread/state/request_context.h"

namespace sesamespread::coordination {

/// The service and its load. Times are in milliseconds.
struct BenchScenario {
  std::size_t servers = 24;
  std::uint32_t slots = 16;
  std::size_t zones = 3;
  std::size_t deciders = 78;
  double requests_per_second = 28;
  /// Permanent speeds, dealt to the servers of each zone in turn.
  std::vector<double> speeds = {0.5, 1, 1, 1.5};
  /// Each server is this many times slower for a share of the time.
  double noise_factor = 2.5;
  double noise_share = 0.15;
  double noise_spell = 600;
  /// Whether the servers report their work time.
  bool reports_work_time = true;
  double duration = 20'000;
  std::uint64_t seed = 1;
  /// A zone whose servers are this many times slower, to check the spill.
  double first_zone_slowdown = 1;
};

/// How servers are chosen. The defaults are those of the product.
struct BenchPolicy {
  /// False: as before the reports of wait and work time.
  bool uses_reports = true;
  /// Whether a server refuses a first placement while it is slow.
  bool refuses_slow = true;
  RouterOptions router;
};

struct BenchResult {
  /// Work of the busiest server relative to the mean, weighted by speed.
  double busiest = 0;
  double wait_p99 = 0;
  double latency_p99 = 0;
  double mean_latency = 0;
  /// Share of the requests that are answered within the limit of 300 ms.
  double in_time = 0;
  /// Share of the runs in another zone than that of the caller.
  double other_zone = 0;
  /// Share of the slots that are idle while as many calls wait elsewhere.
  double idle_while_queued = 0;
  /// Calls sent per request, and share of requests that no server took.
  double placements = 0;
  double failed = 0;
};

class LoadBalancingBench {
 public:
  LoadBalancingBench(BenchScenario scenario, BenchPolicy policy);

  BenchResult Run();

 private:
  struct Event {
    double at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  struct Server {
    std::unique_ptr<ServerQueue> queue;
    double speed = 1;
    std::size_t zone = 0;
    double noise = 1;
    double work = 0;
    std::uint32_t running = 0;
  };
  struct Decider {
    std::unique_ptr<Router> router;
    WaitTable waits;
    std::size_t zone = 0;
  };
  struct Request {
    std::size_t decider = 0;
    double received = 0;
    double work = 0;
    double sent = 0;
    double offered = 0;
    std::size_t server = 0;
    bool is_last_pass = false;
    std::uint32_t placements = 0;
    std::vector<state::NodeId> tried;
  };

  void After(double delay, std::function<void()> action);
  double Delay(std::size_t zone, std::size_t other_zone);
  double MaxWait(const Request& request) const;
  void NextRequest(std::size_t decider);
  void NextSpell(std::size_t server, bool is_slow);
  void Sample();
  void Place(Ticket ticket);
  void Offer(Ticket ticket);
  void Start(Ticket ticket);
  void Apply(const QueueActions& actions);
  void Answer(Ticket ticket, state::ResultCode result);
  void OnAnswer(Ticket ticket,
                state::ResultCode result,
                const LoadHint& hint,
                state::Duration expected_wait);
  LoadHint HintOf(const Server& server) const;
  QueuedCall MakeCall(Ticket ticket) const;
  BenchResult Summarize();

  const BenchScenario scenario_;
  const BenchPolicy policy_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::uint64_t next_event_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Server> servers_;
  std::vector<Decider> deciders_;
  std::vector<Request> requests_;
  std::vector<double> waits_;
  std::vector<double> latencies_;
  std::size_t offered_ = 0;
  std::size_t failed_ = 0;
  std::size_t other_zone_ = 0;
  std::size_t runs_ = 0;
  std::size_t placements_ = 0;
  double idle_sum_ = 0;
  std::size_t samples_ = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_UNITTESTS_COORDINATION_LOAD_BALANCING_BENCH_H_
