/// \file
/// The interface between those that ask for a call and those that execute it,
/// the same for the local backend server and for one beside another node.
#ifndef SESAMESPREAD_TRANSPORT_CALL_EXECUTOR_H_
#define SESAMESPREAD_TRANSPORT_CALL_EXECUTOR_H_

#include <cstdint>
#include <functional>

#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Receives the whole answer; `body` holds all of it.
using AnswerCallback = std::function<void(protocol::CallAnswer)>;

/// Executes calls.
class CallExecutor {
 public:
  using Handle = std::uint64_t;

  virtual ~CallExecutor() = default;

  /// Executes \p request. \p done runs exactly once, never inside this call,
  /// and no later than shortly after \p deadline.
  virtual Handle Execute(protocol::CallRequest request,
                         state::Instant deadline,
                         AnswerCallback done) = 0;

  /// The answer is no longer wanted; the callback does not run any more.
  virtual void Cancel(Handle handle) = 0;
};

/// An answer that carries a result code in place of a backend server's answer.
protocol::CallAnswer FailedAnswer(const protocol::CallRequest& request,
                                  state::ResultCode result,
                                  state::RunState run_state,
                                  std::string detail);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_CALL_EXECUTOR_H_
