/// \file
/// Chooses the node from which newer routes are pulled.
#ifndef SESAMESPREAD_COORDINATION_VERSION_SOURCES_H_
#define SESAMESPREAD_COORDINATION_VERSION_SOURCES_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Remembers the last nodes that showed a newer version. One is asked at a
/// time: a node that starts without the store hears of the routes from all
/// others at once, and each would send the whole document.
class VersionSources {
 public:
  /// \p node has \p version in force.
  void OnVersionSeen(state::NodeId node, std::uint64_t version);

  /// The node to ask now for a version above \p have; nullopt if there is none,
  /// or the last one was asked a moment ago and may still answer.
  std::optional<state::NodeId> NextSource(std::uint64_t have,
                                          state::Instant now);

 private:
  struct Source {
    state::NodeId node = 0;
    std::uint64_t version = 0;
  };

  // The one that was heard of last is at the back.
  std::deque<Source> sources_;
  std::optional<state::Instant> asked_at_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_VERSION_SOURCES_H_
