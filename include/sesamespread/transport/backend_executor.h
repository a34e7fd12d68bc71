/// \file
/// The execution of calls at the backend server beside this node: queues,
/// starts and refuses calls, and checks the answers of the backend server. No
/// request reaches the backend server in another way.
#ifndef SESAMESPREAD_TRANSPORT_BACKEND_EXECUTOR_H_
#define SESAMESPREAD_TRANSPORT_BACKEND_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/crash_suspects.h"
#include "sesamespread/coordination/overload.h"
#include "sesamespread/coordination/server_queue.h"
#include "sesamespread/state/backend_report.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/field_names.h"
#include "sesamespread/transport/http_client.h"
#include "sesamespread/transport/memory_account.h"
#include "sesamespread/transport/metrics.h"
#include "sesamespread/transport/random_seed.h"

namespace sesamespread::transport {

/// Executes calls at the local backend server. All methods run on the data
/// thread.
///
/// Invariants: `not_run` is answered only for calls that have not reached the
/// backend server, or of which it reported that it has not run them; after
/// StopNewWork only calls that were queued before it are started.
class BackendExecutor : public CallExecutor {
 public:
  BackendExecutor(boost::asio::io_context& context,
                  DeadlineQueue& deadlines,
                  FieldNames fields,
                  Metrics& metrics,
                  EventLog& log,
                  MemoryAccount* memory = nullptr);
  ~BackendExecutor() override;

  BackendExecutor(const BackendExecutor&) = delete;
  BackendExecutor& operator=(const BackendExecutor&) = delete;

  /// Sets the latest report of the backend server, or nullopt if it is absent.
  /// If it is another instance than before, the queued calls are refused as not
  /// run, and new work is accepted again.
  void SetBackend(std::optional<state::BackendReport> backend);

  /// Refuses new calls, because the backend server leaves or this node stops.
  /// Queued calls may still start for \p queue_drain_time and are refused after
  /// it.
  void StopNewWork(state::Duration queue_drain_time);

  /// Accepts new calls again, once the backend server is known to be alive.
  void ResumeNewWork();

  /// Cancels the idempotent calls in progress, so that their entry nodes can
  /// retry them at another server.
  void CancelIdempotentCalls();

  Handle Execute(protocol::CallRequest request,
                 state::Instant deadline,
                 AnswerCallback done) override;
  void Cancel(Handle handle) override;

  /// The state of the backend server for the routing of other nodes.
  state::BackendState backend_state() const;
  const std::optional<state::BackendReport>& backend() const {
    return backend_;
  }

  /// When the last complete response of the backend server arrived.
  state::Instant last_answer() const { return last_answer_; }

  /// Whether the last attempt to connect to the backend server failed.
  bool is_unreachable() const { return unreachable_at_.has_value(); }

  /// The call in progress whose request has the id \p request_id; nullptr if
  /// there is none.
  const protocol::CallRequest* FindRunning(std::string_view request_id) const;

  /// A call that the running request \p parent_id made was answered; \p points
  /// are the thresholds of overloaded services that the answer reported.
  void OnCallAnswered(
      std::string_view parent_id,
      const std::vector<coordination::ReportedThreshold>& points);

  /// The share of the calls of the running request \p parent_id, from 0 to 1,
  /// that are not answered yet, by the number that complete runs of its route
  /// made; 1 if there is no such request.
  double RemainingCallShare(std::string_view parent_id) const;

  coordination::QueueLoad load() const;

  /// Requests that are suspected to end backend servers, here or elsewhere.
  coordination::CrashSuspects& crash_suspects() { return crash_suspects_; }

  /// \p observer is called with a report of each end of the backend server, and
  /// of each suspect that it has answered.
  void SetCrashObserver(
      std::function<void(const protocol::CrashReport&)> observer) {
    crash_observer_ = std::move(observer);
  }

  /// The content of \p request.
  static coordination::RequestContent ContentOf(
      const protocol::CallRequest& request);

  /// \p observer is called for each answer in which the current backend server
  /// states that it leaves.
  void SetLeaveObserver(std::function<void()> observer) {
    leave_observer_ = std::move(observer);
  }

  /// Applies the statements of the current backend server in the header of an
  /// answer to a request that was sent at \p sent, including health checks. An
  /// answer without a limit lifts the limit only if \p may_lift_limit.
  void OnServerHeaders(const std::vector<protocol::Header>& headers,
                       state::Instant sent,
                       bool may_lift_limit);

