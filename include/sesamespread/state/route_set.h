/// \file
/// Value types of the routes in an operator's document. A route selects
/// requests by host and path prefix, and defines the services that process
/// them, their priority, retries and time limits.
#ifndef SESAMESPREAD_STATE_ROUTE_SET_H_
#define SESAMESPREAD_STATE_ROUTE_SET_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "sesamespread/state/tenant.h"
#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// A service that receives a share of a route's requests.
struct RouteTarget {
  std::string service;
  /// Weight relative to the weights of the route's other targets; above zero.
  std::uint32_t weight = 1;

  auto operator<=>(const RouteTarget&) const = default;
};

/// A route. RouteTable implements the matching of requests.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Never empty.
  std::vector<RouteTarget> targets;
  /// False if a request may run at most once for each attempt of a caller.
  bool idempotent = false;
  /// Requests with a higher value are shed first; 0 is the highest priority.
  std::uint32_t priority = 0;
  /// True if requests need no API key although the document has tenants.
  bool is_public = false;
  /// Maximum number of backend servers that one attempt of a caller may reach;
  /// at least 1.
  std::uint32_t max_attempts = 1;
  /// Latency objective: an answer within this time has its full value to the
  /// caller.
  Duration goal{0};
  /// Longest time that a caller waits for an answer; above zero.
  Duration timeout{0};

  auto operator<=>(const Route&) const = default;
};

/// A service that routes refer to.
struct RoutedService {
  std::string name;
  /// Path of the health check of its backend servers; empty if there is none.
  std::string health_path;
  /// Number of connections that one backend server accepts; 0 if the document
  /// gives no number.
  std::uint32_t max_connections = 0;

  auto operator<=>(const RoutedService&) const = default;
};

/// Limits on the size of callers' requests, on the time to receive a header and
/// on the idle time of connections.
struct RequestLimits {
  std::uint64_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 64 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  auto operator<=>(const RequestLimits&) const = default;
};

/// One version of the operator's document.
struct RouteSet {
  /// Increases with each change of the document; 0 if there is no document.
  std::uint64_t version = 0;
  RequestLimits limits;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  /// Empty if requests need no API keys.
  std::vector<Tenant> tenants = {};

  auto operator<=>(const RouteSet&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_ROUTE_SET_H_
