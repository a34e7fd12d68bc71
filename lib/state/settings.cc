/// \file
/// Parses and validates a node's settings. inventory_file.cc parses the
/// inventory.
#include "sesamespread/state/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "yaml_check.h"

namespace sesamespread::state {
namespace {

constexpr std::array<std::string_view, 3> kAdmissionNames = {"adaptive",
                                                             "fixed", "none"};
constexpr std::array<std::string_view, 4> kLogLevelNames = {"debug", "info",
                                                            "warning", "error"};

template <typename Enum, std::size_t N>
Enum EnumOf(const std::array<std::string_view, N>& names,
            std::string_view text) {
  const auto found = std::find(names.begin(), names.end(), text);
  // The schema check ensures that the text is one of the names or empty.
  const auto index = found == names.end() ? 0 : found - names.begin();
  return static_cast<Enum>(index);
}

bool IsLoopback(const std::string& address) {
  return address == "::1" || address.compare(0, 4, "127.") == 0;
}

bool IsWildcard(const std::string& address) {
  return address == "0.0.0.0" || address == "::";
}

NodeSettings ReadSettings(const DocumentReader& reader) {
  NodeSettings settings;
  settings.name = reader.Text("name");
  settings.availability_zone = reader.Text("availability_zone");
  settings.listen = {
      reader.Address("listen.caller"), reader.Address("listen.backend"),
      reader.Address("listen.peer"), reader.Address("listen.gossip"),
      reader.Address("listen.operator")};
  settings.advertise = reader.Text("advertise");
  if (settings.advertise.empty())
    settings.advertise = settings.listen.peer.address;
  settings.platform = {reader.Text("platform.url"),
                       reader.Time("platform.timeout"),
                       reader.Text("platform.token_file")};
  settings.operators = {reader.Text("operator.token_file"),
                        reader.Text("operator.certificate_file"),
                        reader.Text("operator.key_file")};
  settings.log_level =
      EnumOf<LogLevel>(kLogLevelNames, reader.Text("log.level"));
  settings.bounds = {reader.Count("bounds.max_connections"),
                     reader.Count("bounds.max_requests_in_progress"),
                     reader.Count("bounds.max_queued_requests"),
                     reader.Number("bounds.max_buffered_bytes"),
                     reader.Time("bounds.shutdown_timeout")};
  settings.admission =
      EnumOf<AdmissionMode>(kAdmissionNames, reader.Text("admission"));
  return settings;
}

void ReadSeeds(const DocumentReader& reader,
               DiagnosticSink& sink,
               NodeSettings* settings) {
  const YAML::Node list = reader.Find("seeds");
  if (!list || !list.IsSequence())
    return;
  for (const auto& item : list) {
    Endpoint seed;
    if (!item.IsScalar() || !ParseEndpoint(item.Scalar(), &seed))
      continue;
    if (seed.port == 0)
      sink.Add(item.Mark(), "a seed needs a port other than 0");
    settings->seeds.push_back(seed);
  }
}

void CheckAddresses(const DocumentReader& reader,
                    const NodeSettings& settings,
                    DiagnosticSink& sink) {
  const std::string& backend = settings.listen.backend.address;
  if (!backend.empty() && !IsLoopback(backend))
    sink.Add(reader.Find("listen.backend").Mark(),
             fmt::format("'{}' is not a loopback address: only the backend "
                         "server on this host may use the port",
                         backend));
  if (!IsWildcard(settings.advertise))
    return;
  const YAML::Node advertise = reader.Find("advertise");
  if (advertise) {
    sink.Add(advertise.Mark(), "other nodes can't reach a wildcard address");
    return;
  }
  sink.Add(reader.Find("listen.peer").Mark(),
           "'advertise' is missing: other nodes can't reach a wildcard "
           "address");
}

void CheckCertificate(const DocumentReader& reader,
                      const OperatorSettings& operators,
                      DiagnosticSink& sink) {
  if (operators.certificate_file.empty() == operators.key_file.empty())
    return;
  sink.Add(reader.Find("operator").Mark(),
           "'certificate_file' and 'key_file' must be set together");
}

void CheckZone(const DocumentReader& reader,
               const NodeSettings& settings,
               std::span<const std::string> known_zones,
               DiagnosticSink& sink) {
  const std::string& zone = settings.availability_zone;
  if (known_zones.empty() || zone.empty() ||
      std::find(known_zones.begin(), known_zones.end(), zone) !=
          known_zones.end())
    return;
  sink.Add(reader.Find("availability_zone").Mark(),
           fmt::format("the inventory has no zone '{}'", zone),
           NearestName(zone, known_zones));
}

std::string JoinLines(const std::vector<Diagnostic>& diagnostics) {
  std::string text;
  for (const Diagnostic& diagnostic : diagnostics) {
    if (!text.empty())
      text += '\n';
    text += ToString(diagnostic);
  }
  return text;
}

std::vector<Diagnostic> Sorted(std::vector<Diagnostic> diagnostics) {
  std::sort(diagnostics.begin(), diagnostics.end());
  return diagnostics;
}

}  // namespace

std::string_view ToString(AdmissionMode mode) {
  return kAdmissionNames.at(static_cast<std::size_t>(mode));
}

std::string_view ToString(LogLevel level) {
  return kLogLevelNames.at(static_cast<std::size_t>(level));
}

ValidationError::ValidationError(ResultCode code,
                                 std::vector<Diagnostic> diagnostics)
    : Error(code, JoinLines(Sorted(diagnostics))),
      diagnostics_(Sorted(std::move(diagnostics))) {}

NodeSettings ParseNodeSettings(const SourceText& source,
                               std::span<const std::string> known_zones) {
  std::vector<Diagnostic> diagnostics;
  DiagnosticSink sink(source.file, &diagnostics);
  NodeSettings settings;
  const auto document = CheckDocument(source, NodeSettingsSchema(), sink);
  if (document) {
    const DocumentReader reader(NodeSettingsSchema(), *document);
    settings = ReadSettings(reader);
    ReadSeeds(reader, sink, &settings);
    CheckAddresses(reader, settings, sink);
    CheckCertificate(reader, settings.operators, sink);
    CheckZone(reader, settings, known_zones, sink);
  }
  if (!diagnostics.empty())
    throw ValidationError(ResultCode::kSettingsInvalid, std::move(diagnostics));
  return settings;
}

bool ParseEndpoint(std::string_view text, Endpoint* endpoint) {
  constexpr std::uint64_t kMaxPort = 65'535;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  std::string address(text.substr(0, colon));
  const bool bracketed =
      address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (bracketed)
    address = address.substr(1, address.size() - 2);
  const bool is_ipv6 = address.find(':') != std::string::npos;
  const auto port = ParseNumber(text.substr(colon + 1));
  if (bracketed != is_ipv6 || !IsAddress(address) || !port || *port > kMaxPort)
    return false;
  *endpoint = {std::move(address), static_cast<std::uint16_t>(*port)};
  return true;
}

std::string ToString(const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.address.find(':') != std::string::npos;
  return is_ipv6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port)
                 : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

}  // namespace sesamespread::state
