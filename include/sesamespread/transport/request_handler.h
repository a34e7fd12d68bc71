/// \file
/// Conversion between HTTP and calls: requests of callers and sub-calls of the
/// local backend server are admitted and sent as calls, and the answers to the
/// calls are returned as HTTP responses.
#ifndef SESAMESPREAD_TRANSPORT_REQUEST_HANDLER_H_
#define SESAMESPREAD_TRANSPORT_REQUEST_HANDLER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "sesamespread/coordination/claims.h"
#include "sesamespread/coordination/retry_budget.h"
#include "sesamespread/state/configuration.h"
#include "sesamespread/state/settings.h"
#include "sesamespread/transport/call_dispatcher.h"
#include "sesamespread/transport/event_log.h"
#include "sesamespread/transport/http_server.h"
#include "sesamespread/transport/local_executor.h"
#include "sesamespread/transport/metrics.h"

namespace sesamespread::transport {

/// Most idempotency keys that one request to /-/keys issues.
constexpr std::uint32_t kMaxKeysPerCall = 100;

/// Handles the requests of the caller port and of the backend port. All methods
/// run on the data thread.
class RequestHandler {
 public:
  /// Sends a batch of claims to the platform thread, whose reply must be passed
  /// to OnClaimReply.
  using SendClaims = std::function<void(coordination::ClaimTableRequest)>;

  struct Options {
    std::size_t max_requests_in_progress = 4096;
    /// Whether requests are shed here by the thresholds of their services.
    /// False in the modes without adaptive admission.
    bool shed_at_entry = true;
  };

  RequestHandler(DeadlineQueue& deadlines,
                 const Options& options,
                 CallDispatcher& dispatcher,
                 LocalExecutor& executor,
                 Metrics& metrics,
                 EventLog& log,
                 SendClaims send_claims);
  ~RequestHandler();

  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  void SetConfiguration(
      std::shared_ptr<const state::Configuration> configuration);

  /// Handles a request on the caller port.
  void HandleCaller(std::shared_ptr<HttpExchange> exchange);

  /// Handles a sub-call on the backend port.
  void HandleSubCall(std::shared_ptr<HttpExchange> exchange);

  void OnClaimReply(const coordination::ClaimTableReply& reply);

  /// Answers all requests at once with kLeaving, as `unknown`: they may run at
  /// other nodes.
  void FailAllInFlight();

  /// Requests that have not been answered.
  std::size_t in_flight() const { return requests_.size(); }

 private:
  using RequestKey = std::uint64_t;

  // A request that has not been answered.
  struct Request {
    std::shared_ptr<HttpExchange> exchange;
    state::RequestContext context;
    protocol::CallRequest call;
    state::Instant received;
    bool from_caller = true;
    // Ticket in the entry table; for a sub-call that of its parent, 0 if it has
    // none.
    coordination::Ticket ticket = 0;
    // True if the request is a repeat by its caller. One unit of its allotment
    // was deducted for it.
    bool is_repeat = false;
    CallDispatcher::Handle dispatch_handle = 0;
  };

  Request MakeRequest(std::shared_ptr<HttpExchange> exchange,
                      std::string_view service,
                      std::string_view path) const;
  bool CheckService(const std::shared_ptr<HttpExchange>& exchange,
                    std::string_view* service,
                    std::string* path);
  void IssueKeys(const std::shared_ptr<HttpExchange>& exchange,
                 const std::string& target);
  bool AdmitAtEntry(Request& request);
  RequestKey AddRequest(Request request);
  void ResolveExecutor(RequestKey key);
  void ClaimKey(RequestKey key);
  void ResolveClaims(
      const std::vector<coordination::ClaimResolution>& resolutions);
  void SendClaimBatches();
  void Send(RequestKey key, std::optional<state::NodeIncarnation> target);
  void OnAnswer(RequestKey key, const protocol::CallAnswer& answer);
  void OnAbandoned(RequestKey key);
  void Respond(const Request& request, const protocol::CallAnswer& answer);
  void Refuse(const Request& request,
              state::ResultCode code,
              state::RunState run_state,
              std::string detail,
              state::Duration retry_after);
  void LogResult(const Request& request, const protocol::CallAnswer& answer);
  void Tick();

  DeadlineQueue& deadlines_;
  const Options options_;
  CallDispatcher& dispatcher_;
  LocalExecutor& executor_;
  Metrics& metrics_;
  EventLog& log_;
  SendClaims send_claims_;
  std::mt19937_64 random_;
  std::shared_ptr<const state::Configuration> configuration_;
  coordination::CallerRepeatTable entries_;
  coordination::ClaimCommitter claims_;
  // Time for which SendClaimBatches is scheduled; max if it is not scheduled.
  state::Instant claims_timer_at_ = state::Instant::max();
  std::unordered_map<RequestKey, Request> requests_;
  RequestKey next_key_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_REQUEST_HANDLER_H_
