/// \file
/// Tracks the current instance of the backend server beside this node, from
/// reports that may be late, repeated or sent by an earlier instance. The order
/// of two instances does not rest on their start times alone: the clock of the
/// host may have been set back between the starts.
#ifndef SESAMESPREAD_COORDINATION_BACKEND_REGISTRY_H_
#define SESAMESPREAD_COORDINATION_BACKEND_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
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
/// A state::BackendInstance identifies an instance by its name and start time,
/// because a later instance may use the same name. Instances are ordered as
/// follows:
/// - One that was current before is an earlier one. It becomes current again
///   only if it keeps reporting kMaxReportDelay after its replacement or later,
///   while the current one is silent.
/// - One that is seen for the first time, with a later start, replaces the
///   current one.
/// - One that is seen for the first time, with an earlier start, replaces the
///   current one if it keeps reporting while the current one is silent. Its
///   leave counts at once if it has the name of the current one: a confirmed
///   leave must never be without effect.
///
/// Invariant: an instance that has left never accepts work again.
class BackendRegistry {
 public:
  /// Assumed upper bound on the delay of a report.
  static constexpr state::Duration kMaxReportDelay = std::chrono::seconds(10);
  /// Shortest time between the reports by which an instance with an earlier
  /// start replaces the current one. Reports that arrive together may both be
  /// late.
  static constexpr state::Duration kMinCandidateTime =
      std::chrono::milliseconds(800);

  /// Reports from any endpoint other than \p endpoint are ignored.
  explicit BackendRegistry(state::Endpoint endpoint)
      : endpoint_(std::move(endpoint)) {}

  ReportOutcome Apply(const state::BackendReport& report, state::Instant now);

  /// Records that the instance \p identity has left, without a report and even
  /// if no report of it has been received. A \p identity without start time
  /// stands for every instance of that name that started at or before \p
  /// wall_ms, the wall clock of this host in milliseconds since 1970. The
  /// result is kStale if the current instance has not left.
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
  /// report, as after a start of this node. A report of an instance with
  /// another name may be a late one of a server that had this address before;
  /// it replaces the result of the health check only once another one follows.
  ReportOutcome ConfirmByHealthCheck(const state::BackendInstance& identity,
                                     const std::string& service,
                                     std::uint32_t slots,
                                     state::Instant now);

  /// Whether \p identity was current before another instance replaced it. Its
  /// leave may arrive late and says nothing about the current one.
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
  // Instance names whose leave times are stored, and instances that have left.
  static constexpr std::size_t kMaxLeftInstances = 64;
  // Earlier instances that are remembered.
  static constexpr std::size_t kMaxEarlierRuns = 16;

  // An instance that was current.
  struct EarlierRun {
    state::BackendInstance identity;
    // The highest sequence number of its reports.
    std::uint64_t sequence = 0;
    state::Instant replaced_at;
  };

  // An instance that may be later than the current one.
  struct Candidate {
    state::BackendInstance identity;
    // Of its first report since the last one of the current instance.
    std::uint64_t sequence = 0;
    state::Instant first_at;
  };

  bool HasLeft(const state::BackendInstance& identity) const;
  ReportOutcome MarkLeaving(state::Instant now);
  // Whether \p report, of another instance than the current one, comes from a
  // later one.
  bool IsOfLaterRun(const state::BackendReport& report, state::Instant now);
  // Whether \p report proves that an instance is running that the other
  // evidence contradicts.
  bool ConfirmCandidate(const state::BackendReport& report, state::Instant now);
  void ReplaceCurrent(const state::BackendReport& report, state::Instant now);
  void RecordLeftRun(const state::BackendInstance& identity);

  const state::Endpoint endpoint_;
  std::optional<state::BackendReport> current_;
  // By instance name: instances that started at or before this wall clock, in
  // milliseconds since 1970, have left.
  std::map<std::string, std::uint64_t> leave_times_ms_;
  // Instances with start times that have left, the last one at the back.
  std::deque<state::BackendInstance> left_runs_;
  // The last replaced one at the back; does not contain current_.
  std::deque<EarlierRun> earlier_runs_;
  std::optional<Candidate> candidate_;
  // True if current_ comes from a health check.
  bool provisional_ = false;
  state::Instant left_at_;
  state::Instant reported_at_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_BACKEND_REGISTRY_H_
