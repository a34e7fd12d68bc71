/// \file
/// Lookup of tenants by their API keys.
#ifndef SESAMESPREAD_TRANSPORT_API_KEY_TABLE_H_
#define SESAMESPREAD_TRANSPORT_API_KEY_TABLE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "sesamespread/state/route_set.h"

namespace sesamespread::transport {

/// The API keys of one version of the routes; immutable.
///
/// The keys are stored as SHA-256 digests that are salted with a secret of this
/// table. The time of a lookup therefore tells nothing about how much of a key
/// was right, and a memory dump of the table contains no key.
class ApiKeyTable {
 public:
  explicit ApiKeyTable(std::shared_ptr<const state::RouteSet> routes);

  /// The tenant that holds \p key, or nullptr. It lives as long as the routes
  /// that were passed to the constructor.
  const state::Tenant* Find(std::string_view key) const;

 private:
  static constexpr std::size_t kDigestBytes = 32;
  using Digest = std::array<unsigned char, kDigestBytes>;

  struct DigestHash {
    std::size_t operator()(const Digest& digest) const;
  };

  Digest DigestOf(std::string_view key) const;

  const std::shared_ptr<const state::RouteSet> routes_;
  Digest salt_;
  std::unordered_map<Digest, const state::Tenant*, DigestHash> tenants_;
};

/// The key in the value of an authorization field, "SCHEME KEY"; empty if
/// \p value has another form. The scheme is case-insensitive.
std::string_view ParseApiKey(std::string_view value, std::string_view scheme);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_API_KEY_TABLE_H_
