/// \file
/// Parsing and serialising of HTTP/1.1 messages, shared by server and client.
/// The parser derives from that of Boost.Beast and writes directly into
/// HttpRequest and HttpResponse. It is stricter than Beast wherever two
/// implementations could disagree about the end of a message, which would allow
/// request smuggling.
#ifndef SESAMESPREAD_LIB_TRANSPORT_HTTP_WIRE_H_
#define SESAMESPREAD_LIB_TRANSPORT_HTTP_WIRE_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sesamespread/transport/http_message.h"

namespace sesamespread::transport::wire {

/// Result of parsing a part of a message.
enum class ParseStatus : std::uint8_t {
  kNeedMore,
  kDone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

/// Parser for one message of type HttpRequest or HttpResponse.
template <bool is_request, class Message>
class MessageParser : public boost::beast::http::basic_parser<is_request> {
  using Base = boost::beast::http::basic_parser<is_request>;
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

 public:
  MessageParser(std::size_t max_header_bytes, std::uint64_t max_body_bytes)
      : max_header_bytes_(max_header_bytes) {
    this->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
        max_header_bytes, std::numeric_limits<std::uint32_t>::max())));
    this->body_limit(max_body_bytes);
  }

  /// Parses a prefix of \p data. The caller passes bytes that were not consumed
  /// again with the next call. Bytes after the end of the message are never
  /// consumed.
  ParseStatus Feed(std::string_view data, std::size_t* consumed) {
    *consumed = 0;
    while (!this->is_done()) {
      if (*consumed == data.size())
        return ParseStatus::kNeedMore;
      const bool in_header = !this->is_header_done();
      const std::string_view rest = data.substr(*consumed);
      if (IsAtChunkHeader() && rest.size() < kMinChunkedRestBytes)
        return ParseStatus::kNeedMore;
      ErrorCode error;
      const std::size_t used =
          this->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
      *consumed += used;
      if (in_header)
        header_bytes_ += used;
      else
        body_wire_bytes_ += used;
      if (error == boost::beast::http::error::need_more)
        return CheckUnparsedBytes(data.size() - *consumed);
      if (error)
        return Fail(error);
      if (header_bytes_ > max_header_bytes_ || HasTooMuchFraming())
        return Fail(boost::beast::http::error::header_limit);
    }
    return ParseStatus::kDone;
  }

  /// Ends the input. \returns true if the message is complete, which includes a
  /// body without declared length that ends with the connection.
  bool FinishAtEof() {
    if (!this->is_header_done())
      return false;
    ErrorCode error;
    this->put_eof(error);
    return !error && this->is_done();
  }

  Message& message() { return message_; }

  std::size_t header_bytes() const { return header_bytes_; }
  /// Bytes of the message that were parsed, with its framing.
  std::size_t received_bytes() const {
    return header_bytes_ + body_wire_bytes_;
  }
  /// Memory of the message so far. The objects of short header lines take more
  /// than their bytes.
  std::size_t held_bytes() const {
    return header_bytes_ +
           message_.headers.capacity() * sizeof(protocol::Header) +
           message_.body.size();
  }

  /// Why the message is malformed.
  const std::string& detail() const { return detail_; }

  bool expects_continue() const { return expects_continue_; }

  /// The version HTTP/1.0 or HTTP/1.1 as 10 or 11.
  int version() const { return version_; }

 private:
  // The last chunk "0" with both of its line ends. No chunked message ends with
  // fewer bytes after the place of a chunk header. Beast asserts that it
  // has them once it has seen the first line end of a last chunk, so that a
  // message in other pieces would end the process.
  static constexpr std::size_t kMinChunkedRestBytes = 5;

  bool IsAtChunkHeader() const {
    return this->is_header_done() && this->chunked() && chunk_left_ == 0;
  }

  // Chunks of one byte take 6 bytes each. Chunk extensions beyond that have the
  // limit of the header in sum.
  bool HasTooMuchFraming() const {
    constexpr std::size_t kMaxWireBytesPerByte = 8;
    return body_wire_bytes_ >
           max_header_bytes_ + kMaxWireBytesPerByte * message_.body.size();
  }

  // Checks the size of the bytes that the parser has not consumed.
  ParseStatus CheckUnparsedBytes(std::size_t unparsed) {
    // Chunk extensions and trailers have the same limit as the header.
    const std::size_t before = this->is_header_done() ? 0 : header_bytes_;
    if (before + unparsed > max_header_bytes_)
      return Fail(boost::beast::http::error::header_limit);
    return ParseStatus::kNeedMore;
  }

  ParseStatus Fail(ErrorCode error) {
    if (detail_.empty())
      detail_ = error.message();
    if (error == boost::beast::http::error::header_limit)
      return ParseStatus::kHeaderTooLarge;
    if (error == boost::beast::http::error::body_limit)
      return ParseStatus::kBodyTooLarge;
    return ParseStatus::kMalformed;
  }

  void Reject(std::string_view detail, ErrorCode& error) {
    detail_ = detail;
    error = boost::beast::http::error::bad_value;
  }

  void on_request_impl(boost::beast::http::verb,
                       StringView method,
                       StringView target,
                       int version,
                       ErrorCode& error) override {
    if constexpr (is_request) {
      message_.method.assign(method.data(), method.size());
      message_.target.assign(target.data(), target.size());
      version_ = version;
      if (target[0] != '/' && target != "*")
        Reject("the request target is not in origin form", error);
    }
  }

  void on_response_impl(int code,
                        StringView,
                        int version,
                        ErrorCode& error) override {
    if constexpr (!is_request) {
      message_.status = static_cast<std::uint16_t>(code);
      version_ = version;
      if (code < 100 || code > 599)
        Reject("the status code is out of range", error);
    }
  }

  void on_field_impl(boost::beast::http::field id,
                     StringView name,
                     StringView value,
                     ErrorCode& error) override {
    using boost::beast::http::field;
    // Trailers are dropped: they must not be taken for header fields.
    if (header_done_)
      return;
    switch (id) {
      case field::content_length:
        // Beast accepts repeated equal lengths, which other implementations may
        // interpret differently.
        if (content_length_count_++ > 0 || value.find(',') != StringView::npos)
          return Reject("Content-Length is repeated", error);
        break;
      case field::transfer_encoding:
        // Beast parses a message with any other coding as one without a body.
        if (version_ < 11 || !boost::beast::iequals(value, "chunked"))
          return Reject("Transfer-Encoding is not supported", error);
        break;
      case field::host:
        if (host_count_++ > 0)
          return Reject("Host is repeated", error);
        break;
      case field::expect:
        expects_continue_ =
            version_ >= 11 && boost::beast::iequals(value, "100-continue");
        break;
      default:
        break;
    }
    message_.headers.push_back({std::string(name.data(), name.size()),
                                std::string(value.data(), value.size())});
  }

  void on_header_impl(ErrorCode& error) override {
    header_done_ = true;
    if (is_request && version_ >= 11 && host_count_ == 0)
      Reject("Host is missing", error);
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         ErrorCode& error) override {
    // A declared length alone must not cause an allocation of max_body_bytes.
    constexpr std::size_t kMaxReservedBytes = 64 << 10;
    error = {};
    declared_bytes_ = length ? static_cast<std::size_t>(*length) : 0;
    message_.body.reserve(
        std::min<std::size_t>(declared_bytes_, kMaxReservedBytes));
  }

  std::size_t on_body_impl(StringView body, ErrorCode& error) override {
    error = {};
    std::string& whole = message_.body;
    const std::size_t needed = whole.size() + body.size();
    // Growth beyond the declared length would only waste memory.
    if (needed > whole.capacity() && declared_bytes_ >= needed)
      whole.reserve(std::min(2 * needed, declared_bytes_));
    whole.append(body.data(), body.size());
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t size,
                            StringView,
                            ErrorCode& error) override {
    error = {};
    chunk_left_ = size;
  }

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 StringView body,
                                 ErrorCode& error) override {
    chunk_left_ -= body.size();
    return on_body_impl(body, error);
  }

  void on_finish_impl(ErrorCode& error) override { error = {}; }

  const std::size_t max_header_bytes_;
  std::size_t header_bytes_ = 0;
  /// Bytes behind the header, with the framing of chunks.
  std::size_t body_wire_bytes_ = 0;
  int version_ = 0;
  int content_length_count_ = 0;
  int host_count_ = 0;
  bool expects_continue_ = false;
  bool header_done_ = false;
  /// Length of the body as declared in the header; 0 if it is not.
  std::size_t declared_bytes_ = 0;
  /// Bytes of the current chunk that were not parsed.
  std::uint64_t chunk_left_ = 0;
  Message message_;
  std::string detail_;
};

