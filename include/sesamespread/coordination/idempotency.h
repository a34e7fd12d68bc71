/// \file
/// Ensures at most one execution per idempotency key: the text form of keys,
/// and the table of keys that one incarnation of a node has executed.
#ifndef SESAMESPREAD_COORDINATION_IDEMPOTENCY_H_
#define SESAMESPREAD_COORDINATION_IDEMPOTENCY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// A key bound to one executor incarnation. Text form:
/// `ss1-<node>-<incarnation>-<issue ms>-<random>`, four numbers of 16
/// lower-case hexadecimal digits, 71 characters in all.
///
/// The issue time is the issuer's wall clock in milliseconds since 1970. Only
/// the executor evaluates it, and compares it only with its own monotonic clock
/// (see ExecutionTable). An error of the issuer's clock therefore never lets a
/// request run twice; the executor only refuses the key.
struct KeyBinding {
  state::NodeIncarnation executor;
  std::uint64_t issued_ms = 0;
  std::uint64_t random = 0;

  auto operator<=>(const KeyBinding&) const = default;
};

/// Length of the text form in characters.
constexpr std::size_t kKeyTextLength = 71;

std::string FormatKey(const KeyBinding& key);

/// Parses the text form; nullopt for any text that FormatKey cannot write.
std::optional<KeyBinding> ParseKey(std::string_view text);

/// True if \p text has the prefix of system-issued keys; if ParseKey then
/// rejects it, the request is refused with kMalformedKey. A key of this form
/// that a caller forges is harmless: it runs at most once too, and the
/// fingerprint prevents a replay of another caller's answer.
bool HasKeyPrefix(std::string_view text);

/// Hash of everything that identifies a request. A repeat of a key with another
/// fingerprint is refused.
std::uint64_t FingerprintOf(std::string_view service,
                            std::string_view method,
                            std::string_view path,
                            std::string_view body,
                            std::uint64_t caller_identity);

/// The first answer to the request with a key. Immutable; shared with the calls
/// to which it is replayed.
struct StoredAnswer {
  state::ResultCode result = state::ResultCode::kOk;
  std::uint16_t http_status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Size in bytes and XXH3 digest of the original body, also if the table does
  /// not store it (see ExecutionTable::Options::max_body_bytes) and `body` is
  /// empty.
  std::uint64_t body_size = 0;
  std::uint64_t body_digest = 0;
  bool body_stored = true;

  auto operator<=>(const StoredAnswer&) const = default;
};

/// Keys that this incarnation has executed or is executing.
///
/// Invariant: repeats of a removed key are always refused. The table stores the
/// highest issue time of all removed keys and refuses every key that it does
/// not contain with an issue time up to that one. This alone prevents a second
/// run, independently of all clocks. The executor's clock (wall time at its
/// start plus elapsed monotonic time) only determines when a key is removed:
/// when both the repeat window since completion and the window plus `max_skew`
/// since the issue time have passed. Keys with an issue time more than
/// `max_skew` in the future are refused, because they would stay in the table
/// for too long.
class ExecutionTable {
 public:
  /// Id of a request that waits for the answer to a key.
  using WaiterId = std::uint64_t;

  struct Options {
    std::size_t max_entries = 65536;
    /// Bound on the sum of the entries, at kEntryBytes each, and the header
    /// fields and bodies of the stored answers.
    std::size_t max_bytes = 16 << 20;
    /// An answer with a larger body is stored without it: a repeat receives the
    /// body's size and digest and the result kReplayed.
    std::size_t max_body_bytes = 16 << 10;
    std::size_t max_waiters_per_key = 16;
    /// How long an answer can be replayed after completion, and how long after
    /// its issue a key may be used first.
    state::Duration repeat_window = std::chrono::minutes(5);
    /// Tolerated error of an issuer's clock, in both directions.
    state::Duration max_skew = std::chrono::minutes(2);
  };

  /// Bytes counted for an entry and an answer without header fields and body;
  /// see docs/notes/at-most-once.md.
  static constexpr std::size_t kEntryBytes = 384;

