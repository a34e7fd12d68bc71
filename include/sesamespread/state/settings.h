/// \file
/// Parses and validates a node's settings and the operators' inventory and
/// rules. A file with any error is rejected; all errors are reported at once.
#ifndef SESAMESPREAD_STATE_SETTINGS_H_
#define SESAMESPREAD_STATE_SETTINGS_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/configuration.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/schema.h"
#include "sesamespread/state/time.h"

namespace sesamespread::state {

/// Limit on the number of requests at the backend server.
enum class AdmissionMode : std::uint8_t {
  /// The limit adapts to the measured latency.
  kAdaptive = 0,
  /// The limit is the number of slots of the service.
  kFixed = 1,
  /// No limit; for comparison only.
  kNone = 2,
};

/// "adaptive", "fixed" or "none".
std::string_view ToString(AdmissionMode mode);

/// Minimum severity of the events that are logged.
enum class LogLevel : std::uint8_t {
  kDebug = 0,
  kInfo = 1,
  kWarning = 2,
  kError = 3
};

/// "debug", "info", "warning" or "error".
std::string_view ToString(LogLevel level);

/// Addresses that a node listens on. Port 0 lets the operating system choose a
/// port.
struct ListenSettings {
  Endpoint caller;
  /// Always a loopback address.
  Endpoint backend;
  Endpoint peer;
  Endpoint gossip;
  Endpoint operators;

  auto operator<=>(const ListenSettings&) const = default;
};

/// Access to the platform's table service and object store.
struct PlatformSettings {
  /// Empty if the node does not use the platform.
  std::string url;
  /// Timeout of each request to the platform.
  Duration timeout{0};
  /// File with the bearer token; empty if no token is sent.
  std::string token_file;

  auto operator<=>(const PlatformSettings&) const = default;
};

/// Authentication and encryption of the operators' port.
struct OperatorSettings {
  /// File with the token that operators must send.
  std::string token_file;
  /// PEM certificate and private key for HTTPS. Both are empty for plain HTTP;
  /// otherwise both are set.
  std::string certificate_file;
  std::string key_file;

  auto operator<=>(const OperatorSettings&) const = default;
};

/// Limits of a node's queues, buffers and shutdown.
struct BoundSettings {
  std::uint32_t max_connections = 0;
  std::uint32_t max_requests_in_progress = 0;
  std::uint32_t max_queued_requests = 0;
  std::uint64_t max_buffered_bytes = 0;
  Duration shutdown_timeout{0};

  auto operator<=>(const BoundSettings&) const = default;
};

/// Settings of one node. Defaults are those of NodeSettingsSchema().
struct NodeSettings {
  std::string name;
  std::string availability_zone;
  ListenSettings listen;
  /// IP address at which other nodes reach this node; defaults to the address
  /// of listen.peer.
  std::string advertise;
  PlatformSettings platform;
  /// Gossip endpoints of some other nodes, which this node contacts at its
  /// start.
  std::vector<Endpoint> seeds;
  OperatorSettings operators;
  LogLevel log_level = LogLevel::kInfo;
  BoundSettings bounds;
  AdmissionMode admission = AdmissionMode::kAdaptive;

  auto operator<=>(const NodeSettings&) const = default;
};

/// A YAML text and its file name in diagnostics.
struct SourceText {
  std::string file;
  std::string text;
};

/// Thrown with all errors of the files. what() has one line for each error.
class ValidationError : public Error {
 public:
  ValidationError(ResultCode code, std::vector<Diagnostic> diagnostics);

  /// In order of file, line and column.
  const std::vector<Diagnostic>& diagnostics() const { return diagnostics_; }

 private:
  std::vector<Diagnostic> diagnostics_;
};

/// Parses a node's settings. If \p known_zones is not empty, availability_zone
/// must be one of them. \throws ValidationError with kSettingsInvalid.
NodeSettings ParseNodeSettings(const SourceText& source,
                               std::span<const std::string> known_zones = {});

/// Parses the inventory and rules in \p sources, which are validated together.
/// \throws ValidationError with kConfigurationInvalid.
Configuration::Entries ParseInventory(std::span<const SourceText> sources);

/// Formats \p configuration as YAML that ParseInventory parses back to the same
/// entries.
std::string FormatInventory(const Configuration& configuration);

/// Parses "127.0.0.1:80" or "[::1]:80". \returns false for anything else, such
/// as a host name.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

/// Formats \p endpoint in the form that ParseEndpoint parses.
std::string ToString(const Endpoint& endpoint);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_SETTINGS_H_
