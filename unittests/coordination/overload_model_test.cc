/// \file
/// Guards against an admission policy that loses goodput or critical requests
/// ("orders") in a surge, or that recovers slowly. A server is simulated in
/// steps of 1 ms: it slows down once more requests are in progress than it has
/// slots, and callers repeat requests that are refused or time out.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "sesamespread/coordination/admission.h"

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Importance;
using state::Instant;
using std::chrono::milliseconds;

constexpr int kSlots = 16;
constexpr double kServiceMs = 20;
constexpr double kCapacityPerMs = kSlots / kServiceMs;
constexpr int kSurgeStart = 3000;
constexpr int kSurgeEnd = 13000;
constexpr int kEnd = 18000;
constexpr int kCallerTimeoutMs = 400;
constexpr int kRetryDelayMs = 50;
constexpr int kMaxAttempts = 4;
constexpr int kWindowMs = 100;

struct Result {
  double goodput = 0;
  double orders_kept = 0;
  double wasted = 0;
  int recovery_ms = -1;
};

class SurgeModel {
 public:
  SurgeModel(AdmissionPolicy policy, bool first_hop, std::uint64_t seed)
      : random_(seed),
        first_hop_(first_hop),
        controller_(Options(policy), random_, At(0)) {}

  Result Run() {
    for (now_ = 0; now_ < kEnd; ++now_) {
      const bool surge = now_ >= kSurgeStart && now_ < kSurgeEnd;
      const double load = (surge ? 3.0 : 0.7) * kCapacityPerMs;
      std::poisson_distribution<int> arrivals(load);
      for (int i = arrivals(random_); i > 0; --i) {
        AddArrivals();
      }
      for (auto due = retries_.begin(); due != retries_.upper_bound(now_);
           due = retries_.erase(due)) {
        Send(due->second);
      }
      ExpireAttempts();
      ProcessRunning();
      Apply(controller_.Tick(At(now_)));
    }
    return Summary();
  }

 private:
  struct Call {
    Importance importance;
    int arrived;
    int attempts = 0;
    bool answered = false;
    // The answer was that to the first attempt.
    bool answered_first_attempt = false;
  };
  struct Attempt {
    std::size_t call;
    int deadline;
    int started = 0;
  };
  struct Running {
    Ticket ticket;
    double work_left_ms;
  };

  static AdmissionOptions Options(AdmissionPolicy policy) {
    AdmissionOptions options;
    options.policy = policy;
    options.slots = kSlots;
    return options;
  }
  static Instant At(int ms) { return Instant(milliseconds(ms)); }

  void AddArrivals() {
    const auto share = random_() % 100;
    const Importance importance = share < 75   ? Importance::kBrowse
                                  : share < 90 ? Importance::kStandard
                                               : Importance::kCritical;
    calls_.push_back({importance, now_});
    Send(calls_.size() - 1);
  }

  void Send(std::size_t call) {
    if (calls_[call].answered) {
      return;
    }
    ++calls_[call].attempts;
    const Ticket ticket = ++last_ticket_;
    attempts_[ticket] = {call, now_ + kCallerTimeoutMs};
    timeouts_.emplace(now_ + kCallerTimeoutMs, ticket);
    AdmissionRequest request;
    request.ticket = ticket;
    request.context.id = {random_(), random_()};
    request.context.importance = calls_[call].importance;
    request.context.deadline = At(now_ + kCallerTimeoutMs);
    if (first_hop_ && table_.ShouldShed("service", {},
                                        request.context.priority(), At(now_))) {
      OnRefused(ticket);
      return;
    }
    const AdmissionDecision decision = controller_.Offer(request, At(now_));
    ReportThreshold();
    if (decision.outcome == AdmissionOutcome::kStart) {
      Start(ticket);
    } else if (decision.outcome == AdmissionOutcome::kRefused) {
      OnRefused(ticket);
    }
    if (decision.displaced) {
      OnRefused(decision.displaced->ticket);
    }
  }

  void Start(Ticket ticket) {
    Attempt& attempt = attempts_[ticket];
    EXPECT_TRUE(attempt.deadline > now_) << "expired work was started";
    attempt.started = now_;
    // Whole steps, so that the mean is kServiceMs.
    running_.push_back(
        {ticket, kServiceMs / 2 + static_cast<double>(random_() % 21)});
  }

  void OnRefused(Ticket ticket) {
    const std::size_t call = attempts_[ticket].call;
    attempts_.erase(ticket);
    if (calls_[call].attempts < kMaxAttempts) {
      retries_.emplace(now_ + kRetryDelayMs, call);
    }
  }

  // Callers cancel attempts that have timed out and repeat them immediately.
  // Attempts that have started continue at the server.
  void ExpireAttempts() {
    while (!timeouts_.empty() && timeouts_.begin()->first <= now_) {
      const auto found = attempts_.find(timeouts_.begin()->second);
      timeouts_.erase(timeouts_.begin());
      if (found == attempts_.end()) {
        continue;
      }
      const std::size_t call = found->second.call;
      if (controller_.Cancel(found->first, At(now_)) ==
          CancelOutcome::kRemoved) {
        attempts_.erase(found);
      }
      if (calls_[call].attempts < kMaxAttempts) {
        retries_.emplace(now_ + 1, call);
      }
    }
  }

