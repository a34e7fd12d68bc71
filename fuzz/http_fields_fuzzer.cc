/// \file
/// Fuzzes the parsers of HTTP header fields, request targets and idempotency
/// keys, and the encoder of problem details with untrusted text.
#include <string>
#include <string_view>

#include "sesamespread/coordination/idempotency.h"
#include "sesamespread/protocol/http_fields.h"

using namespace sesamespread;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  // A copy of the exact size, so that the address sanitizer detects reads past
  // the end.
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::string_view service;
  std::string path;
  if (protocol::SplitTarget(text, &service, &path) &&
      (service.empty() || path.empty() || path[0] != '/'))
    __builtin_trap();
  if (const auto id = protocol::ParseTraceparent(text)) {
    if (protocol::ParseTraceparent(protocol::FormatTraceparent(*id, 1)) != id)
      __builtin_trap();
  }
  if (const auto ticket = protocol::ParseTicket(text)) {
    if (protocol::ParseTicket(protocol::FormatTicket(*ticket)) != ticket)
      __builtin_trap();
  }
  if (const auto key = coordination::ParseKey(text)) {
    if (coordination::FormatKey(*key) != text)
      __builtin_trap();
  }
  protocol::IsStrippedField(text);
  const std::string problem = protocol::ProblemDetails(
      state::ResultCode::kMalformedRequest, state::RunState::kNotRun, text, {},
      state::Duration(0));
  // Control characters of untrusted text must be escaped in the JSON string.
  for (const char c : problem) {
    if (static_cast<unsigned char>(c) < 0x20)
      __builtin_trap();
  }
  return 0;
}
