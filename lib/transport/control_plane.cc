/// \file
/// Implements the control plane of a node.
#include "sesamespread/transport/control_plane.h"

#include <utility>

#include "sesamespread/transport/random_seed.h"

namespace sesamespread::transport {
namespace {

using coordination::MembershipEvent;

// Membership::Tick and ConfigurationReplica::Tick must run this often.
constexpr state::Duration kTickInterval = std::chrono::milliseconds(100);

// Timeout of a pull of one part of the records. After it, the pull starts again
// from another node.
constexpr state::Duration kRecordsPullTimeout = std::chrono::seconds(2);

// Bytes of records in one answer to a pull.
constexpr std::size_t kMaxRecordBytesPerPush = 64 << 10;

state::NodeRecord OwnRecord(const state::NodeSettings& settings,
                            state::Incarnation incarnation,
                            std::uint16_t peer_port,
                            std::uint16_t gossip_port) {
  state::NodeRecord own;
  own.node = state::NodeIdOf(settings.name);
  own.incarnation = incarnation;
  own.name = settings.name;
  own.zone = settings.availability_zone;
  const std::string& advertised = settings.advertise;
  own.peer = {advertised.empty() ? settings.listen.peer.address : advertised,
              peer_port};
  own.gossip = {
      advertised.empty() ? settings.listen.gossip.address : advertised,
      gossip_port};
  return own;
}

}  // namespace

ControlPlane::ControlPlane(boost::asio::io_context& context,
                           const state::NodeSettings& settings,
                           state::Incarnation incarnation,
                           std::uint16_t peer_port,
                           EventLog& log,
                           ControlPlaneEvents& events)
    : settings_(settings),
      log_(log),
      events_(events),
      deadlines_(context),
      replica_(coordination::ConfigurationReplicaOptions(),
               std::mt19937_64(RandomSeed())) {
  socket_ = std::make_unique<GossipSocket>(
      context, settings.listen.gossip,
      [this](const protocol::GossipMessage& message, std::size_t bytes) {
        membership_->Receive(message, bytes, Now());
        ProcessChanges();
      });
  membership_ = std::make_unique<coordination::Membership>(
      OwnRecord(settings, incarnation, peer_port, socket_->port()),
      settings.seeds, coordination::MembershipOptions(),
      std::mt19937_64(RandomSeed()), Now());
  Tick();
}

void ControlPlane::SetBackend(const std::string& service,
                              state::BackendState state) {
  membership_->SetBackend(service, state, Now());
  dirty_services_.insert(service);
  ProcessChanges();
}

void ControlPlane::Subscribe(const std::string& service) {
  subscribed_services_.insert(service);
  dirty_services_.insert(service);
  PublishServers();
}

void ControlPlane::OnPeerControl(
    state::NodeId from,
    const protocol::PeerMessage& message,
    const std::function<void(protocol::PeerMessage)>& reply) {
  const state::Instant now = Now();
  if (const auto* pull = std::get_if<protocol::ConfigurationPull>(&message)) {
    const auto answer = replica_.AnswerPull(pull->have_version);
    if (answer && reply)
      reply(protocol::ConfigurationPush{answer->delta, answer->full});
    return;
  }
  if (const auto* push = std::get_if<protocol::ConfigurationPush>(&message)) {
    replica_.OnPush(push->delta, push->full, from, now);
    ProcessChanges();
    return;
  }
  if (const auto* pull = std::get_if<protocol::NodeRecordsPull>(&message)) {
    protocol::NodeRecordsPush push;
    push.records =
        membership_->RecordsFrom(pull->from_index, kMaxRecordBytesPerPush,
                                 &push.next_index, &push.total);
    if (reply)
      reply(std::move(push));
    return;
  }
  if (const auto* push = std::get_if<protocol::NodeRecordsPush>(&message))
    OnRecordsPush(from, *push);
}

void ControlPlane::PullRecords(const state::NodeRecord& from,
                               std::uint32_t from_index) {
  records_pull_deadline_ = Now() + kRecordsPullTimeout;
  events_.OnSendControl(from.node, from.peer,
                        protocol::NodeRecordsPull{from_index});
}

void ControlPlane::OnRecordsPush(state::NodeId from,
                                 const protocol::NodeRecordsPush& push) {
  membership_->ApplyRecords(push.records, Now());
  records_pull_deadline_.reset();
  const auto record = membership_->Find(from);
  if (push.next_index < push.total && !push.records.empty() && record)
    PullRecords(*record, push.next_index);
  ProcessChanges();
}

void ControlPlane::OnPlatformHead(state::ConfigurationVersion version,
                                  std::uint64_t digest) {
  if (const auto read_request = replica_.OnPlatformHead(version, digest))
    events_.OnPlatformReadNeeded(*read_request);
}

void ControlPlane::OnPlatformDelta(const state::ConfigurationDelta& delta,
                                   bool full) {
  replica_.OnPush(delta, full, 0, Now());
  ProcessChanges();
}

void ControlPlane::AnnounceDeparture() {
  membership_->AnnounceDeparture(Now());
  SendDatagrams();
}

ControlStatus ControlPlane::Status(std::size_t max_nodes) const {
  ControlStatus status;
  status.configuration_version = replica_.current()->version();
  status.configuration_digest = replica_.current()->digest();
  status.highest_seen_version = replica_.highest_seen();
  status.isolated = membership_->isolated();
  status.platform_reader = IsPlatformReader();
  status.gossip_bytes_sent = membership_->counters().bytes_sent;
  status.gossip_bytes_received = membership_->counters().bytes_received;
  membership_->ForEach(
      [&status, max_nodes](const state::NodeRecord& record, bool live) {
        ++status.nodes_known;
        status.nodes_live += live ? 1 : 0;
        if (status.nodes.size() < max_nodes)
          status.nodes.push_back({record, live});
      });
  return status;
}

void ControlPlane::Tick() {
  const state::Instant now = Now();
  membership_->Tick(now);
  if (records_pull_deadline_ && now >= *records_pull_deadline_) {
    records_pull_deadline_.reset();
    membership_->OnRecordsPullFailed(now);
  }
  for (const coordination::ConfigurationPullRequest& pull_request :
       replica_.Tick(now))
    PullConfiguration(pull_request);
  if (replica_.ShouldReadPlatform(IsPlatformReader(), membership_->isolated(),
                                  now))
    events_.OnHeadReadNeeded();
  ProcessChanges();
  deadlines_.Schedule(now + kTickInterval, [this] { Tick(); });
}

void ControlPlane::ProcessChanges() {
  HandleEvents();
  PublishConfiguration();
  PublishServers();
  SendDatagrams();
}

void ControlPlane::SendDatagrams() {
  for (const coordination::OutgoingGossip& outgoing :
       membership_->TakeDatagrams())
    socket_->Send(outgoing.to, outgoing.message);
}

void ControlPlane::HandleEvents() {
  for (const MembershipEvent& event : membership_->TakeEvents())
    HandleEvent(event);
}

void ControlPlane::HandleEvent(const MembershipEvent& event) {
  using Kind = MembershipEvent::Kind;
  switch (event.kind) {
    case Kind::kRecordChanged:
    case Kind::kRecordRemoved:
      dirty_services_.insert(event.record.service);
      LogMembershipEvent("node_changed", event);
      return;
    case Kind::kZoneLost:
    case Kind::kZoneRecovered:
      dirty_services_ = subscribed_services_;
      LogMembershipEvent(
          event.kind == Kind::kZoneLost ? "zone_lost" : "zone_recovered",
          event);
      return;
    case Kind::kRegionUnreachable:
      LogMembershipEvent("region_unreachable", event);
      return;
    case Kind::kRegionReachable:
      LogMembershipEvent("region_reachable", event);
      return;
    case Kind::kIsolated:
      LogMembershipEvent("isolated", event);
      return;
    case Kind::kNotIsolated:
      LogMembershipEvent("not_isolated", event);
      return;
    case Kind::kNewerConfiguration:
      if (const auto pull_request = replica_.OnPeerVersion(
              event.version, event.digest, event.record, Now()))
        PullConfiguration(*pull_request);
      return;
    case Kind::kPullRecords:
      PullRecords(event.record, 0);
      return;
    case Kind::kSuperseded:
      LogMembershipEvent("superseded", event);
      events_.OnSuperseded();
      return;
  }
}

void ControlPlane::PullConfiguration(
    const coordination::ConfigurationPullRequest& pull_request) {
  events_.OnSendControl(pull_request.node, pull_request.peer,
                        protocol::ConfigurationPull{pull_request.have_version});
}

void ControlPlane::PublishConfiguration() {
  const auto current = replica_.current();
  if (current->version() == published_version_)
    return;
  published_version_ = current->version();
  membership_->SetConfiguration(current->version(), current->digest(), Now());
  std::map<std::string, std::string, std::less<>> regions;
  for (const auto& [name, zone] : current->zones())
    regions.emplace(name, zone.region);
  membership_->SetRegions(std::move(regions));
  log_.Write(ThreadRole::kControl, LogLevel::kInfo, "configuration_in_force",
             {{"version", std::to_string(current->version())},
              {"digest", state::ToHex(current->digest())}});
  events_.OnConfiguration(current);
}

void ControlPlane::PublishServers() {
  for (const std::string& service : std::exchange(dirty_services_, {})) {
    if (subscribed_services_.count(service) > 0)
      events_.OnServers(service, membership_->ServersOf(service),
                        membership_->size());
  }
}

bool ControlPlane::IsPlatformReader() const {
  const std::string& zone = settings_.availability_zone;
  for (const state::NodeId reader : coordination::SelectPlatformReaders(
           zone, membership_->LiveNodesIn(zone))) {
    if (reader == membership_->own().node)
      return true;
  }
  return false;
}

void ControlPlane::LogMembershipEvent(const char* event,
                                      const MembershipEvent& details) {
  const state::NodeRecord& record = details.record;
  log_.Write(
      ThreadRole::kControl,
      details.kind == MembershipEvent::Kind::kRecordChanged
          ? LogLevel::kDebug
          : LogLevel::kWarning,
      event,
      {{"peer", record.name},
       {"zone", details.zone.empty() ? record.zone : details.zone},
       {"service", record.service},
       {"backend_state", std::string(state::ToString(record.backend_state))},
       {"liveness", std::string(state::ToString(record.liveness))}});
}

}  // namespace sesamespread::transport
