/// \file
/// Parsing of entries, classification of requests and application of deltas.
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
// Sorts directly after all keys that start with kLimitPrefix.
constexpr std::string_view kAfterLimitPrefix = "limit0";
static_assert('/' + 1 == '0');

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

AvailabilityZone ReadZone(const std::string& name, const YAML::Node& node) {
  return {name, node["region"].as<std::string>("")};
}

// Copy-on-write access to a part of the configuration: map() copies the part on
// its first call and returns the copy.
template <typename Map>
class CopyOnWrite {
 public:
  explicit CopyOnWrite(std::shared_ptr<const Map>* part) : part_(part) {}

  Map& map() {
    if (!copy_) {
      copy_ = std::make_shared<Map>(**part_);
      *part_ = copy_;
    }
    return *copy_;
  }

 private:
  std::shared_ptr<const Map>* part_;
  std::shared_ptr<Map> copy_;
};

bool SameCalls(const std::map<std::string, Service, std::less<>>& a,
               const std::map<std::string, Service, std::less<>>& b) {
  return &a == &b ||
         std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const auto& left, const auto& right) {
                      return left.first == right.first &&
                             left.second.calls == right.second.calls;
                    });
}

// Parses \p value with \p read and stores the result in \p part under the name
// in \p key; removes the name if \p value is nullptr.
template <typename Map, typename Read>
void ReadInto(CopyOnWrite<Map>* part,
              std::string_view key,
              std::size_t prefix_length,
              const std::string* value,
              Read read) {
  std::string name(key.substr(prefix_length));
  if (!value) {
    part->map().erase(name);
    return;
  }
  try {
    auto parsed = read(name, YAML::Load(*value));
    part->map().insert_or_assign(std::move(name), std::move(parsed));
  } catch (const YAML::Exception& error) {
    ThrowInvalid(fmt::format("entry {}: {}", key, error.what()));
  }
}

Limits ReadLimits(std::string_view key, const std::string& value) {
  const Limits defaults;
  Limits limits;
  try {
    const YAML::Node node = YAML::Load(value);
    limits.retry_allotment =
        node["retry_allotment"].as<std::uint32_t>(defaults.retry_allotment);
    limits.repeat_window =
        ReadDuration(node["repeat_window"], defaults.repeat_window);
    limits.max_request_bytes =
        node["max_request_bytes"].as<std::uint64_t>(defaults.max_request_bytes);
    limits.max_answer_bytes =
        node["max_answer_bytes"].as<std::uint64_t>(defaults.max_answer_bytes);
  } catch (const YAML::Exception& error) {
    ThrowInvalid(fmt::format("entry {}: {}", key, error.what()));
  }
  return limits;
}

}  // namespace

// The parts of a version that is under construction.
struct Configuration::MutableParts {
  explicit MutableParts(Configuration* next)
      : services(&next->services_),
        zones(&next->zones_),
        rules(&next->rules_) {}

  // Parses the new value of an entry; removes the entry if \p value is nullptr.
  void Read(const std::string& key, const std::string* value);

  CopyOnWrite<ByName<Service>> services;
  CopyOnWrite<ByName<AvailabilityZone>> zones;
  CopyOnWrite<ByName<Rule>> rules;
  bool limits_changed = false;
};

void Configuration::MutableParts::Read(const std::string& key,
                                       const std::string* value) {
  if (StartsWith(key, kServicePrefix)) {
    ReadInto(&services, key, kServicePrefix.size(), value, ReadService);
    return;
  }
  if (StartsWith(key, kZonePrefix)) {
    ReadInto(&zones, key, kZonePrefix.size(), value, ReadZone);
    return;
  }
  if (StartsWith(key, kRulePrefix)) {
    ReadInto(&rules, key, kRulePrefix.size(), value, ReadRule);
    return;
  }
  if (!StartsWith(key, kLimitPrefix))
    ThrowInvalid(fmt::format("entry {}: unknown kind", key));
  limits_changed = true;
  if (value)
    ReadLimits(key, *value);
}

Configuration::Configuration(ConfigurationVersion version, Entries entries)
    : version_(version),
      entries_(std::make_shared<Entries>(std::move(entries))) {
  const Configuration none;
  MutableParts parts(this);
  for (const auto& [key, value] : *entries_) {
    digest_ ^= EntryHash(key, value);
    parts.Read(key, &value);
  }
  UpdateIndexes(none, parts.limits_changed);
}

void Configuration::UpdateIndexes(const Configuration& before,
                                  bool limits_changed) {
  if (limits_changed)
    ApplyLastLimits();
  if (rules_ != before.rules_)
    IndexRules();
  if (!SameCalls(*before.services_, *services_))
    downstream_cache_ = std::make_shared<DownstreamCache>();
}

// Each limit entry states all limits, so that only the last entry in order of
// name applies.
void Configuration::ApplyLastLimits() {
  auto entry = entries_->lower_bound(std::string(kAfterLimitPrefix));
  limits_ = Limits();
  if (entry == entries_->begin())
    return;
  --entry;
  if (StartsWith(entry->first, kLimitPrefix))
    limits_ = ReadLimits(entry->first, entry->second);
}

