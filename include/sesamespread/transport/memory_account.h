/// \file
/// Account of the memory that a node holds for callers, backend servers and
/// other nodes, with a bound on their sum.
#ifndef SESAMESPREAD_TRANSPORT_MEMORY_ACCOUNT_H_
#define SESAMESPREAD_TRANSPORT_MEMORY_ACCOUNT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <tuple>
#include <vector>

namespace sesamespread::transport {

/// Sums the bytes of all charges. A charge that can be given up has a callback;
/// Relieve gives up the largest and slowest of them while the sum exceeds the
/// bound. Not thread-safe.
class MemoryAccount {
 public:
  /// Charges up to this size are never given up, and requests up to this size
  /// are never refused for lack of memory. Ordinary requests have some hundred
  /// bytes.
  static constexpr std::size_t kSmallBytes = 4 << 10;

  class Charge;

  explicit MemoryAccount(std::size_t bound) : bound_(bound) {}

  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  std::size_t held() const { return held_; }
  std::size_t bound() const { return bound_; }
  /// Charges that were given up and requests that were refused.
  std::uint64_t refusals() const {
    return refusals_ + (links_ ? links_->refusals() : 0);
  }
  /// Account of the links between nodes alone, with the same bound. A link
  /// carries the calls of many callers, so that it is given up only if links
  /// exceed the bound by themselves.
  MemoryAccount& links();
  /// Counts a refusal for lack of memory that its holder decided.
  void CountRefusal() { ++refusals_; }

  /// Whether large messages should not be read further for now.
  bool is_high() const { return held_ > bound_ / 4 * 3; }

  /// Whether \p bytes more may be held for a request. Gives up charges that are
  /// larger if necessary. Small requests are always admitted. Counts a refusal
  /// if the result is false.
  bool Admits(std::size_t bytes);

  /// Gives up charges until the sum is within the bound or only charges are
  /// left that cannot be given up. Calls their callbacks.
  void Relieve();

  /// Gives up the largest charge, also within the bound.
  void RelieveLargest();

  /// \p callback runs once when is_high() becomes false. It must not use the
  /// account before it returns.
  void WhenLow(std::function<void()> callback) {
    waiting_.push_back(std::move(callback));
  }

 private:
  // Magnitude of the size, age in reverse, and the charge: the last is given up
  // first. Charges of one magnitude differ in size by less than half.
  using Rank = std::tuple<int, std::chrono::steady_clock::rep, Charge*>;

  void Change(std::size_t from, std::size_t to);

  const std::size_t bound_;
  std::size_t held_ = 0;
  std::uint64_t refusals_ = 0;
  std::set<Rank> ranks_;
  std::vector<std::function<void()>> waiting_;
  bool is_relieving_ = false;
  // Null until links() is first called.
  std::unique_ptr<MemoryAccount> links_;
};

/// The bytes of one holder. Destruction ends the charge.
class MemoryAccount::Charge {
 public:
  /// Without account, all calls have no effect.
  explicit Charge(MemoryAccount* account = nullptr,
                  std::function<void()> give_up = nullptr)
      : account_(account), give_up_(std::move(give_up)) {}
  ~Charge() { Set(0); }

  Charge(const Charge&) = delete;
  Charge& operator=(const Charge&) = delete;

  /// Sets the size. \p can_give_up tells whether Relieve may call the callback;
  /// \p last_progress is when the holder last made progress.
  void Set(std::size_t bytes,
           bool can_give_up = false,
           std::chrono::steady_clock::time_point last_progress = {});

  std::size_t bytes() const { return bytes_; }

 private:
  friend class MemoryAccount;

  MemoryAccount* account_;
  std::function<void()> give_up_;
  std::size_t bytes_ = 0;
  // Valid if is_ranked_.
  Rank rank_;
  bool is_ranked_ = false;
};

/// \p setting, or the default if it is 0: a quarter of the memory of this host,
/// but at most 48 MiB.
std::size_t MemoryBound(std::uint64_t setting);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_MEMORY_ACCOUNT_H_
