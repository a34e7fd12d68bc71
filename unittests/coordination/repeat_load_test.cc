/// \file
/// Plays the load of scale-1 at the candle board: for eight seconds of a surge
/// all servers of the deep service refuse nearly half of their arrivals, and
/// the retry budget covers a fifth of its requests. Guards against repeats that
/// are spread so thinly that hardly any request with several calls is served.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <vector>

#include "sesamespread/coordination/shared_retry_budget.h"

namespace sesamespread::coordination {
namespace {

using std::chrono::microseconds;

constexpr char kService[] = "inventory";
constexpr double kRefused = 0.45;
constexpr double kArrivalsPerRead = 1 / (1 - kRefused);
constexpr int kMaxArrivals = 12;
constexpr std::size_t kNodes = 4;
constexpr double kCalmSeconds = 10;
constexpr double kRefusingSeconds = 8;
constexpr double kRatio = 0.2;

/// A kind of request at the entry.
struct Kind {
  double per_second = 0;
  int reads = 0;
  bool from_backend = false;
  std::uint32_t priority = 0;
};

// Stock checks read once themselves; schedules and bookings through calls.
constexpr std::array<Kind, 3> kKinds = {
    Kind{180, 1, false, 1}, Kind{480, 5, true, 2}, Kind{205, 10, true, 0}};
constexpr std::size_t kStockChecks = 0;
constexpr std::size_t kSchedules = 1;
constexpr std::size_t kBookings = 2;

struct Outcome {
  std::array<double, kKinds.size()> asked{};
  std::array<double, kKinds.size()> served{};
  // While servers refuse, and before.
  double reads = 0;
  double calm_reads = 0;
  double repeats = 0;

  double Share(std::size_t kind) const { return served[kind] / asked[kind]; }
};

class RepeatLoad {
 public:
  Outcome Play() {
    double total = 0;
    for (const Kind& kind : kKinds)
      total += kind.per_second;
    std::exponential_distribution<double> gap(total);
    std::uniform_real_distribution<double> draw(0, total);
    for (double at = 0; at < kCalmSeconds + kRefusingSeconds;
         at += gap(random_)) {
      std::size_t kind = 0;
      double place = draw(random_);
      while (place >= kKinds[kind].per_second)
        place -= kKinds[kind++].per_second;
      Offer(kind, at);
    }
    return outcome_;
  }

 private:
  void Offer(std::size_t kind, double at) {
    const bool refuses = at >= kCalmSeconds;
    const std::uint64_t root = random_();
    bool is_served = true;
    for (int i = 0; i < kKinds[kind].reads && is_served; ++i)
      is_served = Read(kKinds[kind], root, at, refuses);
    if (!refuses)
      return;
    ++outcome_.asked[kind];
    outcome_.served[kind] += is_served ? 1 : 0;
  }

  bool Read(const Kind& kind, std::uint64_t root, double at, bool refuses) {
    SharedRetryBudget& budget = nodes_[random_() % kNodes];
    const state::Instant now{std::chrono::hours(1) +
                             microseconds(static_cast<std::int64_t>(at * 1e6))};
    budget.OnRequest(kService, now);
    (refuses ? outcome_.reads : outcome_.calm_reads) += 1;
    std::bernoulli_distribution is_refused(refuses ? kRefused : 0);
    for (int arrivals = 1; is_refused(random_); ++arrivals) {
      const double rank = RetryRank(kind.from_backend, kind.priority, root);
      if (arrivals == kMaxArrivals ||
          !budget.TryAcquire({kService, rank, true}, now))
        return false;
      ++outcome_.repeats;
    }
    return true;
  }

  std::mt19937_64 random_{20261204};
  std::vector<SharedRetryBudget> nodes_{
      kNodes, SharedRetryBudget(SharedRetryBudgetOptions{})};
  Outcome outcome_;
};

TEST(RepeatLoadTest, OrdersAreServedWholeWhileAllServersRefuse) {
  const Outcome outcome = RepeatLoad().Play();
  RecordProperty("stock_checks", std::to_string(outcome.Share(kStockChecks)));
  RecordProperty("schedules", std::to_string(outcome.Share(kSchedules)));
  RecordProperty("bookings", std::to_string(outcome.Share(kBookings)));
  // One repeat serves a stock check, so that none has to go without.
  EXPECT_GT(outcome.Share(kStockChecks), 0.95);
  // The bound counts the requests of the window before as well. What it leaves
  // after stock checks would serve so many bookings whole; half of it is asked
  // for.
  const double bound = kRatio * std::max(outcome.reads, outcome.calm_reads);
  const double needed_per_read = kArrivalsPerRead - 1;
  const double left = bound - needed_per_read * outcome.asked[kStockChecks];
  const double possible = left / (needed_per_read * kKinds[kBookings].reads);
  EXPECT_GT(outcome.served[kBookings], possible / 2);
  EXPECT_GT(outcome.Share(kBookings), outcome.Share(kSchedules));
  EXPECT_LE(outcome.repeats, bound + kNodes);
}

}  // namespace
}  // namespace sesamespread::coordination
