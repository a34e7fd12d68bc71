/// \file
/// Seeds for the random number generators of the threads.
#ifndef SESAMESPREAD_TRANSPORT_RANDOM_SEED_H_
#define SESAMESPREAD_TRANSPORT_RANDOM_SEED_H_

#include <cstdint>
#include <random>

namespace sesamespread::transport {

/// 64 random bits of the system. Of 32,000 nodes with 32-bit seeds, two would
/// draw the same request ids with a probability of 11%.
inline std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_RANDOM_SEED_H_
