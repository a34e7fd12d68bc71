/// \file
/// Validates a YAML document against a schema table.
#include "yaml_check.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <set>
#include <sstream>
#include <utility>

namespace sesamespread::state {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxPathLength = 1024;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

bool IsPathCharacter(char c) {
  // Quotes, backslashes, blanks and control characters are excluded, so that
  // canonical text needs no escaping.
  constexpr std::string_view kOthers = "/._~%+:@,;=!$&()*-";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || kOthers.find(c) != std::string_view::npos;
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(separator), text.size());
    parts.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

std::string ValidateName(const SchemaRow& /*row*/, const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength)
    return fmt::format("a name must have 1 to {} characters", kMaxNameLength);
  if (!std::all_of(text.begin(), text.end(), IsNameCharacter) ||
      text.front() == '-')
    return fmt::format(
        "'{}' is not a name: only a-z, 0-9 and '-', not starting with '-'",
        text);
  return {};
}

std::string ValidateText(const SchemaRow& /*row*/, const std::string& text) {
  return text.empty() ? "the text is empty" : "";
}

std::string ValidateNumber(const SchemaRow& row, const std::string& text) {
  const auto number = ParseNumber(text);
  if (!number)
    return fmt::format("'{}' is not a decimal whole number", text);
  if (*number < row.min || *number > row.max)
    return fmt::format("{} is not in the range {} to {}", text, row.min,
                       row.max);
  return {};
}

std::string ValidateDuration(const SchemaRow& row, const std::string& text) {
  if (ParseNumber(text))
    return fmt::format("the duration '{}' has no unit: us, ms, s or m", text);
  const auto duration = ParseDuration(text);
  if (!duration)
    return fmt::format(
        "'{}' is not a duration: a whole number with us, ms, s or m, at most a "
        "day",
        text);
  const auto count = static_cast<std::uint64_t>(duration->count());
  if (count < row.min || count > row.max)
    return fmt::format(
        "{} is not in the range {} to {}", text,
        FormatDuration(Duration(static_cast<std::int64_t>(row.min))),
        FormatDuration(Duration(static_cast<std::int64_t>(row.max))));
  return {};
}

std::string ValidateBoolean(const SchemaRow& /*row*/, const std::string& text) {
  return text == "true" || text == "false"
             ? ""
             : fmt::format("'{}' is neither true nor false", text);
}

std::string ValidateChoice(const SchemaRow& row, const std::string& text) {
  const auto choices = Split(row.choices, '|');
  if (std::find(choices.begin(), choices.end(), text) != choices.end())
    return {};
  return fmt::format("'{}' is not one of {}", text, fmt::join(choices, ", "));
}

std::string ValidateAddress(const SchemaRow& /*row*/, const std::string& text) {
  return IsAddress(text) ? "" : fmt::format("'{}' is not an IP address", text);
}

std::string ValidateEndpoint(const SchemaRow& /*row*/,
                             const std::string& text) {
  Endpoint endpoint;
  return ParseEndpoint(text, &endpoint)
             ? ""
             : fmt::format(
                   "'{}' is not an IP address and port like "
                   "127.0.0.1:80 or [::1]:80",
                   text);
}

std::string ValidateUrl(const SchemaRow& /*row*/, const std::string& text) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (text.size() > scheme.size() &&
        text.compare(0, scheme.size(), scheme) == 0 &&
        text.find_first_of(" \t\"\\") == std::string::npos)
      return {};
  }
  return fmt::format("'{}' is not an http:// or https:// URL", text);
}

std::string ValidatePath(const SchemaRow& /*row*/, const std::string& text) {
  if (text.empty() || text.front() != '/')
    return fmt::format("'{}' does not start with '/'", text);
  if (text.size() > kMaxPathLength)
    return fmt::format("the path is longer than {} characters", kMaxPathLength);
  if (!std::all_of(text.begin(), text.end(), IsPathCharacter))
    return fmt::format("'{}' has characters that are not allowed in a path",
                       text);
  return {};
}

