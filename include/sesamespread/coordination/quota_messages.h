/// \file
/// Value types of the quotas of tenants: options, and the messages between the
/// nodes and the coordinators of the quotas.
#ifndef SESAMESPREAD_COORDINATION_QUOTA_MESSAGES_H_
#define SESAMESPREAD_COORDINATION_QUOTA_MESSAGES_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/tenant.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// state::HashOf of the name of a tenant.
using TenantId = std::uint64_t;

/// The tenants with a quota.
using QuotaTable = std::unordered_map<TenantId, state::RequestQuota>;

/// Timings and bounds of QuotaPool and QuotaBorrower; the same at all nodes.
///
/// In any `window`, at most (rate * window + burst) * (1 + overrun) + slack
/// requests of a tenant are admitted. Tokens that were granted before a window
/// and are spent in it use (token_lifetime + batching_time) / window of the
/// overrun, new coordinators and randomized fractions of tokens the slack.
struct QuotaOptions {
  state::Duration window = std::chrono::seconds(5);
  double overrun = 0.1;
  double slack = 20;

  /// Groups of tenants that have a coordinator each. A node renews a lease in
  /// each of them.
  std::uint32_t shards = 2;

  /// How long a lease lasts from its sending at the lender, and from its
  /// arrival at the coordinator. The coordinator also ends it before
  /// lender_lease has passed since it sent the stamp that the lender returned,
  /// by lease_margin, so that a delayed report can't extend it.
  state::Duration lender_lease = std::chrono::milliseconds(600);
  state::Duration coordinator_lease = std::chrono::milliseconds(300);
  state::Duration lease_margin = std::chrono::milliseconds(50);
  /// Interval between the renewals of a lease. A renewal may be 100 ms late.
  state::Duration renewal_interval = std::chrono::milliseconds(200);

  /// Validity of tokens, from the sending of the request for them.
  state::Duration token_lifetime = std::chrono::milliseconds(400);
  /// Time without a reply after which a coordinator is replaced.
  state::Duration reply_timeout = std::chrono::milliseconds(100);
  /// A reply timer that runs later than this shows that the node itself was
  /// paused, so that the reply may be waiting to be read.
  state::Duration stall_tolerance = std::chrono::milliseconds(50);
  /// Longest time that a request waits for tokens.
  state::Duration max_wait = std::chrono::milliseconds(150);
  /// Tokens are prefetched for the expected demand of this time.
  state::Duration prefetch_time = std::chrono::milliseconds(200);
  /// Time constant of the estimated demand.
  state::Duration demand_time = std::chrono::milliseconds(500);
  /// Bounds of the time before a node that got fewer tokens than it needed asks
  /// for tokens of that tenant again.
  state::Duration min_retry_pause = std::chrono::milliseconds(10);
  state::Duration retry_pause = std::chrono::milliseconds(100);
  /// Bounds of retry times.
  state::Duration min_retry_after = std::chrono::milliseconds(1);
  state::Duration max_retry_after = std::chrono::seconds(1);
  /// Delay before a replaced coordinator is tried again, doubled up to the
  /// maximum while it doesn't reply.
  state::Duration min_probe_delay = std::chrono::seconds(1);
  state::Duration max_probe_delay = std::chrono::seconds(8);
  /// How long a number of nodes that another node has stated is used.
  state::Duration node_count_time = std::chrono::seconds(10);

  /// Tokens, taken from the slack, of a bucket without history, for a share
  /// of 1.
  double initial_tokens = 5;
  /// Added to the capacity of buckets as the tokens of this time, since tokens
  /// are requested in batches.
  state::Duration batching_time = std::chrono::milliseconds(50);

  /// Reports to other nodes per second, and those that may be sent at once.
  /// Requests that find no budget are batched.
  double reports_per_second = 40;
  double report_burst = 8;
  /// Requests whose wait ends within this time are reported once without
  /// budget: a round trip between zones, and the timers of both nodes.
  state::Duration urgent_time = std::chrono::milliseconds(15);

  std::size_t max_tenants_per_report = 256;
  /// Requests per tenant that wait for tokens. Further ones are refused.
  std::size_t max_waiting = 256;
  /// Tenants without tokens and without requests are forgotten after this time.
  state::Duration tenant_idle_time = std::chrono::seconds(10);
  /// Buckets of a coordinator; the least recently used one is evicted.
  std::size_t max_buckets = 8192;
  /// Lenders of a coordinator per shard.
  std::size_t max_lenders = 40'000;
  /// A lender without a lease is forgotten after this time.
  state::Duration lender_idle_time = std::chrono::seconds(10);
};

/// Tokens that a node requests for one tenant.
struct QuotaWant {
  TenantId tenant = 0;
  /// For requests that wait.
  std::uint32_t waiting = 0;
  /// For expected requests. Granted only while the bucket is at least half
  /// full.
  std::uint32_t prefetch = 0;

  auto operator<=>(const QuotaWant&) const = default;
};

/// Requests tokens from the coordinator of a shard and lends it the share of
/// the sender, 1 / `nodes`.
struct QuotaReport {
  state::NodeId node = 0;
  /// Random number of the sender's process.
  std::uint64_t process = 0;
  std::uint32_t shard = 0;
  /// Increases with each report of a process.
  std::uint64_t sequence = 0;
  /// Nodes that the sender counts.
  std::uint32_t nodes = 0;
  /// False withdraws the share.
  bool lends = false;
  /// stamp_us of the last grant of the receiver; 0 if there is none.
  std::uint64_t echo_us = 0;
  std::vector<QuotaWant> wants;

  auto operator<=>(const QuotaReport&) const = default;
};

struct GrantedTokens {
  TenantId tenant = 0;
  std::uint32_t tokens = 0;
  /// Time until a further token is likely to be available; zero unless fewer
  /// tokens were granted than requests wait.
  state::Duration retry_after{0};

  auto operator<=>(const GrantedTokens&) const = default;
};

/// The reply to a QuotaReport.
struct QuotaGrant {
  state::NodeId node = 0;
  /// Random number of the sender's process.
  std::uint64_t process = 0;
  std::uint32_t shard = 0;
  /// Sequence number of the report.
  std::uint64_t sequence = 0;
  /// Clock of the sender in microseconds.
  std::uint64_t stamp_us = 0;
  /// Largest number of nodes that the sender or one of its lenders counts.
  std::uint32_t nodes = 0;
  std::vector<GrantedTokens> granted;

  auto operator<=>(const QuotaGrant&) const = default;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_QUOTA_MESSAGES_H_
