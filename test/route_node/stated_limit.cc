/// \file
/// Counts of requests in sliding windows.
#include "stated_limit.h"

#include <algorithm>

namespace sesamespread::test {
namespace {

constexpr std::chrono::seconds kWindow{4};
constexpr double kFactor = 1.5;
constexpr std::size_t kSlack = 5;

}  // namespace

std::size_t MaxStartsAllowed(double per_second) {
  const double window = std::chrono::duration<double>(kWindow).count();
  return static_cast<std::size_t>(kFactor * per_second * window) + kSlack;
}

std::size_t MaxStartsInWindow(const std::vector<state::Instant>& starts,
                              state::Instant from) {
  std::size_t most = 0;
  for (auto first = std::lower_bound(starts.begin(), starts.end(), from);
       first != starts.end(); ++first) {
    const auto last = std::lower_bound(first, starts.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

}  // namespace sesamespread::test
