/// \file
/// Upper bounds of the encoded size of gossip messages.
#include "sesamespread/coordination/gossip.h"

#include <algorithm>

namespace sesamespread::coordination {
namespace {

// Sizes of the FlatBuffers encoding in bytes. A string has a 4-byte length, a
// terminator and up to 3 bytes of padding; a table has its own fields and the
// offset to its vtable, aligned to 8 bytes. A vtable is written once for each
// set of fields that differ from their defaults.
constexpr std::size_t kStringOverhead = 8;
constexpr std::size_t kRecordTable = 64;
constexpr std::size_t kRecordVtable = 28;
// Records differ in which of the fields sequence, service, backend state and
// liveness have their defaults and are omitted.
constexpr std::size_t kMaxRecordVtables = 8;
constexpr std::size_t kZoneTable = 24;
constexpr std::size_t kMessageTable = 140;
constexpr std::size_t kVectorEntry = 4;

std::size_t StringBound(const std::string& text) {
  return text.size() + kStringOverhead;
}

}  // namespace

std::size_t EncodedBytesBound(const state::NodeRecord& record) {
  // An address that is the same for both endpoints is written once.
  const std::size_t gossip_address =
      record.gossip.address == record.peer.address
          ? 0
          : StringBound(record.gossip.address);
  return kRecordTable + kVectorEntry + StringBound(record.name) +
         StringBound(record.zone) + StringBound(record.peer.address) +
         gossip_address + StringBound(record.service);
}

std::size_t EncodedBytesBound(const ZoneRecord& record) {
  return kZoneTable + kVectorEntry + StringBound(record.zone);
}

std::size_t EncodedBytesBound(const GossipMessage& message) {
  std::size_t records = message.updates.size() + 1;
  std::size_t bytes = kMessageTable + EncodedBytesBound(message.from);
  if (message.kind == GossipKind::kIndirectProbe) {
    bytes += EncodedBytesBound(message.target);
    ++records;
  }
  for (const state::NodeRecord& record : message.updates)
    bytes += EncodedBytesBound(record);
  for (const ZoneRecord& zone : message.zones)
    bytes += EncodedBytesBound(zone);
  return bytes + kRecordVtable * std::min(records, kMaxRecordVtables);
}

}  // namespace sesamespread::coordination
