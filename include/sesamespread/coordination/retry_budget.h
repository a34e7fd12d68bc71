/// \file
/// Bounds on retries: the allotment of each request over its whole chain of
/// calls, the repeats made by its caller, and the share of retries at a node.
#ifndef SESAMESPREAD_COORDINATION_RETRY_BUDGET_H_
#define SESAMESPREAD_COORDINATION_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/coordination/ticket.h"
#include "sesamespread/state/request_context.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Identifies one attempt of a sub-call in a ledger; never reused. 0 stands for
/// a sub-call without context, which is not retried.
using AttemptId = std::uint64_t;

/// An attempt of a sub-call and the retry allotment passed on with it.
struct Attempt {
  AttemptId id = 0;
  std::uint32_t allotment = 0;

  auto operator<=>(const Attempt&) const = default;
};

/// Retry allotments of the requests in progress at a node.
///
/// Invariant: each unit of allotment is in exactly one state: it remains in an
/// entry, is held by an attempt with which it was passed on, or is spent. A
/// retry spends one unit, so that the retries of a whole chain never exceed the
/// allotment at its first node.
class AllotmentLedger {
 public:
  struct Options {
    /// Maximum number of entries; at least the slots plus the queue of the
    /// server.
    std::size_t max_entries = 16384;
    /// Maximum number of sub-calls in flight per entry. Further ones get
    /// allotment 0.
    std::size_t max_attempts_per_entry = 256;
    /// Time after the deadline at which an entry that was not closed is
    /// removed.
    state::Duration grace = std::chrono::seconds(5);
  };

  AllotmentLedger();
  explicit AllotmentLedger(Options options);

  /// Adds an entry. False if \p ticket is 0 or in use, or the table is full;
  /// then the request's sub-calls have no allotment.
  bool Open(Ticket ticket,
            const state::RequestContext& context,
            state::Instant now);

  /// Adds an entry that expires at \p expires, regardless of its deadline.
  bool OpenUntil(Ticket ticket,
                 const state::RequestContext& context,
                 state::Instant expires,
                 state::Instant now);

  /// Extends the lifetime of the entry to at least \p expires. Ignored for an
  /// unknown ticket.
  void Extend(Ticket ticket, state::Instant expires);

  /// The context that sub-calls inherit; nullptr for an unknown ticket. Valid
  /// until the next call of a non-const member.
  const state::RequestContext* FindContext(Ticket ticket) const;

  /// Starts the first attempt of a sub-call and deducts the allotment passed on
  /// with it: half of what remains, rounded up, so that the hop next to a fault
  /// can retry and parallel sub-calls get a part as well. Returns {0, 0} for an
  /// unknown ticket or an entry with max_attempts_per_entry attempts.
  Attempt Reserve(Ticket ticket, state::Instant now);

  /// Starts the next attempt of a sub-call; deducts one unit for the retry and
  /// the part to pass on. Nullopt if nothing remains or the attempt is unknown.
  /// The allotment held by the previous attempt is spent unless Settle was
  /// called for it before; a later answer to it credits nothing.
  std::optional<Attempt> Retry(AttemptId previous, state::Instant now);

  /// Credits the allotment that the answer to an attempt returned as \p unused.
  /// At most the allotment passed on is credited, and only once.
  void Settle(AttemptId attempt, std::uint32_t unused);

  /// Records that the attempt will get no answer: the allotment that it holds
  /// is spent.
  void Forfeit(AttemptId attempt);

  /// Removes the attempt of a sub-call that has ended.
  void Finish(AttemptId attempt);

  /// Deducts one unit for a repeat by the caller; false if none remains.
  bool Spend(Ticket ticket);

  /// Credits one unit that Spend deducted, for a repeat that certainly did not
  /// run. Never raises the entry above its allotment.
  void Refund(Ticket ticket);

  /// Allotment that remains in the entry; 0 for an unknown ticket.
  std::uint32_t Remaining(Ticket ticket) const;

  /// Removes the entry. Returns the unused allotment, to be sent with the
  /// answer; allotment that attempts still hold is spent.
  std::uint32_t Close(Ticket ticket);

  /// Removes expired entries.
  void Tick(state::Instant now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    state::RequestContext context;
    std::uint32_t remaining = 0;
    state::Instant expires{};
    std::vector<AttemptId> attempts;
  };
  struct Outstanding {
    Ticket ticket = 0;
    std::uint32_t held = 0;
  };
  using Expiry = std::pair<state::Instant, Ticket>;

  Attempt Start(Ticket ticket, Entry& entry);
  void Detach(Ticket ticket, AttemptId attempt);

  Options options_;
  AttemptId next_attempt_ = 1;
  std::unordered_map<Ticket, Entry> entries_;
  std::unordered_map<AttemptId, Outstanding> attempts_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
};

/// Identifies a caller's request across repeats by the caller; nullopt if it
/// carries neither an idempotency key nor a trace id. Several requests may
/// share a trace id, so service, method and path are part of the value there.
std::optional<std::uint64_t> RepeatKeyOf(std::uint64_t caller_identity,
                                         std::string_view idempotency_key,
                                         std::string_view trace_id,
                                         std::string_view service,
                                         std::string_view method,
                                         std::string_view path);

