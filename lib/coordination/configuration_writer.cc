/// \file
/// Change records, and the state machine of one configuration write.
#include "sesamespread/coordination/configuration_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace sesamespread::coordination {
namespace {

using state::ResultCode;
using state::RunState;

}  // namespace

ChangeRecord MakeChange(const state::Configuration& base,
                        const state::Configuration::Entries& target,
                        std::string who,
                        std::string why,
                        state::WallTime when,
                        const state::RequestId& attempt) {
  ChangeRecord record;
  record.previous = base.version();
  record.version = base.version() + 1;
  record.digest = base.digest();
  record.attempt = attempt;
  record.who = std::move(who);
  record.why = std::move(why);
  record.when = when;
  for (state::EntryChange& change : base.DifferenceTo(target)) {
    RecordedChange recorded{change.key, std::nullopt, std::move(change.value)};
    const auto found = base.entries().find(change.key);
    if (found != base.entries().end()) {
      recorded.before = found->second;
      record.digest ^= state::EntryHash(change.key, found->second);
    }
    if (recorded.after)
      record.digest ^= state::EntryHash(change.key, *recorded.after);
    record.changes.push_back(std::move(recorded));
  }
  record.fields = ChangedFields(record.changes);
  return record;
}

ConfigurationWriter::ConfigurationWriter(ChangeRecord change,
                                         const WriterBounds& bounds,
                                         state::Instant now)
    : change_(std::move(change)),
      bounds_(bounds),
      deadline_(now + bounds.total) {
  RequestNow(now, Stage::kReadHead);
}

void ConfigurationWriter::OnReply(state::Instant now, const RowReply& reply) {
  assert(!done() && stage_ != Stage::kCommit && "no read is pending");
  last_detail_ = reply.detail;
  if (FinishIfRejected(reply.status, reply.detail))
    return;
  if (reply.status != StoreStatus::kDone) {
    RequestAfterBackoff(now, stage_);
    return;
  }
  try {
    if (stage_ == Stage::kReadHead)
      OnHead(now, reply);
    else
      OnChangeRow(now, reply);
  } catch (const state::Error& error) {
    last_detail_ = error.what();
    FinishUnresolved();
  }
}

void ConfigurationWriter::OnReply(state::Instant now,
                                  const CommitReply& reply) {
  assert(!done() && stage_ == Stage::kCommit && "no transaction is pending");
  last_detail_ = reply.detail;
  if (FinishIfRejected(reply.status, reply.detail))
    return;
  switch (reply.status) {
    case StoreStatus::kDone:
      Finish(ResultCode::kOk, RunState::kRan, reply.detail);
      return;
    case StoreStatus::kConditionFailed:
      OnConditionFailed(now, reply);
      return;
    case StoreStatus::kNoReply:
      in_doubt_ = true;
      RequestAfterBackoff(now, Stage::kReadBack);
      return;
    default:
      RequestAfterBackoff(now, in_doubt_ ? Stage::kReadBack : Stage::kCommit);
  }
}

void ConfigurationWriter::OnHead(state::Instant now, const RowReply& reply) {
  const ConfigurationHead head =
      reply.row ? ParseHead(reply.row->value) : ConfigurationHead{};
  if (head.version > change_.previous) {
    last_detail_ = fmt::format("version {} is already in force", head.version);
    RequestNow(now, Stage::kReadWinner);
    return;
  }
  if (head.version < change_.previous) {
    last_detail_ =
        fmt::format("the head was read at version {}, before version {}",
                    head.version, change_.previous);
    RequestAfterBackoff(now, Stage::kReadHead);
    return;
  }
  head_row_version_.reset();
  if (reply.row)
    head_row_version_ = reply.row->version;
  RequestNow(now, Stage::kCommit);
}

void ConfigurationWriter::OnChangeRow(state::Instant now,
                                      const RowReply& reply) {
  if (reply.row) {
    ResolveByChangeRow(reply.row->value);
    return;
  }
  // An absent row does not show that the write failed: the read may be stale,
  // or the transaction may still take effect. Sending the same transaction
  // again is safe, because its conditions allow it to take effect at most once.
  RequestAfterBackoff(now,
                      stage_ == Stage::kReadBack ? Stage::kCommit : stage_);
}

void ConfigurationWriter::OnConditionFailed(state::Instant now,
                                            const CommitReply& reply) {
  if (reply.failed_key != kHeadKey && reply.current_value) {
    try {
      ResolveByChangeRow(*reply.current_value);
    } catch (const state::Error& error) {
      last_detail_ = error.what();
      FinishUnresolved();
    }
    return;
  }
  // The version is not taken, but the head's row is not the one that was read.
  // Row versions only increase, so no earlier transaction can take effect now.
  in_doubt_ = false;
  RequestAfterBackoff(now, Stage::kReadHead);
}

