/// \file
/// Parsers of what a backend server reports of its load in header fields.
#ifndef SESAMESPREAD_TRANSPORT_SERVER_LOAD_H_
#define SESAMESPREAD_TRANSPORT_SERVER_LOAD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sesamespread::transport {

/// Requests that run and wait at a backend server, and its slots.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  auto operator<=>(const ServerLoad&) const = default;
};

/// Parses "running,waiting,slots" in decimal digits without spaces; nullopt for
/// any other text.
std::optional<ServerLoad> ParseServerLoad(std::string_view text);

/// Parses a decimal number of requests per second, zero or more; nullopt for
/// any other text.
std::optional<double> ParseRateLimit(std::string_view text);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_SERVER_LOAD_H_
