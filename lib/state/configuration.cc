/// \file
/// Parsing, classification and deltas of the configuration.
#include "sesamespread/state/configuration.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <set>

#include "sesamespread/state/result_code.h"

namespace sesamespread::state {
namespace {

constexpr std::string_view kZonePrefix = "zone/";
constexpr std::string_view kServicePrefix = "service/";
constexpr std::string_view kRulePrefix = "rule/";
constexpr std::string_view kLimitPrefix = "limit/";

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

[[noreturn]] void ThrowInvalid(const std::string& detail) {
  throw Error(ResultCode::kConfigurationInvalid, detail);
}

Duration ReadDuration(const YAML::Node& node, Duration fallback) {
  if (!node)
    return fallback;
  const auto duration = ParseDuration(node.as<std::string>());
  if (!duration)
    ThrowInvalid(fmt::format("'{}' is not a duration with a unit",
                             node.as<std::string>()));
  return *duration;
}

std::vector<std::string> ReadStrings(const YAML::Node& node) {
  if (!node)
    return {};
  return node.as<std::vector<std::string>>();
}

Importance ReadImportance(const YAML::Node& node) {
  const auto text = node.as<std::string>("standard");
  for (const Importance importance :
       {Importance::kCritical, Importance::kStandard, Importance::kBrowse}) {
    if (ToString(importance) == text)
      return importance;
  }
  ThrowInvalid(fmt::format("'{}' is not an importance", text));
}

Service ReadService(const std::string& name, const YAML::Node& node) {
  Service service;
  service.name = name;
  service.slots = node["slots"].as<std::uint32_t>(1);
  service.connections = node["connections"].as<std::uint32_t>(1);
  service.answer_within = ReadDuration(node["answer_within"], Duration(0));
  service.calls = ReadStrings(node["calls"]);
  return service;
}

Rule ReadRule(const std::string& name, const YAML::Node& node) {
  Rule rule;
  rule.name = name;
  rule.service = node["service"].as<std::string>();
  rule.methods = ReadStrings(node["methods"]);
  rule.path_prefix = node["path_prefix"].as<std::string>("/");
  rule.importance = ReadImportance(node["importance"]);
  rule.repeatable = node["repeatable"].as<bool>(false);
  rule.answer_within = ReadDuration(node["answer_within"], Duration(0));
  return rule;
}

std::string QuotedList(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items)
    text += fmt::format("{}\"{}\"", text.empty() ? "" : ", ", item);
  return text;
}

bool Matches(const Rule& rule, std::string_view method, std::string_view path) {
  if (!StartsWith(path, rule.path_prefix))
    return false;
  if (rule.methods.empty())
    return true;
  return std::find(rule.methods.begin(), rule.methods.end(), method) !=
         rule.methods.end();
}

}  // namespace

Configuration::Configuration(ConfigurationVersion version, Entries entries)
    : version_(version), entries_(std::move(entries)) {
  for (const auto& [key, value] : entries_) {
    digest_ ^= EntryHash(key, value);
    try {
      ParseEntry(key, value);
    } catch (const YAML::Exception& error) {
      ThrowInvalid(fmt::format("entry {}: {}", key, error.what()));
    }
  }
  IndexRules();
  IndexCalls();
}

void Configuration::ParseEntry(const std::string& key,
                               const std::string& value) {
  const YAML::Node node = YAML::Load(value);
  if (StartsWith(key, kServicePrefix)) {
    const std::string name = key.substr(kServicePrefix.size());
    services_.emplace(name, ReadService(name, node));
    return;
  }
  if (StartsWith(key, kZonePrefix)) {
    const std::string name = key.substr(kZonePrefix.size());
    zones_.emplace(name,
                   AvailabilityZone{name, node["region"].as<std::string>("")});
    return;
  }
  if (StartsWith(key, kRulePrefix)) {
    const std::string name = key.substr(kRulePrefix.size());
    rules_.emplace(name, ReadRule(name, node));
    return;
  }
  if (!StartsWith(key, kLimitPrefix))
    ThrowInvalid(fmt::format("entry {}: unknown kind", key));
  const Limits defaults;
  limits_.retry_allotment =
      node["retry_allotment"].as<std::uint32_t>(defaults.retry_allotment);
  limits_.repeat_window =
      ReadDuration(node["repeat_window"], defaults.repeat_window);
  limits_.max_request_bytes =
      node["max_request_bytes"].as<std::uint64_t>(defaults.max_request_bytes);
  limits_.max_answer_bytes =
      node["max_answer_bytes"].as<std::uint64_t>(defaults.max_answer_bytes);
}

void Configuration::IndexRules() {
  for (const auto& [name, rule] : rules_)
    rules_by_service_[rule.service].push_back(name);
}

