/// \file
/// Metrics of a node, implemented with prometheus-cpp. Names and labels are
/// documented in docs/METRICS.md. Labels are services, result codes, HTTP
/// statuses and sources of answers only, so that the number of time series is
/// bounded.
#ifndef SESAMESPREAD_TRANSPORT_METRICS_H_
#define SESAMESPREAD_TRANSPORT_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Gauge values. They are set together before the metrics are serialized.
struct NodeGauges {
  double in_progress = 0;
  double queued = 0;
  double limit = 0;
  double server_rate_limit = 0;
  double server_requests = 0;
  double threshold = 0;
  double configuration_version = 0;
  double nodes_alive = 0;
  double nodes_known = 0;
  double isolated = 0;
  double links_open = 0;
  double unmatched_answers = 0;
  double ring_overflows = 0;
  double gossip_bytes_sent = 0;
  double servers_available = 0;
  double store_age_seconds = 0;
  double store_era = 0;
  double store_version = 0;
  double store_clock_errors = 0;
  double report_age_seconds = 0;
  double log_lines_lost = 0;
  double memory_held_bytes = 0;
  double memory_bound_bytes = 0;
  double memory_refusals = 0;
  double quota_admitted = 0;
  double quota_refused = 0;
  double quota_waited = 0;
  double quota_messages = 0;
  double quota_coordinator_changes = 0;
};

/// Where the answer to a caller's request comes from, or that it is dropped.
enum class AnswerSource : std::uint8_t {
  /// Made by this node.
  kOwn,
  /// Forwarded from a backend server, with its signature.
  kSealed,
  /// Forwarded from a backend server, without a signature.
  kUnsealed,
  /// Received from the local backend server and not forwarded, because nothing
  /// shows that it is its answer to the request.
  kDropped,
};

std::string_view ToString(AnswerSource source);

/// Counters and gauges of one node. All methods may be called on any thread.
class Metrics {
 public:
  /// Services with a time series of their own; further ones share the label
  /// "other".
  static constexpr std::size_t kMaxServices = 2048;

  Metrics();
  ~Metrics();

  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts a caller's request that ended with \p result. \p latency is
  /// recorded if the request was answered.
  void CountRequest(std::string_view service,
                    state::ResultCode result,
                    state::Duration latency);

  /// Counts an answer to a caller's request by its HTTP \p status.
  void CountAnswer(std::uint16_t status,
                   AnswerSource source,
                   state::ResultCode result);

  /// Counts a call to the local backend server that was executed or refused.
  void CountExecution(std::string_view service, state::ResultCode result);

  /// Counts a retry made by this node.
  void CountRetry(std::string_view service);

  void SetGauges(const NodeGauges& gauges);

  /// Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_METRICS_H_
