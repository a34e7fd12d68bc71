/// \file
/// At most one execution per idempotency key: the form of keys, and the table
/// of keys that one incarnation of a node has executed.
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
/// the executor compares it, always with its own clock that never goes back
/// (see ExecutionTable), so that no order can run twice however wrong the
/// issuer's clock is. A wrong clock only makes the executor refuse keys.
struct KeyBinding {
  state::NodeIncarnation executor;
  std::uint64_t issued_ms = 0;
  std::uint64_t random = 0;

  auto operator<=>(const KeyBinding&) const = default;
};

/// Length of the text form.
constexpr std::size_t kKeyTextLength = 71;

std::string FormatKey(const KeyBinding& key);

/// Parses exactly what FormatKey writes; nullopt for anything else.
std::optional<KeyBinding> ParseKey(std::string_view text);

/// True if \p text claims to be a system-issued key; if ParseKey refuses it,
/// the result is kMalformedKey. A caller that makes up such a key gains
/// nothing: it runs at most once too, and the fingerprint keeps it from another
/// caller's answer.
bool HasKeyPrefix(std::string_view text);

/// Hash of everything that makes a request the same request: a repeat of a key
/// with another fingerprint is refused.
std::uint64_t FingerprintOf(std::string_view service,
                            std::string_view method,
                            std::string_view path,
                            std::string_view body,
                            std::uint64_t caller_identity);

/// The first answer to a key. Immutable, shared with the callers it is replayed
/// to.
struct StoredAnswer {
  state::ResultCode result = state::ResultCode::kOk;
  std::uint16_t http_status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Size and XXH3 digest of the body. If the table keeps no body (see
  /// ExecutionTable::Options::max_body_bytes), `body` is empty while these tell
  /// of the original.
  std::uint64_t body_size = 0;
  std::uint64_t body_digest = 0;
  bool body_stored = true;

  auto operator<=>(const StoredAnswer&) const = default;
};

/// Keys that this incarnation has executed or is executing.
///
/// A key leaves the table only when its repeats are refused for good: the table
/// keeps the highest issue time that it has ever forgotten and refuses every
/// key it doesn't know with an issue time up to that. This alone makes a second
/// run impossible; no clock is trusted for it. The executor's clock (wall time
/// at its start plus elapsed monotonic time) only decides when to forget: after
/// the repeat window since completion and after the window plus `max_skew`
/// since the issue time. Keys with an issue time more than `max_skew` ahead are
/// refused, as they would stay in the table for too long.
class ExecutionTable {
 public:
  /// Names a request that waits for the answer to a key.
  using WaiterId = std::uint64_t;

  struct Options {
    std::size_t max_entries = 65536;
    /// Bound on the sum of entries, at kEntryBytes each, and kept answers.
    std::size_t max_bytes = 16 << 20;
    /// A larger answer is kept without its body: a repeat learns that the
    /// request ran, with the body's size and digest, but not the body.
    std::size_t max_body_bytes = 16 << 10;
    std::size_t max_waiters_per_key = 16;
    /// How long an answer can be replayed, and how long a fresh key is good.
    state::Duration repeat_window = std::chrono::minutes(5);
    /// Error of an issuer's clock, in both directions, that costs no order.
    state::Duration max_skew = std::chrono::minutes(2);
  };

  /// Bytes counted for an entry and an answer without header fields and body;
  /// docs/notes/at-most-once.md has the measured figure.
  static constexpr std::size_t kEntryBytes = 384;

