/// \file
/// The shared deployment of the fault matrix, and what steps and faults do to
/// it.
#ifndef SESAMESPREAD_TEST_MATRIX_WORLD_H_
#define SESAMESPREAD_TEST_MATRIX_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness/checker.h"
#include "harness/cluster.h"

namespace sesamespread::matrix {

/// One deployment of 8 hosts in 2 zones. A cell runs one step and injects its
/// faults while the step is in progress.
class World {
 public:
  /// The deployment that all cells of this process share.
  static World& Shared();
  static void Reset();

  /// \param admission adaptive, fixed or none.
  explicit World(const std::string& admission = "adaptive",
                 const std::vector<std::string>& order_options = {});
  ~World();

  using Action = void (World::*)();
  struct Step {
    const char* name;
    void (World::*run)();
    /// Service whose first server is paused, killed or drained.
    const char* executor;
  };
  struct Fault {
    const char* name;
    Action inject;
    Action repair;
    /// Whether work in flight must end well at a planned stop in spite of it.
    bool harmless = false;
  };
  static const std::vector<Step>& Steps();
  static const std::vector<Fault>& Faults();

  /// Runs a cell. \returns its violations; empty if all invariants hold.
  std::vector<std::string> RunCell(const Step& step,
                                   const std::vector<const Fault*>& faults);
  /// What the last cell measured, such as "in force after 1.2 s".
  const std::string& detail() const { return detail_; }

  bench::Cluster& cluster() { return *cluster_; }
  /// Sends \p request from a thread of its own.
  void SendLater(std::uint16_t port, bench::CallerRequest request);
  /// Waits for all requests that were sent so far.
  std::vector<bench::Answer> JoinRequests();
  bench::CallerRequest Order(const std::string& key) const;
  bench::CallerRequest Browse() const;

 private:
  // Steps.
  void StepReceived();
  void StepWaitingForLink();
  void StepQueued();
  void StepRunning();
  void StepSubCall();
  void StepStreaming();
  void StepRecorded();
  void StepSent();
  void StepAccepted();
  void StepSpread();
  void StepNodeBooting();
  void StepLeaveAnnounced();
  void StepInFlight();
  void StepNodeStopping();

  // Faults.
  void SlowDeep();
  void FastDeep();
  void Surge();
  void ClientRetries();
  void StoreDown();
  void StoreSlow();
  void LoseReply();
  void StoreUp();
  void PauseHolder();
  void ResumeHolder();
  void OperatorRace();
  void KillNode();
  void KillBackend();
  void KillEntry();
  void RestartExecutor();
  void RestartEntry();
  void JoinBackground();

  void Inject();
  void SendMix();
  void SetSlow(const std::string& service, double factor);
  /// Applies an inventory that no cell applied before.
  void Apply();
  void StartHost(bench::Host& host);
  bool WaitStarted(const std::string& service, std::size_t count);
  std::size_t CountStarted(const std::string& service, std::int64_t since);
  /// Reads the version in force of each node and checks that none goes down.
  std::vector<std::uint64_t> SampleVersions();
  void CheckInForce();
  void CheckPlannedStop();
  void CheckServesAgain();
  void Repair();

  std::unique_ptr<bench::Cluster> cluster_;
  bench::Host* entry_ = nullptr;
  bench::Host* other_ = nullptr;
  bench::Host* executor_ = nullptr;
  std::vector<const Fault*> faults_;
  std::vector<std::thread> requests_;
  std::vector<std::thread> background_;
  std::mutex mutex_;
  std::vector<bench::Answer> answers_;      // guarded by mutex_
  std::vector<bench::CallerRequest> sent_;  // of this cell
  std::vector<bench::Answer> in_flight_;    // must end well
  std::uint64_t accepted_version_ = 0;      // guarded by mutex_
  std::int64_t accepted_at_ = 0;            // guarded by mutex_
  std::int64_t cell_started_ = 0;
  std::int64_t injected_at_ = 0;
  std::int64_t left_at_ = 0;
  /// When the executor of this cell was replaced first; 0 if it was not.
  std::int64_t restarted_at_ = 0;
  bool planned_stop_ = false;
  int changes_ = 0;
  std::map<int, std::uint64_t> versions_;  // by process id
  std::vector<std::string> violations_;
  std::string detail_;
};

}  // namespace sesamespread::matrix

#endif  // SESAMESPREAD_TEST_MATRIX_WORLD_H_
