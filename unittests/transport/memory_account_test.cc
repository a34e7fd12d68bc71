/// \file
/// Guards against a node that gives up small or progressing holders before
/// large and slow ones, and against charges that outlive their holders.
#include "sesamespread/transport/memory_account.h"

#include <gtest/gtest.h>

#include <memory>

namespace sesamespread::transport {
namespace {

using Time = std::chrono::steady_clock::time_point;
using std::chrono::seconds;

constexpr std::size_t kKib = 1024;

struct Holder {
  explicit Holder(MemoryAccount* account)
      : charge(account, [this] { ++given_up; }) {}
  int given_up = 0;
  MemoryAccount::Charge charge;
};

TEST(MemoryAccountTest, GivesUpTheLargestFirst) {
  MemoryAccount account(100 * kKib);
  Holder large(&account);
  Holder medium(&account);
  Holder small(&account);
  small.charge.Set(4 * kKib, true, Time(seconds(1)));
  medium.charge.Set(40 * kKib, true, Time(seconds(2)));
  large.charge.Set(90 * kKib, true, Time(seconds(3)));
  account.Relieve();
  EXPECT_EQ(large.given_up, 1);
  EXPECT_EQ(medium.given_up + small.given_up, 0);
  EXPECT_EQ(account.held(), 44 * kKib);
  EXPECT_EQ(account.refusals(), 1U);
}

TEST(MemoryAccountTest, GivesUpTheSlowestOfSimilarSize) {
  MemoryAccount account(100 * kKib);
  Holder fast(&account);
  Holder slow(&account);
  fast.charge.Set(60 * kKib, true, Time(seconds(2)));
  slow.charge.Set(50 * kKib, true, Time(seconds(1)));
  account.Relieve();
  EXPECT_EQ(slow.given_up, 1);
  EXPECT_EQ(fast.given_up, 0);
}

TEST(MemoryAccountTest, NeverGivesUpSmallHolders) {
  MemoryAccount account(kKib);
  Holder small(&account);
  small.charge.Set(MemoryAccount::kSmallBytes, true);
  account.Relieve();
  EXPECT_EQ(small.given_up, 0);
  EXPECT_TRUE(account.Admits(MemoryAccount::kSmallBytes));
}

TEST(MemoryAccountTest, AdmitsARequestInPlaceOfALargerOne) {
  MemoryAccount account(100 * kKib);
  Holder holder(&account);
  holder.charge.Set(80 * kKib, true);
  EXPECT_FALSE(account.Admits(90 * kKib));
  EXPECT_EQ(holder.given_up, 0);
  EXPECT_TRUE(account.Admits(30 * kKib));
  EXPECT_EQ(holder.given_up, 1);
}

TEST(MemoryAccountTest, ADestroyedHolderIsNotCharged) {
  MemoryAccount account(100 * kKib);
  auto holder = std::make_unique<Holder>(&account);
  holder->charge.Set(200 * kKib, true);
  holder.reset();
  EXPECT_EQ(account.held(), 0U);
  account.Relieve();
}

TEST(MemoryAccountTest, NotifiesOnceWhenMemoryIsFree) {
  MemoryAccount account(100 * kKib);
  Holder holder(&account);
  holder.charge.Set(90 * kKib);
  int notified = 0;
  account.WhenLow([&] { ++notified; });
  holder.charge.Set(80 * kKib);
  EXPECT_EQ(notified, 0);
  holder.charge.Set(70 * kKib);
  holder.charge.Set(0);
  EXPECT_EQ(notified, 1);
}

// Most hosts set no bound.
TEST(MemoryAccountTest, TheDefaultBoundFitsTheSmallestHosts) {
  EXPECT_LE(MemoryBound(0), 48U << 20);
  EXPECT_GT(MemoryBound(0), 0U);
  EXPECT_EQ(MemoryBound(123), 123U);
}

}  // namespace
}  // namespace sesamespread::transport
