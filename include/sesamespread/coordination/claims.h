/// \file
/// Binding of keys that callers made up to one executor incarnation, by rows of
/// the platform's table that are inserted only if absent.
#ifndef SESAMESPREAD_COORDINATION_CLAIMS_H_
#define SESAMESPREAD_COORDINATION_CLAIMS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/coordination/idempotency.h"
#include "sesamespread/state/ids.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Longest key of a caller in bytes; a longer one is kMalformedKey.
constexpr std::size_t kMaxCallerKeyLength = 255;

/// A row that binds a caller's key; never changed once written.
struct ClaimRow {
  /// See ClaimRowKey.
  std::string key;
  state::NodeIncarnation executor;
  /// Wall clock of the node that made the claim; see KeyBinding.
  std::uint64_t issued_ms = 0;

  auto operator<=>(const ClaimRow&) const = default;
};

/// Row key of a caller's key: "claim/<service>/<identity>/<caller key>". Keys
/// of different callers and services don't meet.
std::string ClaimRowKey(std::string_view service,
                        std::uint64_t caller_identity,
                        std::string_view caller_key);

/// The binding under which the executor knows a claimed key, so that its
/// ExecutionTable treats claimed and system-issued keys alike.
KeyBinding BindingOf(const ClaimRow& row);

/// A request that needs its key bound.
struct Claim {
  /// Named in the resolution.
  std::uint64_t waiter = 0;
  /// The row as this request wants it: its executor was chosen by routing.
  ClaimRow row;
  /// No resolution is needed after this.
  state::Instant deadline{};

  auto operator<=>(const Claim&) const = default;
};

/// One transaction for the platform's table.
struct ClaimTableRequest {
  enum class Kind : std::uint8_t {
    /// Inserts each row whose key is absent; changes no existing row.
    kInsertIfAbsent,
    /// Reads the rows of these keys.
    kRead,
  };
  /// Never reused by a committer.
  std::uint64_t id = 0;
  Kind kind = Kind::kInsertIfAbsent;
  /// Distinct keys. For kRead only the keys matter.
  std::vector<ClaimRow> rows;

  auto operator<=>(const ClaimTableRequest&) const = default;
};

/// What became of a ClaimTableRequest.
struct ClaimTableReply {
  enum class Status : std::uint8_t {
    /// The transaction took effect; `rows` is valid.
    kDone,
    /// It certainly took no effect: no connection, or refused.
    kUnavailable,
    /// It may have taken effect: timed out, or the connection was lost.
    kLost,
  };
  std::uint64_t id = 0;
  Status status = Status::kLost;
  /// For each row of the request, the row now in the table; nullopt for a row
  /// that kRead did not find.
  std::vector<std::optional<ClaimRow>> rows;

  auto operator<=>(const ClaimTableReply&) const = default;
};

/// The result for one waiter.
struct ClaimResolution {
  enum class Verdict : std::uint8_t {
    /// The key is bound to the executor of the claim.
    kBound,
    /// The key was bound before, to the executor in `row`: the request must go
    /// there and nowhere else.
    kBoundElsewhere,
    /// Not known to be bound: refuse with kClaimUnavailable. This request did
    /// not run, but an earlier one with its key may have.
    kUnavailable,
  };
  std::uint64_t waiter = 0;
  Verdict verdict = Verdict::kUnavailable;
  /// The row in the table; valid unless kUnavailable.
  ClaimRow row;

  auto operator<=>(const ClaimResolution&) const = default;
};

/// Groups claims into transactions. Pure state machine: the owner sends what
/// NextBatch returns and passes the reply to OnBatchResult. Claims of the same
/// key share a row. A reply that is lost is never guessed: the rows are read
/// back, and rows that are still absent are inserted again, which can't
/// overwrite a write that takes effect late.
class ClaimCommitter {
 public:
  struct Options {
    /// Rows per transaction.
    std::size_t max_batch = 100;
    /// How long the first claim of a batch waits for others. Short compared
    /// with a table write; claims that arrive during a write are grouped
    /// anyway.
    state::Duration linger = std::chrono::milliseconds(3);
    /// Transactions in flight. One, so that a slow table makes larger batches
    /// instead of more of them.
    std::size_t max_in_flight = 1;
    /// Waiters at a time.
    std::size_t max_waiters = 4096;
    /// A transaction without reply for this long counts as lost.
    state::Duration batch_timeout = std::chrono::milliseconds(500);
    /// Lost transactions after which a row's waiters get kUnavailable. They are
    /// not held until their deadline; the read back of one more try covers a
    /// single lost reply.
    std::uint32_t max_lost = 2;
  };

  ClaimCommitter();
  explicit ClaimCommitter(Options options);

  /// Adds a claim; its waiter id must not be in use. False if the bound on
  /// waiters is reached: refuse with kNodeBusy.
  bool Add(const Claim& claim, state::Instant now);

  /// The caller of \p waiter went away.
  void Cancel(std::uint64_t waiter);

  /// The next transaction to send, if one is due.
  std::optional<ClaimTableRequest> NextBatch(state::Instant now);

  /// Takes the reply to a transaction. Replies to transactions that already
  /// counted as lost are ignored.
  std::vector<ClaimResolution> OnBatchResult(const ClaimTableReply& reply,
                                             state::Instant now);

  /// Ends waiters past their deadline and counts transactions without reply as
  /// lost.
  std::vector<ClaimResolution> Tick(state::Instant now);

  /// When to call Tick and NextBatch next; nullopt while idle.
  std::optional<state::Instant> NextWake() const;

  std::size_t waiters() const { return waiters_.size(); }

 private:
  enum class Phase : std::uint8_t {
    kPending,
    kInFlight,
    /// Its reply was lost: to be read.
    kUnresolved,
  };
  struct Waiter {
    std::uint64_t id = 0;
    ClaimRow row;
    state::Instant deadline{};
  };
  /// A row to be bound and those who wait for it.
  struct Row {
    ClaimRow wanted;
    Phase phase = Phase::kPending;
    std::uint32_t lost = 0;
    std::vector<std::uint64_t> waiters;
  };
  struct InFlight {
    ClaimTableRequest request;
    state::Instant sent{};
  };
  struct Queued {
    std::string key;
    state::Instant not_before{};
  };

  bool IsDue(const std::deque<Queued>& queue, state::Instant now) const;
  ClaimTableRequest Send(ClaimTableRequest::Kind kind,
                         std::deque<Queued>& queue,
                         state::Instant now);
  std::deque<Queued>* QueueOf(Phase phase);
  void EraseRow(const std::string& key);
  void Enqueue(const std::string& key,
               Row& row,
               Phase phase,
               state::Instant not_before);
  void RemoveWaiter(std::uint64_t waiter);
  void Resolve(const ClaimRow& row, std::vector<ClaimResolution>* out);
  void Fail(const std::string& key, std::vector<ClaimResolution>* out);
  void OnLost(const std::string& key,
              state::Instant now,
              std::vector<ClaimResolution>* out);
  void OnDone(const ClaimTableRequest& request,
              const ClaimTableReply& reply,
              state::Instant now,
              std::vector<ClaimResolution>* out);

  Options options_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, Waiter> waiters_;
  std::set<std::pair<state::Instant, std::uint64_t>> deadlines_;
  std::map<std::string, Row> rows_;
  std::deque<Queued> pending_;
  std::deque<Queued> unresolved_;
  std::map<std::uint64_t, InFlight> in_flight_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CLAIMS_H_
