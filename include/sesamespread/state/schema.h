/// \file
/// Schema tables of the YAML files. Each row defines the validation of a field
/// and its entry on the reference page docs/SETTINGS.md, so that the page
/// always matches the validation.
#ifndef SESAMESPREAD_STATE_SCHEMA_H_
#define SESAMESPREAD_STATE_SCHEMA_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespread::state {

/// Type of a field's value.
enum class FieldType : std::uint8_t {
  /// Has child rows "<path>.<key>".
  kMap,
  /// A list of maps with child rows "<path>[].<key>".
  kMapList,
  /// 1 to 63 of a-z, 0-9 and "-".
  kName,
  kNameList,
  /// Any non-empty text.
  kText,
  kCount,
  kBytes,
  kDuration,
  kBoolean,
  /// One of SchemaRow::choices.
  kChoice,
  kChoiceList,
  /// A numeric IP address without a port.
  kAddress,
  /// "127.0.0.1:80" or "[::1]:80"; port 0 lets the operating system choose.
  kEndpoint,
  kEndpointList,
  /// "http://..." or "https://...".
  kUrl,
  /// A URL path without a query; starts with "/".
  kPathPrefix,
  /// A URL path with an optional query.
  kTarget,
  /// A decimal number from 0 to 1, such as "0.2".
  kShare,
  /// A decimal number with the unit "ms" or "s", such as "2.5s".
  kDecimalDuration,
};

/// Schema of one field of a YAML file.
struct SchemaRow {
  /// Path of the field, such as "listen.caller" or "services[].slots".
  std::string_view path;
  FieldType type;
  /// Unit of the value as printed on the reference page; empty if it has none.
  std::string_view unit;
  bool required;
  /// Default value in YAML syntax; empty if the field has none.
  std::string_view fallback;
  /// Description on the reference page.
  std::string_view doc;
  /// Allowed values separated by "|", for kChoice and kChoiceList.
  std::string_view choices = {};
  /// Inclusive bounds of a number, or of a duration in microseconds.
  std::uint64_t min = 0;
  std::uint64_t max = UINT32_MAX;
};

/// Schema of a node's settings.
std::span<const SchemaRow> NodeSettingsSchema();

/// Schema of the inventory and rules.
std::span<const SchemaRow> InventorySchema();

/// One error in a YAML file. Lines and columns start at 1.
struct Diagnostic {
  std::string file;
  int line = 1;
  int column = 1;
  std::string message;
  /// The most similar valid name; empty if none is similar.
  std::string nearest;

  auto operator<=>(const Diagnostic&) const = default;
};

/// Formats \p diagnostic as "file:line:column: error: message; did you mean
/// 'nearest'?"; the question is left out if `nearest` is empty.
std::string ToString(const Diagnostic& diagnostic);

/// Levenshtein distance between \p left and \p right.
std::size_t EditDistance(std::string_view left, std::string_view right);

/// The candidate with the smallest edit distance to \p name, or "" if none is
/// within a third of the length of \p name (at least 2 edits).
std::string NearestName(std::string_view name,
                        std::span<const std::string> candidates);

/// Generates the Markdown text of docs/SETTINGS.md.
std::string ReferencePage();

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_SCHEMA_H_
