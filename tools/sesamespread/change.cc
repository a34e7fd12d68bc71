/// \file
/// The verbs that change or read versions of the configuration on the platform:
/// `diff`, `apply`, `show`, `history` and `rollback`. They call the platform
/// directly, because a change must be possible when no node runs, and because
/// only the platform orders the changes of several operators.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <thread>

#include "command.h"
#include "sesamespread/coordination/configuration_reader.h"
#include "sesamespread/coordination/configuration_writer.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

using coordination::ChangeRecord;
using coordination::JsonString;
using state::Configuration;
using state::ResultCode;
using state::RunState;

// Number of versions between two snapshots. A snapshot spares nodes the read of
// all entries, and an old one suffices, because nodes read the changes after it
// one by one.
constexpr state::ConfigurationVersion kSnapshotInterval = 50;

state::RequestId RandomAttemptId() {
  constexpr unsigned kHalfWordBits = 32;
  std::random_device random;
  const auto word = [&random] {
    return (std::uint64_t{random()} << kHalfWordBits) | random();
  };
  return {word(), word()};
}

coordination::WriterClock SystemClock() {
  using std::chrono::steady_clock;
  return {[] {
            return std::chrono::time_point_cast<state::Duration>(
                steady_clock::now());
          },
          [](state::Instant until) { std::this_thread::sleep_until(until); }};
}

std::string JsonOf(const ChangeRecord& record) {
  return fmt::format(
      R"({{"version": {}, "previous": {}, "digest": "{}", "attempt": "{}", )"
      R"("who": {}, "why": {}, "when": "{}", "fields": {}}})",
      record.version, record.previous, state::ToHex(record.digest),
      state::ToHex(record.attempt), JsonString(record.who),
      JsonString(record.why), coordination::FormatWallTime(record.when),
      JsonList(record.fields));
}

void PrintRecord(const ChangeRecord& record) {
  fmt::print("version {} by {} at {}: {}\n  attempt {}, digest {}\n",
             record.version, record.who,
             coordination::FormatWallTime(record.when), record.why,
             state::ToHex(record.attempt), state::ToHex(record.digest));
  for (const std::string& field : record.fields)
    fmt::print("  {}\n", field);
}

ChangeRecord MakeRecord(const Command& command,
                        const Configuration& base,
                        const Configuration::Entries& target) {
  return coordination::MakeChange(base, target, command.Require("who"),
                                  command.Require("why"),
                                  std::chrono::time_point_cast<state::Duration>(
                                      std::chrono::system_clock::now()),
                                  RandomAttemptId());
}

void CheckExpectedVersion(const Command& command,
                          coordination::TableStore& platform,
                          const Configuration& base) {
  if (!command.Has("expect-version"))
    return;
  const auto expected =
      command.Get<state::ConfigurationVersion>("expect-version");
  if (expected == base.version())
    return;
  std::string winner;
  for (const ChangeRecord& record :
       coordination::ReadChangesAfter(platform, expected, 1))
    winner = fmt::format("; version {} by {} at {} was accepted first",
                         record.version, record.who,
                         coordination::FormatWallTime(record.when));
  throw state::Error(
      ResultCode::kConfigurationConflict,
      fmt::format("version {} is in force, not the expected version {}{}",
                  base.version(), expected, winner));
}

void PutSnapshotIfDue(transport::PlatformClient& platform,
                      const Configuration& content) {
  if (content.version() % kSnapshotInterval != 1)
    return;
  const auto status = platform.PutObject(coordination::kSnapshotObject,
                                         coordination::EncodeSnapshot(content));
  if (status != coordination::StoreStatus::kDone)
    fmt::print(stderr,
               "warning: the snapshot was not written; nodes read the entries "
               "instead\n");
}

void PrintSuccess(const Command& command, const ChangeRecord& record) {
  if (command.is_json())
    fmt::print("{{\"result\": 100, \"change\": {}}}\n", JsonOf(record));
  else
    PrintRecord(record);
}

