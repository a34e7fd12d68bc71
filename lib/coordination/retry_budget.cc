/// \file
/// Ledger of retry allotments, table of callers' repeats, and the retry
/// decision.
#include "sesamespread/coordination/retry_budget.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace sesamespread::coordination {
namespace {

using state::ResultCode;

/// True if another attempt may have a different result.
bool IsRetryable(ResultCode code) {
  switch (code) {
    case ResultCode::kShedAtServer:
    case ResultCode::kQueueFull:
    case ResultCode::kRateLimited:
    case ResultCode::kNoBackendServer:
    case ResultCode::kLeaving:
    case ResultCode::kBackendRefused:
    case ResultCode::kConnectFailed:
    case ResultCode::kNodeBusy:
    case ResultCode::kNoConfiguration:
    case ResultCode::kTimedOut:
    case ResultCode::kLinkLost:
    case ResultCode::kTruncatedAnswer:
    case ResultCode::kDigestMismatch:
    case ResultCode::kBadBackendAnswer:
    case ResultCode::kBadFrame:
      return true;
    default:
      return false;
  }
}

state::Duration BackoffOf(const FailedAttempt& failed,
                          const RetryPolicy& policy,
                          std::mt19937_64& rng) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings =
      std::min(failed.attempts > 0 ? failed.attempts - 1 : 0, kMaxDoublings);
  const state::Duration ceiling = std::min(
      policy.backoff_base * (std::int64_t{1} << doublings), policy.backoff_max);
  std::uniform_int_distribution<std::int64_t> jitter(ceiling.count() / 2,
                                                     ceiling.count());
  return state::Duration(jitter(rng));
}

}  // namespace

AllotmentLedger::AllotmentLedger() : AllotmentLedger(Options()) {}

AllotmentLedger::AllotmentLedger(Options options) : options_(options) {}

bool AllotmentLedger::Open(Ticket ticket,
                           const state::RequestContext& context,
                           state::Instant now) {
  return OpenUntil(ticket, context, context.deadline + options_.grace, now);
}

bool AllotmentLedger::OpenUntil(Ticket ticket,
                                const state::RequestContext& context,
                                state::Instant expires,
                                state::Instant now) {
  Tick(now);
  if (ticket == 0 || entries_.size() >= options_.max_entries)
    return false;
  Entry entry{context, context.allotment, expires, {}};
  if (!entries_.try_emplace(ticket, std::move(entry)).second)
    return false;
  expiries_.emplace(expires, ticket);
  return true;
}

void AllotmentLedger::Extend(Ticket ticket, state::Instant expires) {
  const auto entry = entries_.find(ticket);
  if (entry != entries_.end())
    entry->second.expires = std::max(entry->second.expires, expires);
}

const state::RequestContext* AllotmentLedger::FindContext(Ticket ticket) const {
  const auto entry = entries_.find(ticket);
  return entry == entries_.end() ? nullptr : &entry->second.context;
}

Attempt AllotmentLedger::Start(Ticket ticket, Entry& entry) {
  const std::uint32_t share = (entry.remaining + 1) / 2;
  entry.remaining -= share;
  const AttemptId id = next_attempt_++;
  entry.attempts.push_back(id);
  attempts_.emplace(id, Outstanding{ticket, share});
  return {id, share};
}

Attempt AllotmentLedger::Reserve(Ticket ticket, state::Instant now) {
  Tick(now);
  const auto entry = entries_.find(ticket);
  if (entry == entries_.end() ||
      entry->second.attempts.size() >= options_.max_attempts_per_entry) {
    return {};
  }
  return Start(ticket, entry->second);
}

std::optional<Attempt> AllotmentLedger::Retry(AttemptId previous,
                                              state::Instant now) {
  Tick(now);
  const auto outstanding = attempts_.find(previous);
  if (outstanding == attempts_.end())
    return std::nullopt;
  const Ticket ticket = outstanding->second.ticket;
  if (!Spend(ticket))
    return std::nullopt;
  Finish(previous);
  return Start(ticket, entries_.at(ticket));
}

void AllotmentLedger::Settle(AttemptId attempt, std::uint32_t unused) {
  const auto outstanding = attempts_.find(attempt);
  if (outstanding == attempts_.end())
    return;
  entries_.at(outstanding->second.ticket).remaining +=
      std::min(unused, outstanding->second.held);
  outstanding->second.held = 0;
}

void AllotmentLedger::Forfeit(AttemptId attempt) {
  const auto outstanding = attempts_.find(attempt);
  if (outstanding != attempts_.end())
    outstanding->second.held = 0;
}

void AllotmentLedger::Finish(AttemptId attempt) {
  const auto outstanding = attempts_.find(attempt);
  if (outstanding == attempts_.end())
    return;
  std::erase(entries_.at(outstanding->second.ticket).attempts, attempt);
  attempts_.erase(outstanding);
}

void AllotmentLedger::Refund(Ticket ticket) {
  const auto entry = entries_.find(ticket);
  if (entry != entries_.end() &&
      entry->second.remaining < entry->second.context.allotment)
    ++entry->second.remaining;
}

bool AllotmentLedger::Spend(Ticket ticket) {
  const auto entry = entries_.find(ticket);
  if (entry == entries_.end() || entry->second.remaining == 0)
    return false;
  --entry->second.remaining;
  return true;
}

std::uint32_t AllotmentLedger::Remaining(Ticket ticket) const {
  const auto entry = entries_.find(ticket);
  return entry == entries_.end() ? 0 : entry->second.remaining;
}

