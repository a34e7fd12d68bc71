/// \file
/// The platform thread of a node. It makes all calls to the platform's table
/// service and object store, so that no other thread blocks on them.
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

/// Receives the results of reads and claims. All methods are called on the
/// platform thread.
class PlatformEvents {
 public:
  virtual ~PlatformEvents() = default;

  virtual void OnPlatformHead(state::ConfigurationVersion version,
                              std::uint64_t digest) = 0;
  virtual void OnPlatformDelta(state::ConfigurationDelta delta, bool full) = 0;
  virtual void OnClaimReply(coordination::ClaimTableReply reply) = 0;
};

/// Executes reads and claims one at a time. The control thread queues reads and
/// the data thread queues claims, each in a ring of its own and in order.
/// Claims run before reads.
class PlatformWorker {
 public:
  /// \p table, \p objects, \p log and \p events must outlive the worker.
  PlatformWorker(coordination::TableStore& table,
                 coordination::ObjectStore& objects,
                 EventLog& log,
                 PlatformEvents& events);
  ~PlatformWorker();

  PlatformWorker(const PlatformWorker&) = delete;
  PlatformWorker& operator=(const PlatformWorker&) = delete;

  /// Queues a read of the head row unless one is queued already. Control thread
  /// only.
  void ReadHead();
  /// Queues a read of changes or of the whole configuration. Control thread
  /// only. The read is dropped if the ring is full.
  void Read(const coordination::PlatformReadRequest& read_request);

  /// Queues a claim. Data thread only. If the ring is full the claim is dropped
  /// without a reply, and the committer counts it as lost after its timeout.
  void Claim(coordination::ClaimTableRequest request);

 private:
  using Task = std::function<void()>;

  void Run();
  void DrainClaims();
  void DoReadHead();
  void DoRead(const coordination::PlatformReadRequest& read_request);
  void ReadFull();
  // Runs \p read and logs the state::Error that it throws. The control thread
  // repeats the read later.
  void RunAndLogErrors(const char* call, const std::function<void()>& read);
  void DoClaim(const coordination::ClaimTableRequest& request);
  coordination::ClaimTableReply InsertIfAbsent(
      const coordination::ClaimTableRequest& request);
  coordination::ClaimTableReply ReadClaims(
      const coordination::ClaimTableRequest& request);
  void LogFailure(const char* call_name, coordination::StoreStatus status);

  coordination::TableStore& table_;
  coordination::ObjectStore& objects_;
  EventLog& log_;
  PlatformEvents& events_;
  std::counting_semaphore<> work_available_{0};
  BoundedRing<Task> read_tasks_;
  BoundedRing<Task> claim_tasks_;
  std::atomic<bool> head_read_queued_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_PLATFORM_WORKER_H_
