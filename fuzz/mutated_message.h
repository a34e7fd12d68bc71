/// \file
/// Converts fuzz input into mutations of valid messages, since random bytes
/// rarely pass the verifier of FlatBuffers.
#ifndef SESAMESPREAD_FUZZ_MUTATED_MESSAGE_H_
#define SESAMESPREAD_FUZZ_MUTATED_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sesamespread::fuzz {

/// The first byte is an index into \p originals. Each following group of three
/// bytes is a little-endian offset, taken modulo the size of the message, and
/// the value that is written there. If the index is out of range, the bytes
/// after it are returned unchanged.
inline std::vector<std::uint8_t> MutatedMessage(
    const std::vector<std::string>& originals,
    const std::uint8_t* data,
    std::size_t size) {
  if (size == 0 || data[0] >= originals.size())
    return {data + (size > 0 ? 1 : 0), data + size};
  const std::string& original = originals[data[0]];
  std::vector<std::uint8_t> buffer(original.begin(), original.end());
  for (std::size_t position = 1; position + 3 <= size && !buffer.empty();
       position += 3) {
    const std::size_t offset = data[position] | (data[position + 1] << 8);
    buffer[offset % buffer.size()] = data[position + 2];
  }
  return buffer;
}

}  // namespace sesamespread::fuzz

#endif  // SESAMESPREAD_FUZZ_MUTATED_MESSAGE_H_