  void ProcessRunning() {
    const double in_use = static_cast<double>(running_.size()) / kSlots;
    const double speed = 1 / std::pow(std::max(1.0, in_use), 1.5);
    std::vector<Ticket> done;
    std::erase_if(running_, [&](Running& running) {
      running.work_left_ms -= speed;
      if (running.work_left_ms <= 0) {
        done.push_back(running.ticket);
      }
      return running.work_left_ms <= 0;
    });
    for (const Ticket ticket : done) {
      OnCompleted(ticket);
    }
  }

  void OnCompleted(Ticket ticket) {
    const Attempt attempt = attempts_[ticket];
    attempts_.erase(ticket);
    Call& call = calls_[attempt.call];
    const bool on_time = now_ < attempt.deadline;
    const bool surge = now_ >= kSurgeStart && now_ < kSurgeEnd;
    completed_ += surge ? 1 : 0;
    if (on_time && !call.answered) {
      call.answered = true;
      call.answered_first_attempt = call.attempts == 1;
      good_ += surge ? 1 : 0;
    }
    RequestTiming timing;
    timing.total = milliseconds(now_ - attempt.started);
    timing.outcome =
        on_time ? RequestOutcome::kAnswered : RequestOutcome::kTimedOut;
    Apply(controller_.Finish(ticket, timing, At(now_)));
    ReportThreshold();
  }

  // Each answer and refusal reports the threshold.
  void ReportThreshold() {
    table_.Observe("service", 1, controller_.load().threshold, At(now_));
  }

  void Apply(const AdmissionActions& actions) {
    for (const Ticket ticket : actions.start) {
      Start(ticket);
    }
    for (const Refusal& refusal : actions.refuse) {
      OnRefused(refusal.ticket);
    }
  }

  Result Summary() const {
    Result result;
    result.goodput = good_ / (kCapacityPerMs * (kSurgeEnd - kSurgeStart));
    result.wasted = completed_ == 0 ? 0 : 1 - good_ / completed_;
    double orders = 0;
    double kept = 0;
    std::map<int, std::pair<double, double>> windows;
    for (const Call& call : calls_) {
      if (call.importance == Importance::kCritical) {
        ++orders;
        kept += call.answered ? 1 : 0;
      }
      if (call.arrived >= kSurgeEnd && call.arrived < kEnd - kCallerTimeoutMs) {
        auto& window = windows[(call.arrived - kSurgeEnd) / kWindowMs];
        ++window.first;
        window.second += call.answered_first_attempt ? 1 : 0;
      }
    }
    result.orders_kept = kept / orders;
    // The end of the last window below 0.95; -1 if no window follows it.
    result.recovery_ms = 0;
    for (const auto& [index, window] : windows) {
      if (window.second < 0.95 * window.first) {
        result.recovery_ms = (index + 1) * kWindowMs;
      }
    }
    if (result.recovery_ms >= kEnd - kCallerTimeoutMs - kSurgeEnd) {
      result.recovery_ms = -1;
    }
    return result;
  }

  std::mt19937_64 random_;
  bool first_hop_;
  ThresholdTable table_;
  AdmissionController controller_;
  int now_ = 0;
  Ticket last_ticket_ = 0;
  std::vector<Call> calls_;
  std::unordered_map<Ticket, Attempt> attempts_;
  std::vector<Running> running_;
  std::multimap<int, std::size_t> retries_;
  std::multimap<int, Ticket> timeouts_;
  double good_ = 0;
  double completed_ = 0;
};

TEST(OverloadModelTest, AdaptivePolicyMeetsTheTargetsInASurge) {
  struct Row {
    const char* name;
    AdmissionPolicy policy;
    bool first_hop;
    // One seed is enough to show the collapse of the baselines.
    std::uint64_t seeds;
  };
  const Row rows[] = {
      {"none", AdmissionPolicy::kNone, false, 1},
      {"fixed limit", AdmissionPolicy::kFixedLimit, false, 1},
      {"adaptive", AdmissionPolicy::kAdaptive, false, 5},
      {"+ first hop", AdmissionPolicy::kAdaptive, true, 5},
  };
  std::printf("%-12s %5s %8s %8s %8s %9s\n", "policy", "seed", "goodput",
              "orders", "wasted", "recovery");
  for (const Row& row : rows) {
    for (std::uint64_t seed = 1; seed <= row.seeds; ++seed) {
      const Result result = SurgeModel(row.policy, row.first_hop, seed).Run();
      std::printf("%-12s %5d %8.3f %8.4f %8.3f %6d ms\n", row.name,
                  static_cast<int>(seed), result.goodput, result.orders_kept,
                  result.wasted, result.recovery_ms);
      if (row.policy != AdmissionPolicy::kAdaptive) {
        continue;
      }
      EXPECT_GE(result.goodput, 0.95);
      EXPECT_GE(result.orders_kept, 0.99);
      EXPECT_LE(result.wasted, 0.02);
      EXPECT_GE(result.recovery_ms, 0);
      EXPECT_LE(result.recovery_ms, 1000);
    }
  }
}

}  // namespace
}  // namespace sesamespread::coordination
