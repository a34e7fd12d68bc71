/// \file
/// Serialising of HTTP/1.1 messages.
#include "http_wire.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <iterator>

namespace sesamespread::transport {
namespace {

bool IsFramingField(std::string_view name) {
  constexpr std::array<std::string_view, 4> kFields = {
      "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive"};
  return std::any_of(kFields.begin(), kFields.end(),
                     [name](auto field) { return IsSameName(name, field); });
}

}  // namespace

bool IsSameName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

std::string_view FieldOf(const std::vector<protocol::Header>& headers,
                         std::string_view name) {
  for (const protocol::Header& header : headers) {
    if (IsSameName(header.name, name))
      return header.value;
  }
  return {};
}

namespace wire {

bool IsSingleLine(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](unsigned char c) {
    return (c < 0x20 && c != '\t') || c == 0x7f;
  });
}

bool IsRequestLineWord(std::string_view text) {
  return !text.empty() &&
         std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return c <= 0x20 || c == 0x7f; });
}

void AppendField(std::string* out,
                 std::string_view name,
                 std::string_view value) {
  out->append(name).append(": ").append(value).append("\r\n");
}

void AppendFields(std::string* out,
                  const std::vector<protocol::Header>& headers) {
  for (const protocol::Header& header : headers) {
    const bool valid = IsRequestLineWord(header.name) &&
                       header.name.find(':') == std::string::npos &&
                       IsSingleLine(header.value);
    if (valid && !IsFramingField(header.name))
      AppendField(out, header.name, header.value);
  }
}

state::Duration KeepAliveIdleLimit(
    const std::vector<protocol::Header>& headers) {
  // A request written less than this before the timeout may arrive after the
  // other end has closed the connection.
  constexpr state::Duration kMargin = std::chrono::milliseconds(500);
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = FieldOf(headers, "Keep-Alive");
  const std::size_t start = value.find(kName);
  if (start == std::string_view::npos)
    return state::Duration::max();
  int seconds = 0;
  const char* const first = value.data() + start + kName.size();
  const auto result =
      std::from_chars(first, value.data() + value.size(), seconds);
  if (result.ec != std::errc() || seconds < 0)
    return state::Duration::max();
  return std::chrono::seconds(seconds) - kMargin;
}

void AppendStatusLine(std::string* out, std::uint16_t status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  fmt::format_to(std::back_inserter(*out), "HTTP/1.1 {} {}\r\n", status,
                 std::string_view(reason.data(), reason.size()));
}

}  // namespace wire
}  // namespace sesamespread::transport
