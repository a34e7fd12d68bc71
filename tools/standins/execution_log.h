/// \file
/// Log of the executions of a stand-in backend server, in which tests look for
/// duplicates.
#ifndef SESAMESPREAD_TOOLS_STANDINS_EXECUTION_LOG_H_
#define SESAMESPREAD_TOOLS_STANDINS_EXECUTION_LOG_H_

#include <cpprest/json.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

/// An execution of a request that has ended. Times are microseconds since 1970.
struct Execution {
  /// Idempotency key; empty if the request has none.
  std::string key;
  std::string trace_id;
  std::string path;
  std::int64_t started = 0;
  std::int64_t ended = 0;
  bool cancelled = false;
};

/// The last kMaxEntries executions in the order in which they ended.
class ExecutionLog {
 public:
  static constexpr std::size_t kMaxEntries = 2'000'000;

  void Add(Execution execution) {
    entries_.push_back(std::move(execution));
    if (entries_.size() <= kMaxEntries)
      return;
    entries_.pop_front();
    ++dropped_count_;
  }

  /// Number of entries that were removed because of kMaxEntries.
  std::uint64_t dropped_count() const { return dropped_count_; }

  /// One JSON object per line. The end time is in "finished" or "cancelled".
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
  std::uint64_t dropped_count_ = 0;
};

#endif  // SESAMESPREAD_TOOLS_STANDINS_EXECUTION_LOG_H_
