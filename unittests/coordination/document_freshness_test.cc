/// \file
/// Guards against withdrawn API keys that are accepted for too long: knowledge
/// of the document that looks more recent than it is.
#include "sesamespread/coordination/document_freshness.h"

#include <gtest/gtest.h>

namespace sesamespread::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kEra = 3;

state::Instant At(state::Duration since_start) {
  return state::Instant(seconds(1000) + since_start);
}

// The store's clock is 600 s ahead of the local one in these tests.
StoreTime StoreAt(state::Duration since_start) {
  return {kEra, seconds(1600) + since_start};
}

class DocumentFreshnessTest : public ::testing::Test {
 protected:
  DocumentFreshnessTest() {
    options_.max_age = milliseconds(4500);
    freshness_ = DocumentFreshness(options_);
    clock_.OnReading(StoreAt(milliseconds(2)), At(seconds(0)),
                     At(milliseconds(4)));
  }

  DocumentFreshnessOptions options_;
  StoreClock clock_;
  DocumentFreshness freshness_;
};

TEST_F(DocumentFreshnessTest, KeysAreRefusedFromTheBoundOn) {
  EXPECT_FALSE(freshness_.IsFresh(At(seconds(1))));
  freshness_.OnStatement(7, StoreAt(seconds(1)), 7, clock_, At(seconds(1)));
  EXPECT_TRUE(freshness_.IsFresh(At(seconds(5))));
  EXPECT_FALSE(freshness_.IsFresh(At(milliseconds(5501))));
  freshness_.OnStatement(7, StoreAt(seconds(6)), 7, clock_, At(seconds(6)));
  EXPECT_TRUE(freshness_.IsFresh(At(seconds(6))));
}

// A notice that was delayed by a stalled connection, or is repeated, must not
// count from its arrival.
TEST_F(DocumentFreshnessTest, ADelayedStatementIsAsOldAsItsReading) {
  freshness_.OnStatement(7, StoreAt(seconds(1)), 7, clock_, At(seconds(9)));
  EXPECT_FALSE(freshness_.IsFresh(At(seconds(9))));
  EXPECT_GE(*freshness_.Age(At(seconds(9))), seconds(8));
}

// An estimate of the clock from a slow call may only make the knowledge look
// older.
TEST_F(DocumentFreshnessTest, AnUncertainClockMakesTheKnowledgeLookOlder) {
  StoreClock clock;
  clock.OnReading(StoreAt(milliseconds(900)), At(seconds(0)), At(seconds(1)));
  freshness_.OnStatement(7, StoreAt(seconds(1)), 7, clock, At(seconds(1)));
  EXPECT_GE(*freshness_.Age(At(seconds(1))), milliseconds(900));
  // A faster call improves the estimate.
  clock.OnReading(StoreAt(seconds(2)), At(milliseconds(1998)), At(seconds(2)));
  freshness_.OnStatement(7, StoreAt(seconds(2)), 7, clock, At(seconds(2)));
  EXPECT_LE(*freshness_.Age(At(seconds(2))), milliseconds(5));
}

TEST_F(DocumentFreshnessTest, AStatementOfALaterVersionWaitsForThatVersion) {
  freshness_.OnStatement(8, StoreAt(seconds(1)), 7, clock_, At(seconds(1)));
  EXPECT_FALSE(freshness_.IsFresh(At(seconds(1))));
  freshness_.OnVersionInForce(8, clock_, At(seconds(2)));
  EXPECT_TRUE(freshness_.IsFresh(At(seconds(2))));
  EXPECT_GE(*freshness_.Age(At(seconds(2))), seconds(1));
}

// After the store came back from an older copy, a withdrawal may be missing
// until the operator has written it again.
TEST_F(DocumentFreshnessTest, ANewEraConfirmsNothingAtFirst) {
  freshness_.OnStatement(7, StoreAt(seconds(1)), 7, clock_, At(seconds(1)));
  const StoreTime restored{kEra + 1, seconds(5)};
  clock_.OnReading(restored, At(seconds(5)), At(seconds(5)));
  freshness_.OnStatement(6, restored, 7, clock_, At(seconds(5)));
  EXPECT_GE(*freshness_.Age(At(seconds(5))), seconds(4));
  const StoreTime later{kEra + 1, seconds(7)};
  freshness_.OnStatement(7, later, 7, clock_, At(seconds(7)));
  EXPECT_LE(*freshness_.Age(At(seconds(7))), milliseconds(5));
}

TEST_F(DocumentFreshnessTest, AReadingOfAnUnknownEraIsNotUsed) {
  freshness_.OnStatement(7, {kEra + 1, seconds(9000)}, 7, clock_,
                         At(seconds(1)));
  EXPECT_FALSE(freshness_.Age(At(seconds(1))));
}

TEST_F(DocumentFreshnessTest, WithoutABoundKeysAreAlwaysAccepted) {
  EXPECT_TRUE(DocumentFreshness().IsFresh(At(seconds(1))));
}

}  // namespace
}  // namespace sesamespread::coordination
