/// \file
/// Compact storage of node records, so that the records of 32,000 nodes take a
/// few megabytes.
#ifndef SESAMESPREAD_COORDINATION_NODE_TABLE_H_
#define SESAMESPREAD_COORDINATION_NODE_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/node_record.h"

namespace sesamespread::coordination {

/// An IP address in network byte order; IPv4 is stored as ::ffff:a.b.c.d.
using NumericAddress = std::array<std::uint8_t, 16>;

/// The numeric form of an IPv4 or IPv6 address, or nullopt for anything else.
std::optional<NumericAddress> ParseAddress(const std::string& text);

/// The text form that ParseAddress reads back as \p address.
std::string FormatAddress(const NumericAddress& address);

/// Numbers strings from 0 on. Meant for zone and service names, of which there
/// are few; strings are never removed.
class StringInterner {
 public:
  /// The number of \p text, or nullopt if all 65,535 numbers are taken.
  std::optional<std::uint16_t> Intern(std::string_view text);
  std::optional<std::uint16_t> Find(std::string_view text) const;
  const std::string& At(std::uint16_t number) const { return *texts_[number]; }
  std::size_t size() const { return texts_.size(); }

 private:
  std::map<std::string, std::uint16_t, std::less<>> numbers_;
  // Points to the keys of numbers_.
  std::vector<const std::string*> texts_;
};

/// Records by node id. A record stays at its slot until it is erased; freed
/// slots are used again.
class NodeTable {
 public:
  using Slot = std::uint32_t;

  /// Number of records.
  std::size_t size() const { return size_; }
  /// Slots in use are below this number.
  Slot slot_count() const { return static_cast<Slot>(rows_.size()); }
  bool IsUsed(Slot slot) const { return rows_[slot].used; }

  std::optional<Slot> Find(state::NodeId node) const;

  /// Adds or replaces the record of its node. \returns nullopt, without a
  /// change, if the record has no name, an address that is not numeric or a
  /// name longer than 255 bytes.
  std::optional<Slot> Put(const state::NodeRecord& record);

  void Erase(Slot slot);

  /// The record at \p slot. \pre IsUsed(slot).
  state::NodeRecord Get(Slot slot) const;

  state::NodeId node(Slot slot) const { return rows_[slot].node; }
  state::Incarnation incarnation(Slot slot) const {
    return rows_[slot].incarnation;
  }
  std::uint32_t sequence(Slot slot) const { return rows_[slot].sequence; }
  state::Liveness liveness(Slot slot) const {
    return static_cast<state::Liveness>(rows_[slot].liveness);
  }
  state::BackendState backend_state(Slot slot) const {
    return static_cast<state::BackendState>(rows_[slot].backend_state);
  }
  void set_liveness(Slot slot, state::Liveness liveness) {
    rows_[slot].liveness = static_cast<std::uint8_t>(liveness);
  }
  state::Endpoint gossip(Slot slot) const;

  /// A mark for the owner's use, false for a new record.
  bool marked(Slot slot) const { return rows_[slot].marked; }
  void set_marked(Slot slot, bool marked) { rows_[slot].marked = marked; }

  std::uint16_t zone(Slot slot) const { return rows_[slot].zone; }
  std::uint16_t service(Slot slot) const { return rows_[slot].service; }
  StringInterner& zones() { return zones_; }
  const StringInterner& zones() const { return zones_; }
  const StringInterner& services() const { return services_; }

 private:
  struct Row {
    state::NodeId node = 0;
    state::Incarnation incarnation = 0;
    NumericAddress peer_address{};
    NumericAddress gossip_address{};
    std::uint32_t sequence = 0;
    // Position of the name in names_.
    std::uint32_t name_offset = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t gossip_port = 0;
    std::uint16_t zone = 0;
    std::uint16_t service = 0;
    std::uint8_t name_length = 0;
    std::uint8_t backend_state : 3 = 0;
    std::uint8_t liveness : 2 = 0;
    bool used : 1 = false;
    bool marked : 1 = false;
  };
  static_assert(sizeof(Row) <= 72, "32,000 rows are counted on to be small");

  std::string_view NameOf(const Row& row) const;
  void StoreName(Row* row, const std::string& name);
  void CompactNames();
  void AddToIndex(Slot slot);
  void RemoveFromIndex(state::NodeId node);
  void GrowIndex();

  std::vector<Row> rows_;
  std::vector<Slot> free_;
  // Open addressing with linear probing; 0 is empty, otherwise slot + 1. Its
  // size is a power of two and at most 70 % is used.
  std::vector<std::uint32_t> index_;
  // Names one after another; erased ones are removed by CompactNames.
  std::vector<char> names_;
  std::size_t unused_name_bytes_ = 0;
  std::size_t size_ = 0;
  StringInterner zones_;
  StringInterner services_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_NODE_TABLE_H_
