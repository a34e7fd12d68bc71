/// \file
/// Writes a new version of the configuration by compare-and-swap, so that
/// exactly one of several concurrent operators succeeds. After a lost reply it
/// reads the outcome back and reports kUnknown if that fails.
#ifndef SESAMESPREAD_COORDINATION_CONFIGURATION_WRITER_H_
#define SESAMESPREAD_COORDINATION_CONFIGURATION_WRITER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "sesamespread/coordination/configuration_rows.h"
#include "sesamespread/coordination/table_store.h"
#include "sesamespread/state/configuration.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// The change record of the version after \p base, with the content \p target.
/// \p attempt must be random, so that it is unique among all write attempts.
ChangeRecord MakeChange(const state::Configuration& base,
                        const state::Configuration::Entries& target,
                        std::string who,
                        std::string why,
                        state::WallTime when,
                        const state::RequestId& attempt);

/// Bounds of one write.
struct WriterBounds {
  /// Longest time from the start to the start of the last call to the platform;
  /// the result follows that call.
  state::Duration total = std::chrono::seconds(15);
  /// Calls to the platform.
  std::uint32_t max_requests = 16;
  /// Wait before the first retry; doubled for each further one.
  state::Duration first_backoff = std::chrono::milliseconds(50);
  state::Duration max_backoff = std::chrono::seconds(2);
};

/// Result of a write.
struct WriteResult {
  /// kOk, kConfigurationConflict, kPlatformUnavailable, kUnauthorized or
  /// kConfigurationInvalid (the platform rejected the request as invalid).
  state::ResultCode code = state::ResultCode::kOk;
  /// kRan or kNotRun only if this is certain, else kUnknown.
  state::RunState run_state = state::RunState::kRan;
  /// The new version for kOk.
  state::ConfigurationVersion version = 0;
  /// The change that was stored instead, for kConfigurationConflict; nullopt if
  /// it could not be read.
  std::optional<ChangeRecord> winner;
  std::string detail;
};

/// State machine of one write, without I/O. Until done(), the owner sends
/// pending() no earlier than not_before() and passes the reply to OnReply.
class ConfigurationWriter {
 public:
  struct ReadRowRequest {
    std::string key;
  };
  using Request = std::variant<ReadRowRequest, TableTransaction>;

  ConfigurationWriter(ChangeRecord change,
                      const WriterBounds& bounds,
                      state::Instant now);

  bool done() const { return result_.has_value(); }
  /// \pre done().
  const WriteResult& result() const { return *result_; }
  /// \pre !done().
  const Request& pending() const { return pending_; }
  state::Instant not_before() const { return not_before_; }

  void OnReply(state::Instant now, const RowReply& reply);
  void OnReply(state::Instant now, const CommitReply& reply);

 private:
  enum class Stage : std::uint8_t {
    kReadHead,
    kCommit,
    kReadBack,
    kReadWinner
  };

  void OnHead(state::Instant now, const RowReply& reply);
  void OnChangeRow(state::Instant now, const RowReply& reply);
  void OnConditionFailed(state::Instant now, const CommitReply& reply);
  // Ends the write by the stored change row of the version, which is final.
  void ResolveByChangeRow(const std::string& stored_row);
  // Set the next request, to be sent at once or after an exponential backoff.
  void RequestNow(state::Instant now, Stage stage);
  void RequestAfterBackoff(state::Instant now, Stage stage);
  void SetPending(state::Instant now, Stage stage, state::Duration wait);
  void FinishUnresolved();
  bool FinishIfRejected(StoreStatus status, const std::string& detail);
  void Finish(state::ResultCode code,
              state::RunState run_state,
              const std::string& detail);
  TableTransaction MakeTransaction() const;

  ChangeRecord change_;
  WriterBounds bounds_;
  state::Instant deadline_;
  Stage stage_ = Stage::kReadHead;
  Request pending_;
  state::Instant not_before_;
  std::uint32_t requests_ = 0;
  std::uint32_t retries_ = 0;
  // Row version of the head that the transaction compares; nullopt if absent.
  std::optional<std::uint64_t> head_row_version_;
  // True after a transaction without a reply. It may take effect at any later
  // time, so only the change row of the version shows the outcome.
  bool in_doubt_ = false;
  std::string last_detail_;
  std::optional<WriteResult> result_;
};

/// The clock that RunWriter uses.
struct WriterClock {
  std::function<state::Instant()> now;
  std::function<void(state::Instant)> wait_until;
};

/// Runs \p writer with calls to \p store until it is done.
WriteResult RunWriter(ConfigurationWriter& writer,
                      TableStore& store,
                      const WriterClock& clock);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CONFIGURATION_WRITER_H_
