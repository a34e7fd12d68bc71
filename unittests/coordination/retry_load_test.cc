/// \file
/// Guards against retries that are spread over so many requests that hardly any
/// request with several calls succeeds. For eight seconds all servers of a
/// service deep in the call chain refuse nearly half of their arrivals, while
/// the retry budget covers a fifth of its requests.
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
constexpr double kRefusedShare = 0.45;
constexpr double kArrivalsPerRead = 1 / (1 - kRefusedShare);
constexpr int kMaxArrivals = 12;
constexpr std::size_t kNodes = 4;
constexpr double kNormalSeconds = 10;
constexpr double kRefusingSeconds = 8;
constexpr double kRatio = 0.2;

/// A kind of request at the entry node.
struct RequestKind {
  double per_second = 0;
  int reads = 0;
  bool from_backend = false;
  std::uint32_t priority = 0;
};

// Stock checks are requests of callers and read once; schedules and bookings
// read through calls of backend servers.
constexpr std::array<RequestKind, 3> kRequestKinds = {
    RequestKind{180, 1, false, 1}, RequestKind{480, 5, true, 2},
    RequestKind{205, 10, true, 0}};
constexpr std::size_t kStockChecks = 0;
constexpr std::size_t kSchedules = 1;
constexpr std::size_t kBookings = 2;

struct Outcome {
  std::array<double, kRequestKinds.size()> requests{};
  std::array<double, kRequestKinds.size()> served{};
  // Reads while the servers refuse, and before.
  double reads = 0;
  double normal_reads = 0;
  double retries = 0;

  double Share(std::size_t kind) const { return served[kind] / requests[kind]; }
};

/// Whether the ranks of retries follow the progress of the runs.
enum class Ranks : std::uint8_t { kByRequest, kByProgress };

class RetryLoad {
 public:
  explicit RetryLoad(Ranks ranks) : ranks_(ranks) {}

  Outcome Run() {
    double total = 0;
    for (const RequestKind& kind : kRequestKinds)
      total += kind.per_second;
    std::exponential_distribution<double> gap(total);
    std::uniform_real_distribution<double> draw(0, total);
    for (double at_s = 0; at_s < kNormalSeconds + kRefusingSeconds;
         at_s += gap(random_)) {
      std::size_t kind = 0;
      double position = draw(random_);
      while (position >= kRequestKinds[kind].per_second)
        position -= kRequestKinds[kind++].per_second;
      SimulateRequest(kind, at_s);
    }
    return outcome_;
  }

 private:
  void SimulateRequest(std::size_t kind, double at_s) {
    const bool refuses = at_s >= kNormalSeconds;
    const std::uint64_t root = random_();
    bool is_served = true;
    // The calls of a run are made by one node.
    SharedRetryBudget& budget = nodes_[random_() % kNodes];
    const int reads = kRequestKinds[kind].reads;
    for (int i = 0; i < reads && is_served; ++i) {
      const double remaining_share =
          ranks_ == Ranks::kByProgress ? double(reads - i) / reads : 1;
      const double rank =
          RetryRank(kRequestKinds[kind].from_backend,
                    kRequestKinds[kind].priority, root, remaining_share);
      is_served = Read(budget, rank, at_s, refuses);
    }
    if (!refuses)
      return;
    ++outcome_.requests[kind];
    outcome_.served[kind] += is_served ? 1 : 0;
  }

  bool Read(SharedRetryBudget& budget, double rank, double at_s, bool refuses) {
    const state::Instant now{
        std::chrono::hours(1) +
        microseconds(static_cast<std::int64_t>(at_s * 1e6))};
    budget.OnRequest(kService, now);
    (refuses ? outcome_.reads : outcome_.normal_reads) += 1;
    std::bernoulli_distribution is_refused(refuses ? kRefusedShare : 0);
    for (int arrivals = 1; is_refused(random_); ++arrivals) {
      if (arrivals == kMaxArrivals ||
          !budget.TryAcquire({kService, rank, true}, now))
        return false;
      ++outcome_.retries;
    }
    return true;
  }

  const Ranks ranks_;
  std::mt19937_64 random_{20261204};
  std::vector<SharedRetryBudget> nodes_{
      kNodes, SharedRetryBudget(SharedRetryBudgetOptions{})};
  Outcome outcome_;
};

TEST(RetryLoadTest, BookingsSucceedWhileAllServersRefuse) {
  const Outcome outcome = RetryLoad(Ranks::kByProgress).Run();
  RecordProperty("stock_checks", std::to_string(outcome.Share(kStockChecks)));
  RecordProperty("schedules", std::to_string(outcome.Share(kSchedules)));
  RecordProperty("bookings", std::to_string(outcome.Share(kBookings)));
  // A retry completes a stock check, so that there are enough for all of them.
  EXPECT_GT(outcome.Share(kStockChecks), 0.95);
  // The bound may refer to the requests of the window before. `possible`
  // bookings could be completed with the retries that the stock checks leave;
  // at least half as many must be.
  const double bound = kRatio * std::max(outcome.reads, outcome.normal_reads);
  const double needed_per_read = kArrivalsPerRead - 1;
  const double left = bound - needed_per_read * outcome.requests[kStockChecks];
  const double possible =
      left / (needed_per_read * kRequestKinds[kBookings].reads);
  EXPECT_GT(outcome.served[kBookings], possible / 2);
  EXPECT_GT(outcome.Share(kBookings), outcome.Share(kSchedules));
  EXPECT_LE(outcome.retries, bound + kNodes);
}

// Guards against retries that are spent on runs which fail at a later call: a
// run that lacks one call is completed by few retries, one that has just
// started needs several times as many.
TEST(RetryLoadTest, RetriesCompleteMoreRunsIfTheirProgressCounts) {
  const Outcome by_request = RetryLoad(Ranks::kByRequest).Run();
  const Outcome by_progress = RetryLoad(Ranks::kByProgress).Run();
  const auto completed = [](const Outcome& outcome) {
    return outcome.served[kSchedules] + outcome.served[kBookings];
  };
  RecordProperty("bookings_by_request",
                 std::to_string(by_request.Share(kBookings)));
  RecordProperty("bookings_by_progress",
                 std::to_string(by_progress.Share(kBookings)));
  RecordProperty("schedules_by_request",
                 std::to_string(by_request.Share(kSchedules)));
  RecordProperty("schedules_by_progress",
                 std::to_string(by_progress.Share(kSchedules)));
  EXPECT_GT(completed(by_progress), completed(by_request));
  EXPECT_GT(by_progress.Share(kBookings), by_request.Share(kBookings));
}

}  // namespace
}  // namespace sesamespread::coordination
