/// \file
/// Guards against an entry node that sheds the requests of all tenants because
/// of one, and against a threshold that refuses more or less than it says.
#include "sesamespread/coordination/entry_shares.h"

#include <gtest/gtest.h>

#include <cmath>
#include <numeric>
#include <random>
#include <vector>

#include "sesamespread/coordination/overload.h"
#include "sesamespread/state/request_context.h"

namespace sesamespread::coordination {
namespace {

using state::Instant;
using state::kPrioritiesPerImportance;
using state::kPriorityCount;
using std::chrono::milliseconds;

Instant At(std::int64_t ms) {
  return Instant(std::chrono::hours(1) + milliseconds(ms));
}

TEST(EntrySharesTest, RequestsWithoutTenantHaveTheSamePriority) {
  EntryShares shares;
  std::mt19937_64 random(1);
  for (int i = 0; i < 10'000; ++i) {
    const auto rank = static_cast<std::uint32_t>(random() % 5);
    const std::uint64_t hash = random();
    // Requests with tenants do not change those without.
    shares.PriorityOf(rank, hash, 1 + random() % 10, At(i));
    EXPECT_EQ(shares.PriorityOf(rank, hash, 0, At(i)),
              EntryPriority(rank, hash));
  }
}

TEST(EntrySharesTest, RanksDoNotOverlap) {
  EntryShares shares;
  for (std::uint32_t rank = 0; rank < 4; ++rank) {
    for (int i = 0; i < 1000; ++i) {
      const std::uint64_t hash = i % 2 == 0 ? UINT64_MAX : 0;
      const std::uint32_t priority = shares.PriorityOf(rank, hash, 5, At(i));
      EXPECT_EQ(priority / kPrioritiesPerImportance, std::min(rank, 2U));
    }
  }
}

// Requests per second at one entry node.
std::vector<double> ZipfRates(double sum) {
  std::vector<double> rates(81);
  for (std::size_t i = 0; i < rates.size(); ++i)
    rates[i] = std::pow(static_cast<double>(i + 1), -1.2);
  const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
  for (double& rate : rates)
    rate *= sum / total;
  return rates;
}

// Requests of one tenant in the last seconds of a simulation.
struct Count {
  double asked = 0;
  double admitted = 0;
};

// One entry node with a constant threshold in rank 1 during the last 6 s of
// 66 s, in which the tenant \p hot sends ten times as much as usual.
std::vector<Count> SimulateEntry(double requests_per_s,
                                 std::size_t hot,
                                 double refused_part) {
  constexpr int kSurgeMs = 60'000;
  EntryShares shares;
  std::mt19937_64 random(3);
  const std::vector<double> rates = ZipfRates(requests_per_s);
  std::vector<Count> counts(rates.size());
  for (int ms = 0; ms < 66'000; ++ms) {
    const bool surge = ms >= kSurgeMs;
    const std::uint32_t threshold =
        surge ? static_cast<std::uint32_t>((2 - refused_part) *
                                           kPrioritiesPerImportance)
              : kPriorityCount;
    for (std::size_t i = 0; i < rates.size(); ++i) {
      const double rate = rates[i] / 1000 * (surge && i == hot ? 10 : 1);
      for (int n = std::poisson_distribution<int>(rate)(random); n > 0; --n) {
        const bool admit =
            shares.PriorityOf(1, random(), i + 1, At(ms)) < threshold;
        if (admit)
          shares.OnAdmitted(1, i + 1, At(ms));
        // The demand of the last second needs one to show.
        if (ms >= kSurgeMs + 1000) {
          counts[i].asked += 1;
          counts[i].admitted += admit ? 1 : 0;
        }
      }
    }
  }
  return counts;
}

Count SumWithout(const std::vector<Count>& counts, std::size_t hot) {
  Count sum;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    sum.asked += i == hot ? 0 : counts[i].asked;
    sum.admitted += i == hot ? 0 : counts[i].admitted;
  }
  return sum;
}

TEST(EntrySharesTest, ShedsTheTenantAboveItsShareFirst) {
  // Refused is what the tenant sends beyond its usual requests.
  for (const std::size_t hot : {0U, 1U, 4U}) {
    const double part =
        ZipfRates(1).at(hot) * 9 / (1 + ZipfRates(1).at(hot) * 9);
    const Count others = SumWithout(SimulateEntry(600, hot, part), hot);
    EXPECT_GE(others.admitted, 0.9 * others.asked) << "tenant " << hot;
  }
}

TEST(EntrySharesTest, AThresholdRefusesThePartThatItSays) {
  for (const double part : {0.1, 0.3, 0.6, 0.9}) {
    const Count all = SumWithout(SimulateEntry(600, 4, part), SIZE_MAX);
    EXPECT_NEAR(1 - all.admitted / all.asked, part, 0.05) << "part " << part;
  }
}

// An entry node of a large deployment gets a fraction of a request per second
// of most tenants.
TEST(EntrySharesTest, RareRequestsAreNotTakenForASurge) {
  const std::vector<Count> counts = SimulateEntry(20, 0, 0.5);
  Count rare;
  for (std::size_t i = 20; i < counts.size(); ++i) {
    rare.asked += counts[i].asked;
    rare.admitted += counts[i].admitted;
  }
  EXPECT_GE(rare.admitted, 0.9 * rare.asked);
}

}  // namespace
}  // namespace sesamespread::coordination
