/// \file
/// Guards against invalid settings that are accepted, errors that are reported
/// one at a time or at the wrong position, and a reference page that differs
/// from the schema.
#include "sesamespread/state/settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace sesamespread::state {
namespace {

namespace fs = std::filesystem;

const fs::path kRoot = SESAMESPREAD_SOURCE_DIR;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

SourceText ReadSource(const fs::path& path) {
  return {path.filename().string(), ReadFile(path)};
}

std::vector<Diagnostic> ErrorsOf(const SourceText& source) {
  try {
    if (source.text.find("# kind: node") != std::string::npos)
      ParseNodeSettings(source);
    else
      ParseInventory({&source, 1});
  } catch (const ValidationError& error) {
    return error.diagnostics();
  }
  return {};
}

// The texts after "# expect: " in \p text, such as "2:5: error: unknown field".
std::vector<std::string> ExpectedErrors(const std::string& text) {
  constexpr std::string_view kMarker = "# expect: ";
  std::vector<std::string> expected;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.compare(0, kMarker.size(), kMarker) == 0)
      expected.push_back(line.substr(kMarker.size()));
  }
  return expected;
}

// Guards against a parser that does not terminate: YAML::LoadAll loops forever
// on this input, which the fuzzer of node settings found. It has no control
// characters.
TEST(SettingsTest, RejectsAStrayCharacterWithoutLoopingForever) {
  const SourceText source =
      ReadSource(kRoot / "fuzz/findings/node-settings-timeout");
  EXPECT_THROW(ParseNodeSettings(source), ValidationError);
}

// Guards against a parser that does not terminate: yaml-cpp loops forever on
// this input, which the fuzzer of the inventory found. It has control
// characters, which YAML does not allow.
TEST(SettingsTest, RejectsControlCharactersBeforeParsing) {
  const auto errors =
      ErrorsOf(ReadSource(kRoot / "fuzz/findings/inventory-timeout"));
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].message,
            "not valid YAML: control characters are not allowed");
  EXPECT_EQ(errors[0].line, 15);
  EXPECT_EQ(errors[0].column, 5);
}

TEST(SettingsTest, ReportsAllErrorsOfInvalidFilesWithTheirPositions) {
  std::size_t files = 0;
  for (const auto& entry : fs::directory_iterator(kRoot / "test/broken")) {
    const SourceText source = ReadSource(entry.path());
    const std::vector<Diagnostic> errors = ErrorsOf(source);
    const std::vector<std::string> expected = ExpectedErrors(source.text);
    ++files;
    ASSERT_FALSE(expected.empty()) << source.file;
    ASSERT_EQ(errors.size(), expected.size()) << source.file;
    for (std::size_t i = 0; i < errors.size(); ++i)
      EXPECT_EQ(ToString(errors[i]), source.file + ":" + expected[i]);
  }
  EXPECT_GE(files, 20u);
}

TEST(SettingsTest, ReferencePageMatchesTheSchema) {
  EXPECT_EQ(ReadFile(kRoot / "docs/SETTINGS.md"), ReferencePage());
}

TEST(SettingsTest, AcceptsExamplesAndParsesThemBackAfterFormatting) {
  for (const char* name : {"colmenar.yaml", "lembaga.yaml"}) {
    const SourceText source = ReadSource(kRoot / "examples" / name);
    const Configuration::Entries entries = ParseInventory({&source, 1});
    const SourceText printed{name, FormatInventory(Configuration(1, entries))};
    EXPECT_EQ(ParseInventory({&printed, 1}), entries) << printed.text;
  }
}

TEST(SettingsTest, ExamplesRateOrdersAndBookingsAboveBrowsing) {
  const SourceText colmenar = ReadSource(kRoot / "examples/colmenar.yaml");
  const Configuration first(1, ParseInventory({&colmenar, 1}));
  const SourceText lembaga = ReadSource(kRoot / "examples/lembaga.yaml");
  const Configuration second(1, ParseInventory({&lembaga, 1}));
  for (const auto& [rule, path] :
       {std::pair{"orders", "/new"}, {"order-payments", "/payments/1"}}) {
    const Classification order = first.Classify("orders", "POST", path);
    EXPECT_EQ(order.rule, rule);
    EXPECT_EQ(order.importance, Importance::kCritical);
    EXPECT_FALSE(order.repeatable);
  }
  const Classification booking =
      second.Classify("booking-system", "POST", "/bookings");
  EXPECT_EQ(booking.importance, Importance::kCritical);
  EXPECT_FALSE(booking.repeatable);
  const Classification browsing = first.Classify("prices", "GET", "/frames");
  EXPECT_EQ(browsing.importance, Importance::kBrowse);
  EXPECT_TRUE(browsing.repeatable);
  EXPECT_EQ(first.DownstreamServices("orders"),
            (std::vector<std::string>{"inventory", "ledger", "prices"}));
}

TEST(SettingsTest, DefaultsOfTheSchemaMatchThoseOfTheValueTypes) {
  const SourceText source{
      "limits.yaml",
      "services: [{name: a, slots: 1, connections: 1, answer_within: 1s}]\n"
      "limits: {}\n"};
  EXPECT_EQ(Configuration(1, ParseInventory({&source, 1})).limits(), Limits{});
}

TEST(SettingsTest, ChecksDuplicatesAndReferencesAcrossFiles) {
  const std::vector<SourceText> sources = {
      {"a.yaml",
       "services: [{name: a, slots: 1, connections: 1, answer_within: 1s, "
       "calls: [b]}]"},
      {"b.yaml",
       "services: [{name: b, slots: 1, connections: 1, answer_within: 1s}]"}};
  EXPECT_EQ(ParseInventory(sources).size(), 2u);
  const std::vector<SourceText> twice = {sources[0], sources[1], sources[1]};
  EXPECT_THROW(ParseInventory(twice), ValidationError);
}

TEST(SettingsTest, ParsesNodeSettingsAndAppliesDefaults) {
  const SourceText source = ReadSource(kRoot / "examples/node.yaml");
  const NodeSettings settings = ParseNodeSettings(source);
  EXPECT_EQ(settings.name, "orders-1");
  EXPECT_EQ(settings.listen.backend, (Endpoint{"127.0.0.1", 8081}));
  EXPECT_EQ(settings.advertise, "10.20.0.11");
  EXPECT_EQ(settings.platform.timeout, std::chrono::seconds(2));
  EXPECT_EQ(settings.seeds.size(), 2u);
  EXPECT_EQ(settings.bounds.max_connections, 4096u);
  EXPECT_EQ(settings.bounds.shutdown_timeout, std::chrono::seconds(30));
  EXPECT_EQ(settings.admission, AdmissionMode::kAdaptive);
  const std::vector<std::string> zones = {"litoral-b"};
  EXPECT_THROW(ParseNodeSettings(source, zones), ValidationError);
}

TEST(SettingsTest, AcceptsOnlyIpAddressesWithAPortAsEndpoints) {
  Endpoint endpoint;
  EXPECT_TRUE(ParseEndpoint("[::1]:80", &endpoint));
  EXPECT_EQ(ToString(endpoint), "[::1]:80");
  for (const char* text : {"::1:80", "localhost:80", "127.0.0.1", "[1.2.3.4]:1",
                           "127.0.0.1:65536", ":80", "127.0.0.1:"})
    EXPECT_FALSE(ParseEndpoint(text, &endpoint)) << text;
}

}  // namespace
}  // namespace sesamespread::state
