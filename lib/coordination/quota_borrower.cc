/// \file
/// Implements the lending of shares and the use of granted tokens at one node.
#include "sesamespread/coordination/quota_borrower.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;

// Distinguishes the ranking of nodes per shard from other rendezvous hashings.
constexpr std::uint64_t kRankingSeed = 0x71756f7461;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration ToDuration(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

QuotaBorrower::QuotaBorrower(state::NodeId self,
                             const QuotaOptions& options,
                             Instant start,
                             std::uint64_t seed)
    : self_(self),
      options_(options),
      start_(start),
      random_(seed),
      process_(random_()),
      nodes_{self},
      shards_(options.shards),
      budget_(options.report_burst),
      budget_at_(start),
      swept_at_(start) {}

// --- Tenants and nodes

void QuotaBorrower::SetTenants(std::shared_ptr<const QuotaTable> tenants,
                               Instant now) {
  quotas_ = std::move(tenants);
  for (Shard& shard : shards_)
    shard.quotas = 0;
  for (const auto& [tenant, quota] : *quotas_)
    ++shards_[ShardOf(tenant)].quotas;
  for (auto it = tenants_.begin(); it != tenants_.end();) {
    if (quotas_->count(it->first) > 0) {
      ++it;
      continue;
    }
    // Without a quota, the requests may run.
    for (const Waiting& waiting : it->second.waiting)
      outcomes_.push_back({waiting.request, true, Duration(0)});
    shards_[ShardOf(it->first)].wanting.erase(it->first);
    it = tenants_.erase(it);
  }
  SelectCoordinators(now);
}

void QuotaBorrower::SetNodes(const std::vector<state::NodeId>& nodes,
                             Instant now) {
  std::set<state::NodeId> known(nodes.begin(), nodes.end());
  known.insert(self_);
  if (known == nodes_)
    return;
  nodes_ = std::move(known);
  std::erase_if(suspects_, [this](const auto& suspect) {
    return nodes_.count(suspect.first) == 0;
  });
  SelectCoordinators(now);
}

void QuotaBorrower::OnUnreachable(state::NodeId node, Instant now) {
  if (quotas_->empty() || nodes_.count(node) == 0)
    return;
  AddSuspect(node, now);
  SelectCoordinators(now);
}

void QuotaBorrower::OnReachable(state::NodeId node, Instant now) {
  if (suspects_.erase(node) > 0)
    SelectCoordinators(now);
}

void QuotaBorrower::AddSuspect(state::NodeId node, Instant now) {
  Suspect suspect;
  suspect.next_probe = now + options_.min_probe_delay;
  suspect.probe_delay = options_.min_probe_delay;
  suspects_.try_emplace(node, suspect);
}

std::optional<state::NodeId> QuotaBorrower::CoordinatorOf(
    std::uint32_t shard) const {
  return shards_[shard].coordinator;
}

std::uint64_t QuotaBorrower::RankOf(std::uint32_t shard,
                                    state::NodeId node) const {
  return state::HashOf(kRankingSeed + shard, node);
}

void QuotaBorrower::SelectCoordinators(Instant now) {
  for (std::uint32_t i = 0; i < shards_.size(); ++i) {
    std::optional<state::NodeId> best;
    std::uint64_t best_rank = 0;
    if (shards_[i].quotas > 0) {
      for (const state::NodeId node : nodes_) {
        const std::uint64_t rank = RankOf(i, node);
        if (suspects_.count(node) > 0 || (best && rank <= best_rank))
          continue;
        best = node;
        best_rank = rank;
      }
    }
    if (best != shards_[i].coordinator)
      ChangeCoordinator(i, best, now);
  }
}

void QuotaBorrower::ChangeCoordinator(std::uint32_t index,
                                      std::optional<state::NodeId> coordinator,
                                      Instant now) {
  Shard& shard = shards_[index];
  const std::optional<state::NodeId> old =
      std::exchange(shard.coordinator, coordinator);
  shard.coordinator_process = 0;
  shard.echo_us = 0;
  shard.awaited = 0;
  shard.next_renewal = now;
  // The pause was due to the pool of the previous coordinator.
  for (const TenantId id : shard.wanting)
    tenants_[id].paused_until = now;
  // A reachable coordinator confirms the withdrawal of the share, so that it
  // can be leased to the next one before the lease ends.
  if (old && shard.lease_to == *old && shard.lease_until > now &&
      suspects_.count(*old) == 0 && nodes_.count(*old) > 0) {
    QuotaReport withdrawal;
    withdrawal.node = self_;
    withdrawal.process = process_;
    withdrawal.shard = index;
    withdrawal.sequence = next_sequence_++;
    withdrawal.nodes = StatedNodeCount(now);
    reports_.push_back({*old, std::move(withdrawal)});
  }
  MaybeReport(index, now);
}

// --- Requests

QuotaDecision QuotaBorrower::Request(TenantId id,
                                     std::uint64_t request,
                                     Instant give_up_at,
                                     Instant now) {
  if (quotas_->count(id) == 0)
    return {};
  const std::uint32_t index = ShardOf(id);
  Shard& shard = shards_[index];
  Tenant& tenant = tenants_[id];
  CountDemand(tenant, now);
  if (tenant.waiting.empty() && TakeToken(tenant, now)) {
    if (UnusedTokens(tenant, now) * 2 < ExpectedDemand(tenant) &&
        now >= tenant.paused_until) {
      tenant.needs_prefetch = true;
      shard.wanting.insert(id);
      MaybeReport(index, now);
    }
    return {};
  }
  const Instant wait_end = std::min(give_up_at, now + options_.max_wait);
  const bool is_hopeless =
      now < tenant.paused_until && tenant.retry_at > wait_end;
  if (is_hopeless || wait_end <= now ||
      tenant.waiting.size() >= options_.max_waiting)
    return {QuotaState::kRefused, RetryAfter(tenant, now)};
  tenant.waiting.push_back({request, wait_end, false});
  shard.wanting.insert(id);
  MaybeReport(index, now);
  return {QuotaState::kWaiting, Duration(0)};
}

void QuotaBorrower::Release(TenantId id, Instant now) {
  const auto found = tenants_.find(id);
  if (found == tenants_.end())
    return;
  Tenant& tenant = found->second;
  UnusedTokens(tenant, now);
  // Which grant the token came from is unknown; the one that expires first is
  // safe.
  for (Tokens& tokens : tenant.tokens) {
    if (tokens.spent == 0)
      continue;
    --tokens.spent;
    ++tokens.unused;
    Serve(id, tenant, now);
    return;
  }
}

std::uint32_t QuotaBorrower::UnusedTokens(Tenant& tenant, Instant now) {
  while (!tenant.tokens.empty() && tenant.tokens.front().expires <= now)
    tenant.tokens.pop_front();
  std::uint32_t unused = 0;
  for (const Tokens& tokens : tenant.tokens)
    unused += tokens.unused;
  return unused;
}

bool QuotaBorrower::TakeToken(Tenant& tenant, Instant now) {
  if (UnusedTokens(tenant, now) == 0)
    return false;
  const auto first =
      std::find_if(tenant.tokens.begin(), tenant.tokens.end(),
                   [](const Tokens& tokens) { return tokens.unused > 0; });
  --first->unused;
  ++first->spent;
  return true;
}

void QuotaBorrower::Serve(TenantId id, Tenant& tenant, Instant now) {
  RefuseWaiting(tenant, now, now);
  while (!tenant.waiting.empty() && TakeToken(tenant, now)) {
    outcomes_.push_back({tenant.waiting.front().request, true, Duration(0)});
    tenant.waiting.pop_front();
  }
  RefuseWaiting(tenant, tenant.retry_at, now);
  if (tenant.waiting.empty() && !tenant.needs_prefetch)
    shards_[ShardOf(id)].wanting.erase(id);
}

void QuotaBorrower::RefuseWaiting(Tenant& tenant,
                                  Instant needed_until,
                                  Instant now) {
  std::erase_if(tenant.waiting, [&](const Waiting& waiting) {
    if (waiting.give_up_at > now && waiting.give_up_at >= needed_until)
      return false;
    outcomes_.push_back({waiting.request, false, RetryAfter(tenant, now)});
    return true;
  });
}

Duration QuotaBorrower::RetryAfter(const Tenant& tenant, Instant now) const {
  return std::max(tenant.retry_at - now, options_.min_retry_after);
}

void QuotaBorrower::CountDemand(Tenant& tenant, Instant now) {
  const double time_constant = Seconds(options_.demand_time);
  const double elapsed = Seconds(now - tenant.demand_at);
  tenant.demand =
      tenant.demand * std::exp(-elapsed / time_constant) + 1 / time_constant;
  tenant.demand_at = now;
}

std::uint32_t QuotaBorrower::ExpectedDemand(const Tenant& tenant) const {
  return static_cast<std::uint32_t>(tenant.demand *
                                    Seconds(options_.prefetch_time));
}

// --- Reports

Instant QuotaBorrower::LendableAt(const Shard& shard) const {
  // An earlier process of this node may have made a lease just before.
  const Instant after_start = start_ + options_.lender_lease;
  return shard.lease_to == *shard.coordinator
             ? after_start
             : std::max(after_start, shard.lease_until);
}

std::uint32_t QuotaBorrower::StatedNodeCount(Instant now) const {
  return now - stated_nodes_at_ < options_.node_count_time
             ? std::max(node_count(), stated_nodes_)
             : node_count();
}

QuotaReport QuotaBorrower::MakeReport(std::uint32_t index, Instant now) {
  Shard& shard = shards_[index];
  QuotaReport report;
  report.node = self_;
  report.process = process_;
  report.shard = index;
  report.sequence = next_sequence_++;
  report.nodes = StatedNodeCount(now);
  report.lends =
      nodes_.size() > 1 && shard.echo_us != 0 && now >= LendableAt(shard);
  report.echo_us = shard.echo_us;
  if (report.lends) {
    shard.lease_to = *shard.coordinator;
    shard.lease_process = shard.coordinator_process;
    shard.lease_sequence = report.sequence;
    shard.lease_until = now + options_.lender_lease;
  }
  return report;
}

std::vector<QuotaWant> QuotaBorrower::CollectWants(Shard& shard, Instant now) {
  std::vector<QuotaWant> wants;
  for (auto it = shard.wanting.begin();
       it != shard.wanting.end() &&
       wants.size() < options_.max_tenants_per_report;) {
    Tenant& tenant = tenants_[*it];
    if (now < tenant.paused_until) {
      ++it;
      continue;
    }
    QuotaWant want;
    want.tenant = *it;
    want.waiting = static_cast<std::uint32_t>(tenant.waiting.size());
    const std::uint32_t unused = UnusedTokens(tenant, now);
    const std::uint32_t expected = ExpectedDemand(tenant);
    want.prefetch = expected > unused ? expected - unused : 0;
    if (want.waiting > 0 || want.prefetch > 0) {
      wants.push_back(want);
      ++it;
      continue;
    }
    // A grant has brought enough tokens since.
    tenant.needs_prefetch = false;
    it = shard.wanting.erase(it);
  }
  return wants;
}

void QuotaBorrower::RefillBudget(Instant now) {
  budget_ = std::min(
      budget_ + Seconds(now - budget_at_) * options_.reports_per_second,
      options_.report_burst);
  budget_at_ = now;
}

void QuotaBorrower::MaybeReport(std::uint32_t index, Instant now) {
  Shard& shard = shards_[index];
  if (!shard.coordinator || shard.awaited != 0)
    return;
  const bool is_renewal = now >= shard.next_renewal;
  if (!is_renewal && shard.wanting.empty())
    return;
  const bool is_local = *shard.coordinator == self_;
  RefillBudget(now);
  if (!is_local && !is_renewal && budget_ < 1 && now < UrgentAt(shard))
    return;
  std::vector<QuotaWant> wants = CollectWants(shard, now);
  if (!is_renewal && wants.empty())
    return;
  QuotaReport report = MakeReport(index, now);
  for (const QuotaWant& want : wants) {
    Tenant& tenant = tenants_[want.tenant];
    tenant.needs_prefetch = false;
    for (Waiting& waiting : tenant.waiting)
      waiting.is_reported = true;
    if (tenant.waiting.empty())
      shard.wanting.erase(want.tenant);
  }
  report.wants = wants;
  shard.asked = std::move(wants);
  shard.awaited = report.sequence;
  shard.awaited_lends = report.lends;
  shard.sent_at = now;
  shard.reply_by = now + options_.reply_timeout;
  shard.next_renewal = now + options_.renewal_interval;
  // Renewals are sent whatever the budget, and leave less for other reports.
  if (!is_local)
    budget_ = std::max(budget_ - 1, -options_.report_burst);
  reports_.push_back({*shard.coordinator, std::move(report)});
}

void QuotaBorrower::OnGrant(const QuotaGrant& grant, Instant now) {
  if (grant.shard >= shards_.size())
    return;
  if (grant.nodes >= stated_nodes_ ||
      now - stated_nodes_at_ >= options_.node_count_time) {
    stated_nodes_ = grant.nodes;
    stated_nodes_at_ = now;
  }
  Shard& shard = shards_[grant.shard];
  // Any report after the last lease withdrew the share.
  if (grant.node == shard.lease_to && grant.process == shard.lease_process &&
      grant.sequence > shard.lease_sequence)
    shard.lease_until = std::min(shard.lease_until, now);
  // A late reply doesn't bring a slow coordinator back.
  const auto suspect = suspects_.find(grant.node);
  if (suspect != suspects_.end() &&
      suspect->second.probe_sequence == grant.sequence &&
      now - suspect->second.probed_at <= options_.reply_timeout)
    OnReachable(grant.node, now);
  if (grant.node != shard.coordinator || grant.sequence != shard.awaited ||
      shard.awaited == 0) {
    MaybeReport(grant.shard, now);
    return;
  }
  shard.awaited = 0;
  shard.coordinator_process = grant.process;
  shard.echo_us = grant.stamp_us;
  if (!shard.awaited_lends && nodes_.size() > 1)
    shard.next_renewal =
        std::min(shard.next_renewal, std::max(now, LendableAt(shard)));
  std::unordered_map<TenantId, GrantedTokens> granted;
  for (const GrantedTokens& tokens : grant.granted)
    granted.emplace(tokens.tenant, tokens);
  for (const QuotaWant& want : std::exchange(shard.asked, {})) {
    const auto found = tenants_.find(want.tenant);
    if (found == tenants_.end())
      continue;
    Tenant& tenant = found->second;
    const GrantedTokens& tokens = granted[want.tenant];
    // The coordinator never grants more than was requested.
    const std::uint32_t count =
        std::min(tokens.tokens, want.waiting + want.prefetch);
    if (count > 0)
      tenant.tokens.push_back(
          {shard.sent_at + options_.token_lifetime, count, 0});
    if (count < want.waiting) {
      const Duration retry_after =
          std::clamp(tokens.retry_after, options_.min_retry_after,
                     options_.max_retry_after);
      tenant.retry_at = now + retry_after;
      tenant.paused_until =
          now + std::clamp(retry_after, options_.min_retry_pause,
                           options_.retry_pause);
    } else {
      tenant.retry_at = tenant.paused_until = now;
    }
    Serve(want.tenant, tenant, now);
  }
  MaybeReport(grant.shard, now);
}

// --- Timers

bool QuotaBorrower::IsProbeUseful(state::NodeId node,
                                  std::uint32_t* shard) const {
  for (std::uint32_t i = 0; i < shards_.size(); ++i) {
    if (shards_[i].coordinator &&
        RankOf(i, node) > RankOf(i, *shards_[i].coordinator)) {
      *shard = i;
      return true;
    }
  }
  return false;
}

void QuotaBorrower::Probe(Instant now) {
  for (auto& [node, suspect] : suspects_) {
    std::uint32_t index = 0;
    if (now < suspect.next_probe)
      continue;
    suspect.next_probe = now + suspect.probe_delay;
    suspect.probe_delay =
        std::min(suspect.probe_delay * 2, options_.max_probe_delay);
    if (!IsProbeUseful(node, &index))
      continue;
    QuotaReport probe;
    probe.node = self_;
    probe.process = process_;
    probe.shard = index;
    probe.sequence = next_sequence_++;
    probe.nodes = StatedNodeCount(now);
    suspect.probe_sequence = probe.sequence;
    suspect.probed_at = now;
    reports_.push_back({node, std::move(probe)});
  }
}

void QuotaBorrower::OnTimer(Instant now) {
  if (quotas_->empty())
    return;
  bool has_suspect = false;
  for (Shard& shard : shards_) {
    if (!shard.coordinator || shard.awaited == 0 || now < shard.reply_by)
      continue;
    if (now - shard.reply_by > options_.stall_tolerance) {
      shard.reply_by = now + options_.reply_timeout;
      continue;
    }
    AddSuspect(*shard.coordinator, now);
    has_suspect = true;
  }
  if (has_suspect)
    SelectCoordinators(now);
  Probe(now);
  for (std::uint32_t i = 0; i < shards_.size(); ++i) {
    const std::set<TenantId> wanting = shards_[i].wanting;
    for (const TenantId id : wanting) {
      Tenant& tenant = tenants_[id];
      RefuseWaiting(tenant, now, now);
      if (tenant.waiting.empty() && !tenant.needs_prefetch)
        shards_[i].wanting.erase(id);
    }
  }
  // The budget goes first to the shard that has waited for longest.
  std::vector<std::uint32_t> order(shards_.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [this](std::uint32_t a, std::uint32_t b) {
              return shards_[a].sent_at < shards_[b].sent_at;
            });
  for (const std::uint32_t i : order)
    MaybeReport(i, now);
  ForgetIdleTenants(now);
}

void QuotaBorrower::ForgetIdleTenants(Instant now) {
  if (now - swept_at_ < options_.tenant_idle_time)
    return;
  swept_at_ = now;
  // Their tokens have expired long before.
  std::erase_if(tenants_, [this, now](const auto& entry) {
    const Tenant& tenant = entry.second;
    return tenant.waiting.empty() && !tenant.needs_prefetch &&
           now - tenant.demand_at >= options_.tenant_idle_time;
  });
}

Instant QuotaBorrower::UrgentAt(const Shard& shard) const {
  Instant urgent = Instant::max();
  for (const TenantId id : shard.wanting) {
    const Tenant& tenant = tenants_.at(id);
    for (const Waiting& waiting : tenant.waiting) {
      if (!waiting.is_reported)
        urgent =
            std::min(urgent, std::max(waiting.give_up_at - options_.urgent_time,
                                      tenant.paused_until));
    }
  }
  return urgent;
}

Instant QuotaBorrower::WantsDueAt(const Shard& shard, Instant now) const {
  Instant due = Instant::max();
  for (const TenantId id : shard.wanting)
    due = std::min(due, std::max(tenants_.at(id).paused_until, now));
  if (due == Instant::max() || *shard.coordinator == self_)
    return due;
  const double missing =
      1 - budget_ - Seconds(now - budget_at_) * options_.reports_per_second;
  if (missing <= 0)
    return due;
  const Instant affordable =
      now + ToDuration(missing / options_.reports_per_second) + Duration(1);
  return std::max(due, std::min(affordable, UrgentAt(shard)));
}

Instant QuotaBorrower::NextTimer(Instant now) const {
  Instant next = Instant::max();
  for (const Shard& shard : shards_) {
    if (!shard.coordinator)
      continue;
    next = std::min(next,
                    shard.awaited != 0
                        ? shard.reply_by
                        : std::min(shard.next_renewal, WantsDueAt(shard, now)));
    for (const TenantId id : shard.wanting) {
      for (const Waiting& waiting : tenants_.at(id).waiting)
        next = std::min(next, waiting.give_up_at);
    }
  }
  if (next == Instant::max())
    return next;
  for (const auto& [node, suspect] : suspects_)
    next = std::min(next, suspect.next_probe);
  return next;
}

}  // namespace sesamespread::coordination
