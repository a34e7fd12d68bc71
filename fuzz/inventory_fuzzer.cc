/// \file
/// Fuzzes the parser of the operators' inventory and rules.
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
    // An accepted inventory must parse again after formatting, since otherwise
    // a rollback to it would fail.
    const std::array<state::SourceText, 1> again = {
        state::SourceText{"again.yaml", state::FormatInventory(configuration)}};
    if (state::Configuration(1, state::ParseInventory(again)).digest() !=
        configuration.digest())
      __builtin_trap();
  } catch (const state::ValidationError&) {
    // The only exception that may reject an inventory.
  }
  return 0;
}
