/// \file
/// Schedules the reads and watches (long polls) of a table of the store, with
/// backoff after failures.
#ifndef SESAMESPREAD_COORDINATION_TABLE_WATCH_H_
#define SESAMESPREAD_COORDINATION_TABLE_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "sesamespread/coordination/row_store.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Timers of TableWatch.
struct TableWatchOptions {
  /// Upper bound of the wait of one watch. A connection that stops answering is
  /// detected only after the wait.
  state::Duration max_wait = std::chrono::seconds(5);
  state::Duration min_wait = std::chrono::seconds(1);
  /// The wait is this times the number of nodes that watch the table, within
  /// the bounds above. A node that receives a change forwards it to the others,
  /// so each of many nodes can watch less often.
  state::Duration wait_per_node = std::chrono::milliseconds(310);
  /// Shortest time between two calls after a change, so that a burst of changes
  /// causes few calls.
  state::Duration min_interval = std::chrono::milliseconds(200);
  /// Pause after the first failure; doubles with each further one.
  state::Duration first_backoff = std::chrono::milliseconds(250);
  state::Duration max_backoff = std::chrono::seconds(1);
};

/// The next call to the store.
struct TableCall {
  /// Reads the whole table if true, else watches it.
  bool is_read = true;
  /// Watches for changes after this version.
  std::uint64_t after = 0;
  /// Wait of the watch.
  state::Duration wait{0};
  /// Earliest time of the call.
  state::Instant at;

  auto operator<=>(const TableCall&) const = default;
};

/// State machine of the calls for one table; one call is pending at a time.
///
/// Invariant: a watch starts at a position that a read or watch of the same era
/// has stated, so that it misses no change of that era.
class TableWatch {
 public:
  TableWatch(TableWatchOptions options, std::uint64_t seed);

  /// The next call to make; \p nodes is the number of nodes that watch the
  /// table, including this one. Always a read if \p may_watch is false.
  TableCall NextCall(std::size_t nodes, bool may_watch = true);

  /// Handles the reply to the call that NextCall returned. \returns true if
  /// is_connected() changed.
  bool OnReply(const RowsReply& reply, state::Instant now);

  /// Whether the last call succeeded; false before the first.
  bool is_connected() const { return is_connected_; }

  /// Requires a read after a hint that the store is in \p era, for example by
  /// another node. The reply to the pending call, if any, must then be dropped.
  /// \returns false if that era or a later one is known already.
  bool OnEraSeen(std::uint64_t era);

  /// Whether the next call has to be a read, since the last reply does not tell
  /// of all changes.
  bool needs_read() const { return needs_read_; }

  /// The position after which changes are watched.
  const StorePosition& position() const { return position_; }

 private:
  state::Duration Jittered(state::Duration duration);
  // Whether all changes between position_ and the reply to a watch are in it.
  bool ContinuesHistory(const RowsReply& reply) const;

  const TableWatchOptions options_;
  std::mt19937_64 random_;
  bool is_connected_ = false;
  bool needs_read_ = true;
  // Whether the call that NextCall returned last is a read.
  bool is_call_read_ = true;
  // As stated by the last read or by a watch that continues from it. It may be
  // below an earlier position.
  StorePosition position_;
  // The latest era of OnEraSeen.
  std::uint64_t seen_era_ = 0;
  state::Duration backoff_;
  state::Instant next_at_{};
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_TABLE_WATCH_H_
