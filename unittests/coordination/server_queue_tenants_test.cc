/// \file
/// Guards against a tenant that takes the slots of others at a full server.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/entry_shares.h"
#include "sesamespread/coordination/overload.h"
#include "sesamespread/coordination/server_queue.h"

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using state::ResultCode;
using std::chrono::milliseconds;

constexpr double kSlots = 18;
constexpr double kUsableSlots = 17;
constexpr double kWorkMs = 15;
// Calls per millisecond.
constexpr double kCapacity = kUsableSlots / kWorkMs;

Instant At(double ms) {
  return Instant(std::chrono::hours(1)) +
         Duration(static_cast<std::int64_t>(ms * 1000));
}

struct Tenant {
  TenantHash hash = 0;
  // Share of the server's capacity that it asks for.
  double load = 0;
  std::uint32_t rank = 1;
  // Factor of its load between surge_start and surge_end.
  double surge = 1;

  // In milliseconds, since the start.
  std::vector<double> arrivals;
  // Arrivals of the calls that were answered before their deadlines.
  std::vector<double> served;
  std::vector<double> waits;

  static double CountBetween(const std::vector<double>& times,
                             double from_ms,
                             double to_ms) {
    return static_cast<double>(
        std::count_if(times.begin(), times.end(),
                      [=](double ms) { return ms >= from_ms && ms < to_ms; }));
  }
  double Served(double from_ms, double to_ms) const {
    return CountBetween(served, from_ms, to_ms);
  }
  double Asked(double from_ms, double to_ms) const {
    return CountBetween(arrivals, from_ms, to_ms);
  }
};

struct Period {
  double start_ms = 0;
  double end_ms = 0;
};

// The parts of the simulation that know the tenants, and whether an entry node
// refuses requests above the threshold of the server.
struct Mode {
  bool server_shares = true;
  bool entry = false;
  bool entry_shares = true;
};

// Runs a server with calls of all tenants until surge.end_ms.
void Simulate(std::vector<Tenant>& tenants, Period surge, Mode mode = {}) {
  struct Event {
    double ms = 0;
    std::size_t tenant = 0;
    // 0 for an arrival.
    Ticket ended = 0;
    bool operator>(const Event& other) const { return ms > other.ms; }
  };
  struct Running {
    std::size_t tenant = 0;
    double arrival = 0;
    double start = 0;
  };
  ServerQueue queue;
  EntryShares entry;
  OverloadThreshold overload;
  RouteThresholds thresholds;
  queue.SetSlots(static_cast<std::uint32_t>(kSlots));
  queue.rate_limit().OnAnswer(std::nullopt, At(0), At(0));
  std::mt19937_64 work_random(7);
  std::mt19937_64 id_random(8);
  std::exponential_distribution<double> work(1 / kWorkMs);
  // One generator for each tenant, so that a surge of one does not change the
  // arrivals of others.
  std::vector<std::mt19937_64> randoms;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::unordered_map<Ticket, Running> calls;
  // Arrivals at the highest rate of the tenant, of which is_dropped removes
  // those beyond its present one.
  const auto next_arrival = [&](std::size_t i, double now) {
    const double rate =
        tenants[i].load * kCapacity * std::max(tenants[i].surge, 1.0);
    events.push(
        {now + std::exponential_distribution<double>(rate)(randoms[i]), i, 0});
  };
  const auto is_dropped = [&](std::size_t i, double now) {
    const bool surges = now >= surge.start_ms && now < surge.end_ms;
    return !surges && !std::bernoulli_distribution(
                          1 / std::max(tenants[i].surge, 1.0))(randoms[i]);
  };
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    randoms.emplace_back(1000 + i);
    next_arrival(i, 0);
  }
  Ticket next_ticket = 1;
  double next_tick = 0;
  const auto start = [&](Ticket ticket, double now) {
    Running& call = calls.at(ticket);
    call.start = now;
    tenants[call.tenant].waits.push_back(now - call.arrival);
    events.push({now + work(work_random), call.tenant, ticket});
  };
  const auto apply = [&](const QueueActions& actions, double now) {
    for (const Ticket ticket : actions.start)
      start(ticket, now);
    for (const QueueRefusal& refusal : actions.refuse)
      calls.erase(refusal.ticket);
  };
  while (!events.empty()) {
    const Event event = events.top();
    events.pop();
    if (event.ms >= surge.end_ms)
      break;
    for (; next_tick < event.ms; next_tick += 10)
      apply(queue.Tick(At(next_tick)), next_tick);
    Tenant& tenant = tenants[event.tenant];
    if (event.ended != 0) {
      const Running call = calls.at(event.ended);
      calls.erase(event.ended);
      if (event.ms - call.arrival <= 700)
        tenant.served.push_back(call.arrival);
      const QueueLoad load = queue.load(At(event.ms));
      overload.Observe(load.expected_wait, load.unused_share, At(event.ms));
      thresholds.Observe("read", {{"stock", overload.threshold()}},
                         At(event.ms));
      const auto spent = At(event.ms) - At(call.start);
      apply(queue.Finish("read", spent, true, At(event.ms), event.ended),
            event.ms);
      continue;
    }
    next_arrival(event.tenant, event.ms);
    if (is_dropped(event.tenant, event.ms))
      continue;
    tenant.arrivals.push_back(event.ms);
    const std::uint32_t priority =
        entry.PriorityOf(tenant.rank, id_random(),
                         mode.entry_shares ? tenant.hash : 0, At(event.ms));
    if (mode.entry &&
        priority >= thresholds.LowestThreshold("read", At(event.ms)).threshold)
      continue;
    entry.OnAdmitted(tenant.rank, tenant.hash, At(event.ms));
    QueuedCall call;
    call.ticket = next_ticket++;
    call.route = "read";
    call.goal = At(event.ms) + milliseconds(300);
    call.deadline = At(event.ms) + milliseconds(700);
    call.max_wait = milliseconds(350);
    call.priority = tenant.rank;
    call.tenant = mode.server_shares ? tenant.hash : 0;
    calls[call.ticket] = {event.tenant, event.ms, 0};
    const QueueDecision decision = queue.Offer(call, At(event.ms));
    if (decision.outcome == QueueOutcome::kStart)
      start(call.ticket, event.ms);
    else if (decision.outcome == QueueOutcome::kRefused)
      calls.erase(call.ticket);
    if (decision.evicted)
      calls.erase(decision.evicted->ticket);
  }
}

