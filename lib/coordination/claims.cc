/// \file
/// Grouping of claims into transactions and resolution of their replies.
#include "sesamespread/coordination/claims.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace sesamespread::coordination {

std::string ClaimRowKey(std::string_view service,
                        std::uint64_t caller_identity,
                        std::string_view caller_key) {
  return fmt::format("claim/{}/{:016x}/{}", service, caller_identity,
                     caller_key);
}

KeyBinding BindingOf(const ClaimRow& row) {
  return {row.executor, row.issued_ms, state::HashOf(row.key)};
}

ClaimCommitter::ClaimCommitter() : ClaimCommitter(Options()) {}

ClaimCommitter::ClaimCommitter(Options options) : options_(options) {}

bool ClaimCommitter::Add(const Claim& claim, state::Instant now) {
  if (waiters_.size() >= options_.max_waiters)
    return false;
  const bool added = waiters_
                         .emplace(claim.waiter, Waiter{claim.waiter, claim.row,
                                                       claim.deadline})
                         .second;
  assert(added && "the waiter id is already in use");
  if (!added)
    return false;
  deadlines_.emplace(claim.deadline, claim.waiter);
  const auto [row, inserted] = rows_.try_emplace(claim.row.key);
  row->second.waiters.push_back(claim.waiter);
  if (inserted) {
    row->second.wanted = claim.row;
    Enqueue(claim.row.key, row->second, Phase::kPending, now + options_.linger);
  }
  return true;
}

void ClaimCommitter::Cancel(std::uint64_t waiter) {
  RemoveWaiter(waiter);
}

std::deque<ClaimCommitter::Queued>* ClaimCommitter::QueueOf(Phase phase) {
  if (phase == Phase::kInFlight)
    return nullptr;
  return phase == Phase::kPending ? &pending_ : &unresolved_;
}

void ClaimCommitter::Enqueue(const std::string& key,
                             Row& row,
                             Phase phase,
                             state::Instant not_before) {
  row.phase = phase;
  QueueOf(phase)->push_back({key, not_before});
}

void ClaimCommitter::EraseRow(const std::string& key) {
  const auto row = rows_.find(key);
  if (std::deque<Queued>* queue = QueueOf(row->second.phase)) {
    std::erase_if(*queue,
                  [&key](const Queued& queued) { return queued.key == key; });
  }
  rows_.erase(row);
}

void ClaimCommitter::RemoveWaiter(std::uint64_t waiter) {
  const auto found = waiters_.find(waiter);
  if (found == waiters_.end())
    return;
  const std::string key = found->second.row.key;
  deadlines_.erase({found->second.deadline, waiter});
  waiters_.erase(found);
  Row& row = rows_.at(key);
  std::erase(row.waiters, waiter);
  if (row.waiters.empty())
    EraseRow(key);
}

bool ClaimCommitter::IsDue(const std::deque<Queued>& queue,
                           state::Instant now) const {
  return !queue.empty() && (queue.size() >= options_.max_batch ||
                            queue.front().not_before <= now);
}

std::optional<ClaimTableRequest> ClaimCommitter::NextBatch(state::Instant now) {
  if (in_flight_.size() >= options_.max_in_flight)
    return std::nullopt;
  if (IsDue(unresolved_, now))
    return Send(ClaimTableRequest::Kind::kRead, unresolved_, now);
  if (IsDue(pending_, now))
    return Send(ClaimTableRequest::Kind::kInsertIfAbsent, pending_, now);
  return std::nullopt;
}

ClaimTableRequest ClaimCommitter::Send(ClaimTableRequest::Kind kind,
                                       std::deque<Queued>& queue,
                                       state::Instant now) {
  ClaimTableRequest request;
  request.id = next_id_++;
  request.kind = kind;
  while (!queue.empty() && request.rows.size() < options_.max_batch) {
    Row& row = rows_.at(queue.front().key);
    queue.pop_front();
    row.phase = Phase::kInFlight;
    request.rows.push_back(row.wanted);
  }
  in_flight_.emplace(request.id, InFlight{request, now});
  return request;
}

