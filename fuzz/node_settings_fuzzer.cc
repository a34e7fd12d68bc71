/// \file
/// Fuzzes the parser of a node's settings.
#include "sesamespread/state/settings.h"

using namespace sesamespread;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  try {
    state::ParseNodeSettings(
        {"fuzz.yaml", std::string(reinterpret_cast<const char*>(data), size)});
  } catch (const state::ValidationError&) {
    // The only exception that may reject settings.
  }
  return 0;
}
