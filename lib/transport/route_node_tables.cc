/// \file
/// Reads and writes a route node's tables of the store: the operator's
/// document, the table of nodes and the table of backend servers that have
/// left.
#include "route_node_impl.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <chrono>
#include <iterator>
#include <utility>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::transport {
namespace {

using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval between reads of the table of nodes. Nodes also receive each
/// other's records on their links; the table is needed for nodes without any
/// link.
constexpr Duration kNodeTableInterval = seconds(30);

/// The same for a node that is no reader of the store, multiplied by the number
/// of nodes. It finds nodes that were forgotten after a partition of a minute.
constexpr Duration kNodeTableIntervalPerNode = seconds(1);

/// Delay after a failed read of the table of nodes, doubled for each further
/// failure up to the maximum.
constexpr Duration kMinTableRetryDelay = milliseconds(250);

constexpr Duration kMaxTableRetryDelay = seconds(2);

/// Delay per node within which all nodes check their rows after the store came
/// back from an older copy: two reads a node, a quarter of the reads that the
/// store serves.
constexpr Duration kOwnRowsCheckInterval = milliseconds(4);

/// Age of the document at the nodes of a zone while its readers reach the
/// store: the wait of a watch and the interval of the notices.
constexpr Duration kUsualDocumentAge = milliseconds(1500);

/// Longest wait of a watch of the document if withdrawn keys have a bound.
constexpr Duration kMaxWatchWithKeys = seconds(1);
/// Interval in which the quotas of tenants get the nodes that have been found
/// otherwise than by the table.
constexpr Duration kQuotaNodesInterval = seconds(1);

/// Time after the start in which a node knows its peers from the table of nodes
/// rather than by their links.
constexpr Duration kLinkOpeningTime = milliseconds(500);

/// Peers in any availability zone that are notified of a new version, in
/// addition to those in the own one.
constexpr std::size_t kAnnouncementsToAllZones = 2;

/// Returns the number of random peers in its availability zone that a node
/// notifies of a new version of the routes, which most nodes learn this way. If
/// each of n nodes notifies log2(n) + 2 others, the probability that a node is
/// notified by none is less than 1 / (e^2 n).
std::size_t AnnouncementFanout(std::size_t nodes) {
  return static_cast<std::size_t>(std::bit_width(nodes)) + 2;
}

/// Delay before a leave is written again after a failed write. A node that
/// restarts meanwhile receives the leave from other nodes only.
constexpr Duration kStoreLeaveRetryDelay = milliseconds(700);

/// Reports of the leave of one name within this time are of one instance.
constexpr Duration kRepeatedLeaveTime = seconds(3);

/// Longest wait after the start for the local leaves, which other nodes supply
/// if the store does not answer. A node tries to reconnect to a peer that it
/// has just lost at once and again after 0.4 s.
constexpr Duration kLeaveStateTimeout = milliseconds(600);

// Separates the name of the host from the instance in a key of the leave table.
constexpr char kHostSeparator = '/';

/// Leaves of this host that are kept in the store. Earlier instances have ended
/// long ago.
constexpr std::size_t kMaxStoredLeaves = 8;

/// The clock of this host may have been ahead by seconds when a leave was
/// recorded; a leave that is later than this from now is not one of this host.
constexpr Duration kMaxClockStep = std::chrono::hours(1);

// Returns the time in milliseconds in a row of the leave table; nullopt if the
// value is not a time up to now.
std::optional<std::uint64_t> ParseLeaveTimeMs(const std::string& value) {
  std::uint64_t millis = 0;
  const char* const end = value.data() + value.size();
  const auto result = std::from_chars(value.data(), end, millis);
  if (result.ec != std::errc() || result.ptr != end ||
      millis > state::WallMilliseconds(WallNow() + kMaxClockStep))
    return std::nullopt;
  return millis;
}

/// Longest text of another writer in a log line.
constexpr std::size_t kMaxLoggedText = 64;

std::string TruncatedText(const std::string& text) {
  return text.substr(0, kMaxLoggedText);
}

}  // namespace

// --- The operator's document

