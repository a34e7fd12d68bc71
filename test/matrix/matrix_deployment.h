/// \file
/// The deployment of the fault matrix, with the implementation of the steps and
/// the faults.
#ifndef SESAMESPREAD_TEST_MATRIX_MATRIX_DEPLOYMENT_H_
#define SESAMESPREAD_TEST_MATRIX_MATRIX_DEPLOYMENT_H_

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

/// A deployment of 8 hosts in 2 zones. A cell runs one step and injects its
/// faults while the step is in progress. Not thread-safe; the object starts its
/// own threads for requests and operations.
class MatrixDeployment {
 public:
  /// The deployment that all cells of this process share; started on first use.
  static MatrixDeployment& Shared();
  /// Destroys the shared deployment; the next call of Shared starts a new one.
  static void Reset();

  /// \param admission `adaptive`, `fixed` or `none`.
  /// \param order_options further options of the stand-ins of `orders`.
  explicit MatrixDeployment(const std::string& admission = "adaptive",
                            const std::vector<std::string>& order_options = {});
  ~MatrixDeployment();

  using Action = void (MatrixDeployment::*)();
  struct Step {
    const char* name;
    void (MatrixDeployment::*run)();
    /// Service whose first backend server, or its node, is paused, killed or
    /// drained.
    const char* executor;
  };
  struct Fault {
    const char* name;
    Action inject;
    Action repair;
    /// Whether requests in flight must succeed at a planned stop despite the
    /// fault.
    bool harmless = false;
  };
  static const std::vector<Step>& Steps();
  static const std::vector<Fault>& Faults();

  /// Runs a cell. \returns its violations; empty if all invariants hold.
  std::vector<std::string> RunCell(const Step& step,
                                   const std::vector<const Fault*>& faults);
  /// Measurements of the last cell, such as "in force after 1.2 s".
  const std::string& detail() const { return detail_; }

  bench::Cluster& cluster() { return *cluster_; }
  /// Sends \p request to \p port on a new thread; JoinRequests collects the
  /// answer.
  void SendAsync(std::uint16_t port, bench::CallerRequest request);
  /// Waits for all requests that were sent so far. \returns their answers.
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
  void WaitWhileSlow();
  void Surge();
  void ClientRetries();
  void StoreDown();
  void StoreSlow();
  void LoseReply();
  void RestoreStore();
  void PauseExecutorNode();
  void ResumeExecutorNode();
  void OperatorRace();
  void KillNode();
  void KillBackend();
  void KillEntry();
  void RestartExecutor();
  void RestartEntry();
  void JoinBackground();

  void Inject();
  void SendMixedRequests();
  void SetSlowFactor(const std::string& service, double factor);
  /// Starts to apply an inventory that differs from all earlier ones.
  void ApplyInventoryChange();
  void StartHost(bench::Host& host);
  bool WaitStarted(const std::string& service, std::size_t count);
  std::size_t CountStarted(const std::string& service, std::int64_t since);
  /// Reads the configuration version in force at each running node, 0 if it
  /// does not answer, and reports a violation if a version decreases.
  std::vector<std::uint64_t> SampleVersions();
  void CheckInForce();
  void CheckPlannedStop();
  void CheckServesAgain();
  void Repair();

  std::unique_ptr<bench::Cluster> cluster_;
  bench::Host* entry_ = nullptr;
  bench::Host* other_entry_ = nullptr;
  bench::Host* executor_ = nullptr;
  std::vector<const Fault*> faults_;
  std::vector<std::thread> requests_;
  std::vector<std::thread> background_;
  std::mutex mutex_;
  std::vector<bench::Answer> answers_;      // guarded by mutex_
  std::vector<bench::CallerRequest> sent_;  // by SendAsync in this cell
  std::vector<bench::Answer> in_flight_;
  std::uint64_t accepted_version_ = 0;  // guarded by mutex_
  std::int64_t accepted_at_ = 0;        // guarded by mutex_
  std::int64_t cell_started_ = 0;
  std::int64_t injected_at_ = 0;
  std::int64_t left_at_ = 0;
  /// Time of the first restart of this cell's executor; 0 if there was none.
  std::int64_t restarted_at_ = 0;
  bool planned_stop_ = false;
  int changes_ = 0;
  std::map<int, std::uint64_t> versions_;  // by process id
  std::vector<std::string> violations_;
  std::string detail_;
};

}  // namespace sesamespread::matrix

#endif  // SESAMESPREAD_TEST_MATRIX_MATRIX_DEPLOYMENT_H_
