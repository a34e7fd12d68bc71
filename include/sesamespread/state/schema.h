/// \file
/// The tables that describe the YAML files: each row both checks a field and
/// appears on the reference page docs/SETTINGS.md, so that the two can't
/// differ.
#ifndef SESAMESPREAD_STATE_SCHEMA_H_
#define SESAMESPREAD_STATE_SCHEMA_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespread::state {

/// The form of a field's value.
enum class FieldType : std::uint8_t {
  /// Has child rows "<path>.<key>".
  kMap,
  /// A list of maps with child rows "<path>[].<key>".
  kMapList,
  /// 1 to 63 of a-z, 0-9 and "-".
  kName,
  kNameList,
  /// Any text that is not empty.
  kText,
  kCount,
  kBytes,
  kDuration,
  kBoolean,
  /// One of SchemaRow::choices.
  kChoice,
  kChoiceList,
  /// A number address without a port.
  kAddress,
  /// "127.0.0.1:80" or "[::1]:80"; port 0 lets the system choose.
  kEndpoint,
  kEndpointList,
  /// "http://..." or "https://...".
  kUrl,
  /// Starts with "/"; the characters of a URL path without query.
  kPathPrefix,
  /// The same, with a query if there is one.
  kTarget,
  /// A decimal number from 0 to 1 like "0.2".
  kShare,
  /// A decimal number with the unit "ms" or "s", like "2.5s".
  kDecimalDuration,
};

/// One field of a YAML file.
struct SchemaRow {
  /// "listen.caller" or "services[].slots".
  std::string_view path;
  FieldType type;
  /// Unit of the value; empty if it has none.
  std::string_view unit;
  bool required;
  /// Value of a field that is left out, as it would be written in YAML; empty
  /// if there is none.
  std::string_view fallback;
  std::string_view doc;
  /// Allowed values separated by "|", for kChoice and kChoiceList.
  std::string_view choices = {};
  /// Bounds of the number, in microseconds for durations.
  std::uint64_t min = 0;
  std::uint64_t max = UINT32_MAX;
};

/// Fields of a node's own settings.
std::span<const SchemaRow> NodeSettingsSchema();

/// Fields of the inventory and rules.
std::span<const SchemaRow> InventorySchema();

/// One fault of a YAML file. Lines and columns start at 1.
struct Diagnostic {
  std::string file;
  int line = 1;
  int column = 1;
  std::string message;
  /// The nearest valid name; empty if none is near.
  std::string nearest;

  auto operator<=>(const Diagnostic&) const = default;
};

/// "file:line:column: error: message; did you mean 'nearest'?".
std::string ToString(const Diagnostic& diagnostic);

/// Number of single-character edits between \p left and \p right.
std::size_t EditDistance(std::string_view left, std::string_view right);

/// The candidate with the smallest edit distance to \p name, or "" if none is
/// within a third of its length (at least 2 edits).
std::string NearestName(std::string_view name,
                        std::span<const std::string> candidates);

/// The Markdown text of docs/SETTINGS.md.
std::string ReferencePage();

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_SCHEMA_H_
