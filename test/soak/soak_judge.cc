/// \file
/// Implementation of the checks of a soak.
#include "soak_judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace sesamespread::test {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kUnavailable = 503;

/// Time after the caller's deadline from which the platform counts an answer as
/// late, and the number of late answers that it tolerates.
constexpr milliseconds kLateAnswerMargin{500};
constexpr std::size_t kMaxLateAnswers = 7;

/// Number of connections that undisturbed nodes may close without an answer;
/// the platform tolerates as many.
constexpr std::size_t kMaxLostConnections = 3;

/// Time that a restarted or resumed node needs to reconnect to its peers.
constexpr milliseconds kReconnectTime{500};

bool IsDisturbed(const CallerRecord& record,
                 const std::vector<Disturbance>& disturbances) {
  return std::any_of(
      disturbances.begin(), disturbances.end(), [&](const Disturbance& d) {
        return d.host == record.entry && d.from <= record.ended &&
               record.sent <= d.to + kReconnectTime;
      });
}

std::size_t CountExecutions(const BackendExecutions& executions,
                            const std::string& id) {
  const auto found = executions.count_by_request_id.find(id);
  return found == executions.count_by_request_id.end() ? 0 : found->second;
}

// \returns the violation that this record shows on its own; empty if none.
std::string ViolationOf(const CallerRecord& record,
                        const BackendExecutions& executions) {
  const std::size_t count = CountExecutions(executions, record.id);
  if (record.is_order() && count > 1)
    return fmt::format("{}: order ran {} times", record.id, count);
  if (record.status == kUnavailable && count > 0)
    return fmt::format("{}: request was refused but ran", record.id);
  if (record.status != 200)
    return "";
  const std::size_t slash = record.seal.find('/');
  const bool belongs_to_request =
      slash != std::string::npos &&
      record.seal.substr(slash + 1) == record.id &&
      record.body ==
          fmt::format("{} answers {}", record.seal.substr(0, slash), record.id);
  if (!belongs_to_request)
    return fmt::format(
        "{}: answer does not belong to the request: seal '{}', body '{}'",
        record.id, record.seal, record.body);
  if (count == 0)
    return fmt::format("{}: request was answered but no backend server ran it",
                       record.id);
  return "";
}

}  // namespace

std::vector<std::string> CheckRecords(
    const std::vector<CallerRecord>& records,
    const BackendExecutions& executions,
    const std::vector<Disturbance>& disturbances) {
  std::vector<std::string> violations;
  std::vector<std::string> late;
  std::vector<std::string> lost;
  for (const CallerRecord& record : records) {
    std::string violation = ViolationOf(record, executions);
    if (!violation.empty())
      violations.push_back(std::move(violation));
    if (IsDisturbed(record, disturbances))
      continue;
    if (record.ended - record.sent > kCallerBudget + kLateAnswerMargin)
      late.push_back(record.id);
    else if (record.status == 0)
      lost.push_back(record.id);
  }
  if (late.size() > kMaxLateAnswers)
    violations.push_back(
        fmt::format("{} requests at undisturbed nodes ended later than 2 s "
                    "after sending, the first {}",
                    late.size(), late.front()));
  if (lost.size() > kMaxLostConnections)
    violations.push_back(
        fmt::format("{} connections to undisturbed nodes ended without an "
                    "answer, the first {}",
                    lost.size(), lost.front()));
  return violations;
}

}  // namespace sesamespread::test
