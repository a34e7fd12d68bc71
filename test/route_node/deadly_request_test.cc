/// \file
/// A request that ends each server that executes it, sent again by its callers
/// with other ids and at other nodes.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "sesamespread/transport/clock.h"

namespace sesamespread::test {
namespace {

using platform::standin::Backend;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kUnavailable = 503;

/// Servers that may end under a request before it must not be sent any more.
constexpr int kMaxEnds = 3;

constexpr milliseconds kServiceTime{30};

/// Time until a server that has ended runs again.
constexpr milliseconds kRestartTime{500};

constexpr seconds kTestTime{6};

class DeadlyRequestTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(deployment_.WaitUntilServing());
    for (RouteHost& host : deployment_.hosts()) {
      host.backend->SetServiceTime(kServiceTime);
      ASSERT_EQ(host.backend->Report(false), kOk);
    }
  }

  void TearDown() override {
    if (HasFailure())
      std::cerr << deployment_.CollectDiagnostics();
  }

  // Starts servers again that have ended; called by one thread.
  void RestartEndedServers() {
    for (std::size_t i = 1; i < deployment_.hosts().size(); ++i) {
      RouteHost& host = deployment_.hosts()[i];
      if (host.backend && host.backend->has_ended()) {
        host.backend.reset();
        ended_at_[i] = transport::Now();
        ++ends_;
      } else if (!host.backend &&
                 transport::Now() - ended_at_[i] >= kRestartTime) {
        deployment_.StartBackend(
            host, "i-" + std::to_string(i) + "-" + std::to_string(ends_));
        host.backend->SetServiceTime(kServiceTime);
        host.backend->Report(false);
      }
    }
  }

  RouteDeployment deployment_{{{"shop", "stock", "stock", "stock", "stock"}}};
  std::vector<state::Instant> ended_at_ =
      std::vector<state::Instant>(deployment_.hosts().size());
  int ends_ = 0;
};

// Guards against a request that ends all servers of a service over and over,
// and against refusals of the requests beside it, some of which are the same.
TEST_F(DeadlyRequestTest, ARepeatedDeadlyRequestEndsFewServers) {
  const state::Instant until = transport::Now() + kTestTime;
  std::atomic<int> served = 0;
  std::atomic<int> healthy = 0;
  std::atomic<int> refused = 0;
  const auto call = [&](std::size_t caller) {
    for (int i = 0; transport::Now() < until; ++i) {
      const std::string id = std::to_string(caller) + "-" + std::to_string(i);
      const RouteHost& entry =
          deployment_.hosts()[(caller + static_cast<std::size_t>(i)) %
                              deployment_.hosts().size()];
      const std::string path = i % 3 == 0 ? "/popular" : "/item/" + id;
      const auto status =
          deployment_.Send(entry, "stock.example", id, seconds(3), path).status;
      ++healthy;
      served += status == kOk ? 1 : 0;
    }
  };
  const auto call_deadly = [&](std::size_t caller) {
    for (int i = 0; transport::Now() < until; ++i) {
      const RouteHost& entry =
          deployment_.hosts()[(caller + static_cast<std::size_t>(i)) %
                              deployment_.hosts().size()];
      const auto status =
          deployment_
              .Send(entry, "stock.example",
                    "d" + std::to_string(caller) + "-" + std::to_string(i),
                    seconds(3), Backend::kDeadlyPath)
              .status;
      refused += status == kUnavailable ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(100));
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t caller = 0; caller < 8; ++caller)
    threads.emplace_back(call, caller);
  for (std::size_t caller = 0; caller < 2; ++caller)
    threads.emplace_back(call_deadly, caller);
  while (transport::Now() < until) {
    RestartEndedServers();
    std::this_thread::sleep_for(milliseconds(5));
  }
  for (std::thread& thread : threads)
    thread.join();
  EXPECT_GE(ends_, 1);
  EXPECT_LE(ends_, kMaxEnds);
  EXPECT_GT(refused, 0);
  EXPECT_GE(served, 0.97 * healthy) << "of " << healthy;
}

}  // namespace
}  // namespace sesamespread::test
