/// \file
/// Implements the connection of quotas to links and timers.
#include "sesamespread/transport/quota_gate.h"

#include <utility>

#include "sesamespread/state/ids.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::transport {

using coordination::QuotaState;
using state::Instant;

QuotaGate::QuotaGate(state::NodeId self,
                     DeadlineQueue& deadlines,
                     EventLog& log,
                     Send send,
                     std::uint64_t seed,
                     const coordination::QuotaOptions& options)
    : self_(self),
      deadlines_(deadlines),
      log_(log),
      send_(std::move(send)),
      pool_(self, options, Now(), state::HashOf(seed, 1)),
      borrower_(self, options, Now(), state::HashOf(seed, 2)),
      coordinators_(options.shards) {}

QuotaGate::~QuotaGate() {
  deadlines_.Cancel(timer_);
}

void QuotaGate::Acquire(std::string_view tenant,
                        Instant give_up_at,
                        Callback done) {
  if (!has_quotas_) {
    done({true, state::Duration(0)});
    return;
  }
  const std::uint64_t request = next_request_++;
  const coordination::QuotaDecision decision =
      borrower_.Request(state::HashOf(tenant), request, give_up_at, Now());
  if (decision.state == QuotaState::kWaiting) {
    ++counters_.waited;
    waiting_.emplace(request, Waiting{std::string(tenant), std::move(done)});
    Pump();
    return;
  }
  const QuotaVerdict verdict{decision.state == QuotaState::kAdmitted,
                             decision.retry_after};
  Count(tenant, verdict);
  // The callback may destroy what it belongs to, but not this object.
  done(verdict);
  Pump();
}

void QuotaGate::Release(std::string_view tenant) {
  if (!has_quotas_)
    return;
  borrower_.Release(state::HashOf(tenant), Now());
  Pump();
}

void QuotaGate::SetTenants(const std::vector<state::Tenant>& tenants) {
  auto table = std::make_shared<coordination::QuotaTable>();
  for (const state::Tenant& tenant : tenants) {
    if (tenant.quota.is_limited())
      table->emplace(state::HashOf(tenant.name), tenant.quota);
  }
  if (table->empty() && !has_quotas_)
    return;
  has_quotas_ = !table->empty();
  const Instant now = Now();
  pool_.SetTenants(table, now);
  borrower_.SetTenants(table, now);
  Pump();
}

void QuotaGate::SetNodes(const std::vector<state::NodeId>& nodes) {
  const Instant now = Now();
  borrower_.SetNodes(nodes, now);
  pool_.SetNodeCount(borrower_.node_count(), now);
  Pump();
}

void QuotaGate::OnLinkChange(state::NodeId node, bool is_open) {
  if (is_open)
    borrower_.OnReachable(node, Now());
  else
    borrower_.OnUnreachable(node, Now());
  Pump();
}

void QuotaGate::OnReport(const protocol::QuotaReport& report,
                         const Reply& reply) {
  const auto grant = pool_.OnReport(report, Now());
  if (!grant)
    return;
  ++counters_.grants_sent;
  reply(*grant);
}

void QuotaGate::OnGrant(const protocol::QuotaGrant& grant) {
  borrower_.OnGrant(grant, Now());
  Pump();
}

void QuotaGate::Pump() {
  if (is_pumping_)
    return;
  is_pumping_ = true;
  for (;;) {
    SendReports();
    const auto outcomes = borrower_.TakeOutcomes();
    if (outcomes.empty())
      break;
    for (const coordination::QuotaOutcome& outcome : outcomes)
      Deliver(outcome);
  }
  is_pumping_ = false;
  LogCoordinatorChanges();
  SetTimer();
}

void QuotaGate::SendReports() {
  for (auto reports = borrower_.TakeReports(); !reports.empty();
       reports = borrower_.TakeReports()) {
    for (const coordination::OutgoingQuotaReport& outgoing : reports) {
      if (outgoing.to != self_) {
        ++counters_.reports_sent;
        send_(outgoing.to, outgoing.report);
        continue;
      }
      const Instant now = Now();
      if (const auto grant = pool_.OnReport(outgoing.report, now))
        borrower_.OnGrant(*grant, now);
    }
  }
}

void QuotaGate::Deliver(const coordination::QuotaOutcome& outcome) {
  auto waiting = waiting_.extract(outcome.request);
  if (waiting.empty())
    return;
  const QuotaVerdict verdict{outcome.is_admitted, outcome.retry_after};
  Count(waiting.mapped().tenant, verdict);
  waiting.mapped().done(verdict);
}

void QuotaGate::Count(std::string_view tenant, const QuotaVerdict& verdict) {
  if (verdict.admitted) {
    ++counters_.admitted;
    return;
  }
  ++counters_.refused;
  if (log_.ShouldLog(ThreadRole::kData, LogLevel::kInfo, "quota_refused")) {
    log_.Write(ThreadRole::kData, LogLevel::kInfo, "quota_refused",
               {{"tenant", std::string(tenant)},
                {"retry_after_us", std::to_string(verdict.retry_after.count())},
                {"refused", std::to_string(counters_.refused)}});
  }
}

void QuotaGate::LogCoordinatorChanges() {
  for (std::uint32_t shard = 0; shard < coordinators_.size(); ++shard) {
    const state::NodeId now = borrower_.CoordinatorOf(shard).value_or(0);
    const state::NodeId before = std::exchange(coordinators_[shard], now);
    if (now == before)
      continue;
    ++counters_.coordinator_changes;
    log_.Write(ThreadRole::kData, LogLevel::kInfo, "quota_coordinator_changed",
               {{"shard", std::to_string(shard)},
                {"coordinator", state::ToHex(now)},
                {"before", state::ToHex(before)},
                {"is_self", now == self_ ? "true" : "false"},
                {"nodes", std::to_string(borrower_.node_count())}});
  }
}

void QuotaGate::SetTimer() {
  const Instant next = borrower_.NextTimer(Now());
  // A timer that runs too early costs less than setting it anew with each
  // message.
  if (next >= timer_at_)
    return;
  deadlines_.Cancel(timer_);
  timer_at_ = next;
  timer_ = deadlines_.Schedule(next, [this] {
    timer_ = 0;
    timer_at_ = Instant::max();
    borrower_.OnTimer(Now());
    Pump();
  });
}

}  // namespace sesamespread::transport
