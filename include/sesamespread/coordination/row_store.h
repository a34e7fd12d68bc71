/// \file
/// Rows of the platform's store as an interface with callbacks, so that what
/// depends on it can be tested against fakes.
#ifndef SESAMESPREAD_COORDINATION_ROW_STORE_H_
#define SESAMESPREAD_COORDINATION_ROW_STORE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sesamespread/coordination/table_store.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// A row of a table, or the news that it was removed.
struct StoreRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool is_removed = false;

  auto operator<=>(const StoreRow&) const = default;
};

/// Rows of one moment.
struct RowsReply {
  StoreStatus status = StoreStatus::kDone;
  std::vector<StoreRow> rows;
  /// Newest version of the whole store at that moment.
  std::uint64_t version = 0;
  /// The store no longer has the changes after the version asked for; the table
  /// must be read as a whole.
  bool is_history_lost = false;
  std::string detail;

  auto operator<=>(const RowsReply&) const = default;
};

/// The store. Each callback runs exactly once, never inside the call, within a
/// bounded time, and not after the store's destruction.
class RowStore {
 public:
  using RowsCallback = std::function<void(RowsReply)>;
  using WriteCallback = std::function<void(StoreStatus, std::string detail)>;

  virtual ~RowStore() = default;

  /// All rows of \p table, in order of key.
  virtual void Read(const std::string& table, RowsCallback done) = 0;

  /// The changes of \p table after \p version, as soon as there is one or
  /// \p wait has passed.
  virtual void Watch(const std::string& table,
                     std::uint64_t version,
                     state::Duration wait,
                     RowsCallback done) = 0;

  /// Writes a row whatever it was before, and removes the rows \p removed.
  virtual void Write(const std::string& table,
                     const std::string& key,
                     const std::string& value,
                     const std::vector<std::string>& removed,
                     WriteCallback done) = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ROW_STORE_H_
