/// \file
/// Parses and validates load scenarios.
#include "sesamespread/state/load_scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

#include "yaml_check.h"

namespace sesamespread::state {
namespace {

constexpr std::uint64_t kMaxDurationUs = 3'600'000'000;
constexpr std::uint64_t kMaxRate = 1'000'000;
constexpr std::string_view kDurationUnits = "us, ms, s or m";
constexpr std::string_view kMethods = "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS";

using enum FieldType;

constexpr SchemaRow kSchema[] = {
    {"duration", kDuration, kDurationUnits, true, "",
     "How long requests arrive.", "", 1'000, kMaxDurationUs},
    {"seed", kCount, "", false, "1",
     "Seed of arrivals and kinds; the same seed gives the same schedule."},
    {"kinds", kMapList, "", true, "", "Kinds of requests."},
    {"kinds[].name", kName, "", true, "", "Name of the kind in the report."},
    {"kinds[].method", kChoice, "", false, "GET", "HTTP method.", kMethods},
    {"kinds[].path", kTarget, "", true, "",
     "Path with the service, and a query if it has one."},
    {"kinds[].share", kCount, "", false, "1", "Weight among all kinds.", "", 1,
     kMaxRate},
    {"kinds[].timeout", kDuration, kDurationUnits, true, "",
     "Answers after this time are of no use to the caller.", "", 1'000,
     kMaxDurationUs},
    {"kinds[].key", kChoice, "", false, "none",
     "Idempotency key: none, the caller's own or issued by a node.",
     "none|own|issued"},
    {"kinds[].body_bytes", kBytes, "bytes", false, "0",
     "Minimum size of the body of POST, PUT and PATCH.", "", 0, 1 << 20},
    {"kinds[].repeats", kCount, "", false, "0", "Repeats by the caller.", "", 0,
     100},
    {"kinds[].patience", kDuration, kDurationUnits, false, "0ms",
     "Time without an answer after which the caller repeats; 0ms for never.",
     "", 0, kMaxDurationUs},
    {"kinds[].on_repeat", kChoice, "", false, "close",
     "Whether a repeat closes the connection of the previous attempt.",
     "close|keep"},
    {"kinds[].after_refusal", kChoice, "", false, "stop",
     "What the caller does after a refusal while it has repeats left.",
     "stop|repeat|wait"},
    {"phases", kMapList, "", true, "", "Rates of arrival."},
    {"phases[].at", kDuration, kDurationUnits, false, "0ms",
     "Start of the phase.", "", 0, kMaxDurationUs},
    {"phases[].rate", kCount, "1/s", true, "", "Requests per second.", "", 0,
     kMaxRate},
    {"disturbances", kMapList, "", false, "",
     "POST requests to backend servers while the load runs."},
    {"disturbances[].name", kName, "", true, "", "Name in the results."},
    {"disturbances[].at", kDuration, kDurationUnits, true, "",
     "When it is sent.", "", 0, kMaxDurationUs},
    {"disturbances[].server", kName, "", true, "",
     "Name of the servers in --control."},
    {"disturbances[].path", kPathPrefix, "", false, "/-/control", "Path."},
    {"disturbances[].body", kText, "", true, "", "Body."},
    {"disturbances[].ends", kBoolean, "", false, "false",
     "Whether the recovery time is measured from this request."},
};

// A map in one of the lists of a scenario file.
class Item {
 public:
  Item(const YAML::Node& node, std::string_view list)
      : node_(node), list_(list) {}

  std::string Text(const char* key) const {
    return TextOrDefault(node_, key,
                         RowOf(kSchema, fmt::format("{}[].{}", list_, key)));
  }
  std::uint32_t Count(const char* key) const {
    return static_cast<std::uint32_t>(ParseNumber(Text(key)).value_or(0));
  }
  Duration Time(const char* key) const {
    return ParseDuration(Text(key)).value_or(Duration(0));
  }
  YAML::Mark mark() const { return node_.Mark(); }

 private:
  const YAML::Node node_;
  const std::string_view list_;
};

template <class Enum>
Enum ChoiceOf(std::string_view text, std::array<std::string_view, 3> choices) {
  const auto* found = std::find(choices.begin(), choices.end(), text);
  return static_cast<Enum>(found == choices.end() ? 0
                                                  : found - choices.begin());
}

std::vector<Item> ItemsOf(const YAML::Node& document, const char* list) {
  std::vector<Item> items;
  const YAML::Node nodes = document[list];
  if (!nodes || !nodes.IsSequence())
    return items;
  for (const auto& node : nodes) {
    if (node.IsMap())
      items.emplace_back(node, list);
  }
  return items;
}

LoadKind ReadKind(const Item& item) {
  LoadKind kind;
  kind.name = item.Text("name");
  kind.method = item.Text("method");
  kind.path = item.Text("path");
  kind.share = item.Count("share");
  kind.timeout = item.Time("timeout");
  kind.key = ChoiceOf<LoadKey>(item.Text("key"), {"none", "own", "issued"});
  kind.body_bytes = item.Count("body_bytes");
  kind.repeats = item.Count("repeats");
  kind.patience = item.Time("patience");
  kind.close_on_repeat = item.Text("on_repeat") == "close";
  kind.after_refusal = ChoiceOf<AfterRefusal>(item.Text("after_refusal"),
                                              {"stop", "repeat", "wait"});
  return kind;
}

LoadDisturbance ReadDisturbance(const Item& item) {
  return {item.Text("name"), item.Time("at"),   item.Text("server"),
          item.Text("path"), item.Text("body"), item.Text("ends") == "true"};
}

void ReadKinds(const YAML::Node& document,
               DiagnosticSink& sink,
               LoadScenario* scenario) {
  std::set<std::string> names;
  for (const Item& item : ItemsOf(document, "kinds")) {
    LoadKind kind = ReadKind(item);
    if (!names.insert(kind.name).second)
      sink.Add(item.mark(),
               fmt::format("the kind '{}' is defined twice", kind.name));
    if (kind.repeats > 0 && kind.patience.count() == 0 &&
        kind.after_refusal == AfterRefusal::kStop) {
      sink.Add(item.mark(),
               "'repeats' has no effect without 'patience' or "
               "'after_refusal'");
    }
    scenario->kinds.push_back(std::move(kind));
  }
  if (scenario->kinds.empty())
    sink.Add(document.Mark(), "the scenario has no kinds of requests");
}

void ReadPhases(const YAML::Node& document,
                DiagnosticSink& sink,
                LoadScenario* scenario) {
  Duration last(-1);
  for (const Item& item : ItemsOf(document, "phases")) {
    const LoadPhase phase{item.Time("at"), item.Count("rate")};
    if (scenario->phases.empty() && phase.at.count() != 0)
      sink.Add(item.mark(), "the first phase must begin at 0ms");
    if (phase.at <= last)
      sink.Add(item.mark(), "the phases are not in order of 'at'");
    last = phase.at;
    scenario->phases.push_back(phase);
  }
  if (scenario->phases.empty())
    sink.Add(document.Mark(), "the scenario has no phases");
}

}  // namespace

std::span<const SchemaRow> LoadScenarioSchema() {
  return kSchema;
}

LoadScenario ParseLoadScenario(const SourceText& source) {
  std::vector<Diagnostic> diagnostics;
  DiagnosticSink sink(source.file, &diagnostics);
  LoadScenario scenario;
  const auto document = CheckDocument(source, kSchema, sink);
  if (document) {
    const auto text = [&](const char* key) {
      return TextOrDefault(*document, key, RowOf(kSchema, key));
    };
    scenario.duration = ParseDuration(text("duration")).value_or(Duration(0));
    scenario.seed =
        static_cast<std::uint32_t>(ParseNumber(text("seed")).value_or(1));
    ReadKinds(*document, sink, &scenario);
    ReadPhases(*document, sink, &scenario);
    for (const Item& item : ItemsOf(*document, "disturbances"))
      scenario.disturbances.push_back(ReadDisturbance(item));
  }
  if (!diagnostics.empty())
    throw ValidationError(ResultCode::kSettingsInvalid, std::move(diagnostics));
  return scenario;
}

}  // namespace sesamespread::state
