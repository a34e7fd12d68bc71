/// \file
/// The way of one request through the logs of many nodes, and why it failed.
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
  /// As written; sorts by time.
  std::string time;
  std::string node;
  std::string event;
  /// All fields of the line, time, node and event included.
  std::map<std::string, std::string> fields;

  /// The value of \p name, or "".
  std::string Field(const std::string& name) const;

  auto operator<=>(const LogLine&) const = default;
};

/// Parses "time=... key=value key="quoted value" ...". What precedes "time=",
/// as a collector adds it, is passed over. \returns nullopt for anything else
/// and for a line that is cut off.
std::optional<LogLine> ParseLogLine(std::string_view text);

/// Collects the lines of a request and of the calls made for it.
class RequestTrace {
 public:
  explicit RequestTrace(std::string request_id)
      : request_id_(std::move(request_id)) {}

  /// Takes \p text if it belongs to the request.
  void Add(std::string_view text);

  /// Lines that could not be read as a node's.
  std::size_t unreadable() const { return unreadable_; }

  /// The lines of the request and its calls, in order of time.
  std::vector<LogLine> Lines() const;

  /// A sentence that names why the request failed; "" without any line.
  std::string Cause() const;

 private:
  bool BelongsToRequest(const std::string& id) const;

  const std::string request_id_;
  std::vector<LogLine> lines_;
  std::size_t unreadable_ = 0;
};

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_REQUEST_TRACE_H_
