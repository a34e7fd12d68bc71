/// \file
/// Guards against a configuration that is read back differently from what was
/// written, and against deltas that are applied to the wrong version.
#include "sesamespread/state/configuration.h"

#include <gtest/gtest.h>

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

TEST(ConfigurationTest, ReadsBackCanonicalText) {
  const Configuration configuration = MakeConfiguration();
  EXPECT_EQ(configuration.FindService("orders")->slots, 160u);
  EXPECT_EQ(configuration.ServicesBelow("orders"),
            std::vector<std::string>{"prices"});
  const Classification order = configuration.Classify("orders", "POST", "/new");
  EXPECT_EQ(order.importance, Importance::kCritical);
  EXPECT_FALSE(order.repeatable);
  EXPECT_EQ(order.answer_within, std::chrono::milliseconds(1500));
  EXPECT_TRUE(configuration.Classify("prices", "GET", "/").repeatable);
}

TEST(ConfigurationTest, AppliesOnlyDeltasFromItsOwnVersion) {
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

TEST(ConfigurationTest, DurationsNeedAUnit) {
  EXPECT_EQ(ParseDuration("250ms"), std::chrono::milliseconds(250));
  EXPECT_EQ(ParseDuration("250"), std::nullopt);
  EXPECT_EQ(ParseDuration("99999999999999m"), std::nullopt);
  EXPECT_EQ(FormatDuration(std::chrono::seconds(90)), "90s");
}

}  // namespace
}  // namespace sesamespread::state
