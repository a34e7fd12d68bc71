/// \file
/// Identifier of a request in progress at its node.
#ifndef SESAMESPREAD_COORDINATION_TICKET_H_
#define SESAMESPREAD_COORDINATION_TICKET_H_

#include <cstdint>

namespace sesamespread::coordination {

/// Identifies a request in progress, within this node and towards the backend
/// server that executes it; 0 identifies none.
using Ticket = std::uint64_t;

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_TICKET_H_