void ConfigurationWriter::ResolveByChangeRow(const std::string& stored_row) {
  ChangeRecord stored = ParseChangeRecord(stored_row);
  if (stored.attempt == change_.attempt) {
    Finish(ResultCode::kOk, RunState::kRan,
           "the reply was lost; the stored change has the id of this attempt");
    return;
  }
  Finish(ResultCode::kConfigurationConflict, RunState::kNotRun,
         fmt::format("version {} by {} at {} was accepted first",
                     stored.version, stored.who, FormatWallTime(stored.when)));
  result_->winner = std::move(stored);
}

void ConfigurationWriter::RequestNow(state::Instant now, Stage stage) {
  SetPending(now, stage, state::Duration(0));
}

void ConfigurationWriter::RequestAfterBackoff(state::Instant now, Stage stage) {
  constexpr std::uint32_t kMaxDoublings = 20;
  const auto doubled = bounds_.first_backoff *
                       (std::int64_t{1} << std::min(retries_, kMaxDoublings));
  const state::Duration wait = std::min(doubled, bounds_.max_backoff);
  // Adds a jitter of up to half of the wait, so that colliding operators do not
  // collide again.
  const auto half = static_cast<std::uint64_t>(wait.count() / 2 + 1);
  const std::uint64_t jitter =
      state::HashOf(change_.attempt.low, retries_) % half;
  ++retries_;
  SetPending(now, stage,
             wait + state::Duration(static_cast<std::int64_t>(jitter)));
}

void ConfigurationWriter::SetPending(state::Instant now,
                                     Stage stage,
                                     state::Duration wait) {
  stage_ = stage;
  if (requests_ >= bounds_.max_requests || now + wait >= deadline_) {
    FinishUnresolved();
    return;
  }
  ++requests_;
  not_before_ = now + wait;
  if (stage == Stage::kCommit)
    pending_ = MakeTransaction();
  else if (stage == Stage::kReadHead)
    pending_ = ReadRowRequest{std::string(kHeadKey)};
  else
    pending_ = ReadRowRequest{ChangeKey(change_.version)};
}

void ConfigurationWriter::FinishUnresolved() {
  if (stage_ == Stage::kReadWinner) {
    Finish(ResultCode::kConfigurationConflict, RunState::kNotRun, last_detail_);
    return;
  }
  Finish(ResultCode::kPlatformUnavailable,
         in_doubt_ ? RunState::kUnknown : RunState::kNotRun,
         fmt::format("{}; attempt {}",
                     last_detail_.empty() ? "no reply" : last_detail_,
                     state::ToHex(change_.attempt)));
}

bool ConfigurationWriter::FinishIfRejected(StoreStatus status,
                                           const std::string& detail) {
  if (status != StoreStatus::kUnauthorized && status != StoreStatus::kRefused)
    return false;
  Finish(status == StoreStatus::kUnauthorized
             ? ResultCode::kUnauthorized
             : ResultCode::kConfigurationInvalid,
         in_doubt_ ? RunState::kUnknown : RunState::kNotRun, detail);
  return true;
}

void ConfigurationWriter::Finish(ResultCode code,
                                 RunState run_state,
                                 const std::string& detail) {
  result_ = WriteResult{code, run_state, 0, std::nullopt, detail};
  if (code == ResultCode::kOk)
    result_->version = change_.version;
}

TableTransaction ConfigurationWriter::MakeTransaction() const {
  TableTransaction transaction;
  // The change row is the first condition, so that the reply to a failed
  // transaction contains the stored change of this version.
  transaction.conditions = {{ChangeKey(change_.version), std::nullopt},
                            {std::string(kHeadKey), head_row_version_}};
  transaction.puts.push_back(
      {std::string(kHeadKey),
       Encode(ConfigurationHead{change_.version, change_.digest,
                                change_.attempt})});
  transaction.puts.push_back({ChangeKey(change_.version), Encode(change_)});
  for (const RecordedChange& change : change_.changes) {
    if (change.after)
      transaction.puts.push_back({EntryKey(change.key), *change.after});
    else
      transaction.deletes.push_back(EntryKey(change.key));
  }
  return transaction;
}

WriteResult RunWriter(ConfigurationWriter& writer,
                      TableStore& store,
                      const WriterClock& clock) {
  while (!writer.done()) {
    clock.wait_until(writer.not_before());
    const auto& request = writer.pending();
    if (const auto* read =
            std::get_if<ConfigurationWriter::ReadRowRequest>(&request)) {
      const RowReply reply = store.ReadRow(read->key);
      writer.OnReply(clock.now(), reply);
      continue;
    }
    const CommitReply reply = store.Commit(std::get<TableTransaction>(request));
    writer.OnReply(clock.now(), reply);
  }
  return writer.result();
}

}  // namespace sesamespread::coordination
