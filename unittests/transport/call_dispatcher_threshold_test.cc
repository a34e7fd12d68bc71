/// \file
/// Guards against entry nodes that continue to shed requests for a service deep
/// in the call graph after that service has raised its threshold again.
#include "sesamespread/transport/call_dispatcher.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>

namespace sesamespread::transport {
namespace {

using state::CanonicalText;

// The test sends no calls.
class UnusedExecutor : public CallExecutor {
 public:
  Handle Execute(protocol::CallRequest,
                 state::Instant,
                 AnswerCallback) override {
    return 0;
  }
  void Cancel(Handle) override {}
};

std::shared_ptr<const state::Configuration> InventoryCallsPrices() {
  state::Service inventory{
      "inventory", 160, 1100, std::chrono::seconds(1), {"prices"}};
  state::Service prices{"prices", 15, 200, std::chrono::milliseconds(500), {}};
  return std::make_shared<const state::Configuration>(
      1, state::Configuration::Entries{
             {"service/inventory", CanonicalText(inventory)},
             {"service/prices", CanonicalText(prices)}});
}

TEST(CallDispatcherThresholdTest, ReportsAThresholdThatWasRaisedAgain) {
  boost::asio::io_context context;
  DeadlineQueue deadlines(context);
  UnusedExecutor executor;
  OutboundCalls outbound(context, deadlines, protocol::Hello{},
                         [](state::NodeId, const protocol::PeerMessage&) {});
  Metrics metrics;
  CallDispatcher dispatcher(context, deadlines, 1, "litoral-a", executor,
                            outbound, metrics, [](const std::string&) {});
  dispatcher.SetConfiguration(InventoryCallsPrices());
  constexpr state::NodeId kServer = 2;
  const state::Instant now = Now();
  dispatcher.thresholds().Observe("prices", kServer, 260, now);
  auto downstream = dispatcher.DownstreamThresholds("inventory");
  ASSERT_EQ(downstream.size(), 1U);
  EXPECT_EQ(downstream[0].threshold, 260U);

  dispatcher.thresholds().Observe("prices", kServer, state::kPriorityCount,
                                  now);
  downstream = dispatcher.DownstreamThresholds("inventory");
  ASSERT_EQ(downstream.size(), 1U);
  EXPECT_EQ(downstream[0].service, "prices");
  EXPECT_EQ(downstream[0].threshold, state::kPriorityCount);
}

}  // namespace
}  // namespace sesamespread::transport
