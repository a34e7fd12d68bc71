/// \file
/// Implements the pool of shares and its token buckets.
#include "sesamespread/coordination/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;

// Rounding errors must not make a bucket with a whole token return none.
constexpr double kEpsilon = 1e-9;

// A change of the share by more than this factor ends the history of unused
// buckets; smaller ones only lower their capacity.
constexpr double kIdleShareRatio = 1.1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::uint32_t FractionalBucket::Take(std::uint32_t wanted) {
  std::uint32_t taken = 0;
  while (taken < wanted && level_ > 0) {
    const double part = std::min(level_, 1.0);
    level_ -= part;
    phase_ += part;
    if (phase_ >= 1 - kEpsilon) {
      phase_ = std::max(phase_ - 1, 0.0);
      ++taken;
    }
  }
  return taken;
}

QuotaPool::QuotaPool(state::NodeId self,
                     const QuotaOptions& options,
                     Instant start,
                     std::uint64_t seed)
    : self_(self),
      options_(options),
      start_(start),
      random_(seed),
      process_(random_()),
      shards_(options.shards) {
  for (Shard& shard : shards_)
    shard.integrated_at = shard.swept_at = start;
}

void QuotaPool::SetTenants(std::shared_ptr<const QuotaTable> tenants,
                           Instant now) {
  for (std::uint32_t i = 0; i < shards_.size(); ++i) {
    Advance(i, now);
    Integrate(shards_[i], now);
  }
  const std::shared_ptr<const QuotaTable> old =
      std::exchange(tenants_, std::move(tenants));
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    const auto found = tenants_->find(it->first);
    if (found == tenants_->end()) {
      recently_used_.erase(it->second.position);
      it = buckets_.erase(it);
      continue;
    }
    Bucket& bucket = it->second;
    // Up to now, the old limits apply.
    Refill(bucket, old->at(it->first));
    bucket.tokens.Limit(CapacityOf(found->second, shards_[bucket.shard].share));
    ++it;
  }
  // The history of unused buckets was of other limits.
  for (Shard& shard : shards_)
    shard.idle_since = shard.share_seconds;
}

void QuotaPool::SetNodeCount(std::uint32_t nodes, Instant now) {
  node_count_ = std::max<std::uint32_t>(nodes, 1);
  for (std::uint32_t i = 0; i < shards_.size(); ++i) {
    Advance(i, now);
    UpdateShare(i, now);
  }
}

std::optional<QuotaGrant> QuotaPool::OnReport(const QuotaReport& report,
                                              Instant now) {
  if (report.shard >= shards_.size() ||
      report.wants.size() > options_.max_tenants_per_report)
    return std::nullopt;
  Advance(report.shard, now);
  Shard& shard = shards_[report.shard];
  SweepLenders(shard, now);
  if (shard.lenders.size() >= options_.max_lenders &&
      shard.lenders.count(report.node) == 0)
    return std::nullopt;
  Lender& lender = shard.lenders[report.node];
  if (lender.process == report.process && report.sequence <= lender.sequence)
    return std::nullopt;
  lender.process = report.process;
  lender.sequence = report.sequence;
  lender.seen_at = now;
  UpdateLease(report.shard, report, lender, now);
  Integrate(shard, now);
  QuotaGrant grant;
  grant.node = self_;
  grant.process = process_;
  grant.shard = report.shard;
  grant.sequence = report.sequence;
  grant.stamp_us = static_cast<std::uint64_t>(now.time_since_epoch().count());
  grant.nodes = NodeCountOf(shard);
  for (const QuotaWant& want : report.wants) {
    const GrantedTokens granted = Grant(report.shard, want);
    if (granted.tokens > 0 || granted.retry_after > Duration(0))
      grant.granted.push_back(granted);
  }
  return grant;
}

double QuotaPool::ShareOf(std::uint32_t shard, Instant now) {
  Advance(shard, now);
  return shards_[shard].share;
}

std::size_t QuotaPool::lenders() const {
  std::size_t count = 0;
  for (const Shard& shard : shards_)
    count += shard.lenders.size();
  return count;
}

void QuotaPool::Advance(std::uint32_t index, Instant now) {
  Shard& shard = shards_[index];
  while (!shard.lease_ends.empty() && shard.lease_ends.begin()->first <= now) {
    const auto [at, node] = *shard.lease_ends.begin();
    EndLease(shard, node, shard.lenders.at(node));
    UpdateShare(index, at);
  }
}

void QuotaPool::EndLease(Shard& shard, state::NodeId node, Lender& lender) {
  if (lender.lease_until == Instant{})
    return;
  shard.lease_ends.erase({lender.lease_until, node});
  shard.node_counts.erase(shard.node_counts.find(lender.nodes));
  lender.lease_until = {};
}

void QuotaPool::Integrate(Shard& shard, Instant now) {
  if (now <= shard.integrated_at)
    return;
  shard.share_seconds += shard.share * Seconds(now - shard.integrated_at);
  shard.integrated_at = now;
}

void QuotaPool::UpdateShare(std::uint32_t index, Instant now) {
  Shard& shard = shards_[index];
  const double share = std::min(static_cast<double>(shard.lease_ends.size()) /
                                    static_cast<double>(NodeCountOf(shard)),
                                1.0);
  if (share == shard.share)
    return;
  Integrate(shard, now);
  for (auto& [tenant, bucket] : buckets_) {
    if (bucket.shard != index)
      continue;
    const state::RequestQuota& quota = tenants_->at(tenant);
    Refill(bucket, quota);
    bucket.tokens.Limit(CapacityOf(quota, share));
  }
  shard.share = share;
  const bool is_small_change = share <= shard.idle_share * kIdleShareRatio &&
                               share >= shard.idle_share / kIdleShareRatio;
  if (is_small_change) {
    shard.idle_share = std::min(shard.idle_share, share);
  } else {
    shard.idle_share = share;
    shard.idle_since = shard.share_seconds;
  }
}

