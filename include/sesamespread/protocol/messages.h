/// \file
/// Messages between nodes as typed values. codec.h encodes and decodes them.
#ifndef SESAMESPREAD_PROTOCOL_MESSAGES_H_
#define SESAMESPREAD_PROTOCOL_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sesamespread/coordination/crash_suspects.h"
#include "sesamespread/coordination/gossip.h"
#include "sesamespread/coordination/quota_messages.h"
#include "sesamespread/state/configuration.h"
#include "sesamespread/state/ids.h"
#include "sesamespread/state/inventory.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/result_code.h"

namespace sesamespread::protocol {

/// One HTTP header field.
struct Header {
  std::string name;
  std::string value;

  auto operator<=>(const Header&) const = default;
};

/// Requests the node beside a backend server to execute a call.
struct CallRequest {
  state::CallId call_id = 0;
  state::RequestId request_id;
  std::string service;
  std::string method;
  std::string path;
  std::vector<Header> headers;
  std::string body;
  /// Time from the sending of the call to its deadline.
  state::Duration remaining{0};
  /// Retries that the sub-calls of this call may spend.
  std::uint32_t allotment = 0;
  /// Number of hops from the caller.
  std::uint32_t depth = 0;
  state::Importance importance = state::Importance::kStandard;
  bool repeatable = false;
  std::string idempotency_key;
  /// The only incarnation of the receiver that may execute the call; others
  /// refuse it. 0 permits any incarnation.
  state::Incarnation target_incarnation = 0;
  state::ConfigurationVersion configuration_version = 0;
  /// Hash of the caller's credentials. Part of the idempotency fingerprint.
  std::uint64_t caller_identity = 0;
  /// Name of the route that matched at the entry node; empty if the request was
  /// classified by rules.
  std::string route;
  /// Priority rank of the route; rank 0 is shed last.
  std::uint32_t priority = 0;
  /// Time from the sending of the call to the latency objective of the route;
  /// zero if that has passed.
  state::Duration goal_remaining{0};
  /// Longest queueing delay that the sender accepts. The receiver refuses the
  /// call if it expects a longer one.
  state::Duration max_wait{0};
  /// True for a call that a backend server makes while it runs a request.
  bool from_backend = false;
  /// True if a backend server that receives this call counts it as a repeat:
  /// the call was sent before, or the run that makes it is itself a repeat.
  bool is_repeat = false;
  /// True if the sender tries another server if this one refuses the call.
  bool has_alternatives = false;
  /// True if a backend server may have ended under the request before.
  bool is_crash_suspect = false;
  /// Name of the tenant that the request is attributed to; empty if none.
  std::string tenant;
  /// The receiver refuses the call if calls take longer there now than this
  /// percentage of the mean of the last seconds; 0 for no bound.
  std::uint32_t max_work_factor_percent = 0;

  auto operator<=>(const CallRequest&) const = default;
};

/// Admission threshold of a service; see state::PriorityOf.
struct ServiceThreshold {
  std::string service;
  std::uint32_t threshold = 0;

  auto operator<=>(const ServiceThreshold&) const = default;
};

/// The answer to a CallRequest.
struct CallAnswer {
  state::CallId call_id = 0;
  state::RequestId request_id;
  state::ResultCode result = state::ResultCode::kOk;
  state::RunState run_state = state::RunState::kUnknown;
  /// HTTP status of the backend server's answer; 0 if there is none.
  std::uint16_t http_status = 0;
  std::vector<Header> headers;
  /// Size in bytes and XXH3 digest of the whole body.
  std::uint64_t body_size = 0;
  std::uint64_t body_digest = 0;
  /// First part of the body. AnswerChunk messages carry the rest.
  std::string body;
  std::uint32_t unused_allotment = 0;
  state::Duration retry_after{0};
  std::vector<ServiceThreshold> thresholds;
  std::uint32_t in_progress = 0;
  std::uint32_t limit = 0;
  state::BackendState backend_state = state::BackendState::kAbsent;
  state::ConfigurationVersion configuration_version = 0;
  /// Cause of a failure, for the problem details.
  std::string detail;
  /// Calls in the queue of the server, and the queueing delay of a new one.
  std::uint32_t queued = 0;
  state::Duration expected_wait{0};
  /// Time at the backend server without queueing delay; zero if the call did
  /// not run.
  state::Duration service_time{0};
  /// Number of calls that the backend server made while it ran this one.
  std::uint32_t calls_made = 0;
  /// Usual time of a call at the backend server without queueing delay, over
  /// all routes and callers; zero if unknown. Calls take work_factor_percent of
  /// it now.
  state::Duration work_time{0};
  std::uint32_t work_factor_percent = 100;

  auto operator<=>(const CallAnswer&) const = default;
};

/// The part of an answer's body that starts at byte `offset`.
struct AnswerChunk {
  state::CallId call_id = 0;
  std::uint64_t offset = 0;
  std::string body;

  auto operator<=>(const AnswerChunk&) const = default;
};

/// Cancels a call: the sender no longer waits for its answer.
struct Cancel {
  state::CallId call_id = 0;

