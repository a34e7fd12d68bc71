/// \file
/// Table of reported waits.
#include "sesamespread/coordination/wait_table.h"

namespace sesamespread::coordination {

void WaitTable::Observe(state::NodeId node,
                        const std::string& route,
                        state::Duration expected_wait,
                        state::Instant now) {
  if (expected_wait > state::Duration(0)) {
    routes_[route][node] = {expected_wait, now};
    return;
  }
  const auto found = routes_.find(route);
  if (found != routes_.end())
    found->second.erase(node);
}

std::vector<state::NodeId> WaitTable::NodesAbove(const std::string& route,
                                                 state::Duration max_wait,
                                                 state::Instant now) const {
  std::vector<state::NodeId> nodes;
  const auto found = routes_.find(route);
  if (found == routes_.end())
    return nodes;
  for (const auto& [node, report] : found->second) {
    const state::Duration age = now - report.at;
    if (age <= kMaxAge && report.wait - age > max_wait)
      nodes.push_back(node);
  }
  return nodes;
}

}  // namespace sesamespread::coordination
