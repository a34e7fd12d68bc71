/// \file
/// How long a new call would wait at each server, as their answers say.
#ifndef SESAMESPREAD_COORDINATION_WAIT_TABLE_H_
#define SESAMESPREAD_COORDINATION_WAIT_TABLE_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Saves the way to servers that would refuse a call: in an overload of the
/// whole service each call would otherwise ask all of them. Reports are kept by
/// route, since calls of different routes wait for different times.
class WaitTable {
 public:
  /// A report counts this long. A queue drains as fast as time passes, so that
  /// a report is worth less the older it is; this bounds its error the other
  /// way.
  static constexpr state::Duration kMaxAge = std::chrono::milliseconds(150);

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
