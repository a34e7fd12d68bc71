/// \file
/// A network that delivers datagrams between Membership objects in virtual
/// time, with delay, loss, cut links and paused or stopped nodes.
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

/// The network and its hosts, each of which runs one node.
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

  /// \p count nodes in \p zones zones ("zone-0", ...). If \p joined, each node
  /// has the records of all, and nodes 0, 2 and 3 are the seeds; otherwise node
  /// 0 is the only seed.
  FakeNetwork(std::size_t count,
              std::size_t zones,
              bool joined = true,
              std::uint64_t seed = 1)
      : random_(seed) {
    std::vector<state::NodeRecord> records;
    for (std::size_t i = 0; i < count; ++i)
      records.push_back(MakeNodeRecord(i, "zone-" + std::to_string(i % zones)));
    std::vector<state::Endpoint> seeds = {records[0].gossip};
    for (std::size_t i = 2; joined && i < std::min(count, kSeedsEnd); ++i)
      seeds.push_back(records[i].gossip);
    for (const state::NodeRecord& record : records)
      Start(record, seeds);
    if (!joined)
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

  /// Runs until \p done returns true or \p limit has passed. \returns the time
  /// it took, or -1 s if the limit was reached.
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
    CollectOutput(i);
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
  /// If set, datagrams from the first to the second host are lost if it returns
  /// true.
  std::function<bool(std::size_t, std::size_t)> cut;

 private:
  static constexpr state::Duration kStep = std::chrono::milliseconds(10);
  static constexpr std::size_t kSeedsEnd = 4;
  static constexpr std::size_t kStepsPerTick = 10;
  static constexpr std::size_t kStepsPerSecond = 100;

  struct InFlightDatagram {
    state::Instant arrival;
    std::uint64_t number;
    std::size_t to;
    GossipMessage message;
    bool operator<(const InFlightDatagram& other) const {
      return std::pair(arrival, number) >
             std::pair(other.arrival, other.number);
    }
  };

  void Step() {
    now += kStep;
    ++step_;
    while (!in_flight_.empty() && in_flight_.top().arrival <= now) {
      const InFlightDatagram datagram = in_flight_.top();
      in_flight_.pop();
      Host& host = hosts[datagram.to];
      if (!host.up)
        continue;
      if (host.paused) {
        host.inbox.push_back(datagram.message);
        continue;
      }
      host.membership->Receive(datagram.message,
                               EncodedBytesBound(datagram.message), now);
      CollectOutput(datagram.to);
    }
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (!hosts[i].up || hosts[i].paused)
        continue;
      if ((step_ + i) % kStepsPerTick == 0) {
        hosts[i].membership->Tick(now);
        CollectOutput(i);
      }
      if (step_ % kStepsPerSecond == 0)
        MeasureBytes(&hosts[i]);
    }
  }

  void CollectOutput(std::size_t i) {
    for (OutgoingGossip& out : hosts[i].membership->TakeDatagrams())
      SendDatagram(i, std::move(out));
    for (MembershipEvent& event : hosts[i].membership->TakeEvents()) {
      if (event.kind == MembershipEvent::Kind::kPullRecords)
        Pull(i, event.record);
      hosts[i].events.push_back(std::move(event));
    }
  }

  void SendDatagram(std::size_t from, OutgoingGossip out) {
    const std::size_t to = IndexOf(out.to);
    if (to == hosts.size() || (cut && cut(from, to)))
      return;
    if (std::uniform_real_distribution<>()(random_) < loss)
      return;
    const state::Duration delay(2'000 + random_() % 18'000);
    in_flight_.push({now + delay, ++number_, to, std::move(out.message)});
  }

  // Replaces the pull over TCP.
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

  // The host that was started last with this endpoint.
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
  std::priority_queue<InFlightDatagram> in_flight_;
  std::uint64_t number_ = 0;
  std::uint64_t step_ = 0;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_UNITTESTS_COORDINATION_FAKE_NETWORK_H_
