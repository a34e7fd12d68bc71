/// \file
/// Load runs of the benchmarks, their time series and the printed figures.
#ifndef SESAMESPREAD_BENCH_MEASURE_H_
#define SESAMESPREAD_BENCH_MEASURE_H_

#include <cpprest/json.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "deployments.h"
#include "harness/cluster.h"
#include "harness/process.h"

namespace sesamespread::bench {

/// Length of one interval of the time series.
constexpr double kIntervalSeconds = 0.1;

/// Result of one run of the verb `load`. Times are seconds since the first
/// arrival was due.
class LoadResult {
 public:
  /// \p json is the standard output of the verb, \p csv_path the path of its
  /// time series.
  LoadResult(const std::string& json, const std::string& csv_path);

  /// Sum of column \p name over [from, to); 0 if there is no such column.
  double SumColumn(const std::string& name, double from, double to) const;

  /// Requests of \p kind that were due in [from, to) and were answered in time,
  /// per second. An empty kind stands for all.
  double GoodputPerSecond(double from,
                          double to,
                          const std::string& kind = "") const;

  /// Share of the offered requests of \p kind that were answered in time; 1 if
  /// none were offered.
  double InTimeShare(double from,
                     double to,
                     const std::string& kind = "") const;

  /// Seconds from \p end to the first window of one second in which at least
  /// 0.95 of all requests, and of the kind \p important, were answered in time;
  /// nullopt if there is none.
  std::optional<double> RecoverySeconds(double end,
                                        const std::string& important) const;

  /// Latency \p name (such as "p99") of the first kind, in milliseconds.
  double LatencyMs(const std::string& name) const;

  /// Requests of \p kind that were answered in time, over the whole run.
  double InTimeCount(const std::string& kind) const;

  const web::json::value& json() const { return json_; }
  const std::string& csv_path() const { return csv_path_; }
  /// Duration of the run.
  double seconds() const;

 private:
  web::json::value json_;
  std::string csv_path_;
  std::map<std::string, std::vector<double>> columns_;
};

/// A running process of the verb `load`.
class LoadRun {
 public:
  /// Sends the load of \p scenario (YAML) to \p targets, a list of
  /// "<IP>:<port>". \p name is the stem of the files that are written; \p more
  /// are additional options of the verb.
  LoadRun(const Cluster& cluster,
          const std::string& name,
          const std::string& scenario,
          const std::string& targets,
          std::vector<std::string> more = {});

  /// Sleeps until \p seconds after the first arrival is due.
  void SleepUntil(double seconds) const;

  /// Waits until the run ends.
  /// \throws std::runtime_error if the verb printed no report.
  LoadResult Finish();

 private:
  std::string csv_path_;
  std::chrono::steady_clock::time_point begin_;
  std::unique_ptr<Process> process_;
};

/// A phase of constant offered load, in requests per second.
struct Phase {
  double at_s = 0;
  double rate = 0;
};

/// Scenario (YAML) with the orders and the browse requests of \p deployment,
/// from callers that repeat a request after a short timeout.
std::string ImpatientCallersScenario(const Deployment& deployment,
                                     const std::vector<Phase>& phases,
                                     double duration_s);

/// Seed of all load runs.
constexpr unsigned kSeed = 1;

/// Comparison of a value with its target.
enum class Bound { kAtMost, kAtLeast, kExactly, kNone };

/// Prints and stores the lines of the figures:
/// "bench <name> <value> <unit> <target> <ok|short>", where `short` stands for
/// a missed target.
class Output {
 public:
  void PrintFigure(const std::string& name,
                   double value,
                   const std::string& unit,
                   Bound bound = Bound::kNone,
                   double target = 0);

  /// Prints a figure that misses its target because the state that ends its
  /// measurement was never reached.
  void PrintUnreached(const std::string& name,
                      const std::string& unit,
                      double target);

  /// Prints a comment line about a figure.
  void PrintNote(const std::string& text);

  const std::vector<std::string>& lines() const { return lines_; }
  int missed_targets() const { return missed_targets_; }

 private:
  void PrintLine(const std::string& line);

  std::vector<std::string> lines_;
  int missed_targets_ = 0;
};

/// Load average of the machine over one minute; -1 if it is not available.
double LoadAverage();

double Median(std::vector<double> values);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_MEASURE_H_
