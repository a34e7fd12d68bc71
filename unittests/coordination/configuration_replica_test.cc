/// \file
/// Guards against a configuration that is replaced by an older version, is
/// distributed with the wrong content or is not updated, and against too many
/// pulls and platform reads.
#include "sesamespread/coordination/configuration_replica.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "fake_network.h"

namespace sesamespread::coordination {
namespace {

using state::Configuration;
using state::ConfigurationDelta;
using state::ConfigurationVersion;
using state::Instant;

constexpr Instant kStart{std::chrono::seconds(100)};

std::string LimitText(std::uint32_t retries) {
  state::Limits limits;
  limits.retry_allotment = retries;
  return CanonicalText(limits);
}

// The versions 0 to `count`; version i sets limit/all to i and adds limit/x<i>.
std::vector<Configuration> MakeVersions(ConfigurationVersion count) {
  std::vector<Configuration> versions = {Configuration()};
  for (ConfigurationVersion version = 1; version <= count; ++version) {
    const Configuration& last = versions.back();
    ConfigurationDelta delta{version - 1, version, last.digest(), {}};
    delta.changes = {
        {"limit/all", LimitText(static_cast<std::uint32_t>(version))},
        {"limit/x" + std::to_string(version), LimitText(3)}};
    for (const state::EntryChange& change : delta.changes) {
      const auto old = last.entries().find(change.key);
      if (old != last.entries().end())
        delta.digest ^= state::EntryHash(old->first, old->second);
      delta.digest ^= state::EntryHash(change.key, *change.value);
    }
    versions.push_back(last.Apply(delta));
  }
  return versions;
}

ConfigurationDelta Between(const Configuration& from, const Configuration& to) {
  return {from.version(), to.version(), to.digest(),
          from.DifferenceTo(to.entries())};
}

ConfigurationDelta FullCopy(const Configuration& configuration) {
  return Between(Configuration(), configuration);
}

ConfigurationReplica MakeReplica(std::uint64_t seed = 1) {
  return {ConfigurationReplicaOptions(), std::mt19937_64(seed)};
}

// Guards against a push that arrives late and restores an older version.
TEST(ConfigurationReplicaTest, IgnoresStalePushes) {
  const auto versions = MakeVersions(3);
  ConfigurationReplica replica = MakeReplica();
  EXPECT_EQ(replica.OnPush(FullCopy(versions[3]), true, 7, kStart),
            PushResult::kApplied);
  EXPECT_EQ(replica.OnPush(FullCopy(versions[2]), true, 7, kStart),
            PushResult::kStale);
  EXPECT_EQ(replica.OnPush(Between(versions[0], versions[1]), false, 7, kStart),
            PushResult::kStale);
  EXPECT_EQ(*replica.current(), versions[3]);
}

// Guards against a content that does not match the digest of its version.
TEST(ConfigurationReplicaTest, PullsAFullCopyAfterAWrongDigest) {
  const auto versions = MakeVersions(3);
  ConfigurationReplica replica = MakeReplica();
  replica.OnPush(FullCopy(versions[1]), true, 7, kStart);
  const auto peer = MakeNodeRecord(1, "zone-0");
  const auto request =
      replica.OnPeerVersion(2, versions[2].digest(), peer, kStart);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->have_version, 1u);
  ConfigurationDelta wrong = Between(versions[1], versions[2]);
  wrong.changes.pop_back();
  EXPECT_EQ(replica.OnPush(wrong, false, peer.node, kStart),
            PushResult::kRejected);
  EXPECT_EQ(*replica.current(), versions[1]);
  EXPECT_TRUE(replica.stale());

  const auto again = replica.Tick(kStart + std::chrono::seconds(1));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].have_version, 0u);
  EXPECT_EQ(replica.OnPush(FullCopy(versions[2]), true, peer.node, kStart),
            PushResult::kApplied);
  EXPECT_FALSE(replica.stale());
}

// Guards against a delta that is applied to another version than it starts at.
TEST(ConfigurationReplicaTest, PullsAFullCopyAfterAGap) {
  const auto versions = MakeVersions(3);
  ConfigurationReplica replica = MakeReplica();
  replica.OnPush(FullCopy(versions[1]), true, 7, kStart);
  const auto peer = MakeNodeRecord(1, "zone-0");
  replica.OnPeerVersion(3, versions[3].digest(), peer, kStart);
  EXPECT_EQ(replica.OnPush(Between(versions[2], versions[3]), false, peer.node,
                           kStart),
            PushResult::kGap);
  const auto requests = replica.Tick(kStart + std::chrono::seconds(1));
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].have_version, 0u);
}