std::vector<ClaimResolution> ClaimCommitter::OnBatchResult(
    const ClaimTableReply& reply,
    state::Instant now) {
  std::vector<ClaimResolution> out;
  const auto found = in_flight_.find(reply.id);
  if (found == in_flight_.end())
    return out;
  const ClaimTableRequest request = std::move(found->second.request);
  in_flight_.erase(found);
  switch (reply.status) {
    case ClaimTableReply::Status::kDone:
      OnDone(request, reply, now, &out);
      break;
    case ClaimTableReply::Status::kUnavailable:
      for (const ClaimRow& row : request.rows)
        FailWaiters(row.key, &out);
      break;
    case ClaimTableReply::Status::kLost:
      for (const ClaimRow& row : request.rows)
        OnReplyLost(row.key, now, &out);
      break;
  }
  return out;
}

void ClaimCommitter::OnDone(const ClaimTableRequest& request,
                            const ClaimTableReply& reply,
                            state::Instant now,
                            std::vector<ClaimResolution>* out) {
  for (std::size_t i = 0; i < request.rows.size(); ++i) {
    const std::string& key = request.rows[i].key;
    const bool answered = i < reply.rows.size();
    if (answered && reply.rows[i] && reply.rows[i]->key == key) {
      Resolve(*reply.rows[i], out);
      continue;
    }
    const auto row = rows_.find(key);
    if (row == rows_.end() || row->second.phase != Phase::kInFlight)
      continue;
    const bool absent = answered && !reply.rows[i] &&
                        request.kind == ClaimTableRequest::Kind::kRead;
    if (absent) {
      Enqueue(key, row->second, Phase::kPending, now);
      continue;
    }
    // A reply without the stored row is handled like a lost one.
    OnReplyLost(key, now, out);
  }
}

void ClaimCommitter::OnReplyLost(const std::string& key,
                                 state::Instant now,
                                 std::vector<ClaimResolution>* out) {
  const auto row = rows_.find(key);
  if (row == rows_.end() || row->second.phase != Phase::kInFlight)
    return;
  if (++row->second.lost_replies >= options_.max_lost_replies) {
    FailWaiters(key, out);
    return;
  }
  Enqueue(key, row->second, Phase::kUnresolved, now);
}

void ClaimCommitter::Resolve(const ClaimRow& row,
                             std::vector<ClaimResolution>* out) {
  const auto found = rows_.find(row.key);
  if (found == rows_.end())
    return;
  const std::vector<std::uint64_t> waiters = found->second.waiters;
  for (const std::uint64_t waiter : waiters) {
    const bool executor_matches =
        waiters_.at(waiter).row.executor == row.executor;
    out->push_back({waiter,
                    executor_matches
                        ? ClaimResolution::Verdict::kBound
                        : ClaimResolution::Verdict::kBoundElsewhere,
                    row});
    RemoveWaiter(waiter);
  }
}

void ClaimCommitter::FailWaiters(const std::string& key,
                                 std::vector<ClaimResolution>* out) {
  const auto found = rows_.find(key);
  if (found == rows_.end())
    return;
  const std::vector<std::uint64_t> waiters = found->second.waiters;
  for (const std::uint64_t waiter : waiters) {
    out->push_back({waiter, ClaimResolution::Verdict::kUnavailable, {}});
    RemoveWaiter(waiter);
  }
}

std::vector<ClaimResolution> ClaimCommitter::Tick(state::Instant now) {
  std::vector<ClaimResolution> out;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const std::uint64_t waiter = deadlines_.begin()->second;
    out.push_back({waiter, ClaimResolution::Verdict::kUnavailable, {}});
    RemoveWaiter(waiter);
  }
  std::vector<std::uint64_t> timed_out;
  for (const auto& [id, batch] : in_flight_) {
    if (batch.sent + options_.batch_timeout <= now)
      timed_out.push_back(id);
  }
  for (const std::uint64_t id : timed_out) {
    const std::vector<ClaimResolution> lost =
        OnBatchResult({id, ClaimTableReply::Status::kLost, {}}, now);
    out.insert(out.end(), lost.begin(), lost.end());
  }
  return out;
}

std::optional<state::Instant> ClaimCommitter::NextWake() const {
  std::optional<state::Instant> wake;
  const auto include = [&wake](state::Instant at) {
    wake = wake ? std::min(*wake, at) : at;
  };
  if (!deadlines_.empty())
    include(deadlines_.begin()->first);
  for (const auto& [id, batch] : in_flight_)
    include(batch.sent + options_.batch_timeout);
  if (in_flight_.size() < options_.max_in_flight) {
    if (!pending_.empty())
      include(pending_.front().not_before);
    if (!unresolved_.empty())
      include(unresolved_.front().not_before);
  }
  return wake;
}

}  // namespace sesamespread::coordination
