/// \file
/// Connects the quotas of tenants to the links and timers of a node.
#ifndef SESAMESPREAD_TRANSPORT_QUOTA_GATE_H_
#define SESAMESPREAD_TRANSPORT_QUOTA_GATE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/quota_borrower.h"
#include "sesamespread/coordination/quota_pool.h"
#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/tenant.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/event_log.h"

namespace sesamespread::transport {

struct QuotaVerdict {
  bool admitted = false;
  /// If refused: time until the quota is likely to admit a request.
  state::Duration retry_after{0};

  auto operator<=>(const QuotaVerdict&) const = default;
};

/// Totals since the start of the process.
struct QuotaCounters {
  /// Requests of tenants with a quota.
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Those among them that waited for a coordinator.
  std::uint64_t waited = 0;
  /// Messages to other nodes.
  std::uint64_t reports_sent = 0;
  std::uint64_t grants_sent = 0;
  std::uint64_t coordinator_changes = 0;

  auto operator<=>(const QuotaCounters&) const = default;
};

/// The quotas at one node: asks the coordinators for tokens, and is one itself
/// if other nodes consider it one. All methods run on the thread of the
/// DeadlineQueue. Without a tenant with a quota, it sends nothing and sets no
/// timer.
class QuotaGate {
 public:
  using Send = std::function<void(state::NodeId, const protocol::PeerMessage&)>;
  using Reply = std::function<void(const protocol::PeerMessage&)>;
  using Callback = std::function<void(const QuotaVerdict&)>;

  /// \p deadlines and \p log must outlive this object.
  QuotaGate(state::NodeId self,
            DeadlineQueue& deadlines,
            EventLog& log,
            Send send,
            std::uint64_t seed,
            const coordination::QuotaOptions& options = {});
  ~QuotaGate();

  QuotaGate(const QuotaGate&) = delete;
  QuotaGate& operator=(const QuotaGate&) = delete;

  /// Decides whether a request of \p tenant may run now. \p done runs exactly
  /// once unless this object is destroyed before: inside this call if a token
  /// is at hand, the tenant has no quota or the request is refused at once, and
  /// otherwise within QuotaOptions::max_wait and not after \p give_up_at.
  void Acquire(std::string_view tenant,
               state::Instant give_up_at,
               Callback done);

  /// Returns the token of an admitted request of \p tenant that certainly did
  /// not and will not run. At most once for each admitted request.
  void Release(std::string_view tenant);

  void SetTenants(const std::vector<state::Tenant>& tenants);

  /// Sets all registered nodes, live or not; see
  /// coordination::QuotaBorrower::SetNodes.
  void SetNodes(const std::vector<state::NodeId>& nodes);

  /// The link to \p node has opened or closed.
  void OnLinkChange(state::NodeId node, bool is_open);

  /// A node that considers this one a coordinator reports; \p reply sends on
  /// the link on which the report came.
  void OnReport(const protocol::QuotaReport& report, const Reply& reply);
  void OnGrant(const protocol::QuotaGrant& grant);

  bool has_quotas() const { return has_quotas_; }
  const QuotaCounters& counters() const { return counters_; }

 private:
  struct Waiting {
    std::string tenant;
    Callback done;
  };

  // Sends the reports, runs the callbacks and sets the timer that the last
  // change requires.
  void Pump();
  void SendReports();
  void Deliver(const coordination::QuotaOutcome& outcome);
  void Count(std::string_view tenant, const QuotaVerdict& verdict);
  void LogCoordinatorChanges();
  void SetTimer();

  const state::NodeId self_;
  DeadlineQueue& deadlines_;
  EventLog& log_;
  const Send send_;
  coordination::QuotaPool pool_;
  coordination::QuotaBorrower borrower_;
  bool has_quotas_ = false;
  std::uint64_t next_request_ = 1;
  std::unordered_map<std::uint64_t, Waiting> waiting_;
  // The coordinators that were last logged, by shard; 0 if none.
  std::vector<state::NodeId> coordinators_;
  QuotaCounters counters_;
  // True while Pump runs: callbacks may call this object again.
  bool is_pumping_ = false;
  DeadlineQueue::Id timer_ = 0;
  state::Instant timer_at_ = state::Instant::max();
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_QUOTA_GATE_H_
