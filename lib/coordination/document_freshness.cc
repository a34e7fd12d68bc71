/// \file
/// Conversion of the store's clock, and the age of the document in force.
#include "sesamespread/coordination/document_freshness.h"

#include <algorithm>

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;

// Time for which a reading is used. Clocks of 100 ppm drift by 24 ms over two
// periods.
constexpr Duration kPeriodLength = std::chrono::seconds(120);

}  // namespace

void StoreClock::OnReading(const StoreTime& reading,
                           Instant sent,
                           Instant now) {
  if (reading.era < era_)
    return;
  if (reading.era > era_) {
    era_ = reading.era;
    periods_ = {};
  }
  if (!periods_[0].offset || now - periods_[0].begin >= kPeriodLength)
    periods_ = {Period{now, std::nullopt}, periods_[0]};
  const Duration bound = reading.time - sent.time_since_epoch();
  std::optional<Duration>& offset = periods_[0].offset;
  offset = offset ? std::min(*offset, bound) : bound;
}

Duration StoreClock::offset() const {
  if (!periods_[0].offset || !periods_[1].offset)
    return periods_[0].offset ? *periods_[0].offset : *periods_[1].offset;
  return std::min(*periods_[0].offset, *periods_[1].offset);
}

std::optional<StoreTime> StoreClock::LatestAt(Instant now) const {
  if (!has_offset())
    return std::nullopt;
  return StoreTime{era_, now.time_since_epoch() + offset()};
}

std::optional<Instant> StoreClock::ToLocal(const StoreTime& reading) const {
  if (!IsKnown(reading.era))
    return std::nullopt;
  return Instant(reading.time - offset());
}

void DocumentFreshness::OnStatement(std::uint64_t version,
                                    const StoreTime& reading,
                                    std::uint64_t in_force,
                                    const StoreClock& clock,
                                    Instant now) {
  if (reading.era > era_ || !era_seen_at_) {
    // The first era that a process sees follows no other one that it knows.
    const bool is_first = !era_seen_at_;
    era_ = reading.era;
    era_seen_at_ = is_first ? now - options_.era_settle_time : now;
  }
  if (reading.era < era_ || now - *era_seen_at_ < options_.era_settle_time)
    return;
  if (version > in_force) {
    if (!pending_ || reading > pending_->reading)
      pending_ = Pending{version, reading};
    return;
  }
  const auto local = clock.ToLocal(reading);
  if (!local)
    return;
  if (!statement_ || reading > *statement_)
    statement_ = reading;
  // A reading can't be of the future; a clock that was set back would say so.
  const Instant at = std::min(*local, now);
  known_at_ = known_at_ ? std::max(*known_at_, at) : at;
}

void DocumentFreshness::OnVersionInForce(std::uint64_t version,
                                         const StoreClock& clock,
                                         Instant now) {
  if (!pending_ || pending_->version > version)
    return;
  const Pending pending = *pending_;
  pending_.reset();
  OnStatement(pending.version, pending.reading, version, clock, now);
}

std::optional<Duration> DocumentFreshness::Age(Instant now) const {
  if (!known_at_)
    return std::nullopt;
  return now - *known_at_;
}

bool DocumentFreshness::IsFresh(Instant now) const {
  if (options_.max_age <= Duration(0))
    return true;
  const auto age = Age(now);
  return age && *age <= options_.max_age;
}

}  // namespace sesamespread::coordination
