/// \file
/// A node that serves the routes of an operator's document. Its ports, its
/// links to other nodes and its state run on one event loop.
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

/// Notice that the backend server leaves; no further report follows.
struct BackendLeaveNotice {
  state::BackendInstance identity;

  auto operator<=>(const BackendLeaveNotice&) const = default;
};

/// A message from the local backend server to its node.
using BackendNotice = std::variant<state::BackendReport, BackendLeaveNotice>;

/// The names, paths and decoders that depend on the platform on which a route
/// node runs.
struct PlatformInterface {
  FieldNames fields;
  /// Table and row key of the operator's document.
  std::string document_table;
  std::string document_key;
  /// Table of node records, one row per node.
  std::string node_table;
  /// Table of instances of backend servers that have left.
  std::string leave_table;
  /// Path at which the node answers readiness checks.
  std::string ready_path;
  /// Path of the backend server's health check, used unless the operator's
  /// document names one.
  std::string health_path;
  /// Decodes the operator's document. \throws state::Error with
  /// kConfigurationInvalid.
  std::function<state::RouteSet(const std::string& document)> decode_routes;
  /// Decodes a request of the backend server; nullopt if it is not a valid
  /// notice.
  std::function<std::optional<BackendNotice>(const HttpRequest& request)>
      decode_backend_notice;
  /// Connects to the platform's store on the given event loop.
  std::function<std::unique_ptr<coordination::RowStore>(
      boost::asio::io_context& context)>
      open_store;
};

/// The ports that a route node listens on.
struct RouteNodePorts {
  std::uint16_t entry = 0;
  std::uint16_t reports = 0;
  std::uint16_t ready = 0;
  std::uint16_t peer = 0;

  auto operator<=>(const RouteNodePorts&) const = default;
};

/// One node process, which runs beside a backend server.
class RouteNode {
 public:
  /// \param settings_path file that the settings were read from. It is reloaded
  /// when it changes and on SIGHUP.
  RouteNode(const state::RouteNodeSettings& settings,
            std::string settings_path,
            PlatformInterface interface);
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