// Guards against an old version that is displayed as the newest one.
TEST(ConfigurationReplicaTest, IsStaleUntilTheHighestVersionSeenIsInForce) {
  const auto versions = MakeVersions(2);
  ConfigurationReplica replica = MakeReplica();
  const auto peer = MakeNodeRecord(1, "zone-0");
  replica.OnPeerVersion(2, versions[2].digest(), peer, kStart);
  replica.OnPush(FullCopy(versions[1]), true, peer.node, kStart);
  EXPECT_EQ(replica.highest_seen(), 2u);
  EXPECT_TRUE(replica.stale());
  replica.OnPush(Between(versions[1], versions[2]), false, peer.node, kStart);
  EXPECT_FALSE(replica.stale());
}

// Guards against a pull from every one of many peers with a newer version, and
// against a failed pull that is never retried.
TEST(ConfigurationReplicaTest, BoundsPullsAndRetriesWithBackoff) {
  const auto versions = MakeVersions(9);
  const ConfigurationReplicaOptions options;
  ConfigurationReplica replica(options, std::mt19937_64(1));
  std::size_t requests = 0;
  for (std::size_t i = 1; i <= 100; ++i) {
    const ConfigurationVersion version = 1 + i % 9;
    requests += replica
                    .OnPeerVersion(version, versions[version].digest(),
                                   MakeNodeRecord(i, "zone-0"), kStart)
                    .has_value();
  }
  EXPECT_LE(requests, options.max_pulls_in_flight);
  EXPECT_LE(replica.pulls_in_flight(), options.max_pulls_in_flight);

  // No peer answers for a minute.
  Instant now = kStart;
  for (int i = 0; i < 600; ++i) {
    now += std::chrono::milliseconds(100);
    replica.OnPeerVersion(9, versions[9].digest(), MakeNodeRecord(1, "zone-0"),
                          now);
    requests += replica.Tick(now).size();
    EXPECT_LE(replica.pulls_in_flight(), options.max_pulls_in_flight);
  }
  EXPECT_GE(requests, 10u);
  // Two at a time, each with a timeout of 2 s.
  EXPECT_LE(requests, 70u);
}

// Guards against a full copy for a peer that needs only stored deltas, and
// against deltas stored without bound.
TEST(ConfigurationReplicaTest, AnswersWithMergedDeltasOrAFullCopy) {
  const auto versions = MakeVersions(300);
  const ConfigurationReplicaOptions options;
  ConfigurationReplica replica = MakeReplica();
  for (std::size_t i = 1; i < versions.size(); ++i)
    replica.OnPush(Between(versions[i - 1], versions[i]), false, 7, kStart);
  EXPECT_LE(replica.delta_count(), options.max_deltas);
  EXPECT_LE(replica.delta_bytes(), options.max_delta_bytes);
  EXPECT_EQ(replica.AnswerPull(300), std::nullopt);
  EXPECT_EQ(replica.AnswerPull(301), std::nullopt);

  const auto recent = replica.AnswerPull(290);
  ASSERT_TRUE(recent && !recent->full);
  EXPECT_EQ(recent->delta.changes.size(), 11u);
  EXPECT_EQ(versions[290].Apply(recent->delta), versions[300]);

  const auto old = replica.AnswerPull(3);
  ASSERT_TRUE(old && old->full);
  EXPECT_EQ(Configuration().Apply(old->delta), versions[300]);
}

// Guards against two contents of one version that are never reconciled.
TEST(ConfigurationReplicaTest, ReplacesADivergedContentFromThePlatform) {
  const auto versions = MakeVersions(2);
  Configuration::Entries other = versions[2].entries();
  other["limit/all"] = LimitText(99);
  const Configuration wrong(2, other);
  ConfigurationReplica replica = MakeReplica();
  replica.OnPush(FullCopy(wrong), true, 7, kStart);
  replica.OnPeerVersion(2, versions[2].digest(), MakeNodeRecord(1, "zone-0"),
                        kStart);
  EXPECT_TRUE(replica.stale());
  EXPECT_EQ(replica.OnPush(FullCopy(versions[2]), true, 7, kStart),
            PushResult::kStale);
  Instant now = kStart;
  bool read = false;
  for (int i = 0; i < 1'000 && !read; ++i) {
    now += std::chrono::milliseconds(100);
    read = replica.ShouldReadPlatform(false, false, now);
  }
  ASSERT_TRUE(read);
  EXPECT_EQ(replica.OnPlatformHead(2, versions[2].digest()),
            (PlatformReadRequest{true, 0, 2}));
  EXPECT_EQ(replica.OnPush(FullCopy(versions[2]), true, 0, now),
            PushResult::kApplied);
  EXPECT_EQ(*replica.current(), versions[2]);
  EXPECT_FALSE(replica.stale());
}