coordination::StoreReaderInput RouteNode::Impl::MakeStoreReaderInput(
    Instant now) const {
  coordination::StoreReaderInput input;
  input.self = directory_.self().node;
  input.uptime = now - started_at_;
  // Shortly after the start, links to live nodes are still being opened.
  const bool has_started = input.uptime >= kLinkOpeningTime;
  input.zone_peers =
      directory_.ZonePeers(has_started ? NodeDirectory::Peers::kLinked
                                       : NodeDirectory::Peers::kKnown);
  input.has_routes = routes_ != nullptr;
  input.has_last_call_failed =
      last_document_call_ != started_at_ && !document_watch_.is_connected();
  input.since_last_call = now - last_document_call_;
  input.since_last_notice = now - last_zone_notice_;
  // Notices of readers that have lost the store do not make the document any
  // more recent.
  const auto age = document_freshness_.Age(now);
  if (settings_.revocation_timeout > Duration(0) && age)
    input.since_last_notice =
        std::max(input.since_last_notice, *age - kUsualDocumentAge);
  return input;
}

void RouteNode::Impl::ReadOrWatchDocument() {
  const Instant now = Now();
  // Before the table of nodes is known, each node would take itself for a
  // reader.
  const bool knows_peers =
      node_table_read_ || now - started_at_ >= kLinkOpeningTime;
  if (document_call_pending_ || !knows_peers)
    return;
  const coordination::StoreReaderInput input = MakeStoreReaderInput(now);
  const bool is_reader = store_readers_.IsReader(input);
  if (std::exchange(is_store_reader_, is_reader) != is_reader) {
    Log(LogLevel::kInfo, "store_reader_changed",
        {{"reader", is_reader ? "true" : "false"},
         {"zone_peers", std::to_string(input.zone_peers.size())}});
  }
  if (!store_readers_.MayCall(input))
    return;
  coordination::TableCall call = document_watch_.NextCall(
      store_readers_.CountReaders(directory_.zone_sizes()), is_reader);
  if (call.at > now)
    return;
  document_call_pending_ = true;
  last_document_call_ = now;
  const auto done = [this, number = ++document_call_number_](
                        const coordination::RowsReply& reply) {
    OnStoreEra(reply.era);
    // The call was replaced by one in a later era.
    if (number == document_call_number_)
      OnDocumentRows(reply);
  };
  // A watch that ends late lets the document look older than it is.
  if (settings_.revocation_timeout > Duration(0))
    call.wait = std::min(call.wait, kMaxWatchWithKeys);
  if (call.is_read)
    store_->Read(interface_.document_table, {}, done);
  else
    store_->Watch(interface_.document_table, call.after, call.wait, done);
}

void RouteNode::Impl::OnStoreEra(std::uint64_t era) {
  if (era <= store_era_)
    return;
  // The first answer after the start tells nothing of an earlier era.
  const std::uint64_t before = std::exchange(store_era_, era);
  Log(before == 0 ? LogLevel::kInfo : LogLevel::kWarning, "store_era_changed",
      {{"era", std::to_string(era)},
       {"before", std::to_string(before)},
       {"routes", std::to_string(version())},
       {"watched_after", std::to_string(document_watch_.position().version)}});
  // A watch from before may wait for a version of the lost history.
  if (document_watch_.OnEraSeen(era) && document_call_pending_) {
    ++document_call_number_;
    document_call_pending_ = false;
  }
  if (before == 0)
    return;
  // The peers learn of the era before the next interval.
  last_announcement_ = {};
  const Duration span = kOwnRowsCheckInterval *
                        static_cast<std::int64_t>(directory_.known_nodes() + 1);
  std::uniform_int_distribution<std::int64_t> delay(0, span.count());
  ScheduleOwnRowsCheck(Duration(delay(random_)));
}

// --- Rows that this node has written

void RouteNode::Impl::ScheduleOwnRowsCheck(Duration pause) {
  deadlines_.Cancel(own_rows_check_);
  own_rows_check_ =
      deadlines_.Schedule(Now() + pause, [this] { CheckOwnRows(); });
}

