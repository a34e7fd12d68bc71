/// \file
/// Ordering of the reports of a backend server by start time and sequence.
#include "sesamespread/coordination/backend_registry.h"

#include <algorithm>

namespace sesamespread::coordination {

bool BackendRegistry::IsEarlierRun(
    const state::BackendInstance& identity) const {
  return current_ && identity.started_ms != 0 &&
         identity.instance == current_->identity.instance &&
         identity.started_ms < current_->identity.started_ms;
}

bool BackendRegistry::HasLeft(const state::BackendInstance& identity) const {
  const auto found = leave_times_ms_.find(identity.instance);
  return found != leave_times_ms_.end() && identity.started_ms <= found->second;
}

ReportOutcome BackendRegistry::Apply(const state::BackendReport& received,
                                     state::Instant now) {
  if (received.endpoint != endpoint_)
    return ReportOutcome::kOtherEndpoint;
  state::BackendReport report = received;
  report.leaving = received.leaving || HasLeft(received.identity);
  if (current_ && !provisional_) {
    const bool same = current_->identity.IsSameRun(report.identity);
    if (!same && report.identity.started_ms < current_->identity.started_ms)
      return ReportOutcome::kStale;
    if (same && report.sequence <= current_->sequence)
      return ReportOutcome::kStale;
    if (same) {
      const bool was_leaving = current_->leaving;
      const bool changed = current_->service != report.service ||
                           current_->slots != report.slots ||
                           was_leaving != report.leaving;
      current_ = report;
      current_->leaving = report.leaving || was_leaving;
      reported_at_ = now;
      if (current_->leaving && !was_leaving)
        left_at_ = now;
      return changed && !(was_leaving && !report.leaving)
                 ? ReportOutcome::kChanged
                 : ReportOutcome::kUnchanged;
    }
  }
  current_ = report;
  provisional_ = false;
  reported_at_ = now;
  if (report.leaving)
    left_at_ = now;
  return ReportOutcome::kChanged;
}

ReportOutcome BackendRegistry::MarkLeaving(state::Instant now) {
  reported_at_ = now;
  if (current_->leaving)
    return ReportOutcome::kUnchanged;
  current_->leaving = true;
  left_at_ = now;
  return ReportOutcome::kChanged;
}

ReportOutcome BackendRegistry::ApplyLeave(
    const state::BackendInstance& identity,
    std::uint64_t wall_ms,
    state::Instant now) {
  if (identity.started_ms == 0)
    return ApplyInstanceLeave(identity.instance, wall_ms, now);
  if (current_ && current_->identity.IsSameRun(identity))
    return MarkLeaving(now);
  return ReportOutcome::kStale;
}

ReportOutcome BackendRegistry::ApplyInstanceLeave(const std::string& instance,
                                                  std::uint64_t wall_ms,
                                                  state::Instant now) {
  if (leave_times_ms_.size() >= kMaxLeftInstances &&
      leave_times_ms_.count(instance) == 0)
    leave_times_ms_.erase(leave_times_ms_.begin());
  std::uint64_t& left_ms = leave_times_ms_[instance];
  left_ms = std::max(left_ms, wall_ms);
  if (current_ && HasLeft(current_->identity))
    return MarkLeaving(now);
  return ReportOutcome::kStale;
}

ReportOutcome BackendRegistry::ConfirmByHealthCheck(
    const state::BackendInstance& identity,
    const std::string& service,
    std::uint32_t slots,
    state::Instant now) {
  if (current_ || HasLeft(identity))
    return ReportOutcome::kStale;
  state::BackendReport report;
  report.identity = identity;
  report.endpoint = endpoint_;
  report.service = service;
  report.slots = slots;
  current_ = report;
  provisional_ = true;
  reported_at_ = now;
  return ReportOutcome::kChanged;
}

}  // namespace sesamespread::coordination
