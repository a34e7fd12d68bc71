/// \file
/// Decides when a table of the store is read, watched, or left alone for a
/// while.
#ifndef SESAMESPREAD_COORDINATION_TABLE_WATCH_H_
#define SESAMESPREAD_COORDINATION_TABLE_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "sesamespread/coordination/row_store.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct TableWatchOptions {
  /// Longest wait of one watch. A connection that has gone silent is noticed
  /// only when the watch should have ended.
  state::Duration max_wait = std::chrono::seconds(5);
  state::Duration min_wait = std::chrono::seconds(1);
  /// Longest wait for each node that watches the table. A node that sees a
  /// change tells the others, so that few nodes watch more often than many.
  state::Duration wait_per_node = std::chrono::milliseconds(310);
  /// Shortest time between two calls, so that a burst of changes costs few.
  state::Duration min_interval = std::chrono::milliseconds(200);
  /// Pause after the first failure; doubles with each further one.
  state::Duration first_backoff = std::chrono::milliseconds(250);
  state::Duration max_backoff = std::chrono::seconds(1);
};

/// The next call.
struct TableCall {
  /// Reads the whole table if true, else watches it.
  bool is_read = true;
  /// Version after which to watch.
  std::uint64_t after = 0;
  state::Duration wait{0};
  /// Not before this time.
  state::Instant at;

  auto operator<=>(const TableCall&) const = default;
};

/// State of the calls for one table; one call is pending at a time.
class TableWatch {
 public:
  TableWatch(TableWatchOptions options, std::uint64_t seed);

  /// \p nodes watch the table, this one included.
  TableCall NextCall(std::size_t nodes);

  /// The call that Next returned has ended. \returns true if the store was lost
  /// or regained by it.
  bool OnReply(const RowsReply& reply, state::Instant now);

  /// Whether the last call succeeded; false before the first.
  bool is_connected() const { return is_connected_; }

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
