/// \file
/// Checks the records of a soak's callers and backend servers for violations.
#ifndef SESAMESPREAD_TEST_SOAK_SOAK_JUDGE_H_
#define SESAMESPREAD_TEST_SOAK_SOAK_JUDGE_H_

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "sesamespread/state/time.h"
#include "soak_callers.h"

namespace sesamespread::test {

/// A time during which the node process of a host was paused, stopping or down.
struct Disturbance {
  std::size_t host = 0;
  state::Instant from;
  state::Instant to;

  auto operator<=>(const Disturbance&) const = default;
};

/// Executions that the backend servers recorded.
struct BackendExecutions {
  /// Number of executions by request id.
  std::map<std::string, std::size_t> count_by_request_id;
};

/// \returns a line for each violation: an order that ran twice, a refused
/// request that ran, an answer that belongs to another request or was not sent
/// by a backend server, too many requests without an answer in time from nodes
/// that were not disturbed.
std::vector<std::string> CheckRecords(
    const std::vector<CallerRecord>& records,
    const BackendExecutions& executions,
    const std::vector<Disturbance>& disturbances);

}  // namespace sesamespread::test

#endif  // SESAMESPREAD_TEST_SOAK_SOAK_JUDGE_H_
