/// \file
/// Schedule of the calls for one table.
#include "sesamespread/coordination/table_watch.h"

#include <algorithm>

namespace sesamespread::coordination {

TableWatch::TableWatch(TableWatchOptions options, std::uint64_t seed)
    : options_(options), random_(seed), backoff_(options.first_backoff) {}

state::Duration TableWatch::Jittered(state::Duration duration) {
  // Random, so that nodes do not reconnect all at once after an outage.
  std::uniform_int_distribution<std::int64_t> spread(duration.count() / 2,
                                                     duration.count());
  return state::Duration(spread(random_));
}

TableCall TableWatch::NextCall(std::size_t nodes) {
  if (needs_read_)
    return {true, 0, state::Duration(0), next_at_};
  const state::Duration wait =
      std::clamp(options_.wait_per_node * static_cast<std::int64_t>(nodes),
                 options_.min_wait, options_.max_wait);
  return {false, version_, Jittered(wait), next_at_};
}

bool TableWatch::OnReply(const RowsReply& reply, state::Instant now) {
  const bool is_done = reply.status == StoreStatus::kDone;
  const bool changed = is_done != is_connected_;
  is_connected_ = is_done;
  if (!is_done) {
    next_at_ = now + Jittered(backoff_);
    backoff_ = std::min(backoff_ * 2, options_.max_backoff);
    return changed;
  }
  backoff_ = options_.first_backoff;
  needs_read_ = reply.is_history_lost;
  version_ = std::max(version_, reply.version);
  // A watch that returned no change is repeated at once.
  next_at_ = reply.rows.empty() ? now : now + options_.min_interval;
  return changed;
}

}  // namespace sesamespread::coordination
