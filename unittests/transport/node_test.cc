/// \file
/// Tests of a complete node within the test process.
#include "sesamespread/transport/node.h"

#include <gtest/gtest.h>

#include <string>

#include "sesamespread/transport/operator_client.h"

namespace sesamespread::transport {
namespace {

state::NodeSettings LoopbackSettings() {
  const state::Endpoint any_port{"127.0.0.1", 0};
  state::NodeSettings settings;
  settings.name = "node-test";
  settings.availability_zone = "zone-a";
  settings.listen.caller = any_port;
  settings.listen.backend = any_port;
  settings.listen.peer = any_port;
  settings.listen.gossip = any_port;
  settings.listen.operators = any_port;
  settings.bounds = {.max_connections = 16,
                     .max_requests_in_progress = 16,
                     .max_queued_requests = 16,
                     .max_buffered_bytes = 1 << 20,
                     .shutdown_timeout = std::chrono::seconds(1)};
  return settings;
}

std::string UrlOf(std::uint16_t port) {
  return "http://127.0.0.1:" + std::to_string(port);
}

// Guards against refusals that are missing in the metrics: a node without
// configuration refuses all requests before it can look up their service.
TEST(NodeTest, CountsRequestsRefusedBeforeTheirServiceIsKnown) {
  const Node node(LoopbackSettings());
  const OperatorReply refused =
      CallOperator({UrlOf(node.ports().caller), "", ""}, "GET", "/orders/1");
  EXPECT_EQ(refused.status, 503) << refused.body;
  const OperatorReply metrics =
      CallOperator({UrlOf(node.ports().operators), "", ""}, "GET", "/metrics");
  EXPECT_NE(metrics.body.find("sesamespread_requests_total{result=\"211\","
                              "service=\"unknown\"} 1"),
            std::string::npos)
      << metrics.body;
}

}  // namespace
}  // namespace sesamespread::transport
