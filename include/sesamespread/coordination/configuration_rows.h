/// \file
/// The rows that store the configuration in the platform's table, the snapshot
/// in its object store, and their text forms.
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

/// Content of the row kHeadKey: the version in force.
struct ConfigurationHead {
  state::ConfigurationVersion version = 0;
  std::uint64_t digest = 0;
  /// Id of the write attempt that created this version.
  state::RequestId attempt;

  auto operator<=>(const ConfigurationHead&) const = default;
};

/// The change of one entry; the value before it allows older versions to be
/// rebuilt. nullopt for an absent entry.
struct RecordedChange {
  std::string key;
  std::optional<std::string> before;
  std::optional<std::string> after;

  auto operator<=>(const RecordedChange&) const = default;
};

/// Content of the change row of one version: the delta and its audit entry.
/// Immutable once written.
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
  /// One text for each changed field, such as "service/orders.slots: 160 ->
  /// 170".
  std::vector<std::string> fields;

  state::ConfigurationDelta ToDelta() const;

  auto operator<=>(const ChangeRecord&) const = default;
};

/// Key of the change row of \p version. The version is padded to 20 digits, so
/// that the order of the keys is that of the versions.
std::string ChangeKey(state::ConfigurationVersion version);

/// Key of the row of the configuration entry \p entry.
std::string EntryKey(std::string_view entry);

/// Encode writes JSON on one line; the Parse functions read it with the YAML
/// parser, as JSON is valid YAML. They throw state::Error with
/// kConfigurationInvalid if the text is malformed, or a snapshot does not match
/// its digest.
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

/// \p time in UTC with seconds, such as "2026-12-04T03:03:04Z".
std::string FormatWallTime(state::WallTime time);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CONFIGURATION_ROWS_H_
