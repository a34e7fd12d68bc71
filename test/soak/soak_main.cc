/// \file
/// Command-line program that runs soaks of route nodes, for example
/// `route_soak --seeds 50 --first 1`.
#include <fmt/format.h>

#include <cxxopts.hpp>
#include <exception>
#include <random>

#include "route_soak.h"

int main(int argc, char** argv) {
  using sesamespread::test::SoakOptions;
  cxxopts::Options options("route_soak", "Randomized soak of route nodes");
  options.add_options()("first", "First seed; random if 0",
                        cxxopts::value<std::uint64_t>()->default_value("0"))(
      "seeds", "Number of seeds",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "bytes", "Add late copies of answers, breaks and bytes without end")(
      "statements", "Add rate limits and leaves that backend servers state")(
      "restores", "Add a store that comes back from an older copy")(
      "seconds", "Time with faults for each seed",
      cxxopts::value<int>()->default_value("10"))(
      "logs", "Directory for the logs of failed seeds",
      cxxopts::value<std::string>()->default_value("."))("help", "Show help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      fmt::print("{}", options.help());
      return 0;
    }
    std::uint64_t first = arguments["first"].as<std::uint64_t>();
    if (first == 0)
      first = std::random_device()() * 1000ULL;
    int failed = 0;
    for (std::uint64_t i = 0; i < arguments["seeds"].as<std::uint64_t>(); ++i) {
      SoakOptions soak;
      soak.seed = first + i;
      soak.duration = std::chrono::seconds(arguments["seconds"].as<int>());
      soak.has_byte_faults = arguments.count("bytes") > 0;
      soak.has_server_statements = arguments.count("statements") > 0;
      soak.has_store_restores = arguments.count("restores") > 0;
      soak.log_directory = arguments["logs"].as<std::string>();
      const auto report = sesamespread::test::RunRouteSoak(soak);
      fmt::print(
          "seed {}: {} requests, {} answered, {} refused, {} faults: {}\n",
          soak.seed, report.requests, report.answered, report.refused,
          report.faults, report.violations.empty() ? "ok" : "FAILED");
      for (const std::string& violation : report.violations)
        fmt::print("  {}\n", violation);
      std::fflush(stdout);
      failed += report.violations.empty() ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    fmt::print(stderr, "route_soak: {}\n", error.what());
    return 2;
  }
}
