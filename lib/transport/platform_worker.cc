/// \file
/// The platform thread of a node.
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

constexpr std::size_t kRingCapacity = 256;

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
  Guard("read_head", [this] {
    const auto head = coordination::ReadHead(table_);
    if (head.version > 0)
      events_.OnPlatformHead(head.version, head.digest);
  });
}

void PlatformWorker::DoRead(const coordination::PlatformReadOrder& order) {
  if (order.full) {
    Guard("read_snapshot", [this] { ReadFull(); });
    return;
  }
  Guard("read_changes", [this, &order] {
    const std::size_t count = order.last - order.first + 1;
    for (const coordination::ChangeRecord& change :
         coordination::ReadChangesAfter(table_, order.first - 1, count))
      events_.OnPlatformDelta(change.ToDelta(), false);
  });
}

// Reads the snapshot of the object store, which spares the table; the changes
// since then follow as deltas. A configuration of few versions has none yet.
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

void PlatformWorker::Guard(const char* call,
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
      ThreadRole::kPlatform, LogLevel::kWarning, "platform_call_failed",
      {{"call", what}, {"status", std::to_string(static_cast<int>(status))}});
}

}  // namespace sesamespread::transport
