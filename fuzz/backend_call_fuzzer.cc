/// \file
/// Fuzzes the decoder of status reports and leave notices of backend servers.
#include <string>

#include "backend_calls.h"
#include "mutated_message.h"

namespace {

constexpr char kReport[] =
    R"({"address":"10.128.0.9:8080","born":1777269832000,"info":)"
    R"({"service":"s1","version":"v1","zone":"a","slots":190},)"
    R"("status":{"state":"ready","seq":4,"cold_left":"250ms"}})";

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace sesamespread;
  const auto bytes = fuzz::MutatedMessage({kReport}, data, size);
  transport::HttpRequest request;
  request.target = "/api/instances/i-1";
  request.body.assign(bytes.begin(), bytes.end());
  for (const char* method : {"PUT", "DELETE"}) {
    request.method = method;
    // Returns nullopt for an invalid notice and must not throw.
    platform::DecodeBackendNotice(request);
  }
  return 0;
}
