/// \file
/// Text forms of the rows that store the configuration.
#include "sesamespread/coordination/configuration_rows.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <ctime>
#include <map>

#include "sesamespread/state/result_code.h"

namespace sesamespread::coordination {
namespace {

using state::Error;
using state::ResultCode;

[[noreturn]] void ThrowInvalid(const std::string& detail) {
  throw Error(ResultCode::kConfigurationInvalid, detail);
}

// Calls `read` on the parsed text; YAML errors become state::Error.
template <typename Read>
auto ParseRow(const std::string& text, const char* what, Read read) {
  try {
    return read(YAML::Load(text));
  } catch (const YAML::Exception& error) {
    ThrowInvalid(fmt::format("unreadable {}: {}", what, error.what()));
  }
}

std::uint64_t ParseHexValue(const YAML::Node& node) {
  std::uint64_t value = 0;
  if (!state::ParseHex(node.as<std::string>(), &value))
    ThrowInvalid(
        fmt::format("'{}' is not hexadecimal", node.as<std::string>()));
  return value;
}

state::RequestId ParseAttemptId(const YAML::Node& node) {
  constexpr std::size_t kHalf = 16;
  const auto text = node.as<std::string>();
  state::RequestId id;
  if (text.size() != 2 * kHalf ||
      !state::ParseHex(text.substr(0, kHalf), &id.high) ||
      !state::ParseHex(text.substr(kHalf), &id.low))
    ThrowInvalid(fmt::format("'{}' is not an attempt id", text));
  return id;
}

std::string EncodeOptionalString(const std::optional<std::string>& text) {
  return text ? JsonString(*text) : "null";
}

std::optional<std::string> ParseOptionalString(const YAML::Node& node) {
  if (!node || node.IsNull())
    return std::nullopt;
  return node.as<std::string>();
}

std::string Encode(const RecordedChange& change) {
  return fmt::format(
      R"({{"key": {}, "before": {}, "after": {}}})", JsonString(change.key),
      EncodeOptionalString(change.before), EncodeOptionalString(change.after));
}

std::string FormatField(const YAML::Node& node) {
  if (node.IsScalar())
    return node.Scalar();
  std::vector<std::string> items;
  for (const auto& item : node)
    items.push_back(item.Scalar());
  return fmt::format("[{}]", fmt::join(items, ", "));
}

std::map<std::string, std::string> ParseFields(const std::string& value) {
  std::map<std::string, std::string> fields;
  for (const auto& item : YAML::Load(value))
    fields[item.first.Scalar()] = FormatField(item.second);
  return fields;
}

void AddChangedFields(const RecordedChange& change,
                      std::vector<std::string>* out) {
  if (!change.before || !change.after) {
    out->push_back(
        fmt::format("{}: {}", change.key, change.after ? "added" : "removed"));
    return;
  }
  const auto before = ParseFields(*change.before);
  auto after = ParseFields(*change.after);
  for (const auto& [field, text] : before) {
    const auto found = after.find(field);
    const std::string new_text = found == after.end() ? "-" : found->second;
    if (new_text != text)
      out->push_back(
          fmt::format("{}.{}: {} -> {}", change.key, field, text, new_text));
    after.erase(field);
  }
  for (const auto& [field, text] : after)
    out->push_back(fmt::format("{}.{}: - -> {}", change.key, field, text));
}

ChangeRecord DecodeChangeRecord(const YAML::Node& node) {
  ChangeRecord record;
  record.version = node["version"].as<std::uint64_t>();
  record.previous = node["previous"].as<std::uint64_t>();
  record.digest = ParseHexValue(node["digest"]);
  record.attempt = ParseAttemptId(node["attempt"]);
  record.who = node["who"].as<std::string>();
  record.why = node["why"].as<std::string>();
  record.when =
      state::WallTime(state::Duration(node["when_us"].as<std::int64_t>()));
  for (const auto& item : node["changes"])
    record.changes.push_back({item["key"].as<std::string>(),
                              ParseOptionalString(item["before"]),
                              ParseOptionalString(item["after"])});
  record.fields = node["fields"].as<std::vector<std::string>>();
  return record;
}

}  // namespace

state::ConfigurationDelta ChangeRecord::ToDelta() const {
  state::ConfigurationDelta delta{previous, version, digest, {}};
  for (const RecordedChange& change : changes)
    delta.changes.push_back({change.key, change.after});
  return delta;
}

std::string ChangeKey(state::ConfigurationVersion version) {
  return fmt::format("{}{:020}", kChangePrefix, version);
}

std::string EntryKey(std::string_view entry) {
  return fmt::format("{}{}", kEntryPrefix, entry);
}

std::string JsonString(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    if (static_cast<unsigned char>(c) < kFirstPrintable)
      quoted += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
    else
      quoted += c;
  }
  return quoted + "\"";
}

