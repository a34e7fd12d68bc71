/// \file
/// A TCP proxy on loopback that harms the connections which pass through it.
/// Part of the test bench.
#ifndef SESAMESPREAD_BENCH_HARNESS_FAULT_PROXY_H_
#define SESAMESPREAD_BENCH_HARNESS_FAULT_PROXY_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <compare>
#include <memory>
#include <thread>

#include "sesamespread/state/node_record.h"

namespace sesamespread::bench {

/// What happens to bytes on their way. Held bytes are delivered later.
struct ProxyFault {
  /// Holds bytes towards the target, or towards the one that connected.
  bool holds_requests = false;
  bool holds_answers = false;
  std::chrono::milliseconds delay{0};
  /// Closes new connections at once.
  bool refuses = false;

  auto operator<=>(const ProxyFault&) const = default;
};

/// Runs the proxies of a test on a thread of its own.
class ProxyThread {
 public:
  ProxyThread();
  ~ProxyThread();

  ProxyThread(const ProxyThread&) = delete;
  ProxyThread& operator=(const ProxyThread&) = delete;

  boost::asio::io_context& context() { return context_; }

 private:
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{context_.get_executor()};
  std::thread thread_;
};

/// Passes connections at one address on to another. Methods may be called by
/// any thread.
class FaultProxy {
 public:
  /// Listens at \p listen until \p thread ends.
  FaultProxy(ProxyThread& thread,
             const state::Endpoint& listen,
             const state::Endpoint& target);
  ~FaultProxy();

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const state::Endpoint& listen() const { return listen_; }

  /// For all connections, open ones included.
  void SetFault(const ProxyFault& fault);
  /// Resets open connections.
  void ResetConnections();
  /// Open connections pass no byte any more and stay open; new ones work.
  void StallConnections();

 private:
  class Impl;
  const state::Endpoint listen_;
  boost::asio::io_context& context_;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_HARNESS_FAULT_PROXY_H_
