/// \file
/// The configuration in force at one node: pulls newer versions from peers and
/// from the platform, and never goes backwards.
#ifndef SESAMESPREAD_COORDINATION_CONFIGURATION_REPLICA_H_
#define SESAMESPREAD_COORDINATION_CONFIGURATION_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "sesamespread/state/configuration.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Number of nodes of a zone that read the platform's table.
constexpr std::size_t kReadersPerZone = 2;

/// The readers of \p zone among \p live_nodes: the two nodes with the highest
/// rendezvous hash, best first. Every node finds the same two from the same
/// membership, and a lost reader moves only its own place.
std::vector<state::NodeId> SelectPlatformReaders(
    std::string_view zone,
    std::span<const state::NodeId> live_nodes);

/// The same over records; those of other zones, dead ones and leaving ones are
/// passed over.
std::vector<state::NodeId> SelectPlatformReaders(
    std::string_view zone,
    std::span<const state::NodeRecord> records);

/// Limits and timers of ConfigurationReplica.
struct ConfigurationReplicaOptions {
  std::size_t max_pulls_in_flight = 2;
  /// A pull without an answer for this long has failed.
  state::Duration pull_timeout = std::chrono::seconds(2);
  /// After a failed pull from a node, doubled for each further failure, with
  /// jitter of up to the same length.
  state::Duration min_backoff = std::chrono::milliseconds(100);
  state::Duration max_backoff = std::chrono::seconds(5);
  /// Deltas kept for peers that are behind.
  std::size_t max_deltas = 256;
  std::size_t max_delta_bytes = 1 << 20;
  /// Nodes remembered as sources of a newer version.
  std::size_t max_sources = 8;
  state::Duration reader_interval = std::chrono::seconds(1);
  /// Mean time between reads of an isolated node that is no reader; 32,000
  /// isolated nodes make 1,067 reads/s, below the platform's 2,000.
  state::Duration isolated_interval = std::chrono::seconds(30);
};

/// A pull to send to `node`. have_version 0 asks for a full copy.
struct ConfigurationPullRequest {
  state::NodeId node = 0;
  state::Endpoint peer;
  state::ConfigurationVersion have_version = 0;

  auto operator<=>(const ConfigurationPullRequest&) const = default;
};

/// Answer to a pull. If `full`, delta.from is 0 and the changes hold the whole
/// content.
struct ConfigurationPullAnswer {
  state::ConfigurationDelta delta;
  bool full = false;
};

/// What became of a push.
enum class PushResult : std::uint8_t {
  /// A newer version is in force.
  kApplied,
  /// Not newer than what is in force; ignored.
  kStale,
  /// Does not start at our version; pulled again.
  kGap,
  /// The content does not match its digest or can't be read; a full copy is
  /// pulled.
  kRejected,
};

/// Change rows that have to be read from the platform's table, or everything.
struct PlatformReadRequest {
  bool full = false;
  state::ConfigurationVersion first = 0;
  state::ConfigurationVersion last = 0;

  auto operator<=>(const PlatformReadRequest&) const = default;
};

/// Not thread-safe; all calls are made by the control thread.
class ConfigurationReplica {
 public:
  ConfigurationReplica(const ConfigurationReplicaOptions& options,
                       std::mt19937_64 random);

  /// The configuration in force; version 0 without entries at the start.
  std::shared_ptr<const state::Configuration> current() const {
    return current_;
  }
  /// The highest version that any contact or the platform has shown.
  state::ConfigurationVersion highest_seen() const { return highest_seen_; }
  /// True if a newer version than the one in force is known to exist, or if a
  /// contact has another content under our version. Whoever shows current()
  /// must say so.
  bool stale() const { return highest_seen_ > version() || diverged_; }

  /// A node showed a version. \returns the pull to send now, if any.
  std::optional<ConfigurationPullRequest> OnPeerVersion(
      state::ConfigurationVersion version,
      std::uint64_t digest,
      const state::NodeRecord& from,
      state::Instant now);

  /// Times out pulls and starts others; to be called every 100 ms.
  std::vector<ConfigurationPullRequest> Tick(state::Instant now);

  /// A push arrived from \p from (0 for the platform).
  PushResult OnPush(const state::ConfigurationDelta& delta,
                    bool full,
                    state::NodeId from,
                    state::Instant now);

  /// The link to \p node failed, or it answered that it has nothing newer.
  void OnPullFailed(state::NodeId node, state::Instant now);

  /// What to answer to a pull, or nullopt if nothing newer is in force here.
  std::optional<ConfigurationPullAnswer> AnswerPull(
      state::ConfigurationVersion have_version) const;

  /// True if the platform's head row has to be read now: each second as a
  /// reader, otherwise only while gossip is isolated or contents differ under
  /// one version. Counts as the start of a read.
  bool ShouldReadPlatform(bool is_reader, bool isolated, state::Instant now);

  /// The head row was read. \returns what to read next; nullopt if the head is
  /// not newer than what is in force, as an old read is.
  std::optional<PlatformReadRequest> OnPlatformHead(
      state::ConfigurationVersion version,
      std::uint64_t digest);

  std::size_t pulls_in_flight() const { return pulls_.size(); }
  std::size_t delta_count() const { return deltas_.size(); }
  std::size_t delta_bytes() const { return delta_bytes_; }

 private:
  struct Source {
    state::Endpoint peer;
    state::ConfigurationVersion version = 0;
    std::uint32_t failures = 0;
    state::Instant not_before{};
  };
  struct Pull {
    state::Instant deadline{};
    state::ConfigurationVersion wanted = 0;
  };

  state::ConfigurationVersion version() const { return current_->version(); }
  std::optional<ConfigurationPullRequest> StartPull(state::Instant now);
  void Fail(state::NodeId node, state::Instant now);
  void Install(state::Configuration next);
  void Keep(const state::ConfigurationDelta& delta);
  void DropOldSources();

  const ConfigurationReplicaOptions options_;
  std::mt19937_64 random_;
  // Never null; its version only grows.
  std::shared_ptr<const state::Configuration> current_;
  state::ConfigurationVersion highest_seen_ = 0;
  bool diverged_ = false;
  // The next pull asks for a full copy.
  bool want_full_ = false;
  // Contiguous: each starts where the one before ends, the last ends at
  // current_.
  std::deque<state::ConfigurationDelta> deltas_;
  std::size_t delta_bytes_ = 0;
  std::map<state::NodeId, Source> sources_;
  std::map<state::NodeId, Pull> pulls_;
  std::optional<state::Instant> next_platform_read_;
  bool was_reader_ = false;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CONFIGURATION_REPLICA_H_
