// Tests of QuotaGate: gates that exchange messages on one event loop, with real
// timers.
#include "sesamespread/transport/quota_gate.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sesamespread/transport/clock.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Gates whose messages arrive in a later turn of the event loop.
class QuotaGateTest : public testing::Test {
 protected:
  ~QuotaGateTest() override { close(output_); }

  QuotaGate& AddGate(state::NodeId id) {
    gates_[id] = std::make_unique<QuotaGate>(
        id, deadlines_, log_,
        [this, id](state::NodeId to, const protocol::PeerMessage& message) {
          ++messages_;
          Deliver(id, to, message);
        },
        id);
    return *gates_[id];
  }

  void Connect(const std::vector<state::Tenant>& tenants) {
    std::vector<state::NodeId> ids;
    for (const auto& [id, gate] : gates_)
      ids.push_back(id);
    for (const auto& [id, gate] : gates_) {
      gate->SetNodes(ids);
      gate->SetTenants(tenants);
    }
  }

  void Deliver(state::NodeId from,
               state::NodeId to,
               const protocol::PeerMessage& message) {
    boost::asio::post(context_, [this, from, to, message] {
      const auto gate = gates_.find(to);
      if (gate == gates_.end())
        return;
      if (const auto* report = std::get_if<protocol::QuotaReport>(&message))
        gate->second->OnReport(*report, [this, from, to](const auto& reply) {
          Deliver(to, from, reply);
        });
      else
        gate->second->OnGrant(std::get<protocol::QuotaGrant>(message));
    });
  }

  // Acquires until a request of \p tenant is admitted.
  bool AcquireInTime(QuotaGate& gate, const std::string& tenant) {
    bool is_admitted = false;
    bool is_pending = false;
    return RunUntil(context_, [&] {
      if (!is_admitted && !is_pending) {
        is_pending = true;
        gate.Acquire(tenant, FromNow(seconds(1)),
                     [&](const QuotaVerdict& verdict) {
                       is_pending = false;
                       is_admitted = verdict.admitted;
                     });
      }
      return is_admitted && !is_pending;
    });
  }

  static state::Tenant MakeTenant(const std::string& name,
                                  double per_second,
                                  double burst) {
    state::Tenant tenant;
    tenant.name = name;
    tenant.quota = {per_second, burst};
    return tenant;
  }

  const int output_ = open("/dev/null", O_WRONLY | O_CLOEXEC);
  boost::asio::io_context context_{1};
  EventLog log_{LogLevel::kInfo, "test", output_};
  DeadlineQueue deadlines_{context_};
  std::map<state::NodeId, std::unique_ptr<QuotaGate>> gates_;
  std::size_t messages_ = 0;
};

// Documents without quotas must cause no messages, timers or waits.
TEST_F(QuotaGateTest, CostsNothingWithoutQuotas) {
  QuotaGate& gate = AddGate(1);
  AddGate(2);
  Connect({MakeTenant("a", 0, 0)});
  std::optional<QuotaVerdict> verdict;
  gate.Acquire("a", FromNow(seconds(1)),
               [&](const QuotaVerdict& v) { verdict = v; });
  ASSERT_TRUE(verdict.has_value());
  EXPECT_TRUE(verdict->admitted);
  gate.Release("a");
  gate.OnLinkChange(2, false);
  gate.OnLinkChange(2, true);
  // Without a timer, the loop has nothing to wait for.
  EXPECT_EQ(context_.run(), 0U);
  EXPECT_EQ(messages_, 0U);
  EXPECT_EQ(gate.counters(), QuotaCounters());
}

// A request above the quota is refused with a time; one of a tenant without a
// quota is not.
TEST_F(QuotaGateTest, AdmitsTheQuotaAndRefusesTheRest) {
  QuotaGate& gate = AddGate(1);
  AddGate(2);
  AddGate(3);
  Connect({MakeTenant("a", 2, 3), MakeTenant("b", 0, 0)});
  ASSERT_TRUE(AcquireInTime(gate, "a"));
  const std::uint64_t refused_before = gate.counters().refused;
  std::size_t ended = 0;
  std::size_t refused = 0;
  constexpr std::size_t kRequests = 100;
  const state::Instant started = Now();
  for (std::size_t i = 0; i < kRequests; ++i) {
    gate.Acquire("a", FromNow(seconds(1)), [&](const QuotaVerdict& verdict) {
      ++ended;
      if (verdict.admitted)
        return;
      ++refused;
      EXPECT_GT(verdict.retry_after, state::Duration(0));
    });
  }
  bool is_free_admitted = false;
  gate.Acquire("b", FromNow(seconds(1)), [&](const QuotaVerdict& verdict) {
    is_free_admitted = verdict.admitted;
  });
  EXPECT_TRUE(is_free_admitted);
  ASSERT_TRUE(RunUntil(context_, [&] { return ended == kRequests; }));
  const double elapsed = std::chrono::duration<double>(Now() - started).count();
  EXPECT_LE(static_cast<double>(kRequests - refused), 3 + 2 * elapsed + 2);
  EXPECT_EQ(gate.counters().refused - refused_before, refused);
  EXPECT_GT(gate.counters().waited, 0U);
}

// Callbacks may ask for and return tokens.
TEST_F(QuotaGateTest, CallbacksMayUseTheGate) {
  QuotaGate& gate = AddGate(1);
  AddGate(2);
  Connect({MakeTenant("a", 100, 100)});
  ASSERT_TRUE(AcquireInTime(gate, "a"));
  int admitted = 0;
  std::function<void(const QuotaVerdict&)> again =
      [&](const QuotaVerdict& verdict) {
        if (verdict.admitted && ++admitted % 2 == 0)
          gate.Release("a");
        if (admitted < 10)
          gate.Acquire("a", FromNow(seconds(1)), again);
      };
  gate.Acquire("a", FromNow(seconds(1)), again);
  EXPECT_TRUE(RunUntil(context_, [&] { return admitted >= 10; }));
}

// The other nodes keep serving after the death of the coordinator.
TEST_F(QuotaGateTest, SurvivesTheLossOfANode) {
  for (state::NodeId id = 1; id <= 4; ++id)
    AddGate(id);
  Connect({MakeTenant("a", 200, 50)});
  ASSERT_TRUE(AcquireInTime(*gates_[1], "a"));
  for (const state::NodeId lost : {2, 3}) {
    gates_.erase(lost);
    gates_[1]->OnLinkChange(lost, false);
    ASSERT_TRUE(AcquireInTime(*gates_[1], "a"));
    ASSERT_TRUE(AcquireInTime(*gates_[4], "a"));
  }
}

}  // namespace
}  // namespace sesamespread::transport
