/// \file
/// Names of the HTTP header fields that sesamespread reads and writes, and the
/// parsing of their values.
#ifndef SESAMESPREAD_PROTOCOL_HTTP_FIELDS_H_
#define SESAMESPREAD_PROTOCOL_HTTP_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sesamespread/state/ids.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/state/time.h"

namespace sesamespread::protocol {

/// Absolute deadline on the host's wall clock, microseconds since 1970.
constexpr std::string_view kDeadlineField = "Sesamespread-Deadline";

/// Sent by a backend server that refused a request without running it.
constexpr std::string_view kNotRunField = "Sesamespread-Not-Run";

/// Id of the request, on each answer to a caller.
constexpr std::string_view kRequestIdField = "Sesamespread-Request-Id";

/// Number of the result code, on each answer to a caller.
constexpr std::string_view kResultField = "Sesamespread-Result";

constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
constexpr std::string_view kTraceparentField = "traceparent";
constexpr std::string_view kBaggageField = "baggage";

/// Key of our member in the baggage header.
constexpr std::string_view kTicketMember = "sesamespread-ticket";

/// The trace id of a W3C traceparent, or nullopt if it is malformed.
std::optional<state::RequestId> ParseTraceparent(std::string_view value);

/// A traceparent with \p id as trace id and \p span as parent id.
std::string FormatTraceparent(const state::RequestId& id, std::uint64_t span);

/// The ticket in a baggage header, or nullopt.
std::optional<std::uint64_t> ParseTicket(std::string_view baggage);

/// The baggage member that carries \p ticket.
std::string FormatTicket(std::uint64_t ticket);

/// Splits "/orders/new?x=1" into service "orders" and path "/new?x=1". The path
/// always starts with "/", also that of "/orders?x=1".
/// \returns false if there is no service.
bool SplitTarget(std::string_view target,
                 std::string_view* service,
                 std::string* path);

/// True for fields that are bound to one connection.
bool IsConnectionField(std::string_view name);

/// True for fields that are bound to one connection, and for ours; these are
/// not passed on.
bool IsStrippedField(std::string_view name);

/// An RFC 9457 problem details document in JSON.
std::string ProblemDetails(state::ResultCode code,
                           state::RunState run_state,
                           std::string_view detail,
                           const state::RequestId& request_id,
                           state::Duration retry_after);

}  // namespace sesamespread::protocol

#endif  // SESAMESPREAD_PROTOCOL_HTTP_FIELDS_H_