  auto operator<=>(const Cancel&) const = default;
};

/// Identifies the sender. The first message on a link in each direction.
struct Hello {
  state::NodeId node = 0;
  state::Incarnation incarnation = 0;
  std::string name;

  auto operator<=>(const Hello&) const = default;
};

/// Requests a Pong with the same token, to detect a link that is broken though
/// its connection is open.
struct Ping {
  std::uint64_t token = 0;

  auto operator<=>(const Ping&) const = default;
};
struct Pong {
  std::uint64_t token = 0;

  auto operator<=>(const Pong&) const = default;
};

/// Announces that the sender's backend server leaves and accepts no new work.
struct LeaveNotice {
  state::NodeId node = 0;
  state::Incarnation incarnation = 0;
  std::uint32_t sequence = 0;

  auto operator<=>(const LeaveNotice&) const = default;
};

/// Requests the changes of the configuration since `have_version`.
struct ConfigurationPull {
  state::ConfigurationVersion have_version = 0;

  auto operator<=>(const ConfigurationPull&) const = default;
};

/// Changes of the configuration. If `full` is set, `delta` holds the whole
/// configuration and delta.from is 0.
struct ConfigurationPush {
  state::ConfigurationDelta delta;
  bool full = false;

  auto operator<=>(const ConfigurationPush&) const = default;
};

/// Requests node records from `from_index` on, in the order of the receiver's
/// node table. Adding records does not change that order.
struct NodeRecordsPull {
  std::uint32_t from_index = 0;

  auto operator<=>(const NodeRecordsPull&) const = default;
};

/// A part of the sender's node records. The last part has next_index == total.
struct NodeRecordsPush {
  std::vector<state::NodeRecord> records;
  std::uint32_t next_index = 0;
  std::uint32_t total = 0;

  auto operator<=>(const NodeRecordsPush&) const = default;
};

/// Announces that an instance of the backend server beside `node` has left.
/// Peers store this on behalf of that node, which loses it at a restart.
struct BackendLeft {
  state::NodeId node = 0;
  std::string instance;
  /// Wall clock of that node's host, in milliseconds since the start of 1970.
  std::uint64_t left_ms = 0;

  auto operator<=>(const BackendLeft&) const = default;
};

/// Requests the last instance beside `node` that has left. The answer is a
/// BackendLeft message, with an empty instance if none is known.
struct BackendLeftPull {
  state::NodeId node = 0;

  auto operator<=>(const BackendLeftPull&) const = default;
};

/// Announces the version of the routes that is in force at `node`.
struct VersionNotice {
  state::NodeId node = 0;
  std::uint64_t version = 0;
  /// The latest era of the store that the node knows; 0 if none.
  std::uint64_t store_era = 0;
  /// A reading of the store's clock, in that era, at which the store had no
  /// later version; zero if none is known.
  state::Duration store_time{0};

  auto operator<=>(const VersionNotice&) const = default;
};

/// Requests the receiver's latest possible reading of the store's clock.
struct StoreClockPull {
  std::uint64_t token = 0;

  auto operator<=>(const StoreClockPull&) const = default;
};

/// The answer: when it was sent, the store's clock was not past `store_time`.
struct StoreClockPush {
  std::uint64_t token = 0;
  std::uint64_t store_era = 0;
  state::Duration store_time{0};

  auto operator<=>(const StoreClockPush&) const = default;
};

/// A backend server has ended under requests with `contents`; see
/// coordination::CrashSuspects.
struct CrashReport {
  /// Random number of the end. 0: a server has answered such requests since, so
  /// that they are no suspects.
  std::uint64_t id = 0;
  std::vector<coordination::RequestContent> contents;

  auto operator<=>(const CrashReport&) const = default;
};

/// All suspicions of a node, sent to a node that starts.
struct CrashSuspicions {
  std::vector<coordination::CrashSuspicion> suspicions;

  auto operator<=>(const CrashSuspicions&) const = default;
};

/// Messages of the quotas of tenants, which are part of the coordination layer.
using coordination::QuotaGrant;
using coordination::QuotaReport;

/// Any message that is sent in a TCP frame.
using PeerMessage = std::variant<CallRequest,
                                 CallAnswer,
                                 AnswerChunk,
                                 Cancel,
                                 Hello,
                                 Ping,
                                 Pong,
                                 LeaveNotice,
                                 ConfigurationPull,
                                 ConfigurationPush,
                                 NodeRecordsPull,
                                 NodeRecordsPush,
                                 BackendLeft,
                                 BackendLeftPull,
                                 VersionNotice,
                                 CrashReport,
                                 CrashSuspicions,
                                 StoreClockPull,
                                 StoreClockPush,
                                 QuotaReport,
                                 QuotaGrant>;

/// Messages in datagrams are defined by the gossip protocol, which is part of
/// the coordination layer.
using coordination::GossipKind;
using coordination::GossipMessage;
using coordination::ZoneRecord;

}  // namespace sesamespread::protocol

#endif  // SESAMESPREAD_PROTOCOL_MESSAGES_H_
