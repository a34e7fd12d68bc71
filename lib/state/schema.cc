/// \file
/// Schema tables of the YAML files and the reference page generated from them.
#include "sesamespread/state/schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <numeric>

#include "sesamespread/state/route_node_settings.h"

namespace sesamespread::state {
namespace {

constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr std::uint64_t kMaxBytes = 1 << 30;
constexpr std::uint64_t kMaxDurationUs = 86'400'000'000;
constexpr std::uint64_t kMaxTimeoutUs = 600'000'000;
constexpr std::string_view kMethods = "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS";
constexpr std::string_view kDurationUnits = "us, ms, s or m";

using enum FieldType;

constexpr SchemaRow kNodeSettings[] = {
    {"name", kName, "", true, "",
     "Name of the node; unique among all nodes, because its id is made from "
     "it."},
    {"availability_zone", kName, "", true, "",
     "Zone of the host, as named in the inventory."},
    {"listen", kMap, "", true, "",
     "Addresses the node listens on. Port 0 lets the system choose; host names "
     "are not accepted."},
    {"listen.caller", kEndpoint, "", true, "", "HTTP port for callers."},
    {"listen.backend", kEndpoint, "", true, "",
     "HTTP port for the backend server on this host; must be a loopback "
     "address."},
    {"listen.peer", kEndpoint, "", true, "", "TCP port for other nodes."},
    {"listen.gossip", kEndpoint, "", true, "", "UDP port for other nodes."},
    {"listen.operator", kEndpoint, "", true, "",
     "HTTP port for operators, `/metrics`, `/healthz` and `/readyz`."},
    {"advertise", kAddress, "", false, "",
     "Address that other nodes use for this one; the address of `listen.peer` "
     "if left out. Needed if that is a wildcard address."},
    {"platform", kMap, "", false, "",
     "Access to the platform's table service and object store. Without it the "
     "node takes its configuration from other nodes only."},
    {"platform.url", kUrl, "", true, "", "URL of the platform."},
    {"platform.timeout", kDuration, kDurationUnits, false, "2s",
     "Bound of each call to the platform.", "", 1'000, 60'000'000},
    {"platform.token_file", kText, "", false, "",
     "File with the bearer token for the platform."},
    {"seeds", kEndpointList, "", false, "[]",
     "Gossip addresses of some other nodes, asked at the start."},
    {"operator", kMap, "", true, "", "Access of operators to the node."},
    {"operator.token_file", kText, "", true, "",
     "File with the token that operators must send."},
    {"operator.certificate_file", kText, "", false, "",
     "PEM certificate for HTTPS on the operator port; needs `key_file`."},
    {"operator.key_file", kText, "", false, "",
     "PEM private key for HTTPS on the operator port; needs "
     "`certificate_file`."},
    {"log", kMap, "", false, "", "Log lines on standard error."},
    {"log.level", kChoice, "", false, "info", "Lowest severity that is logged.",
     "debug|info|warning|error"},
    {"bounds", kMap, "", false, "", "Bounds of queues and waits."},
    {"bounds.max_connections", kCount, "", false, "4096",
     "Connections of callers at a time.", "", 1, kMaxCount},
    {"bounds.max_requests_in_progress", kCount, "", false, "1024",
     "Requests in progress at a time, queued ones included.", "", 1, kMaxCount},
    {"bounds.max_queued_requests", kCount, "", false, "256",
     "Requests waiting for the backend server at a time.", "", 1, kMaxCount},
    {"bounds.max_buffered_bytes", kBytes, "bytes", false, "67108864",
     "Bodies held in memory at a time.", "", 1'048'576, kMaxBytes},
    {"bounds.shutdown_timeout", kDuration, kDurationUnits, false, "30s",
     "Longest wait for requests in progress at a graceful shutdown.", "", 1'000,
     kMaxTimeoutUs},
    {"admission", kChoice, "", false, "adaptive",
     "How the number of requests at the backend server is limited: `adaptive` "
     "follows measured latency, `fixed` is always the service's slots, `none` "
     "has no limit and is meant for comparison only.",
     "adaptive|fixed|none"},
};

constexpr SchemaRow kInventory[] = {
    {"zones", kMapList, "", false, "[]", "Availability zones."},
    {"zones[].name", kName, "", true, "", "Unique name of the zone."},
    {"zones[].region", kName, "", true, "", "Region of the zone."},
    {"services", kMapList, "", false, "[]",
     "Services; all files together have at least one."},
    {"services[].name", kName, "", true, "",
     "Unique name; the first part of the callers' path."},
    {"services[].slots", kCount, "requests", true, "",
     "Requests that one backend server works on at a time.", "", 1, kMaxCount},
    {"services[].connections", kCount, "connections", true, "",
     "Connections that one backend server accepts.", "", 1, kMaxCount},
    {"services[].answer_within", kDuration, kDurationUnits, true, "",
     "How long an answer may take where no rule says otherwise. A service that "
     "is called may not take longer than its caller.",
     "", 1, kMaxDurationUs},
    {"services[].calls", kNameList, "", false, "[]",
     "Services it calls; the calls of all services form no cycle."},
    {"rules", kMapList, "", false, "[]",
     "Rules; the first one in order of name that matches a request applies."},
    {"rules[].name", kName, "", true, "",
     "Unique name; rules are tried in its order."},
    {"rules[].service", kName, "", true, "", "Service the rule is for."},
    {"rules[].methods", kChoiceList, "", false, "[]",
     "Methods the rule is for; all if empty.", kMethods},
    {"rules[].path_prefix", kPathPrefix, "", false, "/",
     "Start of the paths the rule is for, without the service's name."},
    {"rules[].importance", kChoice, "", true, "",
     "What is kept under overload: `critical` longest, `browse` shortest.",
     "critical|standard|browse"},
    {"rules[].repeatable", kBoolean, "", false, "false",
     "Whether a request may be run more than once."},
    {"rules[].answer_within", kDuration, kDurationUnits, false, "",
     "How long an answer may take; the service's own value if left out.", "", 1,
     kMaxDurationUs},
    {"limits", kMap, "", false, "",
     "Limits of the whole system; in one file only."},
    {"limits.retry_allotment", kCount, "retries", false, "3",
     "Retries of one caller's request over its whole chain of calls.", "", 0,
     100},
    {"limits.repeat_window", kDuration, kDurationUnits, false, "5m",
     "How long the answer to an idempotency key can be replayed.", "",
     1'000'000, kMaxDurationUs},
    {"limits.max_request_bytes", kBytes, "bytes", false, "1048576",
     "Largest body of a request.", "", 1, kMaxBytes},
    {"limits.max_answer_bytes", kBytes, "bytes", false, "16777216",
     "Largest body of an answer.", "", 1, kMaxBytes},
};

std::string_view TypeText(FieldType type) {
  // In the order of FieldType.
  static constexpr std::array<std::string_view, 19> kTexts = {
      "map",     "list of maps", "name",     "list of names",   "text",
      "number",  "number",       "duration", "true or false",   "one of",
      "list of", "IP address",   "IP:port",  "list of IP:port", "URL",
      "path",    "path",         "share",    "duration"};
  const auto index = static_cast<std::size_t>(type);
  assert(index < kTexts.size() && "field type out of range");
  return kTexts[index];
}

std::string ChoicesText(std::string_view choices) {
  std::string text;
  for (const char c : choices)
    text += c == '|' ? std::string("`, `") : std::string(1, c);
  return text.empty() ? text : fmt::format(" `{}`", text);
}

std::string DurationText(std::uint64_t microseconds) {
  constexpr std::uint64_t kSecond = 1'000'000;
  if (microseconds % kSecond == 0)
    return fmt::format("{}s", microseconds / kSecond);
  if (microseconds % 1'000 == 0)
    return fmt::format("{}ms", microseconds / 1'000);
  return fmt::format("{}us", microseconds);
}

std::string BoundsText(const SchemaRow& row) {
  if (row.type == kDuration)
    return fmt::format(", {} to {}", DurationText(row.min),
                       DurationText(row.max));
  if (row.type == kDecimalDuration)
    return fmt::format(", {} to {}", DurationText(row.min),
                       DurationText(row.max));
  if (row.type == kShare)
    return ", 0 to 1";
  if (row.type == kCount || row.type == kBytes)
    return fmt::format(", {} to {}", row.min, row.max);
  return {};
}

std::string RowText(const SchemaRow& row) {
  return fmt::format(
      "| `{}` | {}{}{} | {} | {} | {} | {} |\n", row.path, TypeText(row.type),
      ChoicesText(row.choices), BoundsText(row), row.unit,
      row.required ? "yes" : "no",
      row.fallback.empty() ? "" : fmt::format("`{}`", row.fallback), row.doc);
}

std::string TableText(std::span<const SchemaRow> rows) {
  std::string text =
      "| field | value | unit | required | default | meaning |\n"
      "| --- | --- | --- | --- | --- | --- |\n";
  for (const SchemaRow& row : rows)
    text += RowText(row);
  return text;
}

}  // namespace

std::span<const SchemaRow> NodeSettingsSchema() {
  return kNodeSettings;
}

std::span<const SchemaRow> InventorySchema() {
  return kInventory;
}

std::string ToString(const Diagnostic& diagnostic) {
  std::string text =
      fmt::format("{}:{}:{}: error: {}", diagnostic.file, diagnostic.line,
                  diagnostic.column, diagnostic.message);
  if (!diagnostic.nearest.empty())
    text += fmt::format("; did you mean '{}'?", diagnostic.nearest);
  return text;
}

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t substituted = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, substituted});
    }
  }
  return row.back();
}

