/// \file
/// The operators' port of a node, on cpprestsdk: status, drain, metrics, health
/// and the read-only status page.
#ifndef SESAMESPREAD_TRANSPORT_OPERATOR_API_H_
#define SESAMESPREAD_TRANSPORT_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sesamespread/state/node_record.h"

namespace sesamespread::transport {

/// What the operators' port asks of the node. Called on threads of the
/// listener; implementations are thread-safe and do not block for long.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;

  /// Status as a JSON object.
  virtual std::string StatusJson() = 0;
  virtual std::string MetricsText() = 0;
  /// True if the node has a configuration and is not stopping.
  virtual bool IsReady() = 0;
  /// Starts to drain; false if that has happened before.
  virtual bool StartDrain() = 0;
};

/// Where and for whom the port is open.
struct OperatorApiOptions {
  state::Endpoint endpoint;
  /// Bearer token asked for by all paths but /healthz and /readyz; empty for
  /// none.
  std::string token;
  /// Both empty for plain HTTP.
  std::string certificate_file;
  std::string key_file;
};

/// Serves the operators' port.
class OperatorApi {
 public:
  /// Listens at once. \throws Error with kSettingsInvalid if it can't.
  OperatorApi(const OperatorApiOptions& options, OperatorBackend& backend);
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
