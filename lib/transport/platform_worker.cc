/// \file
/// The platform thread of a node.
#include "sesamespread/transport/platform_worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sesamespread/coordination/configuration_rows.h"
#include "sesamespread/coordination/idempotency.h"

namespace sesamespread::transport {
namespace {

using coordination::ClaimRow;
using coordination::ClaimTableReply;
using coordination::ClaimTableRequest;
using coordination::StoreStatus;

constexpr std::size_t kRingCapacity = 256;

// Rows read in one call; the platform serves about 2,000 reads/s.
constexpr std::size_t kRowsPerRead = 200;

// A claim's row is its key's system-issued text, which names the executor.
std::string EncodeClaim(const ClaimRow& row) {
  return coordination::FormatKey(coordination::BindingOf(row));
}

std::optional<ClaimRow> DecodeClaim(const std::string& key,
                                    const std::string& value) {
  const auto binding = coordination::ParseKey(value);
  if (!binding)
    return std::nullopt;
  return ClaimRow{key, binding->executor, binding->issued_ms};
}

ClaimTableReply::Status ClaimStatus(StoreStatus status) {
  if (status == StoreStatus::kDone)
    return ClaimTableReply::Status::kDone;
  if (status == StoreStatus::kNoReply)
    return ClaimTableReply::Status::kLost;
  return ClaimTableReply::Status::kUnavailable;
}

}  // namespace

PlatformWorker::PlatformWorker(coordination::TableStore& table,
                               coordination::ObjectStore& objects,
                               EventLog& log,
                               PlatformEvents& events)
    : table_(table),
      objects_(objects),
      log_(log),
      events_(events),
      from_control_(kRingCapacity, [this] { work_.release(); }),
      from_data_(kRingCapacity, [this] { work_.release(); }),
      thread_([this] { Run(); }) {}

PlatformWorker::~PlatformWorker() {
  stopping_ = true;
  work_.release();
  thread_.join();
}

void PlatformWorker::ReadHead() {
  if (head_waiting_.exchange(true))
    return;
  if (!from_control_.Push([this] { DoReadHead(); }))
    head_waiting_ = false;
}

void PlatformWorker::Read(const coordination::PlatformReadOrder& order) {
  from_control_.Push([this, order] { DoRead(order); });
}

void PlatformWorker::Claim(ClaimTableRequest request) {
  // If the ring is full the committer counts the batch as lost and reads back.
  from_data_.Push([this, request = std::move(request)] { DoClaim(request); });
}

void PlatformWorker::Run() {
  while (!stopping_) {
    work_.acquire();
    // Requests of callers go before reads of the configuration.
    DrainClaims();
    from_control_.Drain([this](const Task& task) {
      if (!stopping_)
        task();
      DrainClaims();
    });
  }
}

// Once the node stops nobody waits for an answer, and each call may take as
// long as its timeout, so that the rest is dropped.
void PlatformWorker::DrainClaims() {
  from_data_.Drain([this](const Task& claim) {
    if (!stopping_)
      claim();
  });
}

void PlatformWorker::DoReadHead() {
  head_waiting_ = false;
  const coordination::RowReply reply = table_.ReadRow(coordination::kHeadKey);
  if (reply.status != StoreStatus::kDone) {
    LogFailure("read_head", reply.status);
    return;
  }
  if (!reply.row)
    return;
  try {
    const auto head = coordination::ParseHead(reply.row->value);
    events_.OnPlatformHead(head.version, head.digest);
  } catch (const state::Error& error) {
    log_.Write(Duty::kPlatform, LogLevel::kError, "platform_row_invalid",
               {{"row", std::string(coordination::kHeadKey)},
                {"detail", error.what()}});
  }
}

void PlatformWorker::DoRead(const coordination::PlatformReadOrder& order) {
  if (order.full) {
    ReadFull();
    return;
  }
  const coordination::RangeReply reply = table_.ReadRange(
      coordination::kChangePrefix, coordination::ChangeKey(order.first - 1),
      std::min<std::size_t>(order.last - order.first + 1, kRowsPerRead));
  if (reply.status != StoreStatus::kDone) {
    LogFailure("read_changes", reply.status);
    return;
  }
  try {
    for (const coordination::TableRow& row : reply.rows)
      events_.OnPlatformDelta(
          coordination::ParseChangeRecord(row.value).ToDelta(), false);
  } catch (const state::Error& error) {
    log_.Write(Duty::kPlatform, LogLevel::kError, "platform_row_invalid",
               {{"row", "config/change"}, {"detail", error.what()}});
  }
}

// Reads the snapshot of the object store, which spares the table; the changes
// since then follow as deltas.
void PlatformWorker::ReadFull() {
  const coordination::ObjectReply reply =
      objects_.GetObject(coordination::kSnapshotObject);
  if (reply.status != StoreStatus::kDone) {
    LogFailure("read_snapshot", reply.status);
    return;
  }
  if (!reply.content) {
    // A configuration of few versions has no snapshot yet.
    DoRead({false, 1, kRowsPerRead});
    return;
  }
  try {
    const state::Configuration snapshot =
        coordination::ParseSnapshot(*reply.content);
    state::ConfigurationDelta delta;
    delta.to = snapshot.version();
    delta.digest = snapshot.digest();
    delta.changes = state::Configuration().DifferenceTo(snapshot.entries());
    events_.OnPlatformDelta(std::move(delta), true);
  } catch (const state::Error& error) {
    log_.Write(Duty::kPlatform, LogLevel::kError, "platform_row_invalid",
               {{"row", std::string(coordination::kSnapshotObject)},
                {"detail", error.what()}});
  }
}

void PlatformWorker::DoClaim(const ClaimTableRequest& request) {
  if (request.kind == ClaimTableRequest::Kind::kRead)
    events_.OnClaimReply(ReadClaims(request));
  else
    events_.OnClaimReply(InsertIfAbsent(request));
}

// A transaction fails as a whole if one row exists. That row is left out and
// the rest is tried again, so that one repeated order does not hold up others.
ClaimTableReply PlatformWorker::InsertIfAbsent(
    const ClaimTableRequest& request) {
  ClaimTableReply reply;
  reply.id = request.id;
  reply.rows.resize(request.rows.size());
  std::vector<bool> settled(request.rows.size(), false);
  for (std::size_t attempt = 0; attempt <= request.rows.size(); ++attempt) {
    coordination::TableTransaction transaction;
    for (std::size_t i = 0; i < request.rows.size(); ++i) {
      if (settled[i])
        continue;
      transaction.conditions.push_back({request.rows[i].key, std::nullopt});
      transaction.puts.push_back(
          {request.rows[i].key, EncodeClaim(request.rows[i])});
    }
    if (transaction.puts.empty())
      break;
    const coordination::CommitReply commit = table_.Commit(transaction);
    if (commit.status != StoreStatus::kConditionFailed) {
      reply.status = ClaimStatus(commit.status);
      if (reply.status != ClaimTableReply::Status::kDone)
        LogFailure("insert_claims", commit.status);
      for (std::size_t i = 0; i < request.rows.size(); ++i) {
        if (!settled[i])
          reply.rows[i] = request.rows[i];
      }
      return reply;
    }
    for (std::size_t i = 0; i < request.rows.size(); ++i) {
      if (request.rows[i].key != commit.failed_key || !commit.current_value)
        continue;
      settled[i] = true;
      reply.rows[i] = DecodeClaim(commit.failed_key, *commit.current_value);
    }
  }
  reply.status = ClaimTableReply::Status::kDone;
  return reply;
}

ClaimTableReply PlatformWorker::ReadClaims(const ClaimTableRequest& request) {
  ClaimTableReply reply;
  reply.id = request.id;
  reply.status = ClaimTableReply::Status::kDone;
  for (const ClaimRow& wanted : request.rows) {
    const coordination::RowReply row = table_.ReadRow(wanted.key);
    if (row.status != StoreStatus::kDone) {
      reply.status = ClaimStatus(row.status);
      LogFailure("read_claims", row.status);
      return reply;
    }
    reply.rows.push_back(row.row ? DecodeClaim(wanted.key, row.row->value)
                                 : std::nullopt);
  }
  return reply;
}

void PlatformWorker::LogFailure(const char* what, StoreStatus status) {
  log_.Write(
      Duty::kPlatform, LogLevel::kWarning, "platform_call_failed",
      {{"call", what}, {"status", std::to_string(static_cast<int>(status))}});
}

}  // namespace sesamespread::transport
