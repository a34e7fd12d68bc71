/// \file
/// Results of a load run, and their output as a table, JSON or CSV.
#ifndef SESAMESPREAD_TRANSPORT_LOAD_REPORT_H_
#define SESAMESPREAD_TRANSPORT_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Length of one interval of the time series.
constexpr state::Duration kLoadInterval = std::chrono::milliseconds(100);

/// Outcome of a caller's request over all its attempts.
enum class LoadOutcome : std::uint8_t {
  /// The answer was complete, correct and in time.
  kInTime = 0,
  /// The answer had a status other than 2xx.
  kRefused = 1,
  kTimedOut = 2,
  kConnectFailed = 3,
  /// The connection ended before the answer was complete.
  kTruncated = 4,
  /// The answer belongs to another request or differs from what the server
  /// sent.
  kWrong = 5,
};
constexpr std::size_t kLoadOutcomeCount = 6;

/// Added to the HTTP status of an answer without a result code, so that it
/// differs from the result codes.
constexpr int kPlainStatusBase = 1000;

/// Counts of one kind of request.
struct LoadCounts {
  std::uint64_t offered = 0;
  std::uint64_t outcomes[kLoadOutcomeCount] = {};
  /// Refusals by result code, or by kPlainStatusBase and the HTTP status for
  /// answers without one.
  std::map<int, std::uint64_t> refused;
  std::uint64_t repeats = 0;
  /// Requests sent without an issued key because none was available.
  std::uint64_t keys_missing = 0;

  std::uint64_t in_time() const { return outcomes[0]; }
};

/// Latencies in microseconds, measured from the intended send time.
using Latencies = std::vector<std::uint32_t>;

/// Returns the latency in milliseconds at quantile \p q (0 to 1), or 0 if
/// \p latencies is empty.
double QuantileMs(const Latencies& latencies, double q);

struct LoadKindReport {
  std::string name;
  LoadCounts counts;
  /// Latencies of requests that were answered in time.
  Latencies answered;
  /// Latencies of requests that were refused.
  Latencies refused;
};

/// Requests whose intended send time lies in one interval. The vectors
/// `offered` and `in_time` have one element per kind of request.
struct LoadIntervalReport {
  std::vector<std::uint32_t> offered;
  std::vector<std::uint32_t> in_time;
  std::map<int, std::uint32_t> refused;
  std::uint32_t repeats = 0;
  std::uint32_t wrong = 0;
  std::uint32_t truncated = 0;
  Latencies answered;
};

/// A disturbance and the servers that accepted it.
struct LoadDisturbanceReport {
  std::string name;
  /// Time since the start of the schedule.
  state::Duration at{0};
  /// True if a disturbance ends here, so that recovery is measured from `at`.
  bool ends = false;
  /// Servers that accepted it, and servers that it was sent to.
  std::uint32_t accepted = 0;
  std::uint32_t sent = 0;
};

struct LoadReport {
  std::vector<LoadKindReport> kinds;
  std::vector<LoadIntervalReport> intervals;
  std::vector<LoadDisturbanceReport> disturbance_reports;
  state::Duration duration{0};
  /// Delay between the intended and the actual send time. If it is large, the
  /// generator was short of CPU time and the results are not reliable.
  Latencies send_delay;

  LoadCounts Total() const;
};

/// Returns the share of the requests in [from, to) that were answered in time,
/// or 1 if there were none.
double GoodputShare(const LoadReport& report,
                    state::Duration from,
                    state::Duration to);

/// Returns the time from \p end to the start of the first second in which at
/// least 0.95 of the requests were answered in time, or nullopt if there is no
/// such second.
std::optional<state::Duration> RecoveryTime(const LoadReport& report,
                                            state::Duration end);

std::string FormatLoadTable(const LoadReport& report);
std::string FormatLoadJson(const LoadReport& report);

/// Formats one row per interval, after one line "# disturbance <seconds>
/// <name>" per disturbance.
std::string FormatLoadCsv(const LoadReport& report);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_LOAD_REPORT_H_
