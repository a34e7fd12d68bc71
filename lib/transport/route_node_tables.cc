/// \file
/// The operator's document, the table of nodes and the table of backend servers
/// that have left.
#include "route_node_impl.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <chrono>
#include <utility>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::transport {
namespace {

using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The table of nodes is read again this often. Nodes tell each other of
/// themselves; the table is for those that no one has heard of.
constexpr Duration kNodeTableInterval = seconds(30);

/// Pause after a failed call for the table of nodes, doubled up to the second.
constexpr Duration kFirstTablePause = milliseconds(250);

constexpr Duration kLongestTablePause = seconds(2);

/// Each node tells others of a new version of the routes, so that those whose
/// watch of the store has gone silent hear of it. If each of n nodes tells
/// log2(n) + 2 others at random, one in e^2 n hears of it from none.
std::size_t AnnouncementsAmong(std::size_t nodes) {
  return static_cast<std::size_t>(std::bit_width(nodes)) + 2;
}

/// Pause before a leave is stored again after a failure. A node that restarts
/// meanwhile learns of the leave from other nodes only.
constexpr Duration kStoreLeavePause = milliseconds(700);

/// After a start without the store, longest wait for other nodes to say which
/// backend servers have left here. They try to reach a lost node five times a
/// second at first.
constexpr Duration kLeftWait = milliseconds(600);

// The time in a row of the left table; 0 for another writer's value, so that it
// names no run.
std::uint64_t LeftMillisOf(const std::string& value) {
  std::uint64_t millis = 0;
  const auto result =
      std::from_chars(value.data(), value.data() + value.size(), millis);
  return result.ec == std::errc() ? millis : 0;
}

}  // namespace

// --- The operator's document

void RouteNode::Impl::CallDocumentTable() {
  const coordination::TableCall call =
      document_watch_.Next(directory_.known_nodes() + 1);
  if (call.at > Now()) {
    deadlines_.Schedule(call.at, [this] { CallDocumentTable(); });
    return;
  }
  const auto done = [this](const coordination::RowsReply& reply) {
    OnDocumentRows(reply);
  };
  if (call.is_read)
    store_->Read(interface_.document_table, done);
  else
    store_->Watch(interface_.document_table, call.after, call.wait, done);
}

void RouteNode::Impl::OnDocumentRows(const coordination::RowsReply& reply) {
  const Instant now = Now();
  if (reply.status == coordination::StoreStatus::kDone)
    store_answered_ = now;
  if (document_watch_.OnReply(reply, now)) {
    const bool is_connected = document_watch_.is_connected();
    Log(is_connected ? LogLevel::kInfo : LogLevel::kWarning,
        is_connected ? "store_regained" : "store_lost",
        {{"detail", reply.detail}, {"version", std::to_string(version())}});
  }
  for (const coordination::StoreRow& row : reply.rows) {
    if (row.key == interface_.document_key && !row.is_removed)
      Adopt(row.value, "store");
  }
  CallDocumentTable();
}

void RouteNode::Impl::Adopt(const std::string& document,
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
    return;
  }
  if (routes->version <= version())
    return;
  Log(LogLevel::kInfo, "routes_in_force",
      {{"source", std::string(source)},
       {"version", std::to_string(routes->version)},
       {"before", std::to_string(version())},
       {"routes", std::to_string(routes->routes.size())}});
  routes_ = routes;
  document_ = document;
  entry_.SetRoutes(std::make_shared<const coordination::RouteTable>(routes));
  AnnounceVersion();
}

void RouteNode::Impl::AnnounceVersion() {
  const protocol::VersionNotice notice{directory_.self().node, version()};
  const std::size_t count = AnnouncementsAmong(directory_.known_nodes());
  for (const state::NodeId node : directory_.AnyOpen(count, random_))
    outbound_.SendControl(node, directory_.EndpointOf(node), notice);
}

// --- The table of nodes

void RouteNode::Impl::ReadNodeTable() {
  store_->Read(
      interface_.node_table,
      [this](const coordination::RowsReply& reply) { OnNodeRows(reply); });
}

bool RouteNode::Impl::LearnNodes(const coordination::RowsReply& reply,
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
      Log(LogLevel::kWarning, "node_row_malformed", {{"key", row.key}});
      continue;
    }
    for (const state::NodeRecord& record : push->records) {
      if (record.node == self.node)
        has_own = record.peer == self.peer && record.zone == self.zone;
      else if (record.peer == self.peer)
        replaced->push_back(row.key);
      else
        directory_.OnHint(record);
    }
  }
  return has_own;
}