std::string NearestName(std::string_view name,
                        std::span<const std::string> candidates) {
  std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
  std::string nearest;
  for (const std::string& candidate : candidates) {
    const std::size_t distance = EditDistance(name, candidate);
    // A candidate that shares no character with the name is not similar.
    if (distance >= best || distance >= candidate.size())
      continue;
    best = distance;
    nearest = candidate;
  }
  return nearest;
}

std::string ReferencePage() {
  return fmt::format(
      "# Settings\n\n"
      "This page is generated from the tables that check the files; print it "
      "with `sesamespread check --reference`.\n\n"
      "Files are YAML with one document each. They are accepted as a whole or "
      "not at all, and all faults are reported at once. A name has 1 to 63 of "
      "the characters `a` to `z`, `0` to `9` and `-`, and starts with a letter "
      "or digit. A duration is a whole number with its unit ({}); a duration "
      "without unit is refused. Numbers are decimal.\n\n"
      "`required` and `default` of a field inside a map hold where that map is "
      "given; a map that is left out has the defaults of its fields.\n\n"
      "## Node settings\n\n{}\n"
      "## Route node settings\n\n"
      "Settings of `sesamespread route-node`, which serves an operator's "
      "routes "
      "from the platform's store. A share is a decimal number; a duration here "
      "may have decimals and has the unit ms or s.\n\n{}\n"
      "## Inventory and rules\n\n"
      "One or more files, checked together. The order of the files and of "
      "their items does not matter.\n\n{}",
      kDurationUnits, TableText(kNodeSettings),
      TableText(RouteNodeSettingsSchema()), TableText(kInventory));
}

}  // namespace sesamespread::state
