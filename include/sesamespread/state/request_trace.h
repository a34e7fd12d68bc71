/// \file
/// Traces one request and its calls through the logs of several nodes and
/// determines why it failed.
#ifndef SESAMESPREAD_STATE_REQUEST_TRACE_H_
#define SESAMESPREAD_STATE_REQUEST_TRACE_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespread::state {

/// One line of a node's log.
struct LogLine {
  /// Timestamp as written in the line; its lexicographic order is that of time.
  std::string time;
  std::string node;
  std::string event;
  /// All fields of the line, time, node and event included.
  std::map<std::string, std::string> fields;

  /// The value of the field \p name; "" if there is none.
  std::string Field(const std::string& name) const;

  auto operator<=>(const LogLine&) const = default;
};

/// Parses a line of the form "time=... key=value key="quoted value" ...". Text
/// before "time=", such as the prefix of a log collector, is skipped. \returns
/// nullopt for anything else and for a truncated line.
std::optional<LogLine> ParseLogLine(std::string_view text);

/// Collects the log lines of a request and of the calls made for it.
class RequestTrace {
 public:
  explicit RequestTrace(std::string request_id)
      : request_id_(std::move(request_id)) {}

  /// Parses the log line \p text and stores it if it belongs to the request.
  void Add(std::string_view text);

  /// Number of lines that contain the request's id but could not be parsed.
  std::size_t unreadable() const { return unreadable_; }

  /// The lines of the request and its calls, in order of time.
  std::vector<LogLine> Lines() const;

  /// Describes in one sentence why the request failed; "" if no line was
  /// stored.
  std::string Cause() const;

 private:
  bool BelongsToRequest(const std::string& id) const;

  const std::string request_id_;
  std::vector<LogLine> lines_;
  std::size_t unreadable_ = 0;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_REQUEST_TRACE_H_
