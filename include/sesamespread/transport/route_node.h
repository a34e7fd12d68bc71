/// \file
/// A node that serves an operator's routes: its ports, its links to other nodes
/// and what it knows, on one event loop.
#ifndef SESAMESPREAD_TRANSPORT_ROUTE_NODE_H_
#define SESAMESPREAD_TRANSPORT_ROUTE_NODE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "sesamespread/coordination/row_store.h"
#include "sesamespread/state/backend_report.h"
#include "sesamespread/state/route_node_settings.h"
#include "sesamespread/state/route_set.h"
#include "sesamespread/transport/field_names.h"
#include "sesamespread/transport/http_message.h"

namespace sesamespread::transport {

/// The backend server leaves without a further report.
struct BackendLeave {
  state::BackendInstance identity;

  auto operator<=>(const BackendLeave&) const = default;
};

using BackendCall = std::variant<state::BackendReport, BackendLeave>;

/// What differs between the platforms that a route node can run on.
struct RouteNodeInterface {
  FieldNames fields;
  /// Table and key of the operator's document.
  std::string document_table;
  std::string document_key;
  /// Table of the nodes' addresses.
  std::string node_table;
  /// Table of backend servers that have left.
  std::string left_table;
  /// Path of the readiness check.
  std::string ready_path;
  /// Path of the health check, used until the operator's document names one.
  std::string health_path;
  /// \throws state::Error with kConfigurationInvalid.
  std::function<state::RouteSet(const std::string& document)> decode_routes;
  /// A call of the backend server; nullopt if it is not a valid one.
  std::function<std::optional<BackendCall>(const HttpRequest& request)>
      decode_backend_call;
  std::function<std::unique_ptr<coordination::RowStore>(
      boost::asio::io_context& context)>
      open_store;
};

/// The ports in use.
struct RouteNodePorts {
  std::uint16_t entry = 0;
  std::uint16_t reports = 0;
  std::uint16_t ready = 0;
  std::uint16_t peer = 0;

  auto operator<=>(const RouteNodePorts&) const = default;
};

/// One process beside a backend server.
class RouteNode {
 public:
  /// \param settings_path file that the settings came from; it is read again
  /// when it changes and on SIGHUP.
  RouteNode(const state::RouteNodeSettings& settings,
            std::string settings_path,
            RouteNodeInterface interface);
  ~RouteNode();

  RouteNode(const RouteNode&) = delete;
  RouteNode& operator=(const RouteNode&) = delete;

  RouteNodePorts ports() const;

  /// Serves until SIGTERM or SIGINT and a graceful shutdown.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_ROUTE_NODE_H_
