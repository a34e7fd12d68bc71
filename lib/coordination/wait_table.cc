/// \file
/// Reported waits.
#include "sesamespread/coordination/wait_table.h"

#include <algorithm>

namespace sesamespread::coordination {

void WaitTable::Observe(state::NodeId node,
                        state::Duration expected_wait,
                        state::Instant now) {
  if (expected_wait > state::Duration(0))
    reports_[node] = {expected_wait, now};
  else
    reports_.erase(node);
}

std::optional<state::Duration> WaitTable::WaitAt(state::NodeId node,
                                                 state::Instant now) const {
  const auto found = reports_.find(node);
  if (found == reports_.end() || now - found->second.at > kMaxAge)
    return std::nullopt;
  return std::max(found->second.wait - (now - found->second.at),
                  state::Duration(0));
}

std::vector<state::NodeId> WaitTable::Above(state::Duration max_wait,
                                            state::Instant now) const {
  std::vector<state::NodeId> nodes;
  for (const auto& [node, report] : reports_) {
    const auto wait = WaitAt(node, now);
    if (wait && *wait > max_wait)
      nodes.push_back(node);
  }
  return nodes;
}

}  // namespace sesamespread::coordination
