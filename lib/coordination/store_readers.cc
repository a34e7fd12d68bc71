/// \file
/// Selection of the readers of the store.
#include "sesamespread/coordination/store_readers.h"

#include <algorithm>

namespace sesamespread::coordination {

bool StoreReaders::IsReader(const StoreReaderInput& input) const {
  // Node ids are hashes of names, so that the lowest ones are a random choice.
  const auto lower =
      std::count_if(input.zone_peers.begin(), input.zone_peers.end(),
                    [&](state::NodeId node) { return node < input.self; });
  return static_cast<std::size_t>(lower) < options_.readers_per_zone;
}

std::size_t StoreReaders::CountReaders(
    const std::vector<std::size_t>& zone_sizes) const {
  std::size_t readers = 0;
  for (const std::size_t size : zone_sizes)
    readers += std::min(size, options_.readers_per_zone);
  return readers;
}

bool StoreReaders::MayCall(const StoreReaderInput& input) const {
  if (IsReader(input))
    return true;
  if (!input.has_routes) {
    return input.uptime >= options_.start_wait &&
           input.since_last_call >=
               std::min(options_.no_routes_interval, input.uptime);
  }
  const state::Duration interval =
      std::max(options_.check_interval_per_node *
                   static_cast<std::int64_t>(input.known_nodes + 1),
               options_.min_check_interval);
  return input.since_last_call >= interval;
}

}  // namespace sesamespread::coordination
