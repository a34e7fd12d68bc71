/// \file
/// Guards against differences between docs/RESULT_CODES.md and the table of
/// result codes.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

#include "sesamespread/state/result_code.h"

namespace sesamespread::state {
namespace {

TEST(ResultCodesPageTest, HasOneRowForEachCode) {
  std::ifstream page(std::string(SESAMESPREAD_SOURCE_DIR) +
                     "/docs/RESULT_CODES.md");
  std::vector<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.size() > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9')
      rows.push_back(line);
  }
  ASSERT_EQ(rows.size(), AllResultCodes().size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const ResultCodeInfo& info = AllResultCodes()[i];
    const std::string expected =
        "| " + std::to_string(static_cast<int>(info.code)) + " | `" +
        std::string(info.name) + "` | " + std::to_string(info.http_status) +
        " | `" + std::string(ToString(info.run_state)) + "` | " +
        std::string(info.title) + " | ";
    EXPECT_EQ(rows[i].substr(0, expected.size()), expected);
    EXPECT_GT(rows[i].size(), expected.size() + 2) << "no advice: " << rows[i];
  }
}

}  // namespace
}  // namespace sesamespread::state
