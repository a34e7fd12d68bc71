/// \file
/// An HTTP call with cpprestsdk and a timeout for its whole duration. Include
/// this file in .cc files only, because it includes cpprestsdk.
#ifndef SESAMESPREAD_LIB_TRANSPORT_REST_CALL_H_
#define SESAMESPREAD_LIB_TRANSPORT_REST_CALL_H_

#include <cpprest/http_client.h>

#include <cstdint>
#include <string>

#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// How a call ended.
enum class RestOutcome : std::uint8_t {
  kAnswered,
  /// No connection was opened; the request was not sent.
  kNotConnected,
  /// Any other failure. The server may have received the request.
  kNoReply,
};

/// Result of a call.
struct RestReply {
  RestOutcome outcome = RestOutcome::kNoReply;
  /// HTTP status; 0 if there is no reply.
  int status = 0;
  std::string body;
  /// Cause of a failure.
  std::string detail;
};

/// Sends \p request and blocks until the reply is complete or \p timeout has
/// passed. Does not throw on network errors.
RestReply CallRest(web::http::client::http_client& client,
                   const web::http::http_request& request,
                   state::Duration timeout);

/// Configuration of a client whose calls take at most \p timeout. Also limits
/// the threads of cpprestsdk.
web::http::client::http_client_config RestConfig(state::Duration timeout);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_LIB_TRANSPORT_REST_CALL_H_
