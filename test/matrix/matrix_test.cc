/// \file
/// The cells of the fault matrix: each step of a request, a configuration
/// change and a drain with each fault. A cell guards against the loss of the
/// invariants of docs/design.md, section 1.2, when that fault meets that step.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>

#include "results.h"
#include "world.h"

namespace sesamespread::matrix {
namespace {

struct CellParameter {
  const World::Step* step;
  std::vector<const World::Fault*> faults;

  std::string fault_name() const {
    std::string name;
    for (const World::Fault* fault : faults)
      name += (name.empty() ? "" : "+") + std::string(fault->name);
    return name;
  }
};

std::string NameOfCell(const ::testing::TestParamInfo<CellParameter>& info) {
  std::string name =
      std::string(info.param.step->name) + "__" + info.param.fault_name();
  std::replace(name.begin(), name.end(), '+', '_');
  return name;
}

std::vector<CellParameter> Singles() {
  std::vector<CellParameter> cells;
  for (const World::Step& step : World::Steps()) {
    for (const World::Fault& fault : World::Faults())
      cells.push_back({&step, {&fault}});
  }
  return cells;
}

const World::Fault* FaultOf(const std::string& name) {
  for (const World::Fault& fault : World::Faults()) {
    if (fault.name == name)
      return &fault;
  }
  throw std::invalid_argument("no fault " + name);
}

// Pairs that meet in one incident: a loss during a store outage, repeats of
// callers while their executor is paused or slow, two losses at once.
std::vector<CellParameter> Pairs() {
  static constexpr std::pair<const char*, const char*> kPairs[] = {
      {"node_killed", "store_down"},   {"paused_holder", "client_retries"},
      {"backend_killed", "surge"},     {"slow_deep", "client_retries"},
      {"entry_killed", "node_killed"}, {"store_slow", "operator_race"},
      {"reply_lost", "operator_race"}};
  std::vector<CellParameter> cells;
  for (const World::Step& step : World::Steps()) {
    const std::string name = step.name;
    if (name != "running" && name != "sent")
      continue;
    for (const auto& [first, second] : kPairs)
      cells.push_back({&step, {FaultOf(first), FaultOf(second)}});
  }
  return cells;
}

class Cell : public ::testing::TestWithParam<CellParameter> {};

TEST_P(Cell, KeepsInvariants) {
  const CellParameter& cell = GetParam();
  const std::string step = cell.step->name;
  const std::string fault = cell.fault_name();
  for (const World::Fault* one : cell.faults) {
    if (one->inject)
      continue;
    Report({step, fault, Verdict::kNotTried,
            "the links between nodes can't be led through a relay"});
    return;
  }
  World& world = World::Shared();
  const std::vector<std::string> violations =
      world.RunCell(*cell.step, cell.faults);
  std::string detail = world.detail();
  for (const std::string& violation : violations)
    detail += "; " + violation;
  Report({step, fault, violations.empty() ? Verdict::kHolds : Verdict::kRed,
          detail});
  // A cell may leave the deployment in any state after a violation.
  if (!violations.empty())
    World::Reset();
  EXPECT_TRUE(violations.empty() || IsKnownRed(step, fault)) << detail;
}

INSTANTIATE_TEST_SUITE_P(Singles,
                         Cell,
                         ::testing::ValuesIn(Singles()),
                         NameOfCell);
INSTANTIATE_TEST_SUITE_P(Pairs, Cell, ::testing::ValuesIn(Pairs()), NameOfCell);

}  // namespace
}  // namespace sesamespread::matrix
