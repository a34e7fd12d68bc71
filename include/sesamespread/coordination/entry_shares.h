/// \file
/// Which requests of one rank an entry node sheds first: those of the tenants
/// that ask for more than their fair share.
#ifndef SESAMESPREAD_COORDINATION_ENTRY_SHARES_H_
#define SESAMESPREAD_COORDINATION_ENTRY_SHARES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "sesamespread/coordination/fair_shares.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct EntrySharesOptions {
  /// Work is in requests. Each rank is shared separately.
  FairSharesOptions fair_shares;
  /// Time constant of the distribution of levels. With 2 s, the others kept
  /// 0.80 of their requests in the first seconds of a surge of the largest
  /// tenant, with 0.5 s 0.93.
  state::Duration distribution_time = std::chrono::milliseconds(500);
  /// Requests by which a uniform distribution counts, so that the first ones
  /// are not all shed or all admitted.
  double uniform_requests = 3;
};

/// The priorities of the requests of callers at one entry node, to be compared
/// with a threshold.
///
/// A request of a tenant whose demand is L times its fair share is assigned a
/// level between 0 and L by the hash of its id. Those below a level of 1 are
/// within the share. A threshold on the level admits the same multiple of its
/// share for each tenant, up to its demand. The position of a request within
/// its rank is the part of the recent requests that have a lower level, so that
/// a threshold refuses the same part of a rank as without tenants.
///
/// Requests without a tenant have the same priority as by EntryPriority.
class EntryShares {
 public:
  explicit EntryShares(EntrySharesOptions options = {});

  /// The priority of a new request, whose demand is recorded. Must be called
  /// once for each request of a caller, also while nothing is overloaded.
  std::uint32_t PriorityOf(std::uint32_t rank,
                           std::uint64_t id_hash,
                           TenantHash tenant,
                           state::Instant now);

  /// Records that a request was not refused at this node. Admitted requests
  /// determine the shares.
  void OnAdmitted(std::uint32_t rank, TenantHash tenant, state::Instant now);

  /// Recent demand of \p tenant in multiples of its fair share.
  double DemandLevel(std::uint32_t rank,
                     TenantHash tenant,
                     state::Instant now) const;

 private:
  // Levels in four bins per factor of two, from 1/64 to 64; the outer bins are
  // unbounded.
  static constexpr std::size_t kBins = 48;

  struct Rank {
    explicit Rank(const FairSharesOptions& options) : shares(options) {}

    FairShares shares;
    // Decayed numbers of requests by level.
    std::array<double, kBins> requests{};
    state::Instant updated{};
  };

  std::size_t IndexOf(std::uint32_t rank) const;
  void Decay(Rank& rank, state::Instant now) const;

  const EntrySharesOptions options_;
  std::vector<Rank> ranks_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_ENTRY_SHARES_H_
