/// \file
/// A TCP proxy on loopback that injects faults into the connections that it
/// forwards. Part of the test bench.
#ifndef SESAMESPREAD_BENCH_HARNESS_FAULT_PROXY_H_
#define SESAMESPREAD_BENCH_HARNESS_FAULT_PROXY_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <thread>

#include "sesamespread/state/node_record.h"

namespace sesamespread::bench {

/// What a proxy does to the bytes that are sent back to the client, beside
/// forwarding them.
enum class AnswerFault : std::uint8_t {
  kNone,
  /// Sends each chunk of bytes again after kRepeatDelay.
  kRepeats,
  /// Forwards the first half of a chunk only, and resets the connection.
  kBreaksOff,
  /// Sends bytes that are part of no message in place of a chunk, until the
  /// client closes the connection. After a chunk they could complete the body
  /// of an answer that the server broke off, which no client of HTTP can
  /// detect.
  kEndless,
};

/// Long enough that the connection is in use for another request by then.
constexpr std::chrono::milliseconds kRepeatDelay{40};

/// Faults of a proxy. Held bytes are delivered once the fault is cleared.
struct ProxyFault {
  /// Holds bytes sent to the target.
  bool holds_requests = false;
  /// Holds bytes sent back to the client.
  bool holds_answers = false;
  /// Delay of each chunk of bytes, in both directions.
  std::chrono::milliseconds delay{0};
  /// Resets new connections immediately.
  bool refuses = false;
  AnswerFault answer_fault = AnswerFault::kNone;

  auto operator<=>(const ProxyFault&) const = default;
};

/// The thread that runs the proxies of a test. It must outlive them.
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
      work_guard_{context_.get_executor()};
  std::thread thread_;
};

/// Forwards connections from one address to another. The methods are thread
/// safe; they post their work to the proxy thread and do not wait for it.
class FaultProxy {
 public:
  /// Listens at \p listen until the proxy is destroyed.
  FaultProxy(ProxyThread& thread,
             const state::Endpoint& listen,
             const state::Endpoint& target);
  ~FaultProxy();

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const state::Endpoint& listen() const { return listen_; }

  /// Applies \p fault to all connections, including open ones.
  void SetFault(const ProxyFault& fault);
  /// Resets all open connections.
  void ResetConnections();
  /// Stops forwarding on all connections that are open now, without closing
  /// them. Later connections are not affected.
  void StallConnections();

 private:
  class Impl;
  const state::Endpoint listen_;
  boost::asio::io_context& context_;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_HARNESS_FAULT_PROXY_H_