void RouteNode::Impl::CheckOwnRows() {
  own_rows_check_ = 0;
  if (!stored_leaves_.empty()) {
    leaves_read_from_store_ = false;
    ReadLeaveTable();
  }
  // The rows of other nodes that this one has removed may be back.
  if (has_removed_node_rows_) {
    ReadNodeTable();
    return;
  }
  store_->Read(
      interface_.node_table, settings_.name,
      [this](const coordination::RowsReply& reply) { OnOwnNodeRow(reply); });
}

void RouteNode::Impl::OnOwnNodeRow(const coordination::RowsReply& reply) {
  OnStoreEra(reply.era);
  ReadStoreClock(reply);
  if (reply.status != coordination::StoreStatus::kDone) {
    ScheduleOwnRowsCheck(kMaxTableRetryDelay);
    return;
  }
  std::vector<std::string> replaced;
  const bool has_own = AddNodes(reply, &replaced);
  Log(LogLevel::kInfo, "own_row_checked",
      {{"era", std::to_string(reply.era)},
       {"stored", has_own ? "true" : "false"}});
  if (!has_own)
    WriteOwnNodeRow(replaced);
}

void RouteNode::Impl::ReadStoreClock(const coordination::RowsReply& reply) {
  if (reply.status != coordination::StoreStatus::kDone)
    return;
  if (!reply.clock_error.empty() && store_clock_errors_++ == 0)
    Log(LogLevel::kWarning, "store_clock_unreadable",
        {{"detail", reply.clock_error}});
  if (reply.store_time)
    store_clock_.OnReading({reply.era, *reply.store_time}, reply.requested_at,
                           Now());
}

void RouteNode::Impl::OnDocumentRows(const coordination::RowsReply& reply) {
  const Instant now = Now();
  ReadStoreClock(reply);
  document_call_pending_ = false;
  const std::uint64_t watched_after = document_watch_.position().version;
  if (reply.status == coordination::StoreStatus::kDone)
    last_store_answer_ = now;
  if (document_watch_.OnReply(reply, now)) {
    const bool is_connected = document_watch_.is_connected();
    Log(is_connected ? LogLevel::kInfo : LogLevel::kWarning,
        is_connected ? "store_regained" : "store_lost",
        {{"detail", reply.detail}, {"version", std::to_string(version())}});
    // The delay before the next attempt may end after kLeaveStateTimeout.
    if (is_connected && !leaves_read_from_store_)
      ReadLeaveTable();
  }
  LogPositionChange(reply, watched_after);
  LogLeftOutRows(interface_.document_table, reply);
  bool is_applied = true;
  for (const coordination::StoreRow& row : reply.rows) {
    if (row.key == interface_.document_key && !row.is_removed)
      is_applied = ApplyDocument(row.value, "store") && is_applied;
  }
  // After a reply that does not continue the history, the table is read anew.
  const bool is_complete = reply.status == coordination::StoreStatus::kDone &&
                           reply.left_out_rows == 0 &&
                           !document_watch_.needs_read();
  if (routes_ && is_applied && is_complete && reply.store_time)
    document_freshness_.OnStatement(version(), {reply.era, *reply.store_time},
                                    version(), store_clock_, now);
  ReadOrWatchDocument();
}

void RouteNode::Impl::LogPositionChange(const coordination::RowsReply& reply,
                                        std::uint64_t watched_after) {
  if (reply.is_history_lost)
    Log(LogLevel::kWarning, "store_history_lost",
        {{"watched_after", std::to_string(watched_after)},
         {"era", std::to_string(reply.era)}});
  else if (reply.status == coordination::StoreStatus::kDone &&
           reply.version < watched_after)
    Log(LogLevel::kWarning, "store_version_lower",
        {{"version", std::to_string(reply.version)},
         {"watched_after", std::to_string(watched_after)},
         {"next_watch_after",
          std::to_string(document_watch_.position().version)},
         {"era", std::to_string(reply.era)}});
}

