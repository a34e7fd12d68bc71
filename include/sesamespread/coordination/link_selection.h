/// \file
/// Selects the nodes to which a node keeps links.
#ifndef SESAMESPREAD_COORDINATION_LINK_SELECTION_H_
#define SESAMESPREAD_COORDINATION_LINK_SELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "sesamespread/state/ids.h"

namespace sesamespread::coordination {

/// A node to which a link may be kept.
struct LinkCandidate {
  state::NodeId node = 0;
  std::string zone;
  std::string service;

  auto operator<=>(const LinkCandidate&) const = default;
};

/// Servers of each service in each other availability zone to which a node
/// keeps links. With two, a zone is still reachable while one of them restarts.
constexpr std::size_t kLinksPerZoneAndService = 2;

/// Selects the nodes to which \p self keeps links: all of its availability
/// zone, which it calls first, and for each service some servers in each other
/// zone, for calls that find no room in the own zone. Rendezvous hashing makes
/// the selection stable while nodes come and go, and spreads the links of all
/// nodes evenly over the servers.
///
/// Answers the load of links that grow with the square of the number of nodes:
/// their set-up, records and checks are traffic between zones, and each takes
/// memory.
std::vector<state::NodeId> SelectLinks(
    const LinkCandidate& self,
    const std::vector<LinkCandidate>& candidates);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_LINK_SELECTION_H_
