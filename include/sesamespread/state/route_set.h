/// \file
/// Routes of an operator's document, as values. A route selects requests by
/// host and path prefix and says which service runs them and what callers may
/// expect.
#ifndef SESAMESPREAD_STATE_ROUTE_SET_H_
#define SESAMESPREAD_STATE_ROUTE_SET_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// A service that takes a share of a route's requests.
struct RouteTarget {
  std::string service;
  /// Share relative to the weights of the route's other targets; above zero.
  std::uint32_t weight = 1;

  auto operator<=>(const RouteTarget&) const = default;
};

/// A route; see RouteTable for how requests are matched.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Never empty.
  std::vector<RouteTarget> targets;
  /// False for requests that run at most once for each attempt of a caller.
  bool idempotent = false;
  /// 0 is kept longest under overload.
  std::uint32_t priority = 0;
  /// Most backend servers that one attempt of a caller may reach; at least 1.
  std::uint32_t max_attempts = 1;
  /// An answer within this time has its full value to the caller.
  Duration goal{0};
  /// Longest time that a caller is kept waiting; above zero.
  Duration timeout{0};

  auto operator<=>(const Route&) const = default;
};

/// A service that routes refer to.
struct RoutedService {
  std::string name;
  /// Path of the backend servers' health check; empty if there is none.
  std::string health_path;
  /// Connections that one backend server accepts; 0 if the document says none.
  std::uint32_t max_connections = 0;

  auto operator<=>(const RoutedService&) const = default;
};

/// What callers may send, and how long they may take or stay idle.
struct RequestLimits {
  std::uint64_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 64 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  auto operator<=>(const RequestLimits&) const = default;
};

/// One version of the operator's document.
struct RouteSet {
  /// Versions rise with each change; 0 means none.
  std::uint64_t version = 0;
  RequestLimits limits;
  std::vector<Route> routes;
  std::vector<RoutedService> services;

  auto operator<=>(const RouteSet&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_ROUTE_SET_H_
