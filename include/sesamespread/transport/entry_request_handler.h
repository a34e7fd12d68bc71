/// \file
/// Requests that enter the mesh at this node: matches them to routes, chooses
/// backend servers, retries within the budget and answers.
#ifndef SESAMESPREAD_TRANSPORT_ENTRY_REQUEST_HANDLER_H_
#define SESAMESPREAD_TRANSPORT_ENTRY_REQUEST_HANDLER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/answer_times.h"
#include "sesamespread/coordination/overload.h"
#include "sesamespread/coordination/route_table.h"
#include "sesamespread/coordination/routing.h"
#include "sesamespread/coordination/shared_retry_budget.h"
#include "sesamespread/coordination/split_rotation.h"
#include "sesamespread/coordination/wait_table.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/transport/backend_executor.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/field_names.h"
#include "sesamespread/transport/http_server.h"
#include "sesamespread/transport/metrics.h"
#include "sesamespread/transport/outbound_calls.h"

namespace sesamespread::transport {

/// Where a node can be called.
using EndpointOf = std::function<state::Endpoint(state::NodeId)>;

/// Serves the requests of callers and of the local backend server. All calls
/// are made on the data thread.
///
/// Invariants: a request that isn't idempotent is sent to another server only
/// if the one before is certain not to have run it; a status that promises "not
/// run" is given only if no server has run it; each request is answered once;
/// no more servers are asked than the route allows, also side by side, though
/// one that has refused a request may be asked again.
class EntryRequestHandler {
 public:
  struct Options {
    state::NodeId self = 0;
    std::uint64_t seed = 0;
    FieldNames fields;
    /// Name of the service beside this node, sent as the caller.
    std::string caller;
    coordination::SharedRetryBudgetOptions retries;
  };

  EntryRequestHandler(DeadlineQueue& deadlines,
                      Options options,
                      coordination::Router& router,
                      BackendExecutor& backend_executor,
                      OutboundCalls& outbound,
                      EndpointOf endpoint_of,
                      Metrics& metrics,
                      EventLog& log);
  ~EntryRequestHandler();

  EntryRequestHandler(const EntryRequestHandler&) = delete;
  EntryRequestHandler& operator=(const EntryRequestHandler&) = delete;

  void SetRoutes(std::shared_ptr<const coordination::RouteTable> routes) {
    routes_ = std::move(routes);
  }
  /// \p observer is told which version of the routes another node has.
  void SetVersionObserver(
      std::function<void(state::NodeId, std::uint64_t version)> observer) {
    version_observer_ = std::move(observer);
  }
  /// Refuses callers' new requests from now on; calls of requests that run at
  /// the local backend server are still served.
  void RefuseCallers() { refuses_callers_ = true; }
  void SetRetryRatio(double ratio) { budget_.set_ratio(ratio); }
  void SetCaller(std::string caller) { options_.caller = std::move(caller); }

  void Handle(std::shared_ptr<HttpExchange> exchange);

  /// Requests that have not been answered.
  std::size_t in_flight() const { return requests_.size(); }

 private:
  using Key = std::uint64_t;

  // A call to one server that has not been answered.
  struct Attempt {
    // The request's placements so far.
    std::uint32_t number = 0;
    state::NodeId node = 0;
    CallExecutor::Handle handle = 0;
    state::Instant sent;
  };

  struct Request {
    std::shared_ptr<HttpExchange> exchange;
    // Keeps `route` alive when a new version comes into force.
    std::shared_ptr<const coordination::RouteTable> routes;
    const state::Route* route = nullptr;
    protocol::CallRequest call;
    std::string id;
    // Id of the request at the local backend server that made this call; empty
    // for a request of a caller.
    std::string parent_id;
    state::Instant received;
    state::Instant goal;
    // When the request must be answered.
    state::Instant deadline;
    // Servers that were asked in this pass.
    std::vector<state::NodeId> tried;
    std::uint32_t placements = 0;
    // Arrivals at servers, and those that were not refused.
    std::uint32_t arrivals = 0;
    std::uint32_t runs = 0;
    // Servers that the request has reached.
    std::vector<state::NodeId> reached;
    // Those that refused it, the one that did so longest ago first.
    std::deque<state::NodeId> refused_by;
    // True once every server was asked for a short wait only, in vain.
    bool is_last_pass = false;
    // The node that was asked last.
    state::NodeId node = 0;
    // Two only while a second server is asked because the first is silent.
    std::vector<Attempt> open;
    DeadlineQueue::Id deadline_id = 0;
    // Set while the silence of the only open attempt is timed.
    DeadlineQueue::Id silence_id = 0;
  };

