/// \file
/// Sends a call to a backend server of its service and decides about retries.
#ifndef SESAMESPREAD_TRANSPORT_CALL_DISPATCHER_H_
#define SESAMESPREAD_TRANSPORT_CALL_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/retry_budget.h"
#include "sesamespread/coordination/routing.h"
#include "sesamespread/coordination/shedding.h"
#include "sesamespread/state/configuration.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/metrics.h"
#include "sesamespread/transport/outbound_calls.h"

namespace sesamespread::transport {

/// A call to send, with its deadline and the source of its retries.
struct DispatchRequest {
  /// The dispatcher sets `allotment`, `remaining`, `configuration_version` and
  /// `target_incarnation`; `call_id` is set where the call is sent to a peer.
  protocol::CallRequest request;
  state::Instant deadline;
  /// The only executor that may run the call; any server of the service if
  /// unset.
  std::optional<state::NodeIncarnation> target;
  /// Ledger that holds the retry allotment under `ticket`. Must outlive the
  /// call.
  coordination::AllotmentLedger* ledger = nullptr;
  coordination::Ticket ticket = 0;
};

/// Dispatches calls of callers and sub-calls of the local backend server. All
/// methods run on the data thread.
class CallDispatcher {
 public:
  using Handle = std::uint64_t;
  /// Requests the servers of a service from the control thread, which passes
  /// them, and each later change, to SetServers.
  using Subscribe = std::function<void(const std::string& service)>;

  CallDispatcher(boost::asio::io_context& context,
                 DeadlineQueue& deadlines,
                 state::NodeId self,
                 const std::string& zone,
                 CallExecutor& local,
                 OutboundCalls& outbound,
                 Metrics& metrics,
                 Subscribe subscribe);
  ~CallDispatcher();

  CallDispatcher(const CallDispatcher&) = delete;
  CallDispatcher& operator=(const CallDispatcher&) = delete;

  void SetConfiguration(
      std::shared_ptr<const state::Configuration> configuration);

  /// Sets the servers of \p service according to gossip. \p nodes_known is the
  /// number of all nodes in the gossip membership.
  void SetServers(const std::string& service,
                  std::vector<state::NodeRecord> servers,
                  std::size_t nodes_known);

  /// Handles the notice that the backend server beside \p node leaves. It
  /// receives no new calls unless \p incarnation is not the one in its record.
  void OnLeaveNotice(state::NodeId node, state::Incarnation incarnation);

  /// Sends a call and retries it if allowed. \p done runs with the final answer
  /// exactly once unless the call is cancelled, and never inside Dispatch.
  Handle Dispatch(DispatchRequest dispatch, AnswerCallback done);

  /// Cancels a call; its callback does not run.
  void Cancel(Handle handle);

  /// Chooses the executor to which an idempotency key of \p service is bound;
  /// nullopt if no server of the service is available.
  std::optional<state::NodeIncarnation> ChooseExecutor(
      const std::string& service);

  /// Runs \p ready once the servers of \p service are known, and at the latest
  /// after kServersTimeout. Runs it inside this call if they are known already
  /// or too many callbacks wait.
  void WhenServersKnown(const std::string& service,
                        std::function<void()> ready);

  coordination::ThresholdTable& thresholds() { return thresholds_; }

  /// Admission thresholds of the services downstream of \p service, as reported
  /// in answers.
  std::vector<protocol::ServiceThreshold> DownstreamThresholds(
      const std::string& service);

  const coordination::Router& router() const { return router_; }
  std::size_t in_flight() const { return calls_.size(); }

 private:
  struct Call {
    DispatchRequest dispatch;
    AnswerCallback done;
    coordination::Attempt attempt;
    std::uint32_t attempts = 0;
    // Nodes to which this call was sent before.
    std::vector<state::NodeId> tried;
    bool others_available = false;
    // The current attempt; `handle` is valid while `attempt_in_flight` is set.
    state::NodeId node = 0;
    bool local = false;
    CallExecutor::Handle handle = 0;
    state::Instant sent;
    bool attempt_in_flight = false;
    // Timer of a scheduled retry; 0 if there is none.
    DeadlineQueue::Id retry_timer_id = 0;
    // True if an earlier attempt may have run.
    bool may_have_run = false;
  };

  struct ServiceState {
    bool subscribed = false;
    bool known = false;
    std::vector<state::NodeRecord> servers;
    std::vector<std::function<void()>> waiting;
  };

  void StartAttempt(Handle handle);
  bool ChooseNode(Call& call, const state::NodeRecord** record);
  const state::NodeRecord* FindServer(const std::string& service,
                                      state::NodeId node) const;
  void Send(Handle handle, Call& call, const state::NodeRecord& record);
  void OnAnswer(Handle handle, protocol::CallAnswer answer);
  void RecordAnswer(const Call& call, const protocol::CallAnswer& answer);
  void SettleAllotment(Call& call, const protocol::CallAnswer& answer);
  bool ScheduleRetry(Handle handle,
                     Call& call,
                     const protocol::CallAnswer& answer);
  void PostFailure(Handle handle,
                   state::ResultCode code,
                   state::RunState run_state,
                   const std::string& detail);
  void Finish(Handle handle, protocol::CallAnswer answer);
  coordination::SubsetParameters ShapeOf(const std::string& service) const;

  boost::asio::io_context& context_;
  DeadlineQueue& deadlines_;
  const state::NodeId self_;
  CallExecutor& local_;
  OutboundCalls& outbound_;
  Metrics& metrics_;
  Subscribe subscribe_;
  std::mt19937_64 random_;
  std::shared_ptr<const state::Configuration> configuration_;
  coordination::Router router_;
  coordination::ThresholdTable thresholds_;
  coordination::NodeRetryBudget retry_budget_;
  std::map<std::string, ServiceState, std::less<>> services_;
  std::size_t nodes_known_ = 0;
  std::unordered_map<Handle, Call> calls_;
  Handle next_handle_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_CALL_DISPATCHER_H_