// Guards against a stale read of the table that is taken for the newest
// version.
TEST(ConfigurationReplicaTest, IgnoresStaleReadsOfThePlatform) {
  const auto versions = MakeVersions(5);
  ConfigurationReplica replica = MakeReplica();
  EXPECT_EQ(replica.OnPlatformHead(4, versions[4].digest()),
            (PlatformReadRequest{true, 0, 4}));
  replica.OnPush(FullCopy(versions[4]), true, 0, kStart);
  EXPECT_EQ(replica.OnPlatformHead(3, versions[3].digest()), std::nullopt);
  EXPECT_EQ(replica.OnPlatformHead(4, versions[4].digest()), std::nullopt);
  EXPECT_EQ(replica.highest_seen(), 4u);
  EXPECT_EQ(replica.OnPlatformHead(5, versions[5].digest()),
            (PlatformReadRequest{false, 5, 5}));
}

// Guards against more reads than the platform's capacity.
TEST(ConfigurationReplicaTest, OnlyPlatformReadersReadEverySecond) {
  const auto reads_in_10_minutes = [](bool reader, bool isolated) {
    ConfigurationReplica replica = MakeReplica(7);
    int reads = 0;
    for (int i = 0; i < 6'000; ++i)
      reads += replica.ShouldReadPlatform(
          reader, isolated, kStart + i * std::chrono::milliseconds(100));
    return reads;
  };
  EXPECT_NEAR(reads_in_10_minutes(true, false), 600, 2);
  EXPECT_EQ(reads_in_10_minutes(false, false), 0);
  EXPECT_NEAR(reads_in_10_minutes(false, true), 20, 5);
}

// Guards against nodes that select different readers, and against a change of
// all readers when one is lost.
TEST(ConfigurationReplicaTest,
     SelectsTwoReadersPerZoneAndReplacesOnlyALostOne) {
  std::vector<state::NodeRecord> records;
  for (std::size_t i = 0; i < 40; ++i)
    records.push_back(MakeNodeRecord(i, i % 2 ? "a" : "b"));
  const auto readers = SelectPlatformReaders("a", records);
  ASSERT_EQ(readers.size(), kReadersPerZone);
  auto shuffled = records;
  std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(3));
  EXPECT_EQ(SelectPlatformReaders("a", shuffled), readers);

  for (state::NodeRecord& record : records) {
    if (record.node == readers[0])
      record.liveness = state::Liveness::kDead;
  }
  const auto next = SelectPlatformReaders("a", records);
  EXPECT_EQ(next[0], readers[1]);
  EXPECT_EQ(SelectPlatformReaders("c", records).size(), 0u);
}

// Guards against replicas that are not updated although gossip announces newer
// versions, when pulls are lost, and against any replica installing an older
// one.
TEST(ConfigurationReplicaTest,
     AllReplicasConvergeAndNoneInstallsAnOlderVersion) {
  constexpr std::size_t kCount = 30;
  const auto versions = MakeVersions(40);
  std::mt19937_64 random(11);
  std::vector<ConfigurationReplica> replicas;
  std::vector<state::NodeRecord> records;
  for (std::size_t i = 0; i < kCount; ++i) {
    replicas.push_back(MakeReplica(i));
    records.push_back(MakeNodeRecord(i, "zone-0"));
  }
  std::vector<std::pair<std::size_t, ConfigurationPullRequest>> requests;
  Instant now = kStart;
  const auto serve = [&] {
    for (const auto& [puller, request] : std::exchange(requests, {})) {
      const auto source = static_cast<std::size_t>(
          std::find_if(records.begin(), records.end(),
                       [&request = request](const state::NodeRecord& record) {
                         return record.node == request.node;
                       }) -
          records.begin());
      const auto answer = replicas[source].AnswerPull(request.have_version);
      if (!answer || random() % 3 == 0)
        continue;  // The answer is lost; the pull times out.
      const ConfigurationVersion before = replicas[puller].current()->version();
      replicas[puller].OnPush(answer->delta, answer->full, request.node, now);
      EXPECT_GE(replicas[puller].current()->version(), before);
    }
  };
  std::size_t next_version = 1;
  bool converged = false;
  for (int step = 0; step < 600 && !converged; ++step) {
    now += std::chrono::milliseconds(100);
    if (step % 5 == 0 && next_version < versions.size()) {
      // Replica 0 reads the platform.
      replicas[0].OnPush(
          Between(versions[next_version - 1], versions[next_version]), false, 0,
          now);
      ++next_version;
    }
    for (std::size_t i = 0; i < kCount; ++i) {
      for (auto& request : replicas[i].Tick(now))
        requests.emplace_back(i, std::move(request));
      const std::size_t to = random() % kCount;
      const auto& shown = *replicas[i].current();
      if (auto request = replicas[to].OnPeerVersion(
              shown.version(), shown.digest(), records[i], now))
        requests.emplace_back(to, std::move(*request));
    }
    serve();
    converged = next_version == versions.size() &&
                std::all_of(replicas.begin(), replicas.end(),
                            [&](const ConfigurationReplica& replica) {
                              return *replica.current() == versions.back();
                            });
  }
  EXPECT_TRUE(converged);
}

}  // namespace
}  // namespace sesamespread::coordination
