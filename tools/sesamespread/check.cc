/// \file
/// The verbs `check` and `explain`.
#include <fmt/format.h>

#include <algorithm>

#include "command.h"
#include "operator_document.h"
#include "operator_document_check.h"
#include "sesamespread/coordination/configuration_reader.h"
#include "sesamespread/state/request_context.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

using state::Configuration;

// Collects the faults of several files, so that all are reported together.
class FaultCollector {
 public:
  template <typename Body>
  void Collect(Body body) {
    try {
      body();
    } catch (const state::ValidationError& error) {
      code_ = error.code();
      faults_.insert(faults_.end(), error.diagnostics().begin(),
                     error.diagnostics().end());
    }
  }

  void ThrowIfAny() {
    if (!faults_.empty())
      throw state::ValidationError(code_, std::move(faults_));
  }

 private:
  state::ResultCode code_ = state::ResultCode::kConfigurationInvalid;
  std::vector<state::Diagnostic> faults_;
};

std::vector<std::string> ZoneNames(const Configuration& configuration) {
  std::vector<std::string> names;
  for (const auto& [name, zone] : configuration.zones())
    names.push_back(name);
  return names;
}

// Checks the operator's document that --document names and prints its
// differences from the one that --against names.
int CheckDocument(const Command& command) {
  const state::SourceText source =
      ReadSource(command.Get<std::string>("document"));
  auto faults = platform::CheckOperatorDocument(source);
  if (!faults.empty())
    throw state::ValidationError(state::ResultCode::kConfigurationInvalid,
                                 std::move(faults));
  const state::RouteSet set = platform::DecodeOperatorDocument(source.text);
  std::vector<std::string> differences;
  if (command.Has("against")) {
    const state::RouteSet before = platform::DecodeOperatorDocument(
        ReadSource(command.Get<std::string>("against")).text);
    differences = platform::CompareRouteSets(before, set);
    if (set.version <= before.version)
      differences.insert(differences.begin(),
                         fmt::format("the version r{} does not follow r{}: the "
                                     "document would not take effect",
                                     set.version, before.version));
  }
  if (command.is_json()) {
    fmt::print(R"({{"result": 100, "routes": {}, "tenants": {}, )"
               R"("differences": {}}})"
               "\n",
               set.routes.size(), set.tenants.size(), JsonList(differences));
    return kExitOk;
  }
  fmt::print("valid: version r{}, {} routes, {} services, {} tenants\n",
             set.version, set.routes.size(), set.services.size(),
             set.tenants.size());
  for (const std::string& difference : differences)
    fmt::print("{}\n", difference);
  return kExitOk;
}

int Check(const Command& command) {
  if (command.Has("against") && !command.Has("document"))
    throw UsageError("--against needs --document");
  if (command.Has("document")) {
    if (command.Has("node") || !command.arguments().empty())
      throw UsageError("--document is checked alone");
    return CheckDocument(command);
  }
  if (command.Has("reference")) {
    fmt::print("{}", state::ReferencePage());
    return kExitOk;
  }
  std::vector<std::string> node_files;
  if (command.Has("node"))
    node_files = command.Get<std::vector<std::string>>("node");
  const auto sources = command.ReadArguments();
  if (sources.empty() && node_files.empty())
    throw UsageError("no file was given");
  FaultCollector faults;
  Configuration configuration;
  if (!sources.empty()) {
    faults.Collect([&] {
      configuration = Configuration(0, state::ParseInventory(sources));
    });
  }
  for (const std::string& path : node_files) {
    faults.Collect([&] {
      state::ParseNodeSettings(ReadSource(path), ZoneNames(configuration));
    });
  }
  faults.ThrowIfAny();
  if (command.is_json())
    fmt::print(R"({{"result": 100, "entries": {}, "node_files": {}}})"
               "\n",
               configuration.entries().size(), node_files.size());
  else
    fmt::print("valid: {} entries, {} node settings\n",
               configuration.entries().size(), node_files.size());
  return kExitOk;
}

Configuration ConfigurationFor(const Command& command) {
  const auto sources = command.ReadArguments();
  if (!sources.empty())
    return {0, state::ParseInventory(sources)};
  const auto platform = command.ConnectPlatform();
  return coordination::ReadContent(*platform);
}

