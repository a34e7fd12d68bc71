/// \file
/// Evaluates and formats the results of a load run.
#include "sesamespread/transport/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <set>
#include <string_view>

#include "sesamespread/state/result_code.h"

namespace sesamespread::transport {
namespace {

constexpr std::string_view kOutcomeNames[kLoadOutcomeCount] = {
    "in_time", "refused", "timed_out", "connect_failed", "truncated", "wrong"};

// The system has recovered in the first window of this many intervals in which
// at least this share of the requests was answered in time.
constexpr double kRecoveredGoodput = 0.95;
constexpr std::size_t kRecoveredIntervals = 10;

constexpr double kQuantiles[] = {0.5, 0.9, 0.99, 0.999};

double Seconds(state::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1
                    : static_cast<double>(part) / static_cast<double>(whole);
}

std::string QuantileList(const Latencies& latencies, std::string_view format) {
  std::string text;
  for (const double q : kQuantiles)
    text += fmt::format(fmt::runtime(format), QuantileMs(latencies, q));
  return text;
}

std::string JsonOf(const LoadCounts& counts) {
  std::string text = fmt::format("\"offered\":{}", counts.offered);
  for (std::size_t i = 0; i < kLoadOutcomeCount; ++i)
    text += fmt::format(",\"{}\":{}", kOutcomeNames[i], counts.outcomes[i]);
  text += fmt::format(",\"repeats\":{},\"keys_missing\":{},\"refused_by\":{{",
                      counts.repeats, counts.keys_missing);
  std::string_view comma;
  for (const auto& [code, count] : counts.refused) {
    text += fmt::format("{}\"{}\":{}", comma, code, count);
    comma = ",";
  }
  return text + "}";
}

std::string JsonOf(std::string_view name, const Latencies& latencies) {
  return fmt::format(
      "\"{}\":{{\"p50\":{:.3f},\"p90\":{:.3f},\"p99\":{:.3f},\"p999\":{:.3f}}}",
      name, QuantileMs(latencies, 0.5), QuantileMs(latencies, 0.9),
      QuantileMs(latencies, 0.99), QuantileMs(latencies, 0.999));
}

std::string DescribeRefusal(int code) {
  // The node delivered the backend server's answer, which has an error status.
  if (state::IsAnswered(static_cast<state::ResultCode>(code)))
    return fmt::format("an error of the backend server ({})", code);
  if (code >= kPlainStatusBase)
    return fmt::format("HTTP {}", code - kPlainStatusBase);
  const auto& info = state::InfoOf(static_cast<state::ResultCode>(code));
  const bool known = static_cast<int>(info.code) == code;
  return known ? fmt::format("{} {}", code, info.name)
               : fmt::format("the unknown result code {}", code);
}

std::uint64_t SumOf(const std::vector<std::uint32_t>& values) {
  return std::accumulate(values.begin(), values.end(), std::uint64_t{0});
}

}  // namespace

double QuantileMs(const Latencies& latencies, double q) {
  if (latencies.empty())
    return 0;
  Latencies copy = latencies;
  const auto rank =
      static_cast<std::size_t>(std::ceil(q * static_cast<double>(copy.size())));
  const auto index = std::max<std::size_t>(rank, 1) - 1;
  const auto nth = copy.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(copy.begin(), nth, copy.end());
  return *nth / 1000.0;
}

LoadCounts LoadReport::Total() const {
  LoadCounts total;
  for (const LoadKindReport& kind : kinds) {
    total.offered += kind.counts.offered;
    total.repeats += kind.counts.repeats;
    total.keys_missing += kind.counts.keys_missing;
    for (std::size_t i = 0; i < kLoadOutcomeCount; ++i)
      total.outcomes[i] += kind.counts.outcomes[i];
    for (const auto& [code, count] : kind.counts.refused)
      total.refused[code] += count;
  }
  return total;
}

double GoodputShare(const LoadReport& report,
                    state::Duration from,
                    state::Duration to) {
  std::uint64_t offered = 0;
  std::uint64_t in_time = 0;
  for (std::size_t i = 0; i < report.intervals.size(); ++i) {
    const state::Duration at = kLoadInterval * i;
    if (at < from || at >= to)
      continue;
    offered += SumOf(report.intervals[i].offered);
    in_time += SumOf(report.intervals[i].in_time);
  }
  return Share(in_time, offered);
}

std::optional<state::Duration> RecoveryTime(const LoadReport& report,
                                            state::Duration end) {
  const state::Duration window = kLoadInterval * kRecoveredIntervals;
  const state::Duration first = std::max(end, state::Duration(0));
  const state::Duration last = kLoadInterval * report.intervals.size();
  for (state::Duration at = first; at + window <= last; at += kLoadInterval) {
    if (GoodputShare(report, at, at + window) >= kRecoveredGoodput)
      return at - end;
  }
  return std::nullopt;
}

std::string FormatLoadTable(const LoadReport& report) {
  std::string text = fmt::format(
      "{:<14}{:>9}{:>9}{:>8}{:>9}{:>9}{:>8}{:>7}{:>7}{:>8}{:>9}{:>9}{:>9}{:>9}"
      "\n",
      "kind", "offered", "in time", "share", "refused", "timeout", "connect",
      "cut", "wrong", "repeats", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms");
  for (const LoadKindReport& kind : report.kinds) {
    const LoadCounts& counts = kind.counts;
    text +=
        fmt::format("{:<14}{:>9}{:>9}{:>8.4f}{:>9}{:>9}{:>8}{:>7}{:>7}{:>8}",
                    kind.name, counts.offered, counts.in_time(),
                    Share(counts.in_time(), counts.offered), counts.outcomes[1],
                    counts.outcomes[2], counts.outcomes[3], counts.outcomes[4],
                    counts.outcomes[5], counts.repeats);
    text += QuantileList(kind.answered, "{:>9.2f}") + "\n";
  }
  for (const LoadKindReport& kind : report.kinds) {
    for (const auto& [code, count] : kind.counts.refused)
      text += fmt::format("{}: {} refused with {}, p99 {:.2f} ms\n", kind.name,
                          count, DescribeRefusal(code),
                          QuantileMs(kind.refused, 0.99));
    if (kind.counts.keys_missing > 0)
      text += fmt::format("{}: {} sent without an issued key\n", kind.name,
                          kind.counts.keys_missing);
  }
  for (const LoadDisturbanceReport& disturbance : report.disturbance_reports) {
    text += fmt::format("{:.1f} s: {} accepted by {} of {} servers",
                        Seconds(disturbance.at), disturbance.name,
                        disturbance.accepted, disturbance.sent);
    const auto recovery = RecoveryTime(report, disturbance.at);
    if (disturbance.ends)
      text += recovery ? fmt::format(", recovery {:.1f} s", Seconds(*recovery))
                       : std::string(", no recovery");
    text += "\n";
  }
  return text + fmt::format("send delay p99 {:.2f} ms\n",
                            QuantileMs(report.send_delay, 0.99));
}

std::string FormatLoadJson(const LoadReport& report) {
  std::string text =
      fmt::format("{{\"duration_s\":{:.3f},\"send_delay_p99_ms\":{:.3f},{},",
                  Seconds(report.duration), QuantileMs(report.send_delay, 0.99),
                  JsonOf(report.Total()));
  text += "\"kinds\":[";
  std::string_view comma;
  for (const LoadKindReport& kind : report.kinds) {
    text +=
        fmt::format("{}{{\"name\":\"{}\",{},{},{}}}", comma, kind.name,
                    JsonOf(kind.counts), JsonOf("latency_ms", kind.answered),
                    JsonOf("refusal_ms", kind.refused));
    comma = ",";
  }
  text += "],\"disturbances\":[";
  comma = "";
  for (const LoadDisturbanceReport& disturbance : report.disturbance_reports) {
    const auto recovery = RecoveryTime(report, disturbance.at);
    text += fmt::format(
        "{}{{\"name\":\"{}\",\"at_s\":{:.3f},\"accepted\":{},\"sent\":{},"
        "\"ends\":{},\"recovery_s\":{}}}",
        comma, disturbance.name, Seconds(disturbance.at), disturbance.accepted,
        disturbance.sent, disturbance.ends,
        disturbance.ends && recovery ? fmt::format("{:.1f}", Seconds(*recovery))
                                     : "null");
    comma = ",";
  }
  return text + "]}\n";
}

std::string FormatLoadCsv(const LoadReport& report) {
  std::set<int> codes;
  for (const LoadIntervalReport& interval : report.intervals) {
    for (const auto& [code, count] : interval.refused)
      codes.insert(code);
  }
  std::string text;
  for (const LoadDisturbanceReport& disturbance : report.disturbance_reports)
    text += fmt::format("# disturbance {:.1f} {}\n", Seconds(disturbance.at),
                        disturbance.name);
  text +=
      "t_s,offered,in_time,repeats,wrong,truncated,p50_ms,p90_ms,p99_ms,"
      "p999_ms";
  for (const LoadKindReport& kind : report.kinds)
    text += fmt::format(",offered_{0},in_time_{0}", kind.name);
  for (const int code : codes)
    text += fmt::format(",refused_{}", code);
  text += "\n";
  for (std::size_t i = 0; i < report.intervals.size(); ++i) {
    const LoadIntervalReport& interval = report.intervals[i];
    text += fmt::format("{:.1f},{},{},{},{},{}", Seconds(kLoadInterval * i),
                        SumOf(interval.offered), SumOf(interval.in_time),
                        interval.repeats, interval.wrong, interval.truncated);
    text += QuantileList(interval.answered, ",{:.3f}");
    for (std::size_t kind = 0; kind < report.kinds.size(); ++kind)
      text +=
          fmt::format(",{},{}", interval.offered[kind], interval.in_time[kind]);
    for (const int code : codes) {
      const auto found = interval.refused.find(code);
      text += fmt::format(",{}",
                          found == interval.refused.end() ? 0 : found->second);
    }
    text += "\n";
  }
  return text;
}

}  // namespace sesamespread::transport
