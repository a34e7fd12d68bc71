/// \file
/// Reads and checks a node's settings and the operators' inventory and rules.
/// A file is accepted only as a whole; all faults are reported at once.
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

/// How a node decides which requests it starts.
enum class AdmissionMode : std::uint8_t {
  /// The limit follows measured latency.
  kAdaptive = 0,
  /// The limit is always the service's slots.
  kFixed = 1,
  /// No limit; only for comparison.
  kNone = 2,
};

/// "adaptive", "fixed" or "none".
std::string_view ToString(AdmissionMode mode);

/// Lowest severity that is logged.
enum class LogLevel : std::uint8_t {
  kDebug = 0,
  kInfo = 1,
  kWarning = 2,
  kError = 3
};

/// "debug", "info", "warning" or "error".
std::string_view ToString(LogLevel level);

/// Addresses a node listens on; port 0 lets the system choose.
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
  /// Empty if the node runs without the platform.
  std::string url;
  Duration timeout{0};
  /// Empty if no token is sent.
  std::string token_file;

  auto operator<=>(const PlatformSettings&) const = default;
};

/// Access of operators to the node.
struct OperatorSettings {
  std::string token_file;
  /// Both empty for plain HTTP, else both set.
  std::string certificate_file;
  std::string key_file;

  auto operator<=>(const OperatorSettings&) const = default;
};

/// Bounds of a node's queues and waits.
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
  /// Address that other nodes use; the address of listen.peer if left out.
  std::string advertise;
  PlatformSettings platform;
  /// Gossip endpoints of other nodes.
  std::vector<Endpoint> seeds;
  OperatorSettings operators;
  LogLevel log_level = LogLevel::kInfo;
  BoundSettings bounds;
  AdmissionMode admission = AdmissionMode::kAdaptive;

  auto operator<=>(const NodeSettings&) const = default;
};

/// A YAML text and the name used for it in diagnostics.
struct SourceText {
  std::string file;
  std::string text;
};

/// Thrown with all faults of the files; what() has one line each.
class ValidationError : public Error {
 public:
  ValidationError(ResultCode code, std::vector<Diagnostic> diagnostics);

  /// In order of file, line and column.
  const std::vector<Diagnostic>& diagnostics() const { return diagnostics_; }

 private:
  std::vector<Diagnostic> diagnostics_;
};

/// Reads a node's settings. If \p known_zones is not empty, availability_zone
/// must be one of them. \throws ValidationError with kSettingsInvalid.
NodeSettings ParseNodeSettings(const SourceText& source,
                               std::span<const std::string> known_zones = {});

/// Reads the inventory and rules in \p sources, which are checked together.
/// \throws ValidationError with kConfigurationInvalid.
Configuration::Entries ParseInventory(std::span<const SourceText> sources);

/// YAML that ParseInventory reads back as the entries of \p configuration.
std::string FormatInventory(const Configuration& configuration);

/// Parses "127.0.0.1:80" or "[::1]:80"; false for anything else, host names
/// included.
bool ParseEndpoint(std::string_view text, Endpoint* endpoint);

/// The form that ParseEndpoint reads.
std::string ToString(const Endpoint& endpoint);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_SETTINGS_H_
