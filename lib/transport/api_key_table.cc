/// \file
/// Salted digests of API keys.
#include "sesamespread/transport/api_key_table.h"

#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <cstring>
#include <string>
#include <utility>

#include "sesamespread/state/result_code.h"

namespace sesamespread::transport {

static_assert(SHA256_DIGEST_LENGTH == 32);

std::size_t ApiKeyTable::DigestHash::operator()(const Digest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof hash);
  return hash;
}

ApiKeyTable::ApiKeyTable(std::shared_ptr<const state::RouteSet> routes)
    : routes_(std::move(routes)) {
  if (RAND_bytes(salt_.data(), static_cast<int>(salt_.size())) != 1)
    throw state::Error(state::ResultCode::kConfigurationInvalid,
                       "no random bytes for the table of API keys");
  for (const state::Tenant& tenant : routes_->tenants) {
    for (const std::string& key : tenant.api_keys)
      tenants_.emplace(DigestOf(key), &tenant);
  }
}

ApiKeyTable::Digest ApiKeyTable::DigestOf(std::string_view key) const {
  std::string salted(reinterpret_cast<const char*>(salt_.data()), salt_.size());
  salted += key;
  Digest digest;
  SHA256(reinterpret_cast<const unsigned char*>(salted.data()), salted.size(),
         digest.data());
  return digest;
}

const state::Tenant* ApiKeyTable::Find(std::string_view key) const {
  const auto found = tenants_.find(DigestOf(key));
  return found == tenants_.end() ? nullptr : found->second;
}

std::string_view ParseApiKey(std::string_view value, std::string_view scheme) {
  const bool has_scheme = value.size() > scheme.size() &&
                          value[scheme.size()] == ' ' &&
                          boost::beast::iequals({value.data(), scheme.size()},
                                                {scheme.data(), scheme.size()});
  if (!has_scheme)
    return {};
  std::string_view key = value.substr(scheme.size());
  key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
  key.remove_suffix(key.size() -
                    std::min(key.find_last_not_of(' ') + 1, key.size()));
  return key;
}

}  // namespace sesamespread::transport
