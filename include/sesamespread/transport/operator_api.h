/// \file
/// The operators' port of a node, implemented with cpprestsdk: status, drain,
/// metrics, health and readiness checks, and the read-only status page.
#ifndef SESAMESPREAD_TRANSPORT_OPERATOR_API_H_
#define SESAMESPREAD_TRANSPORT_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sesamespread/state/node_record.h"

namespace sesamespread::transport {

/// Implements the requests of the operators' port. The methods are called on
/// threads of the listener, so implementations must be thread-safe and must not
/// block for long.
class OperatorApiDelegate {
 public:
  virtual ~OperatorApiDelegate() = default;

  /// Returns the status as a JSON object.
  virtual std::string StatusJson() = 0;
  /// Returns the metrics in the Prometheus text format.
  virtual std::string MetricsText() = 0;
  /// Returns true if the node has a configuration and is not stopping.
  virtual bool IsReady() = 0;
  /// Starts a graceful shutdown. Returns false if one has started before.
  virtual bool StartDrain() = 0;
};

/// Address and access control of the operators' port.
struct OperatorApiOptions {
  state::Endpoint endpoint;
  /// Bearer token that all paths but /, /healthz and /readyz require; empty for
  /// none.
  std::string token;
  /// PEM files for TLS; both empty for plain HTTP.
  std::string certificate_file;
  std::string key_file;
};

/// Serves the operators' port.
class OperatorApi {
 public:
  /// Listens at once. \p delegate must outlive this object. \throws Error with
  /// kSettingsInvalid if the port cannot be opened.
  OperatorApi(const OperatorApiOptions& options, OperatorApiDelegate& delegate);
  ~OperatorApi();

  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  std::uint16_t port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_OPERATOR_API_H_
