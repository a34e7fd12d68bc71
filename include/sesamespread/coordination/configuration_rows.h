/// \file
/// The rows that hold the configuration in the platform's table, and the
/// snapshot in its object store.
#ifndef SESAMESPREAD_COORDINATION_CONFIGURATION_ROWS_H_
#define SESAMESPREAD_COORDINATION_CONFIGURATION_ROWS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/configuration.h"
#include "sesamespread/state/ids.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

inline constexpr std::string_view kHeadKey = "config/head";
inline constexpr std::string_view kEntryPrefix = "config/entry/";
inline constexpr std::string_view kChangePrefix = "config/change/";
inline constexpr std::string_view kSnapshotObject = "config/snapshot";

/// The row kHeadKey.
struct ConfigurationHead {
  state::ConfigurationVersion version = 0;
  std::uint64_t digest = 0;
  /// Attempt that wrote this version.
  state::RequestId attempt;

  auto operator<=>(const ConfigurationHead&) const = default;
};

/// The change of one entry with its value before, which lets older versions be
/// rebuilt.
struct RecordedChange {
  std::string key;
  std::optional<std::string> before;
  std::optional<std::string> after;

  auto operator<=>(const RecordedChange&) const = default;
};

/// The row of one version: the delta and the audit entry. Written once and
/// never changed.
struct ChangeRecord {
  state::ConfigurationVersion version = 0;
  state::ConfigurationVersion previous = 0;
  /// Digest of the content at `version`.
  std::uint64_t digest = 0;
  state::RequestId attempt;
  std::string who;
  std::string why;
  state::WallTime when{};
  std::vector<RecordedChange> changes;
  /// "service/orders.slots: 160 -> 170", one for each field.
  std::vector<std::string> fields;

  state::ConfigurationDelta ToDelta() const;

  auto operator<=>(const ChangeRecord&) const = default;
};

/// Key of the row of \p version; versions have 20 digits so that keys sort like
/// numbers.
std::string ChangeKey(state::ConfigurationVersion version);

std::string EntryKey(std::string_view entry);

/// One-line JSON, which is YAML as well. The Parse functions throw Error with
/// kConfigurationInvalid if the text is not what Encode wrote.
std::string Encode(const ConfigurationHead& head);
std::string Encode(const ChangeRecord& record);
std::string EncodeSnapshot(const state::Configuration& configuration);
ConfigurationHead ParseHead(const std::string& text);
ChangeRecord ParseChangeRecord(const std::string& text);
state::Configuration ParseSnapshot(const std::string& text);

/// \p text as a JSON string with its quotes.
std::string JsonString(std::string_view text);

/// The fields in which the values of \p changes differ, as in
/// ChangeRecord::fields.
std::vector<std::string> ChangedFields(
    const std::vector<RecordedChange>& changes);

/// "2026-12-04T03:03:04Z".
std::string FormatWallTime(state::WallTime time);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CONFIGURATION_ROWS_H_