void Configuration::IndexRules() {
  auto index = std::make_shared<ByName<std::vector<std::string>>>();
  for (const auto& [name, rule] : *rules_)
    (*index)[rule.service].push_back(name);
  rules_by_service_ = std::move(index);
}

std::vector<std::string> Configuration::FindDownstreamServices(
    std::string_view service) const {
  std::set<std::string> reached;
  const Service* root = FindService(service);
  std::vector<std::string> unvisited =
      root ? root->calls : std::vector<std::string>();
  while (!unvisited.empty()) {
    const std::string next = std::move(unvisited.back());
    unvisited.pop_back();
    if (next == service || !reached.insert(next).second)
      continue;
    if (const Service* downstream = FindService(next))
      unvisited.insert(unvisited.end(), downstream->calls.begin(),
                       downstream->calls.end());
  }
  return {reached.begin(), reached.end()};
}

const Service* Configuration::FindService(std::string_view name) const {
  const auto found = services_->find(name);
  return found == services_->end() ? nullptr : &found->second;
}

Classification Configuration::Classify(std::string_view service,
                                       std::string_view method,
                                       std::string_view path) const {
  Classification result;
  result.repeatable = method == "GET" || method == "HEAD";
  if (const Service* found = FindService(service))
    result.answer_within = found->answer_within;
  const auto names = rules_by_service_->find(service);
  if (names == rules_by_service_->end())
    return result;
  for (const std::string& name : names->second) {
    const Rule& rule = rules_->find(name)->second;
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

const std::vector<std::string>& Configuration::DownstreamServices(
    std::string_view service) const {
  static const std::vector<std::string> kNone;
  const std::lock_guard lock(downstream_cache_->mutex);
  const auto found = downstream_cache_->downstream.find(service);
  if (found != downstream_cache_->downstream.end())
    return found->second;
  // Unknown names are not cached, so that callers can't grow the cache without
  // bound.
  if (!FindService(service))
    return kNone;
  return downstream_cache_->downstream
      .emplace(service, FindDownstreamServices(service))
      .first->second;
}

Configuration Configuration::Apply(const ConfigurationDelta& delta) const {
  if (delta.from != version_)
    ThrowInvalid(fmt::format("the delta starts from version {}, not from {}",
                             delta.from, version_));
  Configuration next = *this;
  next.version_ = delta.to;
  CopyOnWrite entries(&next.entries_);
  MutableParts parts(&next);
  for (const EntryChange& change : delta.changes) {
    const std::string& key = change.key;
    parts.Read(key, change.value ? &*change.value : nullptr);
    Entries& map = entries.map();
    const auto found = map.find(key);
    if (found != map.end())
      next.digest_ ^= EntryHash(key, found->second);
    if (change.value) {
      next.digest_ ^= EntryHash(key, *change.value);
      map.insert_or_assign(key, *change.value);
    } else if (found != map.end()) {
      map.erase(found);
    }
  }
  if (next.digest_ != delta.digest)
    ThrowInvalid(fmt::format("digest {} after the delta to version {}, not {}",
                             ToHex(next.digest_), delta.to,
                             ToHex(delta.digest)));
  next.UpdateIndexes(*this, parts.limits_changed);
  return next;
}

std::vector<EntryChange> Configuration::DifferenceTo(
    const Entries& target) const {
  std::vector<EntryChange> changes;
  for (const auto& [key, value] : *entries_) {
    if (target.find(key) == target.end())
      changes.push_back({key, std::nullopt});
  }
  for (const auto& [key, value] : target) {
    const auto found = entries_->find(key);
    if (found == entries_->end() || found->second != value)
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

// In descending order, so that FormatDuration selects the largest unit that
// divides a duration.
constexpr DurationUnit kUnits[] = {{"m", 60'000'000},
                                   {"s", 1'000'000},
                                   {"ms", 1'000},
                                   {"us", 1}};

// One day, so that sums of durations can't overflow.
constexpr std::int64_t kMaxDurationUs = 86'400'000'000;

// Parses a decimal number with the unit "ms" or "s", up to \p max.
std::optional<Duration> ParseDecimalTime(std::string_view text, Duration max) {
  constexpr double kMicrosPerMilli = 1'000;
  constexpr double kMicrosPerSecond = 1'000'000;
  const std::size_t unit = text.find_first_not_of("0123456789.");
  if (unit == std::string_view::npos || unit == 0)
    return std::nullopt;
  const std::string_view name = text.substr(unit);
  if (name != "ms" && name != "s")
    return std::nullopt;
  double number = 0;
  const char* const end = text.data() + unit;
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  const double micros =
      number * (name == "s" ? kMicrosPerSecond : kMicrosPerMilli);
  if (micros > static_cast<double>(max.count()))
    return std::nullopt;
  return Duration(static_cast<std::int64_t>(micros));
}

}  // namespace

std::optional<Duration> ParseDecimalDuration(std::string_view text) {
  return ParseDecimalTime(text, Duration(kMaxDurationUs));
}

std::optional<Duration> ParseClockReading(std::string_view text) {
  return ParseDecimalTime(text, kMaxClockReading);
}

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
