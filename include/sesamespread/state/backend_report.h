/// \file
/// Status reports that a backend server sends to the node on its host.
#ifndef SESAMESPREAD_STATE_BACKEND_REPORT_H_
#define SESAMESPREAD_STATE_BACKEND_REPORT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// Identifies one instance of a backend server, which is its process between
/// two starts. A later instance may have the same id; it then has a later start
/// time.
struct BackendInstance {
  /// The id that the backend server reports.
  std::string instance;
  /// Start time in milliseconds since 1970, by the wall clock of the backend
  /// server's host; 0 if unknown.
  std::uint64_t started_ms = 0;

  /// Whether \p other may be the same instance: start times are compared only
  /// if both are known.
  bool IsSameRun(const BackendInstance& other) const {
    return instance == other.instance &&
           (started_ms == 0 || other.started_ms == 0 ||
            started_ms == other.started_ms);
  }

  auto operator<=>(const BackendInstance&) const = default;
};

/// A status report of a backend server.
struct BackendReport {
  BackendInstance identity;
  /// Orders the reports of one instance; later reports have higher numbers.
  std::uint64_t sequence = 0;
  Endpoint endpoint;
  std::string service;
  std::string zone;
  /// Version of the backend server's software.
  std::string software_version;
  /// Number of requests that it processes concurrently; at least 1.
  std::uint32_t slots = 1;
  /// True once it accepts no new work.
  bool leaving = false;
  /// Remaining time of its cold start, during which it is slower.
  Duration cold_start_left{0};

  auto operator<=>(const BackendReport&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_BACKEND_REPORT_H_