void RouteNode::Impl::OnNodeRows(const coordination::RowsReply& reply) {
  if (reply.status != coordination::StoreStatus::kDone) {
    table_pause_ =
        std::clamp(table_pause_ * 2, kFirstTablePause, kLongestTablePause);
    RetryNodeTable(table_pause_);
    return;
  }
  table_pause_ = Duration(0);
  has_node_table_ = true;
  // Rows of nodes that had this node's address before.
  std::vector<std::string> replaced;
  if (LearnNodes(reply, &replaced) && replaced.empty()) {
    RetryNodeTable(kNodeTableInterval);
    return;
  }
  // The row is written before the table is read again, so that of two nodes
  // that start together at least one finds the other.
  const std::string frame = protocol::EncodeFrame(
      protocol::NodeRecordsPush{{directory_.self()}, 1, 1});
  store_->Write(interface_.node_table, settings_.name,
                frame.substr(protocol::kFrameHeaderBytes), replaced,
                [this](coordination::StoreStatus, const std::string&) {
                  ReadNodeTable();
                });
}

void RouteNode::Impl::RetryNodeTable(Duration pause) {
  deadlines_.Schedule(Now() + pause, [this] { ReadNodeTable(); });
}

// --- Backend servers that have left

void RouteNode::Impl::ReadLeftTable() {
  store_->Read(
      interface_.left_table,
      [this](const coordination::RowsReply& reply) { OnLeftRows(reply); });
  // Without the store the other nodes know it; all that are there have said so
  // by then.
  deadlines_.Schedule(Now() + kLeftWait, [this] {
    has_waited_for_left_ = true;
    ConfirmBackend();
  });
}

void RouteNode::Impl::OnLeftRows(const coordination::RowsReply& reply) {
  if (reply.status != coordination::StoreStatus::kDone)
    return;
  for (const coordination::StoreRow& row : reply.rows)
    TakeLeave(row.key, LeftMillisOf(row.value));
  store_told_left_ = true;
  ConfirmBackend();
}

void RouteNode::Impl::TakeLeave(const std::string& instance,
                                std::uint64_t left_ms) {
  if (registry_.AddLeft(instance, left_ms, Now()) ==
      coordination::ReportOutcome::kChanged)
    ApplyBackend();
}

void RouteNode::Impl::OnBackendLeft(const protocol::BackendLeft& left) {
  if (left.node != directory_.self().node) {
    Log(LogLevel::kInfo, "leave_heard",
        {{"of_node", state::ToHex(left.node)},
         {"instance", left.instance},
         {"left_ms", std::to_string(left.left_ms)}});
    left_beside_[left.node] = left;
    return;
  }
  if (!left.instance.empty())
    TakeLeave(left.instance, left.left_ms);
  node_told_left_ = true;
  ConfirmBackend();
}

void RouteNode::Impl::RememberLeave(const std::string& instance) {
  const std::uint64_t left_ms = state::WallMilliseconds(WallNow());
  registry_.AddLeft(instance, left_ms, Now());
  const protocol::BackendLeft left{directory_.self().node, instance, left_ms};
  inbound_.Broadcast(left);
  outbound_.Broadcast(left);
  StoreLeave(instance, left_ms);
}

void RouteNode::Impl::StoreLeave(const std::string& instance,
                                 std::uint64_t left_ms) {
  store_->Write(interface_.left_table, instance, std::to_string(left_ms), {},
                [this, instance, left_ms](coordination::StoreStatus status,
                                          const std::string& detail) {
                  if (status == coordination::StoreStatus::kDone)
                    return;
                  Log(LogLevel::kWarning, "leave_not_stored",
                      {{"instance", instance}, {"detail", detail}});
                  deadlines_.Schedule(Now() + kStoreLeavePause,
                                      [this, instance, left_ms] {
                                        StoreLeave(instance, left_ms);
                                      });
                });
}

void RouteNode::Impl::ConfirmBackend() {
  if (!KnowsLeft() || !unconfirmed_)
    return;
  const state::BackendReport seen = *std::exchange(unconfirmed_, std::nullopt);
  // A health check doesn't tell the service.
  const auto outcome = seen.service.empty()
                           ? registry_.Confirm(seen.identity, settings_.service,
                                               seen.slots, Now())
                           : registry_.Apply(seen, Now());
  if (outcome == coordination::ReportOutcome::kChanged)
    ApplyBackend();
}

}  // namespace sesamespread::transport
