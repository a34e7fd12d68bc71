/// \file
/// The messages that membership exchanges in datagrams, and upper bounds of
/// their encoded size. The codec is in protocol/codec.h.
#ifndef SESAMESPREAD_COORDINATION_GOSSIP_H_
#define SESAMESPREAD_COORDINATION_GOSSIP_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/node_record.h"

namespace sesamespread::coordination {

/// Largest datagram: below the usual MTU, so that it is not fragmented.
constexpr std::size_t kMaxDatagramBytes = 1400;

/// IPv4 and UDP headers, counted in the byte budget.
constexpr std::size_t kDatagramHeaderBytes = 28;

/// Whether most nodes of an availability zone are lost.
struct ZoneRecord {
  std::string zone;
  bool lost = false;
  /// Incremented by each loss and each recovery. Of two records with the same
  /// sequence, the one with `lost` set takes precedence, so a recovery must
  /// increment it.
  std::uint32_t sequence = 0;

  auto operator<=>(const ZoneRecord&) const = default;
};

/// Kinds of datagrams.
enum class GossipKind : std::uint8_t {
  kProbe = 0,
  kProbeAck = 1,
  /// Requests the receiver to probe `target` and to forward its ack.
  kIndirectProbe = 2,
  /// A probe that a node sends to a seed to join, or to merge with nodes that
  /// it has no records of. Its ack also carries the lost zones.
  kJoin = 3,
  /// Carries updates or a new configuration version; not acknowledged.
  kPush = 4,
};

/// Set in the token of a probe to request a bare ack, which carries no updates.
/// Saves bytes where many acks arrive together, as in a zone check, or when the
/// byte budget is exhausted.
constexpr std::uint64_t kBareAckBit = 1;

/// One datagram.
struct GossipMessage {
  GossipKind kind = GossipKind::kProbe;
  /// The same in a probe and its ack; see kBareAckBit.
  std::uint64_t token = 0;
  state::NodeRecord from;
  /// For kIndirectProbe only.
  state::NodeRecord target;
  state::ConfigurationVersion configuration_version = 0;
  std::uint64_t configuration_digest = 0;
  std::vector<state::NodeRecord> updates;
  std::vector<ZoneRecord> zones;

  auto operator<=>(const GossipMessage&) const = default;
};

/// Upper bounds of the encoded size in bytes.
std::size_t EncodedBytesBound(const state::NodeRecord& record);
std::size_t EncodedBytesBound(const ZoneRecord& record);
/// Bound of a whole datagram without its IP and UDP headers.
std::size_t EncodedBytesBound(const GossipMessage& message);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_GOSSIP_H_
