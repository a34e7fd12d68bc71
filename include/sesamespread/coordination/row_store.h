/// \file
/// Asynchronous interface to the rows of the platform's store, so that code
/// that depends on it can be tested with fakes.
#ifndef SESAMESPREAD_COORDINATION_ROW_STORE_H_
#define SESAMESPREAD_COORDINATION_ROW_STORE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sesamespread/coordination/table_store.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// A row of a table, or its removal if `is_removed`.
struct StoreRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool is_removed = false;

  auto operator<=>(const StoreRow&) const = default;
};

/// A point in the history of the store. Versions alone are no order: after the
/// store came back from an older copy, a new era, they are given out again.
struct StorePosition {
  std::uint64_t era = 0;
  std::uint64_t version = 0;

  auto operator<=>(const StorePosition&) const = default;
};

/// Reply to a read or a watch: rows of one point in time.
struct RowsReply {
  StoreStatus status = StoreStatus::kDone;
  std::vector<StoreRow> rows;
  /// Newest version of the whole store at that point.
  std::uint64_t version = 0;
  /// Number of the store's history, also in replies to calls that failed; 0 if
  /// not stated. It rises when the store comes back from an older copy, after
  /// which versions are given out again.
  std::uint64_t era = 0;
  /// Reading of the store's monotonic clock at that point; nullopt if not
  /// stated.
  std::optional<state::Duration> store_time;
  /// Why the stated reading can't be used; empty if it can, or if there is
  /// none.
  std::string clock_error;
  /// Local time before the request was sent, so that the reading is later.
  state::Instant requested_at{};
  /// The store no longer has the changes after the requested version, so the
  /// whole table must be read.
  bool is_history_lost = false;
  /// Rows that could not be decoded; `detail` names the last one's error.
  std::size_t left_out_rows = 0;
  std::string detail;

  auto operator<=>(const RowsReply&) const = default;
};

/// Reply to a write.
struct WriteReply {
  StoreStatus status = StoreStatus::kDone;
  /// As RowsReply::era.
  std::uint64_t era = 0;
  std::string detail;

  auto operator<=>(const WriteReply&) const = default;
};

/// The store. Each callback runs exactly once and within a bounded time, never
/// inside the call that passes it and never after the destruction of the store.
class RowStore {
 public:
  using RowsCallback = std::function<void(RowsReply)>;
  using WriteCallback = std::function<void(WriteReply)>;

  virtual ~RowStore() = default;

  /// Reads the rows of \p table whose key starts with \p prefix, in order of
  /// key; all rows if \p prefix is empty.
  virtual void Read(const std::string& table,
                    const std::string& prefix,
                    RowsCallback done) = 0;

  /// Long poll: returns the changes of \p table after \p version as soon as
  /// there is one, or none after \p wait.
  virtual void Watch(const std::string& table,
                     std::uint64_t version,
                     state::Duration wait,
                     RowsCallback done) = 0;

  /// Writes a row unconditionally and removes the rows with the keys
  /// \p removed.
  virtual void Write(const std::string& table,
                     const std::string& key,
                     const std::string& value,
                     const std::vector<std::string>& removed,
                     WriteCallback done) = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ROW_STORE_H_