bool RouteNode::Impl::ApplyDocument(const std::string& document,
                                    std::string_view source) {
  std::shared_ptr<const state::RouteSet> routes;
  try {
    routes = std::make_shared<const state::RouteSet>(
        interface_.decode_routes(document));
  } catch (const state::Error& error) {
    Log(LogLevel::kError, "routes_invalid",
        {{"source", std::string(source)},
         {"in_force", std::to_string(version())},
         {"detail", error.what()}});
    return false;
  }
  if (routes->version <= version())
    return true;
  Log(LogLevel::kInfo, "routes_in_force",
      {{"source", std::string(source)},
       {"version", std::to_string(routes->version)},
       {"before", std::to_string(version())},
       {"routes", std::to_string(routes->routes.size())},
       {"public_routes",
        std::to_string(std::count_if(
            routes->routes.begin(), routes->routes.end(),
            [](const state::Route& route) { return route.is_public; }))},
       {"tenants", std::to_string(routes->tenants.size())}});
  routes_ = routes;
  document_ = document;
  entry_.SetRoutes(std::make_shared<const coordination::RouteTable>(routes));
  document_freshness_.OnVersionInForce(routes->version, store_clock_, Now());
  quota_.SetTenants(routes->tenants);
  AnnounceVersion();
  return true;
}

void RouteNode::Impl::AnnounceVersion() {
  ForwardToSomePeers(MakeVersionNotice());
}

void RouteNode::Impl::ForwardToSomePeers(const protocol::PeerMessage& message) {
  // Mostly in this availability zone: traffic between zones is charged for, and
  // each zone has readers of its own.
  std::vector<state::NodeId> zone_peers =
      directory_.ZonePeers(NodeDirectory::Peers::kLinked);
  std::vector<state::NodeId> receivers;
  std::sample(zone_peers.begin(), zone_peers.end(),
              std::back_inserter(receivers),
              AnnouncementFanout(zone_peers.size() + 1), random_);
  for (const state::NodeId node :
       directory_.SampleLinkedNodes(kAnnouncementsToAllZones, random_))
    receivers.push_back(node);
  for (const state::NodeId node : receivers)
    outbound_.SendControl(node, directory_.EndpointOf(node), message);
}

protocol::VersionNotice RouteNode::Impl::MakeVersionNotice() const {
  protocol::VersionNotice notice{directory_.self().node, version(), store_era_,
                                 Duration(0)};
  const auto& statement = document_freshness_.statement();
  if (statement && statement->era == store_era_)
    notice.store_time = statement->time;
  return notice;
}

void RouteNode::Impl::SendVersionNotice(state::NodeId node) {
  outbound_.SendControl(node, directory_.EndpointOf(node), MakeVersionNotice());
}

void RouteNode::Impl::RepeatAnnouncement(Instant now) {
  // Only a reader that reaches the store keeps others from reading it.
  if (!routes_ || !is_store_reader_ || !document_watch_.is_connected() ||
      now - last_announcement_ < store_readers_.notice_interval())
    return;
  last_announcement_ = now;
  for (const state::NodeId node :
       directory_.ZonePeers(NodeDirectory::Peers::kLinked))
    SendVersionNotice(node);
  for (const state::NodeId node : directory_.SampleLinkedNodes(1, random_))
    SendVersionNotice(node);
}

// --- The table of nodes

void RouteNode::Impl::ReadNodeTable() {
  store_->Read(
      interface_.node_table, {},
      [this](const coordination::RowsReply& reply) { OnNodeRows(reply); });
}

