/// \file
/// The name of a request in progress at its node.
#ifndef SESAMESPREAD_COORDINATION_TICKET_H_
#define SESAMESPREAD_COORDINATION_TICKET_H_

#include <cstdint>

namespace sesamespread::coordination {

/// Names a request in progress, to this node's decisions and to the backend
/// server that executes it; 0 names none.
using Ticket = std::uint64_t;

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_TICKET_H_
