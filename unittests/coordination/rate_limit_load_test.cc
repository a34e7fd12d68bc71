/// \file
/// Plays the load of a service whose servers state rate limits, in virtual
/// time, and checks what callers get. Guards against a limited server that is
/// taken for an overload of its service, and against orders that are refused
/// while browse requests use what the limits allow.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "sesamespread/coordination/overload.h"
#include "sesamespread/coordination/server_queue.h"

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using std::chrono::milliseconds;

constexpr std::size_t kServers = 4;
constexpr std::uint32_t kSlots = 190;
constexpr double kServiceMs = 120;
constexpr double kRequestsPerMs = 0.34;
constexpr double kLoadMs = 20'000;
constexpr double kLimitPerSecond = 45;
constexpr double kOrderShare = 0.3;
constexpr std::uint32_t kOrderRank = 0;
constexpr std::uint32_t kBrowseRank = 2;
constexpr char kRoute[] = "stock";

Instant At(double ms) {
  return Instant(std::chrono::hours(1)) +
         Duration(static_cast<std::int64_t>(ms * 1000));
}

struct LoadOptions {
  std::size_t limited_servers = 0;
  /// Whether calls tell that the sender has other servers to try.
  bool has_alternatives = true;
};

struct Served {
  int offered = 0;
  int served = 0;
  int refused_at_entry = 0;

  double Share() const { return static_cast<double>(served) / offered; }
};

class RateLimitLoad {
 public:
  explicit RateLimitLoad(const LoadOptions& options) : options_(options) {
    for (std::size_t i = 0; i < kServers; ++i) {
      queues_[i].SetSlots(kSlots);
      const bool is_limited = i < options.limited_servers;
      queues_[i].rate_limit().OnAnswer(
          is_limited ? std::optional(kLimitPerSecond) : std::nullopt, At(0),
          At(0));
    }
  }

  /// \returns what became of the requests, by rank.
  std::map<std::uint32_t, Served> Run() {
    std::exponential_distribution<double> gap(kRequestsPerMs);
    std::bernoulli_distribution is_order(kOrderShare);
    double tick = 0;
    for (double now = 0; now < kLoadMs; now += gap(random_)) {
      for (; tick < now; tick += 10)
        Advance(tick);
      Admit(is_order(random_) ? kOrderRank : kBrowseRank, now);
    }
    for (; tick < kLoadMs + 3000; tick += 10)
      Advance(tick);
    return results_;
  }

  /// Starts at server \p server, in milliseconds, in order.
  const std::vector<double>& starts(std::size_t server) const {
    return starts_[server];
  }

 private:
  struct Running {
    double end;
    std::size_t server;
    Ticket ticket;
    double started;
    bool operator>(const Running& other) const { return end > other.end; }
  };
  struct Request {
    std::uint32_t rank;
    double goal;
  };

  void Admit(std::uint32_t rank, double now) {
    Served& result = results_[rank];
    ++result.offered;
    if (EntryPriority(rank, random_()) >=
        thresholds_.LowestThreshold(kRoute, At(now)).threshold) {
      ++result.refused_at_entry;
      return;
    }
    const Ticket ticket = next_ticket_++;
    requests_[ticket] = {rank, now + 1200};
    std::array<std::size_t, kServers> order{};
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random_);
    // Each server once for a short wait, then for a long one.
    for (const bool is_last_pass : {false, true}) {
      for (const std::size_t server : order) {
        if (Offer(server, ticket, is_last_pass, now))
          return;
      }
    }
  }

  bool Offer(std::size_t server, Ticket ticket, bool is_last_pass, double now) {
    const Request& request = requests_.at(ticket);
    QueuedCall call;
    call.ticket = ticket;
    call.route = kRoute;
    call.goal = At(request.goal);
    call.deadline = At(request.goal + 3800);
    call.max_wait = milliseconds(is_last_pass ? 600 : 180);
    call.priority = request.rank;
    call.has_alternatives = options_.has_alternatives && !is_last_pass;
    const QueueOutcome outcome = queues_[server].Offer(call, At(now)).outcome;
    if (outcome == QueueOutcome::kStart)
      Start(server, ticket, now);
    if (outcome == QueueOutcome::kRefused)
      Report(server, now);
    return outcome != QueueOutcome::kRefused;
  }

  void Start(std::size_t server, Ticket ticket, double now) {
    std::exponential_distribution<double> work(1 / kServiceMs);
    starts_[server].push_back(now);
    running_.push({now + work(random_), server, ticket, now});
  }

  // The server reports its threshold with an answer.
  void Report(std::size_t server, double now) {
    const QueueLoad load = queues_[server].load(At(now));
    controllers_[server].Observe(load.expected_wait, load.unused_share,
                                 At(now));
    thresholds_.Observe(
        kRoute, {{"inventory", controllers_[server].threshold()}}, At(now));
  }

  void Apply(std::size_t server, const QueueActions& actions, double now) {
    for (const Ticket ticket : actions.start)
      Start(server, ticket, now);
  }

  void Advance(double now) {
    while (!running_.empty() && running_.top().end <= now) {
      const Running done = running_.top();
      running_.pop();
      const Request& request = requests_.at(done.ticket);
      if (done.end <= request.goal)
        ++results_[request.rank].served;
      const auto spent =
          Duration(static_cast<std::int64_t>((done.end - done.started) * 1000));
      Apply(done.server,
            queues_[done.server].Finish(kRoute, spent, true, At(done.end)),
            done.end);
      Report(done.server, done.end);
    }
    for (std::size_t i = 0; i < kServers; ++i)
      Apply(i, queues_[i].Tick(At(now)), now);
  }

  const LoadOptions options_;
  std::mt19937_64 random_{1};
  std::array<ServerQueue, kServers> queues_;
  std::array<OverloadThreshold, kServers> controllers_;
  RouteThresholds thresholds_;
  std::array<std::vector<double>, kServers> starts_;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
  std::map<Ticket, Request> requests_;
  std::map<std::uint32_t, Served> results_;
  Ticket next_ticket_ = 1;
};

