/// \file
/// Interfaces to the platform's table service and object store, so that code
/// that depends on them can be tested with fakes.
#ifndef SESAMESPREAD_COORDINATION_TABLE_STORE_H_
#define SESAMESPREAD_COORDINATION_TABLE_STORE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespread::coordination {

/// Result of a call to the platform.
enum class StoreStatus : std::uint8_t {
  kDone,
  /// A condition of the transaction does not hold; the call had no effect.
  kConditionFailed,
  /// The platform did not accept the call (no connection, or too many calls);
  /// the call had no effect.
  kNotDelivered,
  /// No reply before the timeout; a transaction may have taken effect or may
  /// still do so.
  kNoReply,
  /// The token is missing or invalid; the call had no effect.
  kUnauthorized,
  /// The platform rejected the request as invalid; the call had no effect.
  kRefused,
};

/// A row; `version` increases with each write of the row.
struct TableRow {
  std::string key;
  /// UTF-8 text.
  std::string value;
  std::uint64_t version = 0;

  auto operator<=>(const TableRow&) const = default;
};

/// Holds if the row has `version`, or if the row is absent for nullopt.
struct TableCondition {
  std::string key;
  std::optional<std::uint64_t> version;

  auto operator<=>(const TableCondition&) const = default;
};

/// A row to write.
struct TablePut {
  std::string key;
  std::string value;

  auto operator<=>(const TablePut&) const = default;
};

/// Writes and deletes that take effect atomically if all conditions hold, and
/// not at all otherwise.
struct TableTransaction {
  /// Checked in this order.
  std::vector<TableCondition> conditions;
  std::vector<TablePut> puts;
  std::vector<std::string> deletes;

  auto operator<=>(const TableTransaction&) const = default;
};

/// Reply to a transaction.
struct CommitReply {
  StoreStatus status = StoreStatus::kDone;
  /// Key of the first condition that did not hold, for kConditionFailed.
  std::string failed_key;
  /// Value of that row when the condition was checked, never a stale one;
  /// nullopt if absent.
  std::optional<std::string> current_value;
  std::string detail;
};

/// Reply to the read of one row.
struct RowReply {
  StoreStatus status = StoreStatus::kDone;
  /// nullopt if absent. May be stale, that is, older than the last write.
  std::optional<TableRow> row;
  std::string detail;
};

/// Reply to the read of several rows.
struct RangeReply {
  StoreStatus status = StoreStatus::kDone;
  /// In order of key. May be stale, that is, older than the last write.
  std::vector<TableRow> rows;
  std::string detail;
};

/// The table service. Calls return within a bounded time and do not throw on
/// failures of the platform.
class TableStore {
 public:
  virtual ~TableStore() = default;

  virtual CommitReply Commit(const TableTransaction& transaction) = 0;
  virtual RowReply ReadRow(std::string_view key) = 0;
  /// Reads at most \p limit rows whose key starts with \p prefix and is greater
  /// than \p after.
  virtual RangeReply ReadRange(std::string_view prefix,
                               std::string_view after,
                               std::size_t limit) = 0;
};

/// Reply to the read of an object.
struct ObjectReply {
  StoreStatus status = StoreStatus::kDone;
  /// nullopt if there is no such object.
  std::optional<std::string> content;
  std::string detail;
};

/// The object store. Names consist of the characters a-z, 0-9, "-", "_", "."
/// and "/".
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  virtual StoreStatus PutObject(std::string_view name,
                                std::string_view content) = 0;
  virtual ObjectReply GetObject(std::string_view name) = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_TABLE_STORE_H_