// 81 tenants of very different size, which ask for \p load of the capacity.
std::vector<Tenant> ZipfTenants(double load) {
  std::vector<Tenant> tenants(81);
  double sum = 0;
  for (std::size_t i = 0; i < tenants.size(); ++i)
    sum += std::pow(i + 1, -1.2);
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    tenants[i].hash = 0x9E3779B97F4A7C15ULL * (i + 1);
    tenants[i].load = load * std::pow(i + 1, -1.2) / sum;
  }
  return tenants;
}

constexpr Period kSurge{60'000, 70'000};

// What the others are given during a surge of one tenant, by what they are
// given without it.
struct Kept {
  double all = 1;
  // The least of those with at least 100 calls.
  double least = 1;
};

Kept KeptByOthers(std::size_t hot, double load, Mode mode = {}) {
  std::vector<Tenant> usual = ZipfTenants(load);
  std::vector<Tenant> surge = usual;
  surge.at(hot).surge = 10;
  Simulate(usual, kSurge, mode);
  Simulate(surge, kSurge, mode);
  Kept kept;
  double sum_usual = 0;
  double sum_surge = 0;
  for (std::size_t i = 0; i < usual.size(); ++i) {
    if (i == hot)
      continue;
    const double before = usual[i].Served(kSurge.start_ms, kSurge.end_ms - 700);
    const double after = surge[i].Served(kSurge.start_ms, kSurge.end_ms - 700);
    sum_usual += before;
    sum_surge += after;
    if (before >= 100)
      kept.least = std::min(kept.least, after / before);
  }
  kept.all = sum_surge / sum_usual;
  return kept;
}

class HotTenantTest : public ::testing::TestWithParam<std::size_t> {};

TEST_P(HotTenantTest, EachOtherKeepsWhatItIsGiven) {
  const Kept kept = KeptByOthers(GetParam(), 0.95);
  EXPECT_GE(kept.all, 0.95);
  EXPECT_GE(kept.least, 0.9);
}

// Above the capacity each tenant is refused some calls without the surge as
// well, so that what a single one is given varies more.
TEST_P(HotTenantTest, OthersKeepWhatTheyAreGivenUnderOverload) {
  EXPECT_GE(KeptByOthers(GetParam(), 1.05).all, 0.95);
}

// The thresholds of the server make entry nodes refuse a part of its rank
// while the queue is long.
TEST_P(HotTenantTest, OthersKeepWhatTheyAreGivenBehindAnEntryNode) {
  EXPECT_GE(KeptByOthers(GetParam(), 0.95, {.entry = true}).all, 0.9);
}

INSTANTIATE_TEST_SUITE_P(Sizes, HotTenantTest, ::testing::Values(0, 1, 10, 80));

// Guards against a test whose load would not harm the others anyway.
TEST(ServerQueueTenantsTest, OthersLoseMostCallsWithoutShares) {
  EXPECT_LT(KeptByOthers(0, 0.95, {.server_shares = false}).all, 0.5);
  EXPECT_LT(KeptByOthers(0, 0.95, {.entry = true, .entry_shares = false}).all,
            0.5);
}

