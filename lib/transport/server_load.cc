/// \file
/// Parsers of what a backend server reports of its load in header fields.
#include "sesamespread/transport/server_load.h"

#include <array>
#include <charconv>
#include <cmath>

namespace sesamespread::transport {

std::optional<ServerLoad> ParseServerLoad(std::string_view text) {
  std::array<std::uint32_t, 3> numbers{};
  const char* next = text.data();
  const char* const end = text.data() + text.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && (next == end || *next++ != ','))
      return std::nullopt;
    const auto result = std::from_chars(next, end, numbers.at(i));
    if (result.ec != std::errc())
      return std::nullopt;
    next = result.ptr;
  }
  if (next != end)
    return std::nullopt;
  return ServerLoad{numbers[0], numbers[1], numbers[2]};
}

std::optional<double> ParseRateLimit(std::string_view text) {
  double per_second = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, per_second);
  const bool is_number = result.ec == std::errc() && result.ptr == end &&
                         std::isfinite(per_second);
  if (!is_number || per_second < 0)
    return std::nullopt;
  return per_second;
}

}  // namespace sesamespread::transport