  /// Requests per second to which the backend server limits all nodes; nullopt
  /// if it states no limit.
  std::optional<double> rate_limit() const {
    return queue_.rate_limit().per_second();
  }

  /// Requests sent to backend servers since the start.
  std::uint64_t sent_requests() const { return sent_requests_; }

  /// The admission threshold: calls with a lower priority value are admitted.
  std::uint32_t threshold() const { return overload_.threshold(); }
  std::size_t in_flight() const { return calls_.size(); }

 private:
  struct Call {
    protocol::CallRequest request;
    state::Instant deadline;
    AnswerCallback done;
    bool is_running = false;
    HttpClient::Handle http = 0;
    state::Instant received_at;
    state::Instant started;
    std::string id;
    // Instance of the backend server at the start.
    state::BackendInstance instance;
    std::uint32_t calls_made = 0;
    // Set at the start.
    coordination::RequestContent content = 0;
    // The body of `request`, also while the HTTP client holds it.
    std::optional<MemoryAccount::Charge> charge;
  };

  // A call whose connection ended before the answer.
  struct BrokenCall {
    coordination::RequestContent content = 0;
    state::Instant at;
  };

  std::optional<state::ResultCode> CheckBackend(
      const protocol::CallRequest& request) const;
  coordination::QueuedCall MakeQueuedCall(Handle handle,
                                          const Call& call) const;
  HttpRequest MakeHttpRequest(const Call& call) const;
  void Start(Handle handle);
  void OnOutcome(Handle handle, HttpOutcome outcome);
  protocol::CallAnswer AnswerOf(const Call& call, HttpOutcome& outcome);
  protocol::CallAnswer AnswerOfResponse(const Call& call, HttpOutcome& outcome);
  void ApplyLoad(std::string_view text);
  void ApplyRateLimit(std::string_view text, state::Instant sent);
  void OnUnreachable();
  // Suspects run one at a time. \returns false if the call waits for another or
  // is refused.
  bool MayOfferSuspect(Handle handle, const Call& call);
  // Offers the next suspect that waits, after \p handle has ended.
  void OnSuspectEnded(Handle handle);
  // Refuses the suspects that wait.
  void RefuseWaitingSuspects(state::ResultCode code);
  // Queues or starts a call.
  void Offer(Handle handle);
  // The backend server has ended, not as announced: reports the calls that
  // broke off.
  void ReportServerEnd(std::string_view reason);
  void Apply(const coordination::QueueActions& actions);
  void PostRefusal(Handle handle, state::ResultCode code);
  void Finish(Handle handle, protocol::CallAnswer answer);
  void AddLoad(const Call& call, protocol::CallAnswer& answer);
  void LogCall(LogLevel level,
               std::string_view event,
               const Call& call,
               const protocol::CallAnswer& answer);
  void ScheduleTick();

  boost::asio::io_context& context_;
  DeadlineQueue& deadlines_;
  const FieldNames fields_;
  Metrics& metrics_;
  EventLog& log_;
  MemoryAccount* const memory_;
  std::optional<state::BackendReport> backend_;
  // Set while new work is refused; queued calls may start until
  // queue_drain_end_.
  std::optional<state::Instant> new_work_stopped_at_;
  state::Instant queue_drain_end_;
  // Time of the last failed connection attempt; reset once one succeeds.
  std::optional<state::Instant> unreachable_at_;
  state::Instant last_answer_;
  std::unique_ptr<HttpClient> http_;
  coordination::ServerQueue queue_;
  coordination::CrashSuspects crash_suspects_;
  std::function<void(const protocol::CrashReport&)> crash_observer_;
  std::mt19937_64 random_{RandomSeed()};
  // The latest calls of the current instance that broke off, in order.
  std::deque<BrokenCall> broken_calls_;
  // The suspect that is queued or runs, and those that wait for its end.
  std::optional<Handle> current_suspect_;
  std::deque<Handle> waiting_suspects_;
  std::function<void()> leave_observer_;
  std::uint64_t sent_requests_ = 0;
  coordination::OverloadThreshold overload_;
  // Overload of downstream services, as reported in the answers to the calls
  // that the requests of each route make.
  coordination::RouteThresholds downstream_pressure_;
  // Average number of calls that a successful run makes, by route.
  std::unordered_map<std::string, double> calls_of_runs_;
  std::unordered_map<Handle, Call> calls_;
  // Calls in progress by the id of their request.
  std::unordered_map<std::string, Handle> running_;
  Handle next_handle_ = 1;
  bool tick_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_BACKEND_EXECUTOR_H_
