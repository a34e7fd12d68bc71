/// \file
/// Value types of the tenants in an operator's document. A tenant is a group of
/// callers that is identified by API keys and may have a priority and a quota.
#ifndef SESAMESPREAD_STATE_TENANT_H_
#define SESAMESPREAD_STATE_TENANT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sesamespread::state {

/// Bound on the requests of a tenant at all nodes together.
struct RequestQuota {
  /// Requests per second; 0 if there is no quota.
  double per_second = 0;
  /// Requests that may be sent at once after a time without any.
  double burst = 0;

  bool is_limited() const { return per_second > 0; }

  auto operator<=>(const RequestQuota&) const = default;
};

struct Tenant {
  std::string name;
  /// Secrets. Must not appear in logs, metrics, traces or error messages.
  std::vector<std::string> api_keys;
  /// Rank of the tenant's requests, compared before the priorities of their
  /// routes; 0 is the highest. nullopt if the document gives none.
  std::optional<std::uint32_t> priority;
  RequestQuota quota;

  auto operator<=>(const Tenant&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_TENANT_H_
