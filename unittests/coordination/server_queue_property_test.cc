/// \file
/// Guards against decisions that differ from those of a queue without shares
/// when no call has a tenant, and against calls that are lost or run twice when
/// some have one.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <random>
#include <set>

#include "reference_server_queue.h"
#include "sesamespread/coordination/server_queue.h"

namespace sesamespread::coordination {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::array<const char*, 4> kRoutes = {"read", "write", "list", ""};

// Random operations at a queue that is full most of the time.
class Operations {
 public:
  explicit Operations(std::uint64_t seed) : random_(seed) {}

  int Number(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

  Duration Micros(int bound) { return microseconds(Number(bound)); }

  ServerQueueOptions Options() {
    ServerQueueOptions options;
    if (Number(3) == 0)
      options.max_queued = static_cast<std::size_t>(1 + Number(30));
    return options;
  }

  QueuedCall Call(Ticket ticket, Instant now, TenantHash tenants) {
    QueuedCall call;
    call.ticket = ticket;
    call.route = kRoutes.at(static_cast<std::size_t>(Number(kRoutes.size())));
    call.goal = now - milliseconds(20) + Micros(400'000);
    call.deadline = call.goal + Micros(500'000);
    call.max_wait = Micros(600'000);
    call.priority = static_cast<std::uint32_t>(Number(5));
    call.has_alternatives = Number(3) == 0;
    call.tenant = tenants == 0 ? 0 : random_() % tenants;
    return call;
  }

 private:
  std::mt19937_64 random_;
};

void ExpectEqual(const QueueActions& actual, const QueueActions& expected) {
  RC_ASSERT(actual.start == expected.start);
  RC_ASSERT(actual.refuse == expected.refuse);
}

// The load without the work times that are only reported to callers. The
// reference does not measure them.
QueueLoad DecisiveLoad(QueueLoad load) {
  const QueueLoad defaults;
  load.work_time = defaults.work_time;
  load.work_factor_percent = defaults.work_factor_percent;
  return load;
}

RC_GTEST_PROP(ServerQueueProperty,
              DecidesAsBeforeWithoutTenants,
              (std::uint64_t seed)) {
  Operations operations(seed);
  const ServerQueueOptions options = operations.Options();
  ServerQueue queue(options);
  ReferenceServerQueue reference(options);
  Instant now = Instant(std::chrono::hours(1));
  queue.rate_limit().OnAnswer(std::nullopt, now, now);
  reference.rate_limit().OnAnswer(std::nullopt, now, now);
  std::vector<Ticket> running;
  Ticket next = 1;
  const auto apply = [&running](const QueueActions& actions) {
    running.insert(running.end(), actions.start.begin(), actions.start.end());
  };
  for (int i = 0; i < 1000; ++i) {
    now += operations.Micros(2000);
    const int kind = operations.Number(100);
    if (kind < 55) {
      const QueuedCall call = operations.Call(next++, now, 0);
      RC_ASSERT(queue.ExpectedWaitOf(call, now) ==
                reference.ExpectedWaitOf(call, now));
      const QueueDecision actual = queue.Offer(call, now);
      const QueueDecision expected = reference.Offer(call, now);
      RC_ASSERT(actual.outcome == expected.outcome);
      RC_ASSERT(actual.code == expected.code);
      RC_ASSERT(actual.expected_wait == expected.expected_wait);
      RC_ASSERT(!actual.evicted);
      if (actual.outcome == QueueOutcome::kStart)
        running.push_back(call.ticket);
    } else if (kind < 85 && !running.empty()) {
      const auto ended =
          running.begin() + operations.Number(static_cast<int>(running.size()));
      const Ticket ticket = *ended;
      running.erase(ended);
      const std::string route =
          kRoutes.at(static_cast<std::size_t>(operations.Number(4)));
      const Duration time = operations.Micros(60'000);
      const bool answered = operations.Number(5) != 0;
      const QueueActions actions =
          queue.Finish(route, time, answered, now, ticket);
      ExpectEqual(actions, reference.Finish(route, time, answered, now));
      apply(actions);
    } else if (kind < 92) {
      const QueueActions actions = queue.Tick(now);
      ExpectEqual(actions, reference.Tick(now));
      apply(actions);
    } else if (kind < 95) {
      const auto ticket =
          static_cast<Ticket>(operations.Number(static_cast<int>(next)));
      RC_ASSERT(queue.Cancel(ticket) == reference.Cancel(ticket));
    } else if (kind < 97) {
      const auto slots = static_cast<std::uint32_t>(operations.Number(20));
      queue.SetSlots(slots);
      reference.SetSlots(slots);
    } else if (kind < 98) {
      const auto requests = static_cast<std::uint32_t>(operations.Number(30));
      queue.OnReportedLoad(requests);
      reference.OnReportedLoad(requests);
    } else if (kind < 99) {
      const auto rate = operations.Number(2) == 0
                            ? std::nullopt
                            : std::optional<double>(5 + operations.Number(500));
      queue.rate_limit().OnAnswer(rate, now, now);
      reference.rate_limit().OnAnswer(rate, now, now);
    } else {
      RC_ASSERT(queue.RefuseAll(ResultCode::kNoBackendServer) ==
                reference.RefuseAll(ResultCode::kNoBackendServer));
    }
    RC_ASSERT(DecisiveLoad(queue.load(now)) == reference.load(now));
  }
}

RC_GTEST_PROP(ServerQueueProperty,
              EndsEachCallOnceWithTenants,
              (std::uint64_t seed)) {
  Operations operations(seed);
  const ServerQueueOptions options = operations.Options();
  ServerQueue queue(options);
  Instant now = Instant(std::chrono::hours(1));
  queue.rate_limit().OnAnswer(std::nullopt, now, now);
  std::set<Ticket> running;
  std::set<Ticket> queued;
  Ticket next = 1;
  const auto apply = [&](const QueueActions& actions) {
    for (const Ticket ticket : actions.start) {
      RC_ASSERT(queued.erase(ticket) == 1U);
      running.insert(ticket);
    }
    for (const QueueRefusal& refusal : actions.refuse)
      RC_ASSERT(queued.erase(refusal.ticket) == 1U);
  };
  for (int i = 0; i < 1000; ++i) {
    now += operations.Micros(2000);
    const int kind = operations.Number(100);
    if (kind < 55) {
      const QueuedCall call = operations.Call(next++, now, 6);
      const QueueDecision decision = queue.Offer(call, now);
      if (decision.evicted) {
        RC_ASSERT(call.tenant != 0U);
        RC_ASSERT(decision.outcome == QueueOutcome::kQueued);
        RC_ASSERT(queued.erase(decision.evicted->ticket) == 1U);
      }
      if (decision.outcome == QueueOutcome::kStart)
        running.insert(call.ticket);
      if (decision.outcome == QueueOutcome::kQueued)
        queued.insert(call.ticket);
    } else if (kind < 85 && !running.empty()) {
      const auto ended = std::next(
          running.begin(), operations.Number(static_cast<int>(running.size())));
      const Ticket ticket = *ended;
      running.erase(ended);
      apply(queue.Finish(
          kRoutes.at(static_cast<std::size_t>(operations.Number(4))),
          operations.Micros(60'000), operations.Number(5) != 0, now, ticket));
    } else if (kind < 95) {
      apply(queue.Tick(now));
    } else if (kind < 99) {
      const auto ticket =
          static_cast<Ticket>(operations.Number(static_cast<int>(next)));
      RC_ASSERT(queue.Cancel(ticket) == (queued.erase(ticket) == 1U));
    } else {
      RC_ASSERT(queue.RefuseAll(ResultCode::kNoBackendServer).size() ==
                queued.size());
      queued.clear();
    }
    const QueueLoad load = queue.load(now);
    RC_ASSERT(load.queued == queued.size());
    RC_ASSERT(load.in_progress == running.size());
    RC_ASSERT(load.queued <= options.max_queued);
  }
}

}  // namespace
}  // namespace sesamespread::coordination
