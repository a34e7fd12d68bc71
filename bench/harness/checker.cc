/// \file
/// Checks answers against the journals of the stand-in backend servers.
#include "harness/checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/protocol/http_fields.h"
#include "sesamespread/state/ids.h"
#include "sesamespread/transport/http_message.h"

namespace sesamespread::bench {
namespace {

constexpr std::int64_t kSheddingWindowMicros = 100'000;

using Lines = std::vector<std::string>;
using Counts = std::map<std::string, int>;

/// Executions per service, keyed by trace id.
std::map<std::string, Counts> CountByTrace(
    const std::vector<StartedRequest>& started) {
  std::map<std::string, Counts> counts;
  for (const StartedRequest& execution : started)
    ++counts[execution.trace_id][execution.service];
  return counts;
}

void Append(Lines& lines, Lines more) {
  lines.insert(lines.end(), more.begin(), more.end());
}

}  // namespace

std::int64_t WallMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string NewTraceId() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return fmt::format("{:016x}{:016x}", random() | 1, random());
}

Answer Send(std::uint16_t port,
            const CallerRequest& request,
            std::chrono::milliseconds timeout) {
  transport::HttpRequest http;
  http.method = request.method;
  http.target = "/" + request.service + request.path;
  http.body = request.body;
  http.headers = {{"traceparent",
                   fmt::format("00-{}-00000000000000a1-01", request.trace_id)}};
  if (!request.key.empty())
    http.headers.push_back({"Idempotency-Key", request.key});
  Answer answer;
  answer.request = request;
  answer.entry = port;
  answer.sent = WallMicros();
  HttpResult result = Fetch(port, http, timeout);
  answer.ended = WallMicros();
  answer.status = result.status;
  answer.result = std::atoi(
      std::string(transport::FieldOf(result.headers, protocol::kResultField))
          .c_str());
  answer.not_run =
      result.body.find(R"("run_state":"not_run")") != std::string::npos;
  answer.body = std::move(result.body);
  return answer;
}

std::string IssueKey(std::uint16_t port, const std::string& service) {
  transport::HttpRequest request;
  request.method = "POST";
  request.target = "/-/keys/" + service;
  const HttpResult result = Fetch(port, request, std::chrono::seconds(1));
  const std::size_t at = result.body.find("\"ss1-");
  if (result.status != 200 || at == std::string::npos)
    return "";
  return result.body.substr(at + 1, result.body.find('"', at + 1) - at - 1);
}

bool IsCompleteAnswer(const Answer& answer) {
  const std::size_t end = answer.body.find('\n');
  if (end == std::string::npos)
    return false;
  std::istringstream line(answer.body.substr(0, end));
  std::string service;
  std::string trace_id;
  std::string digest;
  std::size_t size = 0;
  line >> service >> trace_id >> digest >> size;
  const CallerRequest& request = answer.request;
  return service == request.service && trace_id == request.trace_id &&
         digest == state::ToHex(protocol::DigestOf(request.body)) &&
         answer.body.size() == std::max(size, end + 1);
}

std::vector<StartedRequest> ReadJournals(Cluster& cluster) {
  std::vector<StartedRequest> started;
  for (const Host& host : cluster.hosts()) {
    std::ifstream file(cluster.JournalOf(host));
    StartedRequest execution;
    while (file >> execution.time >> execution.service >> execution.trace_id >>
           execution.key >> execution.path) {
      execution.host = host.name;
      if (execution.key == "-")
        execution.key.clear();
      started.push_back(execution);
    }
  }
  return started;
}

Lines CheckAnswers(const std::vector<Answer>& answers) {
  Lines lines;
  for (const Answer& answer : answers) {
    if (answer.status == 200 && !IsCompleteAnswer(answer))
      lines.push_back(fmt::format(
          "answer of {} bytes is incomplete or not the answer to {}{} {}",
          answer.body.size(), answer.request.service, answer.request.path,
          answer.request.trace_id));
  }
  return lines;
}

Lines CheckNotRun(const std::vector<Answer>& answers,
                  const std::vector<StartedRequest>& started) {
  std::set<std::string> ran;
  for (const StartedRequest& execution : started)
    ran.insert(execution.trace_id);
  std::map<std::string, bool> all_not_run;
  for (const Answer& answer : answers) {
    auto [entry, added] =
        all_not_run.emplace(answer.request.trace_id, answer.not_run);
    entry->second = entry->second && answer.not_run;
  }
  Lines lines;
  for (const auto& [trace_id, not_run] : all_not_run) {
    if (not_run && ran.contains(trace_id))
      lines.push_back(
          fmt::format("{} was reported as not_run but ran", trace_id));
  }
  return lines;
}

