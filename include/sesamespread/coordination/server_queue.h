/// \file
/// Calls in progress at the backend server beside this node, and those that
/// wait for a slot.
///
/// This node is the only way to the backend server, so its own count of calls
/// in progress is exact and the server's queue stays empty: a server that can't
/// queue a request may never answer on that connection again.
#ifndef SESAMESPREAD_COORDINATION_SERVER_QUEUE_H_
#define SESAMESPREAD_COORDINATION_SERVER_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/ticket.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

struct ServerQueueOptions {
  /// Limit until the backend server has reported its slots.
  std::uint32_t unknown_slots = 8;
  /// Part of the slots that may be in use. Some servers slow down when they are
  /// nearly full, and a new connection holds a slot for a moment.
  double usable_slots = 0.95;
  /// Calls that may wait; each holds its body in memory.
  std::size_t max_queued = 2048;
  /// Calls start in the order of their arrival plus this part of the time to
  /// their objective, by rank; ranks beyond the last have its value. A request
  /// with many calls one after the other meets the wait at each of them, so
  /// that the calls for the most important requests hardly wait.
  std::array<double, 3> urgency = {0.1, 1.0, 1.25};
  /// Share of one answer in the averages of service times.
  double gain = 0.1;
  /// Service time assumed before the first answer.
  state::Duration initial_service_time = std::chrono::milliseconds(30);
};

/// A call that asks for a slot.
struct QueuedCall {
  Ticket ticket = 0;
  std::string route;
  /// When the answer loses a part of its value.
  state::Instant goal;
  /// When the answer is worth nothing.
  state::Instant deadline;
  /// Longest wait that the sender accepts.
  state::Duration max_wait{0};
  /// Rank of the request, or of the one that it is a call for.
  std::uint32_t priority = 0;
};

enum class QueueOutcome : std::uint8_t { kStart, kQueued, kRefused };

struct QueueDecision {
  QueueOutcome outcome = QueueOutcome::kStart;
  /// Meaningful if refused.
  state::ResultCode code = state::ResultCode::kOk;
  /// Wait that was expected when the decision was made.
  state::Duration expected_wait{0};
};

/// A call that was not started.
struct QueueRefusal {
  Ticket ticket = 0;
  state::ResultCode code = state::ResultCode::kQueueFull;

  auto operator<=>(const QueueRefusal&) const = default;
};

/// Calls to start and to refuse now.
struct QueueActions {
  std::vector<Ticket> start;
  std::vector<QueueRefusal> refuse;
};

struct QueueLoad {
  std::uint32_t in_progress = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  /// Wait of a call that goes to the end of the queue.
  state::Duration expected_wait{0};

  auto operator<=>(const QueueLoad&) const = default;
};

/// The queue of one backend server.
///
/// Calls start in the order of their objectives and ranks, which keeps short
/// objectives when calls of different length share the server. Those that can't
/// meet their objective any more come last.
///
/// Invariants: calls wait only while the limit is reached; no call starts
/// after its deadline; each offered call is started, refused or cancelled once.
class ServerQueue {
 public:
  explicit ServerQueue(ServerQueueOptions options = {});

  /// \pre the ticket is not in use.
  QueueDecision Offer(const QueuedCall& call, state::Instant now);

  /// A call of \p route that was in progress has ended. \p answered tells
  /// whether \p service_time is that of a complete answer.
  QueueActions Finish(const std::string& route,
                      state::Duration service_time,
                      bool answered,
                      state::Instant now);

  /// Refuses calls that have waited too long. Due every few milliseconds while
  /// calls wait.
  QueueActions Tick(state::Instant now);

  /// Forgets a call. \returns true if it had waited, and so has not run; false
  /// if it is in progress, in which case Finish is still due.
  bool Cancel(Ticket ticket);

  /// Refuses all waiting calls.
  std::vector<QueueRefusal> RefuseAll(state::ResultCode code);

  /// Sets the number of requests that the backend server works on at a time; 0
  /// if unknown.
  void SetSlots(std::uint32_t slots);

  /// Requests at the backend server by its own count. Those that this node did
  /// not send, such as the ones from before its start, take slots as well.
  void OnReportedLoad(std::uint32_t requests);

  QueueLoad load() const;

  /// How long a call like \p call would wait if it was offered now.
  state::Duration ExpectedWaitOf(const QueuedCall& call,
                                 state::Instant now) const;

  /// Average time at the backend server of \p route's calls.
  state::Duration ServiceTime(std::string_view route) const;

 private:
  struct Waiting {
    QueuedCall call;
    state::Instant offered;
    state::Instant order;
  };
  using Order = std::pair<state::Instant, Ticket>;

  std::uint32_t limit() const;
  state::Instant OrderOf(const QueuedCall& call, state::Instant now) const;
  state::Duration WaitBehind(std::size_t ahead) const;
  std::size_t CountAhead(state::Instant order) const;
  void StartNext(state::Instant now, QueueActions& actions);
  void Remove(Ticket ticket);
  bool IsTooLate(const QueuedCall& call, state::Instant now) const;

  const ServerQueueOptions options_;
  std::uint32_t slots_ = 0;
  std::uint32_t in_progress_ = 0;
  // Requests at the backend server that this node did not send.
  std::uint32_t foreign_ = 0;
  std::unordered_map<Ticket, Waiting> waiting_;
  // The tickets of waiting_, first to start first.
  std::set<Order> order_;
  // Microseconds.
  double service_time_;
  std::unordered_map<std::string, double> route_times_;
};

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_SERVER_QUEUE_H_
