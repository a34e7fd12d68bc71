/// \file
/// Options, output and errors of the verbs.
#include "command.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

namespace sesamespread::tools {
namespace {

using coordination::JsonString;
using state::ResultCode;

struct ExitCodeMapping {
  ResultCode code;
  ExitCode exit;
};

// Codes that are not listed end with kExitFailed.
constexpr ExitCodeMapping kExitCodeMappings[] = {
    {ResultCode::kOk, kExitOk},
    {ResultCode::kNothingToChange, kExitOk},
    {ResultCode::kConfigurationInvalid, kExitInvalid},
    {ResultCode::kSettingsInvalid, kExitInvalid},
    {ResultCode::kConfigurationConflict, kExitConflict},
    {ResultCode::kPlatformUnavailable, kExitPlatformUnavailable},
    {ResultCode::kUnauthorized, kExitUnauthorized},
    {ResultCode::kVersionNotFound, kExitVersionNotFound},
};

int ReportError(bool is_json, const std::string& detail, ExitCode exit) {
  if (is_json)
    fmt::print("{{\"error\": {}}}\n", JsonString(detail));
  else
    fmt::print(stderr, "error: {}\n", detail);
  return exit;
}

}  // namespace

ExitCode ExitCodeOf(ResultCode code) {
  for (const ExitCodeMapping& row : kExitCodeMappings) {
    if (row.code == code)
      return row.exit;
  }
  return kExitFailed;
}

Command::Command(std::string name,
                 std::string help,
                 std::string positional,
                 std::string examples)
    : name_(std::move(name)),
      examples_(std::move(examples)),
      positional_(std::move(positional)),
      options_("sesamespread " + name_, std::move(help)) {
  options_.add_options()("output", "Output format: text or json",
                         cxxopts::value<std::string>()->default_value("text"))(
      "h,help", "Print this help");
  if (positional_.empty())
    return;
  options_.add_options("arguments")("arguments", positional_,
                                    cxxopts::value<std::vector<std::string>>());
  options_.parse_positional("arguments");
  options_.positional_help(positional_);
}

void Command::AddPlatformOptions() {
  Add()("platform", "URL of the platform", cxxopts::value<std::string>())(
      "platform-token-file", "File with the bearer token for the platform",
      cxxopts::value<std::string>())(
      "timeout", "Timeout of each call to the platform",
      cxxopts::value<std::string>()->default_value("2s"));
}

int Command::Run(int argc, char** argv, const std::function<int()>& body) {
  try {
    parsed_ = options_.parse(argc, argv);
    if (Has("help")) {
      fmt::print("{}\nExamples:\n{}\nExit codes: docs/EXIT_CODES.md\n",
                 options_.help({""}), examples_);
      return kExitOk;
    }
    const auto output = Get<std::string>("output");
    if (output != "text" && output != "json")
      throw UsageError(
          fmt::format("--output must be text or json, not '{}'", output));
    is_json_ = output == "json";
    if (!positional_.empty() && Has("arguments"))
      arguments_ = Get<std::vector<std::string>>("arguments");
    if (!parsed_.unmatched().empty())
      throw UsageError(
          fmt::format("unexpected argument '{}'", parsed_.unmatched().front()));
    return RunAndReportErrors(body);
  } catch (const UsageError& error) {
    fmt::print(stderr, "error: {}; see sesamespread {} --help\n", error.what(),
               name_);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "error: {}; see sesamespread {} --help\n", error.what(),
               name_);
  }
  return kExitUsage;
}

int Command::RunAndReportErrors(const std::function<int()>& body) const {
  try {
    return body();
  } catch (const UsageError&) {
    throw;
  } catch (const cxxopts::exceptions::exception&) {
    throw;
  } catch (const state::ValidationError& error) {
    return ReportValidationFaults(error);
  } catch (const state::Error& error) {
    // A state::Error comes from a read, which changes nothing. A write reports
    // its run state in its result instead.
    ReportResult(is_json_, error.code(), state::RunState::kNotRun,
                 error.what());
    return ExitCodeOf(error.code());
  } catch (const NodeUnreachableError& error) {
    return ReportError(is_json_, error.what(), kExitNodeUnreachable);
  } catch (const std::exception& error) {
    return ReportError(is_json_, error.what(), kExitFailed);
  }
}

int Command::ReportValidationFaults(const state::ValidationError& error) const {
  if (!is_json_) {
    fmt::print(stderr, "{}\n{} faults; nothing was accepted\n", error.what(),
               error.diagnostics().size());
    return ExitCodeOf(error.code());
  }
  std::string faults;
  for (const state::Diagnostic& fault : error.diagnostics())
    faults += fmt::format(
        R"({}{{"file": {}, "line": {}, "column": {}, "message": {}, )"
        R"("nearest": {}}})",
        faults.empty() ? "" : ", ", JsonString(fault.file), fault.line,
        fault.column, JsonString(fault.message), JsonString(fault.nearest));
  fmt::print("{{\"result\": {}, \"faults\": [{}]}}\n",
             static_cast<int>(error.code()), faults);
  return ExitCodeOf(error.code());
}

std::string Command::Require(const std::string& option) const {
  if (!Has(option) || Get<std::string>(option).empty())
    throw UsageError(fmt::format("--{} is missing", option));
  return Get<std::string>(option);
}

state::Duration Command::GetDuration(const std::string& option) const {
  const auto text = Get<std::string>(option);
  const auto duration = state::ParseDuration(text);
  if (!duration || duration->count() == 0)
    throw UsageError(fmt::format(
        "--{}: '{}' is not a positive duration with a unit, such as 2s", option,
        text));
  return *duration;
}

std::unique_ptr<transport::PlatformClient> Command::ConnectPlatform() const {
  transport::PlatformOptions options{Require("platform"),
                                     GetDuration("timeout"), ""};
  if (Has("platform-token-file"))
    options.token =
        transport::ReadTokenFile(Get<std::string>("platform-token-file"));
  return std::make_unique<transport::PlatformClient>(options);
}

std::vector<state::SourceText> Command::ReadArguments() const {
  std::vector<state::SourceText> sources;
  for (const std::string& path : arguments_)
    sources.push_back(ReadSource(path));
  return sources;
}

void ReportResult(bool is_json,
                  ResultCode code,
                  state::RunState run_state,
                  const std::string& detail) {
  const state::ResultCodeInfo& info = state::InfoOf(code);
  if (is_json) {
    fmt::print(
        R"({{"result": {}, "name": "{}", "run_state": "{}", "detail": {}}})"
        "\n",
        static_cast<int>(code), info.name, ToString(run_state),
        JsonString(detail));
    return;
  }
  fmt::print(stderr, "error {}: {}: {} (run state: {})\n",
             static_cast<int>(code), info.title, detail, ToString(run_state));
}

std::string JsonList(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items)
    text += (text.empty() ? "" : ", ") + JsonString(item);
  return "[" + text + "]";
}

state::SourceText ReadSource(const std::string& path) {
  if (path == "-")
    return {"<stdin>", {std::istreambuf_iterator<char>(std::cin), {}}};
  std::ifstream file(path);
  if (!file)
    throw UsageError(fmt::format("cannot read file '{}'", path));
  return {path, {std::istreambuf_iterator<char>(file), {}}};
}

}  // namespace sesamespread::tools
