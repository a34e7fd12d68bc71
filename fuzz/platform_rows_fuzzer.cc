/// \file
/// Rows and objects read from the platform.
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

// The functions may refuse a text with state::Error only.
template <typename Parse>
void Try(Parse parse, const std::string& text) {
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
  Try(coordination::ParseHead, text);
  Try(
      [](const std::string& row) {
        coordination::ParseChangeRecord(row).ToDelta();
      },
      text);
  Try(coordination::ParseSnapshot, text);
  return 0;
}
