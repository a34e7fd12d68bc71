/// \file
/// Compares what callers were told with what the stand-in backend servers ran.
/// It reads their journals and never a counter of the product.
#ifndef SESAMESPREAD_BENCH_HARNESS_CHECKER_H_
#define SESAMESPREAD_BENCH_HARNESS_CHECKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "harness/cluster.h"

namespace sesamespread::bench {

/// A caller's request.
struct CallerRequest {
  std::string trace_id;
  /// Empty without a key.
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
  /// 0 if no whole answer arrived.
  int status = 0;
  /// `Sesamespread-Result`; 0 if the answer has none.
  int result = 0;
  bool not_run = false;
  std::string body;
  std::int64_t sent = 0;
  std::int64_t ended = 0;

  /// Whether it was refused because of load (results 200, 201 and 202).
  bool refused_for_load() const { return result >= 200 && result <= 202; }
};

/// A request that a backend server started.
struct StartedRequest {
  std::int64_t time = 0;
  std::string host;
  std::string service;
  std::string trace_id;
  std::string key;
  std::string path;
};

/// Bounds that the deployment's inventory sets.
struct CheckerOptions {
  int allotment = 3;
  /// Services in the order in which a request passes them, each called once
  /// by the one before it.
  std::vector<std::string> chain = {"orders", "inventory", "prices"};
  /// Service that a load refusal is compared at.
  std::string limiting_service = "prices";
};

std::int64_t WallMicros();

/// A random 32-digit trace id.
std::string NewTraceId();

/// Sends \p request to the caller port \p port and waits for its outcome.
Answer Send(std::uint16_t port,
            const CallerRequest& request,
            std::chrono::milliseconds timeout = std::chrono::seconds(3));

/// A key issued by the node at \p port; empty if it issues none.
std::string IssueKey(std::uint16_t port, const std::string& service);

/// Whether \p answer is the stand-in's whole answer to its own request.
bool IsCompleteAnswer(const Answer& answer);

/// Everything that the backend servers of \p cluster started so far.
std::vector<StartedRequest> ReadJournals(Cluster& cluster);

// Each check returns a line for each violation.

/// Answers that are another request's, cut short, or changed.
std::vector<std::string> CheckAnswers(const std::vector<Answer>& answers);

/// Requests that were reported as `not_run` and ran. Repeats of one trace id
/// count together: only if each was `not_run`, nothing may have run.
std::vector<std::string> CheckNotRun(
    const std::vector<Answer>& answers,
    const std::vector<StartedRequest>& started);

/// Orders that were started more than once, by key or, without a key, by trace
/// id, and ledger entries that were written twice for one of them.
std::vector<std::string> CheckAtMostOnce(
    const std::vector<Answer>& answers,
    const std::vector<StartedRequest>& started);

/// Requests with more retries over the whole chain than the allotment.
std::vector<std::string> CheckAttempts(
    const std::vector<Answer>& answers,
    const std::vector<StartedRequest>& started,
    const CheckerOptions& options);

/// Orders refused for load although each server of the limiting service
/// started a browse request in the 100 ms before the refusal.
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
