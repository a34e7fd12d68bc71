/// \file
/// The table of result codes.
#include "sesamespread/state/result_code.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace sesamespread::state {
namespace {

constexpr ResultCodeInfo kResultCodes[] = {
#define SESAMESPREAD_RESULT(name, number, http, run, title) \
  {ResultCode::k##name, #name, http, RunState::k##run, title},
#include "sesamespread/state/result_codes.def"
};

}  // namespace

std::span<const ResultCodeInfo> AllResultCodes() {
  return kResultCodes;
}

const ResultCodeInfo& InfoOf(ResultCode code) {
  const auto find = [](ResultCode wanted) {
    return std::find_if(
        std::begin(kResultCodes), std::end(kResultCodes),
        [wanted](const ResultCodeInfo& info) { return info.code == wanted; });
  };
  const auto* found = find(code);
  if (found != std::end(kResultCodes))
    return *found;
  return *find(ResultCode::kBadFrame);
}

std::string_view ToString(RunState run_state) {
  static constexpr std::array<std::string_view, 3> kNames = {"not_run", "ran",
                                                             "unknown"};
  const auto index = static_cast<std::size_t>(run_state);
  assert(index < kNames.size() && "run state out of range");
  return kNames[index];
}

}  // namespace sesamespread::state
