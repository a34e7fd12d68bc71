/// \file
/// Age of a node's knowledge of the operator's document.
///
/// A withdrawn API key has to be refused within a bound of the confirmation of
/// its withdrawal, also by a node that is cut off. The version of the document
/// doesn't tell whether it is the latest one, so that a node also has to know
/// how recently the store has stated it. Nodes pass this statement on as a time
/// of the store's own clock: a message that was delayed, or repeated, then
/// makes the knowledge look old instead of recent.
#ifndef SESAMESPREAD_COORDINATION_DOCUMENT_FRESHNESS_H_
#define SESAMESPREAD_COORDINATION_DOCUMENT_FRESHNESS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// A reading of the store's monotonic clock. Readings of different eras of the
/// store are unrelated.
struct StoreTime {
  std::uint64_t era = 0;
  state::Duration time{0};

  auto operator<=>(const StoreTime&) const = default;
};

/// Upper bound of the difference between the store's clock and the local one.
///
/// Invariant: the store's clock is never ahead of LatestAt(), except for the
/// drift of the two clocks since the readings that are kept.
class StoreClock {
 public:
  /// Records that the store's clock read \p reading at a moment after \p sent,
  /// when the message that asked for it was sent.
  void OnReading(const StoreTime& reading,
                 state::Instant sent,
                 state::Instant now);

  /// Whether readings of \p era can be converted.
  bool IsKnown(std::uint64_t era) const { return era_ == era && has_offset(); }

  /// The latest possible reading of the store's clock at \p now; nullopt if
  /// nothing is known.
  std::optional<StoreTime> LatestAt(state::Instant now) const;

  /// A local time that is not after the moment of \p reading; nullopt if its
  /// era is not known.
  std::optional<state::Instant> ToLocal(const StoreTime& reading) const;

 private:
  // The lowest bound of the readings since `begin`.
  struct Period {
    state::Instant begin;
    std::optional<state::Duration> offset;
  };

  bool has_offset() const {
    return periods_[0].offset.has_value() || periods_[1].offset.has_value();
  }
  state::Duration offset() const;

  std::uint64_t era_ = 0;
  // The current period and the one before, so that a bound is forgotten before
  // the drift of the clocks matters.
  std::array<Period, 2> periods_;
};

struct DocumentFreshnessOptions {
  /// Age of the knowledge from which on withdrawn keys could be accepted too
  /// long; zero if there is no bound.
  state::Duration max_age{0};
  /// Time after the first sight of a new era of the store in which it confirms
  /// nothing: what it has lost of the era before is being written again.
  state::Duration era_settle_time = std::chrono::seconds(1);
};

/// The last time at which the store is known to have had the document that is
/// in force here, and no later one.
///
/// Invariants: known_at() never decreases; a statement counts only once its
/// version, or a later one, is in force here.
class DocumentFreshness {
 public:
  explicit DocumentFreshness(DocumentFreshnessOptions options = {})
      : options_(options) {}

  void set_max_age(state::Duration max_age) { options_.max_age = max_age; }

  /// The store, or a node that has it from the store, states that \p version
  /// was the latest one at \p reading; \p in_force is the version in force
  /// here. \p clock converts the reading.
  void OnStatement(std::uint64_t version,
                   const StoreTime& reading,
                   std::uint64_t in_force,
                   const StoreClock& clock,
                   state::Instant now);

  /// \p version is in force here from now on.
  void OnVersionInForce(std::uint64_t version,
                        const StoreClock& clock,
                        state::Instant now);

  /// The latest statement that counts, to be passed on to other nodes.
  const std::optional<StoreTime>& statement() const { return statement_; }

  /// Time since the store is known to have had the document in force; nullopt
  /// if that was never known.
  std::optional<state::Duration> Age(state::Instant now) const;

  /// Whether a key of the document in force may be accepted. True if there is
  /// no bound.
  bool IsFresh(state::Instant now) const;

 private:
  struct Pending {
    std::uint64_t version = 0;
    StoreTime reading;
  };

  DocumentFreshnessOptions options_;
  std::optional<StoreTime> statement_;
  std::optional<state::Instant> known_at_;
  // The latest statement of a version that is not in force yet.
  std::optional<Pending> pending_;
  // The latest era seen, and when it was first seen.
  std::uint64_t era_ = 0;
  std::optional<state::Instant> era_seen_at_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_DOCUMENT_FRESHNESS_H_
