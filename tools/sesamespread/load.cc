/// \file
/// The verb `load`: sends the requests of a scenario and prints the results.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "exit_codes.h"
#include "sesamespread/state/settings.h"
#include "sesamespread/transport/load_generator.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

constexpr std::chrono::seconds kProgressInterval{1};

constexpr char kExamples[] =
    "\nExamples:\n"
    "  sesamespread load --scenario test/scenarios/surge.load.yaml \\\n"
    "      --target 127.0.0.1:8000,127.0.0.1:8001\n"
    "  sesamespread load --scenario test/scenarios/slow-deep.load.yaml \\\n"
    "      --target 127.0.0.1:8000 --control prices=127.0.0.1:9000 \\\n"
    "      --csv slow-deep.csv --output json\n"
    "  sesamespread load --scenario test/scenarios/steady.load.yaml \\\n"
    "      --target 127.0.0.1:9000 --baseline --rate 60 --duration 10s\n";

/// An invalid option or argument.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using Strings = std::vector<std::string>;

state::Endpoint EndpointOf(const std::string& text) {
  state::Endpoint endpoint;
  if (!state::ParseEndpoint(text, &endpoint))
    throw UsageError(
        fmt::format("'{}' is not an IP address with a port", text));
  return endpoint;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw UsageError(fmt::format("cannot read file '{}'", path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

state::LoadScenario ScenarioOf(const cxxopts::ParseResult& parsed) {
  const std::string path = parsed["scenario"].as<std::string>();
  state::LoadScenario scenario =
      state::ParseLoadScenario({path, ReadFile(path)});
  if (parsed.count("rate") > 0)
    scenario.phases = {{state::Duration(0), parsed["rate"].as<unsigned>()}};
  if (parsed.count("seed") > 0)
    scenario.seed = parsed["seed"].as<unsigned>();
  if (parsed.count("duration") == 0)
    return scenario;
  const std::string text = parsed["duration"].as<std::string>();
  const auto duration = state::ParseDuration(text);
  if (!duration || duration->count() <= 0)
    throw UsageError(fmt::format(
        "--duration: '{}' is not a positive duration with a unit, such as "
        "10s",
        text));
  scenario.duration = *duration;
  return scenario;
}

transport::LoadOptions OptionsOf(const cxxopts::ParseResult& parsed) {
  transport::LoadOptions options;
  for (const std::string& target : parsed["target"].as<Strings>())
    options.targets.push_back(EndpointOf(target));
  options.baseline = parsed.count("baseline") > 0;
  options.verify = parsed.count("no-verify") == 0;
  options.max_connections_per_target = parsed["connections"].as<unsigned>();
  if (parsed.count("control") == 0)
    return options;
  for (const std::string& text : parsed["control"].as<Strings>()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos)
      throw UsageError(fmt::format("'{}' is not <name>=<IP>:<port>", text));
    options.control[text.substr(0, equals)].push_back(
        EndpointOf(text.substr(equals + 1)));
  }
  return options;
}

void CheckControlTargets(const state::LoadScenario& scenario,
                         const transport::LoadOptions& options) {
  for (const state::LoadDisturbance& disturbance : scenario.disturbances) {
    if (options.control.count(disturbance.server) == 0)
      throw UsageError(
          fmt::format("the disturbance '{}' needs --control {}=<IP>:<port>",
                      disturbance.name, disturbance.server));
  }
}

/// Prints a line of progress every kProgressInterval.
class Progress {
 public:
  Progress(boost::asio::io_context& context,
           const transport::LoadGenerator& generator)
      : timer_(context), generator_(generator) {
    Schedule();
  }

  void Stop() { timer_.cancel(); }

 private:
  void Schedule() {
    timer_.expires_after(kProgressInterval);
    timer_.async_wait([this](const auto& error) {
      if (error)
        return;
      const transport::LoadCounts total = generator_.report().Total();
      fmt::print(
          stderr, "{:.0f} s: {} offered, {} in time, {} refused, {} repeats\n",
          std::chrono::duration<double>(generator_.elapsed()).count(),
          total.offered, total.in_time(), total.outcomes[1], total.repeats);
      Schedule();
    });
  }

  boost::asio::steady_timer timer_;
  const transport::LoadGenerator& generator_;
};

int Run(const cxxopts::ParseResult& parsed) {
  const std::string output = parsed["output"].as<std::string>();
  if (output != "table" && output != "json")
    throw UsageError(
        fmt::format("--output must be table or json, not '{}'", output));
  state::LoadScenario scenario = ScenarioOf(parsed);
  transport::LoadOptions options = OptionsOf(parsed);
  CheckControlTargets(scenario, options);
  boost::asio::io_context context(1);
  transport::LoadGenerator generator(context, std::move(scenario),
                                     std::move(options));
  Progress progress(context, generator);
  generator.Start([&] {
    progress.Stop();
    context.stop();
  });
  context.run();
  const transport::LoadReport& report = generator.report();
  if (parsed.count("csv") > 0) {
    const std::string path = parsed["csv"].as<std::string>();
    std::ofstream file(path);
    file << transport::FormatLoadCsv(report);
    if (!file.flush())
      throw UsageError(fmt::format("cannot write file '{}'", path));
  }
  fmt::print("{}", output == "json" ? transport::FormatLoadJson(report)
                                    : transport::FormatLoadTable(report));
  const transport::LoadCounts total = report.Total();
  const auto count = [&](transport::LoadOutcome end) {
    return total.outcomes[static_cast<std::size_t>(end)];
  };
  // Wrong or truncated answers fail the run, regardless of the goodput.
  const bool wrong = count(transport::LoadOutcome::kWrong) > 0 ||
                     count(transport::LoadOutcome::kTruncated) > 0;
  return wrong ? kExitFailed : kExitOk;
}

cxxopts::Options CommandLine() {
  cxxopts::Options options("sesamespread load",
                           "Sends the requests of a scenario on a fixed "
                           "schedule and prints the results.");
  auto add = options.add_options();
  add("scenario", "Scenario file (YAML)", cxxopts::value<std::string>(),
      "FILE");
  add("target", "Caller ports, or backend servers with --baseline",
      cxxopts::value<Strings>(), "IP:PORT,...");
  add("baseline", "The targets are backend servers");
  add("rate", "Requests per second; replaces the phases of the scenario",
      cxxopts::value<unsigned>());
  add("duration", "Replaces the duration of the scenario",
      cxxopts::value<std::string>());
  add("seed", "Replaces the seed of the scenario", cxxopts::value<unsigned>());
  add("control", "Control port of a server that disturbances refer to",
      cxxopts::value<Strings>(), "NAME=IP:PORT,...");
  add("connections", "Maximum connections to one target",
      cxxopts::value<unsigned>()->default_value("1000"));
  add("no-verify", "Do not check the content of answers");
  add("csv", "Write the time series to this file",
      cxxopts::value<std::string>(), "FILE");
  add("output", "table or json",
      cxxopts::value<std::string>()->default_value("table"));
  add("help", "Show this help");
  return options;
}

}  // namespace

int RunLoad(int argc, char** argv) {
  cxxopts::Options options = CommandLine();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      fmt::print("{}{}", options.help(), kExamples);
      return kExitOk;
    }
    if (parsed.count("scenario") == 0 || parsed.count("target") == 0)
      throw UsageError("--scenario and --target are required");
    return Run(parsed);
  } catch (const state::Error& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitInvalid;
  } catch (const std::exception& error) {
    fmt::print(stderr, "sesamespread load: {}\n", error.what());
    return kExitUsage;
  }
}

}  // namespace sesamespread::tools
