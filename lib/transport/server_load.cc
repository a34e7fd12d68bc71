/// \file
/// Parsers of what a backend server reports of its load in header fields.
#include "sesamespread/transport/server_load.h"

#include <array>
#include <charconv>
#include <cmath>

namespace sesamespread::transport {

std::optional<ServerLoad> ParseServerLoad(std::string_view text) {
  constexpr std::size_t kRequired = 3;
  std::array<std::uint32_t, kRequired + 1> numbers{};
  const char* next = text.data();
  const char* const end = text.data() + text.size();
  std::size_t count = 0;
  for (; count < numbers.size(); ++count) {
    if (count == kRequired && next == end)
      break;
    if (count > 0 && (next == end || *next++ != ','))
      return std::nullopt;
    const auto result = std::from_chars(next, end, numbers.at(count));
    if (result.ec != std::errc())
      return std::nullopt;
    next = result.ptr;
  }
  const bool reports_work_time = count > kRequired;
  if (next != end || (reports_work_time && numbers[3] == 0))
    return std::nullopt;
  ServerLoad load{numbers[0], numbers[1], numbers[2]};
  load.reports_work_time = reports_work_time;
  if (reports_work_time)
    load.work_time_percent = numbers[3];
  return load;
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
