/// \file
/// Carries datagrams between Membership objects in virtual time, with delay,
/// loss, cut links and paused or dead nodes.
#ifndef SESAMESPREAD_UNITTESTS_COORDINATION_FAKE_NETWORK_H_
#define SESAMESPREAD_UNITTESTS_COORDINATION_FAKE_NETWORK_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sesamespread/coordination/membership.h"

namespace sesamespread::coordination {

/// The record of node \p index in \p zone.
inline state::NodeRecord MakeNodeRecord(std::size_t index,
                                        const std::string& zone) {
  state::NodeRecord record;
  record.name = "host-" + std::to_string(index);
  record.node = state::NodeIdOf(record.name);
  record.incarnation = IncarnationAfter(index, index);
  record.zone = zone;
  const std::string address = "10.0." + std::to_string(index / 250) + "." +
                              std::to_string(index % 250 + 1);
  record.peer = {address, 7001};
  record.gossip = {address, 7002};
  return record;
}

class FakeNetwork {
 public:
  struct Host {
    std::unique_ptr<Membership> membership;
    bool up = true;
    bool paused = false;
    std::vector<GossipMessage> inbox;
    std::vector<MembershipEvent> events;
    std::uint64_t bytes_before = 0;
    std::uint64_t max_bytes_per_second = 0;
  };

  /// \p count nodes in \p zones zones ("zone-0", ...). If \p know_each_other,
  /// all hold the records of all and nodes 0, 2 and 3 are the seeds; otherwise
  /// node 0 is everyone's seed.
  FakeNetwork(std::size_t count,
              std::size_t zones,
              bool know_each_other = true,
              std::uint64_t seed = 1)
      : random_(seed) {
    std::vector<state::NodeRecord> records;
    for (std::size_t i = 0; i < count; ++i)
      records.push_back(MakeNodeRecord(i, "zone-" + std::to_string(i % zones)));
    std::vector<state::Endpoint> seeds = {records[0].gossip};
    for (std::size_t i = 2; know_each_other && i < std::min(count, kSeedsEnd);
         ++i)
      seeds.push_back(records[i].gossip);
    for (const state::NodeRecord& record : records)
      Start(record, seeds);
    if (!know_each_other)
      return;
    for (std::size_t i = 0; i < count; ++i)
      records[i] = hosts[i].membership->own();
    for (Host& host : hosts)
      host.membership->ApplyRecords(records, now);
  }

  /// Adds a host that runs a node with \p record.
  void Start(const state::NodeRecord& record,
             const std::vector<state::Endpoint>& seeds) {
    Host host;
    host.membership = std::make_unique<Membership>(
        record, seeds, MembershipOptions(), std::mt19937_64(random_()), now);
    hosts.push_back(std::move(host));
  }

  Membership& operator[](std::size_t i) { return *hosts[i].membership; }

  void Run(state::Duration duration) {
    RunUntil(duration, [] { return false; });
  }

  /// Runs until \p done or \p limit. \returns the time it took, or -1 s if the
  /// limit was reached.
  state::Duration RunUntil(state::Duration limit,
                           const std::function<bool()>& done) {
    const state::Instant start = now;
    while (now - start < limit) {
      Step();
      if (done())
        return now - start;
    }
    return -std::chrono::seconds(1);
  }

  void Resume(std::size_t i) {
    Host& host = hosts[i];
    host.paused = false;
    for (const GossipMessage& message : std::exchange(host.inbox, {}))
      host.membership->Receive(message, EncodedBytesBound(message), now);
    Collect(i);
  }

  /// True if \p predicate holds for every host that is up.
  bool All(const std::function<bool(Membership&)>& predicate) {
    return std::all_of(hosts.begin(), hosts.end(), [&](Host& host) {
      return !host.up || predicate(*host.membership);
    });
  }

  std::uint64_t Sum(std::uint64_t MembershipCounters::*counter) {
    std::uint64_t sum = 0;
    for (const Host& host : hosts)
      sum += host.up ? host.membership->counters().*counter : 0;
    return sum;
  }

