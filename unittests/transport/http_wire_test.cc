/// \file
/// Guards against a message that is parsed differently, or ends the process,
/// because its bytes arrive in other pieces.
#include "http_wire.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace sesamespread::transport::wire {
namespace {

constexpr std::size_t kMaxHeaderBytes = 1 << 10;
constexpr std::uint64_t kMaxBodyBytes = 1 << 10;

// Result of parsing a message that arrived in pieces.
struct Parsed {
  ParseStatus status = ParseStatus::kNeedMore;
  std::string body;
  std::size_t header_count = 0;
  // Bytes of the message; those of the next one are not consumed.
  std::size_t consumed = 0;

  bool operator==(const Parsed&) const = default;
};

// Parses \p bytes whose pieces end at \p ends, as a connection does: bytes that
// the parser has not consumed are passed again together with the next piece.
template <class Parser>
Parsed ParseInPieces(std::string_view bytes,
                     const std::vector<std::size_t>& ends) {
  Parser parser(kMaxHeaderBytes, kMaxBodyBytes);
  Parsed parsed;
  for (const std::size_t end : ends) {
    if (parsed.status != ParseStatus::kNeedMore)
      break;
    std::size_t consumed = 0;
    parsed.status = parser.Feed(
        bytes.substr(parsed.consumed, end - parsed.consumed), &consumed);
    parsed.consumed += consumed;
  }
  parsed.body = parser.message().body;
  parsed.header_count = parser.message().headers.size();
  return parsed;
}

template <class Parser>
void ExpectSameInAllPieces(const std::string& bytes) {
  const std::size_t size = bytes.size();
  const Parsed whole = ParseInPieces<Parser>(bytes, {size});
  for (std::size_t first = 1; first < size; ++first) {
    for (std::size_t second = first; second < size; ++second) {
      const Parsed pieces = ParseInPieces<Parser>(bytes, {first, second, size});
      ASSERT_EQ(pieces.status, whole.status)
          << fmt::format("{}, pieces end at {} and {}", bytes, first, second);
      if (whole.status == ParseStatus::kDone) {
        ASSERT_EQ(pieces, whole)
            << fmt::format("{}, pieces end at {} and {}", bytes, first, second);
      }
    }
  }
  std::vector<std::size_t> single;
  for (std::size_t end = 1; end <= size; ++end)
    single.push_back(end);
  EXPECT_EQ(ParseInPieces<Parser>(bytes, single).status, whole.status) << bytes;
}

const char* const kBodies[] = {
    "Content-Length: 3\r\n\r\nabc",
    "Content-Length: 3\r\n\r\nabcnext",
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: a\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0;extension\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n000\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\nX: a\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\n\r\nnext",
    "Transfer-Encoding: chunked\r\n\r\nz\r\n\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0\r\nno field\r\n\r\n",
};

// A last chunk whose line arrived together with one more byte ended the
// process: the assertion of the parser needs five bytes of it.
TEST(HttpWireTest, AnAnswerDoesNotDependOnThePieces) {
  for (const char* body : kBodies)
    ExpectSameInAllPieces<ResponseParser>(std::string("HTTP/1.1 200 OK\r\n") +
                                          body);
}

TEST(HttpWireTest, ARequestDoesNotDependOnThePieces) {
  for (const char* body : kBodies)
    ExpectSameInAllPieces<RequestParser>(
        std::string("POST / HTTP/1.1\r\nHost: a\r\n") + body);
}

TEST(HttpWireTest, FindsTheEndOfAChunkedMessage) {
  const std::string message =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\nX-Trailer: a\r\n\r\n";
  const std::string bytes = message + "HTTP/1.1 500";
  const Parsed parsed = ParseInPieces<ResponseParser>(bytes, {bytes.size()});
  EXPECT_EQ(parsed.status, ParseStatus::kDone);
  EXPECT_EQ(parsed.body, "abc");
  EXPECT_EQ(parsed.header_count, 1U);
  EXPECT_EQ(parsed.consumed, message.size());
}

}  // namespace
}  // namespace sesamespread::transport::wire