bool RouteNode::Impl::AddNodes(const coordination::RowsReply& reply,
                               std::vector<std::string>* replaced) {
  bool has_own = false;
  const state::NodeRecord& self = directory_.self();
  for (const coordination::StoreRow& row : reply.rows) {
    const std::span<const std::uint8_t> bytes(
        reinterpret_cast<const std::uint8_t*>(row.value.data()),
        row.value.size());
    const auto message = protocol::DecodePayload(bytes);
    const auto* push =
        message ? std::get_if<protocol::NodeRecordsPush>(&*message) : nullptr;
    if (!push) {
      Log(LogLevel::kWarning, "node_row_malformed",
          {{"key", TruncatedText(row.key)}});
      continue;
    }
    for (const state::NodeRecord& record : push->records) {
      // Each node writes one row, under its name.
      if (record.name != row.key ||
          record.node != state::NodeIdOf(record.name)) {
        Log(LogLevel::kWarning, "node_row_of_other_node",
            {{"key", TruncatedText(row.key)},
             {"name", TruncatedText(record.name)}});
        continue;
      }
      if (record.node == self.node)
        has_own = record.peer == self.peer && record.zone == self.zone;
      else if (record.peer == self.peer)
        replaced->push_back(row.key);
      else
        directory_.OnIndirectRecord(record);
    }
  }
  return has_own;
}

void RouteNode::Impl::CountRegisteredNodes(
    const coordination::RowsReply& reply) {
  if (reply.left_out_rows == 0)
    quota_nodes_.clear();
  for (const coordination::StoreRow& row : reply.rows) {
    if (!row.is_removed)
      quota_nodes_.insert(state::NodeIdOf(row.key));
  }
  last_quota_nodes_update_ = {};
}

void RouteNode::Impl::UpdateQuotaNodes(Instant now) {
  if (!quota_.has_quotas() ||
      now - last_quota_nodes_update_ < kQuotaNodesInterval)
    return;
  last_quota_nodes_update_ = now;
  for (const state::NodeRecord& record : directory_.Records())
    quota_nodes_.insert(record.node);
  quota_.SetNodes({quota_nodes_.begin(), quota_nodes_.end()});
}

void RouteNode::Impl::OnNodeRows(const coordination::RowsReply& reply) {
  OnStoreEra(reply.era);
  ReadStoreClock(reply);
  if (reply.status != coordination::StoreStatus::kDone) {
    RetryNodeTable(reply.detail);
    return;
  }
  LogLeftOutRows(interface_.node_table, reply);
  node_table_read_ = true;
  CountRegisteredNodes(reply);
  // Keys of rows of other nodes that had this node's address before.
  std::vector<std::string> replaced;
  if (AddNodes(reply, &replaced) && replaced.empty()) {
    node_table_retry_delay_ = Duration(0);
    ScheduleNodeTableRead(NodeTableInterval());
    return;
  }
  WriteOwnNodeRow(replaced);
}

void RouteNode::Impl::RetryNodeTable(const std::string& detail) {
  node_table_retry_delay_ = std::clamp(
      node_table_retry_delay_ * 2, kMinTableRetryDelay, kMaxTableRetryDelay);
  Log(LogLevel::kWarning, "node_table_failed",
      {{"detail", detail},
       {"retry_us", std::to_string(node_table_retry_delay_.count())}});
  ScheduleNodeTableRead(node_table_retry_delay_);
}

void RouteNode::Impl::LogLeftOutRows(const std::string& table,
                                     const coordination::RowsReply& reply) {
  if (reply.left_out_rows > 0)
    Log(LogLevel::kWarning, "store_rows_left_out",
        {{"table", table},
         {"rows", std::to_string(reply.left_out_rows)},
         {"detail", TruncatedText(reply.detail)}});
}

void RouteNode::Impl::WriteOwnNodeRow(
    const std::vector<std::string>& replaced) {
  has_removed_node_rows_ = has_removed_node_rows_ || !replaced.empty();
  // This node's row is written before the table is read again, so that of two
  // nodes that start at the same time at least one finds the other.
  const std::string frame = protocol::EncodeFrame(
      protocol::NodeRecordsPush{{directory_.self()}, 1, 1});
  store_->Write(interface_.node_table, settings_.name,
                frame.substr(protocol::kFrameHeaderBytes), replaced,
                [this](const coordination::WriteReply& reply) {
                  OnStoreEra(reply.era);
                  if (reply.status == coordination::StoreStatus::kDone)
                    ReadNodeTable();
                  else
                    RetryNodeTable(reply.detail);
                });
}