using RequestParser = MessageParser<true, HttpRequest>;
using ResponseParser = MessageParser<false, HttpResponse>;

/// True if \p text has no control character other than a tab. Others, such as a
/// line end, could end a field or a start line early.
bool IsSingleLine(std::string_view text);

/// True if \p text is valid as method or target in a request line: not empty
/// and without spaces and control characters.
bool IsRequestLineWord(std::string_view text);

/// Appends "name: value" and a line end.
void AppendField(std::string* out,
                 std::string_view name,
                 std::string_view value);

/// Appends \p headers except fields that frame the message (Content-Length,
/// Transfer-Encoding, Connection, Keep-Alive) and fields that are not valid on
/// a single line.
void AppendFields(std::string* out,
                  const std::vector<protocol::Header>& headers);

/// \returns the idle time up to which a connection may be reused:
/// the timeout in the Keep-Alive field of an answer with \p headers, less a
/// margin for the network delay; Duration::max() if there is none.
state::Duration KeepAliveIdleLimit(
    const std::vector<protocol::Header>& headers);

/// Appends an HTTP/1.1 status line.
void AppendStatusLine(std::string* out, std::uint16_t status);

}  // namespace sesamespread::transport::wire

#endif  // SESAMESPREAD_LIB_TRANSPORT_HTTP_WIRE_H_
