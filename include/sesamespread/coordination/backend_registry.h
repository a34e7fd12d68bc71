/// \file
/// Tracks the current instance of the backend server beside this node, from
/// reports that may be late, repeated or sent by an earlier instance.
#ifndef SESAMESPREAD_COORDINATION_BACKEND_REGISTRY_H_
#define SESAMESPREAD_COORDINATION_BACKEND_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sesamespread/state/backend_report.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Effect of a report or a leave.
enum class ReportOutcome : std::uint8_t {
  /// The instance, its service, its number of slots or its leaving state
  /// changed.
  kChanged,
  /// Accepted without a change to any of these.
  kUnchanged,
  /// Ignored: from an earlier instance, an earlier report of the current one,
  /// or without effect on the current one.
  kStale,
  /// Ignored: from a backend server at another endpoint.
  kOtherEndpoint,
};

/// State of the backend server at one endpoint.
///
/// Invariants: an instance that has left never accepts work again; a report of
/// an earlier instance never replaces one of a later instance. A
/// state::BackendInstance identifies an instance by its name and start time,
/// because a later instance may use the same name.
class BackendRegistry {
 public:
  /// Reports from any endpoint other than \p endpoint are ignored.
  explicit BackendRegistry(state::Endpoint endpoint)
      : endpoint_(std::move(endpoint)) {}

  ReportOutcome Apply(const state::BackendReport& report, state::Instant now);

  /// Records that the instance \p identity has left, without a report. A \p
  /// identity without start time stands for every instance of that name that
  /// started at or before \p wall_ms, the wall clock of this host in
  /// milliseconds since 1970; it is recorded even if no report of the instance
  /// has been received. A \p identity with start time that is not the current
  /// instance is not recorded; the result is then kStale.
  ReportOutcome ApplyLeave(const state::BackendInstance& identity,
                           std::uint64_t wall_ms,
                           state::Instant now);

  /// Records that all instances named \p instance that started at or before
  /// \p wall_ms (milliseconds since 1970) have left.
  ReportOutcome ApplyInstanceLeave(const std::string& instance,
                                   std::uint64_t wall_ms,
                                   state::Instant now);

  /// Records that a health check found \p identity to accept work, with \p
  /// slots concurrent requests (0 if unknown). Used only until the first
  /// report, as after a start of this node.
  ReportOutcome ConfirmByHealthCheck(const state::BackendInstance& identity,
                                     const std::string& service,
                                     std::uint32_t slots,
                                     state::Instant now);

  /// Whether \p identity is known to be an earlier run of the current instance.
  /// Its leave may arrive late and says nothing about the current run.
  bool IsEarlierRun(const state::BackendInstance& identity) const;

  /// The last report of the newest instance, with `leaving` set also after a
  /// leave; nullopt before the first report or health check.
  const std::optional<state::BackendReport>& current() const {
    return current_;
  }

  /// Whether an instance is known and has not left.
  bool accepts_work() const { return current_ && !current_->leaving; }

  /// When the leave of the newest instance was received; valid only if
  /// current()->leaving.
  state::Instant left_at() const { return left_at_; }

  /// When the last report, leave or health check of the newest instance was
  /// received.
  state::Instant reported_at() const { return reported_at_; }

 private:
  // Instance names whose leave times are stored.
  static constexpr std::size_t kMaxLeftInstances = 64;

  bool HasLeft(const state::BackendInstance& identity) const;
  ReportOutcome MarkLeaving(state::Instant now);

  const state::Endpoint endpoint_;
  std::optional<state::BackendReport> current_;
  // By instance name: instances that started at or before this wall clock, in
  // milliseconds since 1970, have left.
  std::map<std::string, std::uint64_t> leave_times_ms_;
  // True if current_ comes from a health check; any report replaces it.
  bool provisional_ = false;
  state::Instant left_at_;
  state::Instant reported_at_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_BACKEND_REGISTRY_H_