int PrintFailure(const Command& command,
                 const ChangeRecord& record,
                 const coordination::WriteResult& result) {
  if (!command.is_json()) {
    ReportResult(false, result.code, result.run_state, result.detail);
    if (result.run_state == RunState::kUnknown)
      fmt::print(stderr,
                 "to check whether it was written: sesamespread history "
                 "--attempt {}\n",
                 state::ToHex(record.attempt));
    return ExitCodeOf(result.code);
  }
  fmt::print(R"({{"result": {}, "name": "{}", "run_state": "{}", )"
             R"("detail": {}, "attempt": "{}", "winner": {}}})"
             "\n",
             static_cast<int>(result.code), state::InfoOf(result.code).name,
             ToString(result.run_state), JsonString(result.detail),
             state::ToHex(record.attempt),
             result.winner ? JsonOf(*result.winner) : "null");
  return ExitCodeOf(result.code);
}

// Writes `target` as the version after `base`.
int WriteVersion(const Command& command,
                 transport::PlatformClient& platform,
                 const Configuration& base,
                 const Configuration::Entries& target) {
  const ChangeRecord record = MakeRecord(command, base, target);
  if (record.changes.empty()) {
    if (command.is_json())
      ReportResult(true, ResultCode::kNothingToChange, RunState::kNotRun, "");
    else
      fmt::print("nothing to change: version {} has this content\n",
                 base.version());
    return kExitOk;
  }
  const coordination::WriterClock clock = SystemClock();
  coordination::WriterBounds bounds;
  bounds.total = command.GetDuration("give-up-after");
  coordination::ConfigurationWriter writer(record, bounds, clock.now());
  const auto result = coordination::RunWriter(writer, platform, clock);
  if (result.code != ResultCode::kOk)
    return PrintFailure(command, record, result);
  PutSnapshotIfDue(platform, Configuration(result.version, target));
  PrintSuccess(command, record);
  return kExitOk;
}

int Apply(const Command& command) {
  const auto sources = command.ReadArguments();
  if (sources.empty())
    throw UsageError("no file was given");
  command.Require("who");
  command.Require("why");
  const auto target = state::ParseInventory(sources);
  const auto platform = command.ConnectPlatform();
  const Configuration base = coordination::ReadContent(*platform);
  CheckExpectedVersion(command, *platform, base);
  return WriteVersion(command, *platform, base, target);
}

int Rollback(const Command& command) {
  if (!command.Has("to"))
    throw UsageError("--to is missing");
  command.Require("who");
  command.Require("why");
  const auto platform = command.ConnectPlatform();
  const Configuration base = coordination::ReadContent(*platform);
  CheckExpectedVersion(command, *platform, base);
  const Configuration old = coordination::ReadContentAt(
      *platform, command.Get<state::ConfigurationVersion>("to"));
  return WriteVersion(command, *platform, base, old.entries());
}

int Diff(const Command& command) {
  const auto sources = command.ReadArguments();
  if (sources.empty())
    throw UsageError("no file was given");
  const auto target = state::ParseInventory(sources);
  const auto platform = command.ConnectPlatform();
  const Configuration base = coordination::ReadContent(*platform);
  const ChangeRecord record =
      coordination::MakeChange(base, target, "", "", {}, {});
  if (command.is_json()) {
    fmt::print("{{\"version\": {}, \"fields\": {}}}\n", base.version(),
               JsonList(record.fields));
    return kExitOk;
  }
  for (const std::string& field : record.fields)
    fmt::print("{}\n", field);
  fmt::print("{} entries differ from version {}\n", record.changes.size(),
             base.version());
  return kExitOk;
}

int Show(const Command& command) {
  const auto platform = command.ConnectPlatform();
  const Configuration content =
      command.Has("version")
          ? coordination::ReadContentAt(
                *platform, command.Get<state::ConfigurationVersion>("version"))
          : coordination::ReadContent(*platform);
  if (command.is_json()) {
    fmt::print("{}\n", coordination::EncodeSnapshot(content));
    return kExitOk;
  }
  fmt::print("# version {}, digest {}\n{}", content.version(),
             state::ToHex(content.digest()), state::FormatInventory(content));
  return kExitOk;
}

