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
class TableWatch {
 public:
  TableWatch(TableWatchOptions options, std::uint64_t seed);

  /// The next call to make; \p nodes is the number of nodes that watch the
  /// table, including this one.
  TableCall NextCall(std::size_t nodes);

  /// Handles the reply to the call that NextCall returned. \returns true if
  /// is_connected() changed.
  bool OnReply(const RowsReply& reply, state::Instant now);

  /// Whether the last call succeeded; false before the first.
  bool is_connected() const { return is_connected_; }

  /// The version after which changes are watched.
  std::uint64_t version() const { return version_; }

 private:
  state::Duration Jittered(state::Duration duration);

  const TableWatchOptions options_;
  std::mt19937_64 random_;
  bool is_connected_ = false;
  bool needs_read_ = true;
  std::uint64_t version_ = 0;
  state::Duration backoff_;
  state::Instant next_at_{};
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_TABLE_WATCH_H_
