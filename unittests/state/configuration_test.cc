/// \file
/// Guards against canonical text that is parsed back to another configuration,
/// and against deltas that are applied to the wrong version.
#include "sesamespread/state/configuration.h"

#include <gtest/gtest.h>

#include <random>

#include "sesamespread/state/result_code.h"

namespace sesamespread::state {
namespace {

Configuration MakeConfiguration() {
  Service orders{"orders", 160, 1100, std::chrono::seconds(2), {"prices"}};
  Service prices{"prices", 15, 200, std::chrono::seconds(1), {}};
  Rule rule{"orders",
            "orders",
            {"POST"},
            "/",
            Importance::kCritical,
            false,
            std::chrono::milliseconds(1500)};
  return Configuration(7, {{"service/orders", CanonicalText(orders)},
                           {"service/prices", CanonicalText(prices)},
                           {"rule/orders", CanonicalText(rule)}});
}

TEST(ConfigurationTest, ParsesCanonicalText) {
  const Configuration configuration = MakeConfiguration();
  EXPECT_EQ(configuration.FindService("orders")->slots, 160u);
  EXPECT_EQ(configuration.DownstreamServices("orders"),
            std::vector<std::string>{"prices"});
  const Classification order = configuration.Classify("orders", "POST", "/new");
  EXPECT_EQ(order.importance, Importance::kCritical);
  EXPECT_FALSE(order.repeatable);
  EXPECT_EQ(order.answer_within, std::chrono::milliseconds(1500));
  EXPECT_TRUE(configuration.Classify("prices", "GET", "/").repeatable);
}

TEST(ConfigurationTest, RejectsDeltasFromAnotherVersionOrWithAnotherDigest) {
  const Configuration configuration = MakeConfiguration();
  Configuration::Entries target = configuration.entries();
  target.erase("rule/orders");
  const Configuration expected(8, target);
  ConfigurationDelta delta{7, 8, expected.digest(),
                           configuration.DifferenceTo(target)};
  EXPECT_EQ(configuration.Apply(delta), expected);
  delta.from = 6;
  EXPECT_THROW(configuration.Apply(delta), Error);
  delta.from = 7;
  delta.digest ^= 1;
  EXPECT_THROW(configuration.Apply(delta), Error);
}

// Guards against parts shared between versions that are not updated by a delta,
// and against a delta that modifies the version that it is applied to.
TEST(ConfigurationTest, ApplyingDeltasEqualsParsingAllEntries) {
  std::mt19937_64 random(9);
  const auto name = [&random] { return "s" + std::to_string(random() % 6); };
  Configuration configuration;
  for (ConfigurationVersion version = 1; version <= 500; ++version) {
    Configuration::Entries target = configuration.entries();
    for (int changes = 0; changes < 2; ++changes) {
      Service service{name(), 1, 2, std::chrono::seconds(1), {name()}};
      Rule rule;
      rule.name = "r" + std::to_string(random() % 6);
      rule.service = name();
      rule.importance = static_cast<Importance>(random() % 3);
      Limits limits;
      limits.retry_allotment = static_cast<std::uint32_t>(random() % 9);
      const AvailabilityZone zone{name(), name()};
      const std::vector<std::pair<std::string, std::string>> candidates = {
          {"service/" + service.name, CanonicalText(service)},
          {"rule/" + rule.name, CanonicalText(rule)},
          {"limit/l" + std::to_string(random() % 2), CanonicalText(limits)},
          {"zone/" + zone.name, CanonicalText(zone)}};
      const auto& [key, value] = candidates[random() % candidates.size()];
      if (random() % 3 == 0)
        target.erase(key);
      else
        target[key] = value;
    }
    const Configuration parsed(version, target);
    const Configuration before = configuration;
    const ConfigurationDelta delta{version - 1, version, parsed.digest(),
                                   configuration.DifferenceTo(target)};
    const Configuration applied = configuration.Apply(delta);
    ASSERT_EQ(configuration, before);
    ASSERT_EQ(applied, parsed);
    ASSERT_EQ(applied.digest(), parsed.digest());
    ASSERT_EQ(applied.services(), parsed.services());
    ASSERT_EQ(applied.rules(), parsed.rules());
    ASSERT_EQ(applied.zones(), parsed.zones());
    ASSERT_EQ(applied.limits(), parsed.limits());
    for (int i = 0; i < 6; ++i) {
      const std::string service = "s" + std::to_string(i);
      ASSERT_EQ(applied.DownstreamServices(service),
                parsed.DownstreamServices(service));
      ASSERT_EQ(applied.Classify(service, "GET", "/"),
                parsed.Classify(service, "GET", "/"));
    }
    configuration = applied;
  }
}

// Guards against a delta with invalid entries that takes effect in part.
TEST(ConfigurationTest, RejectsADeltaWithInvalidEntries) {
  const Configuration configuration = MakeConfiguration();
  ConfigurationDelta delta{7, 8, 0, {{"service/orders", "{slots: many}"}}};
  EXPECT_THROW(configuration.Apply(delta), Error);
  delta.changes = {{"colour/orders", "{}"}};
  EXPECT_THROW(configuration.Apply(delta), Error);
  EXPECT_EQ(configuration, MakeConfiguration());
}

TEST(ConfigurationTest, RejectsDurationsWithoutAUnit) {
  EXPECT_EQ(ParseDuration("250ms"), std::chrono::milliseconds(250));
  EXPECT_EQ(ParseDuration("250"), std::nullopt);
  EXPECT_EQ(ParseDuration("99999999999999m"), std::nullopt);
  EXPECT_EQ(ParseDecimalDuration("2.5s"), std::chrono::milliseconds(2500));
  EXPECT_EQ(ParseDecimalDuration("86401s"), std::nullopt);
  EXPECT_EQ(FormatDuration(std::chrono::seconds(90)), "90s");
}

}  // namespace
}  // namespace sesamespread::state
