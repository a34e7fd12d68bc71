/// \file
/// Fuzzes the decoder of the operator's document in the platform's store.
#include "operator_document.h"

#include <string>

#include "mutated_message.h"
#include "sesamespread/state/result_code.h"

namespace {

constexpr char kDocument[] =
    R"({"version":"r7","limits":{"idle_timeout":"15000ms"},"listeners":[)"
    R"({"host":"a.example","rules":[{"name":"r-1","kind":"unsafe",)"
    R"("goal":"1200ms","priority":0,"match":{"prefix":"/p/"},"action":)"
    R"({"service":"s1","timeout":"5000ms","max_attempts":2}},)"
    R"({"name":"r-2","kind":"safe","goal":"1.2s","priority":2,)"
    R"("match":{"prefix":"/q/"},"action":{"split":[{"service":"s1",)"
    R"("weight":90},{"service":"s2","weight":10}],"timeout":"5000ms",)"
    R"("max_attempts":2}}]}],"clusters":[{"name":"s1",)"
    R"("health_path":"/healthz","max_conns":1240}]})";

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace sesamespread;
  const auto bytes = fuzz::MutatedMessage({kDocument}, data, size);
  try {
    platform::DecodeOperatorDocument({bytes.begin(), bytes.end()});
  } catch (const state::Error&) {
    // The only exception that may reject a document.
  }
  return 0;
}
