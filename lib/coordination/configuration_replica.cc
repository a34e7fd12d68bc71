/// \file
/// Pulls from peers, stored deltas and the schedule of platform reads.
#include "sesamespread/coordination/configuration_replica.h"

#include <algorithm>
#include <utility>

#include "sesamespread/state/result_code.h"

namespace sesamespread::coordination {
namespace {

using state::ConfigurationDelta;
using state::ConfigurationVersion;
using state::Duration;
using state::Instant;

// Bounds the shift in the exponential backoff.
constexpr std::uint32_t kMaxDoublings = 10;

// Memory of one stored change besides the bytes of its texts.
constexpr std::size_t kChangeOverheadBytes = 96;

std::size_t BytesOf(const ConfigurationDelta& delta) {
  std::size_t bytes = sizeof(delta);
  for (const state::EntryChange& change : delta.changes)
    bytes += kChangeOverheadBytes + change.key.size() +
             (change.value ? change.value->size() : 0);
  return bytes;
}

Duration Jitter(Duration span, std::mt19937_64* random) {
  if (span.count() <= 0)
    return Duration(0);
  return Duration((*random)() % static_cast<std::uint64_t>(span.count()));
}

}  // namespace

std::vector<state::NodeId> SelectPlatformReaders(
    std::string_view zone,
    std::span<const state::NodeId> live_nodes) {
  const std::uint64_t seed = state::HashOf(zone);
  std::vector<std::pair<std::uint64_t, state::NodeId>> scores;
  scores.reserve(live_nodes.size());
  for (const state::NodeId node : live_nodes)
    scores.emplace_back(state::HashOf(seed, node), node);
  const std::size_t count = std::min(kReadersPerZone, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<std::ptrdiff_t>(count),
                    scores.end(), std::greater<>());
  std::vector<state::NodeId> readers;
  for (std::size_t i = 0; i < count; ++i)
    readers.push_back(scores[i].second);
  return readers;
}

std::vector<state::NodeId> SelectPlatformReaders(
    std::string_view zone,
    std::span<const state::NodeRecord> records) {
  std::vector<state::NodeId> live;
  for (const state::NodeRecord& record : records) {
    if (record.zone == zone && record.liveness != state::Liveness::kDead &&
        record.backend_state != state::BackendState::kLeaving)
      live.push_back(record.node);
  }
  return SelectPlatformReaders(zone, std::span<const state::NodeId>(live));
}

ConfigurationReplica::ConfigurationReplica(
    const ConfigurationReplicaOptions& options,
    std::mt19937_64 random)
    : options_(options),
      random_(random),
      current_(std::make_shared<state::Configuration>()) {}

std::optional<ConfigurationPullRequest> ConfigurationReplica::OnPeerVersion(
    ConfigurationVersion peer_version,
    std::uint64_t digest,
    const state::NodeRecord& from,
    Instant now) {
  highest_seen_ = std::max(highest_seen_, peer_version);
  if (peer_version == version() && digest != current_->digest()) {
    // Peers cannot decide which content is right; the platform is read.
    diverged_ = true;
    return std::nullopt;
  }
  if (peer_version <= version())
    return std::nullopt;
  const auto known = sources_.find(from.node);
  if (known != sources_.end()) {
    known->second.version = std::max(known->second.version, peer_version);
    known->second.peer = from.peer;
  } else if (sources_.size() < options_.max_sources) {
    sources_[from.node] = {from.peer, peer_version, 0, now};
  }
  return StartPull(now);
}

std::vector<ConfigurationPullRequest> ConfigurationReplica::Tick(Instant now) {
  std::vector<state::NodeId> timed_out;
  for (const auto& [node, pull] : pulls_) {
    if (pull.deadline <= now)
      timed_out.push_back(node);
  }
  for (const state::NodeId node : timed_out)
    RecordPullFailure(node, now);
  std::vector<ConfigurationPullRequest> requests;
  while (auto request = StartPull(now))
    requests.push_back(std::move(*request));
  return requests;
}

// Pulls from the best source: the highest version, then the fewest failures.
// While a pull is in flight, another one is started only for a higher version.
std::optional<ConfigurationPullRequest> ConfigurationReplica::StartPull(
    Instant now) {
  if (pulls_.size() >= options_.max_pulls_in_flight)
    return std::nullopt;
  ConfigurationVersion wanted = version();
  for (const auto& [node, pull] : pulls_)
    wanted = std::max(wanted, pull.wanted);
  auto best = sources_.end();
  for (auto source = sources_.begin(); source != sources_.end(); ++source) {
    if (source->second.version <= wanted || source->second.not_before > now ||
        pulls_.count(source->first) > 0)
      continue;
    if (best == sources_.end() ||
        std::pair(source->second.version, best->second.failures) >
            std::pair(best->second.version, source->second.failures))
      best = source;
  }
  if (best == sources_.end())
    return std::nullopt;
  pulls_[best->first] = {now + options_.pull_timeout, best->second.version};
  return ConfigurationPullRequest{best->first, best->second.peer,
                                  needs_full_copy_ ? 0 : version()};
}

void ConfigurationReplica::OnPullFailed(state::NodeId node, Instant now) {
  RecordPullFailure(node, now);
}

void ConfigurationReplica::RecordPullFailure(state::NodeId node, Instant now) {
  pulls_.erase(node);
  const auto found = sources_.find(node);
  if (found == sources_.end())
    return;
  Source& source = found->second;
  const std::uint32_t doublings = std::min(source.failures, kMaxDoublings);
  ++source.failures;
  const Duration backoff =
      std::min(options_.max_backoff, options_.min_backoff * (1 << doublings));
  source.not_before = now + backoff + Jitter(backoff, &random_);
  // Makes room for another source.
  if (backoff >= options_.max_backoff)
    sources_.erase(found);
}

PushResult ConfigurationReplica::OnPush(const ConfigurationDelta& delta,
                                        bool full,
                                        state::NodeId from,
                                        Instant now) {
  highest_seen_ = std::max(highest_seen_, delta.to);
  // A content of the same version is replaced only if another one was seen, and
  // only by a full copy from the platform.
  const bool is_repair =
      diverged_ && full && from == 0 && delta.to == version();
  if (delta.to <= version() && !is_repair) {
    // The node has answered a pull without a newer version.
    if (pulls_.count(from) > 0)
      RecordPullFailure(from, now);
    return PushResult::kStale;
  }
  try {
    if (full) {
      Install(state::Configuration().Apply(
          {0, delta.to, delta.digest, delta.changes}));
      deltas_.clear();
      delta_bytes_ = 0;
    } else if (delta.from == version()) {
      Install(current_->Apply(delta));
      StoreDelta(delta);
    } else {
      // Another version was installed while the pull was in flight, or the
      // delta starts at a version that is not in force here yet.
      RecordPullFailure(from, now);
      needs_full_copy_ = delta.from > version();
      return PushResult::kGap;
    }
  } catch (const state::Error&) {
    needs_full_copy_ = true;
    RecordPullFailure(from, now);
    return PushResult::kRejected;
  }
  pulls_.erase(from);
  needs_full_copy_ = false;
  diverged_ = false;
  const auto source = sources_.find(from);
  if (source != sources_.end())
    source->second.failures = 0;
  RemoveOutdatedSources();
  return PushResult::kApplied;
}

void ConfigurationReplica::Install(state::Configuration next) {
  current_ = std::make_shared<const state::Configuration>(std::move(next));
}

void ConfigurationReplica::StoreDelta(const ConfigurationDelta& delta) {
  deltas_.push_back(delta);
  delta_bytes_ += BytesOf(delta);
  while (!deltas_.empty() && (deltas_.size() > options_.max_deltas ||
                              delta_bytes_ > options_.max_delta_bytes)) {
    delta_bytes_ -= BytesOf(deltas_.front());
    deltas_.pop_front();
  }
}

void ConfigurationReplica::RemoveOutdatedSources() {
  std::erase_if(sources_, [this](const auto& entry) {
    return entry.second.version <= version();
  });
}

std::optional<ConfigurationPullAnswer> ConfigurationReplica::AnswerPull(
    ConfigurationVersion have_version) const {
  if (have_version >= version())
    return std::nullopt;
  ConfigurationPullAnswer answer;
  answer.delta.to = version();
  answer.delta.digest = current_->digest();
  const auto first = std::find_if(
      deltas_.begin(), deltas_.end(),
      [have_version](const auto& delta) { return delta.from == have_version; });
  if (first == deltas_.end() || have_version == 0) {
    answer.full = true;
    for (const auto& [key, value] : current_->entries())
      answer.delta.changes.push_back({key, value});
    return answer;
  }
  // Keeps only the last change of each entry.
  std::map<std::string_view, const state::EntryChange*> merged;
  for (auto delta = first; delta != deltas_.end(); ++delta) {
    for (const state::EntryChange& change : delta->changes)
      merged[change.key] = &change;
  }
  answer.delta.from = have_version;
  for (const auto& [key, change] : merged)
    answer.delta.changes.push_back(*change);
  return answer;
}

bool ConfigurationReplica::ShouldReadPlatform(bool is_reader,
                                              bool isolated,
                                              Instant now) {
  const bool became_reader = is_reader && !was_reader_;
  was_reader_ = is_reader;
  if (!is_reader && !isolated && !diverged_) {
    next_platform_read_.reset();
    return false;
  }
  const Duration half = options_.isolated_interval / 2;
  if (!next_platform_read_ || became_reader) {
    // Spreads the reads of nodes that become isolated together.
    next_platform_read_ =
        now + (is_reader ? Jitter(options_.reader_interval, &random_)
                         : Jitter(options_.isolated_interval, &random_));
  }
  if (now < *next_platform_read_)
    return false;
  next_platform_read_ =
      now + (is_reader ? options_.reader_interval
                       : half + Jitter(options_.isolated_interval, &random_));
  return true;
}

std::optional<PlatformReadRequest> ConfigurationReplica::OnPlatformHead(
    ConfigurationVersion head,
    std::uint64_t digest) {
  highest_seen_ = std::max(highest_seen_, head);
  if (head == version()) {
    if (digest == current_->digest()) {
      diverged_ = false;
      return std::nullopt;
    }
    diverged_ = true;
    return PlatformReadRequest{true, 0, head};
  }
  if (head < version())
    return std::nullopt;
  if (needs_full_copy_ || version() == 0 ||
      head - version() > options_.max_deltas)
    return PlatformReadRequest{true, 0, head};
  return PlatformReadRequest{false, version() + 1, head};
}

}  // namespace sesamespread::coordination
