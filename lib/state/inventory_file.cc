/// \file
/// Parses, validates and formats the operators' inventory and rules.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "sesamespread/state/settings.h"
#include "yaml_check.h"

namespace sesamespread::state {
namespace {

constexpr std::string_view kLimitsKey = "limit/system";

// Location of an item in its file.
struct SourceLocation {
  std::string file;
  YAML::Mark mark;
};

// A service with the locations at which its errors are reported.
struct ServiceItem {
  Service value;
  std::string file;
  std::vector<YAML::Mark> call_marks;
};

std::vector<std::string> ReadTexts(const YAML::Node& list,
                                   const SchemaRow& row,
                                   std::vector<YAML::Mark>* marks) {
  std::vector<std::string> texts;
  if (!list || !list.IsSequence())
    return texts;
  for (const auto& item : list) {
    if (!item.IsScalar() || !ValidateScalar(row, item.Scalar()).empty())
      continue;
    texts.push_back(item.Scalar());
    marks->push_back(item.Mark());
  }
  return texts;
}

Importance ImportanceOf(std::string_view text) {
  for (const Importance importance :
       {Importance::kCritical, Importance::kStandard, Importance::kBrowse}) {
    if (ToString(importance) == text)
      return importance;
  }
  return Importance::kStandard;
}

// Parses all files, then validates the relations between their items.
class InventoryReader {
 public:
  void Read(const SourceText& source) {
    DiagnosticSink sink(source.file, &diagnostics_);
    const auto document = CheckDocument(source, InventorySchema(), sink);
    if (!document)
      return;
    ReadList(*document, "zones", "zone", sink, &InventoryReader::ReadZone);
    ReadList(*document, "services", "service", sink,
             &InventoryReader::ReadService);
    ReadList(*document, "rules", "rule", sink, &InventoryReader::ReadRule);
    ReadLimits((*document)["limits"], sink);
  }

  Configuration::Entries Finish(const std::string& first_file) {
    if (services_.empty() && diagnostics_.empty())
      DiagnosticSink(first_file, &diagnostics_)
          .Add(YAML::Mark(), "the inventory has no services");
    CheckCalls();
    CheckCycles();
    CheckRuleServices();
    if (!diagnostics_.empty())
      throw ValidationError(ResultCode::kConfigurationInvalid,
                            std::move(diagnostics_));
    return std::move(entries_);
  }

 private:
  using ReadItem = void (InventoryReader::*)(const std::string& name,
                                             const YAML::Node& item,
                                             DiagnosticSink& sink);

  static const SchemaRow& Row(std::string_view path) {
    return RowOf(InventorySchema(), path);
  }

  static std::string Text(const YAML::Node& item,
                          std::string_view list,
                          const char* key) {
    return TextOrDefault(item, key, Row(fmt::format("{}[].{}", list, key)));
  }

  static Duration Time(const YAML::Node& item, std::string_view list) {
    return ParseDuration(Text(item, list, "answer_within"))
        .value_or(Duration(0));
  }

  void ReadList(const YAML::Node& document,
                const char* list,
                const char* kind,
                DiagnosticSink& sink,
                ReadItem read) {
    const YAML::Node items = document[list];
    if (!items || !items.IsSequence())
      return;
    for (const auto& item : items) {
      if (!item.IsMap())
        continue;
      const std::string name = Text(item, list, "name");
      if (name.empty())
        continue;
      const YAML::Mark mark = item["name"].Mark();
      const auto [first, inserted] = locations_.emplace(
          fmt::format("{}/{}", kind, name), SourceLocation{sink.file(), mark});
      if (!inserted) {
        sink.Add(mark, fmt::format("the {} '{}' is already defined at {}:{}",
                                   kind, name, first->second.file,
                                   first->second.mark.line + 1));
        continue;
      }
      (this->*read)(name, item, sink);
    }
  }

  void ReadZone(const std::string& name,
                const YAML::Node& item,
                DiagnosticSink& /*sink*/) {
    entries_["zone/" + name] =
        CanonicalText(AvailabilityZone{name, Text(item, "zones", "region")});
  }

