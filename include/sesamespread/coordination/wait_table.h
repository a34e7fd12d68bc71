/// \file
/// Expected wait of a new call at each server, as reported with its answers.
#ifndef SESAMESPREAD_COORDINATION_WAIT_TABLE_H_
#define SESAMESPREAD_COORDINATION_WAIT_TABLE_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Avoids sending calls to servers that would refuse them: in an overload of
/// the whole service each call would otherwise be sent to all of them. Reports
/// are kept by route, since the wait depends on the route.
class WaitTable {
 public:
  /// Reports older than this are ignored. The age of a report is deducted from
  /// its wait, as if the queue drained without new arrivals; a server whose
  /// queue drains faster is avoided for at most this time.
  static constexpr state::Duration kMaxAge = std::chrono::milliseconds(150);

  /// Records the wait reported with an answer; zero removes the previous
  /// report.
  void Observe(state::NodeId node,
               const std::string& route,
               state::Duration expected_wait,
               state::Instant now);

  /// The nodes at which a call of \p route would wait for longer than
  /// \p max_wait.
  std::vector<state::NodeId> NodesAbove(const std::string& route,
                                        state::Duration max_wait,
                                        state::Instant now) const;

 private:
  struct Report {
    state::Duration wait;
    state::Instant at;
  };

  std::unordered_map<std::string, std::unordered_map<state::NodeId, Report>>
      routes_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_WAIT_TABLE_H_
