/// \file
/// The node's side of the quotas of tenants: lends the node's share to the
/// coordinators of the quotas, requests tokens from them and gives the tokens
/// to requests.
#ifndef SESAMESPREAD_COORDINATION_QUOTA_BORROWER_H_
#define SESAMESPREAD_COORDINATION_QUOTA_BORROWER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/coordination/quota_messages.h"

namespace sesamespread::coordination {

enum class QuotaState : std::uint8_t {
  kAdmitted,
  kRefused,
  /// A QuotaOutcome follows.
  kWaiting,
};

struct QuotaDecision {
  QuotaState state = QuotaState::kAdmitted;
  /// For kRefused: time until a token is likely to be available.
  state::Duration retry_after{0};

  auto operator<=>(const QuotaDecision&) const = default;
};

/// The decision on a request that has waited.
struct QuotaOutcome {
  std::uint64_t request = 0;
  bool is_admitted = false;
  state::Duration retry_after{0};

  auto operator<=>(const QuotaOutcome&) const = default;
};

/// A report to send to `to`, which may be this node itself.
struct OutgoingQuotaReport {
  state::NodeId to = 0;
  QuotaReport report;
};

/// Decides on the requests that arrive at one node. A pure state machine: after
/// each call, the caller sends the reports that TakeReports returns, delivers
/// TakeOutcomes and calls OnTimer at NextTimer.
///
/// The coordinator of a shard is the node that comes first in a rendezvous
/// hashing of the nodes that this one can reach, itself included, so that a
/// node that reaches no other one is its own coordinator and spends its share.
///
/// Invariants: the share of a shard is leased to one coordinator at a time; a
/// token is spent once, before it expires; of the requests of a tenant that
/// wait, the oldest gets the next token; a request waits for max_wait at most.
class QuotaBorrower {
 public:
  /// \param seed random number, different for each process.
  QuotaBorrower(state::NodeId self,
                const QuotaOptions& options,
                state::Instant start,
                std::uint64_t seed);

  void SetTenants(std::shared_ptr<const QuotaTable> tenants,
                  state::Instant now);

  /// Sets the nodes whose shares exist, reachable or not. This node may be left
  /// out. While there is no other one, this node has no share.
  void SetNodes(const std::vector<state::NodeId>& nodes, state::Instant now);
  /// Nodes, this one included.
  std::uint32_t node_count() const {
    return static_cast<std::uint32_t>(nodes_.size());
  }

  /// The link to \p node has closed, or opened.
  void OnUnreachable(state::NodeId node, state::Instant now);
  void OnReachable(state::NodeId node, state::Instant now);

  /// Decides on a request of \p tenant. It waits no longer than until
  /// \p give_up_at. \param request identifies the request in its outcome.
  QuotaDecision Request(TenantId tenant,
                        std::uint64_t request,
                        state::Instant give_up_at,
                        state::Instant now);

  /// Returns the token of a request of \p tenant that certainly does not run.
  void Release(TenantId tenant, state::Instant now);

  void OnGrant(const QuotaGrant& grant, state::Instant now);
  void OnTimer(state::Instant now);

  /// When OnTimer is to be called; Instant::max() if no quota requires it.
  state::Instant NextTimer(state::Instant now) const;

  std::vector<OutgoingQuotaReport> TakeReports() {
    return std::exchange(reports_, {});
  }
  std::vector<QuotaOutcome> TakeOutcomes() {
    return std::exchange(outcomes_, {});
  }

  std::uint32_t shards() const {
    return static_cast<std::uint32_t>(shards_.size());
  }
  /// nullopt while the shard has no tenant with a quota.
  std::optional<state::NodeId> CoordinatorOf(std::uint32_t shard) const;
  std::size_t tracked_tenants() const { return tenants_.size(); }

 private:
  // Tokens of one grant.
  struct Tokens {
    state::Instant expires;
    std::uint32_t unused = 0;
    std::uint32_t spent = 0;
  };

  struct Waiting {
    std::uint64_t request = 0;
    state::Instant give_up_at;
    // Whether a report has contained it.
    bool is_reported = false;
  };

  struct Tenant {
    std::deque<Tokens> tokens;
    // Ordered by arrival.
    std::deque<Waiting> waiting;
    // No tokens are requested before.
    state::Instant paused_until{};
    // When the coordinator expects to have a further token.
    state::Instant retry_at{};
    // Estimated requests per second.
    double demand = 0;
    state::Instant demand_at{};
    // Tokens for expected requests are requested in the next report.
    bool needs_prefetch = false;
  };

