/// \file
/// The verb `trace`: explains a failed request from the logs of several nodes.
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include "command.h"
#include "sesamespread/coordination/configuration_rows.h"
#include "sesamespread/state/request_trace.h"
#include "verbs.h"

namespace sesamespread::tools {
namespace {

// Number of lines between two progress messages on standard error.
constexpr std::size_t kProgressLines = 1'000'000;

void ReadLog(std::istream& input, state::RequestTrace& trace) {
  std::string line;
  std::size_t count = 0;
  while (std::getline(input, line)) {
    trace.Add(line);
    if (++count % kProgressLines == 0)
      fmt::print(stderr, "{} lines read\n", count);
  }
}

std::string FieldsText(const state::LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    if (key != "time" && key != "node" && key != "event" && key != "level")
      text += fmt::format(" {}={}", key, value);
  }
  return text;
}

std::string JsonText(const state::LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields)
    text += fmt::format("{}{}: {}", text.empty() ? "" : ", ",
                        coordination::JsonString(key),
                        coordination::JsonString(value));
  return "{" + text + "}";
}

void Print(const state::RequestTrace& trace, bool is_json) {
  if (is_json) {
    std::string lines;
    for (const state::LogLine& line : trace.Lines())
      lines += (lines.empty() ? "" : ", ") + JsonText(line);
    fmt::print(R"({{"cause": {}, "unreadable": {}, "lines": [{}]}})"
               "\n",
               coordination::JsonString(trace.Cause()), trace.unreadable(),
               lines);
    return;
  }
  for (const state::LogLine& line : trace.Lines())
    fmt::print("{} {} {}{}\n", line.time, line.node, line.event,
               FieldsText(line));
  if (trace.unreadable() > 0)
    fmt::print("{} lines with the request id could not be parsed\n",
               trace.unreadable());
  fmt::print("cause: {}\n", trace.Cause());
}

int RunWith(const Command& command) {
  const auto& arguments = command.arguments();
  if (arguments.size() < 2)
    throw UsageError(
        "a request id and at least one file are required; - is standard "
        "input");
  state::RequestTrace trace(arguments.front());
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    if (arguments[i] == "-") {
      ReadLog(std::cin, trace);
      continue;
    }
    std::ifstream file(arguments[i]);
    if (!file)
      throw UsageError(fmt::format("cannot read file '{}'", arguments[i]));
    ReadLog(file, trace);
  }
  if (trace.Lines().empty()) {
    fmt::print(stderr, "error: no log line contains the request id '{}'\n",
               arguments.front());
    return kExitFailed;
  }
  Print(trace, command.is_json());
  return kExitOk;
}

}  // namespace

int RunTrace(int argc, char** argv) {
  Command command("trace",
                  "Explains a failed request: prints the lines that belong to "
                  "it and to its calls, in order of time, and the cause.",
                  "ID FILE...",
                  "  sesamespread trace 032f652817871b06 node-*.log\n"
                  "  fleetbench run SITE DAY --log all | sesamespread trace "
                  "032f652817871b06 -\n");
  return command.Run(argc, argv, [&command] { return RunWith(command); });
}

}  // namespace sesamespread::tools
