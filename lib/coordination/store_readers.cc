/// \file
/// Selection of the readers of the store.
#include "sesamespread/coordination/store_readers.h"

#include <algorithm>

namespace sesamespread::coordination {

std::size_t StoreReaders::RankOf(const StoreReaderInput& input) {
  // Node ids are hashes of names, so that the lowest ones are a random choice.
  return static_cast<std::size_t>(
      std::count_if(input.zone_peers.begin(), input.zone_peers.end(),
                    [&](state::NodeId node) { return node < input.self; }));
}

state::Duration StoreReaders::TakeoverDelay(
    const StoreReaderInput& input) const {
  const auto rank = static_cast<std::int64_t>(RankOf(input));
  const auto zone_size = static_cast<std::int64_t>(input.zone_peers.size() + 1);
  return options_.takeover_wait +
         std::min(options_.max_takeover_step * rank,
                  options_.takeover_span * rank / zone_size);
}

bool StoreReaders::IsReader(const StoreReaderInput& input) const {
  if (RankOf(input) < options_.readers_per_zone)
    return true;
  return input.has_routes && input.since_last_notice >= TakeoverDelay(input);
}

std::size_t StoreReaders::CountReaders(
    const std::vector<std::size_t>& zone_sizes) const {
  std::size_t readers = 0;
  for (const std::size_t size : zone_sizes)
    readers += std::min(size, options_.readers_per_zone);
  return readers;
}

bool StoreReaders::MayCall(const StoreReaderInput& input) const {
  if (RankOf(input) < options_.readers_per_zone)
    return true;
  if (!input.has_routes) {
    return input.uptime >= options_.start_wait &&
           input.since_last_call >=
               std::min(options_.no_routes_interval, input.uptime);
  }
  return IsReader(input) &&
         (!input.has_last_call_failed ||
          input.since_last_call >= options_.refused_interval);
}

}  // namespace sesamespread::coordination
