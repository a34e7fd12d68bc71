/// \file
/// Load runs of the benchmarks, their time series and the printed figures.
#include "measure.h"

#include <fmt/format.h>
#include <stdlib.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace sesamespread::bench {
namespace {

constexpr double kRecoveredShare = 0.95;
constexpr double kRecoveredWindowSeconds = 1.0;
constexpr std::chrono::minutes kLoadTimeout{3};

// Time from the start of the verb to the first arrival, in which the process
// starts and requests idempotency keys.
constexpr std::chrono::milliseconds kLoadStartDelay{530};

std::vector<std::string> SplitFields(const std::string& line) {
  std::vector<std::string> fields;
  std::istringstream text(line);
  for (std::string part; std::getline(text, part, ',');)
    fields.push_back(part);
  return fields;
}

std::string ColumnName(const std::string& what, const std::string& kind) {
  return kind.empty() ? what : what + "_" + kind;
}

}  // namespace

LoadResult::LoadResult(const std::string& json, const std::string& csv_path)
    : json_(web::json::value::parse(json)), csv_path_(csv_path) {
  std::ifstream file(csv_path);
  std::vector<std::string> names;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("#"))
      continue;
    const std::vector<std::string> fields = SplitFields(line);
    if (names.empty()) {
      names = fields;
      continue;
    }
    for (std::size_t i = 0; i < std::min(fields.size(), names.size()); ++i)
      columns_[names[i]].push_back(std::strtod(fields[i].c_str(), nullptr));
  }
}

double LoadResult::SumColumn(const std::string& name,
                             double from,
                             double to) const {
  const auto column = columns_.find(name);
  if (column == columns_.end())
    return 0;
  const auto index = [](double seconds) {
    return static_cast<std::size_t>(
        std::max(0.0, std::round(seconds / kIntervalSeconds)));
  };
  double sum = 0;
  const std::size_t end = std::min(index(to), column->second.size());
  for (std::size_t i = index(from); i < end; ++i)
    sum += column->second[i];
  return sum;
}

double LoadResult::GoodputPerSecond(double from,
                                    double to,
                                    const std::string& kind) const {
  return SumColumn(ColumnName("in_time", kind), from, to) / (to - from);
}

double LoadResult::InTimeShare(double from,
                               double to,
                               const std::string& kind) const {
  const double offered = SumColumn(ColumnName("offered", kind), from, to);
  return offered == 0
             ? 1
             : SumColumn(ColumnName("in_time", kind), from, to) / offered;
}

std::optional<double> LoadResult::RecoverySeconds(
    double end,
    const std::string& important) const {
  for (double at = end; at + kRecoveredWindowSeconds <= seconds() + 1e-6;
       at += kIntervalSeconds) {
    if (InTimeShare(at, at + kRecoveredWindowSeconds) >= kRecoveredShare &&
        InTimeShare(at, at + kRecoveredWindowSeconds, important) >=
            kRecoveredShare)
      return at - end;
  }
  return std::nullopt;
}

double LoadResult::LatencyMs(const std::string& name) const {
  return json_.at("kinds").at(0).at("latency_ms").at(name).as_double();
}

double LoadResult::InTimeCount(const std::string& kind) const {
  return SumColumn(ColumnName("in_time", kind), 0, seconds());
}

double LoadResult::seconds() const {
  return json_.at("duration_s").as_double();
}

LoadRun::LoadRun(const Cluster& cluster,
                 const std::string& name,
                 const std::string& scenario,
                 const std::string& targets,
                 std::vector<std::string> more)
    : csv_path_(cluster.directory() + "/" + name + ".csv") {
  const std::string path = cluster.directory() + "/" + name + ".load.yaml";
  std::ofstream(path) << scenario;
  std::vector<std::string> arguments = {BinaryDir() + "/tools/sesamespread",
                                        "load",
                                        "--scenario",
                                        path,
                                        "--target",
                                        targets,
                                        "--seed",
                                        std::to_string(kSeed),
                                        "--output",
                                        "json",
                                        "--csv",
                                        csv_path_};
  arguments.insert(arguments.end(), more.begin(), more.end());
  begin_ = std::chrono::steady_clock::now() + kLoadStartDelay;
  process_ = std::make_unique<Process>(
      arguments, cluster.directory() + "/" + name + ".load.log");
}

void LoadRun::SleepUntil(double seconds) const {
  std::this_thread::sleep_until(
      begin_ + std::chrono::microseconds(std::llround(seconds * 1e6)));
}

LoadResult LoadRun::Finish() {
  const ProgramResult result = FinishProgram(*process_, kLoadTimeout);
  if (result.output.find('{') == std::string::npos) {
    throw std::runtime_error("sesamespread load printed no report: " +
                             result.output);
  }
  return {result.output, csv_path_};
}

std::string ImpatientCallersScenario(const Deployment& deployment,
                                     const std::vector<Phase>& phases,
                                     double duration_s) {
  std::string text = fmt::format(
      "duration: {:.0f}ms\nkinds:\n"
      "  - {{name: orders, method: POST, path: {}, share: 2, timeout: 2s,"
      " key: issued, body_bytes: 256, repeats: 3, patience: 800ms,"
      " after_refusal: wait}}\n"
      "  - {{name: browsing, path: {}, share: 8, timeout: 1s, repeats: 3,"
      " patience: 500ms, after_refusal: repeat}}\nphases:\n",
      duration_s * 1000, deployment.order_path, deployment.browse_path);
  for (const Phase& phase : phases) {
    text += fmt::format("  - {{at: {:.0f}ms, rate: {:.0f}}}\n",
                        phase.at_s * 1000, phase.rate);
  }
  return text;
}

void Output::PrintLine(const std::string& line) {
  fmt::print("{}\n", line);
  std::fflush(stdout);
  lines_.push_back(line);
}

void Output::PrintFigure(const std::string& name,
                         double value,
                         const std::string& unit,
                         Bound bound,
                         double target) {
  constexpr double kTolerance = 1e-9;
  bool is_ok = true;
  if (bound == Bound::kAtMost)
    is_ok = value <= target + kTolerance;
  else if (bound == Bound::kAtLeast)
    is_ok = value >= target - kTolerance;
  else if (bound == Bound::kExactly)
    is_ok = std::abs(value - target) < kTolerance;
  missed_targets_ += is_ok ? 0 : 1;
  PrintLine(
      fmt::format("bench {} {:.4g} {} {} {}", name, value, unit,
                  bound == Bound::kNone ? "-" : fmt::format("{:g}", target),
                  is_ok ? "ok" : "short"));
}

void Output::PrintUnreached(const std::string& name,
                            const std::string& unit,
                            double target) {
  ++missed_targets_;
  PrintLine(fmt::format("bench {} never {} {:g} short", name, unit, target));
}

void Output::PrintNote(const std::string& text) {
  PrintLine("# " + text);
}

double LoadAverage() {
  double average = 0;
  return getloadavg(&average, 1) == 1 ? average : -1;
}

double Median(std::vector<double> values) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  return values.size() % 2 == 1 ? values[middle]
                                : (values[middle - 1] + values[middle]) / 2;
}

}  // namespace sesamespread::bench
