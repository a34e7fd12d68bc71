/// \file
/// One HTTP call through cpprestsdk with a bound on its whole duration. For use
/// in .cc files only, because it includes cpprestsdk.
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
  /// No connection was opened.
  kNotConnected,
  /// Anything else; the request may have been received.
  kNoReply,
};

/// The end of a call.
struct RestReply {
  RestOutcome outcome = RestOutcome::kNoReply;
  int status = 0;
  std::string body;
  std::string detail;
};

/// Sends \p request and waits for the whole reply, at most \p timeout.
RestReply CallRest(web::http::client::http_client& client,
                   const web::http::http_request& request,
                   state::Duration timeout);

/// Options of a client whose calls take at most \p timeout.
web::http::client::http_client_config RestConfig(state::Duration timeout);

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_LIB_TRANSPORT_REST_CALL_H_
