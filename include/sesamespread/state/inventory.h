/// \file
/// Value types of the operators' inventory and rules.
#ifndef SESAMESPREAD_STATE_INVENTORY_H_
#define SESAMESPREAD_STATE_INVENTORY_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// Importance of a request. Under overload, requests with a higher value are
/// shed first.
enum class Importance : std::uint8_t {
  /// Orders, payments and bookings.
  kCritical = 0,
  /// Plans, certificates, route sheets.
  kStandard = 1,
  /// Catalogue browsing and schedule checks.
  kBrowse = 2,
};

/// "critical", "standard" or "browse".
std::string_view ToString(Importance importance);

/// An availability zone of the inventory.
struct AvailabilityZone {
  std::string name;
  std::string region;

  auto operator<=>(const AvailabilityZone&) const = default;
};

/// A service of the inventory.
struct Service {
  std::string name;
  /// Number of requests that one backend server processes concurrently; at
  /// least 1.
  std::uint32_t slots = 1;
  /// Number of connections that one backend server accepts; at least 1.
  std::uint32_t connections = 1;
  /// Longest time for an answer, unless a rule sets another one; above zero.
  Duration answer_within{0};
  /// Services that it calls. The call graph of all services is acyclic.
  std::vector<std::string> calls;

  auto operator<=>(const Service&) const = default;
};

/// A rule of the operators that classifies requests. The first rule in order of
/// name that matches a request applies to it.
struct Rule {
  std::string name;
  std::string service;
  /// HTTP methods that it applies to; empty for all.
  std::vector<std::string> methods;
  std::string path_prefix = "/";
  Importance importance = Importance::kStandard;
  /// True for idempotent requests, which may run more than once.
  bool repeatable = false;
  /// Longest time for an answer; zero to use Service::answer_within.
  Duration answer_within{0};

  auto operator<=>(const Rule&) const = default;
};

/// System-wide limits.
struct Limits {
  /// Number of retries that nodes may make for one request of a caller, over
  /// its whole call chain.
  std::uint32_t retry_allotment = 3;
  /// Time for which the answer to an idempotency key can be replayed.
  Duration repeat_window = std::chrono::minutes(5);
  /// Largest body of a request, in bytes.
  std::uint64_t max_request_bytes = 1 << 20;
  /// Largest body of an answer, in bytes.
  std::uint64_t max_answer_bytes = 16 << 20;

  auto operator<=>(const Limits&) const = default;
};

/// The classification of one request by the rules.
struct Classification {
  Importance importance = Importance::kStandard;
  bool repeatable = false;
  Duration answer_within{0};
  /// Name of the rule that matched; empty if none did.
  std::string rule;

  auto operator<=>(const Classification&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_INVENTORY_H_
