/// \file
/// The operators' inventory and rules, as values.
#ifndef SESAMESPREAD_STATE_INVENTORY_H_
#define SESAMESPREAD_STATE_INVENTORY_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// How much a request matters. A lower value is kept longer under overload.
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
  /// Requests that one backend server works on at a time, at least 1.
  std::uint32_t slots = 1;
  /// Connections that one backend server accepts, at least 1.
  std::uint32_t connections = 1;
  /// How long an answer may take where no rule says otherwise; above zero.
  Duration answer_within{0};
  /// Services it calls. The calls of all services form no cycle.
  std::vector<std::string> calls;

  auto operator<=>(const Service&) const = default;
};

/// A rule of the operators. The first rule in order of name that matches a
/// request applies to it.
struct Rule {
  std::string name;
  std::string service;
  /// Methods it applies to; empty for all.
  std::vector<std::string> methods;
  std::string path_prefix = "/";
  Importance importance = Importance::kStandard;
  /// False for a request that may never be repeated (not idempotent).
  bool repeatable = false;
  /// Zero for the service's own answer_within.
  Duration answer_within{0};

  auto operator<=>(const Rule&) const = default;
};

/// Limits that hold for the whole system.
struct Limits {
  /// Retries of one caller's request over its whole chain.
  std::uint32_t retry_allotment = 3;
  /// How long the answer to an idempotency key can be replayed.
  Duration repeat_window = std::chrono::minutes(5);
  /// Largest request body in bytes.
  std::uint64_t max_request_bytes = 1 << 20;
  /// Largest answer body in bytes.
  std::uint64_t max_answer_bytes = 16 << 20;

  auto operator<=>(const Limits&) const = default;
};

/// What the rules say of one request.
struct Classification {
  Importance importance = Importance::kStandard;
  bool repeatable = false;
  Duration answer_within{0};
  /// Name of the rule that applied; empty if none did.
  std::string rule;

  auto operator<=>(const Classification&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_INVENTORY_H_
