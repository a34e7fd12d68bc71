/// \file
/// Load runs of the benchmarks, their time series and the output lines.
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

/// Length of one interval of the time series, seconds.
constexpr double kIntervalSeconds = 0.1;

/// Result of one run of the verb `load`.
class LoadResult {
 public:
  /// \p json is the standard output of the verb, \p csv_path its time series.
  LoadResult(const std::string& json, const std::string& csv_path);

  /// Sum of column \p name over [from, to) seconds.
  double Sum(const std::string& name, double from, double to) const;

  /// Requests in time per second in [from, to); \p kind may be empty.
  double Goodput(double from, double to, const std::string& kind = "") const;

  /// Share of the offered requests that ended in time; 1 if there were none.
  double Share(double from, double to, const std::string& kind = "") const;

  /// Seconds from \p end to the first second in which 0.95 of all requests,
  /// and of \p important alone, ended in time; nullopt if there is none.
  std::optional<double> Recovery(double end,
                                 const std::string& important) const;

  /// Member \p name of the latencies of the first kind, ms.
  double Latency(const std::string& name) const;

  /// Requests in time, over the whole run.
  double InTime(const std::string& kind) const;

  const web::json::value& json() const { return json_; }
  const std::string& csv_path() const { return csv_path_; }
  double seconds() const;

 private:
  web::json::value json_;
  std::string csv_path_;
  std::map<std::string, std::vector<double>> columns_;
};

/// The verb `load` while it runs.
class LoadRun {
 public:
  /// Starts \p scenario (YAML) against \p targets.
  LoadRun(const Cluster& cluster,
          const std::string& name,
          const std::string& scenario,
          const std::string& targets,
          std::vector<std::string> more = {});

  /// Sleeps until \p seconds after the first arrival was due.
  void SleepUntil(double seconds) const;

  /// Waits for the end of the run.
  /// \throws std::runtime_error if the verb printed no report.
  LoadResult Finish();

 private:
  std::string csv_path_;
  std::chrono::steady_clock::time_point begin_;
  std::unique_ptr<Process> process_;
};

/// A phase of an offered load.
struct Phase {
  double at_s = 0;
  double rate = 0;
};

/// Orders and browsing of \p deployment by impatient callers that retry.
std::string ImpatientCallers(const Deployment& deployment,
                             const std::vector<Phase>& phases,
                             double duration_s);

/// Seed of every load run.
constexpr unsigned kSeed = 1;

/// How a value is compared with its target.
enum class Bound { kAtMost, kAtLeast, kExactly, kNone };

/// Prints "bench <name> <value> <unit> <target> <ok|short>" and keeps the line.
class Output {
 public:
  void Line(const std::string& name,
            double value,
            const std::string& unit,
            Bound bound = Bound::kNone,
            double target = 0);

  /// A figure that could not be measured because the state was not reached.
  void Missing(const std::string& name, const std::string& unit, double target);

  /// A line that explains a figure.
  void Note(const std::string& text);

  const std::vector<std::string>& lines() const { return lines_; }
  int shorts() const { return shorts_; }

 private:
  void Print(const std::string& line);

  std::vector<std::string> lines_;
  int shorts_ = 0;
};

/// Load average of the machine over one minute.
double LoadAverage();

double Median(std::vector<double> values);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_MEASURE_H_