  void ReadService(const std::string& name,
                   const YAML::Node& item,
                   DiagnosticSink& sink) {
    const auto number = [&item](const char* key) {
      return static_cast<std::uint32_t>(
          ParseNumber(Text(item, "services", key)).value_or(1));
    };
    ServiceItem service{{name,
                         number("slots"),
                         number("connections"),
                         Time(item, "services"),
                         {}},
                        sink.file(),
                        {}};
    service.value.calls =
        ReadTexts(item["calls"], Row("services[].calls"), &service.call_marks);
    ReportDuplicates(service.value.calls, service.call_marks, sink);
    entries_["service/" + name] = CanonicalText(service.value);
    services_.emplace(name, std::move(service));
  }

  void ReadRule(const std::string& name,
                const YAML::Node& item,
                DiagnosticSink& sink) {
    Rule rule;
    rule.name = name;
    rule.service = Text(item, "rules", "service");
    std::vector<YAML::Mark> marks;
    rule.methods = ReadTexts(item["methods"], Row("rules[].methods"), &marks);
    ReportDuplicates(rule.methods, marks, sink);
    rule.path_prefix = Text(item, "rules", "path_prefix");
    rule.importance = ImportanceOf(Text(item, "rules", "importance"));
    rule.repeatable = Text(item, "rules", "repeatable") == "true";
    rule.answer_within = Time(item, "rules");
    entries_["rule/" + name] = CanonicalText(rule);
    if (!rule.service.empty())
      rule_services_.push_back(
          {rule.service, {sink.file(), item["service"].Mark()}});
  }

  void ReadLimits(const YAML::Node& item, DiagnosticSink& sink) {
    if (!item || !item.IsMap())
      return;
    const auto [first, inserted] = locations_.emplace(
        kLimitsKey, SourceLocation{sink.file(), item.Mark()});
    if (!inserted) {
      sink.Add(item.Mark(),
               fmt::format("'limits' is already defined at {}:{}",
                           first->second.file, first->second.mark.line + 1));
      return;
    }
    const auto text = [&item](const char* key) {
      return TextOrDefault(item, key, Row(fmt::format("limits.{}", key)));
    };
    Limits limits;
    limits.retry_allotment = static_cast<std::uint32_t>(
        ParseNumber(text("retry_allotment")).value_or(0));
    limits.repeat_window =
        ParseDuration(text("repeat_window")).value_or(Duration(0));
    limits.max_request_bytes =
        ParseNumber(text("max_request_bytes")).value_or(0);
    limits.max_answer_bytes = ParseNumber(text("max_answer_bytes")).value_or(0);
    entries_[std::string(kLimitsKey)] = CanonicalText(limits);
  }

  static void ReportDuplicates(const std::vector<std::string>& texts,
                               const std::vector<YAML::Mark>& marks,
                               DiagnosticSink& sink) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < texts.size(); ++i) {
      if (!seen.insert(texts[i]).second)
        sink.Add(marks[i], fmt::format("'{}' is listed twice", texts[i]));
    }
  }

  std::vector<std::string> ServiceNames() const {
    std::vector<std::string> names;
    for (const auto& [name, service] : services_)
      names.push_back(name);
    return names;
  }

  void ReportUnknownService(const std::string& name,
                            const SourceLocation& location) {
    DiagnosticSink(location.file, &diagnostics_)
        .Add(location.mark, fmt::format("unknown service '{}'", name),
             NearestName(name, ServiceNames()));
  }

  // Checks that each called service is known and that its answer_within is not
  // longer than that of its caller.
  void CheckCalls() {
    for (const auto& [name, service] : services_) {
      for (std::size_t i = 0; i < service.value.calls.size(); ++i) {
        const std::string& called = service.value.calls[i];
        const SourceLocation location{service.file, service.call_marks[i]};
        const auto found = services_.find(called);
        if (found == services_.end()) {
          ReportUnknownService(called, location);
          continue;
        }
        CheckAnswerTimes(service.value, found->second.value, location);
      }
    }
  }

  void CheckAnswerTimes(const Service& caller,
                        const Service& called,
                        const SourceLocation& location) {
    // Zero stands for an invalid value, which is already reported.
    if (caller.answer_within.count() == 0 ||
        called.answer_within <= caller.answer_within)
      return;
    DiagnosticSink(location.file, &diagnostics_)
        .Add(location.mark,
             fmt::format("'{}' may take {}, longer than its caller '{}' ({})",
                         called.name, FormatDuration(called.answer_within),
                         caller.name, FormatDuration(caller.answer_within)));
  }

