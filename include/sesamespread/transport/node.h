/// \file
/// A node: its duties, the rings between them, and its graceful shutdown.
#ifndef SESAMESPREAD_TRANSPORT_NODE_H_
#define SESAMESPREAD_TRANSPORT_NODE_H_

#include <memory>

#include "sesamespread/state/settings.h"

namespace sesamespread::transport {

/// Ports that a node listens on.
struct NodePorts {
  std::uint16_t caller = 0;
  std::uint16_t backend = 0;
  std::uint16_t peer = 0;
  std::uint16_t gossip = 0;
  std::uint16_t operators = 0;
};

/// One node in this process.
class Node {
 public:
  /// How Run ended.
  enum class ExitReason : std::uint8_t {
    /// Everything in flight was answered.
    kDrained,
    /// The shutdown timeout or a second signal ended what was in flight.
    kForced,
  };

  /// Opens all ports and starts the duties' threads.
  /// \throws std::system_error if a port is in use, Error if a token file can't
  /// be read.
  explicit Node(const state::NodeSettings& settings);
  ~Node();

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  NodePorts ports() const;

  /// Waits for SIGTERM or SIGINT, or a drain asked for by an operator, then
  /// shuts down: the first signal stops new work and waits for what is in
  /// flight, up to the shutdown timeout; a second one ends it at once.
  ExitReason Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_NODE_H_
