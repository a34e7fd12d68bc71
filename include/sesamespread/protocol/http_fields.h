/// \file
/// Names of the HTTP header fields that a node reads and writes, functions that
/// parse and format their values, and the problem details of error answers.
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

/// Absolute deadline on the host's wall clock, in microseconds since the start
/// of 1970.
constexpr std::string_view kDeadlineField = "Sesamespread-Deadline";

/// Set by a backend server that refused a request without running it.
constexpr std::string_view kNotRunField = "Sesamespread-Not-Run";

/// Id of the request. Set on each answer to a caller.
constexpr std::string_view kRequestIdField = "Sesamespread-Request-Id";

/// Number of the result code. Set on each answer to a caller.
constexpr std::string_view kResultField = "Sesamespread-Result";

constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
constexpr std::string_view kTraceparentField = "traceparent";
constexpr std::string_view kBaggageField = "baggage";

/// Key of the W3C baggage member that carries a ticket.
constexpr std::string_view kTicketMember = "sesamespread-ticket";

/// \returns the trace id of a W3C traceparent, or nullopt if \p value is
/// malformed or the trace id is zero.
std::optional<state::RequestId> ParseTraceparent(std::string_view value);

/// Formats a sampled W3C traceparent with \p id as trace id and \p span as
/// parent id.
std::string FormatTraceparent(const state::RequestId& id, std::uint64_t span);

/// \returns the ticket in a W3C baggage header, or nullopt if there is none.
std::optional<std::uint64_t> ParseTicket(std::string_view baggage);

/// Formats the baggage member that carries \p ticket.
std::string FormatTicket(std::uint64_t ticket);

/// Splits a request target such as "/orders/new?x=1" into the service "orders"
/// and the path "/new?x=1". The path always starts with "/": that of
/// "/orders?x=1" is "/?x=1".
/// \returns false if \p target names no service.
bool SplitTarget(std::string_view target,
                 std::string_view* service,
                 std::string* path);

/// True for hop-by-hop fields, which concern a single connection, and for
/// Content-Length. They are never forwarded.
bool IsConnectionField(std::string_view name);

/// True for fields that a node removes from a request or an answer before it
/// forwards it: those of IsConnectionField, Host, traceparent, baggage and the
/// fields defined by this project.
bool IsStrippedField(std::string_view name);

/// Formats an RFC 9457 problem details document in JSON. \p detail need not be
/// escaped; bytes other than printable ASCII are written as Unicode escapes.
std::string ProblemDetails(state::ResultCode code,
                           state::RunState run_state,
                           std::string_view detail,
                           const state::RequestId& request_id,
                           state::Duration retry_after);

}  // namespace sesamespread::protocol

#endif  // SESAMESPREAD_PROTOCOL_HTTP_FIELDS_H_
