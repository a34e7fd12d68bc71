/// \file
/// Runs the cells of the fault matrix and prints their table. If the first
/// argument is `--shards=<n>`, the cells are divided among n processes, each
/// with a deployment of its own.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "harness/process.h"
#include "matrix_deployment.h"
#include "results.h"

namespace sesamespread::matrix {
namespace {

constexpr std::chrono::milliseconds kLinePollInterval{200};

// Records or prints a line of a shard. The table that the shard prints is
// dropped, since the parent prints the table of all cells.
void ForwardLine(const std::string& line) {
  if (line.empty() || line.starts_with("|") || line.starts_with("matrix "))
    return;
  if (!ReportLine(line))
    fmt::print("{}\n", line);
}

int RunShards(int shards, const std::vector<std::string>& arguments) {
  std::vector<std::unique_ptr<bench::Process>> processes;
  setenv("GTEST_TOTAL_SHARDS", std::to_string(shards).c_str(), 1);
  for (int i = 0; i < shards; ++i) {
    setenv("GTEST_SHARD_INDEX", std::to_string(i).c_str(), 1);
    processes.push_back(std::make_unique<bench::Process>(
        arguments, fmt::format("/dev/fd/{}", fileno(stderr))));
  }
  std::vector<std::thread> readers;
  readers.reserve(processes.size());
  for (const auto& process : processes) {
    readers.emplace_back([&process] {
      while (process->Wait(std::chrono::milliseconds(0)) == -1)
        ForwardLine(process->ReadLine(kLinePollInterval));
      std::istringstream rest(process->ReadAll());
      std::string line;
      while (std::getline(rest, line))
        ForwardLine(line);
    });
  }
  for (std::thread& reader : readers)
    reader.join();
  int exit_code = 0;
  for (const auto& process : processes)
    exit_code =
        std::max(exit_code, process->Wait(std::chrono::milliseconds(0)));
  return exit_code;
}

int Run(int argc, char** argv) {
  constexpr std::string_view kShards = "--shards=";
  if (argc > 1 && std::string_view(argv[1]).starts_with(kShards)) {
    std::vector<std::string> arguments = {argv[0]};
    arguments.insert(arguments.end(), argv + 2, argv + argc);
    const int exit_code =
        RunShards(std::atoi(argv[1] + kShards.size()), arguments);
    PrintTable();
    return exit_code;
  }
  ::testing::InitGoogleTest(&argc, argv);
  const int exit_code = RUN_ALL_TESTS();
  MatrixDeployment::Reset();
  PrintTable();
  return exit_code;
}

}  // namespace
}  // namespace sesamespread::matrix

int main(int argc, char** argv) {
  try {
    return sesamespread::matrix::Run(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "matrix_tests: {}\n", error.what());
    return 1;
  }
}
