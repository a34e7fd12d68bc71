/// \file
/// Guards against a documentation page that differs from the metrics that a
/// node exports.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "sesamespread/transport/metrics.h"

namespace sesamespread::transport {
namespace {

using TypeByName = std::map<std::string, std::string>;

TypeByName PrintedTypes(const std::string& text) {
  TypeByName types;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string hash;
    std::string keyword;
    std::string name;
    std::string type;
    if (words >> hash >> keyword >> name >> type && keyword == "TYPE")
      types[name] = type;
  }
  return types;
}

// Rows start with "| `sesamespread_...` | type |".
TypeByName DocumentedTypes() {
  std::ifstream page(std::string(SESAMESPREAD_SOURCE_DIR) + "/docs/METRICS.md");
  TypeByName types;
  for (std::string line; std::getline(page, line);) {
    if (line.rfind("| `", 0) != 0)
      continue;
    std::istringstream words(line);
    std::string bar;
    std::string name;
    std::string type;
    words >> bar >> name >> bar >> type;
    EXPECT_TRUE(types.emplace(name.substr(1, name.size() - 2), type).second)
        << "two rows for " << name;
  }
  return types;
}

TEST(MetricsPageTest, HasOneRowForEachMetric) {
  Metrics metrics;
  // A metric family is exported only once it has a time series.
  metrics.CountRequest("orders", state::ResultCode::kOk,
                       std::chrono::milliseconds(1));
  metrics.CountExecution("orders", state::ResultCode::kOk);
  metrics.CountRetry("orders");
  metrics.CountAnswer(200, AnswerSource::kSealed, state::ResultCode::kOk);
  metrics.SetGauges(NodeGauges());
  const TypeByName printed = PrintedTypes(metrics.Serialize());
  EXPECT_FALSE(printed.empty());
  EXPECT_EQ(printed, DocumentedTypes());
}

}  // namespace
}  // namespace sesamespread::transport
