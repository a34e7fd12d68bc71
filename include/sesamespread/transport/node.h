/// \file
/// A node with its data, control and platform threads, and its graceful
/// shutdown.
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
  /// Why Run returned.
  enum class ExitReason : std::uint8_t {
    /// All requests in flight were answered.
    kDrained,
    /// The shutdown timeout or a second signal ended the requests in flight.
    kForced,
  };

  /// Opens all ports and starts the threads.
  /// \throws std::system_error if a port is in use, Error if a token file
  /// cannot be read.
  explicit Node(const state::NodeSettings& settings);
  ~Node();

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  NodePorts ports() const;

  /// Runs until SIGTERM, SIGINT or an operator's drain request, and then shuts
  /// down gracefully: the node accepts no new work and waits for the requests
  /// in flight, at most for the shutdown timeout. A second signal ends them at
  /// once.
  ExitReason Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_NODE_H_
