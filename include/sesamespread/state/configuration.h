/// \file
/// A version of the configuration: an immutable map of entries with a digest
/// that can be kept up to date at the cost of the change alone.
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

/// The change of one entry. Keys are "zone/<name>", "service/<name>",
/// "rule/<name>" and "limit/<name>"; values are canonical one-line YAML flow
/// maps as written by CanonicalText.
struct EntryChange {
  std::string key;
  /// The new value; nullopt removes the entry.
  std::optional<std::string> value;

  auto operator<=>(const EntryChange&) const = default;
};

/// What leads from one version to the next.
struct ConfigurationDelta {
  ConfigurationVersion from = 0;
  ConfigurationVersion to = 0;
  /// Digest of the content at version `to`.
  std::uint64_t digest = 0;
  std::vector<EntryChange> changes;

  auto operator<=>(const ConfigurationDelta&) const = default;
};

/// One version of the configuration. Immutable; shared between threads.
/// Versions that follow from each other by Apply share the parts that did not
/// change.
class Configuration {
 public:
  using Entries = std::map<std::string, std::string>;

  /// Version 0 without entries.
  Configuration() = default;

  /// Parses \p entries. \throws Error with kConfigurationInvalid if a value
  /// can't be read.
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

  /// The service called \p name, or nullptr.
  const Service* FindService(std::string_view name) const;

  /// What the rules say of a request; GET and HEAD are repeatable and standard
  /// where no rule applies, other methods neither.
  /// \pre the service exists.
  Classification Classify(std::string_view service,
                          std::string_view method,
                          std::string_view path) const;

  /// All services reached by calls from \p service, directly or not, itself
  /// excluded, in order of name. Found at the first call for a service and kept
  /// until the calls of any service change; safe to call from several threads.
  /// The reference is valid as long as this configuration.
  const std::vector<std::string>& DownstreamServices(
      std::string_view service) const;

  /// This configuration with \p delta applied. Parses only the entries that the
  /// delta names. \throws Error with kConfigurationInvalid if the delta starts
  /// from another version, a value can't be read or the digest does not match
  /// afterwards.
  Configuration Apply(const ConfigurationDelta& delta) const;

  /// The changes that lead from this content to \p target's.
  std::vector<EntryChange> DifferenceTo(const Entries& target) const;

  bool operator==(const Configuration& other) const {
    return version_ == other.version_ && entries() == other.entries();
  }

 private:
  template <typename Value>
  using ByName = std::map<std::string, Value, std::less<>>;

  // The services below those that were asked for. All of them would be the
  // largest part of a configuration: with deep call graphs each service has
  // hundreds below it.
  struct BelowCache {
    std::mutex mutex;
    ByName<std::vector<std::string>> below;
  };

  struct Drafts;

  void UpdateIndexes(const Configuration& before, bool limits_changed);
  void UseLastLimits();
  void IndexRules();
  std::vector<std::string> FindDownstreamServices(
      std::string_view service) const;

  ConfigurationVersion version_ = 0;
  // Always equal to the XOR over entries_.
  std::uint64_t digest_ = 0;
  // Never null, and never changed once a version is complete.
  std::shared_ptr<const Entries> entries_ = std::make_shared<Entries>();
  std::shared_ptr<const ByName<Service>> services_ =
      std::make_shared<ByName<Service>>();
  std::shared_ptr<const ByName<AvailabilityZone>> zones_ =
      std::make_shared<ByName<AvailabilityZone>>();
  std::shared_ptr<const ByName<Rule>> rules_ = std::make_shared<ByName<Rule>>();
  // Names of the rules of a service in the order in which they are tried.
  std::shared_ptr<const ByName<std::vector<std::string>>> rules_by_service_ =
      std::make_shared<ByName<std::vector<std::string>>>();
  // Shared by versions whose services make the same calls.
  std::shared_ptr<BelowCache> below_ = std::make_shared<BelowCache>();
  Limits limits_;
};

/// Hash of one entry; the digest is the XOR of these.
std::uint64_t EntryHash(std::string_view key, std::string_view value);

/// Canonical values of entries, readable by Configuration.
std::string CanonicalText(const AvailabilityZone& zone);
std::string CanonicalText(const Service& service);
std::string CanonicalText(const Rule& rule);
std::string CanonicalText(const Limits& limits);

/// Parses "250ms", "2s", "90us" or "5m". nullopt for anything else, a missing
/// unit included.
std::optional<Duration> ParseDuration(std::string_view text);

/// Parses a decimal number with the unit "ms" or "s", like "2.5s"; nullopt for
/// anything else and for more than a day.
std::optional<Duration> ParseDecimalDuration(std::string_view text);

/// The shortest text that ParseDuration reads back as \p duration.
std::string FormatDuration(Duration duration);

}  // namespace sesamespread::state

#endif  // SESAMESPREAD_STATE_CONFIGURATION_H_
