/// \file
/// Route nodes that exchange the messages of the quotas of tenants.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>

#include "deployment.h"

namespace sesamespread::test {
namespace {

constexpr char kMessages[] = "sesamespread_quota_messages";

class QuotaTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    if (HasFailure())
      std::cout << deployment_.CollectDiagnostics();
  }

  // Puts a document without routes.
  void PutDocument(unsigned version, const std::string& tenants) {
    deployment_.store().Put("op", "config",
                            "{\"version\":\"r" + std::to_string(version) +
                                "\",\"listeners\":[],\"clusters\":[]" +
                                tenants + "}");
  }

  bool WaitUntilAll(const std::function<bool(const RouteHost&)>& condition) {
    return bench::WaitFor(
        [&] {
          return std::all_of(deployment_.hosts().begin(),
                             deployment_.hosts().end(), condition);
        },
        kTestTimeout);
  }

  bool WaitForVersion(double version) {
    return WaitUntilAll([&](const RouteHost& host) {
      return deployment_.MetricOf(host, "sesamespread_configuration_version") ==
             version;
    });
  }

  double Messages() {
    double sum = 0;
    for (const RouteHost& host : deployment_.hosts())
      sum += deployment_.MetricOf(host, kMessages);
    return sum;
  }

  RouteDeployment deployment_;
};

// Guards against reports that aren't answered on the links of real nodes, and
// against messages or timers that outlive the last quota.
TEST_F(QuotaTest, NodesExchangeReportsWhileThereIsAQuota) {
  EXPECT_EQ(Messages(), 0);
  PutDocument(2, R"(,"tenants":[{"name":"a","api_keys":["k"],"rate_per_s":50,)"
                 R"("burst":10}])");
  ASSERT_TRUE(WaitForVersion(2));
  // Each node leases its share; the coordinator answers the others.
  ASSERT_TRUE(WaitUntilAll([&](const RouteHost& host) {
    return deployment_.MetricOf(host, kMessages) >= 5;
  }));
  // Nodes that agree on the coordinator change it once when they find the
  // others, so that unanswered reports would show.
  for (const RouteHost& host : deployment_.hosts())
    EXPECT_LE(
        deployment_.MetricOf(host, "sesamespread_quota_coordinator_changes"),
        4);
  PutDocument(3, "");
  ASSERT_TRUE(WaitForVersion(3));
  // The polls are 10 ms apart; a renewal would follow within 200 ms.
  double last = -1;
  int unchanged = 0;
  EXPECT_TRUE(bench::WaitFor(
      [&] {
        const double now = Messages();
        unchanged = now == last ? unchanged + 1 : 0;
        last = now;
        return unchanged > 40;
      },
      kTestTimeout));
}

}  // namespace
}  // namespace sesamespread::test
