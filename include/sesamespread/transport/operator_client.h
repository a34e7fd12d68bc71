/// \file
/// HTTP client of a node's operators' port, used by the verbs `status` and
/// `drain`.
#ifndef SESAMESPREAD_TRANSPORT_OPERATOR_CLIENT_H_
#define SESAMESPREAD_TRANSPORT_OPERATOR_CLIENT_H_

#include <string>

#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Address of a node's operators' port and the credentials for it.
struct OperatorCallOptions {
  /// For example "http://127.0.0.1:9100".
  std::string url;
  std::string token;
  /// PEM file of the certificate to trust for https; empty for the system's
  /// trust store.
  std::string certificate_file;
  state::Duration timeout = std::chrono::seconds(5);
};

/// HTTP status and body of a node's reply.
struct OperatorReply {
  int status = 0;
  std::string body;
};

/// Sends one request and waits for the reply. \throws std::runtime_error if no
/// complete reply arrives within the timeout, Error with kUnauthorized for
/// status 401.
OperatorReply CallOperator(const OperatorCallOptions& options,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body = {});

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_OPERATOR_CLIENT_H_
