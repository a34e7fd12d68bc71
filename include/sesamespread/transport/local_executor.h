/// \file
/// Executes calls at the backend server beside this node: admission, at most
/// one execution per idempotency key, deadlines, cancellation, and the ledger
/// with the retry allotments for the backend server's sub-calls.
#ifndef SESAMESPREAD_TRANSPORT_LOCAL_EXECUTOR_H_
#define SESAMESPREAD_TRANSPORT_LOCAL_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/admission.h"
#include "sesamespread/coordination/idempotency.h"
#include "sesamespread/coordination/retry_budget.h"
#include "sesamespread/state/configuration.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/http_client.h"
#include "sesamespread/transport/metrics.h"

namespace sesamespread::transport {

/// A backend server as it announced itself, within the bounds of the inventory.
struct BackendInfo {
  std::string service;
  state::Endpoint endpoint;
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  state::Duration cold_start{0};
  /// Identifies the instance, so that a new one at the same address can be
  /// distinguished from one that leaves; empty if not announced.
  std::string instance;

  auto operator<=>(const BackendInfo&) const = default;
};

/// The executor of one node. All methods run on the data thread.
class LocalExecutor : public CallExecutor {
 public:
  /// Returns the admission thresholds of the services that this backend server
  /// calls.
  using DownstreamThresholds =
      std::function<std::vector<protocol::ServiceThreshold>()>;

  LocalExecutor(boost::asio::io_context& context,
                DeadlineQueue& deadlines,
                state::NodeIncarnation self,
                coordination::AdmissionPolicy policy,
                Metrics& metrics,
                DownstreamThresholds downstream_thresholds);
  ~LocalExecutor() override;

  LocalExecutor(const LocalExecutor&) = delete;
  LocalExecutor& operator=(const LocalExecutor&) = delete;

  /// Replaces the backend server; nullopt if there is none any more. Calls that
  /// wait for the previous one are refused as not run. The same instance with
  /// another number of slots keeps its calls.
  void SetBackend(std::optional<BackendInfo> backend);
  const std::optional<BackendInfo>& backend() const { return backend_; }

  void SetConfiguration(
      std::shared_ptr<const state::Configuration> configuration);

  /// While leaving, new calls are refused with kLeaving.
  void SetLeaving(bool leaving);
  bool leaving() const { return leaving_; }

  Handle Execute(protocol::CallRequest request,
                 state::Instant deadline,
                 AnswerCallback done) override;
  void Cancel(Handle handle) override;

  /// Answers all calls at once with kLeaving: as `not_run` if they are queued,
  /// as `unknown` if they are at the backend server or attached to such a call.
  void FailAllInFlight();

  /// The ledger of the requests in progress, by the ticket that was sent to the
  /// backend server.
  coordination::AllotmentLedger& ledger() { return ledger_; }

  /// A sub-call of the request with \p ticket starts or ends. The time spent
  /// waiting for sub-calls is deducted from the backend server's own latency.
  void OnSubCallStarted(coordination::Ticket ticket);
  void OnSubCallEnded(coordination::Ticket ticket);

  /// Calls that are queued, in progress or attached.
  std::size_t in_flight() const { return executions_.size(); }
  coordination::ServerLoad load() const;
  state::BackendState backend_state() const;

 private:
  enum class Phase : std::uint8_t {
    /// Waits for a slot in the admission queue.
    kQueued,
    /// At the backend server.
    kRunning,
    /// Waits for the answer of another call with the same idempotency key.
    kAttached,
  };

  struct Execution {
    protocol::CallRequest request;
    state::Instant deadline;
    AnswerCallback done;
    Phase phase = Phase::kQueued;
    // Set if the call has an idempotency key; unless attached, its answer is
    // recorded for repeats.
    std::optional<coordination::KeyBinding> key;
    HttpClient::Handle http = 0;
    state::Instant started;
    // Sub-calls in flight, the time at which their number last rose above zero,
    // and the total time before that with at least one.
    std::uint32_t sub_calls = 0;
    bool made_sub_calls = false;
    state::Instant sub_calls_since;
    state::Duration sub_call_wait{0};
    // For kAttached only: the timer for the deadline of this call.
    DeadlineQueue::Id deadline_timer_id = 0;
  };
  using Ticket = coordination::Ticket;

  Ticket NewTicket();
  void ApplyClientBounds();
  // These return false if the call is answered without its own execution.
  bool CheckRequest(Ticket ticket, Execution& execution);
  bool RegisterKey(Ticket ticket, Execution& execution);
  bool CheckBackend(Ticket ticket, const Execution& execution);
  void RequestAdmission(Ticket ticket, Execution& execution);
  void Start(Ticket ticket);
  HttpRequest MakeHttpRequest(Ticket ticket, const Execution& execution) const;
  void OnOutcome(Ticket ticket, HttpOutcome outcome);
  void Apply(const coordination::AdmissionActions& actions);
  void PostRefusal(Ticket ticket,
                   state::ResultCode code,
                   state::Duration retry_after);
  void PostFailure(Ticket ticket,
                   state::ResultCode code,
                   state::RunState run_state,
                   std::string detail);
  void Finish(Ticket ticket, protocol::CallAnswer answer);
  void RecordKeyResult(Execution& execution,
                       const protocol::CallAnswer& answer);
  void AnswerAttached(const std::vector<Ticket>& waiters,
                      const protocol::CallAnswer& answer);
  void AddLoad(protocol::CallAnswer& answer);
  void ScheduleTick();
  void Tick();

  boost::asio::io_context& context_;
  DeadlineQueue& deadlines_;
  const state::NodeIncarnation self_;
  const coordination::AdmissionPolicy policy_;
  Metrics& metrics_;
  DownstreamThresholds downstream_thresholds_;
  std::mt19937_64 random_;
  const std::uint64_t ticket_secret_;
  std::uint64_t next_ticket_ = 1;

  std::optional<BackendInfo> backend_;
  state::Instant backend_since_;
  bool leaving_ = false;
  std::shared_ptr<const state::Configuration> configuration_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<coordination::AdmissionController> admission_;
  coordination::ExecutionTable keys_;
  coordination::AllotmentLedger ledger_;
  std::unordered_map<Ticket, Execution> executions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_LOCAL_EXECUTOR_H_
