/// \file
/// Ordering of the reports of a backend server by instance and sequence.
#include "sesamespread/coordination/backend_registry.h"

#include <algorithm>

namespace sesamespread::coordination {

bool BackendRegistry::IsEarlierRun(
    const state::BackendInstance& identity) const {
  return std::any_of(
      earlier_runs_.begin(), earlier_runs_.end(),
      [&identity](const auto& run) { return run.identity == identity; });
}

bool BackendRegistry::HasLeft(const state::BackendInstance& identity) const {
  const bool is_left_run = std::any_of(
      left_runs_.begin(), left_runs_.end(),
      [&identity](const auto& run) { return run.IsSameRun(identity); });
  const auto found = leave_times_ms_.find(identity.instance);
  return is_left_run || (found != leave_times_ms_.end() &&
                         identity.started_ms <= found->second);
}

void BackendRegistry::RecordLeftRun(const state::BackendInstance& identity) {
  if (identity.started_ms == 0)
    return;
  std::erase(left_runs_, identity);
  if (left_runs_.size() >= kMaxLeftInstances)
    left_runs_.pop_front();
  left_runs_.push_back(identity);
}

bool BackendRegistry::ConfirmCandidate(const state::BackendReport& report,
                                       state::Instant now) {
  const bool is_same = candidate_ && candidate_->identity == report.identity;
  if (!is_same || reported_at_ >= candidate_->first_at) {
    candidate_ = Candidate{report.identity, report.sequence, now};
    return false;
  }
  return report.sequence > candidate_->sequence &&
         now - candidate_->first_at >= kMinCandidateTime;
}

bool BackendRegistry::IsOfLaterRun(const state::BackendReport& report,
                                   state::Instant now) {
  const state::BackendInstance& identity = report.identity;
  const bool has_same_name = identity.instance == current_->identity.instance;
  if (provisional_)
    return has_same_name || current_->identity.instance.empty() ||
           ConfirmCandidate(report, now);
  const auto earlier = std::find_if(
      earlier_runs_.begin(), earlier_runs_.end(),
      [&identity](const auto& run) { return run.identity == identity; });
  if (earlier != earlier_runs_.end())
    return report.sequence > earlier->sequence &&
           now - earlier->replaced_at >= kMaxReportDelay &&
           ConfirmCandidate(report, now);
  if (identity.started_ms >= current_->identity.started_ms)
    return true;
  return (has_same_name && report.leaving && !HasLeft(identity)) ||
         ConfirmCandidate(report, now);
}

void BackendRegistry::ReplaceCurrent(const state::BackendReport& report,
                                     state::Instant now) {
  if (current_ && !provisional_) {
    if (earlier_runs_.size() >= kMaxEarlierRuns)
      earlier_runs_.pop_front();
    earlier_runs_.push_back({current_->identity, current_->sequence, now});
  }
  std::erase_if(earlier_runs_, [&report](const auto& run) {
    return run.identity == report.identity;
  });
  candidate_.reset();
  current_ = report;
  provisional_ = false;
  reported_at_ = now;
  current_->leaving = report.leaving || HasLeft(report.identity);
  if (!current_->leaving)
    return;
  left_at_ = now;
  RecordLeftRun(report.identity);
}

ReportOutcome BackendRegistry::Apply(const state::BackendReport& report,
                                     state::Instant now) {
  if (report.endpoint != endpoint_)
    return ReportOutcome::kOtherEndpoint;
  const bool is_same = current_ && !provisional_ &&
                       current_->identity.IsSameRun(report.identity);
  if (!is_same) {
    if (current_ && !IsOfLaterRun(report, now))
      return ReportOutcome::kStale;
    ReplaceCurrent(report, now);
    return ReportOutcome::kChanged;
  }
  if (report.sequence <= current_->sequence)
    return ReportOutcome::kStale;
  const bool was_leaving = current_->leaving;
  const bool is_leaving =
      was_leaving || report.leaving || HasLeft(report.identity);
  const bool changed = current_->service != report.service ||
                       current_->slots != report.slots ||
                       is_leaving != was_leaving;
  current_ = report;
  current_->leaving = was_leaving;
  reported_at_ = now;
  if (is_leaving)
    MarkLeaving(now);
  return changed ? ReportOutcome::kChanged : ReportOutcome::kUnchanged;
}

ReportOutcome BackendRegistry::MarkLeaving(state::Instant now) {
  reported_at_ = now;
  RecordLeftRun(current_->identity);
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
  const bool has_same_name =
      current_ && current_->identity.instance == identity.instance;
  if (identity.started_ms == 0) {
    // The start time of the current instance may be ahead of the clock.
    return ApplyInstanceLeave(
        identity.instance,
        has_same_name ? std::max(wall_ms, current_->identity.started_ms)
                      : wall_ms,
        now);
  }
  const bool is_known_to_have_left = HasLeft(identity);
  RecordLeftRun(identity);
  if (current_ && current_->identity.IsSameRun(identity))
    return MarkLeaving(now);
  if (!has_same_name || is_known_to_have_left || IsEarlierRun(identity))
    return ReportOutcome::kStale;
  // The leave of an instance that has not reported yet.
  state::BackendReport leaving = *current_;
  leaving.identity = identity;
  leaving.sequence = 0;
  leaving.leaving = true;
  ReplaceCurrent(leaving, now);
  return ReportOutcome::kChanged;
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
