/// \file
/// Guards against shares that let a busy tenant take what others use, against
/// credit that idle tenants store up, and against unbounded state.
#include "sesamespread/coordination/fair_shares.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using state::Instant;
using std::chrono::milliseconds;

Instant At(std::int64_t ms) {
  return Instant(std::chrono::hours(1) + milliseconds(ms));
}

// Starts a call of \p tenant with 1 ms of work.
FairTag RunCall(FairShares& shares, TenantHash tenant, std::int64_t ms) {
  const FairTag tag = shares.Reserve(tenant, 1000, At(ms));
  shares.OnStart(tag);
  shares.OnGiven(tenant, 1000, 1000, At(ms));
  return tag;
}

TEST(FairSharesTest, QueuedCallsOfATenantGetLaterTags) {
  FairShares shares;
  const FairTag first = shares.Reserve(1, 1000, At(0));
  const FairTag second = shares.Reserve(1, 1000, At(0));
  const FairTag other = shares.Reserve(2, 1000, At(0));
  EXPECT_GT(second.start, first.start);
  EXPECT_LT(other.start, second.start);
}

TEST(FairSharesTest, IdleTenantsReenterAtTheVirtualTime) {
  FairShares shares;
  RunCall(shares, 1, 0);
  for (int i = 1; i < 1000; ++i)
    RunCall(shares, 2, i);
  EXPECT_EQ(shares.NextStart(1), shares.virtual_time());
  EXPECT_EQ(shares.NextStart(3), shares.virtual_time());
  EXPECT_GT(shares.virtual_time(), 0);
}

TEST(FairSharesTest, ReleasedTagsAreGivenAgain) {
  FairShares shares;
  shares.Reserve(1, 1000, At(0));
  const FairTag second = shares.Reserve(1, 1000, At(0));
  shares.Release(1, second);
  EXPECT_DOUBLE_EQ(shares.Reserve(1, 1000, At(0)).start, second.start);
}

// Calls that take longer than expected count as what they took.
TEST(FairSharesTest, CorrectsTheExpectedWork) {
  FairShares shares;
  shares.Reserve(1, 1000, At(0));
  shares.OnGiven(1, 5000, 1000, At(5));
  EXPECT_DOUBLE_EQ(shares.NextStart(1), 5000 / FairSharesOptions().min_weight);
}

FairShares SharesWithMinWeight(double min_weight) {
  FairSharesOptions options;
  options.min_weight = min_weight;
  return FairShares(options);
}

TEST(FairSharesTest, WeightsFollowTheUsualWork) {
  FairShares shares = SharesWithMinWeight(1);
  for (int ms = 0; ms < 60'000; ms += 10) {
    RunCall(shares, 1, ms);
    if (ms % 100 == 0)
      RunCall(shares, 2, ms);
  }
  // 100 and 10 calls per second: the average is 55.
  EXPECT_NEAR(shares.Weight(1, At(60'000)), 100 / 55.0, 0.02);
  EXPECT_EQ(shares.Weight(2, At(60'000)), 1);
}

TEST(FairSharesTest, DemandLevelComparesWithTheUsualWork) {
  FairShares shares = SharesWithMinWeight(1);
  // Two tenants of 100 and 20 requests per second; the second one sends 200 per
  // second in the last 2 s, of which it is given as many as before.
  for (int ms = 0; ms < 32'000; ms += 10) {
    shares.OnDemand(1, 1, At(ms));
    shares.OnGiven(1, 1, 0, At(ms));
    if (ms >= 30'000)
      shares.OnDemand(2, 2, At(ms));
    else if (ms % 50 == 0)
      shares.OnDemand(2, 1, At(ms));
    if (ms % 50 == 0)
      shares.OnGiven(2, 1, 0, At(ms));
  }
  EXPECT_NEAR(shares.DemandLevel(1, At(32'000)), 1, 0.1);
  // Its share is the average of 60 per second.
  EXPECT_NEAR(shares.DemandLevel(2, At(32'000)), 0.9 * 200 / 60, 0.4);
  EXPECT_EQ(shares.DemandLevel(3, At(32'000)), 0);
}

TEST(FairSharesTest, EvictsTheLeastActiveFirst) {
  FairSharesOptions options;
  options.max_tenants = 100;
  options.min_weight = 1;
  FairShares shares(options);
  for (int i = 0; i < 50; ++i)
    RunCall(shares, 1, i);
  for (TenantHash tenant = 2; tenant < 5000; ++tenant) {
    RunCall(shares, tenant, static_cast<std::int64_t>(50 + tenant));
    ASSERT_LE(shares.size(), options.max_tenants);
  }
  EXPECT_GT(shares.Weight(1, At(6000)), 1);
}

TEST(FairSharesTest, ForgetsIdleTenants) {
  FairShares shares;
  for (TenantHash tenant = 1; tenant <= 200; ++tenant)
    RunCall(shares, tenant, 0);
  for (int ms = 0; ms < 300'000; ms += 100)
    RunCall(shares, 1000 + static_cast<TenantHash>(ms / 100 % 300), ms);
  EXPECT_LE(shares.size(), 310U);
}

}  // namespace
}  // namespace sesamespread::coordination
