/// \file
/// Settings of a route node, which serves an operator's routes from the
/// platform's store.
#ifndef SESAMESPREAD_STATE_ROUTE_NODE_SETTINGS_H_
#define SESAMESPREAD_STATE_ROUTE_NODE_SETTINGS_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "sesamespread/state/node_record.h"
#include "sesamespread/state/schema.h"
#include "sesamespread/state/settings.h"
#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// Addresses that a route node listens on. Port 0 lets the operating system
/// choose a port.
struct RouteNodeListen {
  /// For callers and for the backend server on this host.
  Endpoint entry;
  /// For status reports of the backend server on this host.
  Endpoint reports;
  /// For readiness checks and metrics.
  Endpoint ready;
  /// For other nodes.
  Endpoint peer;

  auto operator<=>(const RouteNodeListen&) const = default;
};

/// Retry budget that all nodes share.
struct RetrySettings {
  /// Maximum ratio of retries to requests of a service.
  double ratio = 0;
  /// Time over which the ratio is calculated.
  Duration window{0};

  auto operator<=>(const RetrySettings&) const = default;
};

/// Tolerance of the bound on a tenant's requests at all nodes together.
struct QuotaSettings {
  /// Time over which the bound holds.
  Duration window{0};
  /// Share by which the requests in a window may exceed the quota, and a number
  /// of requests on top of it.
  double overrun = 0;
  std::uint32_t slack = 0;

  auto operator<=>(const QuotaSettings&) const = default;
};

/// Settings of one route node. Defaults are those of RouteNodeSettingsSchema().
struct RouteNodeSettings {
  std::string name;
  std::string availability_zone;
  /// Service of the backend server on this host until the backend server
  /// reports another one.
  std::string service;
  /// Address of the backend server on this host.
  Endpoint backend;
  RouteNodeListen listen;
  /// Address at which other nodes reach `listen.peer`; the same as
  /// `listen.peer` unless the settings give another one.
  Endpoint advertise;
  /// Address of the platform's store.
  Endpoint store;
  /// Interval of the backend server's status reports.
  Duration report_interval{0};
  /// Time for which a leaving backend server may still get queued requests.
  Duration drain{0};
  /// Longest time from SIGTERM to the end of the process.
  Duration shutdown_timeout{0};
  RetrySettings retries;
  /// Longest time for which a withdrawn API key is accepted after the
  /// confirmation of its withdrawal, also at nodes that are cut off; zero if
  /// there is no such bound.
  Duration revocation_timeout{0};
  QuotaSettings quotas;
  /// True at the first start of the whole system.
  bool bootstrap = false;
  /// Maximum number of concurrent connections of callers.
  std::uint32_t max_connections = 0;
  /// Bound on the bytes held for callers, backend servers and other nodes; 0
  /// for the default, which depends on the memory of the host.
  std::uint64_t max_held_bytes = 0;
  LogLevel log_level = LogLevel::kInfo;

  auto operator<=>(const RouteNodeSettings&) const = default;
};

/// Schema of a route node's settings.
std::span<const SchemaRow> RouteNodeSettingsSchema();

/// Parses a route node's settings. \throws ValidationError with
/// kSettingsInvalid and all errors of the file.
RouteNodeSettings ParseRouteNodeSettings(const SourceText& source);

/// A field that differs between two versions of the settings.
struct SettingsChange {
  std::string field;
  /// True if the new value takes effect only after a restart of the node.
  bool needs_restart = false;

  auto operator<=>(const SettingsChange&) const = default;
};

/// The fields that differ between \p before and \p after, in the order of the
/// schema.
std::vector<SettingsChange> CompareSettings(const RouteNodeSettings& before,
                                            const RouteNodeSettings& after);

/// Returns \p before with the values of \p after that a running node can apply.
RouteNodeSettings MergeRuntimeSettings(const RouteNodeSettings& before,
                                       const RouteNodeSettings& after);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_ROUTE_NODE_SETTINGS_H_