  std::uint64_t MaxBytesPerSecond() const {
    std::uint64_t max = 0;
    for (const Host& host : hosts)
      max = std::max(max, host.max_bytes_per_second);
    return max;
  }

  state::Instant now{std::chrono::seconds(1000)};
  std::vector<Host> hosts;
  /// Share of datagrams that are lost.
  double loss = 0;
  /// If set, datagrams from the first to the second host that it is true for
  /// are lost.
  std::function<bool(std::size_t, std::size_t)> cut;

 private:
  static constexpr state::Duration kStep = std::chrono::milliseconds(10);
  static constexpr std::size_t kSeedsEnd = 4;
  static constexpr std::size_t kStepsPerTick = 10;
  static constexpr std::size_t kStepsPerSecond = 100;

  struct Flying {
    state::Instant arrival;
    std::uint64_t number;
    std::size_t to;
    GossipMessage message;
    bool operator<(const Flying& other) const {
      return std::pair(arrival, number) >
             std::pair(other.arrival, other.number);
    }
  };

  void Step() {
    now += kStep;
    ++step_;
    while (!flying_.empty() && flying_.top().arrival <= now) {
      const Flying flying = flying_.top();
      flying_.pop();
      Host& host = hosts[flying.to];
      if (!host.up)
        continue;
      if (host.paused) {
        host.inbox.push_back(flying.message);
        continue;
      }
      host.membership->Receive(flying.message,
                               EncodedBytesBound(flying.message), now);
      Collect(flying.to);
    }
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (!hosts[i].up || hosts[i].paused)
        continue;
      if ((step_ + i) % kStepsPerTick == 0) {
        hosts[i].membership->Tick(now);
        Collect(i);
      }
      if (step_ % kStepsPerSecond == 0)
        MeasureBytes(&hosts[i]);
    }
  }

  void Collect(std::size_t i) {
    for (OutgoingGossip& out : hosts[i].membership->TakeDatagrams())
      Carry(i, std::move(out));
    for (MembershipEvent& event : hosts[i].membership->TakeEvents()) {
      if (event.kind == MembershipEvent::Kind::kPullRecords)
        Pull(i, event.record);
      hosts[i].events.push_back(std::move(event));
    }
  }

  void Carry(std::size_t from, OutgoingGossip out) {
    const std::size_t to = IndexOf(out.to);
    if (to == hosts.size() || (cut && cut(from, to)))
      return;
    if (std::uniform_real_distribution<>()(random_) < loss)
      return;
    const state::Duration delay(2'000 + random_() % 18'000);
    flying_.push({now + delay, ++number_, to, std::move(out.message)});
  }

  // In place of the TCP link.
  void Pull(std::size_t i, const state::NodeRecord& from) {
    const std::size_t source = IndexOf(from.gossip);
    if (source == hosts.size() || !hosts[source].up)
      return;
    std::uint32_t next = 0;
    std::uint32_t total = 1;
    while (next < total) {
      const auto records =
          hosts[source].membership->RecordsFrom(next, 4'000, &next, &total);
      hosts[i].membership->ApplyRecords(records, now);
    }
  }

  // The newest host with the endpoint.
  std::size_t IndexOf(const state::Endpoint& gossip) const {
    for (std::size_t i = hosts.size(); i > 0; --i) {
      if (hosts[i - 1].membership->own().gossip == gossip)
        return i - 1;
    }
    return hosts.size();
  }

  static void MeasureBytes(Host* host) {
    const MembershipCounters& counters = host->membership->counters();
    const std::uint64_t bytes = counters.bytes_sent + counters.bytes_received;
    host->max_bytes_per_second =
        std::max(host->max_bytes_per_second, bytes - host->bytes_before);
    host->bytes_before = bytes;
  }

  std::mt19937_64 random_;
  std::priority_queue<Flying> flying_;
  std::uint64_t number_ = 0;
  std::uint64_t step_ = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_UNITTESTS_COORDINATION_FAKE_NETWORK_H_
