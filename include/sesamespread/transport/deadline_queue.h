/// \file
/// A queue of callbacks with deadlines, driven by a single timer.
#ifndef SESAMESPREAD_TRANSPORT_DEADLINE_QUEUE_H_
#define SESAMESPREAD_TRANSPORT_DEADLINE_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "sesamespread/state/time.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::transport {

/// Runs callbacks at their deadlines on an io_context's thread. Not
/// thread-safe. Callbacks that have not run when the queue is destroyed never
/// run.
class DeadlineQueue {
 public:
  using Id = std::uint64_t;

  explicit DeadlineQueue(boost::asio::io_context& context);
  ~DeadlineQueue();

  DeadlineQueue(const DeadlineQueue&) = delete;
  DeadlineQueue& operator=(const DeadlineQueue&) = delete;

  /// Runs \p callback at or after \p at, never inside this call.
  Id Schedule(state::Instant at, std::function<void()> callback);

  /// Removes a callback. Has no effect if it has run or \p id is 0.
  void Cancel(Id id);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_DEADLINE_QUEUE_H_
