/// \file
/// Checks the answers that callers received against the executions in the
/// journals of the stand-in backend servers. Metrics and counters of the nodes
/// are not used, so a wrong counter cannot hide a violation.
#ifndef SESAMESPREAD_BENCH_HARNESS_CHECKER_H_
#define SESAMESPREAD_BENCH_HARNESS_CHECKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "harness/cluster.h"

namespace sesamespread::bench {

struct CallerRequest {
  std::string trace_id;
  /// Idempotency key; empty if the request has none.
  std::string key;
  std::string method = "GET";
  std::string service;
  std::string path;
  std::string body;
  bool is_order = false;
};

/// A request and its outcome. Times are microseconds since 1970.
struct Answer {
  CallerRequest request;
  /// HTTP status; 0 if no complete answer arrived.
  int status = 0;
  /// Value of the field `Sesamespread-Result`; 0 if the answer has none.
  int result = 0;
  bool not_run = false;
  std::string body;
  std::int64_t sent = 0;
  std::int64_t ended = 0;
  /// Port of the node that got the request.
  std::uint16_t entry = 0;

  /// Whether the request was refused because of load (results 200 to 202).
  bool refused_for_load() const { return result >= 200 && result <= 202; }
};

/// An execution that a backend server started, as its journal records it.
struct StartedRequest {
  /// Microseconds since 1970.
  std::int64_t time = 0;
  std::string host;
  std::string service;
  std::string trace_id;
  std::string key;
  std::string path;
};

/// Values that must match the inventory of the deployment.
struct CheckerOptions {
  /// Retries allotted to one request over the whole chain.
  int allotment = 3;
  /// Services in call order; each execution of one calls the next once.
  std::vector<std::string> chain = {"orders", "inventory", "prices"};
  /// Service whose executions CheckShedding compares refusals with.
  std::string limiting_service = "prices";
};

/// Microseconds since 1970.
std::int64_t WallMicros();

/// A random trace id of 32 hexadecimal digits.
std::string NewTraceId();

/// Sends \p request to 127.0.0.1:\p port, the caller port of a node, and
/// waits for the answer. A timeout gives an answer with status 0.
Answer Send(std::uint16_t port,
            const CallerRequest& request,
            std::chrono::milliseconds timeout = std::chrono::seconds(3));

/// Requests an idempotency key for \p service from the node at \p port.
/// \returns the key; empty if the node issues none within 1 s.
std::string IssueKey(std::uint16_t port, const std::string& service);

/// Whether \p answer belongs to its request and is neither truncated nor
/// changed.
bool IsCompleteAnswer(const Answer& answer);

/// All executions that the backend servers of \p cluster have started so far.
std::vector<StartedRequest> ReadJournals(Cluster& cluster);

// Each check returns a line for each violation.

/// Answers with status 200 that belong to another request or are truncated or
/// changed.
std::vector<std::string> CheckAnswers(const std::vector<Answer>& answers);

/// Requests that were reported as `not_run` although they ran. The answers of
/// one trace id are judged together: an execution is a violation only if all
/// of them were `not_run`.
std::vector<std::string> CheckNotRun(
    const std::vector<Answer>& answers,
    const std::vector<StartedRequest>& started);

/// Orders that were started more than once, by idempotency key and by trace
/// id, and orders for which more than one ledger entry was started.
std::vector<std::string> CheckAtMostOnce(
    const std::vector<Answer>& answers,
    const std::vector<StartedRequest>& started);

/// Requests with more retries over the whole chain than allotted.
std::vector<std::string> CheckAttempts(
    const std::vector<Answer>& answers,
    const std::vector<StartedRequest>& started,
    const CheckerOptions& options);

/// Orders refused for load although each server of the limiting service
/// started a browse request in the 100 ms before the refusal. A browse request
/// that the entry node admitted earlier does not count if the node refused
/// another one for load after it and before it refused the order: the node had
/// stopped to admit browsing first.
std::vector<std::string> CheckShedding(
    const std::vector<Answer>& answers,
    const std::vector<StartedRequest>& started,
    const CheckerOptions& options);

/// All of the above.
std::vector<std::string> CheckAll(const std::vector<Answer>& answers,
                                  const std::vector<StartedRequest>& started,
                                  const CheckerOptions& options);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_HARNESS_CHECKER_H_
