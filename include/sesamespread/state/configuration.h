/// \file
/// A version of the configuration: an immutable map of entries with a digest.
/// Applying a delta updates the digest in time proportional to the number of
/// changed entries.
#ifndef SESAMESPREAD_STATE_CONFIGURATION_H_
#define SESAMESPREAD_STATE_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/inventory.h"

namespace sesamespread::state {

/// A change to one entry. Keys are "zone/<name>", "service/<name>",
/// "rule/<name>" and "limit/<name>"; values are canonical one-line YAML flow
/// maps as written by CanonicalText.
struct EntryChange {
  std::string key;
  /// The new value; nullopt removes the entry.
  std::optional<std::string> value;

  auto operator<=>(const EntryChange&) const = default;
};

/// The changes that turn version `from` into version `to`.
struct ConfigurationDelta {
  ConfigurationVersion from = 0;
  ConfigurationVersion to = 0;
  /// Digest of the content at version `to`.
  std::uint64_t digest = 0;
  std::vector<EntryChange> changes;

  auto operator<=>(const ConfigurationDelta&) const = default;
};

/// One version of the configuration. Immutable, so that threads can share it.
/// A version that Apply returns shares the unchanged parts with the version
/// that it was derived from.
class Configuration {
 public:
  using Entries = std::map<std::string, std::string>;

  /// Constructs version 0 without entries.
  Configuration() = default;

  /// Parses \p entries. \throws Error with kConfigurationInvalid if a key or a
  /// value is not valid.
  Configuration(ConfigurationVersion version, Entries entries);

  ConfigurationVersion version() const { return version_; }
  /// XOR of the hashes of all entries.
  std::uint64_t digest() const { return digest_; }
  const Entries& entries() const { return *entries_; }

  const std::map<std::string, Service, std::less<>>& services() const {
    return *services_;
  }
  const std::map<std::string, AvailabilityZone, std::less<>>& zones() const {
    return *zones_;
  }
  const std::map<std::string, Rule, std::less<>>& rules() const {
    return *rules_;
  }
  const Limits& limits() const { return limits_; }

  /// The service with the name \p name, or nullptr if there is none. The
  /// pointer is valid as long as this configuration.
  const Service* FindService(std::string_view name) const;

  /// Classifies a request by the first rule of \p service that matches it. If
  /// none matches, its importance is standard and only GET and HEAD are
  /// repeatable.
  /// \pre the service exists.
  Classification Classify(std::string_view service,
                          std::string_view method,
                          std::string_view path) const;

  /// All services that \p service calls directly or indirectly, without itself,
  /// in order of name; empty for an unknown service. The result is computed on
  /// the first request for a service and cached until the calls of any service
  /// change. Thread-safe. The reference is valid as long as this configuration.
  const std::vector<std::string>& DownstreamServices(
      std::string_view service) const;

  /// Returns a copy of this configuration with \p delta applied. Parses only
  /// the entries that the delta changes. \throws Error with
  /// kConfigurationInvalid if the delta starts from another version, a key or a
  /// value is not valid or the resulting digest differs from the digest of the
  /// delta.
  Configuration Apply(const ConfigurationDelta& delta) const;

  /// The changes that turn the entries of this configuration into \p target, in
  /// order of key.
  std::vector<EntryChange> DifferenceTo(const Entries& target) const;

  bool operator==(const Configuration& other) const {
    return version_ == other.version_ && entries() == other.entries();
  }

 private:
  template <typename Value>
  using ByName = std::map<std::string, Value, std::less<>>;

  // Downstream services of the services that were requested. They are not
  // computed in advance for all services: in a deep call graph each service has
  // hundreds of downstream services, which would make up most of the
  // configuration's memory.
  struct DownstreamCache {
    std::mutex mutex;
    ByName<std::vector<std::string>> downstream;
  };

  struct MutableParts;

  void UpdateIndexes(const Configuration& before, bool limits_changed);
  void ApplyLastLimits();
  void IndexRules();
  std::vector<std::string> FindDownstreamServices(
      std::string_view service) const;

  ConfigurationVersion version_ = 0;
  // Always equal to the XOR of the hashes of entries_.
  std::uint64_t digest_ = 0;
  // The pointers to constant objects below are never null, and their objects
  // are not modified once the version is constructed.
  std::shared_ptr<const Entries> entries_ = std::make_shared<Entries>();
  std::shared_ptr<const ByName<Service>> services_ =
      std::make_shared<ByName<Service>>();
  std::shared_ptr<const ByName<AvailabilityZone>> zones_ =
      std::make_shared<ByName<AvailabilityZone>>();
  std::shared_ptr<const ByName<Rule>> rules_ = std::make_shared<ByName<Rule>>();
  // Names of the rules of each service, in the order in which they are matched.
  std::shared_ptr<const ByName<std::vector<std::string>>> rules_by_service_ =
      std::make_shared<ByName<std::vector<std::string>>>();
  // Shared by consecutive versions whose services make the same calls.
  std::shared_ptr<DownstreamCache> downstream_cache_ =
      std::make_shared<DownstreamCache>();
  Limits limits_;
};

/// Hash of one entry; the digest of a configuration is the XOR of these.
std::uint64_t EntryHash(std::string_view key, std::string_view value);

/// The canonical value of an entry, which Configuration parses back.
std::string CanonicalText(const AvailabilityZone& zone);
std::string CanonicalText(const Service& service);
std::string CanonicalText(const Rule& rule);
std::string CanonicalText(const Limits& limits);

/// Parses a whole number with a unit, such as "250ms", "2s", "90us" or "5m".
/// \returns nullopt for anything else, such as a number without a unit, and for
/// more than a day.
std::optional<Duration> ParseDuration(std::string_view text);

/// Parses a decimal number with the unit "ms" or "s", such as "2.5s". \returns
/// nullopt for anything else and for more than a day.
std::optional<Duration> ParseDecimalDuration(std::string_view text);

/// Parses a reading of a clock, a decimal number with the unit "ms" or "s".
/// \returns nullopt for anything else and for more than kMaxClockReading.
std::optional<Duration> ParseClockReading(std::string_view text);

/// The shortest text that ParseDuration parses back to \p duration.
std::string FormatDuration(Duration duration);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_CONFIGURATION_H_