std::string JsonOf(const Configuration& configuration,
                   const state::Classification& found,
                   const std::string& service) {
  const std::uint32_t first = static_cast<std::uint32_t>(found.importance) *
                              state::kPrioritiesPerImportance;
  return fmt::format(
      R"({{"version": {}, "rule": {}, "importance": "{}", "repeatable": {}, )"
      R"("answer_within": "{}", "first_priority": {}, "last_priority": {}, )"
      R"("services_below": {}, "retry_allotment": {}}})",
      configuration.version(), coordination::JsonString(found.rule),
      ToString(found.importance), found.repeatable,
      state::FormatDuration(found.answer_within), first,
      first + state::kPrioritiesPerImportance - 1,
      JsonList(configuration.DownstreamServices(service)),
      configuration.limits().retry_allotment);
}

std::string TextOf(const Configuration& configuration,
                   const state::Classification& found,
                   const std::string& service) {
  const std::uint32_t first = static_cast<std::uint32_t>(found.importance) *
                              state::kPrioritiesPerImportance;
  const auto& below = configuration.DownstreamServices(service);
  return fmt::format(
      "rule:            {}\n"
      "importance:      {} (priorities {} to {} of {}; lower ones are shed "
      "last)\n"
      "repeatable:      {}\n"
      "answer within:   {}\n"
      "services below:  {}\n"
      "retry allotment: {} for the whole chain of calls",
      found.rule.empty() ? "none applies" : found.rule,
      ToString(found.importance), first,
      first + state::kPrioritiesPerImportance - 1, state::kPriorityCount,
      found.repeatable ? "yes" : "no, runs at most once",
      state::FormatDuration(found.answer_within),
      below.empty() ? "none" : fmt::format("{}", fmt::join(below, ", ")),
      configuration.limits().retry_allotment);
}

int Explain(const Command& command) {
  const std::string service = command.Require("service");
  const Configuration configuration = ConfigurationFor(command);
  if (configuration.FindService(service) == nullptr) {
    std::vector<std::string> names;
    for (const auto& [name, value] : configuration.services())
      names.push_back(name);
    const std::string nearest = state::NearestName(service, names);
    throw state::Error(
        state::ResultCode::kUnknownService,
        fmt::format("unknown service '{}'{}", service,
                    nearest.empty()
                        ? ""
                        : fmt::format("; did you mean '{}'?", nearest)));
  }
  const state::Classification found =
      configuration.Classify(service, command.Get<std::string>("method"),
                             command.Get<std::string>("path"));
  fmt::print("{}\n", command.is_json() ? JsonOf(configuration, found, service)
                                       : TextOf(configuration, found, service));
  return kExitOk;
}

}  // namespace

int RunCheck(int argc, char** argv) {
  Command command("check",
                  "Checks inventory, rules and node settings and reports all "
                  "faults at once.",
                  "FILE...",
                  "  sesamespread check zones.yaml services.yaml rules.yaml\n"
                  "  sesamespread check inventory.yaml --node node.yaml\n"
                  "  sesamespread check --document next.json --against "
                  "in-force.json\n"
                  "  sesamespread check --reference > SETTINGS.md\n");
  command.Add()("node", "File with the settings of a node; may be repeated",
                cxxopts::value<std::vector<std::string>>())(
      "document", "Check this operator's document of route nodes instead",
      cxxopts::value<std::string>())(
      "against", "Print the differences of --document from this one",
      cxxopts::value<std::string>())(
      "reference", "Print the reference page of all fields of the files");
  return command.Run(argc, argv, [&command] { return Check(command); });
}

int RunExplain(int argc, char** argv) {
  Command command(
      "explain",
      "Shows how a request is classified: rule, importance, deadline, "
      "downstream services and retry allotment. Reads FILE..., or the platform "
      "if none is given.",
      "FILE...",
      "  sesamespread explain --service orders --method POST --path /new "
      "inventory.yaml\n"
      "  sesamespread explain --service orders --platform "
      "http://10.20.0.2:8090\n");
  command.Add()("service", "Service of the request",
                cxxopts::value<std::string>())(
      "method", "HTTP method",
      cxxopts::value<std::string>()->default_value("GET"))(
      "path", "Path without the service name",
      cxxopts::value<std::string>()->default_value("/"));
  command.AddPlatformOptions();
  return command.Run(argc, argv, [&command] { return Explain(command); });
}

}  // namespace sesamespread::tools
