/// \file
/// Fuzzes the parsers of HTTP messages. The bytes arrive at once and in pieces,
/// and the result must be the same.
#include <algorithm>
#include <string>
#include <string_view>

#include "http_wire.h"

using namespace sesamespread::transport;

namespace {

constexpr std::size_t kMaxHeaderBytes = 512;
constexpr std::uint64_t kMaxBodyBytes = 512;

template <class Parser>
wire::ParseStatus ParseInPieces(std::string_view bytes,
                                std::size_t piece_size,
                                std::string* body) {
  Parser parser(kMaxHeaderBytes, kMaxBodyBytes);
  std::size_t parsed = 0;
  wire::ParseStatus status = wire::ParseStatus::kNeedMore;
  for (std::size_t end = 0;
       end < bytes.size() && status == wire::ParseStatus::kNeedMore;) {
    end = std::min(bytes.size(), end + piece_size);
    // A copy of the exact size, so that the address sanitizer detects reads
    // past the end.
    const std::string unparsed(bytes.substr(parsed, end - parsed));
    std::size_t consumed = 0;
    status = parser.Feed(unparsed, &consumed);
    if (consumed > unparsed.size())
      __builtin_trap();
    parsed += consumed;
  }
  *body = parser.message().body;
  return status;
}

template <class Parser>
void CheckPieces(std::string_view bytes, std::size_t piece_size) {
  std::string whole;
  std::string pieces;
  const auto expected = ParseInPieces<Parser>(bytes, bytes.size(), &whole);
  const auto status = ParseInPieces<Parser>(bytes, piece_size, &pieces);
  const bool is_done = expected == wire::ParseStatus::kDone;
  if (is_done != (status == wire::ParseStatus::kDone))
    __builtin_trap();
  if (is_done && whole != pieces)
    __builtin_trap();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size < 2)
    return 0;
  const std::size_t piece_size = 1 + data[0] % 16;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  CheckPieces<wire::RequestParser>(bytes, piece_size);
  CheckPieces<wire::ResponseParser>(bytes, piece_size);
  return 0;
}
