/// \file
/// What a stand-in for a backend server ran; tests look for duplicates in it.
#ifndef SESAMESPREAD_TOOLS_STANDINS_EXECUTION_LOG_H_
#define SESAMESPREAD_TOOLS_STANDINS_EXECUTION_LOG_H_

#include <cpprest/json.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

/// A request that was started. Times are microseconds since 1970.
struct Execution {
  std::string key;
  std::string trace_id;
  std::string path;
  std::int64_t started = 0;
  std::int64_t ended = 0;
  bool cancelled = false;
};

/// The last kMaxEntries executions in the order of their end.
class ExecutionLog {
 public:
  static constexpr std::size_t kMaxEntries = 2'000'000;

  void Add(Execution execution) {
    entries_.push_back(std::move(execution));
    if (entries_.size() <= kMaxEntries)
      return;
    entries_.pop_front();
    ++dropped_;
  }

  /// Entries that were removed to keep the bound.
  std::uint64_t dropped() const { return dropped_; }

  /// One JSON object a line; "finished" or "cancelled" holds the end.
  std::string JsonLines() const {
    std::string lines;
    for (const Execution& entry : entries_) {
      auto line = web::json::value::object();
      line["key"] = web::json::value(entry.key);
      line["trace_id"] = web::json::value(entry.trace_id);
      line["path"] = web::json::value(entry.path);
      line["started"] = web::json::value(entry.started);
      line[entry.cancelled ? "cancelled" : "finished"] =
          web::json::value(entry.ended);
      lines += line.serialize() + "\n";
    }
    return lines;
  }

 private:
  std::deque<Execution> entries_;
  std::uint64_t dropped_ = 0;
};

#endif  // SESAMESPREAD_TOOLS_STANDINS_EXECUTION_LOG_H_
