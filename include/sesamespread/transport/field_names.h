/// \file
/// Header fields in which callers, nodes and backend servers tell each other
/// about a request. Their names differ between the interfaces that a node
/// serves.
#ifndef SESAMESPREAD_TRANSPORT_FIELD_NAMES_H_
#define SESAMESPREAD_TRANSPORT_FIELD_NAMES_H_

#include <compare>
#include <string>

namespace sesamespread::transport {

struct FieldNames {
  /// Id of one attempt of a caller; backend servers repeat it in answers.
  std::string request_id;
  /// Milliseconds that remain until the caller gives up.
  std::string time_budget_ms;
  /// Signature of a complete answer of a backend server.
  std::string seal;
  /// Instance that alone may run the request.
  std::string expected_instance;
  /// Load of the backend server: running, waiting, slots.
  std::string load;
  /// Present if the backend server has not run the request.
  std::string not_executed;
  /// Service beside the node at which the request entered.
  std::string caller;
  /// Instance that answers.
  std::string instance;

  auto operator<=>(const FieldNames&) const = default;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_FIELD_NAMES_H_
