/// \file
/// Runs the cells and prints the table after them. With `--shards=<n>` first,
/// n processes with a deployment each share the cells.
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
#include "results.h"
#include "world.h"

namespace sesamespread::matrix {
namespace {

constexpr std::chrono::milliseconds kLinePoll{200};

// Takes over a shard's line, but for its own table.
void PassOn(const std::string& line) {
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
        PassOn(process->ReadLine(kLinePoll));
      std::istringstream rest(process->ReadAll());
      std::string line;
      while (std::getline(rest, line))
        PassOn(line);
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
  World::Reset();
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
