/// \file
/// Range reads of the platform's table, and rebuilding of older versions.
#include "sesamespread/coordination/configuration_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sesamespread/state/result_code.h"

namespace sesamespread::coordination {
namespace {

using state::Error;
using state::ResultCode;

// Limit of reads of a content that changes during each read. Even at one change
// per second, a change rarely falls into two reads in a row.
constexpr int kMaxContentReads = 5;

void ThrowIfFailed(StoreStatus status, const std::string& detail) {
  if (status == StoreStatus::kDone)
    return;
  throw Error(status == StoreStatus::kUnauthorized
                  ? ResultCode::kUnauthorized
                  : ResultCode::kPlatformUnavailable,
              detail);
}

state::Configuration::Entries ReadEntries(TableStore& store) {
  state::Configuration::Entries entries;
  std::string after;
  while (true) {
    RangeReply reply = store.ReadRange(kEntryPrefix, after, kRowsPerRead);
    ThrowIfFailed(reply.status, reply.detail);
    for (TableRow& row : reply.rows)
      entries[row.key.substr(kEntryPrefix.size())] = std::move(row.value);
    if (reply.rows.size() < kRowsPerRead)
      return entries;
    after = reply.rows.back().key;
  }
}

std::uint64_t ComputeDigest(const state::Configuration::Entries& entries) {
  std::uint64_t digest = 0;
  for (const auto& [key, value] : entries)
    digest ^= state::EntryHash(key, value);
  return digest;
}

// All records from version `from` + 1 to `to`; throws if one is missing.
std::vector<ChangeRecord> ReadChangesBetween(TableStore& store,
                                             state::ConfigurationVersion from,
                                             state::ConfigurationVersion to) {
  std::vector<ChangeRecord> records;
  state::ConfigurationVersion last = from;
  while (last < to) {
    for (ChangeRecord& record : ReadChangesAfter(store, last, kRowsPerRead)) {
      if (record.version > to)
        break;
      records.push_back(std::move(record));
    }
    if (records.empty() || records.back().version <= last)
      break;
    last = records.back().version;
  }
  if (records.size() != to - from)
    throw Error(ResultCode::kVersionNotFound,
                fmt::format("the history from version {} to {} is incomplete",
                            from, to));
  return records;
}

}  // namespace

ConfigurationHead ReadHead(TableStore& store) {
  const RowReply reply = store.ReadRow(kHeadKey);
  ThrowIfFailed(reply.status, reply.detail);
  return reply.row ? ParseHead(reply.row->value) : ConfigurationHead{};
}

std::vector<ChangeRecord> ReadChangesAfter(TableStore& store,
                                           state::ConfigurationVersion version,
                                           std::size_t limit) {
  const RangeReply reply =
      store.ReadRange(kChangePrefix, ChangeKey(version), limit);
  ThrowIfFailed(reply.status, reply.detail);
  std::vector<ChangeRecord> records;
  for (const TableRow& row : reply.rows)
    records.push_back(ParseChangeRecord(row.value));
  return records;
}

state::Configuration ReadContent(TableStore& store) {
  for (int read = 0; read < kMaxContentReads; ++read) {
    const ConfigurationHead head = ReadHead(store);
    state::Configuration::Entries entries = ReadEntries(store);
    if (ComputeDigest(entries) == head.digest)
      return {head.version, std::move(entries)};
  }
  throw Error(
      ResultCode::kPlatformUnavailable,
      fmt::format("the content differed from the head's digest in {} reads",
                  kMaxContentReads));
}

state::Configuration ReadContentAt(TableStore& store,
                                   state::ConfigurationVersion version) {
  state::Configuration current = ReadContent(store);
  if (version == current.version())
    return current;
  if (version > current.version() || version == 0)
    throw Error(ResultCode::kVersionNotFound,
                fmt::format("there is no version {}; the newest is {}", version,
                            current.version()));
  // The record of `version` itself holds the digest to verify.
  const auto records =
      ReadChangesBetween(store, version - 1, current.version());
  state::Configuration::Entries entries = current.entries();
  for (auto record = records.rbegin(); record + 1 != records.rend(); ++record) {
    for (const RecordedChange& change : record->changes) {
      if (change.before)
        entries[change.key] = *change.before;
      else
        entries.erase(change.key);
    }
  }
  if (ComputeDigest(entries) != records.front().digest)
    throw Error(ResultCode::kConfigurationInvalid,
                fmt::format("version {} rebuilt from the history does not "
                            "match its digest",
                            version));
  return {version, std::move(entries)};
}

}  // namespace sesamespread::coordination