std::string ValidateTarget(const SchemaRow& row, const std::string& text) {
  const std::size_t query = std::min(text.find('?'), text.size());
  if (!std::all_of(text.begin() + static_cast<std::ptrdiff_t>(query),
                   text.end(),
                   [](char c) { return c == '?' || IsPathCharacter(c); }))
    return fmt::format("'{}' has characters that are not allowed in a query",
                       text);
  return ValidatePath(row, text.substr(0, query));
}

std::string ValidateShare(const SchemaRow& /*row*/, const std::string& text) {
  const auto share = ParseDecimal(text);
  return share && *share <= 1
             ? ""
             : fmt::format("'{}' is not a number from 0 to 1", text);
}

std::string ValidateDecimalDuration(const SchemaRow& row,
                                    const std::string& text) {
  const auto duration = ParseDecimalDuration(text);
  if (!duration)
    return fmt::format("'{}' is not a number with the unit ms or s", text);
  const auto count = static_cast<std::uint64_t>(duration->count());
  if (count >= row.min && count <= row.max)
    return {};
  return fmt::format(
      "{} is not in the range {} to {}", text,
      FormatDuration(Duration(static_cast<std::int64_t>(row.min))),
      FormatDuration(Duration(static_cast<std::int64_t>(row.max))));
}

struct TypeRules {
  // nullptr if the value is not a scalar.
  std::string (*validate_scalar)(const SchemaRow&, const std::string&);
  bool is_list;
};

// In the order of FieldType.
constexpr TypeRules kTypeRules[] = {
    {nullptr, false},                  // kMap
    {nullptr, true},                   // kMapList
    {ValidateName, false},             // kName
    {ValidateName, true},              // kNameList
    {ValidateText, false},             // kText
    {ValidateNumber, false},           // kCount
    {ValidateNumber, false},           // kBytes
    {ValidateDuration, false},         // kDuration
    {ValidateBoolean, false},          // kBoolean
    {ValidateChoice, false},           // kChoice
    {ValidateChoice, true},            // kChoiceList
    {ValidateAddress, false},          // kAddress
    {ValidateEndpoint, false},         // kEndpoint
    {ValidateEndpoint, true},          // kEndpointList
    {ValidateUrl, false},              // kUrl
    {ValidatePath, false},             // kPathPrefix
    {ValidateTarget, false},           // kTarget
    {ValidateShare, false},            // kShare
    {ValidateDecimalDuration, false},  // kDecimalDuration
};

const TypeRules& RulesOf(FieldType type) {
  const auto index = static_cast<std::size_t>(type);
  assert(index < std::size(kTypeRules) && "field type out of range");
  return kTypeRules[index];
}

// Returns the position of the first character that YAML does not allow; nullopt
// if there is none.
std::optional<YAML::Mark> FindForbiddenCharacter(std::string_view text) {
  YAML::Mark mark;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if ((byte < 0x20 && c != '\t' && c != '\n' && c != '\r') || byte == 0x7f)
      return mark;
    ++mark.pos;
    ++mark.column;
    if (c != '\n')
      continue;
    ++mark.line;
    mark.column = 0;
  }
  return std::nullopt;
}

