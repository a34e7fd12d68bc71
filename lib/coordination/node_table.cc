/// \file
/// Rows of fixed size with interned strings, and a hash index of the rows.
#include "sesamespread/coordination/node_table.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cassert>
#include <cstring>
#include <limits>

namespace sesamespread::coordination {
namespace {

constexpr std::size_t kMaxNameLength = 255;
constexpr std::size_t kMinIndexSize = 64;
// Names are compacted when at least this many bytes and half of all are unused.
constexpr std::size_t kMinUnusedNameBytes = 64 << 10;
// Vectors grow by a quarter instead of doubling, because with doubling up to
// half of the memory of the rows, the largest part of the table, would be
// unused.
constexpr std::size_t kMinGrowth = 64;

constexpr std::array<std::uint8_t, 12> kMappedPrefix = {0, 0, 0, 0, 0,    0,
                                                        0, 0, 0, 0, 0xff, 0xff};

template <typename T>
void ReserveFor(std::vector<T>* vector, std::size_t extra) {
  const std::size_t needed = vector->size() + extra;
  if (needed > vector->capacity())
    vector->reserve(needed + needed / 4 + kMinGrowth);
}

// The preferred index of a node. Node ids are hashes, so their low bits are
// used directly.
std::size_t HomeIndex(state::NodeId node, std::size_t index_size) {
  return static_cast<std::size_t>(node) & (index_size - 1);
}

}  // namespace

std::optional<NumericAddress> ParseAddress(const std::string& text) {
  NumericAddress address{};
  if (inet_pton(AF_INET6, text.c_str(), address.data()) == 1)
    return address;
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), address.begin());
  if (inet_pton(AF_INET, text.c_str(), address.data() + kMappedPrefix.size()) ==
      1)
    return address;
  return std::nullopt;
}

std::string FormatAddress(const NumericAddress& address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  const bool mapped =
      std::equal(kMappedPrefix.begin(), kMappedPrefix.end(), address.begin());
  const char* formatted =
      mapped ? inet_ntop(AF_INET, address.data() + kMappedPrefix.size(),
                         text.data(), text.size())
             : inet_ntop(AF_INET6, address.data(), text.data(), text.size());
  assert(formatted && "the buffer fits any address");
  return formatted;
}

std::optional<std::uint16_t> StringInterner::Intern(std::string_view text) {
  if (const auto found = Find(text))
    return found;
  if (texts_.size() >= std::numeric_limits<std::uint16_t>::max())
    return std::nullopt;
  const auto number = static_cast<std::uint16_t>(texts_.size());
  const auto [entry, added] = numbers_.emplace(std::string(text), number);
  texts_.push_back(&entry->first);
  return number;
}

std::optional<std::uint16_t> StringInterner::Find(std::string_view text) const {
  const auto found = numbers_.find(text);
  if (found == numbers_.end())
    return std::nullopt;
  return found->second;
}

std::optional<NodeTable::Slot> NodeTable::Find(state::NodeId node) const {
  if (index_.empty())
    return std::nullopt;
  const std::size_t mask = index_.size() - 1;
  for (std::size_t i = HomeIndex(node, index_.size()); index_[i] != 0;
       i = (i + 1) & mask) {
    if (rows_[index_[i] - 1].node == node)
      return index_[i] - 1;
  }
  return std::nullopt;
}

std::optional<NodeTable::Slot> NodeTable::Put(const state::NodeRecord& record) {
  if (record.name.empty() || record.name.size() > kMaxNameLength)
    return std::nullopt;
  const auto peer = ParseAddress(record.peer.address);
  const auto gossip = ParseAddress(record.gossip.address);
  if (!peer || !gossip)
    return std::nullopt;
  const auto zone = zones_.Intern(record.zone);
  const auto service = services_.Intern(record.service);
  if (!zone || !service)
    return std::nullopt;

  const auto found = Find(record.node);
  Slot slot = 0;
  if (found) {
    slot = *found;
  } else if (!free_.empty()) {
    slot = free_.back();
    free_.pop_back();
  } else {
    ReserveFor(&rows_, 1);
    slot = slot_count();
    rows_.emplace_back();
  }
  Row& row = rows_[slot];
  if (!found)
    row = Row();
  StoreName(&row, record.name);
  row.used = true;
  row.node = record.node;
  row.incarnation = record.incarnation;
  row.sequence = record.sequence;
  row.peer_address = *peer;
  row.peer_port = record.peer.port;
  row.gossip_address = *gossip;
  row.gossip_port = record.gossip.port;
  row.zone = *zone;
  row.service = *service;
  row.backend_state = static_cast<std::uint8_t>(record.backend_state);
  row.liveness = static_cast<std::uint8_t>(record.liveness);
  if (!found) {
    ++size_;
    AddToIndex(slot);
  }
  return slot;
}

