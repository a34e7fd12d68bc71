/// \file
/// The platform thread of a node: the only one that waits for the platform's
/// table service and object store.
#ifndef SESAMESPREAD_TRANSPORT_PLATFORM_WORKER_H_
#define SESAMESPREAD_TRANSPORT_PLATFORM_WORKER_H_

#include <functional>
#include <memory>
#include <optional>
#include <semaphore>
#include <thread>

#include "sesamespread/coordination/claims.h"
#include "sesamespread/coordination/configuration_replica.h"
#include "sesamespread/coordination/table_store.h"
#include "sesamespread/state/configuration.h"
#include "sesamespread/transport/bounded_ring.h"
#include "sesamespread/transport/event_log.h"

namespace sesamespread::transport {

/// Replies; called on the platform thread.
class PlatformEvents {
 public:
  virtual ~PlatformEvents() = default;

  virtual void OnPlatformHead(state::ConfigurationVersion version,
                              std::uint64_t digest) = 0;
  virtual void OnPlatformDelta(state::ConfigurationDelta delta, bool full) = 0;
  virtual void OnClaimReply(coordination::ClaimTableReply reply) = 0;
};

/// Runs reads and claims one after another. Reads come from the control
/// thread's ring and claims from the data thread's, each in order.
class PlatformWorker {
 public:
  /// Both stores must outlive the worker.
  PlatformWorker(coordination::TableStore& table,
                 coordination::ObjectStore& objects,
                 EventLog& log,
                 PlatformEvents& events);
  ~PlatformWorker();

  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  /// Control thread only. A read that is already waiting is not added twice.
  void ReadHead();
  void Read(const coordination::PlatformReadRequest& order);

  /// Data thread only. Without room the reply is kUnavailable.
  void Claim(coordination::ClaimTableRequest request);

 private:
  using Task = std::function<void()>;

  void Run();
  void DrainClaims();
  void DoReadHead();
  void DoRead(const coordination::PlatformReadRequest& order);
  void ReadFull();
  // Logs the error that \p read throws; the control thread asks again later.
  void Guard(const char* call, const std::function<void()>& read);
  void DoClaim(const coordination::ClaimTableRequest& request);
  coordination::ClaimTableReply InsertIfAbsent(
      const coordination::ClaimTableRequest& request);
  coordination::ClaimTableReply ReadClaims(
      const coordination::ClaimTableRequest& request);
  void LogFailure(const char* what, coordination::StoreStatus status);

  coordination::TableStore& table_;
  coordination::ObjectStore& objects_;
  EventLog& log_;
  PlatformEvents& events_;
  std::counting_semaphore<> work_{0};
  BoundedRing<Task> from_control_;
  BoundedRing<Task> from_data_;
  std::atomic<bool> head_waiting_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_PLATFORM_WORKER_H_
