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

/// A service that is called for each request.
struct BackendCall {
  std::string service;
  std::string method = "GET";
  std::string path = "/call";
};

/// What the options of `standins backend --help` set.
struct BackendOptions {
  using Seconds = std::chrono::duration<double>;

  std::string id;
  std::string service;
  sesamespread::state::Endpoint listen;
  std::optional<sesamespread::state::Endpoint> node;
  unsigned slots = 16;
  unsigned connections = 200;
  /// Mean work of a request.
  Seconds service_time{0};
  bool exponential = true;
  std::vector<BackendCall> calls;
  bool parallel_calls = false;
  bool drop_headers = false;
  int call_retries = 0;
  Seconds cold_start{0};
  /// Age of the load report.
  Seconds lag{0};
  std::size_t answer_bytes = 0;
  std::uint64_t seed = 1;
  /// File that gets a line for each request that is started; it outlives a
  /// kill of this process. None if empty.
  std::string journal;
};

/// Parses the command line; nullopt after printing the help.
/// \throws std::exception if an option is not valid.
std::optional<BackendOptions> ParseBackendOptions(int argc, char** argv);

#endif  // SESAMESPREAD_TOOLS_STANDINS_BACKEND_OPTIONS_H_