void RouteNode::Impl::ScheduleNodeTableRead(Duration pause) {
  deadlines_.Cancel(node_table_read_timer_);
  node_table_read_timer_ =
      deadlines_.Schedule(Now() + pause, [this] { ReadNodeTable(); });
}

Duration RouteNode::Impl::NodeTableInterval() const {
  if (is_store_reader_ || directory_.open_links() == 0)
    return kNodeTableInterval;
  return std::max(kNodeTableInterval,
                  kNodeTableIntervalPerNode *
                      static_cast<std::int64_t>(directory_.known_nodes()));
}

// --- Backend servers that have left

void RouteNode::Impl::RecoverLeaves() {
  if (settings_.bootstrap) {
    // No server can have left before the first start of the system.
    leave_wait_expired_ = true;
    leaves_read_from_store_ = true;
    leave_pulls_sent_ = kMaxLeavePulls;
    return;
  }
  ReadLeaveTable();
  // If the store does not answer, the leaves come from the other nodes, which
  // are expected to have reconnected and sent them within the timeout.
  deadlines_.Schedule(Now() + kLeaveStateTimeout, [this] {
    leave_wait_expired_ = true;
    ApplyUnconfirmedReport();
  });
}

std::string RouteNode::Impl::LeaveKeyPrefix() const {
  return settings_.name + kHostSeparator;
}

void RouteNode::Impl::ReadLeaveTable() {
  store_->Read(
      interface_.leave_table, LeaveKeyPrefix(),
      [this](const coordination::RowsReply& reply) { OnLeaveRows(reply); });
}

void RouteNode::Impl::OnLeaveRows(const coordination::RowsReply& reply) {
  OnStoreEra(reply.era);
  if (reply.status != coordination::StoreStatus::kDone) {
    // A leave that only the store has must be applied also if the store returns
    // after kLeaveStateTimeout.
    leave_table_retry_delay_ = std::clamp(
        leave_table_retry_delay_ * 2, kMinTableRetryDelay, kMaxTableRetryDelay);
    deadlines_.Schedule(Now() + leave_table_retry_delay_, [this] {
      if (!leaves_read_from_store_)
        ReadLeaveTable();
    });
    return;
  }
  LogLeftOutRows(interface_.leave_table, reply);
  const std::size_t prefix = LeaveKeyPrefix().size();
  std::set<std::string> found;
  for (const coordination::StoreRow& row : reply.rows) {
    const auto left_ms = ParseLeaveTimeMs(row.value);
    if (row.key.size() <= prefix || !left_ms) {
      Log(LogLevel::kWarning, "leave_row_malformed",
          {{"key", TruncatedText(row.key)}});
      continue;
    }
    found.insert(row.key);
    if (!HasStoredLeave(row.key))
      stored_leaves_.insert({*left_ms, row.key});
    ProcessLeave(row.key.substr(prefix), *left_ms);
  }
  leaves_read_from_store_ = true;
  StoreMissingLeaves(found);
  ApplyUnconfirmedReport();
}

bool RouteNode::Impl::HasStoredLeave(const std::string& key) const {
  return std::any_of(stored_leaves_.begin(), stored_leaves_.end(),
                     [&key](const auto& leave) { return leave.second == key; });
}

void RouteNode::Impl::StoreMissingLeaves(const std::set<std::string>& found) {
  std::vector<std::pair<std::uint64_t, std::string>> missing;
  std::copy_if(
      stored_leaves_.begin(), stored_leaves_.end(), std::back_inserter(missing),
      [&found](const auto& leave) { return found.count(leave.second) == 0; });
  for (const auto& [left_ms, key] : missing)
    StoreLeave(key.substr(LeaveKeyPrefix().size()), left_ms);
}

void RouteNode::Impl::ProcessLeave(const std::string& instance,
                                   std::uint64_t left_ms) {
  if (registry_.ApplyInstanceLeave(instance, left_ms, Now()) ==
      coordination::ReportOutcome::kChanged)
    ApplyBackendChange();
}

