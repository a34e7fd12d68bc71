/// \file
/// Decides which backend server is the one beside this node, from reports that
/// may be late, repeated or of an earlier run.
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

/// What a report changed.
enum class ReportOutcome : std::uint8_t {
  /// A new run, another service or another state.
  kChanged,
  /// Nothing that decisions depend on.
  kUnchanged,
  /// An earlier run, or an earlier report of this run; ignored.
  kStale,
  /// A backend server at another address; ignored.
  kForeign,
};

/// The backend server at one endpoint.
///
/// Invariants: a run that has left never takes work again; a report of an
/// earlier run never replaces a later one.
class BackendRegistry {
 public:
  /// \p endpoint is the only address that belongs to this node.
  explicit BackendRegistry(state::Endpoint endpoint)
      : endpoint_(std::move(endpoint)) {}

  ReportOutcome Apply(const state::BackendReport& report, state::Instant now);

  /// The run \p run leaves without another report. A run without start time
  /// names the current one if the instance is the same. \p wall_ms is the wall
  /// clock of this host. The leave counts also if the run is not known yet.
  ReportOutcome Leave(const state::BackendInstance& identity,
                      std::uint64_t wall_ms,
                      state::Instant now);

  /// All runs under the name \p instance that started before \p wall_ms have
  /// left.
  ReportOutcome AddLeft(const std::string& instance,
                        std::uint64_t wall_ms,
                        state::Instant now);

  /// A health check has shown that \p run takes work; \p slots is 0 if it did
  /// not say how much. Counts only while no report was received, as after a
  /// start of this node.
  ReportOutcome Confirm(const state::BackendInstance& identity,
                        const std::string& service,
                        std::uint32_t slots,
                        state::Instant now);

  /// The newest run; nullopt before the first report.
  const std::optional<state::BackendReport>& current() const {
    return current_;
  }

  /// Whether the newest run takes new work, as far as it has said.
  bool takes_work() const { return current_ && !current_->leaving; }

  /// When the newest run said that it leaves; meaningful if it does.
  state::Instant left_at() const { return left_at_; }

  /// When the last report of the newest run arrived.
  state::Instant reported_at() const { return reported_at_; }

 private:
  // Names of instances that are remembered after they left.
  static constexpr std::size_t kMaxLeft = 64;

  bool IsSameRun(const state::BackendInstance& identity) const;
  bool HasLeft(const state::BackendInstance& identity) const;
  ReportOutcome MarkLeaving(state::Instant now);

  const state::Endpoint endpoint_;
  std::optional<state::BackendReport> current_;
  // By instance: runs that started at or before this wall clock have left.
  std::map<std::string, std::uint64_t> left_;
  // True if current_ comes from Confirm and any report replaces it.
  bool provisional_ = false;
  state::Instant left_at_;
  state::Instant reported_at_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_BACKEND_REGISTRY_H_
