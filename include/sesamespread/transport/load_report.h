/// \file
/// Results of a load run and their output.
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

/// How a caller's request ended, over all its attempts.
enum class LoadOutcome : std::uint8_t {
  /// Whole, right and in time.
  kInTime = 0,
  /// Answered with a result code or a status other than 2xx.
  kRefused = 1,
  kTimedOut = 2,
  kConnectFailed = 3,
  /// The connection ended before the answer was whole.
  kTruncated = 4,
  /// The answer is not this request's, or is not what the server sent.
  kWrong = 5,
};
constexpr std::size_t kLoadOutcomeCount = 6;

/// Counts of one kind.
struct LoadCounts {
  std::uint64_t offered = 0;
  std::uint64_t outcomes[kLoadOutcomeCount] = {};
  /// By result code, or by HTTP status for answers without one.
  std::map<int, std::uint64_t> refused;
  std::uint64_t repeats = 0;
  /// Requests sent without an issued key because none had arrived.
  std::uint64_t keys_missing = 0;

  std::uint64_t in_time() const { return outcomes[0]; }
};

/// Latencies in microseconds from the intended send time.
using Latencies = std::vector<std::uint32_t>;

/// The value at quantile \p q (0 to 1), or 0 if there are none.
double QuantileMs(const Latencies& latencies, double q);

struct LoadKindReport {
  std::string name;
  LoadCounts counts;
  /// Of requests that ended in time.
  Latencies answered;
  /// Of requests that were refused.
  Latencies refused;
};

/// Requests whose intended send time lies in one interval.
struct LoadIntervalReport {
  std::vector<std::uint32_t> offered;
  std::vector<std::uint32_t> in_time;
  std::map<int, std::uint32_t> refused;
  std::uint32_t repeats = 0;
  std::uint32_t wrong = 0;
  std::uint32_t truncated = 0;
  Latencies answered;
};

/// A disturbance that was sent.
struct LoadMark {
  std::string name;
  state::Duration at{0};
  bool ends = false;
  /// Servers that accepted it, and all it was sent to.
  std::uint32_t accepted = 0;
  std::uint32_t sent = 0;
};

struct LoadReport {
  std::vector<LoadKindReport> kinds;
  std::vector<LoadIntervalReport> intervals;
  std::vector<LoadMark> marks;
  state::Duration duration{0};
  /// How late the generator itself sent requests; a large value means that it
  /// was short of CPU and that the run says little.
  Latencies send_delay;

  LoadCounts Total() const;
};

/// Share of requests in [from, to) that ended in time; 1 if there were none.
double GoodputShare(const LoadReport& report,
                    state::Duration from,
                    state::Duration to);

/// Time from \p end to the first second in which 0.95 of the requests ended in
/// time, or nullopt if there is none.
std::optional<state::Duration> RecoveryTime(const LoadReport& report,
                                            state::Duration end);

std::string FormatLoadTable(const LoadReport& report);
std::string FormatLoadJson(const LoadReport& report);

/// One row an interval, after "# disturbance <seconds> <name>" lines.
std::string FormatLoadCsv(const LoadReport& report);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_LOAD_REPORT_H_
