/// \file
/// Hashing, formatting and parsing of identifiers.
#include "sesamespread/state/ids.h"

#include <fmt/format.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>

namespace sesamespread::state {

std::uint64_t HashOf(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t HashOf(std::uint64_t seed, std::uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

std::string ToHex(const RequestId& id) {
  return fmt::format("{:016x}{:016x}", id.high, id.low);
}

std::string ToHex(std::uint64_t value) {
  return fmt::format("{:016x}", value);
}

bool ParseHex(std::string_view text, std::uint64_t* value) {
  constexpr std::size_t kMaxDigits = 16;
  if (text.empty() || text.size() > kMaxDigits)
    return false;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, *value, 16);
  return result.ec == std::errc() && result.ptr == end;
}

}  // namespace sesamespread::state
