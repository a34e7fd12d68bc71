/// \file
/// Identifiers of nodes, requests and calls.
#ifndef SESAMESPREAD_STATE_IDS_H_
#define SESAMESPREAD_STATE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace sesamespread::state {

/// Id of a node that is stable across restarts: XXH3 of the node's name.
using NodeId = std::uint64_t;

/// Random id of a node process, generated at its start. A restarted node has
/// another one. An idempotency key is bound to an incarnation, because the
/// state of the key is in the memory of that process and is lost with it.
using Incarnation = std::uint64_t;

/// Id of a call on one peer link; never reused within an incarnation.
using CallId = std::uint64_t;

/// Version of the configuration; 0 means none.
using ConfigurationVersion = std::uint64_t;

/// 128-bit id of a caller's request; the same at every hop of its call chain.
struct RequestId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestId&) const = default;
};

/// Identifies one process of a node, from its start to its stop.
struct NodeIncarnation {
  NodeId node = 0;
  Incarnation incarnation = 0;

  auto operator<=>(const NodeIncarnation&) const = default;
};

/// 64-bit XXH3 hash of \p text. It is the same on every host and in every
/// build.
std::uint64_t HashOf(std::string_view text);

/// 64-bit XXH3 hash of \p value with \p seed, for rendezvous hashing and
/// priorities.
std::uint64_t HashOf(std::uint64_t seed, std::uint64_t value);

/// The id of the node with the name \p name.
inline NodeId NodeIdOf(std::string_view name) {
  return HashOf(name);
}

/// Formats \p id as 32 lower-case hexadecimal digits.
std::string ToHex(const RequestId& id);

/// Formats \p value as 16 lower-case hexadecimal digits.
std::string ToHex(std::uint64_t value);

/// Parses 1 to 16 hexadecimal digits. \returns false if \p text is anything
/// else.
bool ParseHex(std::string_view text, std::uint64_t* value);

}  // namespace sesamespread::state

template <>
struct std::hash<sesamespread::state::RequestId> {
  std::size_t operator()(const sesamespread::state::RequestId& id) const {
    return id.high ^ (id.low * 0x9E3779B97F4A7C15ULL);
  }
};

#endif  // SESAMESPREAD_STATE_IDS_H_
