/// \file
/// A bounded ring of tasks from one thread to the io_context of another.
#ifndef SESAMESPREAD_TRANSPORT_TASK_RING_H_
#define SESAMESPREAD_TRANSPORT_TASK_RING_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "sesamespread/transport/bounded_ring.h"

namespace sesamespread::transport {

/// Tasks that may wait in one ring. Holds the tasks of one second between the
/// two busiest threads.
constexpr std::size_t kTaskRingCapacity = 8192;

/// Runs the tasks of one producer thread on the consumer's io_context, in the
/// order in which they were pushed.
class TaskRing {
 public:
  using Task = std::function<void()>;

  explicit TaskRing(boost::asio::io_context& consumer)
      : ring_(kTaskRingCapacity, [this, &consumer] {
          boost::asio::post(consumer, [this] {
            ring_.Drain([](const Task& task) { task(); });
          });
        }) {}

  /// \returns false if the ring is full; the task does not run then.
  bool Push(Task task) { return ring_.Push(std::move(task)); }

  std::uint64_t overflow_count() const { return ring_.overflow_count(); }

 private:
  BoundedRing<Task> ring_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_TASK_RING_H_
