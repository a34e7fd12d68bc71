/// \file
/// Turns fuzz input into buffers that are close to valid ones: random bytes
/// alone hardly ever get past the verifier of FlatBuffers.
#ifndef SESAMESPREAD_FUZZ_MUTATED_MESSAGE_H_
#define SESAMESPREAD_FUZZ_MUTATED_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sesamespread::fuzz {

/// The first byte chooses one of \p originals, each further three bytes write
/// one byte into it. With a choice beyond the originals the bytes are used as
/// they are.
inline std::vector<std::uint8_t> MutatedMessage(
    const std::vector<std::string>& originals,
    const std::uint8_t* data,
    std::size_t size) {
  if (size == 0 || data[0] >= originals.size())
    return {data + (size > 0 ? 1 : 0), data + size};
  const std::string& original = originals[data[0]];
  std::vector<std::uint8_t> buffer(original.begin(), original.end());
  for (std::size_t at = 1; at + 3 <= size && !buffer.empty(); at += 3) {
    const std::size_t offset = data[at] | (data[at + 1] << 8);
    buffer[offset % buffer.size()] = data[at + 2];
  }
  return buffer;
}

}  // namespace sesamespread::fuzz

#endif  // SESAMESPREAD_FUZZ_MUTATED_MESSAGE_H_