std::uint32_t AllotmentLedger::Close(Ticket ticket) {
  const auto entry = entries_.find(ticket);
  if (entry == entries_.end())
    return 0;
  const std::uint32_t unused = entry->second.remaining;
  for (const AttemptId attempt : entry->second.attempts)
    attempts_.erase(attempt);
  entries_.erase(entry);
  return unused;
}

void AllotmentLedger::Tick(state::Instant now) {
  while (!expiries_.empty() && expiries_.top().first <= now) {
    const Ticket ticket = expiries_.top().second;
    expiries_.pop();
    const auto entry = entries_.find(ticket);
    if (entry == entries_.end())
      continue;
    if (entry->second.expires <= now) {
      Close(ticket);
      continue;
    }
    expiries_.emplace(entry->second.expires, ticket);
  }
}

std::optional<std::uint64_t> RepeatKeyOf(std::uint64_t caller_identity,
                                         std::string_view idempotency_key,
                                         std::string_view trace_id,
                                         std::string_view service,
                                         std::string_view method,
                                         std::string_view path) {
  if (!idempotency_key.empty()) {
    return state::HashOf(
        caller_identity,
        state::HashOf(fmt::format("key\n{}\n{}", service, idempotency_key)));
  }
  if (trace_id.empty())
    return std::nullopt;
  return state::HashOf(caller_identity, state::HashOf(fmt::format(
                                            "trace\n{}\n{}\n{}\n{}", trace_id,
                                            service, method, path)));
}

CallerRepeatTable::CallerRepeatTable() : CallerRepeatTable(Options()) {}

CallerRepeatTable::CallerRepeatTable(Options options)
    : options_(options),
      ledger_(AllotmentLedger::Options{.max_entries = options.max_entries}) {}

CallerRepeatTable::Admission CallerRepeatTable::Admit(
    std::optional<std::uint64_t> repeat_key,
    const state::RequestContext& context,
    state::Instant now) {
  ledger_.Tick(now);
  if (!repeat_key) {
    const Ticket ticket = next_unkeyed_;
    if (!ledger_.Open(ticket, context, now))
      return {};
    next_unkeyed_ += 2;
    return {Verdict::kFirst, ticket};
  }
  // Ticket 0 is reserved.
  const Ticket ticket = std::max<Ticket>(*repeat_key & ~Ticket{1}, 2);
  const state::Instant expires =
      std::max(now, context.deadline) + options_.window;
  if (ledger_.FindContext(ticket) == nullptr) {
    if (!ledger_.OpenUntil(ticket, context, expires, now))
      return {};
    return {Verdict::kFirst, ticket};
  }
  ledger_.Extend(ticket, expires);
  if (!ledger_.Spend(ticket))
    return {Verdict::kSpent, 0};
  return {Verdict::kRepeat, ticket};
}

void CallerRepeatTable::Finish(Ticket ticket) {
  if (ticket % 2 == 1)
    ledger_.Close(ticket);
}

void CallerRepeatTable::Tick(state::Instant now) {
  ledger_.Tick(now);
}

NodeRetryBudget::NodeRetryBudget() : NodeRetryBudget(Options()) {}

NodeRetryBudget::NodeRetryBudget(Options options) : options_(options) {}

NodeRetryBudget::Bucket& NodeRetryBudget::BucketAt(state::Instant now) {
  const std::int64_t second = now.time_since_epoch() / kBucketTime;
  Bucket& bucket = buckets_[static_cast<std::size_t>(second) % kBuckets];
  if (bucket.second != second)
    bucket = {second, 0, 0};
  return bucket;
}

void NodeRetryBudget::OnFirstAttempt(state::Instant now) {
  ++BucketAt(now).first_attempts;
}

bool NodeRetryBudget::TryRetry(state::Instant now) {
  Bucket& current = BucketAt(now);
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.second + static_cast<std::int64_t>(kBuckets) <= current.second)
      continue;
    first_attempts += bucket.first_attempts;
    retries += bucket.retries;
  }
  const double allowed =
      options_.ratio * static_cast<double>(first_attempts) +
      options_.minimum_per_second * static_cast<double>(kBuckets);
  if (static_cast<double>(retries + 1) > allowed)
    return false;
  ++current.retries;
  return true;
}

std::string_view ToString(RetryVerdict verdict) {
  switch (verdict) {
    case RetryVerdict::kRetry:
      return "retry";
    case RetryVerdict::kFinal:
      return "final";
    case RetryVerdict::kMayHaveRun:
      return "may_have_run";
    case RetryVerdict::kAllotmentSpent:
      return "allotment_spent";
    case RetryVerdict::kNoTime:
      return "no_time";
    case RetryVerdict::kNodeBudgetSpent:
      return "node_budget_spent";
  }
  return "final";
}

RetryDecision DecideRetry(const FailedAttempt& failed,
                          const RetryPolicy& policy,
                          NodeRetryBudget& budget,
                          state::Instant now,
                          std::mt19937_64& rng) {
  if (!IsRetryable(failed.result))
    return {RetryVerdict::kFinal};
  const bool not_run = failed.run_state == state::RunState::kNotRun;
  if (!not_run && !failed.repeatable)
    return {RetryVerdict::kMayHaveRun};
  if (failed.allotment == 0)
    return {RetryVerdict::kAllotmentSpent};
  const state::Duration remaining = failed.deadline - now;
  if (remaining < policy.min_remaining)
    return {RetryVerdict::kNoTime};
  if (!budget.TryRetry(now))
    return {RetryVerdict::kNodeBudgetSpent};
  if (not_run && failed.others_available)
    return {RetryVerdict::kRetry};
  return {RetryVerdict::kRetry,
          std::min(BackoffOf(failed, policy, rng), remaining / 2)};
}

}  // namespace sesamespread::coordination