void Configuration::IndexCalls() {
  for (const auto& [name, service] : services_) {
    std::set<std::string> reached;
    std::vector<std::string> open = service.calls;
    while (!open.empty()) {
      const std::string next = std::move(open.back());
      open.pop_back();
      if (next == name || !reached.insert(next).second)
        continue;
      if (const Service* below = FindService(next))
        open.insert(open.end(), below->calls.begin(), below->calls.end());
    }
    below_[name] = {reached.begin(), reached.end()};
  }
}

const Service* Configuration::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

Classification Configuration::Classify(std::string_view service,
                                       std::string_view method,
                                       std::string_view path) const {
  Classification result;
  result.repeatable = method == "GET" || method == "HEAD";
  if (const Service* found = FindService(service))
    result.answer_within = found->answer_within;
  const auto names = rules_by_service_.find(service);
  if (names == rules_by_service_.end())
    return result;
  for (const std::string& name : names->second) {
    const Rule& rule = rules_.find(name)->second;
    if (!Matches(rule, method, path))
      continue;
    result.importance = rule.importance;
    result.repeatable = rule.repeatable;
    if (rule.answer_within > Duration(0))
      result.answer_within = rule.answer_within;
    result.rule = name;
    break;
  }
  return result;
}

const std::vector<std::string>& Configuration::ServicesBelow(
    std::string_view service) const {
  static const std::vector<std::string> kNone;
  const auto found = below_.find(service);
  return found == below_.end() ? kNone : found->second;
}

Configuration Configuration::Apply(const ConfigurationDelta& delta) const {
  if (delta.from != version_)
    ThrowInvalid(fmt::format("the delta starts from version {}, not from {}",
                             delta.from, version_));
  Entries entries = entries_;
  for (const EntryChange& change : delta.changes) {
    if (change.value)
      entries[change.key] = *change.value;
    else
      entries.erase(change.key);
  }
  Configuration next(delta.to, std::move(entries));
  if (next.digest() != delta.digest)
    ThrowInvalid(fmt::format("digest {} after the delta to version {}, not {}",
                             ToHex(next.digest()), delta.to,
                             ToHex(delta.digest)));
  return next;
}

std::vector<EntryChange> Configuration::DifferenceTo(
    const Entries& target) const {
  std::vector<EntryChange> changes;
  for (const auto& [key, value] : entries_) {
    if (target.find(key) == target.end())
      changes.push_back({key, std::nullopt});
  }
  for (const auto& [key, value] : target) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second != value)
      changes.push_back({key, value});
  }
  std::sort(changes.begin(), changes.end());
  return changes;
}

std::uint64_t EntryHash(std::string_view key, std::string_view value) {
  return HashOf(HashOf(key), HashOf(value));
}

std::string CanonicalText(const AvailabilityZone& zone) {
  return fmt::format("{{region: \"{}\"}}", zone.region);
}

std::string CanonicalText(const Service& service) {
  return fmt::format(
      "{{slots: {}, connections: {}, answer_within: {}, calls: [{}]}}",
      service.slots, service.connections, FormatDuration(service.answer_within),
      QuotedList(service.calls));
}

std::string CanonicalText(const Rule& rule) {
  return fmt::format(
      "{{service: \"{}\", methods: [{}], path_prefix: \"{}\", importance: {}, "
      "repeatable: {}, answer_within: {}}}",
      rule.service, QuotedList(rule.methods), rule.path_prefix,
      ToString(rule.importance), rule.repeatable,
      FormatDuration(rule.answer_within));
}

std::string CanonicalText(const Limits& limits) {
  return fmt::format(
      "{{retry_allotment: {}, repeat_window: {}, max_request_bytes: {}, "
      "max_answer_bytes: {}}}",
      limits.retry_allotment, FormatDuration(limits.repeat_window),
      limits.max_request_bytes, limits.max_answer_bytes);
}

namespace {

struct DurationUnit {
  std::string_view name;
  std::int64_t microseconds;
};

// Longest first, which is the order FormatDuration tries them in.
constexpr DurationUnit kUnits[] = {{"m", 60'000'000},
                                   {"s", 1'000'000},
                                   {"ms", 1'000},
                                   {"us", 1}};

// Bounds durations to a day so that sums of them can't overflow.
constexpr std::int64_t kMaxDurationUs = 86'400'000'000;

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || value < 0)
    return std::nullopt;
  const std::string_view unit(result.ptr,
                              static_cast<std::size_t>(end - result.ptr));
  for (const DurationUnit& candidate : kUnits) {
    if (candidate.name != unit)
      continue;
    if (value > kMaxDurationUs / candidate.microseconds)
      return std::nullopt;
    return Duration(value * candidate.microseconds);
  }
  return std::nullopt;
}

std::string FormatDuration(Duration duration) {
  if (duration.count() == 0)
    return "0s";
  for (const DurationUnit& unit : kUnits) {
    if (duration.count() % unit.microseconds == 0)
      return fmt::format("{}{}", duration.count() / unit.microseconds,
                         unit.name);
  }
  return fmt::format("{}us", duration.count());
}

}  // namespace sesamespread::state
