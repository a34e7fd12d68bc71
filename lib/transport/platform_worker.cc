/// \file
/// Implements the platform thread of a node.
#include "sesamespread/transport/platform_worker.h"

#include <utility>

#include "sesamespread/coordination/configuration_reader.h"
#include "sesamespread/coordination/configuration_rows.h"
#include "sesamespread/coordination/idempotency.h"

namespace sesamespread::transport {
namespace {

using coordination::ClaimRow;
using coordination::ClaimTableReply;
using coordination::ClaimTableRequest;
using coordination::StoreStatus;

// Reads or claims that wait in one ring.
constexpr std::size_t kRingCapacity = 256;

// Encodes a claim as the value of its row: the text of a system-issued key,
// which contains the executor.
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
      read_tasks_(kRingCapacity, [this] { work_available_.release(); }),
      claim_tasks_(kRingCapacity, [this] { work_available_.release(); }),
      thread_([this] { Run(); }) {}

PlatformWorker::~PlatformWorker() {
  stopping_ = true;
  work_available_.release();
  thread_.join();
}

void PlatformWorker::ReadHead() {
  if (head_read_queued_.exchange(true))
    return;
  if (!read_tasks_.Push([this] { DoReadHead(); }))
    head_read_queued_ = false;
}

void PlatformWorker::Read(
    const coordination::PlatformReadRequest& read_request) {
  read_tasks_.Push([this, read_request] { DoRead(read_request); });
}

void PlatformWorker::Claim(ClaimTableRequest request) {
  // If the ring is full, the committer gets no reply, counts the batch as lost
  // and reads the rows back.
  claim_tasks_.Push([this, request = std::move(request)] { DoClaim(request); });
}

void PlatformWorker::Run() {
  while (!stopping_) {
    work_available_.acquire();
    // Callers' requests wait for claims, so claims run before reads of the
    // configuration.
    DrainClaims();
    read_tasks_.Drain([this](const Task& task) {
      if (!stopping_)
        task();
      DrainClaims();
    });
  }
}

// Executes the queued claims. They are dropped once the worker stops: nothing
// waits for their results any more, and each call may take as long as its
// timeout.
void PlatformWorker::DrainClaims() {
  claim_tasks_.Drain([this](const Task& claim) {
    if (!stopping_)
      claim();
  });
}

void PlatformWorker::DoReadHead() {
  head_read_queued_ = false;
  RunAndLogErrors("read_head", [this] {
    const auto head = coordination::ReadHead(table_);
    if (head.version > 0)
      events_.OnPlatformHead(head.version, head.digest);
  });
}

void PlatformWorker::DoRead(
    const coordination::PlatformReadRequest& read_request) {
  if (read_request.full) {
    RunAndLogErrors("read_snapshot", [this] { ReadFull(); });
    return;
  }
  RunAndLogErrors("read_changes", [this, &read_request] {
    const std::size_t count = read_request.last - read_request.first + 1;
    for (const coordination::ChangeRecord& change :
         coordination::ReadChangesAfter(table_, read_request.first - 1, count))
      events_.OnPlatformDelta(change.ToDelta(), false);
  });
}

// Reads the snapshot from the object store, which saves reads of the table;
// changes made after the snapshot are read as deltas. A configuration with few
// versions has no snapshot yet and is read from the table.
void PlatformWorker::ReadFull() {
  const coordination::ObjectReply reply =
      objects_.GetObject(coordination::kSnapshotObject);
  const state::Configuration content =
      reply.content ? coordination::ParseSnapshot(*reply.content)
                    : coordination::ReadContent(table_);
  state::ConfigurationDelta delta;
  delta.to = content.version();
  delta.digest = content.digest();
  delta.changes = state::Configuration().DifferenceTo(content.entries());
  events_.OnPlatformDelta(std::move(delta), true);
}

void PlatformWorker::RunAndLogErrors(const char* call,
                                     const std::function<void()>& read) {
  try {
    read();
  } catch (const state::Error& error) {
    log_.Write(ThreadRole::kPlatform, LogLevel::kWarning,
               "platform_call_failed",
               {{"call", call},
                {"result", std::to_string(static_cast<int>(error.code()))},
                {"detail", error.what()}});
  }
}

void PlatformWorker::DoClaim(const ClaimTableRequest& request) {
  if (request.kind == ClaimTableRequest::Kind::kRead)
    events_.OnClaimReply(ReadClaims(request));
  else
    events_.OnClaimReply(InsertIfAbsent(request));
}

// A transaction fails as a whole if one of its rows exists. The transaction is
// then repeated without that row, so that one repeated request does not block
// the other claims of its batch.
ClaimTableReply PlatformWorker::InsertIfAbsent(
    const ClaimTableRequest& request) {
  ClaimTableReply reply;
  reply.id = request.id;
  reply.rows.resize(request.rows.size());
  std::vector<bool> present(request.rows.size(), false);
  for (std::size_t attempt = 0; attempt <= request.rows.size(); ++attempt) {
    coordination::TableTransaction transaction;
    for (std::size_t i = 0; i < request.rows.size(); ++i) {
      if (present[i])
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
        if (!present[i])
          reply.rows[i] = request.rows[i];
      }
      return reply;
    }
    for (std::size_t i = 0; i < request.rows.size(); ++i) {
      if (request.rows[i].key != commit.failed_key || !commit.current_value)
        continue;
      present[i] = true;
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

void PlatformWorker::LogFailure(const char* call_name, StoreStatus status) {
  log_.Write(ThreadRole::kPlatform, LogLevel::kWarning, "platform_call_failed",
             {{"call", call_name},
              {"status", std::to_string(static_cast<int>(status))}});
}

}  // namespace sesamespread::transport
