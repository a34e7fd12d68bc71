/// \file
/// The coordinator's side of the quotas of tenants: the pool of the shares that
/// nodes lend to it, and the token buckets that the pool fills.
#ifndef SESAMESPREAD_COORDINATION_QUOTA_POOL_H_
#define SESAMESPREAD_COORDINATION_QUOTA_POOL_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/coordination/quota_messages.h"

namespace sesamespread::coordination {

/// A token bucket for fractions of requests. Taking from it uses up the
/// available fraction of a token, and a token results whenever the used
/// fractions reach the next whole number, from a random start. So many buckets
/// that each are entitled to a part of a request grant as many tokens together
/// as one bucket for all of them, within a statistical deviation.
class FractionalBucket {
 public:
  FractionalBucket(double level, double phase) : level_(level), phase_(phase) {}

  double level() const { return level_; }

  void Add(double tokens, double capacity) {
    level_ = std::min(level_ + tokens, capacity);
  }

  void Limit(double capacity) { level_ = std::min(level_, capacity); }

  /// Takes up to \p wanted whole tokens. \returns their number.
  std::uint32_t Take(std::uint32_t wanted);

  /// Amount that has to be added before Take returns a further token.
  double Missing() const { return std::max(1 - phase_ - level_, 0.0); }

 private:
  double level_;
  // Used fractions of the next token, in [0, 1).
  double phase_;
};

/// Grants tokens for the tenants of the shards that this node coordinates, as
/// far as other nodes consider it their coordinator. A pure state machine.
///
/// Invariants: the share of the pool of a shard is the sum of the shares leased
/// to it, at most 1. A bucket never holds more than its capacity for the share
/// at that time and is refilled in proportion to it. A lease ends here before
/// it ends at its lender, whatever the delay of messages.
class QuotaPool {
 public:
  /// \param seed random number, different for each process.
  QuotaPool(state::NodeId self,
            const QuotaOptions& options,
            state::Instant start,
            std::uint64_t seed);

  /// Replaces the limits; they apply at once.
  void SetTenants(std::shared_ptr<const QuotaTable> tenants,
                  state::Instant now);

  /// Sets the number of nodes that this one counts, itself included.
  void SetNodeCount(std::uint32_t nodes, state::Instant now);

  /// \returns the reply; nullopt for a report that is malformed or was
  /// overtaken by a later one.
  std::optional<QuotaGrant> OnReport(const QuotaReport& report,
                                     state::Instant now);

  /// Share of all quotas of \p shard that is leased to this node.
  double ShareOf(std::uint32_t shard, state::Instant now);

  std::size_t buckets() const { return buckets_.size(); }
  std::size_t lenders() const;

 private:
  struct Lender {
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    std::uint32_t nodes = 0;
    state::Instant seen_at;
    // Zero if there is no lease.
    state::Instant lease_until{};
  };

  struct Shard {
    std::unordered_map<state::NodeId, Lender> lenders;
    // Ends of the leases of `lenders`, and the numbers of nodes of these.
    std::set<std::pair<state::Instant, state::NodeId>> lease_ends;
    std::multiset<std::uint32_t> node_counts;
    double share = 0;
    // Integral of the share over time in seconds, up to `integrated_at`.
    double share_seconds = 0;
    state::Instant integrated_at;
    // What an unused bucket would have accumulated: the smallest share since
    // `idle_since`, a value of share_seconds.
    double idle_share = 0;
    double idle_since = 0;
    state::Instant swept_at;
  };

  struct Bucket {
    FractionalBucket tokens;
    std::uint32_t shard = 0;
    // share_seconds of the shard up to which the bucket has been refilled.
    double filled_at = 0;
    // Requests that were told to retry, less the tokens since then.
    double backlog = 0;
    std::list<TenantId>::iterator position;
  };

  // Ends the leases that have expired.
  void Advance(std::uint32_t index, state::Instant now);
  void EndLease(Shard& shard, state::NodeId node, Lender& lender);
  // Sets the share from the leases, and all buckets of the shard accordingly.
  void UpdateShare(std::uint32_t index, state::Instant now);
  static void Integrate(Shard& shard, state::Instant now);
  void UpdateLease(std::uint32_t index,
                   const QuotaReport& report,
                   Lender& lender,
                   state::Instant now);
  void SweepLenders(Shard& shard, state::Instant now);
  GrantedTokens Grant(std::uint32_t index, const QuotaWant& want);
  Bucket& BucketOf(std::uint32_t index,
                   TenantId tenant,
                   const state::RequestQuota& quota);
  void Refill(Bucket& bucket, const state::RequestQuota& quota);
  double CapacityOf(const state::RequestQuota& quota, double share) const;
  std::uint32_t NodeCountOf(const Shard& shard) const;

  const state::NodeId self_;
  const QuotaOptions options_;
  const state::Instant start_;
  std::mt19937_64 random_;
  const std::uint64_t process_;
  std::shared_ptr<const QuotaTable> tenants_ =
      std::make_shared<const QuotaTable>();
  std::uint32_t node_count_ = 1;
  std::vector<Shard> shards_;
  std::unordered_map<TenantId, Bucket> buckets_;
  // Tenants in buckets_, the most recently used first.
  std::list<TenantId> recently_used_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_QUOTA_POOL_H_
