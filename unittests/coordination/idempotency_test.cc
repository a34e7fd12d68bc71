/// \file
/// Guards against a second execution of a key and against the replay of an
/// answer to another request.
#include "sesamespread/coordination/idempotency.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

namespace sesamespread::coordination {
namespace {

using state::Instant;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Verdict = ExecutionTable::Verdict;

constexpr state::NodeIncarnation kSelf{7, 8};
constexpr std::uint64_t kWallStart = 1'700'000'000'000;
const state::WallTime kWall{milliseconds(kWallStart)};

Instant At(state::Duration since_start) {
  return Instant(std::chrono::hours(1)) + since_start;
}

/// A key issued \p ms after the start of the executor.
KeyBinding MakeKey(std::int64_t ms, std::uint64_t random = 1) {
  return {kSelf, kWallStart + static_cast<std::uint64_t>(ms), random};
}

StoredAnswer MakeAnswer(std::string body) {
  StoredAnswer answer;
  answer.http_status = 201;
  answer.body = std::move(body);
  return answer;
}

class ExecutionTableTest : public ::testing::Test {
 protected:
  explicit ExecutionTableTest(ExecutionTable::Options options = {})
      : table_(kSelf, kWall, At(seconds(0)), options) {}

  Verdict Begin(const KeyBinding& key,
                state::Duration at,
                std::uint64_t fingerprint = 5,
                ExecutionTable::WaiterId waiter = 1) {
    return table_.Begin(key, fingerprint, waiter, At(at)).verdict;
  }

