/// \file
/// Parsers of what a backend server reports of its load in header fields.
#ifndef SESAMESPREAD_TRANSPORT_SERVER_LOAD_H_
#define SESAMESPREAD_TRANSPORT_SERVER_LOAD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sesamespread::transport {

/// Requests that run and wait at a backend server, its slots, and how long work
/// takes there at the moment.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// In percent of the usual time; 100 if the server does not report it.
  std::uint32_t work_time_percent = 100;
  bool reports_work_time = false;

  auto operator<=>(const ServerLoad&) const = default;
};

/// Parses "running,waiting,slots" or "running,waiting,slots,work time" in
/// decimal digits without spaces; nullopt for any other text and for a work
/// time of 0.
std::optional<ServerLoad> ParseServerLoad(std::string_view text);

/// Parses a decimal number of requests per second, zero or more; nullopt for
/// any other text.
std::optional<double> ParseRateLimit(std::string_view text);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_SERVER_LOAD_H_
