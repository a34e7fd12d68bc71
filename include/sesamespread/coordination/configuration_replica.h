/// \file
/// The configuration in force at one node. Decides when to pull newer versions
/// from peers and when to read the platform, and never installs an older
/// version.
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

/// Number of platform readers, the nodes of a zone that read the platform's
/// table regularly.
constexpr std::size_t kReadersPerZone = 2;

/// The platform readers of \p zone: the kReadersPerZone nodes of \p live_nodes
/// with the highest rendezvous hash, highest first. All nodes with the same
/// view of the membership select the same readers, and the loss of a reader
/// replaces only that one.
std::vector<state::NodeId> SelectPlatformReaders(
    std::string_view zone,
    std::span<const state::NodeId> live_nodes);

/// As above, from \p records; skips nodes of other zones, dead nodes and nodes
/// whose backend server is leaving.
std::vector<state::NodeId> SelectPlatformReaders(
    std::string_view zone,
    std::span<const state::NodeRecord> records);

/// Limits and timers of ConfigurationReplica.
struct ConfigurationReplicaOptions {
  std::size_t max_pulls_in_flight = 2;
  /// A pull without an answer for this long has failed.
  state::Duration pull_timeout = std::chrono::seconds(2);
  /// Time after a failed pull in which the node is not pulled from again.
  /// Doubled for each further failure, plus a jitter of up to the same length.
  state::Duration min_backoff = std::chrono::milliseconds(100);
  state::Duration max_backoff = std::chrono::seconds(5);
  /// Bounds on the deltas stored for peers with older versions.
  std::size_t max_deltas = 256;
  std::size_t max_delta_bytes = 1 << 20;
  /// Nodes stored as sources of a newer version.
  std::size_t max_sources = 8;
  /// Time between reads of the head row by a platform reader.
  state::Duration reader_interval = std::chrono::seconds(1);
  /// Mean time between reads of an isolated node that is not a platform reader.
  /// 32,000 isolated nodes make 1,067 reads/s, below the platform's limit of
  /// 2,000.
  state::Duration isolated_interval = std::chrono::seconds(30);
};

/// A pull to send to `node`; have_version 0 requests a full copy.
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

/// Result of a push.
enum class PushResult : std::uint8_t {
  /// A newer version is in force.
  kApplied,
  /// Not newer than the version in force; ignored.
  kStale,
  /// The delta does not start at the version in force; ignored, and pulled
  /// again later.
  kGap,
  /// The content does not match its digest or is malformed; the next pull
  /// requests a full copy.
  kRejected,
};

/// A read of the platform's table: the change rows of the versions `first` to
/// `last`, or the whole content if `full`.
struct PlatformReadRequest {
  bool full = false;
  state::ConfigurationVersion first = 0;
  state::ConfigurationVersion last = 0;

  auto operator<=>(const PlatformReadRequest&) const = default;
};

/// The replica of one node. Not thread-safe; all calls are made by the control
/// thread.
class ConfigurationReplica {
 public:
  ConfigurationReplica(const ConfigurationReplicaOptions& options,
                       std::mt19937_64 random);

  /// The configuration in force; initially version 0 without entries.
  std::shared_ptr<const state::Configuration> current() const {
    return current_;
  }
  /// The highest version seen at any peer or at the platform.
  state::ConfigurationVersion highest_seen() const { return highest_seen_; }
  /// True if a newer version than the one in force exists, or if a peer or the
  /// platform has another digest for the same version. Whoever displays
  /// current() must display this too.
  bool stale() const { return highest_seen_ > version() || diverged_; }

  /// Handles the configuration version and digest in a datagram of the peer
  /// \p from. \returns the pull to send now, if any.
  std::optional<ConfigurationPullRequest> OnPeerVersion(
      state::ConfigurationVersion version,
      std::uint64_t digest,
      const state::NodeRecord& from,
      state::Instant now);

  /// Times out pulls and starts others; must be called every 100 ms.
  std::vector<ConfigurationPullRequest> Tick(state::Instant now);

  /// Handles a push, or an answer to a pull, from the node \p from (0 for the
  /// platform). If \p full, the changes of \p delta are the whole content.
  PushResult OnPush(const state::ConfigurationDelta& delta,
                    bool full,
                    state::NodeId from,
                    state::Instant now);

  /// Handles a pull that failed because the link to \p node failed or the node
  /// has no newer version.
  void OnPullFailed(state::NodeId node, state::Instant now);

  /// The answer to a pull of a peer, or nullopt if no version newer than
  /// \p have_version is in force here.
  std::optional<ConfigurationPullAnswer> AnswerPull(
      state::ConfigurationVersion have_version) const;

  /// True if the platform's head row must be read now: every reader_interval on
  /// a platform reader; every isolated_interval on average on another node, and
  /// only while gossip is isolated or two contents exist for one version.
  /// Schedules the next read when it returns true.
  bool ShouldReadPlatform(bool is_reader, bool isolated, state::Instant now);

  /// Handles a read of the head row. \returns the read to make next, or nullopt
  /// if there is nothing to read. A head older than the version in force comes
  /// from a stale read and is ignored.
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
  void RecordPullFailure(state::NodeId node, state::Instant now);
  void Install(state::Configuration next);
  void StoreDelta(const state::ConfigurationDelta& delta);
  void RemoveOutdatedSources();

  const ConfigurationReplicaOptions options_;
  std::mt19937_64 random_;
  // Never null; its version never decreases.
  std::shared_ptr<const state::Configuration> current_;
  state::ConfigurationVersion highest_seen_ = 0;
  // Another content exists for the version in force.
  bool diverged_ = false;
  // The next pull requests a full copy.
  bool needs_full_copy_ = false;
  // Contiguous: each starts at the version where the previous one ends, and the
  // last one ends at the version of current_.
  std::deque<state::ConfigurationDelta> deltas_;
  std::size_t delta_bytes_ = 0;
  std::map<state::NodeId, Source> sources_;
  std::map<state::NodeId, Pull> pulls_;
  std::optional<state::Instant> next_platform_read_;
  bool was_reader_ = false;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CONFIGURATION_REPLICA_H_
