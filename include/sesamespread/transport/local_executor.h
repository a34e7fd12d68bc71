/// \file
/// Executes calls at the backend server beside this node: admission, at most
/// one execution per idempotency key, deadlines, cancellation, and the retry
/// ledger from which the backend server's sub-calls draw.
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

/// A backend server that has announced itself.
struct BackendInfo {
  std::string service;
  state::Endpoint endpoint;
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  state::Duration cold_start{0};
  /// Names one run of the backend server, so that a new one at the same address
  /// is told from one that leaves; empty if it does not say.
  std::string instance;

  auto operator<=>(const BackendInfo&) const = default;
};

/// The executor of one node. All calls are made on the data thread.
class LocalExecutor : public CallExecutor {
 public:
  /// Tells of the thresholds of the services that this backend server calls.
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

  /// Takes a new backend server, or none if it is gone. Calls that wait for the
  /// old one are refused as not run.
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

  /// Ends all calls at once with their final result: `unknown` for those at the
  /// backend server, `not_run` for those that wait.
  void FailAllInFlight();

  /// The ledger of the requests in progress, by the ticket that the backend
  /// server got.
  coordination::RequestLedger& ledger() { return ledger_; }

  /// A sub-call of the request with \p ticket starts or ends; time spent
  /// waiting for sub-calls is not the backend server's own latency.
  void OnSubCallStarted(coordination::Ticket ticket);
  void OnSubCallEnded(coordination::Ticket ticket);

  /// Calls that wait or are in progress.
  std::size_t in_flight() const { return executions_.size(); }
  coordination::ServerLoad load() const;
  state::BackendState backend_state() const;

 private:
  enum class Phase : std::uint8_t {
    /// Waits for the admission's decision.
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
    // Set if the answer is recorded for repeats.
    std::optional<coordination::KeyBinding> key;
    HttpClient::Handle http = 0;
    state::Instant started;
    // Sub-calls in flight, since when there is at least one, and the time with
    // at least one so far.
    std::uint32_t sub_calls = 0;
    bool made_sub_calls = false;
    state::Instant waiting_since;
    state::Duration waited{0};
    // For kAttached only: the deadline of the repeat.
    DeadlineQueue::Id deadline_id = 0;
  };
  using Ticket = coordination::Ticket;

  Ticket NewTicket();
  bool CheckRequest(Ticket ticket, Execution& execution);
  bool BeginKey(Ticket ticket, Execution& execution);
  bool CheckBackend(Ticket ticket, const Execution& execution);
  void Offer(Ticket ticket, Execution& execution);
  void Start(Ticket ticket);
  HttpRequest MakeHttpRequest(Ticket ticket, const Execution& execution) const;
  void OnOutcome(Ticket ticket, HttpOutcome outcome);
  void Apply(const coordination::AdmissionActions& actions);
  void Refuse(Ticket ticket,
              state::ResultCode code,
              state::Duration retry_after);
  void FinishLater(Ticket ticket,
                   state::ResultCode code,
                   state::RunState run_state,
                   std::string detail);
  void Finish(Ticket ticket, protocol::CallAnswer answer);
  void EndKey(Execution& execution, const protocol::CallAnswer& answer);
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
  coordination::RequestLedger ledger_;
  std::unordered_map<Ticket, Execution> executions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_LOCAL_EXECUTOR_H_
