/// \file
/// Names of the enumerators.
#include <array>
#include <cassert>

#include "sesamespread/state/inventory.h"
#include "sesamespread/state/node_record.h"

namespace sesamespread::state {
namespace {

template <typename Enum, std::size_t N>
std::string_view NameIn(const std::array<std::string_view, N>& names,
                        Enum value) {
  const auto index = static_cast<std::size_t>(value);
  assert(index < N && "enumerator out of range");
  return names[index];
}

}  // namespace

std::string_view ToString(Importance importance) {
  static constexpr std::array<std::string_view, 3> kNames = {
      "critical", "standard", "browse"};
  return NameIn(kNames, importance);
}

std::string_view ToString(Liveness liveness) {
  static constexpr std::array<std::string_view, 3> kNames = {"alive", "suspect",
                                                             "dead"};
  return NameIn(kNames, liveness);
}

std::string_view ToString(BackendState state) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "absent", "starting", "serving", "leaving"};
  return NameIn(kNames, state);
}

}  // namespace sesamespread::state