/// Counts repeats that a caller makes of its own request against that request's
/// allotment. Used at the entry node after its shedding decision: a request
/// that is shed there reaches no server and uses no allotment.
class CallerRepeatTable {
 public:
  struct Options {
    /// Maximum number of requests tracked: about 2,000 a second over the
    /// window.
    std::size_t max_entries = 65536;
    /// Time for which a request is tracked after its deadline or its last
    /// repeat, whichever is later.
    state::Duration window = std::chrono::seconds(30);
  };

  enum class Verdict : std::uint8_t {
    /// Not seen within the window.
    kFirst,
    /// A repeat; one unit of the allotment was deducted.
    kRepeat,
    /// A repeat, but the allotment is spent: refuse with kRetryBudgetSpent.
    kSpent,
    /// The table is full: refuse with kNodeBusy. Admitting it would leave its
    /// repeats uncounted.
    kFull,
  };

  struct Admission {
    Verdict verdict = Verdict::kFull;
    /// For the ledger() of this table; 0 unless admitted.
    Ticket ticket = 0;
  };

  CallerRepeatTable();
  explicit CallerRepeatTable(Options options);

  /// Admits a request. \p repeat_key is that of RepeatKeyOf; without one the
  /// request counts as new. The entry's context is that of the first request.
  Admission Admit(std::optional<std::uint64_t> repeat_key,
                  const state::RequestContext& context,
                  state::Instant now);

  /// Removes a request admitted without a repeat key, which need not be tracked
  /// after its answer. No effect on other tickets.
  void Finish(Ticket ticket);

  /// Removes requests whose window has ended.
  void Tick(state::Instant now);

  /// For the attempts of admitted requests: Reserve, Retry, Settle, Forfeit.
  AllotmentLedger& ledger() { return ledger_; }

  std::size_t size() const { return ledger_.size(); }

 private:
  // The ticket of a request with a repeat key is the key with its lowest bit
  // cleared; tickets of other requests are odd. Both kinds therefore share the
  // ledger, and no second table is needed.
  Options options_;
  Ticket next_unkeyed_ = 1;
  AllotmentLedger ledger_;
};

/// Bounds the share of retries at a node. In a surge, retries only add load.
class NodeRetryBudget {
 public:
  struct Options {
    /// Retries allowed per first attempt.
    double ratio = 0.1;
    /// Retries allowed at any rate of first attempts, per second.
    double minimum_per_second = 3;
  };

  NodeRetryBudget();
  explicit NodeRetryBudget(Options options);

  void OnFirstAttempt(state::Instant now);

  /// Consumes one retry; false if the budget of the last 10 s is exhausted.
  bool TryRetry(state::Instant now);

 private:
  static constexpr std::size_t kBuckets = 10;
  static constexpr state::Duration kBucketTime = std::chrono::seconds(1);
  struct Bucket {
    std::int64_t second = -1;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
  };

  Bucket& BucketAt(state::Instant now);

  Options options_;
  std::array<Bucket, kBuckets> buckets_;
};

/// A failed attempt, as input to DecideRetry.
struct FailedAttempt {
  state::ResultCode result = state::ResultCode::kOk;
  /// As reported for this attempt.
  state::RunState run_state = state::RunState::kUnknown;
  /// The request may run more than once, or its idempotency key makes the
  /// executor run it once. In the latter case the retry goes to that executor.
  bool repeatable = false;
  /// Another server can accept the call.
  bool others_available = false;
  /// Attempts of this call made by this node so far, at least 1.
  std::uint32_t attempts = 1;
  /// Allotment that remains in the ledger for the call.
  std::uint32_t allotment = 0;
  state::Instant deadline{};
};

enum class RetryVerdict : std::uint8_t {
  kRetry,
  /// The result is final: answered, a bad request, or cancelled.
  kFinal,
  /// The call may have run and must not run twice.
  kMayHaveRun,
  kAllotmentSpent,
  kNoTime,
  kNodeBudgetSpent,
};

/// The name of \p verdict, such as "may_have_run".
std::string_view ToString(RetryVerdict verdict);

struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kFinal;
  /// Wait before the retry; leaves at least half of the remaining time.
  state::Duration delay{0};

  auto operator<=>(const RetryDecision&) const = default;
};

/// Parameters of the exponential backoff.
struct RetryPolicy {
  /// The k-th wait is drawn from [1/2, 1] x min(base x 2^(k-1), maximum).
  state::Duration backoff_base = std::chrono::milliseconds(10);
  state::Duration backoff_max = std::chrono::milliseconds(250);
  /// Minimum time left for a retry; with less it could not be answered in time.
  state::Duration min_remaining = std::chrono::milliseconds(2);
};

/// Decides whether to retry. Consumes one retry of \p budget only if the
/// verdict is kRetry; AllotmentLedger::Retry must then be called to deduct one
/// unit from the ledger.
RetryDecision DecideRetry(const FailedAttempt& failed,
                          const RetryPolicy& policy,
                          NodeRetryBudget& budget,
                          state::Instant now,
                          std::mt19937_64& rng);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_RETRY_BUDGET_H_
