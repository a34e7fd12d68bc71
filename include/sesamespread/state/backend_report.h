/// \file
/// What a backend server reports of itself to the node beside it.
#ifndef SESAMESPREAD_STATE_BACKEND_REPORT_H_
#define SESAMESPREAD_STATE_BACKEND_REPORT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// Names one run of a backend server. Ids may be used again by a later run,
/// which then has a later start.
struct BackendInstance {
  std::string instance;
  /// Milliseconds of the wall clock of the backend server's host; 0 if unknown.
  std::uint64_t started_ms = 0;

  auto operator<=>(const BackendInstance&) const = default;
};

/// A status report.
struct BackendReport {
  BackendInstance identity;
  /// Orders the reports of one run.
  std::uint64_t sequence = 0;
  Endpoint endpoint;
  std::string service;
  std::string zone;
  /// Version of the backend server's software.
  std::string software_version;
  /// Requests that it works on at a time; at least 1.
  std::uint32_t slots = 1;
  /// True once it wants no more new work.
  bool leaving = false;
  /// How much longer it is slow after its start.
  Duration cold_start_left{0};

  auto operator<=>(const BackendReport&) const = default;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_BACKEND_REPORT_H_