std::string Encode(const ConfigurationHead& head) {
  return fmt::format(R"({{"version": {}, "digest": "{}", "attempt": "{}"}})",
                     head.version, state::ToHex(head.digest),
                     state::ToHex(head.attempt));
}

std::string Encode(const ChangeRecord& record) {
  std::vector<std::string> changes;
  for (const RecordedChange& change : record.changes)
    changes.push_back(Encode(change));
  std::vector<std::string> fields;
  for (const std::string& field : record.fields)
    fields.push_back(JsonString(field));
  return fmt::format(
      R"({{"version": {}, "previous": {}, "digest": "{}", "attempt": "{}", )"
      R"("who": {}, "why": {}, "when_us": {}, "changes": [{}], )"
      R"("fields": [{}]}})",
      record.version, record.previous, state::ToHex(record.digest),
      state::ToHex(record.attempt), JsonString(record.who),
      JsonString(record.why), record.when.time_since_epoch().count(),
      fmt::join(changes, ", "), fmt::join(fields, ", "));
}

std::string EncodeSnapshot(const state::Configuration& configuration) {
  std::vector<std::string> entries;
  for (const auto& [key, value] : configuration.entries())
    entries.push_back(
        fmt::format("{}: {}", JsonString(key), JsonString(value)));
  return fmt::format(R"({{"version": {}, "digest": "{}", "entries": {{{}}}}})",
                     configuration.version(),
                     state::ToHex(configuration.digest()),
                     fmt::join(entries, ", "));
}

ConfigurationHead ParseHead(const std::string& text) {
  return ParseRow(text, "head", [](const YAML::Node& node) {
    return ConfigurationHead{node["version"].as<std::uint64_t>(),
                             ParseHexValue(node["digest"]),
                             ParseAttemptId(node["attempt"])};
  });
}

ChangeRecord ParseChangeRecord(const std::string& text) {
  return ParseRow(text, "change row", DecodeChangeRecord);
}

state::Configuration ParseSnapshot(const std::string& text) {
  return ParseRow(text, "snapshot", [](const YAML::Node& node) {
    state::Configuration::Entries entries;
    for (const auto& item : node["entries"])
      entries[item.first.as<std::string>()] = item.second.as<std::string>();
    state::Configuration configuration(node["version"].as<std::uint64_t>(),
                                       std::move(entries));
    if (configuration.digest() != ParseHexValue(node["digest"]))
      ThrowInvalid("the snapshot does not match its digest");
    return configuration;
  });
}

std::vector<std::string> ChangedFields(
    const std::vector<RecordedChange>& changes) {
  std::vector<std::string> fields;
  for (const RecordedChange& change : changes)
    AddChangedFields(change, &fields);
  return fields;
}

std::string FormatWallTime(state::WallTime time) {
  const auto seconds =
      std::chrono::floor<std::chrono::seconds>(time).time_since_epoch();
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(seconds.count())));
}

}  // namespace sesamespread::coordination
