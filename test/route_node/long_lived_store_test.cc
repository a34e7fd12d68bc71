/// \file
/// Guards against figures of a store that has run for long, such as the reading
/// of its clock, that pass a bound of the nodes and make its replies unusable.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>

#include "deployment.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::test {
namespace {

using platform::standin::ClockText;
using state::Duration;
using std::chrono::hours;
using std::chrono::seconds;

/// The users' bound for new routes.
constexpr seconds kRoutesBound{2};

constexpr hours kDay{24};
constexpr hours kYear{24 * 365};

class LongLivedStoreTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    if (HasFailure())
      std::cout << deployment_.CollectDiagnostics();
  }

  platform::standin::Store& store() { return deployment_.store(); }

  void SetClockAhead(Duration ahead) {
    store().SetClock([ahead] { return ClockText(ahead); });
  }

  // How far ahead of this host's clock one is that reads \p reading now.
  static Duration AheadOf(Duration reading) {
    return reading - transport::Now().time_since_epoch();
  }

  void ExpectNextRoutesInForce(const std::string& trace) {
    deployment_.PutRoutes(++version_);
    EXPECT_TRUE(bench::WaitFor([&] { return deployment_.IsInForce(version_); },
                               kRoutesBound))
        << trace;
  }

  RouteDeployment deployment_;
  std::uint64_t version_ = 1;
};

// Guards against routes that never come into force once the store's clock has
// passed a day.
TEST_F(LongLivedStoreTest, RoutesComeIntoForceAtEachReadingOfTheClock) {
  const Duration ahead = AheadOf(kDay - seconds(2));
  SetClockAhead(ahead);
  ExpectNextRoutesInForce("before a day");
  ASSERT_TRUE(bench::WaitFor(
      [&] { return transport::Now().time_since_epoch() + ahead > kDay; },
      kTestTimeout));
  ExpectNextRoutesInForce("past a day");
  for (const int years : {1, 50, 30'000}) {
    SetClockAhead(AheadOf(years * kYear));
    ExpectNextRoutesInForce(std::to_string(years) + " years");
  }
  deployment_.KillNode(deployment_.shop());
  deployment_.StartNode(deployment_.shop());
  EXPECT_TRUE(deployment_.WaitUntilServing());
}

// Guards against rows that are lost because the reading beside them is of no
// use.
TEST_F(LongLivedStoreTest, RoutesComeIntoForceBesideAnUnusableReading) {
  for (const char* text : {"", "1780000000000", "\"-5ms\"", "\"soon\"", "null",
                           "\"99999999999999999999999s\""}) {
    store().SetClock([text] { return std::string(text); });
    ExpectNextRoutesInForce(text);
  }
  EXPECT_GT(deployment_.MetricOf(deployment_.shop(),
                                 "sesamespread_store_clock_errors"),
            0);
}

// Guards against versions and eras that are cut or rounded.
TEST_F(LongLivedStoreTest, RoutesComeIntoForceAtLargeVersionsAndEras) {
  store().SetPosition((std::uint64_t{1} << 62) + 1,
                      (std::uint64_t{1} << 53) + 1);
  version_ = std::uint64_t{1} << 62;
  ExpectNextRoutesInForce("large version of the store");
  // Differs from the version before by less than a double can tell.
  deployment_.PutRoutes(++version_, /*with_stock=*/false);
  EXPECT_TRUE(bench::WaitFor(
      [&] {
        return deployment_.Send(deployment_.shop(), "stock.example", "gone")
                   .status == 404;
      },
      kRoutesBound));
}

}  // namespace
}  // namespace sesamespread::test