// Records the position at which the last parsed document begins.
// YAML::LoadAll is not used because it loops forever on some stray characters,
// at which the parser begins a new document without consuming input.
class DocumentStartHandler : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& mark) override {
    root_ = mark;
    has_root_ = false;
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t) override { Add(mark); }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override { Add(mark); }
  void OnScalar(const YAML::Mark& mark,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override {
    Add(mark);
  }
  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override {
    Add(mark);
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& mark,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override {
    Add(mark);
  }
  void OnMapEnd() override {}

  // Position of the first node of the last document.
  const YAML::Mark& root() const { return root_; }

 private:
  void Add(const YAML::Mark& mark) {
    if (!std::exchange(has_root_, true))
      root_ = mark;
  }

  YAML::Mark root_;
  bool has_root_ = false;
};

// Returns the position of the second document; nullopt if there is only one.
std::optional<YAML::Mark> FindSecondDocument(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  DocumentStartHandler starts;
  if (!parser.HandleNextDocument(starts) || !parser.HandleNextDocument(starts))
    return std::nullopt;
  return starts.root();
}

class DocumentChecker {
 public:
  DocumentChecker(std::span<const SchemaRow> schema, DiagnosticSink& sink)
      : schema_(schema), sink_(sink) {}

  // Validates the map at the path \p prefix, such as "", "listen." or
  // "services[].".
  void CheckMap(const YAML::Node& node, const std::string& prefix) {
    if (!node.IsMap()) {
      sink_.Add(node.Mark(), "expected a map of fields");
      return;
    }
    std::set<std::string> seen;
    for (const auto& item : node)
      CheckField(item.first, item.second, prefix, &seen);
    for (const SchemaRow* row : Children(prefix)) {
      const std::string key(row->path.substr(prefix.size()));
      if (row->required && seen.find(key) == seen.end())
        sink_.Add(node.Mark(), fmt::format("the field '{}' is missing", key));
    }
  }

 private:
  std::vector<const SchemaRow*> Children(const std::string& prefix) const {
    std::vector<const SchemaRow*> rows;
    for (const SchemaRow& row : schema_) {
      if (row.path.substr(0, prefix.size()) == prefix &&
          row.path.find_first_of(".[", prefix.size()) == std::string_view::npos)
        rows.push_back(&row);
    }
    return rows;
  }

  void CheckField(const YAML::Node& key,
                  const YAML::Node& value,
                  const std::string& prefix,
                  std::set<std::string>* seen) {
    if (!key.IsScalar()) {
      sink_.Add(key.Mark(), "expected the name of a field");
      return;
    }
    const std::string& name = key.Scalar();
    if (!seen->insert(name).second) {
      sink_.Add(key.Mark(), fmt::format("the field '{}' is given twice", name));
      return;
    }
    std::vector<std::string> names;
    for (const SchemaRow* row : Children(prefix)) {
      names.emplace_back(row->path.substr(prefix.size()));
      if (names.back() != name)
        continue;
      CheckValue(*row, value);
      return;
    }
    sink_.Add(key.Mark(), fmt::format("unknown field '{}'", name),
              NearestName(name, names));
  }

  void CheckValue(const SchemaRow& row, const YAML::Node& value) {
    if (!RulesOf(row.type).is_list) {
      CheckSingleValue(row, value, ".");
      return;
    }
    if (!value.IsSequence()) {
      sink_.Add(value.Mark(), fmt::format("'{}' must be a list", row.path));
      return;
    }
    for (const auto& item : value)
      CheckSingleValue(row, item, "[].");
  }

  void CheckSingleValue(const SchemaRow& row,
                        const YAML::Node& value,
                        const char* separator) {
    const TypeRules& rules = RulesOf(row.type);
    if (rules.validate_scalar == nullptr) {
      CheckMap(value, std::string(row.path) + separator);
      return;
    }
    if (!value.IsScalar()) {
      sink_.Add(value.Mark(), fmt::format("'{}' must be a single value, not {}",
                                          row.path, KindOf(value)));
      return;
    }
    const std::string error_text = rules.validate_scalar(row, value.Scalar());
    if (!error_text.empty())
      sink_.Add(value.Mark(), error_text,
                NearestName(value.Scalar(), Split(row.choices, '|')));
  }

  static std::string_view KindOf(const YAML::Node& value) {
    if (value.IsMap())
      return "a map";
    return value.IsSequence() ? "a list" : "null";
  }

  std::span<const SchemaRow> schema_;
  DiagnosticSink& sink_;
};

}  // namespace