void QuotaPool::UpdateLease(std::uint32_t index,
                            const QuotaReport& report,
                            Lender& lender,
                            Instant now) {
  Shard& shard = shards_[index];
  EndLease(shard, report.node, lender);
  // The lender received the stamp before it sent the report, so that the lease
  // lasts at the lender until lender_lease after the stamp at least. Stamps of
  // an earlier process or of another boot of the host are out of range.
  const Instant echo{Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(
      report.echo_us, static_cast<std::uint64_t>(INT64_MAX))))};
  if (report.lends && report.nodes > 0 && echo >= start_ && echo <= now) {
    const Instant until =
        std::min(now + options_.coordinator_lease,
                 echo + options_.lender_lease - options_.lease_margin);
    if (until > now) {
      lender.lease_until = until;
      lender.nodes = report.nodes;
      shard.lease_ends.insert({until, report.node});
      shard.node_counts.insert(report.nodes);
    }
  }
  UpdateShare(index, now);
}

void QuotaPool::SweepLenders(Shard& shard, Instant now) {
  if (now - shard.swept_at < options_.lender_idle_time)
    return;
  shard.swept_at = now;
  std::erase_if(shard.lenders, [this, now](const auto& entry) {
    return entry.second.lease_until == Instant{} &&
           now - entry.second.seen_at >= options_.lender_idle_time;
  });
}

GrantedTokens QuotaPool::Grant(std::uint32_t index, const QuotaWant& want) {
  GrantedTokens granted;
  granted.tenant = want.tenant;
  const auto found = tenants_->find(want.tenant);
  if (found == tenants_->end() || want.tenant % shards_.size() != index) {
    // The node has a newer document, or an older one.
    if (want.waiting > 0)
      granted.retry_after = options_.retry_pause;
    return granted;
  }
  const state::RequestQuota& quota = found->second;
  const double share = shards_[index].share;
  Bucket& bucket = BucketOf(index, want.tenant, quota);
  granted.tokens = bucket.tokens.Take(want.waiting);
  bucket.backlog = std::max(bucket.backlog - granted.tokens, 0.0);
  const double spare = bucket.tokens.level() - CapacityOf(quota, share) / 2;
  if (granted.tokens == want.waiting) {
    if (spare >= 1 && want.prefetch > 0)
      granted.tokens += bucket.tokens.Take(static_cast<std::uint32_t>(
          std::min(spare, static_cast<double>(want.prefetch))));
    return granted;
  }
  const double rate = quota.per_second * share;
  const double max_seconds = Seconds(options_.max_retry_after);
  const double ahead = bucket.backlog + bucket.tokens.Missing();
  const double seconds =
      rate > 0 ? std::min(ahead / rate, max_seconds) : max_seconds;
  granted.retry_after =
      std::max(Duration(static_cast<std::int64_t>(seconds * 1e6)),
               options_.min_retry_after);
  bucket.backlog = std::min(bucket.backlog + want.waiting - granted.tokens,
                            rate * max_seconds);
  return granted;
}

QuotaPool::Bucket& QuotaPool::BucketOf(std::uint32_t index,
                                       TenantId tenant,
                                       const state::RequestQuota& quota) {
  Shard& shard = shards_[index];
  const auto found = buckets_.find(tenant);
  if (found != buckets_.end()) {
    recently_used_.splice(recently_used_.begin(), recently_used_,
                          found->second.position);
    Refill(found->second, quota);
    return found->second;
  }
  if (buckets_.size() >= options_.max_buckets) {
    const auto oldest = buckets_.find(recently_used_.back());
    Shard& other = shards_[oldest->second.shard];
    // The evicted bucket may have been emptied since.
    other.idle_since = other.share_seconds;
    buckets_.erase(oldest);
    recently_used_.pop_back();
  }
  const double history = shard.share_seconds - shard.idle_since;
  const double initial =
      std::min(options_.initial_tokens, std::max(quota.burst, 1.0)) *
      shard.share;
  const double level =
      std::min(initial + quota.per_second * history,
               CapacityOf(quota, std::min(shard.idle_share, shard.share)));
  recently_used_.push_front(tenant);
  std::uniform_real_distribution<double> phase(0, 1);
  const auto [added, is_new] = buckets_.emplace(
      tenant, Bucket{FractionalBucket(level, phase(random_)), index,
                     shard.share_seconds, 0, recently_used_.begin()});
  return added->second;
}

void QuotaPool::Refill(Bucket& bucket, const state::RequestQuota& quota) {
  const Shard& shard = shards_[bucket.shard];
  const double tokens =
      quota.per_second * (shard.share_seconds - bucket.filled_at);
  bucket.filled_at = shard.share_seconds;
  bucket.tokens.Add(tokens, CapacityOf(quota, shard.share));
  bucket.backlog = std::max(bucket.backlog - tokens, 0.0);
}

double QuotaPool::CapacityOf(const state::RequestQuota& quota,
                             double share) const {
  // A quota without a burst still admits single requests.
  return share * (std::max(quota.burst, 1.0) +
                  quota.per_second * Seconds(options_.batching_time));
}

std::uint32_t QuotaPool::NodeCountOf(const Shard& shard) const {
  return shard.node_counts.empty()
             ? node_count_
             : std::max(node_count_, *shard.node_counts.rbegin());
}

}  // namespace sesamespread::coordination
