/// \file
/// HTTP messages as plain values, independent of the HTTP library.
#ifndef SESAMESPREAD_TRANSPORT_HTTP_MESSAGE_H_
#define SESAMESPREAD_TRANSPORT_HTTP_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sesamespread/protocol/messages.h"

namespace sesamespread::transport {

/// A request with its complete body.
struct HttpRequest {
  std::string method = "GET";
  /// Origin form, for example "/orders/new?x=1".
  std::string target = "/";
  std::vector<protocol::Header> headers;
  std::string body;

  auto operator<=>(const HttpRequest&) const = default;
};

/// An answer with its complete body.
struct HttpResponse {
  std::uint16_t status = 200;
  std::vector<protocol::Header> headers;
  std::string body;

  auto operator<=>(const HttpResponse&) const = default;
};

/// True if two field names are equal. Case is ignored.
bool IsSameName(std::string_view left, std::string_view right);

/// \returns the value of the first field named \p name, or an empty view if
/// there is none. Case is ignored. The view refers to \p headers.
std::string_view FieldOf(const std::vector<protocol::Header>& headers,
                         std::string_view name);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_HTTP_MESSAGE_H_