  enum class Verdict : std::uint8_t {
    /// Execute the request now, and end the run with Complete, Abandon or
    /// MarkUnknown.
    kRun,
    /// The request is running; the waiter was attached and is returned by the
    /// call that ends the run.
    kAttached,
    /// The request is running and has too many waiters: answer kInProgress.
    kInProgress,
    /// Answer with `answer`. If !answer->body_stored, the result is kReplayed
    /// with run_state ran and no body.
    kReplay,
    /// The outcome of the run is unknown: answer kInProgress with run_state
    /// unknown.
    kOutcomeUnknown,
    /// The key belongs to another request: answer kKeyReused. That request is
    /// not affected.
    kMismatch,
    /// The table is full: answer kNodeBusy with run_state not_run.
    kFull,
    /// The key is too old and may have run before: answer kKeyExpired with
    /// run_state unknown.
    kExpired,
    /// The issue time is in the future of this node's clock: answer
    /// kMalformedKey with run_state not_run.
    kNotYetValid,
    /// The key is bound to another incarnation: answer kExecutorGone.
    kOtherExecutor,
  };

  struct Outcome {
    Verdict verdict = Verdict::kFull;
    /// Set for kReplay only.
    std::shared_ptr<const StoredAnswer> answer;
  };

  /// \p self is this incarnation of the node; \p wall_start is the host's wall
  /// clock at \p start. A restarted node has another incarnation, so each key
  /// is compared with the clock of one process only.
  ExecutionTable(state::NodeIncarnation self,
                 state::WallTime wall_start,
                 state::Instant start,
                 Options options);

  /// Looks up \p key for the request \p waiter.
  Outcome Begin(const KeyBinding& key,
                std::uint64_t fingerprint,
                WaiterId waiter,
                state::Instant now);

  /// Records the first answer and returns the attached waiters. Also valid
  /// after MarkUnknown, for an answer that arrives late. Ignored if the key is
  /// completed or not in the table.
  std::vector<WaiterId> Complete(const KeyBinding& key,
                                 StoredAnswer answer,
                                 state::Instant now);

  /// Removes a running key whose request has certainly not run; the key may
  /// then run again. Returns the attached waiters, whose requests have not run
  /// either. Ignored unless the key is running.
  std::vector<WaiterId> Abandon(const KeyBinding& key);

  /// Records that the request may have run and that no answer is expected;
  /// repeats are not run. Returns the attached waiters.
  std::vector<WaiterId> MarkUnknown(const KeyBinding& key, state::Instant now);

  /// Detaches \p waiter from the key.
  void Detach(const KeyBinding& key, WaiterId waiter);

  /// Changes Options::repeat_window. Applies to keys that complete from now on
  /// and to the age above which new keys are refused.
  void SetRepeatWindow(state::Duration window);

  /// Removes expired keys. Begin does this too.
  void Tick(state::Instant now);

  std::size_t size() const { return entries_.size(); }
  /// Bytes counted against Options::max_bytes.
  std::size_t bytes() const { return bytes_; }
  /// Keys with an issue time up to this, in milliseconds since 1970, are
  /// refused unless they are in the table.
  std::uint64_t removed_up_to_ms() const { return removed_up_to_ms_; }

 private:
  enum class Phase : std::uint8_t { kRunning, kCompleted, kUnknown };

  struct Entry {
    std::uint64_t fingerprint = 0;
    Phase phase = Phase::kRunning;
    std::size_t answer_bytes = 0;
    std::shared_ptr<const StoredAnswer> answer;
    std::vector<WaiterId> waiters;
    state::Instant expires_at{};
  };
  struct KeyHash {
    std::size_t operator()(const KeyBinding& key) const {
      return static_cast<std::size_t>(
          state::HashOf(key.random, key.issued_ms ^ key.executor.node));
    }
  };
  using Expiry = std::pair<state::Instant, KeyBinding>;

  std::uint64_t WallMillisecondsAt(state::Instant now) const;
  Outcome BeginExisting(Entry& entry,
                        std::uint64_t fingerprint,
                        WaiterId waiter);
  void SetExpiry(const KeyBinding& key, Entry& entry, state::Instant now);
  void AccountRemoval(const KeyBinding& key, const Entry& entry);

  const state::NodeIncarnation self_;
  const std::uint64_t wall_start_ms_;
  const state::Instant start_;
  Options options_;
  std::unordered_map<KeyBinding, Entry, KeyHash> entries_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
  std::size_t bytes_ = 0;
  std::uint64_t removed_up_to_ms_ = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_IDEMPOTENCY_H_