Lines CheckAtMostOnce(const std::vector<Answer>& answers,
                      const std::vector<StartedRequest>& started) {
  std::set<std::string> orders;
  for (const Answer& answer : answers) {
    if (answer.request.is_order)
      orders.insert(answer.request.trace_id);
  }
  Counts by_key;
  Counts by_trace;
  Counts entries;
  for (const StartedRequest& execution : started) {
    if (!orders.contains(execution.trace_id))
      continue;
    if (execution.service == "ledger")
      ++entries[execution.trace_id];
    if (execution.service != "orders")
      continue;
    ++by_trace[execution.trace_id];
    if (!execution.key.empty())
      ++by_key[execution.key];
  }
  Lines lines;
  for (const auto& [what, counts] :
       {std::pair<const char*, const Counts&>{"order with key", by_key},
        {"order with trace id", by_trace},
        {"ledger entry of order", entries}}) {
    for (const auto& [id, count] : counts) {
      if (count > 1)
        lines.push_back(fmt::format("{} {} ran {} times", what, id, count));
    }
  }
  return lines;
}

Lines CheckAttempts(const std::vector<Answer>& answers,
                    const std::vector<StartedRequest>& started,
                    const CheckerOptions& options) {
  const std::map<std::string, Counts> counts = CountByTrace(started);
  std::set<std::string> seen;
  Lines lines;
  for (const Answer& answer : answers) {
    const std::string& trace_id = answer.request.trace_id;
    const auto found = counts.find(trace_id);
    if (found == counts.end() || !seen.insert(trace_id).second)
      continue;
    const auto count = [&found](const std::string& service) {
      const auto entry = found->second.find(service);
      return entry == found->second.end() ? 0 : entry->second;
    };
    // Each execution of the preceding service causes one execution; those
    // beyond are retries.
    int due = 1;
    int retries = 0;
    bool in_chain = false;
    for (const std::string& service : options.chain) {
      in_chain = in_chain || service == answer.request.service;
      if (!in_chain)
        continue;
      retries += std::max(0, count(service) - due);
      due = count(service);
    }
    if (answer.request.service == "orders")
      retries += std::max(0, count("ledger") - count("orders"));
    if (retries > options.allotment ||
        count(answer.request.service) > 1 + options.allotment)
      lines.push_back(fmt::format("{} had {} retries; the allotment is {}",
                                  trace_id, retries, options.allotment));
  }
  return lines;
}

Lines CheckShedding(const std::vector<Answer>& answers,
                    const std::vector<StartedRequest>& started,
                    const CheckerOptions& options) {
  std::map<std::string, const Answer*> browsing;
  std::vector<const Answer*> refused_browsing;
  for (const Answer& answer : answers) {
    if (answer.request.is_order)
      continue;
    browsing[answer.request.trace_id] = &answer;
    if (answer.refused_for_load())
      refused_browsing.push_back(&answer);
  }
  // Whether the entry node of the order refused browsing after it got \p
  // browse.
  const auto refused_since = [&](const Answer& browse, const Answer& order) {
    return std::any_of(refused_browsing.begin(), refused_browsing.end(),
                       [&](const Answer* refused) {
                         return refused->entry == order.entry &&
                                refused->sent > browse.sent &&
                                refused->ended < order.ended;
                       });
  };
  struct BrowseStart {
    std::int64_t time;
    const Answer* browse;
  };
  std::map<std::string, std::vector<BrowseStart>> browse_starts;
  std::set<std::string> servers;
  for (const StartedRequest& execution : started) {
    if (execution.service != options.limiting_service)
      continue;
    servers.insert(execution.host);
    const auto browse = browsing.find(execution.trace_id);
    if (browse != browsing.end())
      browse_starts[execution.host].push_back({execution.time, browse->second});
  }
  Lines lines;
  for (const Answer& answer : answers) {
    if (!answer.request.is_order || !answer.refused_for_load())
      continue;
    const auto browses = std::count_if(
        servers.begin(), servers.end(), [&](const std::string& server) {
          const auto& starts = browse_starts[server];
          return std::any_of(
              starts.begin(), starts.end(), [&](const BrowseStart& start) {
                return start.time <= answer.ended &&
                       start.time >= answer.ended - kSheddingWindowMicros &&
                       !refused_since(*start.browse, answer);
              });
        });
    if (!servers.empty() && static_cast<std::size_t>(browses) == servers.size())
      lines.push_back(fmt::format(
          "order {} was refused with {} while browsing was admitted",
          answer.request.trace_id, answer.result));
  }
  return lines;
}

Lines CheckAll(const std::vector<Answer>& answers,
               const std::vector<StartedRequest>& started,
               const CheckerOptions& options) {
  Lines lines = CheckAnswers(answers);
  Append(lines, CheckNotRun(answers, started));
  Append(lines, CheckAtMostOnce(answers, started));
  Append(lines, CheckAttempts(answers, started, options));
  Append(lines, CheckShedding(answers, started, options));
  return lines;
}

}  // namespace sesamespread::bench
