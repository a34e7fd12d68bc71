/// \file
/// Implements calls to a node's operators' port with cpprestsdk.
#include "sesamespread/transport/operator_client.h"

#include <fmt/format.h>

#include <stdexcept>

#include "rest_call.h"
#include "sesamespread/state/result_code.h"

namespace sesamespread::transport {

OperatorReply CallOperator(const OperatorCallOptions& options,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body) {
  auto config = RestConfig(options.timeout);
  if (!options.certificate_file.empty()) {
    config.set_ssl_context_callback(
        [file = options.certificate_file](boost::asio::ssl::context& context) {
          context.load_verify_file(file);
        });
  }
  web::http::client::http_client client(options.url, config);
  web::http::http_request request(method);
  request.set_request_uri(path);
  if (!options.token.empty())
    request.headers().add("Authorization", "Bearer " + options.token);
  if (!body.empty())
    request.set_body(body, "application/json");
  RestReply reply = CallRest(client, request, options.timeout);
  if (reply.outcome != RestOutcome::kAnswered)
    throw std::runtime_error(
        fmt::format("node {} does not answer: {}", options.url, reply.detail));
  if (reply.status == web::http::status_codes::Unauthorized)
    throw state::Error(state::ResultCode::kUnauthorized,
                       fmt::format("node {} refused the token", options.url));
  return {reply.status, std::move(reply.body)};
}

}  // namespace sesamespread::transport
