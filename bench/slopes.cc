/// \file
/// Measures the cost of the control state of one node at full scale: memory,
/// CPU time and bytes on the network. The membership, the configuration replica
/// and the codec are those of a node; the other nodes are emulated.
#include <fmt/format.h>
#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "sesamespread/coordination/configuration_replica.h"
#include "sesamespread/coordination/membership.h"
#include "sesamespread/protocol/codec.h"

namespace {

namespace coordination = sesamespread::coordination;
namespace protocol = sesamespread::protocol;
namespace state = sesamespread::state;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using coordination::ConfigurationReplica;
using coordination::GossipKind;
using coordination::GossipMessage;
using coordination::Membership;
using coordination::MembershipEvent;
using state::ConfigurationDelta;
using state::Instant;
using state::NodeRecord;

// Scale in docs/design.md.
constexpr std::size_t kMembers = 32'000;
constexpr std::size_t kZones = 21;
constexpr std::size_t kZonesPerRegion = 4;
constexpr std::size_t kServices = 1'800;
constexpr std::size_t kRulesPerService = 4;
constexpr std::size_t kDepth = 28;
constexpr double kRestartsPerSecond = 0.13;
constexpr double kChangesPerSecond = 0.8;

// Targets in docs/design.md.
constexpr double kMaxRssMb = 32;
constexpr double kMaxCpuPercent = 2.9;
constexpr double kMaxKbPerSecond = 19;

// IP and TCP headers of a pull, its answer and their acknowledgements.
constexpr std::size_t kTcpOverhead = 160;

// Bytes in use on the heap, without free chunks of the allocator.
double AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

// CPU time of this thread.
double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

void PrintSlope(const char* name, double value, const char* unit) {
  fmt::print("slope {} {:.2f} {}\n", name, value, unit);
}

void PrintBench(const char* name,
                double value,
                const char* unit,
                double target) {
  fmt::print("bench {} {:.2f} {} {} {}\n", name, value, unit, target,
             value <= target ? "ok" : "short");
}

std::string ZoneName(std::size_t zone) {
  return fmt::format("region-{}-{}", zone / kZonesPerRegion,
                     static_cast<char>('a' + zone % kZonesPerRegion));
}

NodeRecord MakeRecord(std::size_t i) {
  NodeRecord record;
  record.name = fmt::format("host-{:05}.{}", i, ZoneName(i % kZones));
  record.node = state::NodeIdOf(record.name);
  record.incarnation = coordination::IncarnationAfter(1'000 + i, i);
  record.sequence = 3;
  record.zone = ZoneName(i % kZones);
  const std::string address =
      fmt::format("10.{}.{}.{}", i >> 16, (i >> 8) & 255, i & 255);
  record.peer = {address, 7001};
  record.gossip = {address, 7002};
  record.service = fmt::format("service-{:04}", i % kServices);
  record.backend_state = state::BackendState::kServing;
  return record;
}

state::EntryChange ServiceEntry(std::size_t i, std::uint32_t slots) {
  state::Service service;
  service.name = fmt::format("service-{:04}", i);
  service.slots = slots;
  service.connections = 1'100;
  service.answer_within = 2s;
  // Services form kDepth layers, each of which calls the next one.
  constexpr std::size_t kWidth = kServices / kDepth + 1;
  for (std::size_t j = 0; j < 2; ++j) {
    const std::size_t below =
        (i / kWidth + 1) * kWidth + (i * 7 + j * 13) % kWidth;
    if (below < kServices)
      service.calls.push_back(fmt::format("service-{:04}", below));
  }
  return {"service/" + service.name, CanonicalText(service)};
}

state::EntryChange RuleEntry(std::size_t i, std::uint32_t milliseconds) {
  state::Rule rule;
  rule.name = fmt::format("service-{:04}-rule-{}", i / kRulesPerService,
                          i % kRulesPerService);
  rule.service = fmt::format("service-{:04}", i / kRulesPerService);
  rule.methods = {"POST"};
  rule.path_prefix = fmt::format("/path-{}/", i % kRulesPerService);
  rule.importance = static_cast<state::Importance>(i % 3);
  rule.answer_within = std::chrono::milliseconds(milliseconds);
  return {"rule/" + rule.name, CanonicalText(rule)};
}

// Makes the delta to the next version, which adds or replaces one entry.
ConfigurationDelta MakeReplacementDelta(
    const state::Configuration& configuration,
    state::EntryChange change) {
  ConfigurationDelta delta;
  delta.from = configuration.version();
  delta.to = delta.from + 1;
  delta.digest = configuration.digest();
  const auto old = configuration.entries().find(change.key);
  if (old != configuration.entries().end())
    delta.digest ^= state::EntryHash(old->first, old->second);
  delta.digest ^= state::EntryHash(change.key, *change.value);
  delta.changes.push_back(std::move(change));
  return delta;
}

std::span<const std::uint8_t> BytesOf(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// The measured control state of a node, with emulated peers. All times are
// those of a simulated clock that advances in ticks of 100 ms.
class MeasuredNode {
 public:
  MeasuredNode()
      : membership_(MakeRecord(0),
                    {MakeRecord(1).gossip},
                    coordination::MembershipOptions(),
                    std::mt19937_64(1),
                    now_),
        replica_(coordination::ConfigurationReplicaOptions(),
                 std::mt19937_64(2)) {}

  Membership& membership() { return membership_; }
  ConfigurationReplica& replica() { return replica_; }

  void FillMembers() {
    constexpr std::size_t kBatchSize = 500;
    std::vector<NodeRecord> batch;
    for (std::size_t i = 1; i < kMembers; ++i) {
      batch.push_back(MakeRecord(i));
      if (batch.size() < kBatchSize && i + 1 < kMembers)
        continue;
      membership_.ApplyRecords(batch, now_);
      membership_.TakeEvents();
      batch.clear();
    }
  }

  void FillConfiguration(std::size_t services, std::size_t rules) {
    ConfigurationDelta delta;
    for (std::size_t i = 0; i < services; ++i)
      delta.changes.push_back(ServiceEntry(i, 160));
    for (std::size_t i = 0; i < rules; ++i)
      delta.changes.push_back(RuleEntry(i, 1'000));
    for (const state::EntryChange& change : delta.changes)
      delta.digest ^= state::EntryHash(change.key, *change.value);
    delta.to = replica_.current()->version() + 1;
    replica_.OnPush(delta, true, 0, now_);
    membership_.SetConfiguration(replica_.current()->version(),
                                 replica_.current()->digest(), now_);
    platform_version_ = replica_.current()->version();
  }

  struct Result {
    // CPU time of the node. It includes the time of making the answers of the
    // emulated peers, and so is an upper bound.
    double cpu_seconds = 0;
    double mean_bytes_per_second = 0;
    double max_bytes_per_second = 0;
    bool zone_lost = false;
  };
  // Simulates \p seconds of ordinary restarts and configuration changes. If
  // \p lost_zone is less than kZones, the nodes of that zone do not respond
  // from now on.
  Result Run(int seconds, std::size_t lost_zone) {
    lost_zone_ = lost_zone;
    run_started_ = now_;
    cpu_ = 0;
    Result result;
    double all_bytes = 0;
    for (int second = 0; second < seconds; ++second) {
      bytes_ = 0;
      for (int tick = 0; tick < 10; ++tick)
        RunTick(tick);
      all_bytes += bytes_;
      result.max_bytes_per_second =
          std::max(result.max_bytes_per_second, bytes_);
    }
    result.cpu_seconds = cpu_;
    result.mean_bytes_per_second = all_bytes / seconds;
    result.zone_lost =
        lost_zone < kZones && membership_.IsZoneLost(ZoneName(lost_zone));
    return result;
  }

 private:
  bool IsUnresponsive(std::size_t i) const { return i % kZones == lost_zone_; }

  std::size_t RandomPeer() {
    while (true) {
      const std::size_t i = 1 + random_() % (kMembers - 1);
      if (!IsUnresponsive(i))
        return i;
    }
  }

  bool OccursInTick(double per_second) {
    return std::uniform_real_distribution<>()(random_) < per_second / 10;
  }

  // Makes a message from node \p i, with as many updates that are being
  // disseminated as fit in a datagram if \p with_updates is set.
  GossipMessage MakePeerMessage(GossipKind kind,
                                std::size_t i,
                                bool with_updates) {
    GossipMessage message;
    message.kind = kind;
    message.token = random_();
    message.from = MakeRecord(i);
    message.configuration_version = platform_version_;
    message.configuration_digest = platform_digest_;
    if (IsZoneLossDetected())
      message.zones = {{ZoneName(lost_zone_), true, 1}};
    while (with_updates && !recent_updates_.empty()) {
      message.updates.push_back(
          recent_updates_[random_() % recent_updates_.size()]);
      if (coordination::EncodedBytesBound(message) <=
          coordination::kMaxDatagramBytes)
        continue;
      message.updates.pop_back();
      break;
    }
    return message;
  }

  // Peers detect the loss of a zone within 3 s: by a failed probe, 1.5 s, and a
  // sample of the zone's nodes, 0.5 s. Until then they send suspicions of its
  // nodes, which is the worst case.
  bool IsZoneLossDetected() const {
    return lost_zone_ < kZones && now_ - run_started_ > 3s;
  }

  void DeliverToNode(const GossipMessage& message) {
    const std::string datagram = protocol::EncodeDatagram(message);
    CountBytes(datagram.size());
    const double before = CpuSeconds();
    const auto decoded = protocol::DecodeDatagram(BytesOf(datagram));
    membership_.Receive(*decoded, datagram.size(), now_);
    cpu_ += CpuSeconds() - before;
    ProcessOutgoing();
  }

  void CountBytes(std::size_t bytes) {
    bytes_ += static_cast<double>(bytes + coordination::kDatagramHeaderBytes);
  }

  // Takes the datagrams that the node sends and delivers the answers of the
  // peers.
  void ProcessOutgoing() {
    const double before = CpuSeconds();
    std::vector<GossipMessage> answers;
    for (const auto& out : membership_.TakeDatagrams()) {
      CountBytes(protocol::EncodeDatagram(out.message).size());
      if (out.message.kind != GossipKind::kProbe &&
          out.message.kind != GossipKind::kIndirectProbe)
        continue;
      const std::size_t target = IndexOf(out.to);
      if (IsUnresponsive(target))
        continue;
      // A peer does not acknowledge an indirect probe, because the probed node
      // does not respond.
      if (out.message.kind == GossipKind::kIndirectProbe)
        continue;
      answers.push_back(MakePeerMessage(GossipKind::kProbeAck, target, true));
      answers.back().token = out.message.token;
    }
    cpu_ += CpuSeconds() - before;
    HandleEvents();
    for (const GossipMessage& answer : answers)
      DeliverToNode(answer);
  }

  static std::size_t IndexOf(const state::Endpoint& endpoint) {
    unsigned a = 0;
    unsigned b = 0;
    unsigned c = 0;
    std::sscanf(endpoint.address.c_str(), "10.%u.%u.%u", &a, &b, &c);
    return (a << 16) + (b << 8) + c;
  }

  void HandleEvents() {
    const double before = CpuSeconds();
    bool pull = false;
    for (const MembershipEvent& event : membership_.TakeEvents()) {
      if (event.kind == MembershipEvent::Kind::kNewerConfiguration)
        pull =
            replica_
                .OnPeerVersion(event.version, event.digest, event.record, now_)
                .has_value() ||
            pull;
    }
    if (pull)
      PullConfiguration();
    cpu_ += CpuSeconds() - before;
  }

  // Pulls the change and answers one pull, which is the average per node.
  void PullConfiguration() {
    const std::string pull = protocol::EncodeFrame(
        protocol::ConfigurationPull{replica_.current()->version()});
    const std::string push =
        protocol::EncodeFrame(protocol::ConfigurationPush{change_, false});
    const auto decoded = protocol::DecodePayload(
        BytesOf(push).subspan(protocol::kFrameHeaderBytes));
    replica_.OnPush(std::get<protocol::ConfigurationPush>(*decoded).delta,
                    false, source_, now_);
    replica_.Tick(now_);
    const auto& current = *replica_.current();
    membership_.SetConfiguration(current.version(), current.digest(), now_);
    const auto answer = replica_.AnswerPull(current.version() - 1);
    const std::string served = protocol::EncodeFrame(
        protocol::ConfigurationPush{answer->delta, answer->full});
    bytes_ += static_cast<double>(2 * pull.size() + push.size() +
                                  served.size() + 2 * kTcpOverhead);
  }

  void RunTick(int tick) {
    now_ += 100ms;
    SimulateChanges();
    const double before = CpuSeconds();
    membership_.Tick(now_);
    // A node selects the platform readers of its zone every second.
    if (tick == 0) {
      const std::string& zone = membership_.own().zone;
      coordination::SelectPlatformReaders(zone, membership_.LiveNodesIn(zone));
    }
    cpu_ += CpuSeconds() - before;
    ProcessOutgoing();
    if (tick == 5)
      DeliverToNode(MakePeerMessage(GossipKind::kProbe, RandomPeer(), true));
  }

  // Simulates the restarts and configuration changes of the peers, and delivers
  // the pushes that report them.
  void SimulateChanges() {
    std::vector<GossipMessage> due;
    std::erase_if(scheduled_pushes_, [&](auto& entry) {
      if (entry.first > now_)
        return false;
      due.push_back(std::move(entry.second));
      return true;
    });
    for (const GossipMessage& push : due)
      DeliverToNode(push);
    if (lost_zone_ < kZones && !IsZoneLossDetected())
      AddSuspicions();
    if (OccursInTick(kRestartsPerSecond))
      restarting_nodes_.push_back({MakeRecord(RandomPeer()), 0});
    for (auto& [record, step] : restarting_nodes_) {
      // The steps are leave, stop, start of the node, start of the backend
      // server and serving, on average 1 s apart.
      if (!OccursInTick(1.0))
        continue;
      AdvanceRestart(&record, step++);
    }
    std::erase_if(restarting_nodes_,
                  [](const auto& restart) { return restart.second == 5; });
    if (OccursInTick(kChangesPerSecond) &&
        replica_.current()->version() == platform_version_)
      ChangeConfiguration();
  }

  void AddSuspicions() {
    for (int i = 0; i < 20; ++i) {
      NodeRecord record =
          MakeRecord((random_() % (kMembers / kZones)) * kZones + lost_zone_);
      record.liveness = state::Liveness::kSuspect;
      AddRecentUpdate(std::move(record));
    }
  }

  void AddRecentUpdate(NodeRecord record) {
    // At 0.65 updates/s, each is disseminated for about a minute.
    constexpr std::size_t kMaxRecentUpdates = 40;
    recent_updates_.push_back(std::move(record));
    if (recent_updates_.size() > kMaxRecentUpdates)
      recent_updates_.pop_front();
  }

  void AdvanceRestart(NodeRecord* record, int step) {
    ++record->sequence;
    record->backend_state = step == 0   ? state::BackendState::kLeaving
                            : step == 3 ? state::BackendState::kStarting
                            : step == 4 ? state::BackendState::kServing
                                        : state::BackendState::kAbsent;
    record->liveness =
        step == 1 ? state::Liveness::kDead : state::Liveness::kAlive;
    if (step == 2)
      record->incarnation =
          coordination::IncarnationAfter(record->incarnation, 1);
    AddRecentUpdate(*record);
    const std::size_t fanout = coordination::MembershipOptions().push_fanout;
    const std::size_t pushes = step == 0 ? 2 * fanout : step < 3 ? fanout : 0;
    for (std::size_t i = 0; i < pushes; ++i) {
      // Peers receive the update, and push it on, within about a second.
      constexpr std::uint64_t kTicks = 10;
      GossipMessage push =
          MakePeerMessage(GossipKind::kPush, RandomPeer(), false);
      push.updates = {*record};
      scheduled_pushes_.emplace_back(now_ + (random_() % kTicks) * 100ms,
                                     std::move(push));
    }
  }

  void ChangeConfiguration() {
    ++changes_;
    const std::size_t rule = random_() % (kServices * kRulesPerService);
    change_ = MakeReplacementDelta(*replica_.current(),
                                   RuleEntry(rule, 1'000 + changes_));
    platform_version_ = change_.to;
    platform_digest_ = change_.digest;
    const std::size_t fanout = coordination::MembershipOptions().push_fanout;
    for (std::size_t i = 0; i < fanout; ++i) {
      const std::size_t peer = RandomPeer();
      if (i == 0)
        source_ = MakeRecord(peer).node;
      DeliverToNode(MakePeerMessage(GossipKind::kPush, peer, false));
    }
  }

  Instant now_{1'000s};
  Instant run_started_{};
  std::mt19937_64 random_{3};
  Membership membership_;
  ConfigurationReplica replica_;
  std::size_t lost_zone_ = kZones;
  std::deque<NodeRecord> recent_updates_;
  // Pushes by the time at which they are delivered.
  std::vector<std::pair<Instant, GossipMessage>> scheduled_pushes_;
  std::vector<std::pair<NodeRecord, int>> restarting_nodes_;
  state::ConfigurationVersion platform_version_ = 0;
  std::uint64_t platform_digest_ = 0;
  ConfigurationDelta change_;
  state::NodeId source_ = 0;
  std::uint32_t changes_ = 0;
  double cpu_ = 0;
  double bytes_ = 0;
};

double MeasureGossipMessageUs(MeasuredNode* node) {
  constexpr std::size_t kRounds = 5'000;
  std::vector<GossipMessage> messages;
  for (std::size_t i = 0; i < kRounds; ++i) {
    GossipMessage message;
    message.kind = GossipKind::kPush;
    message.from = MakeRecord(1 + i);
    while (true) {
      // The sequence number is higher than the one that the node has.
      NodeRecord record =
          MakeRecord(1 + (i * 6 + message.updates.size()) % (kMembers - 1));
      record.sequence = 10 + static_cast<std::uint32_t>(i);
      message.updates.push_back(std::move(record));
      if (coordination::EncodedBytesBound(message) >
          coordination::kMaxDatagramBytes)
        break;
    }
    message.updates.pop_back();
    messages.push_back(std::move(message));
  }
  const double before = CpuSeconds();
  for (const GossipMessage& message : messages) {
    const std::string datagram = protocol::EncodeDatagram(message);
    const auto decoded = protocol::DecodeDatagram(BytesOf(datagram));
    node->membership().Receive(*decoded, datagram.size(), Instant(1'000s));
    node->membership().TakeEvents();
  }
  const double seconds = CpuSeconds() - before;
  node->membership().TakeDatagrams();
  return seconds / kRounds * 1e6;
}

double MeasureChangeUs(ConfigurationReplica* replica) {
  constexpr std::uint32_t kRounds = 200;
  double seconds = 0;
  for (std::uint32_t i = 0; i < kRounds; ++i) {
    const ConfigurationDelta delta = MakeReplacementDelta(
        *replica->current(), i % 2 ? RuleEntry(std::size_t{i} * 31, 2'000 + i)
                                   : ServiceEntry(std::size_t{i} * 7, 200 + i));
    const double before = CpuSeconds();
    replica->OnPush(delta, false, 0, Instant(1'000s));
    seconds += CpuSeconds() - before;
  }
  return seconds / kRounds * 1e6;
}

double BootBytes(const Membership& membership) {
  constexpr std::size_t kMaxPushBytes = 64 << 10;
  double bytes = 0;
  std::uint32_t next = 0;
  std::uint32_t total = 1;
  while (next < total) {
    protocol::NodeRecordsPush push;
    push.records = membership.RecordsFrom(next, kMaxPushBytes, &push.next_index,
                                          &push.total);
    next = push.next_index;
    total = push.total;
    bytes += static_cast<double>(protocol::EncodeFrame(push).size());
  }
  return bytes;
}

void Run() {
  const double start = ResidentBytes();
  auto node = std::make_unique<MeasuredNode>();
  node->FillMembers();
  PrintSlope("bytes_a_member", (ResidentBytes() - start) / kMembers, "B");
  {
    // Measures services and rules separately.
    MeasuredNode services;
    MeasuredNode rules;
    double before = AllocatedBytes();
    services.FillConfiguration(kServices, 0);
    PrintSlope("bytes_a_service", (AllocatedBytes() - before) / kServices, "B");
    before = AllocatedBytes();
    rules.FillConfiguration(0, kServices * kRulesPerService);
    PrintSlope("bytes_a_rule",
               (AllocatedBytes() - before) / (kServices * kRulesPerService),
               "B");
  }
  malloc_trim(0);
  node->FillConfiguration(kServices, kServices * kRulesPerService);
  malloc_trim(0);
  PrintSlope("rss_filled_mb", (ResidentBytes() - start) / 1e6, "MB");

  constexpr int kOrdinarySeconds = 300;
  const MeasuredNode::Result ordinary = node->Run(kOrdinarySeconds, kZones);
  const double cpu_percent = 100 * ordinary.cpu_seconds / kOrdinarySeconds;
  PrintSlope("ordinary_bytes_per_second", ordinary.mean_bytes_per_second,
             "B/s");
  PrintSlope("ordinary_max_bytes_per_second", ordinary.max_bytes_per_second,
             "B/s");
  PrintSlope("ordinary_cpu_pct", cpu_percent, "%");

  constexpr int kLossSeconds = 60;
  const MeasuredNode::Result loss = node->Run(kLossSeconds, 5);
  PrintSlope("zone_loss_max_bytes_per_second", loss.max_bytes_per_second,
             "B/s");
  PrintSlope("zone_loss_cpu_pct", 100 * loss.cpu_seconds / kLossSeconds, "%");
  PrintSlope("zone_loss_noticed", loss.zone_lost ? 1 : 0, "bool");
  const double rss = ResidentBytes() - start;

  PrintSlope("boot_records_bytes", BootBytes(node->membership()), "B");
  const auto copy = node->replica().AnswerPull(0);
  PrintSlope(
      "boot_configuration_bytes",
      static_cast<double>(protocol::EncodeFrame(protocol::ConfigurationPush{
                                                    copy->delta, copy->full})
                              .size()),
      "B");
  PrintSlope("configuration_change_cpu_us", MeasureChangeUs(&node->replica()),
             "us");
  PrintSlope("gossip_message_cpu_us", MeasureGossipMessageUs(node.get()), "us");

  PrintBench("control_rss_mb", rss / 1e6, "MB", kMaxRssMb);
  PrintBench("control_cpu_pct", cpu_percent, "%", kMaxCpuPercent);
  PrintBench(
      "control_kb_per_s",
      std::max(ordinary.max_bytes_per_second, loss.max_bytes_per_second) / 1e3,
      "KB/s", kMaxKbPerSecond);
}

}  // namespace

int main() {
  try {
    Run();
  } catch (const std::exception& error) {
    fmt::print(stderr, "slopes: {}\n", error.what());
    return 1;
  }
  return 0;
}
