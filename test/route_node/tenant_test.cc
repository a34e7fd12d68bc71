/// \file
/// API keys and quotas at route nodes as processes.
#include <gtest/gtest.h>

#include <fmt/format.h>

#include <iostream>
#include <string>

#include "deployment.h"

namespace sesamespread::test {
namespace {

RouteDeploymentOptions Options() {
  RouteDeploymentOptions options;
  options.settings = "revocation_timeout: 2s\n";
  return options;
}

class TenantTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    if (HasFailure())
      std::cout << deployment_.CollectDiagnostics();
  }

  // Puts a document in which the route to `stock` of the host keyed.example
  // needs a key and that of open.example does not. The document of the
  // deployment has neither, so that an answer shows that this one is in force.
  void PutDocument(unsigned version, const std::string& tenants) {
    const auto listener = [](const char* host, bool is_public) {
      return fmt::format(
          R"({{"host":"{}","rules":[{{"name":"{}","kind":"safe",)"
          R"("goal":"1s","priority":1,"public":{},"match":{{"prefix":"/"}},)"
          R"("action":{{"service":"stock","timeout":"5s","max_attempts":2}}}}]}})",
          host, host, is_public);
    };
    deployment_.store().Put(
        "op", "config",
        fmt::format(
            R"({{"version":"r{}","tenants":[{}],"listeners":[{},{}],"clusters":[]}})",
            version, tenants, listener("keyed.example", false),
            listener("open.example", true)));
  }

  std::uint16_t Send(const std::string& host, const std::string& key) {
    transport::HttpRequest request;
    request.method = "GET";
    request.target = "/item";
    request.headers = {{"Host", host},
                       {"X-Attempt-Id", fmt::format("r{}", ++requests_)},
                       {"X-Deadline-Ms", "4000"}};
    if (!key.empty())
      request.headers.push_back({"Authorization", "Token " + key});
    return bench::Fetch(deployment_.shop().entry, request, kTestTimeout).status;
  }

  bool WaitForStatus(const std::string& key, std::uint16_t status) {
    return bench::WaitFor([&] { return Send("keyed.example", key) == status; },
                          kTestTimeout);
  }

  RouteDeployment deployment_{Options()};
  int requests_ = 0;
};

// Guards against keys that are accepted after their withdrawal, by a node that
// hears of it or by one that can't.
TEST_F(TenantTest, AWithdrawnKeyIsRefusedAlsoWhileTheStoreIsSilent) {
  PutDocument(2, R"({"name":"a","api_keys":["k1","k2"]})");
  EXPECT_TRUE(WaitForStatus("k1", 200));
  EXPECT_EQ(Send("keyed.example", ""), 401);
  EXPECT_EQ(Send("keyed.example", "other"), 401);
  EXPECT_EQ(Send("open.example", ""), 200);
  PutDocument(3, R"({"name":"a","api_keys":["k2"]})");
  EXPECT_TRUE(WaitForStatus("k1", 401));
  EXPECT_EQ(Send("keyed.example", "k2"), 200);
  // Nodes can't tell any more whether a key has been withdrawn.
  deployment_.store().SetMode(platform::standin::Store::Mode::kSilent);
  EXPECT_TRUE(WaitForStatus("k2", 503));
  EXPECT_EQ(Send("open.example", ""), 200);
  deployment_.store().SetMode(platform::standin::Store::Mode::kServing);
  EXPECT_TRUE(WaitForStatus("k2", 200));
}

// Guards against keys that are refused because the store's clock is past the
// greatest duration that a setting may have.
TEST_F(TenantTest, KeysAreAcceptedPastADayOfTheStoresClock) {
  deployment_.store().SetClock(
      [] { return platform::standin::ClockText(std::chrono::hours(24)); });
  PutDocument(2, R"({"name":"a","api_keys":["k1"]})");
  EXPECT_TRUE(WaitForStatus("k1", 200));
  // Longer than the bound, so that only later readings show the key's validity.
  bench::WaitFor([&] { return Send("keyed.example", "k1") != 200; },
                 std::chrono::seconds(3));
  EXPECT_EQ(Send("keyed.example", "k1"), 200);
}

// Guards against quotas that real nodes do not apply, or apply to each node
// alone.
TEST_F(TenantTest, RequestsBeyondTheQuotaGet429) {
  PutDocument(2, R"({"name":"a","api_keys":["k1"],"rate_per_s":5,"burst":5},)"
                 R"({"name":"b","api_keys":["k2"]})");
  EXPECT_TRUE(WaitForStatus("k2", 200));
  // More than the quota allows in any time in which they can be sent.
  EXPECT_TRUE(WaitForStatus("k1", 429));
  // The quota of one tenant does not bound another, and it is refilled.
  EXPECT_EQ(Send("keyed.example", "k2"), 200);
  EXPECT_TRUE(WaitForStatus("k1", 200));
}

}  // namespace
}  // namespace sesamespread::test
