/// \file
/// Seeds for random number generators.
#ifndef SESAMESPREAD_TRANSPORT_RANDOM_SEED_H_
#define SESAMESPREAD_TRANSPORT_RANDOM_SEED_H_

#include <cstdint>
#include <random>

namespace sesamespread::transport {

/// Returns 64 random bits from the system. With 32-bit seeds, the probability
/// that two of 32,000 nodes generate the same request ids would be 11%.
inline std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_RANDOM_SEED_H_
