/// \file
/// Fair shares between tenants: weighted start-time fair queueing, with weights
/// that follow what each tenant has usually been given.
///
/// Equal shares would let a tenant that suddenly sends ten times as much as
/// usual take capacity from a larger one that sends no more than usual. The
/// weight of a tenant is therefore its average over some tens of seconds, and
/// at least the average over all tenants, so that small and new ones are not
/// held to their past.
#ifndef SESAMESPREAD_COORDINATION_FAIR_SHARES_H_
#define SESAMESPREAD_COORDINATION_FAIR_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// 64-bit hash of a tenant's name; 0 means none.
using TenantHash = std::uint64_t;

struct FairSharesOptions {
  /// Time constant of the averages that determine the weights. Surges of some
  /// seconds must hardly change them.
  state::Duration usual_time = std::chrono::seconds(30);
  /// Time constant of the demand that is compared with the usual one.
  state::Duration recent_time = std::chrono::seconds(1);
  /// Least weight, in multiples of that of a tenant of average usage. The
  /// demand of tenants of about average size varies most by its share: with 1,
  /// one of 81 tenants kept only 0.83 of its calls while the largest tenant
  /// sent ten times as much as usual, with 3 each kept 0.97.
  double min_weight = 3;
  /// Tenants tracked at most, about 200 bytes each.
  std::size_t max_tenants = 2048;
  /// Idle tenants are forgotten once this share of the work of an average
  /// tenant is left, which takes about 5 times usual_time.
  double min_usage_share = 0.01;
};

/// The place of one call in the start order: calls with a lower tag start
/// first.
struct FairTag {
  /// In units of work at a tenant of weight 1.
  double start = 0;
  /// By how much the call delays the following ones of its tenant.
  double step = 0;
};

/// Shares of the tenants at one place where requests compete.
///
/// Work is in any unit that is used consistently: slot-microseconds at a
/// backend server, requests at an entry node. Operations take logarithmic time
/// in the number of tenants.
///
/// Invariants: at most max_tenants are tracked, and the one with the least
/// usage is evicted first; no tenant has a tag below the virtual time, so that
/// idle and evicted ones store up no credit.
class FairShares {
 public:
  explicit FairShares(FairSharesOptions options = {}) : options_(options) {}

  /// The start tag that the next call of \p tenant would get.
  double NextStart(TenantHash tenant) const;

  /// Assigns a tag to a call with \p work. \pre \p tenant is not 0.
  FairTag Reserve(TenantHash tenant, double work, state::Instant now);

  /// Takes back the last tag of \p tenant, whose call does not run.
  void Release(TenantHash tenant, const FairTag& tag);

  /// Advances the virtual time to the tag of a call that starts.
  void OnStart(const FairTag& tag);

  /// Records the work that \p tenant has been given. \p reserved is the part
  /// of it that Reserve has already counted.
  void OnGiven(TenantHash tenant,
               double work,
               double reserved,
               state::Instant now);

  /// Records demand, whether or not it is satisfied.
  void OnDemand(TenantHash tenant, double work, state::Instant now);

  /// Recent demand of \p tenant in multiples of its fair share; 0 if it is not
  /// tracked. Demand above 1 is above its share.
  double DemandLevel(TenantHash tenant, state::Instant now) const;

  /// Weight of \p tenant relative to one of average usage; at least min_weight.
  double Weight(TenantHash tenant, state::Instant now) const;

  double virtual_time() const { return virtual_time_; }
  std::size_t size() const { return entries_.size(); }

 private:
  // Tenants by usage. The logarithm of a usage that decays exponentially,
  // plus the age of the clock in time constants, is the same at any time.
  using UsageOrder = std::set<std::pair<double, TenantHash>>;

  struct Entry {
    // Tag at which the last reserved call of the tenant ends.
    double finish = 0;
    double log_usage = 0;
    double recent = 0;
    state::Instant recent_at;
  };

  // Time since the first event, in usual_time.
  double Age(state::Instant now) const;
  double Usage(const Entry& entry, state::Instant now) const;
  double AverageUsage(state::Instant now) const;
  double TotalUsage(state::Instant now) const;
  double Recent(const Entry& entry, state::Instant now) const;
  bool IsIdle(const Entry& entry, state::Instant now) const;
  // The entry of \p tenant, added if it is missing; may evict others.
  Entry& Track(TenantHash tenant, state::Instant now);
  void AddUsage(TenantHash tenant,
                Entry& entry,
                double work,
                state::Instant now);
  void EvictLeastActive(state::Instant now);

  const FairSharesOptions options_;
  double virtual_time_ = 0;
  std::optional<state::Instant> first_;
  // Decayed sum of the usages at total_at_.
  double total_usage_ = 0;
  state::Instant total_at_;
  std::unordered_map<TenantHash, Entry> entries_;
  UsageOrder by_usage_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_FAIR_SHARES_H_
