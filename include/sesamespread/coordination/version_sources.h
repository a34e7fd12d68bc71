/// \file
/// Selects the node from which newer routes are pulled.
#ifndef SESAMESPREAD_COORDINATION_VERSION_SOURCES_H_
#define SESAMESPREAD_COORDINATION_VERSION_SOURCES_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// A bounded list of the nodes that last announced a newer version. Only one is
/// pulled from at a time: a node that starts while the store is unavailable
/// receives announcements from all other nodes at once, and each of them would
/// send the whole document.
class VersionSources {
 public:
  /// Records that \p node has \p version in force.
  void OnVersionSeen(state::NodeId node, std::uint64_t version);

  /// The node to pull a version newer than \p have from now, which is removed
  /// from the list; nullopt if there is none, or if the previous one may still
  /// answer.
  std::optional<state::NodeId> NextSource(std::uint64_t have,
                                          state::Instant now);

 private:
  struct Source {
    state::NodeId node = 0;
    std::uint64_t version = 0;
  };

  // In order of announcement, the latest at the back.
  std::deque<Source> sources_;
  std::optional<state::Instant> last_request_at_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_VERSION_SOURCES_H_