void RouteNode::Impl::OnBackendLeft(const protocol::BackendLeft& left,
                                    const Reply& reply) {
  if (left.node != directory_.self().node) {
    const auto [known, is_first] = latest_leaves_.try_emplace(left.node, left);
    // The leave arrives on each link between the two nodes; the sender counts
    // the answers as copies, so that only the first one is answered.
    if (!is_first && std::exchange(known->second, left) == left)
      return;
    Log(LogLevel::kInfo, "leave_heard",
        {{"of_node", state::ToHex(left.node)},
         {"instance", left.instance},
         {"left_ms", std::to_string(left.left_ms)}});
    reply(left);
    return;
  }
  const auto recorded = leaves_.find(left.instance);
  if (recorded != leaves_.end()) {
    recorded->second.durability.OnPeerCopy();
    AnswerLeave(left.instance);
  }
  if (!left.instance.empty()) {
    // A leave that this process recorded is known to be of one instance of that
    // name.
    if (recorded == leaves_.end())
      ProcessLeave(left.instance, left.left_ms);
    // The store may have forgotten a leave that an earlier process stored.
    const std::string key = LeaveKeyPrefix() + left.instance;
    if (!HasStoredLeave(key)) {
      stored_leaves_.insert({left.left_ms, key});
      if (leaves_read_from_store_)
        StoreLeave(left.instance, left.left_ms);
    }
  }
  leave_received_from_peer_ = true;
  ApplyUnconfirmedReport();
}

void RouteNode::Impl::RecordLeave(const state::BackendInstance& identity) {
  const Instant now = Now();
  const std::string& instance = identity.instance;
  // The clock may have been set back since the start of the instance.
  std::uint64_t left_ms =
      std::max(state::WallMilliseconds(WallNow()), identity.started_ms);
  if (registry_.ApplyLeave(identity, left_ms, now) ==
      coordination::ReportOutcome::kChanged)
    ApplyBackendChange();
  // The stored leave must not cover a later instance of the same name.
  if (registry_.accepts_work() &&
      registry_.current()->identity.instance == instance)
    left_ms = identity.started_ms;
  const auto [found, is_first] =
      leaves_.try_emplace(instance, RecordedLeave{identity.started_ms, now});
  RecordedLeave& leave = found->second;
  if (!is_first) {
    // The backend server repeats its report until it is confirmed. A later
    // instance may use the same name and leave as well.
    const bool is_same_run =
        state::BackendInstance{instance, leave.started_ms}.IsSameRun(identity);
    if (is_same_run && now - leave.recorded_at < kRepeatedLeaveTime)
      return;
    leave.started_ms = identity.started_ms;
    leave.durability = coordination::LeaveDurability(now);
    leave.recorded_at = now;
  }
  const protocol::BackendLeft left{directory_.self().node, instance, left_ms};
  inbound_.Broadcast(left);
  outbound_.Broadcast(left);
  StoreLeave(instance, left_ms);
  for (const Duration delay : {coordination::LeaveDurability::kStoreTimeout,
                               coordination::LeaveDurability::kAnswerTimeout})
    deadlines_.Schedule(now + delay,
                        [this, instance] { AnswerLeave(instance); });
}

void RouteNode::Impl::OnStatedLeave() {
  if (!registry_.accepts_work())
    return;
  const state::BackendInstance identity = registry_.current()->identity;
  Log(LogLevel::kInfo, "leave_stated",
      {{"instance", identity.instance},
       {"started_ms", std::to_string(identity.started_ms)},
       {"server_calls", std::to_string(backend_executor_.in_flight())}});
  registry_.ApplyLeave(identity, state::WallMilliseconds(WallNow()), Now());
  ApplyBackendChange();
  // The record reaches the other nodes before the answer does, on the same
  // links, so that a node that passes the answer on can tell this one of the
  // leave after a restart.
  RecordLeave(identity);
}

void RouteNode::Impl::ConfirmLeave(const std::string& instance,
                                   std::shared_ptr<HttpExchange> exchange) {
  const auto found = leaves_.find(instance);
  if (found == leaves_.end()) {
    exchange->Respond(JsonResponse(200, "{}"));
    return;
  }
  found->second.waiting.push_back(std::move(exchange));
  AnswerLeave(instance);
}

