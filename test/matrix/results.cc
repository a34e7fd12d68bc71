/// \file
/// Implementation of the results and the table of the fault matrix.
#include "results.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>

#include "harness/process.h"

namespace sesamespread::matrix {
namespace {

std::vector<CellResult>& Results() {
  static std::vector<CellResult> results;
  return results;
}

const char* NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kHolds:
      return "holds";
    case Verdict::kRed:
      return "red";
    case Verdict::kNotTried:
      return "not tried";
  }
  return "";
}

void AddOnce(std::vector<std::string>& names, const std::string& name) {
  if (std::find(names.begin(), names.end(), name) == names.end())
    names.push_back(name);
}

}  // namespace

void Report(CellResult result) {
  fmt::print("cell {} {} {} {}\n", result.step, result.fault,
             NameOf(result.verdict), result.detail);
  std::fflush(stdout);
  Results().push_back(std::move(result));
}

bool ReportLine(const std::string& line) {
  static std::mutex mutex;
  std::istringstream words(line);
  std::string word;
  CellResult result;
  words >> word >> result.step >> result.fault;
  if (word != "cell")
    return false;
  std::string rest;
  std::getline(words >> std::ws, rest);
  for (const Verdict verdict :
       {Verdict::kHolds, Verdict::kRed, Verdict::kNotTried}) {
    const std::string name = NameOf(verdict);
    if (!rest.starts_with(name + " "))
      continue;
    result.verdict = verdict;
    result.detail = rest.substr(name.size() + 1);
    const std::lock_guard lock(mutex);
    Report(std::move(result));
    return true;
  }
  return false;
}

bool IsKnownRed(const std::string& step, const std::string& fault) {
  std::ifstream file(bench::SourceDir() + "/KNOWN-RED.txt");
  const std::string wanted = fmt::format("cell: {} {}", step, fault);
  std::string line;
  while (std::getline(file, line)) {
    if (line == wanted)
      return true;
  }
  return false;
}

void PrintTable() {
  if (Results().empty())
    return;
  std::vector<std::string> steps;
  std::vector<std::string> faults;
  std::map<std::pair<std::string, std::string>, Verdict> cells;
  int counts[3] = {};
  for (const CellResult& result : Results()) {
    AddOnce(steps, result.step);
    AddOnce(faults, result.fault);
    cells[{result.step, result.fault}] = result.verdict;
    ++counts[static_cast<int>(result.verdict)];
  }
  fmt::print("\n| fault |");
  for (const std::string& step : steps)
    fmt::print(" {} |", step);
  fmt::print("\n| --- |");
  for (std::size_t i = 0; i < steps.size(); ++i)
    fmt::print(" --- |");
  fmt::print("\n");
  for (const std::string& fault : faults) {
    fmt::print("| {} |", fault);
    for (const std::string& step : steps) {
      const auto cell = cells.find({step, fault});
      fmt::print(" {} |", cell == cells.end() ? "" : NameOf(cell->second));
    }
    fmt::print("\n");
  }
  const int red = counts[static_cast<int>(Verdict::kRed)];
  fmt::print("\nmatrix {} tried, {} red, {} not tried\n",
             red + counts[static_cast<int>(Verdict::kHolds)], red,
             counts[static_cast<int>(Verdict::kNotTried)]);
}

}  // namespace sesamespread::matrix
