/// \file
/// Bounded single-producer, single-consumer ring buffer between two threads.
#ifndef SESAMESPREAD_TRANSPORT_BOUNDED_RING_H_
#define SESAMESPREAD_TRANSPORT_BOUNDED_RING_H_

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace sesamespread::transport {

/// A ring buffer with one producer thread and one consumer thread. A full ring
/// rejects and counts the item; the producer never blocks.
template <typename T>
class BoundedRing {
 public:
  /// \p wake runs on the producer's thread after a push if no earlier wake-up
  /// is pending. It must cause a call of Drain on the consumer's thread.
  BoundedRing(std::size_t capacity, std::function<void()> wake)
      : queue_(capacity), wake_(std::move(wake)) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /// \returns false if the ring is full.
  bool Push(T item) {
    if (!queue_.push(std::move(item))) {
      overflow_count_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    // One wake-up covers all items pushed before the consumer drains the ring.
    if (!wake_pending_.exchange(true))
      wake_();
    return true;
  }

  /// Removes all items and calls \p consume with each, in order. Must be called
  /// on the consumer's thread only.
  template <typename Consume>
  void Drain(Consume consume) {
    wake_pending_.store(false);
    T item;
    while (queue_.pop(item))
      consume(std::move(item));
  }

  /// Items rejected because the ring was full. Thread-safe.
  std::uint64_t overflow_count() const {
    return overflow_count_.load(std::memory_order_relaxed);
  }

 private:
  boost::lockfree::spsc_queue<T> queue_;
  std::function<void()> wake_;
  // Cleared before the ring is drained, so that a push during the drain causes
  // another wake-up.
  std::atomic<bool> wake_pending_{false};
  std::atomic<std::uint64_t> overflow_count_{0};
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_BOUNDED_RING_H_
