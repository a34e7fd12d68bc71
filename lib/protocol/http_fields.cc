/// \file
/// Parsing and formatting of HTTP header fields and problem details.
#include "sesamespread/protocol/http_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <span>

namespace sesamespread::protocol {
namespace {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ')
    text.remove_suffix(1);
  return text;
}

std::string EscapeJson(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
      escaped += fmt::format("\\{}", c);
    else if (byte < 0x20 || byte >= 0x7f)
      escaped += fmt::format("\\u{:04x}", byte);
    else
      escaped += c;
  }
  return escaped;
}

bool IsOneOf(std::string_view name, std::span<const std::string_view> fields) {
  return std::any_of(fields.begin(), fields.end(),
                     [name](std::string_view field) {
                       return EqualsIgnoringCase(field, name);
                     });
}

}  // namespace

std::optional<state::RequestId> ParseTraceparent(std::string_view value) {
  // version "-" trace-id "-" parent-id "-" flags
  constexpr std::size_t kLength = 55;
  if (value.size() != kLength || value[2] != '-' || value[35] != '-')
    return std::nullopt;
  state::RequestId id;
  if (!state::ParseHex(value.substr(3, 16), &id.high) ||
      !state::ParseHex(value.substr(19, 16), &id.low))
    return std::nullopt;
  if (id == state::RequestId{})
    return std::nullopt;
  return id;
}

std::string FormatTraceparent(const state::RequestId& id, std::uint64_t span) {
  return fmt::format("00-{}-{:016x}-01", state::ToHex(id), span);
}

std::optional<std::uint64_t> ParseTicket(std::string_view baggage) {
  while (!baggage.empty()) {
    const std::size_t comma = std::min(baggage.find(','), baggage.size());
    std::string_view member = Trim(baggage.substr(0, comma));
    baggage.remove_prefix(std::min(comma + 1, baggage.size()));
    if (member.substr(0, kTicketMember.size()) != kTicketMember)
      continue;
    member = Trim(member.substr(kTicketMember.size()));
    if (member.empty() || member.front() != '=')
      continue;
    member = Trim(member.substr(1));
    member = Trim(member.substr(0, member.find(';')));
    std::uint64_t ticket = 0;
    if (state::ParseHex(member, &ticket))
      return ticket;
  }
  return std::nullopt;
}

std::string FormatTicket(std::uint64_t ticket) {
  return fmt::format("{}={}", kTicketMember, state::ToHex(ticket));
}

bool SplitTarget(std::string_view target,
                 std::string_view* service,
                 std::string* path) {
  if (target.size() < 2 || target.front() != '/')
    return false;
  target.remove_prefix(1);
  const std::size_t end = std::min(target.find_first_of("/?"), target.size());
  if (end == 0)
    return false;
  *service = target.substr(0, end);
  *path = target.substr(end);
  if (path->empty() || path->front() != '/')
    path->insert(0, 1, '/');
  return true;
}

bool IsConnectionField(std::string_view name) {
  static constexpr std::array<std::string_view, 11> kFields = {
      "Connection",        "Keep-Alive",
      "Proxy-Connection",  "Transfer-Encoding",
      "Upgrade",           "TE",
      "Trailer",           "Expect",
      "Content-Length",    "Proxy-Authorization",
      "Proxy-Authenticate"};
  return IsOneOf(name, kFields);
}

bool IsStrippedField(std::string_view name) {
  static constexpr std::array<std::string_view, 7> kFields = {
      "Host",       kDeadlineField,    kNotRunField, kRequestIdField,
      kResultField, kTraceparentField, kBaggageField};
  return IsConnectionField(name) || IsOneOf(name, kFields);
}

std::string ProblemDetails(state::ResultCode code,
                           state::RunState run_state,
                           std::string_view detail,
                           const state::RequestId& request_id,
                           state::Duration retry_after) {
  const state::ResultCodeInfo& info = state::InfoOf(code);
  return fmt::format(
      "{{\"type\":\"urn:sesamespread:result:{}\",\"title\":\"{}\","
      "\"status\":{},\"detail\":\"{}\",\"result\":{},\"run_state\":\"{}\","
      "\"request_id\":\"{}\",\"retry_after_ms\":{}}}",
      static_cast<int>(code), EscapeJson(info.title), info.http_status,
      EscapeJson(detail), static_cast<int>(code), state::ToString(run_state),
      state::ToHex(request_id), retry_after.count() / 1000);
}

}  // namespace sesamespread::protocol