  ExecutionTable table_;
};

TEST(KeyBindingTest, TextFormIsReadBackExactly) {
  const bool holds = rc::check([](std::uint64_t node, std::uint64_t incarnation,
                                  std::uint64_t ms, std::uint64_t random) {
    const KeyBinding key{{node, incarnation}, ms, random};
    const std::string text = FormatKey(key);
    RC_ASSERT(text.size() == kKeyTextLength);
    RC_ASSERT(ParseKey(text) == key);
    RC_ASSERT(HasKeyPrefix(text));
  });
  EXPECT_TRUE(holds);
}

// Guards against two texts for one key, and against reads past the end of the
// text.
TEST(KeyBindingTest, RefusesAnyOtherText) {
  const std::string text = FormatKey({{1, 2}, 3, 0xAB});
  EXPECT_TRUE(ParseKey(text));
  EXPECT_FALSE(ParseKey(""));
  EXPECT_FALSE(ParseKey(text + "0"));
  for (std::size_t i = 0; i < text.size(); ++i) {
    EXPECT_FALSE(ParseKey(text.substr(0, i)));
    std::string changed = text;
    changed[i] = changed[i] == 'a' ? 'A' : '_';
    EXPECT_FALSE(ParseKey(changed)) << changed;
  }
}

TEST(KeyBindingTest, FingerprintCoversEveryPart) {
  const std::set<std::uint64_t> prints{FingerprintOf("s", "m", "p", "b", 1),
                                       FingerprintOf("t", "m", "p", "b", 1),
                                       FingerprintOf("s", "n", "p", "b", 1),
                                       FingerprintOf("s", "m", "q", "b", 1),
                                       FingerprintOf("s", "m", "p", "c", 1),
                                       FingerprintOf("s", "m", "p", "b", 2),
                                       FingerprintOf("s", "mp", "", "b", 1)};
  EXPECT_EQ(prints.size(), 7u);
}

TEST_F(ExecutionTableTest, RunsOnceAndReplaysTheFirstAnswer) {
  const KeyBinding key = MakeKey(0);
  EXPECT_EQ(Begin(key, seconds(1)), Verdict::kRun);
  EXPECT_EQ(Begin(key, seconds(1), 5, 2), Verdict::kAttached);
  EXPECT_EQ(Begin(key, seconds(1), 5, 3), Verdict::kAttached);
  table_.Detach(key, 2);
  EXPECT_EQ(table_.Complete(key, MakeAnswer("done"), At(seconds(2))),
            std::vector<ExecutionTable::WaiterId>{3});
  table_.Complete(key, MakeAnswer("other"), At(seconds(2)));
  const auto outcome = table_.Begin(key, 5, 4, At(seconds(3)));
  ASSERT_EQ(outcome.verdict, Verdict::kReplay);
  EXPECT_EQ(outcome.answer->body, "done");
  EXPECT_EQ(outcome.answer->body_digest, state::HashOf("done"));
}

// Guards against the replay of another caller's answer.
TEST_F(ExecutionTableTest, RefusesAnotherRequestUnderTheSameKey) {
  const KeyBinding key = MakeKey(0);
  EXPECT_EQ(Begin(key, seconds(1), 5), Verdict::kRun);
  EXPECT_EQ(Begin(key, seconds(1), 6), Verdict::kMismatch);
  table_.Complete(key, MakeAnswer("done"), At(seconds(2)));
  EXPECT_EQ(Begin(key, seconds(3), 6), Verdict::kMismatch);
  EXPECT_EQ(Begin(key, seconds(3), 5), Verdict::kReplay);
}

TEST_F(ExecutionTableTest, RefusesKeysOfOtherIncarnations) {
  KeyBinding key = MakeKey(0);
  key.executor.incarnation = 9;
  EXPECT_EQ(Begin(key, seconds(1)), Verdict::kOtherExecutor);
}

// Guards against a second run after an unknown outcome.
TEST_F(ExecutionTableTest, AnUnknownOutcomeIsNotRunAgain) {
  const KeyBinding key = MakeKey(0);
  EXPECT_EQ(Begin(key, seconds(1)), Verdict::kRun);
  table_.MarkUnknown(key, At(seconds(2)));
  EXPECT_EQ(Begin(key, seconds(3)), Verdict::kOutcomeUnknown);
  EXPECT_TRUE(table_.Abandon(key).empty());
  EXPECT_EQ(Begin(key, seconds(3)), Verdict::kOutcomeUnknown);
  table_.Complete(key, MakeAnswer("late"), At(seconds(4)));
  EXPECT_EQ(Begin(key, seconds(5)), Verdict::kReplay);
}

TEST_F(ExecutionTableTest, AnAbandonedKeyMayRun) {
  const KeyBinding key = MakeKey(0);
  EXPECT_EQ(Begin(key, seconds(1)), Verdict::kRun);
  EXPECT_EQ(Begin(key, seconds(1), 5, 9), Verdict::kAttached);
  EXPECT_EQ(table_.Abandon(key), std::vector<ExecutionTable::WaiterId>{9});
  EXPECT_EQ(table_.bytes(), 0u);
  EXPECT_EQ(Begin(key, seconds(2)), Verdict::kRun);
}

// Guards against the removal of a key before its repeats are refused: the
// window starts at the completion, and at the issue time plus the skew.
TEST_F(ExecutionTableTest, RemovesAKeyOnlyWhenItsRepeatsAreRefused) {
  const KeyBinding key = MakeKey(0);
  EXPECT_EQ(Begin(key, minutes(6)), Verdict::kRun);
  table_.Complete(key, MakeAnswer("done"), At(minutes(6)));
  EXPECT_EQ(Begin(key, minutes(11) - milliseconds(1)), Verdict::kReplay);
  EXPECT_EQ(Begin(key, minutes(11)), Verdict::kExpired);
  EXPECT_EQ(table_.size(), 0u);
  EXPECT_EQ(table_.bytes(), 0u);
}

// Guards against a second run when operators lengthen the window after the key
// was removed.
TEST_F(ExecutionTableTest, ALongerWindowDoesNotReadmitRemovedKeys) {
  const KeyBinding key = MakeKey(0);
  EXPECT_EQ(Begin(key, seconds(1)), Verdict::kRun);
  table_.Complete(key, MakeAnswer("done"), At(seconds(1)));
  table_.Tick(At(minutes(8)));
  ASSERT_EQ(table_.size(), 0u);
  table_.SetRepeatWindow(minutes(60));
  EXPECT_EQ(Begin(key, minutes(8)), Verdict::kExpired);
  EXPECT_EQ(Begin(MakeKey(1), minutes(8)), Verdict::kRun);
}

// Guards against refusing keys of an issuer whose clock error is within
// max_skew, and against keys from the future that would stay in the table too
// long.
TEST_F(ExecutionTableTest, ToleratesClockErrorsWithinMaxSkew) {
  constexpr std::int64_t kMinute = 60'000;
  EXPECT_EQ(Begin(MakeKey(-2 * kMinute, 1), seconds(0)), Verdict::kRun);
  EXPECT_EQ(Begin(MakeKey(2 * kMinute, 2), seconds(0)), Verdict::kRun);
  EXPECT_EQ(Begin(MakeKey(2 * kMinute + 1, 3), seconds(0)),
            Verdict::kNotYetValid);
  EXPECT_EQ(Begin(MakeKey(-8 * kMinute, 4), seconds(0)), Verdict::kExpired);
  KeyBinding key = MakeKey(0, 5);
  key.issued_ms = ~std::uint64_t{0};
  EXPECT_EQ(Begin(key, seconds(0)), Verdict::kNotYetValid);
}

class SmallTableTest : public ExecutionTableTest {
 protected:
  SmallTableTest()
      : ExecutionTableTest({.max_entries = 3,
                            .max_bytes = 1400,
                            .max_body_bytes = 100,
                            .max_waiters_per_key = 1}) {}
};

// Guards against the removal of a stored key to make room for a new one.
TEST_F(SmallTableTest, RefusesNewKeysWhenFull) {
  for (std::uint64_t i = 0; i < 3; ++i)
    EXPECT_EQ(Begin(MakeKey(0, i), seconds(1)), Verdict::kRun);
  EXPECT_EQ(Begin(MakeKey(0, 3), seconds(1)), Verdict::kFull);
  table_.Complete(MakeKey(0, 0), MakeAnswer("done"), At(seconds(1)));
  EXPECT_EQ(Begin(MakeKey(0, 3), seconds(1)), Verdict::kFull);
  EXPECT_EQ(Begin(MakeKey(0, 0), seconds(1)), Verdict::kReplay);
  EXPECT_EQ(Begin(MakeKey(0, 1), seconds(1), 5, 2), Verdict::kAttached);
  EXPECT_EQ(Begin(MakeKey(0, 1), seconds(1), 5, 3), Verdict::kInProgress);
}

// Guards against unbounded memory for large answers.
TEST_F(SmallTableTest, StoresOnlyTheDigestOfLargeAnswers) {
  const std::string body(101, 'x');
  EXPECT_EQ(Begin(MakeKey(0), seconds(1)), Verdict::kRun);
  table_.Complete(MakeKey(0), MakeAnswer(body), At(seconds(1)));
  const auto outcome = table_.Begin(MakeKey(0), 5, 1, At(seconds(2)));
  ASSERT_EQ(outcome.verdict, Verdict::kReplay);
  EXPECT_FALSE(outcome.answer->body_stored);
  EXPECT_EQ(outcome.answer->body, "");
  EXPECT_EQ(outcome.answer->body_size, 101u);
  EXPECT_EQ(outcome.answer->body_digest, state::HashOf(body));
}

// Guards against answers whose header fields alone exceed the bound.
TEST_F(SmallTableTest, DropsHeaderFieldsThatExceedTheBound) {
  EXPECT_EQ(Begin(MakeKey(0), seconds(1)), Verdict::kRun);
  StoredAnswer answer = MakeAnswer("done");
  answer.headers.emplace_back("x-large", std::string(2000, 'x'));
  table_.Complete(MakeKey(0), answer, At(seconds(1)));
  EXPECT_LE(table_.bytes(), 1400u);
  const auto outcome = table_.Begin(MakeKey(0), 5, 1, At(seconds(2)));
  ASSERT_EQ(outcome.verdict, Verdict::kReplay);
  EXPECT_EQ(outcome.answer->http_status, 201);
  EXPECT_FALSE(outcome.answer->body_stored);
}

// Guards against a second run of a key and against exceeded bounds under any
// order of requests, completions, unknown outcomes and changes of the window.
TEST(ExecutionTablePropertyTest, NoKeyRunsTwice) {
  std::uint64_t begins = 0;
  std::uint64_t runs = 0;
  const bool holds = rc::check([&] {
    const ExecutionTable::Options options{.max_entries = 20,
                                          .max_bytes = 7000,
                                          .max_body_bytes = 200,
                                          .repeat_window = seconds(10),
                                          .max_skew = seconds(3)};
    ExecutionTable table(kSelf, kWall, At(seconds(0)), options);
    std::mt19937_64 rng(*rc::gen::arbitrary<std::uint64_t>());
    const auto steps = *rc::gen::inRange(1, 3000);
    std::vector<KeyBinding> keys;
    std::map<KeyBinding, int> executed;
    std::set<KeyBinding> running;
    std::int64_t now = 0;
    for (int step = 0; step < steps; ++step) {
      now += static_cast<std::int64_t>(rng() % 400);
      const Instant at = At(milliseconds(now));
      if (keys.empty() || rng() % 3 == 0) {
        // Issuers' clocks are up to 5 s wrong, more than max_skew.
        const auto error = static_cast<std::int64_t>(rng() % 10'000) - 5000;
        keys.push_back(MakeKey(now + error, rng()));
      }
      const KeyBinding key = keys[rng() % keys.size()];
      const auto verdict = table.Begin(key, 5, step, at).verdict;
      ++begins;
      if (verdict == Verdict::kRun) {
        ++runs;
        RC_ASSERT(++executed[key] == 1);
        running.insert(key);
      }
      if (!running.empty() && rng() % 2 == 0) {
        const KeyBinding ended = *running.begin();
        running.erase(running.begin());
        switch (rng() % 3) {
          case 0:
            table.Abandon(ended);
            --executed[ended];
            break;
          case 1:
            table.MarkUnknown(ended, at);
            break;
          default:
            table.Complete(ended, MakeAnswer(std::string(rng() % 300, 'x')),
                           at);
        }
      }
      if (rng() % 50 == 0)
        table.SetRepeatWindow(seconds(rng() % 30));
      RC_ASSERT(table.size() <= options.max_entries);
      RC_ASSERT(table.bytes() <= options.max_bytes);
    }
  });
  EXPECT_TRUE(holds);
  RecordProperty("begins", std::to_string(begins));
  RecordProperty("runs", std::to_string(runs));
}

}  // namespace
}  // namespace sesamespread::coordination
