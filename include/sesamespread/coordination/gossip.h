/// \file
/// Values that membership exchanges in datagrams, and an upper bound of their
/// encoded size. The codec is in protocol/codec.h.
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

/// Loss of most nodes of an availability zone.
struct ZoneRecord {
  std::string zone;
  bool lost = false;
  /// Raised by each loss and each recovery. Of two records with the same
  /// sequence, the one that says lost wins, so that a recovery has to raise it.
  std::uint32_t sequence = 0;

  auto operator<=>(const ZoneRecord&) const = default;
};

/// Kinds of datagrams.
enum class GossipKind : std::uint8_t {
  kProbe = 0,
  kProbeAck = 1,
  /// Asks the receiver to probe `target` and to pass on its ack.
  kIndirectProbe = 2,
  /// A probe of a node that knows only its seeds.
  kJoin = 3,
  /// Carries urgent updates or a new configuration version; not acknowledged.
  kPush = 4,
};

/// Set in the token of a probe whose ack should carry no updates, as with the
/// many probes of a zone sample.
constexpr std::uint64_t kBareAckBit = 1;

/// One datagram.
struct GossipMessage {
  GossipKind kind = GossipKind::kProbe;
  /// Pairs an ack with its probe; see kBareAckBit.
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