  // What is answered if no server's answer is.
  struct Failure {
    state::ResultCode code;
    state::RunState run_state;
    std::string detail;
    // For the log in place of `detail` unless empty: names of services that are
    // not the callers' concern.
    std::string log_detail = {};
  };

  void Admit(std::shared_ptr<HttpExchange> exchange, const state::Route& route);
  protocol::CallRequest MakeCall(const HttpRequest& request,
                                 const state::Route& route) const;
  // Finds the request at the local backend server that made this one.
  void FindParent(Request& request) const;
  // The service whose overload refuses the request; nullopt if none does.
  std::optional<coordination::PressurePoint> FindOverload(
      const Request& request) const;
  std::vector<state::NodeId> Excluded(const Request& request,
                                      state::Instant now) const;
  void Place(Key key);
  void Send(Key key, state::NodeId node, state::Duration max_wait);
  // Asks a second server once the only open attempt is silent for too long.
  void ScheduleSecondServer(Key key);
  void OnSilence(Key key);
  state::Duration MaxWait(const Request& request, state::Instant now) const;
  void OnAnswer(Key key,
                std::uint32_t number,
                const protocol::CallAnswer& answer);
  // The answer of the last open attempt, or a success of any.
  void Conclude(Key key, const protocol::CallAnswer& answer);
  void Measure(const Request& request,
               const Attempt& attempt,
               const protocol::CallAnswer& answer);
  bool MayRepeat(const Request& request, const protocol::CallAnswer& answer);
  // What is certain of the servers that the request has reached.
  static state::RunState RunStateOf(const Request& request);
  // Whether the route allows one more server, beside \p open ones.
  static bool MayAskAnother(const Request& request, std::size_t open);
  // Whether a server that has refused the request may be asked again.
  static bool MayAskRefusing(const Request& request);
  // The server to ask next, if there is one.
  std::optional<state::NodeId> ChooseServer(Request& request,
                                            state::Instant now);
  bool HasTimeForRepeat(const Request& request, state::Instant now) const;
  bool TakeRepeat(const Request& request, state::Instant now);
  void OnDeadline(Key key);
  void OnAbandoned(Key key);
  void Withdraw(Request& request);
  void Fail(Key key, const Failure& failure);
  void Respond(Key key, const protocol::CallAnswer& answer);
  void RespondFailure(const std::shared_ptr<HttpExchange>& exchange,
                      const Failure& failure,
                      state::Duration retry_after);
  state::Duration RetryAfter(const Request& request);
  void Close(Key key,
             std::string_view event,
             state::ResultCode result,
             int status,
             const std::string& detail);

  DeadlineQueue& deadlines_;
  Options options_;
  coordination::Router& router_;
  BackendExecutor& backend_executor_;
  OutboundCalls& outbound_;
  EndpointOf endpoint_of_;
  Metrics& metrics_;
  EventLog& log_;
  std::function<void(state::NodeId, std::uint64_t)> version_observer_;
  std::mt19937_64 random_;
  std::shared_ptr<const coordination::RouteTable> routes_;
  coordination::SplitRotation splits_;
  coordination::SharedRetryBudget budget_;
  coordination::RoutePressure pressure_;
  coordination::WaitTable waits_;
  coordination::AnswerTimes answer_times_;
  // Average number of calls that a run of each route makes.
  std::unordered_map<std::string, double> calls_per_run_;
  bool refuses_callers_ = false;
  std::unordered_map<Key, Request> requests_;
  Key next_key_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_ENTRY_REQUEST_HANDLER_H_