  enum class Verdict : std::uint8_t {
    /// Execute it now. Ends with Complete, Abandon or MarkUnknown.
    kRun,
    /// It is running; the waiter was attached and is named by the call that
    /// ends the run.
    kAttached,
    /// It is running and has too many waiters: answer kInProgress.
    kInProgress,
    /// Answer with `answer`. If !answer->body_stored, the result is kReplayed
    /// with run_state ran and no body.
    kReplay,
    /// Its outcome is not known: answer kInProgress with run_state unknown.
    kOutcomeUnknown,
    /// Another request under the same key: answer kKeyReused. The first request
    /// is not affected.
    kMismatch,
    /// No room: answer kNodeBusy with run_state not_run.
    kFull,
    /// Too old; it may have run before: answer kKeyExpired, unknown.
    kExpired,
    /// Issued in the future of this node's clock: kMalformedKey, not_run.
    kNotYetValid,
    /// Bound to another incarnation: answer kExecutorGone.
    kOtherExecutor,
  };

  struct Outcome {
    Verdict verdict = Verdict::kFull;
    /// Set for kReplay only.
    std::shared_ptr<const StoredAnswer> answer;
  };

  /// \p self is this run of the node; \p wall_start is the host's wall clock at
  /// \p start. A restarted node has another incarnation, so that no key is
  /// bound to clocks of two runs.
  ExecutionTable(state::NodeIncarnation self,
                 state::WallTime wall_start,
                 state::Instant start,
                 Options options);

  /// Looks up \p key for the request \p waiter.
  Outcome Begin(const KeyBinding& key,
                std::uint64_t fingerprint,
                WaiterId waiter,
                state::Instant now);

  /// Records the first answer and returns the attached waiters. Also accepted
  /// after MarkUnknown, when the answer arrives late. Ignored for other keys.
  std::vector<WaiterId> Complete(const KeyBinding& key,
                                 StoredAnswer answer,
                                 state::Instant now);

  /// The request certainly did not run: forgets the key, which may then run.
  /// Returns the attached waiters; they did not run either. Ignored unless the
  /// key is running.
  std::vector<WaiterId> Abandon(const KeyBinding& key);

  /// It may have run and no answer is expected: repeats never run. Returns the
  /// attached waiters.
  std::vector<WaiterId> MarkUnknown(const KeyBinding& key, state::Instant now);

  /// The request \p waiter no longer waits.
  void Detach(const KeyBinding& key, WaiterId waiter);

  /// For a changed configuration; applies to keys that end from now on and to
  /// the age at which fresh keys are refused.
  void SetRepeatWindow(state::Duration window);

  /// Forgets keys whose time has passed. Begin does this too.
  void Tick(state::Instant now);

  std::size_t size() const { return entries_.size(); }
  /// Bytes counted against Options::max_bytes.
  std::size_t bytes() const { return bytes_; }
  /// Keys with an issue time up to this are run no more.
  std::uint64_t forgotten_up_to_ms() const { return forgotten_up_to_ms_; }

 private:
  enum class Phase : std::uint8_t { kRunning, kCompleted, kUnknown };

  struct Entry {
    std::uint64_t fingerprint = 0;
    Phase phase = Phase::kRunning;
    std::size_t answer_bytes = 0;
    std::shared_ptr<const StoredAnswer> answer;
    std::vector<WaiterId> waiters;
    state::Instant forget_at{};
  };
  struct KeyHash {
    std::size_t operator()(const KeyBinding& key) const {
      return static_cast<std::size_t>(
          state::HashOf(key.random, key.issued_ms ^ key.executor.node));
    }
  };
  using Expiry = std::pair<state::Instant, KeyBinding>;

  std::uint64_t WallAt(state::Instant now) const;
  Outcome BeginKnown(Entry& entry, std::uint64_t fingerprint, WaiterId waiter);
  void End(const KeyBinding& key, Entry& entry, state::Instant now);
  void Forget(const KeyBinding& key, const Entry& entry);

  const state::NodeIncarnation self_;
  const std::uint64_t wall_start_ms_;
  const state::Instant start_;
  Options options_;
  std::unordered_map<KeyBinding, Entry, KeyHash> entries_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
  std::size_t bytes_ = 0;
  std::uint64_t forgotten_up_to_ms_ = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_IDEMPOTENCY_H_
