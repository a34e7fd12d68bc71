/// \file
/// The users' bound on the requests to a backend server that states a rate
/// limit, for the checks of tests and soaks.
#ifndef SESAMESPREAD_TEST_ROUTE_NODE_STATED_LIMIT_H_
#define SESAMESPREAD_TEST_ROUTE_NODE_STATED_LIMIT_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "sesamespread/state/time.h"

namespace sesamespread::test {

/// Time from the statement of a limit until it must be in effect.
constexpr std::chrono::milliseconds kStatementDelay{500};

/// Number of requests that may start in each window of four seconds: 1.5 times
/// what \p per_second allows, and five more, summed over all nodes.
std::size_t MaxStartsAllowed(double per_second);

/// The largest number of \p starts, which are in order, in a window that begins
/// at or after \p from.
std::size_t MaxStartsInWindow(const std::vector<state::Instant>& starts,
                              state::Instant from);

}  // namespace sesamespread::test

#endif  // SESAMESPREAD_TEST_ROUTE_NODE_STATED_LIMIT_H_
