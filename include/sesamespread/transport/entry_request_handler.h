/// \file
/// Handles requests on the entry node: matches them to routes, chooses backend
/// servers, sends hedged requests and retries within the budget, and answers.
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
#include "sesamespread/coordination/entry_shares.h"
#include "sesamespread/coordination/overload.h"
#include "sesamespread/coordination/retry_after.h"
#include "sesamespread/coordination/route_table.h"
#include "sesamespread/coordination/routing.h"
#include "sesamespread/coordination/shared_retry_budget.h"
#include "sesamespread/coordination/traffic_splitter.h"
#include "sesamespread/coordination/wait_table.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/transport/api_key_table.h"
#include "sesamespread/transport/backend_executor.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/field_names.h"
#include "sesamespread/transport/http_server.h"
#include "sesamespread/transport/metrics.h"
#include "sesamespread/transport/outbound_calls.h"
#include "sesamespread/transport/quota_gate.h"

namespace sesamespread::transport {

/// Returns the address at which a node accepts links.
using EndpointOf = std::function<state::Endpoint(state::NodeId)>;

/// Handles the requests of callers and of the local backend server. All methods
/// run on the data thread.
///
/// Invariants: a request that is not idempotent is sent again only if it has
/// certainly not run before; a failure is answered with status 503, which
/// promises that the request has not run, only if no server has run it; each
/// request is answered once; a request reaches at most as many servers as its
/// route has `max_attempts`, concurrent attempts included, but it may be sent
/// again to a server that refused it.
class EntryRequestHandler {
 public:
  struct Options {
    state::NodeId self = 0;
    std::uint64_t seed = 0;
    FieldNames fields;
    /// Name of the service beside this node, sent in the caller field.
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

  void SetRoutes(std::shared_ptr<const coordination::RouteTable> routes);
  /// Requests of tenants with a quota are admitted by \p quotas, which must
  /// outlive this object. Without it, quotas do not apply.
  void SetQuotaGate(QuotaGate* quotas) { quotas_ = quotas; }
  /// \p are_current tells whether the API keys of the routes are known to be
  /// recent enough to be accepted. All are accepted if it is not set.
  void SetKeyCheck(std::function<bool()> are_current) {
    are_keys_current_ = std::move(are_current);
  }
  /// \p observer is called with the version of the routes that another node
  /// reports in an answer.
  void SetVersionObserver(
      std::function<void(state::NodeId, std::uint64_t version)> observer) {
    version_observer_ = std::move(observer);
  }
  /// Refuses new requests of callers from now on, since the process ends at
  /// \p end. Calls that a request running at the local backend server makes are
  /// still served if they are expected to be answered before.
  void RefuseCallers(state::Instant end) { callers_refused_until_ = end; }
  /// Refuses all new requests from now on.
  void RefuseRequests() { refuses_requests_ = true; }
  /// Answers all requests in progress with a failure, which says that a request
  /// has not run if no server can have run it.
  void FailRequests();
  void SetRetryRatio(double ratio) { budget_.set_ratio(ratio); }
  void SetCaller(std::string caller) { options_.caller = std::move(caller); }

  /// Handles a request that was received \p age ago at most.
  void Handle(std::shared_ptr<HttpExchange> exchange, state::Duration age);

  /// Requests that have not been answered.
  std::size_t in_flight() const { return requests_.size(); }

 private:
  using Key = std::uint64_t;

  // A call to one server that has not been answered.
  struct Attempt {
    // Unique within the request: the value of `placements` when it was sent.
    std::uint32_t number = 0;
    state::NodeId node = 0;
    CallExecutor::Handle handle = 0;
    state::Instant sent;
  };

  struct Request {
    std::shared_ptr<HttpExchange> exchange;
    // Owns `route`, also after a newer version of the routes is in force.
    std::shared_ptr<const coordination::RouteTable> routes;
    const state::Route* route = nullptr;
    // Part of `routes`; nullptr if the request is no tenant's.
    const state::Tenant* tenant = nullptr;
    protocol::CallRequest call;
    std::string id;
    // Id of the request at the local backend server that made this request;
    // empty for a request of a caller.
    std::string parent_id;
    state::Instant received;
    state::Instant goal;
    // When the request must be answered.
    state::Instant deadline;
    // Servers to which the request was sent in the current pass.
    std::vector<state::NodeId> tried;
    // Times that the request was sent to a server.
    std::uint32_t placements = 0;
    // Attempts that reached a backend server, and those of them that it did not
    // refuse, so that the request may have run.
    std::uint32_t arrivals = 0;
    std::uint32_t runs = 0;
    // Backend servers that the request has reached.
    std::vector<state::NodeId> reached;
    // Servers among them that refused it, oldest refusal first.
    std::deque<state::NodeId> refused_by;
    // Servers that refused the request for their rate limit.
    std::uint32_t rate_refusals = 0;
    // Set once no server is left in the first pass, which allows only a short
    // wait at each server, or enough of them are limited. The last pass allows
    // a longer one.
    bool is_last_pass = false;
    // Whether a token of the tenant's quota was spent on the request.
    bool holds_quota = false;
    // Time until the quota is likely to admit the request.
    state::Duration quota_retry_after{0};
    // The node to which the request was sent last.
    state::NodeId node = 0;
    // Two only while a hedged request is in flight.
    std::vector<Attempt> outstanding;
    DeadlineQueue::Id deadline_timer_id = 0;
    // Timer after which a hedged request is sent; 0 if there is none.
    DeadlineQueue::Id hedge_timer_id = 0;
  };

