/// \file
/// The cells of the fault matrix: each step of a request, a configuration
/// change and a drain, combined with each fault. A cell guards against a
/// violation of the invariants of docs/design.md, section 1.2, if that fault
/// occurs during that step.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>

#include "matrix_deployment.h"
#include "results.h"

namespace sesamespread::matrix {
namespace {

struct CellParameter {
  const MatrixDeployment::Step* step;
  std::vector<const MatrixDeployment::Fault*> faults;

  std::string fault_name() const {
    std::string name;
    for (const MatrixDeployment::Fault* fault : faults)
      name += (name.empty() ? "" : "+") + std::string(fault->name);
    return name;
  }
};

std::string CellName(const ::testing::TestParamInfo<CellParameter>& info) {
  std::string name =
      std::string(info.param.step->name) + "__" + info.param.fault_name();
  std::replace(name.begin(), name.end(), '+', '_');
  return name;
}

std::vector<CellParameter> SingleFaultCells() {
  std::vector<CellParameter> cells;
  for (const MatrixDeployment::Step& step : MatrixDeployment::Steps()) {
    for (const MatrixDeployment::Fault& fault : MatrixDeployment::Faults())
      cells.push_back({&step, {&fault}});
  }
  return cells;
}

const MatrixDeployment::Fault* FindFault(const std::string& name) {
  for (const MatrixDeployment::Fault& fault : MatrixDeployment::Faults()) {
    if (fault.name == name)
      return &fault;
  }
  throw std::invalid_argument("unknown fault of the matrix: " + name);
}

// Faults that occur together in one incident: a killed node during a store
// outage, a killed backend server during a surge, repeats by callers while the
// executor is paused or a service is slow, two killed nodes, concurrent changes
// by operators while the store is slow or loses a reply.
std::vector<CellParameter> FaultPairCells() {
  static constexpr std::pair<const char*, const char*> kPairs[] = {
      {"node_killed", "store_down"},   {"paused_holder", "client_retries"},
      {"backend_killed", "surge"},     {"slow_deep", "client_retries"},
      {"entry_killed", "node_killed"}, {"store_slow", "operator_race"},
      {"reply_lost", "operator_race"}};
  std::vector<CellParameter> cells;
  for (const MatrixDeployment::Step& step : MatrixDeployment::Steps()) {
    const std::string name = step.name;
    if (name != "running" && name != "sent")
      continue;
    for (const auto& [first, second] : kPairs)
      cells.push_back({&step, {FindFault(first), FindFault(second)}});
  }
  return cells;
}

class Cell : public ::testing::TestWithParam<CellParameter> {};

TEST_P(Cell, KeepsInvariants) {
  const CellParameter& cell = GetParam();
  const std::string step = cell.step->name;
  const std::string fault = cell.fault_name();
  for (const MatrixDeployment::Fault* one : cell.faults) {
    if (one->inject)
      continue;
    Report({step, fault, Verdict::kNotTried,
            "links between nodes cannot be routed through a proxy"});
    return;
  }
  MatrixDeployment& deployment = MatrixDeployment::Shared();
  const std::vector<std::string> violations =
      deployment.RunCell(*cell.step, cell.faults);
  std::string detail = deployment.detail();
  for (const std::string& violation : violations)
    detail += "; " + violation;
  Report({step, fault, violations.empty() ? Verdict::kHolds : Verdict::kRed,
          detail});
  // A cell may leave the deployment in any state after a violation.
  if (!violations.empty())
    MatrixDeployment::Reset();
  EXPECT_TRUE(violations.empty() || IsKnownRed(step, fault)) << detail;
}

INSTANTIATE_TEST_SUITE_P(Singles,
                         Cell,
                         ::testing::ValuesIn(SingleFaultCells()),
                         CellName);
INSTANTIATE_TEST_SUITE_P(Pairs,
                         Cell,
                         ::testing::ValuesIn(FaultPairCells()),
                         CellName);

}  // namespace
}  // namespace sesamespread::matrix
