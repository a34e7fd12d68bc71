/// \file
/// Context that is propagated with a request along its call chain.
#ifndef SESAMESPREAD_STATE_REQUEST_CONTEXT_H_
#define SESAMESPREAD_STATE_REQUEST_CONTEXT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/inventory.h"
#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// Number of priorities of one importance. Several priorities allow the
/// shedding of a part of the requests of one importance.
constexpr std::uint32_t kPrioritiesPerImportance = 128;

/// Number of priorities; a threshold with this value admits every request.
constexpr std::uint32_t kPriorityCount = 3 * kPrioritiesPerImportance;

/// Priority of a request; requests with a higher value are shed first. It
/// depends only on the importance and the id of the request, so that every hop
/// sheds the same requests.
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
  /// On the local monotonic clock. Each hop derives it from the remaining time
  /// that the sender of the call states.
  Instant deadline{};
  /// Number of retries that this call and all its downstream calls may still
  /// make.
  std::uint32_t allotment = 0;
  /// Number of hops from the entry node; 0 at the entry node.
  std::uint32_t depth = 0;
  /// Empty if the request has none.
  std::string idempotency_key;

  std::uint32_t priority() const { return PriorityOf(importance, id); }

  auto operator<=>(const RequestContext&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_REQUEST_CONTEXT_H_
