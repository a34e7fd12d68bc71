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

TableCall TableWatch::NextCall(std::size_t nodes, bool may_watch) {
  is_call_read_ = needs_read_ || !may_watch;
  if (is_call_read_)
    return {true, 0, state::Duration(0), next_at_};
  const state::Duration wait =
      std::clamp(options_.wait_per_node * static_cast<std::int64_t>(nodes),
                 options_.min_wait, options_.max_wait);
  return {false, position_.version, Jittered(wait), next_at_};
}

bool TableWatch::ContinuesHistory(const RowsReply& reply) const {
  return !reply.is_history_lost && reply.version >= position_.version &&
         (reply.era == 0 || reply.era == position_.era);
}

bool TableWatch::OnEraSeen(std::uint64_t era) {
  if (era <= std::max(position_.era, seen_era_))
    return false;
  seen_era_ = era;
  needs_read_ = true;
  next_at_ = state::Instant{};
  return true;
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
  const bool is_complete = is_call_read_ && !reply.is_history_lost;
  needs_read_ = !is_complete && !ContinuesHistory(reply);
  if (is_complete)
    position_ = {reply.era, reply.version};
  else if (!needs_read_)
    position_.version = reply.version;
  is_call_read_ = needs_read_;
  // A watch that returned no change is repeated at once.
  next_at_ = reply.rows.empty() ? now : now + options_.min_interval;
  return changed;
}

}  // namespace sesamespread::coordination
