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

/// A call to be sent.
struct DispatchOrder {
  /// allotment, remaining and call_id are set by the dispatcher.
  protocol::CallRequest request;
  state::Instant deadline;
  /// The only executor that may run it; any server of the service if unset.
  std::optional<state::NodeIncarnation> target;
  /// Where the retries come from. Must outlive the call.
  coordination::AllotmentLedger* ledger = nullptr;
  coordination::Ticket ticket = 0;
};

/// Dispatches calls of callers and sub-calls of the local backend server. All
/// calls are made on the data thread.
class CallDispatcher {
 public:
  using Handle = std::uint64_t;
  /// Asks the control thread for the servers of a service; SetServers answers.
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

  /// The servers of \p service as known by gossip, and the number of nodes
  /// known in all.
  void SetServers(const std::string& service,
                  std::vector<state::NodeRecord> servers,
                  std::size_t nodes_known);

  /// A server said that it leaves; it gets no new call from now on.
  void OnLeaveNotice(state::NodeId node, state::Incarnation incarnation);

  /// \p done runs exactly once, never inside this call, with the final answer.
  Handle Dispatch(DispatchOrder order, AnswerCallback done);

  /// Gives up a call; its callback does not run.
  void Cancel(Handle handle);

  /// Chooses an executor for a key of \p service; nullopt if none is known.
  std::optional<state::NodeIncarnation> ChooseExecutor(
      const std::string& service);

  /// Runs \p ready once the servers of \p service are known, at once if they
  /// are, and after at most kServersTimeout.
  void WhenServersKnown(const std::string& service,
                        std::function<void()> ready);

  coordination::ThresholdTable& thresholds() { return thresholds_; }

  /// Thresholds of the services below \p service, as carried back by answers.
  std::vector<protocol::ServiceThreshold> ThresholdsBelow(
      const std::string& service);

  const coordination::Router& router() const { return router_; }
  std::size_t in_flight() const { return calls_.size(); }

 private:
  struct Call {
    DispatchOrder order;
    AnswerCallback done;
    coordination::Attempt attempt;
    std::uint32_t attempts = 0;
    // Nodes that this call has already tried.
    std::vector<state::NodeId> tried;
    bool others_available = false;
    // The attempt in progress.
    state::NodeId node = 0;
    bool local = false;
    CallExecutor::Handle handle = 0;
    state::Instant sent;
    bool sending = false;
    // Set while a retry waits.
    DeadlineQueue::Id retry_id = 0;
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
  void Measure(const Call& call, const protocol::CallAnswer& answer);
  void Settle(Call& call, const protocol::CallAnswer& answer);
  bool Retry(Handle handle, Call& call, const protocol::CallAnswer& answer);
  void FailLater(Handle handle,
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