void NodeTable::Erase(Slot slot) {
  assert(IsUsed(slot) && "erased a free slot");
  RemoveFromIndex(rows_[slot].node);
  unused_name_bytes_ += rows_[slot].name_length;
  rows_[slot] = Row();
  free_.push_back(slot);
  --size_;
  CompactNames();
}

state::NodeRecord NodeTable::Get(Slot slot) const {
  assert(IsUsed(slot) && "read a free slot");
  const Row& row = rows_[slot];
  state::NodeRecord record;
  record.node = row.node;
  record.incarnation = row.incarnation;
  record.sequence = row.sequence;
  record.name = NameOf(row);
  record.zone = zones_.At(row.zone);
  record.peer = {FormatAddress(row.peer_address), row.peer_port};
  record.gossip = gossip(slot);
  record.service = services_.At(row.service);
  record.backend_state = backend_state(slot);
  record.liveness = liveness(slot);
  return record;
}

state::Endpoint NodeTable::gossip(Slot slot) const {
  const Row& row = rows_[slot];
  return {FormatAddress(row.gossip_address), row.gossip_port};
}

std::string_view NodeTable::NameOf(const Row& row) const {
  return {names_.data() + row.name_offset, row.name_length};
}

void NodeTable::StoreName(Row* row, const std::string& name) {
  if (row->name_length > 0 && NameOf(*row) == name)
    return;
  unused_name_bytes_ += row->name_length;
  ReserveFor(&names_, name.size());
  row->name_offset = static_cast<std::uint32_t>(names_.size());
  row->name_length = static_cast<std::uint8_t>(name.size());
  names_.insert(names_.end(), name.begin(), name.end());
}

void NodeTable::CompactNames() {
  if (unused_name_bytes_ < kMinUnusedNameBytes ||
      unused_name_bytes_ < names_.size() / 2)
    return;
  std::vector<char> compact;
  compact.reserve(names_.size() - unused_name_bytes_);
  for (Row& row : rows_) {
    if (!row.used)
      continue;
    const std::string_view name = NameOf(row);
    const auto offset = static_cast<std::uint32_t>(compact.size());
    compact.insert(compact.end(), name.begin(), name.end());
    row.name_offset = offset;
  }
  names_ = std::move(compact);
  unused_name_bytes_ = 0;
}

void NodeTable::AddToIndex(Slot slot) {
  if ((size_ + 1) * 10 > index_.size() * 7) {
    GrowIndex();  // Adds all used slots, including this one.
    return;
  }
  const std::size_t mask = index_.size() - 1;
  std::size_t i = HomeIndex(rows_[slot].node, index_.size());
  while (index_[i] != 0)
    i = (i + 1) & mask;
  index_[i] = slot + 1;
}

void NodeTable::RemoveFromIndex(state::NodeId node) {
  const std::size_t mask = index_.size() - 1;
  std::size_t hole = HomeIndex(node, index_.size());
  while (rows_[index_[hole] - 1].node != node)
    hole = (hole + 1) & mask;
  // Backward-shift deletion: moves later entries of the probe sequence into the
  // hole, unless that places them before their home index.
  for (std::size_t i = (hole + 1) & mask; index_[i] != 0; i = (i + 1) & mask) {
    const std::size_t home =
        HomeIndex(rows_[index_[i] - 1].node, index_.size());
    if (((i - home) & mask) < ((i - hole) & mask))
      continue;
    index_[hole] = index_[i];
    hole = i;
  }
  index_[hole] = 0;
}

void NodeTable::GrowIndex() {
  const std::size_t size = std::max(kMinIndexSize, index_.size() * 2);
  index_.assign(size, 0);
  const std::size_t mask = size - 1;
  for (Slot slot = 0; slot < slot_count(); ++slot) {
    if (!rows_[slot].used)
      continue;
    std::size_t i = HomeIndex(rows_[slot].node, size);
    while (index_[i] != 0)
      i = (i + 1) & mask;
    index_[i] = slot + 1;
  }
}

}  // namespace sesamespread::coordination
