/// \file
/// A randomized soak test of route nodes: processes are killed, paused, stopped
/// and restarted, and connections are delayed, cut, reset and stalled, while
/// callers send requests. Afterwards the records of the callers and of the
/// backend servers are checked for violations of the delivery guarantees.
#ifndef SESAMESPREAD_TEST_SOAK_ROUTE_SOAK_H_
#define SESAMESPREAD_TEST_SOAK_ROUTE_SOAK_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sesamespread::test {

struct SoakOptions {
  /// Determines the faults and their times, but not their interleaving with
  /// requests.
  std::uint64_t seed = 0;
  /// Time during which faults are injected.
  std::chrono::milliseconds duration = std::chrono::seconds(10);
  /// Adds faults in the bytes that backend servers and other nodes send. They
  /// are not part of the other soaks, because one more fault would change what
  /// each of their seeds does.
  bool has_byte_faults = false;
  /// Adds backend servers that state a rate limit or their leave in answers;
  /// for the same reason not part of the other soaks.
  bool has_server_statements = false;
  /// Adds a store that comes back from an older copy; likewise.
  bool has_store_restores = false;
  /// Directory for the faults, their times and the logs of the nodes, which are
  /// written after a violation; nothing is written if it is empty.
  std::string log_directory = {};

  auto operator<=>(const SoakOptions&) const = default;
};

struct SoakReport {
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t faults = 0;
  /// One line for each violation.
  std::vector<std::string> violations;
};

/// Runs one soak; takes longer than SoakOptions::duration, since it waits for
/// the recovery.
SoakReport RunRouteSoak(const SoakOptions& options);

}  // namespace sesamespread::test

#endif  // SESAMESPREAD_TEST_SOAK_ROUTE_SOAK_H_
