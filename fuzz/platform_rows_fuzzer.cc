/// \file
/// Fuzzes the parsers of configuration rows and objects of the platform.
#include <string>

#include "mutated_message.h"
#include "sesamespread/coordination/configuration_rows.h"
#include "sesamespread/state/result_code.h"

namespace {

using namespace sesamespread;

std::vector<std::string> Originals() {
  coordination::ChangeRecord record;
  const state::Configuration configuration(
      3, {{"zone/a", "{region: one}"}, {"zone/b", "{region: two}"}});
  return {coordination::Encode(coordination::ConfigurationHead{1, 2, {3, 4}}),
          coordination::Encode(record),
          coordination::EncodeSnapshot(configuration)};
}

// state::Error is the only exception that may reject a text.
template <typename Parse>
void ParseOrReject(Parse parse, const std::string& text) {
  try {
    parse(text);
  } catch (const state::Error&) {
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const std::vector<std::string> kOriginals = Originals();
  const auto bytes = fuzz::MutatedMessage(kOriginals, data, size);
  const std::string text(bytes.begin(), bytes.end());
  ParseOrReject(coordination::ParseHead, text);
  ParseOrReject(
      [](const std::string& row) {
        coordination::ParseChangeRecord(row).ToDelta();
      },
      text);
  ParseOrReject(coordination::ParseSnapshot, text);
  return 0;
}
