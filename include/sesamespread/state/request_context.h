/// \file
/// What travels with a request down its chain of calls.
#ifndef SESAMESPREAD_STATE_REQUEST_CONTEXT_H_
#define SESAMESPREAD_STATE_REQUEST_CONTEXT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/inventory.h"
#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// Priorities of one importance, so that a part of its requests can be shed.
constexpr std::uint32_t kPrioritiesPerImportance = 128;

/// Number of priorities; a threshold of this value admits every request.
constexpr std::uint32_t kPriorityCount = 3 * kPrioritiesPerImportance;

/// Priority of a request: a lower value is kept longer. It depends on nothing
/// but the request's importance and id, so that every hop sheds the same ones.
inline std::uint32_t PriorityOf(Importance importance, const RequestId& id) {
  const std::uint64_t hash = HashOf(id.high, id.low);
  return static_cast<std::uint32_t>(importance) * kPrioritiesPerImportance +
         static_cast<std::uint32_t>(hash % kPrioritiesPerImportance);
}

/// The context of one call.
struct RequestContext {
  RequestId id;
  Importance importance = Importance::kStandard;
  bool repeatable = false;
  /// On the local monotonic clock; each hop derives it from the time that
  /// remained when the call was sent.
  Instant deadline{};
  /// Retries that this call and all calls below it may still make.
  std::uint32_t allotment = 0;
  /// Number of hops from the caller; 0 at the first node.
  std::uint32_t depth = 0;
  /// Empty if the request has none.
  std::string idempotency_key;

  std::uint32_t priority() const { return PriorityOf(importance, id); }

  auto operator<=>(const RequestContext&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_REQUEST_CONTEXT_H_
