/// \file
/// Guards against scenario files that are parsed to other values than they
/// state, and against invalid files that are accepted.
#include "sesamespread/state/load_scenario.h"

#include <gtest/gtest.h>

namespace sesamespread::state {
namespace {

using namespace std::chrono_literals;

constexpr char kScenario[] = R"(
duration: 30s
seed: 7
kinds:
  - {name: orders, method: POST, path: /orders/new, share: 2, timeout: 2s,
     key: issued, body_bytes: 100, repeats: 3, patience: 400ms,
     on_repeat: keep, after_refusal: wait}
  - {name: browsing, path: /inventory/all, timeout: 1s}
phases:
  - {rate: 100}
  - {at: 10s, rate: 300}
disturbances:
  - {name: slow, at: 5s, server: prices, body: '{"slow_factor":10}', ends: true}
)";

TEST(LoadScenarioTest, ReadsAllFields) {
  const LoadScenario scenario = ParseLoadScenario({"a.yaml", kScenario});
  LoadScenario expected;
  expected.duration = 30s;
  expected.seed = 7;
  expected.kinds = {{"orders", "POST", "/orders/new", 2, 2s, LoadKey::kIssued,
                     100, 3, 400ms, false, AfterRefusal::kWait},
                    {"browsing", "GET", "/inventory/all", 1, 1s}};
  expected.phases = {{0s, 100}, {10s, 300}};
  expected.disturbances = {
      {"slow", 5s, "prices", "/-/control", "{\"slow_factor\":10}", true}};
  EXPECT_EQ(scenario, expected);
}

TEST(LoadScenarioTest, ReportsAllErrorsAtOnce) {
  try {
    ParseLoadScenario({"a.yaml",
                       "duration: 10\n"
                       "kinds:\n"
                       "  - {name: a, path: /a, timeot: 1s, repeats: 3}\n"
                       "  - {name: a, path: a, timeout: 1s}\n"
                       "phases:\n"
                       "  - {at: 3s, rate: 5}\n"
                       "  - {at: 2s, rate: 5}\n"});
    FAIL() << "accepted";
  } catch (const ValidationError& error) {
    EXPECT_EQ(error.code(), ResultCode::kSettingsInvalid);
    EXPECT_EQ(error.diagnostics().size(), 8U) << error.what();
    EXPECT_NE(std::string(error.what())
                  .find("a.yaml:3:25: error: unknown "
                        "field 'timeot'; did you mean "
                        "'timeout'?"),
              std::string::npos)
        << error.what();
  }
}

}  // namespace
}  // namespace sesamespread::state
