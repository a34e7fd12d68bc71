/// \file
/// The only way to the backend server beside this node: starts, queues and
/// refuses calls, and checks what the backend server answers.
#ifndef SESAMESPREAD_TRANSPORT_BACKEND_EXECUTOR_H_
#define SESAMESPREAD_TRANSPORT_BACKEND_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/overload.h"
#include "sesamespread/coordination/server_queue.h"
#include "sesamespread/state/backend_report.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/field_names.h"
#include "sesamespread/transport/http_client.h"
#include "sesamespread/transport/metrics.h"

namespace sesamespread::transport {

/// Executes calls at the local backend server. All calls are made on the data
/// thread.
///
/// Invariants: `not_run` is answered only for calls that never reached the
/// backend server, or that it said it did not run; after StopNewWork no call
/// starts but those that were queued before.
class BackendExecutor : public CallExecutor {
 public:
  BackendExecutor(boost::asio::io_context& context,
                  DeadlineQueue& deadlines,
                  FieldNames fields,
                  Metrics& metrics,
                  EventLog& log);
  ~BackendExecutor() override;

  BackendExecutor(const BackendExecutor&) = delete;
  BackendExecutor& operator=(const BackendExecutor&) = delete;

  /// Takes a new run of the backend server, or none. Calls that wait for
  /// another run are refused as not run.
  void SetBackend(std::optional<state::BackendReport> backend);

  /// The backend server or this node leaves: new calls are refused. Queued ones
  /// may still start for \p queued_for.
  void StopNewWork(state::Duration queued_for);

  /// Takes new work again, for a backend server that was found alive.
  void ResumeNewWork();

  /// Gives up the calls in progress that another server may run instead.
  void CancelIdempotentCalls();

  Handle Execute(protocol::CallRequest request,
                 state::Instant deadline,
                 AnswerCallback done) override;
  void Cancel(Handle handle) override;

  /// What the backend server takes from other nodes at the moment.
  state::BackendState backend_state() const;
  const std::optional<state::BackendReport>& backend() const {
    return backend_;
  }

  /// When the backend server last answered anything.
  state::Instant last_answer() const { return last_answer_; }

  /// Whether the last connection to the backend server failed.
  bool is_unreachable() const { return unreachable_at_.has_value(); }

  /// The call in progress whose request has the id \p request_id; nullptr if
  /// there is none.
  const protocol::CallRequest* FindRunning(std::string_view request_id) const;

  /// A call that the running request \p parent_id made was answered with
  /// \p points.
  void OnCallAnswered(std::string_view parent_id,
                      const std::vector<coordination::PressurePoint>& points);

  coordination::QueueLoad load() const { return queue_.load(); }

  /// Calls of lower priority values are admitted.
  std::uint32_t threshold() const { return overload_.threshold(); }
  std::size_t in_flight() const { return calls_.size(); }

 private:
  struct Call {
    protocol::CallRequest request;
    state::Instant deadline;
    AnswerCallback done;
    bool is_running = false;
    HttpClient::Handle http = 0;
    state::Instant offered;
    state::Instant started;
    std::string id;
    std::uint32_t calls_made = 0;
  };

  std::optional<state::ResultCode> CheckBackend(
      const protocol::CallRequest& request) const;
  coordination::QueuedCall MakeOffer(Handle handle, const Call& call) const;
  HttpRequest MakeHttpRequest(const Call& call) const;
  void Start(Handle handle);
  void OnOutcome(Handle handle, HttpOutcome outcome);
  protocol::CallAnswer AnswerOf(const Call& call, HttpOutcome& outcome);
  protocol::CallAnswer AnswerOfResponse(const Call& call,
                                        HttpResponse& response);
  void OnUnreachable();
  void Apply(const coordination::QueueActions& actions);
  void RefuseLater(Handle handle, state::ResultCode code);
  void Finish(Handle handle, protocol::CallAnswer answer);
  void AddLoad(const Call& call, protocol::CallAnswer& answer);
  void Log(LogLevel level,
           std::string_view event,
           const Call& call,
           const protocol::CallAnswer& answer);
  void ScheduleTick();

  boost::asio::io_context& context_;
  DeadlineQueue& deadlines_;
  const FieldNames fields_;
  Metrics& metrics_;
  EventLog& log_;
  std::optional<state::BackendReport> backend_;
  // Set while no new work is taken; queued calls start until then.
  std::optional<state::Instant> closed_at_;
  state::Instant queued_until_;
  // Time of the last failed connection; reset by any that works.
  std::optional<state::Instant> unreachable_at_;
  state::Instant last_answer_;
  std::unique_ptr<HttpClient> http_;
  coordination::ServerQueue queue_;
  coordination::OverloadThreshold overload_;
  // What the calls of each route's runs met.
  coordination::RoutePressure calls_pressure_;
  std::unordered_map<Handle, Call> calls_;
  // Calls in progress by the id of their request.
  std::unordered_map<std::string, Handle> running_;
  Handle next_handle_ = 1;
  bool tick_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_BACKEND_EXECUTOR_H_