void RouteNode::Impl::AnswerLeave(const std::string& instance) {
  const auto found = leaves_.find(instance);
  if (found == leaves_.end() || found->second.waiting.empty())
    return;
  const coordination::LeaveDurability& durability = found->second.durability;
  const auto verdict = durability.Verdict(Now());
  if (verdict == coordination::LeaveVerdict::kPending)
    return;
  const bool is_confirmed = verdict == coordination::LeaveVerdict::kConfirm;
  Log(is_confirmed ? LogLevel::kInfo : LogLevel::kWarning,
      is_confirmed ? "leave_confirmed" : "leave_not_confirmed",
      {{"instance", instance},
       {"stored", durability.is_stored() ? "true" : "false"},
       {"peer_copies", std::to_string(durability.peer_copies())}});
  for (const auto& exchange : std::exchange(found->second.waiting, {}))
    exchange->Respond(JsonResponse(is_confirmed ? 200 : 503, "{}"));
}

void RouteNode::Impl::StoreLeave(const std::string& instance,
                                 std::uint64_t left_ms) {
  const std::string key = LeaveKeyPrefix() + instance;
  std::vector<std::string> removed;
  // An earlier leave of the same name has the same row.
  std::erase_if(stored_leaves_,
                [&key](const auto& stored) { return stored.second == key; });
  stored_leaves_.insert({left_ms, key});
  while (stored_leaves_.size() > kMaxStoredLeaves) {
    removed.push_back(stored_leaves_.begin()->second);
    stored_leaves_.erase(stored_leaves_.begin());
  }
  store_->Write(
      interface_.leave_table, key, std::to_string(left_ms), removed,
      [this, instance, left_ms](const coordination::WriteReply& reply) {
        OnStoreEra(reply.era);
        if (reply.status == coordination::StoreStatus::kDone) {
          const auto found = leaves_.find(instance);
          if (found == leaves_.end())
            return;
          found->second.durability.OnStored();
          AnswerLeave(instance);
          return;
        }
        Log(LogLevel::kWarning, "leave_not_stored",
            {{"instance", instance}, {"detail", reply.detail}});
        deadlines_.Schedule(
            Now() + kStoreLeaveRetryDelay,
            [this, instance, left_ms] { StoreLeave(instance, left_ms); });
      });
}

void RouteNode::Impl::HoldFirstReport(const state::BackendReport& report) {
  const Instant now = Now();
  // A health check was answered by another instance: the report is late.
  if (unconfirmed_report_ && unconfirmed_report_->service.empty() &&
      !unconfirmed_report_->identity.instance.empty() &&
      unconfirmed_report_->identity.instance != report.identity.instance)
    return;
  const bool is_first =
      !unconfirmed_report_ || unconfirmed_report_->identity != report.identity;
  if (is_first) {
    first_held_sequence_ = report.sequence;
    first_held_at_ = now;
  }
  // Reports that arrive together may both be late.
  has_second_report_ =
      !is_first && (has_second_report_ ||
                    (report.sequence > first_held_sequence_ &&
                     now - first_held_at_ >=
                         coordination::BackendRegistry::kMinCandidateTime));
  unconfirmed_report_ = report;
  ApplyUnconfirmedReport();
}

void RouteNode::Impl::ApplyUnconfirmedReport() {
  if (!IsLeaveStateKnown() || !unconfirmed_report_)
    return;
  // Nothing has left before the first start of the system.
  if (!is_health_check_answered_ && !has_second_report_ && !settings_.bootstrap)
    return;
  const state::BackendReport seen =
      *std::exchange(unconfirmed_report_, std::nullopt);
  // The result of a health check does not contain the service.
  const auto outcome =
      seen.service.empty()
          ? registry_.ConfirmByHealthCheck(seen.identity, settings_.service,
                                           seen.slots, Now())
          : registry_.Apply(seen, Now());
  if (outcome == coordination::ReportOutcome::kChanged)
    ApplyBackendChange();
}

}  // namespace sesamespread::transport
