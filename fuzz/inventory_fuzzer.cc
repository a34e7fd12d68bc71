/// \file
/// The operators' inventory and rules.
#include <array>

#include "sesamespread/state/configuration.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/settings.h"

using namespace sesamespread;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::array<state::SourceText, 1> source = {state::SourceText{
      "fuzz.yaml", std::string(reinterpret_cast<const char*>(data), size)}};
  try {
    const state::Configuration configuration(1, state::ParseInventory(source));
    // What was accepted must be readable again, or it can't be rolled back.
    const std::array<state::SourceText, 1> again = {
        state::SourceText{"again.yaml", state::FormatInventory(configuration)}};
    if (state::Configuration(1, state::ParseInventory(again)).digest() !=
        configuration.digest())
      __builtin_trap();
  } catch (const state::ValidationError&) {
    // The only way to refuse an inventory.
  }
  return 0;
}
