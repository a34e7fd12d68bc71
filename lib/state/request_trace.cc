/// \file
/// Parses log lines and determines the cause of a failed request.
#include "sesamespread/state/request_trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "sesamespread/state/result_code.h"

namespace sesamespread::state {
namespace {

constexpr char kRequestField[] = "request";

// Parses a value, quoted or not, at the start of \p text and removes it from
// \p text. \returns nullopt if the closing quote is missing.
std::optional<std::string> ConsumeValue(std::string_view* text) {
  std::string value;
  if (text->empty() || text->front() != '"') {
    const std::size_t end = std::min(text->find(' '), text->size());
    value = text->substr(0, end);
    text->remove_prefix(end);
    return value;
  }
  for (std::size_t i = 1; i < text->size(); ++i) {
    const char c = (*text)[i];
    if (c == '"') {
      text->remove_prefix(i + 1);
      return value;
    }
    if (c == '\\' && i + 1 < text->size())
      value += (*text)[++i];
    else
      value += c;
  }
  return std::nullopt;
}

ResultCode CodeOf(const LogLine& line) {
  const std::string text = line.Field("result");
  int number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return result.ec == std::errc() ? static_cast<ResultCode>(number)
                                  : ResultCode::kBadFrame;
}

bool IsFailure(const LogLine& line) {
  if (line.event == "request_refused" || line.event == "request_failed" ||
      line.event == "request_without_route")
    return true;
  return line.event == "request_answered" && line.Field("status") >= "500";
}

std::string Describe(const LogLine& line) {
  if (line.event == "request_without_route")
    return fmt::format("no route of version {} matches host {} and {}",
                       line.Field("version"), line.Field("host"),
                       line.Field("target"));
  if (line.event == "request_answered")
    return fmt::format(
        "the backend server of {} itself answered with status {}",
        line.Field("service"), line.Field("status"));
  const std::string title(InfoOf(CodeOf(line)).title);
  const std::string detail = line.Field("detail");
  return fmt::format(
      "{} ({}){}", title, line.Field("service"),
      detail.empty() || detail == title ? "" : fmt::format(": {}", detail));
}

std::ptrdiff_t DepthOf(const LogLine& line) {
  const std::string id = line.Field(kRequestField);
  return std::count(id.begin(), id.end(), '.');
}

// Describes the refusals of calls deeper than \p cause: a request may have
// timed out because the calls made for it were refused and sent again.
std::string DescribeRefusals(const std::vector<LogLine>& lines,
                             const LogLine& cause) {
  std::size_t count = 0;
  const LogLine* last = nullptr;
  for (const LogLine& line : lines) {
    if (line.event != "request_sent_again" || DepthOf(line) <= DepthOf(cause))
      continue;
    ++count;
    last = &line;
  }
  if (!last)
    return {};
  return fmt::format("; calls made for it were refused {} times, last: {} ({})",
                     count, InfoOf(CodeOf(*last)).title, last->Field("route"));
}

}  // namespace

std::string LogLine::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  const std::size_t start = text.find("time=");
  if (start == std::string_view::npos)
    return std::nullopt;
  text.remove_prefix(start);
  LogLine line;
  while (!text.empty()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos)
      return std::nullopt;
    const std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    auto value = ConsumeValue(&text);
    if (!value)
      return std::nullopt;
    // If a name occurs twice, the first field is that of the line itself; later
    // ones belong to the event.
    line.fields.emplace(key, std::move(*value));
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  }
  line.time = line.Field("time");
  line.node = line.Field("node");
  line.event = line.Field("event");
  if (line.node.empty() || line.event.empty())
    return std::nullopt;
  return line;
}

bool RequestTrace::BelongsToRequest(const std::string& id) const {
  return id.compare(0, request_id_.size(), request_id_) == 0 &&
         (id.size() == request_id_.size() || id[request_id_.size()] == '.');
}

void RequestTrace::Add(std::string_view text) {
  if (text.find_first_not_of(" \t\r") == std::string_view::npos)
    return;
  // Skips lines that can't belong to the request before they are parsed,
  // because most lines of a log belong to other requests.
  if (text.find(request_id_) == std::string_view::npos)
    return;
  auto line = ParseLogLine(text);
  if (!line) {
    ++unreadable_;
    return;
  }
  if (BelongsToRequest(line->Field(kRequestField)))
    lines_.push_back(std::move(*line));
}

std::vector<LogLine> RequestTrace::Lines() const {
  std::vector<LogLine> lines = lines_;
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& left, const LogLine& right) {
                     return left.time < right.time;
                   });
  return lines;
}

std::string RequestTrace::Cause() const {
  if (lines_.empty())
    return {};
  // A failure propagates from a call to the call that made it, so that the
  // cause is the earliest failure among the deepest failed calls. A call is
  // abandoned because a call upstream of it failed, so that it is reported as
  // the cause only if no other failure was logged.
  const LogLine* cause = nullptr;
  const LogLine* abandoned = nullptr;
  const std::vector<LogLine> lines = Lines();
  for (const LogLine& line : lines) {
    if (line.event == "request_abandoned" && !abandoned)
      abandoned = &line;
    if (IsFailure(line) && (!cause || DepthOf(line) > DepthOf(*cause)))
      cause = &line;
  }
  cause = cause ? cause : abandoned;
  if (!cause)
    return "no failure of the request or its calls is in these logs";
  const bool is_call = cause->Field(kRequestField) != request_id_;
  return fmt::format("{} at {} of node {}: {}{}",
                     is_call ? "a call made for it failed" : "it failed",
                     cause->time, cause->node, Describe(*cause),
                     CodeOf(*cause) == ResultCode::kTimedOut
                         ? DescribeRefusals(lines, *cause)
                         : "");
}

}  // namespace sesamespread::state