int History(const Command& command) {
  const auto limit = command.Get<std::size_t>("limit");
  const auto platform = command.ConnectPlatform();
  const auto head = coordination::ReadHead(*platform);
  const state::ConfigurationVersion after =
      head.version > limit ? head.version - limit : 0;
  auto records = coordination::ReadChangesAfter(*platform, after, limit);
  std::reverse(records.begin(), records.end());
  if (command.Has("attempt")) {
    const auto attempt = command.Get<std::string>("attempt");
    std::erase_if(records, [&attempt](const ChangeRecord& record) {
      return state::ToHex(record.attempt) != attempt;
    });
    if (records.empty())
      throw state::Error(
          ResultCode::kVersionNotFound,
          fmt::format("attempt {} is not among the versions {} to {}", attempt,
                      after + 1, head.version));
  }
  std::string json;
  for (const ChangeRecord& record : records) {
    if (command.is_json())
      json += (json.empty() ? "" : ", ") + JsonOf(record);
    else
      PrintRecord(record);
  }
  if (command.is_json())
    fmt::print("[{}]\n", json);
  return kExitOk;
}

void AddAuditOptions(Command& command) {
  command.Add()("who", "Author of the change", cxxopts::value<std::string>())(
      "why", "Reason for the change", cxxopts::value<std::string>())(
      "expect-version", "Refuse unless this version is in force",
      cxxopts::value<state::ConfigurationVersion>())(
      "give-up-after", "Timeout of the write including its retries",
      cxxopts::value<std::string>()->default_value("15s"));
}

}  // namespace

int RunDiff(int argc, char** argv) {
  Command command("diff", "Shows what `apply` of the same files would change.",
                  "FILE...",
                  "  sesamespread diff inventory.yaml --platform "
                  "http://10.20.0.2:8090\n");
  command.AddPlatformOptions();
  return command.Run(argc, argv, [&command] { return Diff(command); });
}

int RunApply(int argc, char** argv) {
  Command command(
      "apply",
      "Makes the files the new version of the configuration. Entries that they "
      "do not contain are removed.",
      "FILE...",
      "  sesamespread apply inventory.yaml rules.yaml --who maria \\\n"
      "    --why 'more slots for orders' --platform http://10.20.0.2:8090\n"
      "  sesamespread apply inventory.yaml --expect-version 41 --who maria \\\n"
      "    --why 'as reviewed' --platform http://10.20.0.2:8090\n");
  AddAuditOptions(command);
  command.AddPlatformOptions();
  return command.Run(argc, argv, [&command] { return Apply(command); });
}

int RunRollback(int argc, char** argv) {
  Command command(
      "rollback", "Writes a new version with the content of an older one.", "",
      "  sesamespread rollback --to 41 --who maria --why 'orders too slow' \\\n"
      "    --platform http://10.20.0.2:8090\n");
  command.Add()("to", "Version whose content is written again",
                cxxopts::value<state::ConfigurationVersion>());
  AddAuditOptions(command);
  command.AddPlatformOptions();
  return command.Run(argc, argv, [&command] { return Rollback(command); });
}

int RunShow(int argc, char** argv) {
  Command command(
      "show", "Prints a version as YAML that `apply` reads.", "",
      "  sesamespread show --platform http://10.20.0.2:8090 > inventory.yaml\n"
      "  sesamespread show --version 41 --platform http://10.20.0.2:8090\n");
  command.Add()("version", "Version to print; default: the newest",
                cxxopts::value<state::ConfigurationVersion>());
  command.AddPlatformOptions();
  return command.Run(argc, argv, [&command] { return Show(command); });
}

int RunHistory(int argc, char** argv) {
  Command command(
      "history",
      "Prints the newest changes: who, when, why and the changed fields.", "",
      "  sesamespread history --platform http://10.20.0.2:8090\n"
      "  sesamespread history --attempt 5f0c...9a --platform "
      "http://10.20.0.2:8090\n");
  command.Add()("limit", "Number of versions to read",
                cxxopts::value<std::size_t>()->default_value("20"))(
      "attempt", "Print only the change of this attempt",
      cxxopts::value<std::string>());
  command.AddPlatformOptions();
  return command.Run(argc, argv, [&command] { return History(command); });
}

}  // namespace sesamespread::tools
