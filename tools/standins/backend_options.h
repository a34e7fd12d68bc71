/// \file
/// Command line of the stand-in for a backend server.
#ifndef SESAMESPREAD_TOOLS_STANDINS_BACKEND_OPTIONS_H_
#define SESAMESPREAD_TOOLS_STANDINS_BACKEND_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sesamespread/state/node_record.h"

/// A sub-call that is made for each request.
struct BackendCall {
  std::string service;
  std::string method = "GET";
  std::string path = "/call";
};

/// Options of `standins backend`.
struct BackendOptions {
  using Seconds = std::chrono::duration<double>;

  std::string id;
  std::string service;
  sesamespread::state::Endpoint listen;
  /// Backend port of the node; none if the server runs without one.
  std::optional<sesamespread::state::Endpoint> node;
  unsigned slots = 16;
  unsigned connections = 200;
  /// Mean work of a request at full speed.
  Seconds service_time{0};
  /// Whether the work is distributed exponentially; else it is fixed.
  bool exponential = true;
  std::vector<BackendCall> calls;
  /// Whether all sub-calls are made at once instead of one after another.
  bool parallel_calls = false;
  /// Whether sub-calls omit the fields `traceparent` and `baggage`.
  bool drop_headers = false;
  /// Repeats of a failed sub-call.
  int call_retries = 0;
  /// Time from the start until full speed.
  Seconds cold_start{0};
  /// Age of the load report.
  Seconds lag{0};
  /// Minimum size of an answer.
  std::size_t answer_bytes = 0;
  std::uint64_t seed = 1;
  /// File to which a line is appended for each request that is started, so that
  /// the lines survive a kill of this process. Empty for no file.
  std::string journal;
};

/// Parses the command line. \returns nullopt if it printed the help.
/// \throws std::exception if an option is invalid.
std::optional<BackendOptions> ParseBackendOptions(int argc, char** argv);

#endif  // SESAMESPREAD_TOOLS_STANDINS_BACKEND_OPTIONS_H_
