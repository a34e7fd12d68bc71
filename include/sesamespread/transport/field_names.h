/// \file
/// Names of the header fields that carry metadata of a request between callers,
/// nodes and backend servers. They are configurable, because the interfaces
/// that a node serves use different names.
#ifndef SESAMESPREAD_TRANSPORT_FIELD_NAMES_H_
#define SESAMESPREAD_TRANSPORT_FIELD_NAMES_H_

#include <compare>
#include <string>

namespace sesamespread::transport {

struct FieldNames {
  /// Id of one attempt of a caller. Backend servers echo it in their answers.
  std::string request_id;
  /// Time until the caller's timeout, in milliseconds.
  std::string time_budget_ms;
  /// Signature of a backend server's answer; shows that the answer is complete.
  std::string seal;
  /// The only instance that may run the request.
  std::string expected_instance;
  /// Load of the backend server: running and queued requests, and slots.
  std::string load;
  /// Set if the backend server has not run the request.
  std::string not_executed;
  /// Service of the node at which the request entered.
  std::string caller;
  /// Instance of the backend server that answered.
  std::string instance;
  /// Requests per second that the backend server accepts from all nodes
  /// together. Set in all of its answers while the limit is in force.
  std::string rate_limit;
  /// Set in all answers of a backend server that leaves.
  std::string leaving;
  /// API key of a caller, preceded by `api_key_scheme` and a space. Never
  /// forwarded if the routes have tenants.
  std::string api_key;
  std::string api_key_scheme;
  /// Name of the tenant that holds the caller's API key; set by the node.
  std::string tenant;

  auto operator<=>(const FieldNames&) const = default;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_FIELD_NAMES_H_