// Guards against a full queue that refuses tenants below their shares.
TEST(ServerQueueTenantsTest, AFullQueueRefusesTheTenantFurthestAboveItsShare) {
  ServerQueueOptions options;
  options.max_queued = 3;
  ServerQueue queue(options);
  queue.SetSlots(1);
  queue.rate_limit().OnAnswer(std::nullopt, At(0), At(0));
  const auto offer = [&queue](Ticket ticket, TenantHash tenant,
                              std::uint32_t rank) {
    QueuedCall call;
    call.ticket = ticket;
    call.route = "read";
    call.goal = At(10'000);
    call.deadline = At(10'000);
    call.max_wait = std::chrono::seconds(10);
    call.priority = rank;
    call.tenant = tenant;
    return queue.Offer(call, At(0));
  };
  EXPECT_EQ(offer(1, 1, 1).outcome, QueueOutcome::kStart);
  for (Ticket ticket = 2; ticket <= 4; ++ticket)
    EXPECT_EQ(offer(ticket, 1, 1).outcome, QueueOutcome::kQueued);
  EXPECT_EQ(offer(5, 1, 1).outcome, QueueOutcome::kRefused);
  EXPECT_EQ(offer(6, 0, 1).outcome, QueueOutcome::kRefused);
  EXPECT_EQ(offer(7, 2, 2).outcome, QueueOutcome::kRefused);
  const QueueDecision decision = offer(8, 2, 1);
  EXPECT_EQ(decision.outcome, QueueOutcome::kQueued);
  EXPECT_EQ(decision.evicted, (QueueRefusal{4, ResultCode::kQueueFull}));
  // The tenant of a higher rank takes the place of a lower one.
  EXPECT_EQ(offer(9, 3, 0).evicted, (QueueRefusal{3, ResultCode::kQueueFull}));
  EXPECT_EQ(queue.Finish("read", milliseconds(1), true, At(1), 1).start,
            (std::vector<Ticket>{9}));
  EXPECT_EQ(queue.Finish("read", milliseconds(1), true, At(2), 9).start,
            (std::vector<Ticket>{8}));
}

// Guards against tenants that push back calls without one, such as those of
// public routes.
TEST(ServerQueueTenantsTest, CallsWithoutTenantKeepTheirPlace) {
  std::vector<Tenant> usual = ZipfTenants(0.65);
  Tenant none;
  none.load = 0.3;
  usual.push_back(none);
  std::vector<Tenant> surge = usual;
  surge.at(0).surge = 10;
  std::vector<Tenant> surge_without_shares = surge;
  Simulate(surge, kSurge);
  Simulate(surge_without_shares, kSurge, {.server_shares = false});
  EXPECT_GE(surge.back().Served(kSurge.start_ms, kSurge.end_ms - 700),
            0.9 * surge_without_shares.back().Served(kSurge.start_ms,
                                                     kSurge.end_ms - 700));
}

// The flood is of rank 1, the tenant of rank 0 asks for 0.3 of the capacity.
TEST(ServerQueueTenantsTest, TenantsOfHigherRankGoFirst) {
  std::vector<Tenant> tenants = ZipfTenants(0.95);
  Tenant important;
  important.hash = 7;
  important.load = 0.3;
  important.rank = 0;
  tenants.push_back(important);
  tenants.at(0).surge = 10;
  Simulate(tenants, kSurge);
  Tenant& first = tenants.back();
  EXPECT_GE(first.Served(kSurge.start_ms, kSurge.end_ms - 700),
            0.99 * first.Asked(kSurge.start_ms, kSurge.end_ms - 700));
  std::sort(first.waits.begin(), first.waits.end());
  EXPECT_LT(first.waits.at(first.waits.size() * 99 / 100), 30);
}

TEST(ServerQueueTenantsTest, AStarvingTenantGetsItsShareWithinASecond) {
  // The only tenant floods the server for a minute; then another one comes.
  std::vector<Tenant> tenants(2);
  tenants[0] = {1, 3, 1, 1, {}, {}, {}};
  tenants[1] = {2, 0.0003, 1, 1000, {}, {}, {}};
  Simulate(tenants, {60'000, 63'000});
  // Its weight is the average one, the other's is at most twice as much.
  for (const double ms : {60'000.0, 61'000.0}) {
    const double asked = tenants[1].Asked(ms, ms + 1000);
    EXPECT_GT(asked, 250);
    EXPECT_GE(tenants[1].Served(ms, ms + 1000), 0.9 * asked);
  }
}

}  // namespace
}  // namespace sesamespread::coordination