// Most starts in a window of four seconds, after the first second.
std::size_t MaxStartsInWindow(const std::vector<double>& starts) {
  std::size_t most = 0;
  for (auto first = std::lower_bound(starts.begin(), starts.end(), 1000);
       first != starts.end(); ++first) {
    const auto last = std::lower_bound(first, starts.end(), *first + 4000);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

// The users allow 1.5 times the limit and five requests more in four seconds.
constexpr std::size_t kMaxStarts = 275;

TEST(RateLimitLoadTest, OneServerWithoutLimitTakesWhatTheOthersDoNot) {
  RateLimitLoad load({3, true});
  const auto results = load.Run();
  for (const auto& [rank, result] : results) {
    EXPECT_GT(result.Share(), 0.99) << rank;
    EXPECT_EQ(result.refused_at_entry, 0) << rank;
  }
  for (std::size_t server = 0; server < 3; ++server)
    EXPECT_LE(MaxStartsInWindow(load.starts(server)), kMaxStarts);
}

TEST(RateLimitLoadTest, WithoutAlternativesALimitLooksLikeAnOverload) {
  auto results = RateLimitLoad({3, false}).Run();
  EXPECT_GT(results[kBrowseRank].refused_at_entry, 0);
}

// The limits of all servers together allow 180 requests a second of 340.
TEST(RateLimitLoadTest, OrdersAreServedWhileAllServersAreLimited) {
  RateLimitLoad load({kServers, true});
  auto results = load.Run();
  EXPECT_GT(results[kOrderRank].Share(), 0.97);
  const int served = results[kOrderRank].served + results[kBrowseRank].served;
  EXPECT_GT(served, 0.9 * kServers * kLimitPerSecond * kLoadMs / 1000);
  for (std::size_t server = 0; server < kServers; ++server)
    EXPECT_LE(MaxStartsInWindow(load.starts(server)), kMaxStarts);
}

// Other nodes send what a large server takes to a node that has just restarted.
TEST(RateLimitLoadTest, ARestartedNodeDoesNotExceedALimitItHasYetToLearn) {
  constexpr double kLowLimitPerSecond = 6;
  constexpr std::size_t kMaxStartsAtLowLimit = 41;
  ServerQueue queue;
  queue.SetSlots(kSlots);
  std::vector<double> starts;
  std::deque<double> ends;
  for (int ms = 0; ms < 4000; ++ms) {
    QueuedCall call;
    call.ticket = static_cast<Ticket>(ms + 1);
    call.route = kRoute;
    call.goal = At(ms + 1200);
    call.deadline = At(ms + 5000);
    call.max_wait = milliseconds(600);
    std::size_t started =
        queue.Offer(call, At(ms)).outcome == QueueOutcome::kStart ? 1 : 0;
    while (!ends.empty() && ends.front() <= ms) {
      queue.rate_limit().OnAnswer(kLowLimitPerSecond,
                                  At(ends.front() - kServiceMs), At(ms));
      ends.pop_front();
      started +=
          queue.Finish(kRoute, milliseconds(120), true, At(ms)).start.size();
    }
    started += queue.Tick(At(ms)).start.size();
    starts.insert(starts.end(), started, ms);
    ends.insert(ends.end(), started, ms + kServiceMs);
  }
  EXPECT_GT(starts.size(), 4 * kLowLimitPerSecond);
  EXPECT_LE(starts.size(), kMaxStartsAtLowLimit);
}

}  // namespace
}  // namespace sesamespread::coordination
