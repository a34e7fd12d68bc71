/// \file
/// The interface of the classes that execute calls, and the answer to a call
/// that failed.
#ifndef SESAMESPREAD_TRANSPORT_CALL_EXECUTOR_H_
#define SESAMESPREAD_TRANSPORT_CALL_EXECUTOR_H_

#include <cstdint>
#include <functional>

#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Receives the complete answer; `body` holds all of the answer's body.
using AnswerCallback = std::function<void(protocol::CallAnswer)>;

/// Executes calls at the backend server beside this node.
class CallExecutor {
 public:
  using Handle = std::uint64_t;

  virtual ~CallExecutor() = default;

  /// Executes \p request. \p done runs exactly once unless the call is
  /// cancelled, never inside Execute, and at the latest shortly after
  /// \p deadline.
  virtual Handle Execute(protocol::CallRequest request,
                         state::Instant deadline,
                         AnswerCallback done) = 0;

  /// Cancels a call; its callback does not run. An execution that has started
  /// may continue.
  virtual void Cancel(Handle handle) = 0;
};

/// Makes an answer that carries \p result in place of a backend server's
/// answer. With kNotRun the whole allotment of \p request is reported unused.
protocol::CallAnswer FailedAnswer(const protocol::CallRequest& request,
                                  state::ResultCode result,
                                  state::RunState run_state,
                                  std::string detail);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_CALL_EXECUTOR_H_