  // Detects cycles by depth-first search: a call to a service on the current
  // path closes a cycle.
  void CheckCycles() {
    std::set<std::string> finished;
    for (const auto& [name, service] : services_) {
      std::vector<std::string> path;
      Visit(name, &path, &finished);
    }
  }

  // The recursion depth is at most the number of services.
  void Visit(const std::string& name,
             std::vector<std::string>* path,
             std::set<std::string>* finished) {
    const auto found = services_.find(name);
    if (found == services_.end() || finished->count(name) > 0)
      return;
    path->push_back(name);
    const ServiceItem& service = found->second;
    for (std::size_t i = 0; i < service.value.calls.size(); ++i) {
      const std::string& called = service.value.calls[i];
      const auto start = std::find(path->begin(), path->end(), called);
      if (start == path->end()) {
        Visit(called, path, finished);
        continue;
      }
      DiagnosticSink(service.file, &diagnostics_)
          .Add(service.call_marks[i],
               fmt::format("the calls form a cycle: {} -> {}",
                           fmt::join(start, path->end(), " -> "), called));
    }
    path->pop_back();
    finished->insert(name);
  }

  void CheckRuleServices() {
    for (const auto& [service, location] : rule_services_) {
      if (services_.find(service) == services_.end())
        ReportUnknownService(service, location);
    }
  }

  std::vector<Diagnostic> diagnostics_;
  Configuration::Entries entries_;
  std::map<std::string, SourceLocation> locations_;
  std::map<std::string, ServiceItem> services_;
  std::vector<std::pair<std::string, SourceLocation>> rule_services_;
};

std::string FormatRule(const Rule& rule) {
  std::string text = fmt::format(
      "  - name: \"{}\"\n    service: \"{}\"\n    methods: [{}]\n"
      "    path_prefix: \"{}\"\n    importance: {}\n    repeatable: {}\n",
      rule.name, rule.service, fmt::join(rule.methods, ", "), rule.path_prefix,
      ToString(rule.importance), rule.repeatable);
  if (rule.answer_within > Duration(0))
    text += fmt::format("    answer_within: {}\n",
                        FormatDuration(rule.answer_within));
  return text;
}

std::string FormatService(const Service& service) {
  std::string calls;
  for (const std::string& call : service.calls)
    calls += fmt::format("{}\"{}\"", calls.empty() ? "" : ", ", call);
  return fmt::format(
      "  - name: \"{}\"\n    slots: {}\n    connections: {}\n"
      "    answer_within: {}\n    calls: [{}]\n",
      service.name, service.slots, service.connections,
      FormatDuration(service.answer_within), calls);
}

}  // namespace

Configuration::Entries ParseInventory(std::span<const SourceText> sources) {
  InventoryReader reader;
  for (const SourceText& source : sources)
    reader.Read(source);
  return reader.Finish(sources.empty() ? "" : sources.front().file);
}

std::string FormatInventory(const Configuration& configuration) {
  std::string text;
  if (!configuration.zones().empty())
    text += "zones:\n";
  for (const auto& [name, zone] : configuration.zones())
    text += fmt::format("  - name: \"{}\"\n    region: \"{}\"\n", name,
                        zone.region);
  if (!configuration.services().empty())
    text += "services:\n";
  for (const auto& [name, service] : configuration.services())
    text += FormatService(service);
  if (!configuration.rules().empty())
    text += "rules:\n";
  for (const auto& [name, rule] : configuration.rules())
    text += FormatRule(rule);
  if (configuration.entries().count(std::string(kLimitsKey)) == 0)
    return text;
  const Limits& limits = configuration.limits();
  text += fmt::format(
      "limits:\n  retry_allotment: {}\n  repeat_window: {}\n"
      "  max_request_bytes: {}\n  max_answer_bytes: {}\n",
      limits.retry_allotment, FormatDuration(limits.repeat_window),
      limits.max_request_bytes, limits.max_answer_bytes);
  return text;
}

}  // namespace sesamespread::state