  // The answer to a request for which no answer of a server is delivered.
  struct Failure {
    state::ResultCode code;
    state::RunState run_state;
    std::string detail;
    // Replaces `detail` in the log unless empty, for names of services that
    // callers must not receive.
    std::string log_detail = {};
  };

  void Admit(std::shared_ptr<HttpExchange> exchange,
             const state::Route& route,
             state::Duration age);
  protocol::CallRequest MakeCall(const HttpRequest& request,
                                 const state::Route& route) const;
  // Sets the tenant by the API key of the request. \returns the reason to
  // refuse it, if there is one.
  std::optional<Failure> Authenticate(Request& request) const;
  // Whether the request may be a call of a run at the local backend server that
  // an earlier process of this node started.
  bool MayBelongToEarlierRun(const Request& request) const;
  // Sends the request once the quota of its tenant admits it.
  void AcquireQuota(Key key);
  void OnQuotaVerdict(Key key,
                      const std::string& tenant,
                      const QuotaVerdict& verdict);
  // Sets the tenant, its priority and the field that names it.
  void SetTenant(Request& request, const state::Tenant* tenant) const;
  // Sets the parent: the request at the local backend server that made this
  // one, if any.
  void SetParent(Request& request) const;
  // The overloaded service for which the request must be shed; nullopt if there
  // is none.
  std::optional<coordination::ReportedThreshold> FindOverload(
      const Request& request);
  // Whether a stopping node refuses the new request.
  bool IsRefusedByStop(const Request& request) const;
  // Servers already tried in this pass, and those with too long a queue.
  std::vector<state::NodeId> ExcludedServers(const Request& request,
                                             state::Instant now) const;
  // Sends the request to the next server, or fails it if there is none.
  void SendToNextServer(Key key);
  void Send(Key key, state::NodeId node, state::Duration max_wait);
  // Schedules a hedged request to a second server, for an idempotent request
  // whose outstanding attempt exceeds the usual answer time of its route.
  void ScheduleHedge(Key key);
  void OnHedgeTimer(Key key);
  state::Duration MaxWait(const Request& request, state::Instant now) const;
  void OnAnswer(Key key,
                std::uint32_t number,
                const protocol::CallAnswer& answer);
  // Handles the answer of the last outstanding attempt, or the first success.
  void RespondOrRetry(Key key, const protocol::CallAnswer& answer);
  void RecordAnswer(const Request& request,
                    const Attempt& attempt,
                    const protocol::CallAnswer& answer);
  bool MayRetry(const Request& request, const protocol::CallAnswer& answer);
  // kNotRun if every server that the request has reached refused it.
  static state::RunState RunStateOf(const Request& request);
  // Whether the route allows one more server beside \p outstanding attempts.
  static bool MayTryAnotherServer(const Request& request,
                                  std::size_t outstanding);
  // Whether the request may be sent again to a server that refused it.
  static bool MayRetryRefusingServer(const Request& request);
  static void StartLastPass(Request& request);
  // The next server; nullopt if there is none. Starts the last pass if needed.
  std::optional<state::NodeId> ChooseServer(Request& request,
                                            state::Instant now);
  // Refuses the request if it is suspected to end servers. \returns whether it
  // was refused; otherwise marks it if it is suspected.
  bool RefuseCrashSuspect(Key key, state::Instant now);
  void FailCrashSuspect(Key key);
  // The server for a request that may have ended another one.
  std::optional<state::NodeId> ChooseServerOfSuspect(const Request& request,
                                                     state::Instant now) const;
  bool HasTimeForRetry(const Request& request, state::Instant now) const;
  bool AcquireRetry(const Request& request, state::Instant now);
  void OnDeadline(Key key);
  void OnAbandoned(Key key);
  void CancelAttempts(Request& request);
  void Fail(Key key, const Failure& failure);
  // When the caller of a request that has not run may send it again.
  state::Duration RetryAfterOf(const Request& request,
                               state::ResultCode code,
                               state::Instant now);
  void Respond(Key key, const protocol::CallAnswer& answer);
  static std::uint16_t StatusOf(const Failure& failure);
  void RespondFailure(const std::shared_ptr<HttpExchange>& exchange,
                      const Failure& failure,
                      state::Duration retry_after);
  void Finish(Key key,
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
  std::shared_ptr<const ApiKeyTable> keys_;
  std::function<bool()> are_keys_current_;
  QuotaGate* quotas_ = nullptr;
  coordination::TrafficSplitter splits_;
  coordination::SharedRetryBudget budget_;
  coordination::RouteThresholds pressure_;
  coordination::EntryShares entry_shares_;
  coordination::WaitTable waits_;
  coordination::AnswerTimes answer_times_;
  coordination::RetryAfterEstimator retry_after_;
  const state::Instant started_;
  // Longest timeout of all routes that have been in force; no run takes longer.
  state::Duration longest_timeout_{0};
  // Average number of calls that a run of a request makes, by route.
  std::unordered_map<std::string, double> calls_per_run_;
  // The end of the process, from which on callers are refused; see
  // RefuseCallers.
  std::optional<state::Instant> callers_refused_until_;
  bool refuses_requests_ = false;
  std::unordered_map<Key, Request> requests_;
  Key next_key_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_ENTRY_REQUEST_HANDLER_H_
