/// \file
/// Parses, compares and merges the settings of a route node.
#include "sesamespread/state/route_node_settings.h"

#include <string_view>
#include <utility>
#include <vector>

#include "yaml_check.h"

namespace sesamespread::state {
namespace {

using enum FieldType;

constexpr std::uint64_t kMaxTimeoutUs = 600'000'000;
constexpr std::uint64_t kMaxConnections = 1'000'000;
constexpr std::uint64_t kMaxHeldBytes = 1ULL << 40;
constexpr std::uint64_t kMaxQuotaSlack = 1'000'000;
constexpr std::string_view kUnits = "ms or s";

constexpr SchemaRow kSettings[] = {
    {"name", kName, "", true, "",
     "Name of the node; unique among all nodes, because its id is made from "
     "it."},
    {"availability_zone", kText, "", true, "", "Zone of the host."},
    {"service", kText, "", true, "",
     "Service of the backend server on this host, until it reports another."},
    {"backend", kEndpoint, "", true, "",
     "Address of the backend server on this host."},
    {"listen", kMap, "", true, "",
     "Addresses the node listens on. Port 0 lets the system choose; host names "
     "are not accepted."},
    {"listen.entry", kEndpoint, "", true, "",
     "HTTP port for callers and the backend server on this host."},
    {"listen.reports", kEndpoint, "", true, "",
     "HTTP port for status reports of the backend server on this host."},
    {"listen.ready", kEndpoint, "", true, "",
     "HTTP port for readiness checks and `/metrics`."},
    {"listen.peer", kEndpoint, "", true, "", "TCP port for other nodes."},
    {"advertise", kEndpoint, "", false, "",
     "Address at which other nodes reach `listen.peer`, if it is another one."},
    {"store", kEndpoint, "", true, "",
     "Address of the platform's store, which has the routes and the nodes' "
     "addresses."},
    {"report_interval", kDecimalDuration, kUnits, false, "1500ms",
     "How often the backend server reports its status.", "", 1'000,
     kMaxTimeoutUs},
    {"drain", kDecimalDuration, kUnits, false, "2s",
     "Time after a backend server's leave was confirmed in which it may still "
     "get queued requests.",
     "", 0, kMaxTimeoutUs},
    {"shutdown_timeout", kDecimalDuration, kUnits, false, "6s",
     "Time from SIGTERM to the end of the process.", "", 1'000, kMaxTimeoutUs},
    {"retries", kMap, "", false, "", "Bound on repeats, for all nodes."},
    {"retries.ratio", kShare, "", false, "0.2",
     "Repeats as a share of a service's requests."},
    {"retries.window", kDecimalDuration, kUnits, false, "10s",
     "Time over which the bound holds.", "", 1'000'000, kMaxTimeoutUs},
    {"revocation_timeout", kDecimalDuration, kUnits, false, "0s",
     "Longest time for which a withdrawn API key is accepted after the "
     "confirmation of its withdrawal. A node whose knowledge of the document "
     "is older refuses requests with keys. 0s: no such bound.",
     "", 0, kMaxTimeoutUs},
    {"quotas", kMap, "", false, "",
     "Tolerance of the tenants' quotas, for all nodes together."},
    {"quotas.window", kDecimalDuration, kUnits, false, "5s",
     "Time over which a quota holds.", "", 1'000'000, kMaxTimeoutUs},
    {"quotas.overrun", kShare, "", false, "0.1",
     "Share by which the requests in a window may exceed the quota."},
    {"quotas.slack", kCount, "requests", false, "20",
     "Requests in a window by which a quota may be exceeded in addition.", "",
     0, kMaxQuotaSlack},
    {"bootstrap", kBoolean, "", false, "false",
     "Whether the whole system starts for the first time, so that there is no "
     "earlier state to recover."},
    {"max_connections", kCount, "", false, "2600",
     "Connections of callers at a time.", "", 1, kMaxConnections},
    {"max_held_bytes", kBytes, "bytes", false, "0",
     "Memory held for callers, backend servers and other nodes. Above it, the "
     "largest and slowest requests and answers are given up. 0: a quarter of "
     "the host's memory, but at most 48 MiB.",
     "", 0, kMaxHeldBytes},
    {"log", kMap, "", false, "", "Log lines on standard output."},
    {"log.level", kChoice, "", false, "info", "Lowest severity that is logged.",
     "debug|info|warning|error"},
};

LogLevel LevelOf(std::string_view text) {
  for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (ToString(level) == text)
      return level;
  }
  return LogLevel::kInfo;
}

RouteNodeSettings ReadSettings(const DocumentReader& reader) {
  RouteNodeSettings settings;
  settings.name = reader.Text("name");
  settings.availability_zone = reader.Text("availability_zone");
  settings.service = reader.Text("service");
  settings.backend = reader.Address("backend");
  settings.listen = {
      reader.Address("listen.entry"), reader.Address("listen.reports"),
      reader.Address("listen.ready"), reader.Address("listen.peer")};
  settings.advertise = reader.Text("advertise").empty()
                           ? settings.listen.peer
                           : reader.Address("advertise");
  settings.store = reader.Address("store");
  settings.report_interval = reader.DecimalTime("report_interval");
  settings.drain = reader.DecimalTime("drain");
  settings.shutdown_timeout = reader.DecimalTime("shutdown_timeout");
  settings.retries = {reader.Share("retries.ratio"),
                      reader.DecimalTime("retries.window")};
  settings.revocation_timeout = reader.DecimalTime("revocation_timeout");
  settings.quotas = {reader.DecimalTime("quotas.window"),
                     reader.Share("quotas.overrun"),
                     reader.Count("quotas.slack")};
  settings.bootstrap = reader.Text("bootstrap") == "true";
  settings.max_connections = reader.Count("max_connections");
  settings.max_held_bytes = reader.Number("max_held_bytes");
  settings.log_level = LevelOf(reader.Text("log.level"));
  return settings;
}

template <auto Member>
bool Differs(const RouteNodeSettings& a, const RouteNodeSettings& b) {
  return a.*Member != b.*Member;
}

template <auto Member>
void Copy(RouteNodeSettings& to, const RouteNodeSettings& from) {
  to.*Member = from.*Member;
}

template <auto Outer, auto Member>
bool NestedDiffers(const RouteNodeSettings& a, const RouteNodeSettings& b) {
  return a.*Outer.*Member != b.*Outer.*Member;
}

template <auto Outer, auto Member>
void CopyNested(RouteNodeSettings& to, const RouteNodeSettings& from) {
  to.*Outer.*Member = from.*Outer.*Member;
}

struct SettingsRow {
  const char* field;
  bool (*differs)(const RouteNodeSettings&, const RouteNodeSettings&);
  // nullptr if a new value takes effect only after a restart.
  void (*copy)(RouteNodeSettings&, const RouteNodeSettings&);
};

using Settings = RouteNodeSettings;
constexpr auto kListen = &Settings::listen;
constexpr auto kRetries = &Settings::retries;
constexpr auto kQuotas = &Settings::quotas;

constexpr SettingsRow kRows[] = {
    {"name", Differs<&Settings::name>, nullptr},
    {"availability_zone", Differs<&Settings::availability_zone>, nullptr},
    {"service", Differs<&Settings::service>, nullptr},
    {"backend", Differs<&Settings::backend>, nullptr},
    {"listen.entry", NestedDiffers<kListen, &RouteNodeListen::entry>, nullptr},
    {"listen.reports", NestedDiffers<kListen, &RouteNodeListen::reports>,
     nullptr},
    {"listen.ready", NestedDiffers<kListen, &RouteNodeListen::ready>, nullptr},
    {"listen.peer", NestedDiffers<kListen, &RouteNodeListen::peer>, nullptr},
    {"advertise", Differs<&Settings::advertise>, nullptr},
    {"store", Differs<&Settings::store>, nullptr},
    {"report_interval", Differs<&Settings::report_interval>,
     Copy<&Settings::report_interval>},
    {"drain", Differs<&Settings::drain>, Copy<&Settings::drain>},
    {"shutdown_timeout", Differs<&Settings::shutdown_timeout>,
     Copy<&Settings::shutdown_timeout>},
    {"retries.ratio", NestedDiffers<kRetries, &RetrySettings::ratio>,
     CopyNested<kRetries, &RetrySettings::ratio>},
    {"retries.window", NestedDiffers<kRetries, &RetrySettings::window>,
     nullptr},
    {"revocation_timeout", Differs<&Settings::revocation_timeout>,
     Copy<&Settings::revocation_timeout>},
    {"quotas.window", NestedDiffers<kQuotas, &QuotaSettings::window>, nullptr},
    {"quotas.overrun", NestedDiffers<kQuotas, &QuotaSettings::overrun>,
     nullptr},
    {"quotas.slack", NestedDiffers<kQuotas, &QuotaSettings::slack>, nullptr},
    {"bootstrap", Differs<&Settings::bootstrap>, nullptr},
    {"max_connections", Differs<&Settings::max_connections>, nullptr},
    {"max_held_bytes", Differs<&Settings::max_held_bytes>, nullptr},
    {"log.level", Differs<&Settings::log_level>, Copy<&Settings::log_level>},
};

}  // namespace

std::vector<SettingsChange> CompareSettings(const RouteNodeSettings& before,
                                            const RouteNodeSettings& after) {
  std::vector<SettingsChange> changes;
  for (const SettingsRow& row : kRows) {
    if (row.differs(before, after))
      changes.push_back({row.field, row.copy == nullptr});
  }
  return changes;
}

RouteNodeSettings MergeRuntimeSettings(const RouteNodeSettings& before,
                                       const RouteNodeSettings& after) {
  RouteNodeSettings merged = before;
  for (const SettingsRow& row : kRows) {
    if (row.copy)
      row.copy(merged, after);
  }
  return merged;
}

std::span<const SchemaRow> RouteNodeSettingsSchema() {
  return kSettings;
}

RouteNodeSettings ParseRouteNodeSettings(const SourceText& source) {
  std::vector<Diagnostic> diagnostics;
  DiagnosticSink sink(source.file, &diagnostics);
  RouteNodeSettings settings;
  const auto document = CheckDocument(source, RouteNodeSettingsSchema(), sink);
  if (document)
    settings =
        ReadSettings(DocumentReader(RouteNodeSettingsSchema(), *document));
  if (!diagnostics.empty())
    throw ValidationError(ResultCode::kSettingsInvalid, std::move(diagnostics));
  return settings;
}

}  // namespace sesamespread::state