  struct Shard {
    // Tenants with a quota.
    std::size_t quotas = 0;
    std::optional<state::NodeId> coordinator;
    // Process and stamp of the last grant of the coordinator; 0 if none.
    std::uint64_t coordinator_process = 0;
    std::uint64_t echo_us = 0;
    // Sequence number of the report that awaits a reply; 0 if none.
    std::uint64_t awaited = 0;
    bool awaited_lends = false;
    state::Instant sent_at;
    state::Instant reply_by;
    std::vector<QuotaWant> asked;
    state::Instant next_renewal;
    // Tenants with requests that wait or that need tokens for expected ones.
    std::set<TenantId> wanting;
    // The last lease.
    state::NodeId lease_to = 0;
    std::uint64_t lease_process = 0;
    std::uint64_t lease_sequence = 0;
    state::Instant lease_until{};
  };

  struct Suspect {
    state::Instant next_probe;
    state::Duration probe_delay;
    // The last probe.
    std::uint64_t probe_sequence = 0;
    state::Instant probed_at;
  };

  std::uint32_t ShardOf(TenantId tenant) const {
    return static_cast<std::uint32_t>(tenant % shards_.size());
  }
  std::uint64_t RankOf(std::uint32_t shard, state::NodeId node) const;
  // Selects the coordinators anew after a change of the nodes or suspects.
  void SelectCoordinators(state::Instant now);
  void ChangeCoordinator(std::uint32_t index,
                         std::optional<state::NodeId> coordinator,
                         state::Instant now);
  void AddSuspect(state::NodeId node, state::Instant now);
  void Probe(state::Instant now);
  bool IsProbeUseful(state::NodeId node, std::uint32_t* shard) const;
  // When the share of the shard may be leased to its coordinator.
  state::Instant LendableAt(const Shard& shard) const;
  void MaybeReport(std::uint32_t index, state::Instant now);
  // Removes the tenants from shard.wanting that need no tokens any longer.
  std::vector<QuotaWant> CollectWants(Shard& shard, state::Instant now);
  QuotaReport MakeReport(std::uint32_t index, state::Instant now);
  std::uint32_t StatedNodeCount(state::Instant now) const;
  void RefillBudget(state::Instant now);
  // Serves the oldest waiting requests, and refuses those whose time is up or
  // ends before a token is expected.
  void Serve(TenantId id, Tenant& tenant, state::Instant now);
  // Refuses the waiting requests whose time ends now or before \p needed_until.
  void RefuseWaiting(Tenant& tenant,
                     state::Instant needed_until,
                     state::Instant now);
  state::Duration RetryAfter(const Tenant& tenant, state::Instant now) const;
  static bool TakeToken(Tenant& tenant, state::Instant now);
  static std::uint32_t UnusedTokens(Tenant& tenant, state::Instant now);
  std::uint32_t ExpectedDemand(const Tenant& tenant) const;
  void CountDemand(Tenant& tenant, state::Instant now);
  // When the first request that has not been reported becomes urgent.
  state::Instant UrgentAt(const Shard& shard) const;
  // When the next report about wants may be sent.
  state::Instant WantsDueAt(const Shard& shard, state::Instant now) const;
  void ForgetIdleTenants(state::Instant now);

  const state::NodeId self_;
  const QuotaOptions options_;
  const state::Instant start_;
  std::mt19937_64 random_;
  const std::uint64_t process_;
  std::shared_ptr<const QuotaTable> quotas_ =
      std::make_shared<const QuotaTable>();
  // Includes this node.
  std::set<state::NodeId> nodes_;
  // The largest number of nodes that a coordinator has stated, and when.
  std::uint32_t stated_nodes_ = 0;
  state::Instant stated_nodes_at_{};
  std::unordered_map<state::NodeId, Suspect> suspects_;
  std::vector<Shard> shards_;
  std::unordered_map<TenantId, Tenant> tenants_;
  std::uint64_t next_sequence_ = 1;
  // Reports that may be sent now.
  double budget_;
  state::Instant budget_at_;
  state::Instant swept_at_;
  std::vector<OutgoingQuotaReport> reports_;
  std::vector<QuotaOutcome> outcomes_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_QUOTA_BORROWER_H_
