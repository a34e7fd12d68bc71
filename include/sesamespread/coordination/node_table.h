/// \file
/// Compact storage of node records; 32,000 records take a few megabytes.
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

/// The numeric form of an IPv4 or IPv6 address, or nullopt for any other text.
std::optional<NumericAddress> ParseAddress(const std::string& text);

/// The text form of \p address, which ParseAddress converts back.
std::string FormatAddress(const NumericAddress& address);

/// Assigns consecutive numbers from 0 to strings. Intended for zone and service
/// names, of which there are few; strings are never removed.
class StringInterner {
 public:
  /// The number of \p text, which is added if absent; nullopt if all 65,535
  /// numbers are in use.
  std::optional<std::uint16_t> Intern(std::string_view text);
  /// The number of \p text, or nullopt if absent.
  std::optional<std::uint16_t> Find(std::string_view text) const;
  const std::string& At(std::uint16_t number) const { return *texts_[number]; }
  std::size_t size() const { return texts_.size(); }

 private:
  std::map<std::string, std::uint16_t, std::less<>> numbers_;
  // Points to the keys of numbers_.
  std::vector<const std::string*> texts_;
};

/// Records by node id. A record stays in its slot until it is erased; freed
/// slots are reused.
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
  /// change, if the record has no name, a name longer than 255 bytes or an
  /// address that is not numeric, or if there are too many zones or services.
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

  /// True if the node counts as live although its zone is lost. Set by the
  /// owner; false for a new record.
  bool exempt_from_zone_loss(Slot slot) const {
    return rows_[slot].exempt_from_zone_loss;
  }
  void set_exempt_from_zone_loss(Slot slot, bool exempt_from_zone_loss) {
    rows_[slot].exempt_from_zone_loss = exempt_from_zone_loss;
  }

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
    bool exempt_from_zone_loss : 1 = false;
  };
  static_assert(
      sizeof(Row) <= 72,
      "the limit on the row size keeps 32,000 rows to a few megabytes");

  std::string_view NameOf(const Row& row) const;
  void StoreName(Row* row, const std::string& name);
  void CompactNames();
  void AddToIndex(Slot slot);
  void RemoveFromIndex(state::NodeId node);
  void GrowIndex();

  std::vector<Row> rows_;
  std::vector<Slot> free_;
  // Hash table with open addressing and linear probing; an entry is 0 if empty,
  // otherwise slot + 1. The size is a power of two and the load factor at most
  // 70 %.
  std::vector<std::uint32_t> index_;
  // All names concatenated; CompactNames removes those of erased records.
  std::vector<char> names_;
  std::size_t unused_name_bytes_ = 0;
  std::size_t size_ = 0;
  StringInterner zones_;
  StringInterner services_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_NODE_TABLE_H_