void DiagnosticSink::Add(const YAML::Mark& mark,
                         std::string message,
                         std::string nearest) {
  out_->push_back({file_, std::max(mark.line, 0) + 1,
                   std::max(mark.column, 0) + 1, std::move(message),
                   std::move(nearest)});
}

std::optional<YAML::Node> CheckDocument(const SourceText& source,
                                        std::span<const SchemaRow> schema,
                                        DiagnosticSink& sink) {
  if (const auto mark = FindForbiddenCharacter(source.text)) {
    sink.Add(*mark, "not valid YAML: control characters are not allowed");
    return std::nullopt;
  }
  YAML::Node document;
  std::optional<YAML::Mark> second;
  try {
    document = YAML::Load(source.text);
    second = FindSecondDocument(source.text);
  } catch (const YAML::Exception& error) {
    sink.Add(error.mark, fmt::format("not valid YAML: {}", error.msg));
    return std::nullopt;
  }
  if (document.IsNull()) {
    sink.Add(YAML::Mark(), "the file is empty");
    return std::nullopt;
  }
  // YAML::Load parses only the first document; without this check, all text
  // after a "---" would be ignored without an error.
  if (second)
    sink.Add(*second, "a file must have only one YAML document");
  DocumentChecker(schema, sink).CheckMap(document, "");
  if (!document.IsMap())
    return std::nullopt;
  return document;
}

std::string ValidateScalar(const SchemaRow& row, const std::string& text) {
  return RulesOf(row.type).validate_scalar(row, text);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return value;
}

bool IsAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

std::optional<double> ParseDecimal(std::string_view text) {
  constexpr std::string_view kCharacters = "0123456789.";
  if (text.empty() ||
      text.find_first_not_of(kCharacters) != std::string_view::npos)
    return std::nullopt;
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return number;
}

const SchemaRow& RowOf(std::span<const SchemaRow> schema,
                       std::string_view path) {
  const auto found =
      std::find_if(schema.begin(), schema.end(),
                   [path](const SchemaRow& row) { return row.path == path; });
  assert(found != schema.end() && "no such field in the schema");
  return *found;
}

std::string TextOrDefault(const YAML::Node& map,
                          const char* key,
                          const SchemaRow& row) {
  if (map.IsMap()) {
    const YAML::Node value = map[key];
    if (value && value.IsScalar() &&
        ValidateScalar(row, value.Scalar()).empty())
      return value.Scalar();
  }
  return std::string(row.fallback);
}

YAML::Node DocumentReader::Find(const std::string& path) const {
  const std::size_t dot = path.find('.');
  if (dot == std::string::npos)
    return root_[path];
  const YAML::Node map = root_[path.substr(0, dot)];
  if (!map || !map.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  return map[path.substr(dot + 1)];
}

std::string DocumentReader::Text(const std::string& path) const {
  const SchemaRow& row = RowOf(schema_, path);
  const std::size_t dot = path.find('.');
  if (dot == std::string::npos)
    return TextOrDefault(root_, path.c_str(), row);
  const YAML::Node map = root_[path.substr(0, dot)];
  if (!map)
    return std::string(row.fallback);
  return TextOrDefault(map, path.c_str() + dot + 1, row);
}

std::uint64_t DocumentReader::Number(const std::string& path) const {
  return ParseNumber(Text(path)).value_or(0);
}

std::uint32_t DocumentReader::Count(const std::string& path) const {
  return static_cast<std::uint32_t>(Number(path));
}

Duration DocumentReader::Time(const std::string& path) const {
  return ParseDuration(Text(path)).value_or(Duration(0));
}

Duration DocumentReader::DecimalTime(const std::string& path) const {
  return ParseDecimalDuration(Text(path)).value_or(Duration(0));
}

double DocumentReader::Share(const std::string& path) const {
  return ParseDecimal(Text(path)).value_or(0);
}

Endpoint DocumentReader::Address(const std::string& path) const {
  Endpoint endpoint;
  ParseEndpoint(Text(path), &endpoint);
  return endpoint;
}

}  // namespace sesamespread::state
