/// \file
/// HTTP calls with cpprestsdk.
#include "rest_call.h"

#include <pplx/threadpool.h>

#include <future>
#include <memory>
#include <mutex>

#include "sesamespread/transport/rest_threads.h"

namespace sesamespread::transport {
namespace {

using web::http::http_exception;
using web::http::http_request;
using web::http::http_response;

RestReply ReplyFromError(const http_exception& error) {
  // cpprestsdk reports a failed connection attempt with one of these two codes
  // and does not use them for later errors.
  const std::error_code& code = error.error_code();
  const bool is_unconnected = code == std::errc::host_unreachable ||
                              code == std::errc::connection_refused;
  return {is_unconnected ? RestOutcome::kNotConnected : RestOutcome::kNoReply,
          0,
          {},
          error.what()};
}

// Converts the result or the exception of a finished task into a reply.
// cpprestsdk terminates the process if the exception of a task is not observed.
RestReply ReplyFromTask(const pplx::task<RestReply>& task) {
  try {
    return task.get();
  } catch (const http_exception& error) {
    return ReplyFromError(error);
  } catch (const std::exception& error) {
    return {RestOutcome::kNoReply, 0, {}, error.what()};
  }
}

pplx::task<RestReply> ReadBody(const http_response& response) {
  return response.extract_vector().then(
      [status =
           response.status_code()](const std::vector<unsigned char>& body) {
        return RestReply{RestOutcome::kAnswered,
                         static_cast<int>(status),
                         {body.begin(), body.end()},
                         {}};
      });
}

}  // namespace

void LimitRestThreads() {
  static std::once_flag once;
  std::call_once(once, [] {
    try {
      crossplat::threadpool::initialize_with_threads(kRestThreads);
    } catch (const std::exception&) {
      // The pool is already running.
    }
  });
}

web::http::client::http_client_config RestConfig(state::Duration timeout) {
  LimitRestThreads();
  web::http::client::http_client_config config;
  config.set_timeout(timeout);
  return config;
}

RestReply CallRest(web::http::client::http_client& client,
                   const http_request& request,
                   state::Duration timeout) {
  // The client's own timeout restarts with each part of a reply, so a server
  // that sends slowly could block a call without limit.
  pplx::cancellation_token_source cancellation;
  auto promise = std::make_shared<std::promise<RestReply>>();
  std::future<RestReply> reply = promise->get_future();
  client.request(request, cancellation.get_token())
      .then(ReadBody)
      .then([promise](const pplx::task<RestReply>& task) {
        promise->set_value(ReplyFromTask(task));
      });
  if (reply.wait_for(timeout) == std::future_status::ready)
    return reply.get();
  cancellation.cancel();
  return {RestOutcome::kNoReply, 0, {}, "no whole reply in time"};
}

}  // namespace sesamespread::transport
