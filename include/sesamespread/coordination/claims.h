/// \file
/// Binds idempotency keys chosen by callers to one executor incarnation each,
/// by rows of the platform's table that are inserted only if absent. The
/// executor is the node that runs the request.
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

/// Longest key of a caller in bytes; a longer one is refused with
/// kMalformedKey.
constexpr std::size_t kMaxCallerKeyLength = 255;

/// A row that binds a caller's key to its executor; immutable once written.
struct ClaimRow {
  /// See ClaimRowKey.
  std::string key;
  state::NodeIncarnation executor;
  /// Wall clock of the node that made the claim, in milliseconds since 1970;
  /// see KeyBinding.
  std::uint64_t issued_ms = 0;

  auto operator<=>(const ClaimRow&) const = default;
};

/// Row key of a caller's key: "claim/<service>/<identity>/<caller key>". Equal
/// caller keys of different callers or services have different row keys.
std::string ClaimRowKey(std::string_view service,
                        std::uint64_t caller_identity,
                        std::string_view caller_key);

/// The binding of a claimed key in the executor's ExecutionTable, which treats
/// claimed and system-issued keys alike.
KeyBinding BindingOf(const ClaimRow& row);

/// A request that waits for the binding of its key.
struct Claim {
  /// Id of the request; returned in its ClaimResolution.
  std::uint64_t waiter = 0;
  /// The row to insert if the key is not bound yet; routing chose its executor.
  ClaimRow row;
  /// The request is resolved as kUnavailable at this time.
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
  /// Unique within a committer.
  std::uint64_t id = 0;
  Kind kind = Kind::kInsertIfAbsent;
  /// Rows with distinct keys. For kRead only the keys are used.
  std::vector<ClaimRow> rows;

  auto operator<=>(const ClaimTableRequest&) const = default;
};

/// Result of a ClaimTableRequest.
struct ClaimTableReply {
  enum class Status : std::uint8_t {
    /// The transaction took effect; `rows` is valid.
    kDone,
    /// The transaction had no effect: no connection, or refused.
    kUnavailable,
    /// The reply was lost (timeout or closed connection); the transaction may
    /// have taken effect or may still do so.
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
    /// The key was bound before, to the executor in `row`: the request must be
    /// sent only there.
    kBoundElsewhere,
    /// The binding is unknown: refuse with kClaimUnavailable. This request has
    /// not run, but an earlier one with its key may have.
    kUnavailable,
  };
  std::uint64_t waiter = 0;
  Verdict verdict = Verdict::kUnavailable;
  /// The row in the table; valid unless kUnavailable.
  ClaimRow row;

  auto operator<=>(const ClaimResolution&) const = default;
};

/// Groups claims into transactions. Pure state machine without I/O: the owner
/// sends what NextBatch returns and passes the reply to OnBatchResult. Claims
/// of the same key share a row. After a lost reply the rows are read back, and
/// rows that are absent are inserted again. The repeated insert cannot
/// overwrite the first one if that takes effect late.
class ClaimCommitter {
 public:
  struct Options {
    /// Rows per transaction.
    std::size_t max_batch = 100;
    /// How long the first claim of a batch waits for others. Short compared
    /// with a table write, because claims that arrive during a write are
    /// grouped in any case.
    state::Duration linger = std::chrono::milliseconds(3);
    /// Transactions in flight. One, so that a slow table leads to larger
    /// batches instead of more of them.
    std::size_t max_in_flight = 1;
    /// Bound on concurrent waiters.
    std::size_t max_waiters = 4096;
    /// After this time without a reply, the reply of a transaction is lost.
    state::Duration batch_timeout = std::chrono::milliseconds(500);
    /// Lost replies after which the waiters of a row get kUnavailable instead
    /// of waiting until their deadlines. With 2, the read after the first lost
    /// reply still resolves them.
    std::uint32_t max_lost_replies = 2;
  };

  ClaimCommitter();
  explicit ClaimCommitter(Options options);

  /// Adds a claim; its waiter id must not be in use. \returns false if
  /// max_waiters is reached; the request is then refused with kNodeBusy.
  bool Add(const Claim& claim, state::Instant now);

  /// Removes \p waiter, whose caller disconnected, without a resolution.
  void Cancel(std::uint64_t waiter);

  /// The next transaction to send, if one is due.
  std::optional<ClaimTableRequest> NextBatch(state::Instant now);

  /// Handles the reply to a transaction. Replies to transactions that have
  /// timed out are ignored.
  std::vector<ClaimResolution> OnBatchResult(const ClaimTableReply& reply,
                                             state::Instant now);

  /// Resolves waiters past their deadline as kUnavailable, and handles
  /// transactions that have timed out as lost replies.
  std::vector<ClaimResolution> Tick(state::Instant now);

  /// When to call Tick and NextBatch next; nullopt while idle.
  std::optional<state::Instant> NextWake() const;

  std::size_t waiters() const { return waiters_.size(); }

 private:
  enum class Phase : std::uint8_t {
    kPending,
    kInFlight,
    /// The reply was lost; the row waits to be read.
    kUnresolved,
  };
  struct Waiter {
    std::uint64_t id = 0;
    ClaimRow row;
    state::Instant deadline{};
  };
  /// A row to insert and the requests that wait for it.
  struct Row {
    ClaimRow wanted;
    Phase phase = Phase::kPending;
    std::uint32_t lost_replies = 0;
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
  void FailWaiters(const std::string& key, std::vector<ClaimResolution>* out);
  void OnReplyLost(const std::string& key,
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
