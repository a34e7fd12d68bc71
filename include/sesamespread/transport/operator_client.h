/// \file
/// Calls of the verbs `status` and `drain` to a node's operator port.
#ifndef SESAMESPREAD_TRANSPORT_OPERATOR_CLIENT_H_
#define SESAMESPREAD_TRANSPORT_OPERATOR_CLIENT_H_

#include <string>

#include "sesamespread/state/time.h"

namespace sesamespread::transport {

/// Access to a node's operator port.
struct OperatorCallOptions {
  /// "http://127.0.0.1:9100".
  std::string url;
  std::string token;
  /// PEM file of the certificate to trust for https; empty for the system's.
  std::string certificate_file;
  state::Duration timeout = std::chrono::seconds(5);
};

/// A node's reply.
struct OperatorReply {
  int status = 0;
  std::string body;
};

/// Sends one request. \throws std::runtime_error if no whole reply came in
/// time, Error with kUnauthorized for status 401.
OperatorReply CallOperator(const OperatorCallOptions& options,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body = {});

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_OPERATOR_CLIENT_H_
