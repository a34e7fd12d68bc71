/// \file
/// Guards against links that are not kept the way the directory needs them:
/// idle links that are never checked, and links to nodes that were removed.
#include "sesamespread/transport/node_directory.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/peer_link.h"

namespace sesamespread::transport {
namespace {

constexpr state::NodeId kPeer = 8;

class NodeDirectoryTest : public ::testing::Test {
 protected:
  NodeDirectoryTest() {
    outbound_.SetLinkObserver(
        [this](state::NodeId node, bool is_open, const std::string& reason) {
          changes_.push_back(is_open);
          directory_.OnLinkChange(node, is_open, reason);
        });
  }

  static state::NodeRecord MakeRecord(state::NodeId node, std::uint16_t port) {
    state::NodeRecord record;
    record.node = node;
    record.incarnation = 1;
    record.sequence = 1;
    record.name = "node-" + std::to_string(node);
    record.zone = "zone-a";
    record.peer = {"127.0.0.1", port};
    return record;
  }

  template <typename Condition>
  bool RunUntil(Condition condition,
                state::Duration limit = std::chrono::seconds(10)) {
    const state::Instant timeout_at = Now() + limit;
    while (!condition() && Now() < timeout_at)
      context_.run_one_for(std::chrono::milliseconds(20));
    return condition();
  }

  boost::asio::io_context context_{1};
  // The links accepted by a peer that sends a hello and nothing after it.
  std::vector<std::shared_ptr<PeerLink>> accepted_;
  PeerListener listener_{context_,
                         {"127.0.0.1", 0},
                         [this](std::shared_ptr<PeerLink> link) {
                           link->Send(protocol::Hello{kPeer, 1, "peer"});
                           accepted_.push_back(std::move(link));
                         }};
  DeadlineQueue deadlines_{context_};
  OutboundCalls outbound_{context_, deadlines_, protocol::Hello{9, 1, "self"},
                          [](state::NodeId, protocol::PeerMessage) {}};
  coordination::Router router_{9, "zone-a"};
  EventLog log_{LogLevel::kError, "self"};
  NodeDirectory directory_{MakeRecord(9, 1), outbound_, router_, log_};
  std::vector<bool> changes_;
};

// Guards against a node that misses the report about a peer's new backend
// server: its link was opened by a control message, before the directory asked
// for a link, and became silent while there were no calls.
TEST_F(NodeDirectoryTest, ALinkThatAControlMessageOpenedIsCheckedWhileIdle) {
  const state::NodeRecord record = MakeRecord(kPeer, listener_.port());
  directory_.OnDirectRecord(record);
  outbound_.SendControl(kPeer, record.peer, protocol::ConfigurationPull{0});
  ASSERT_TRUE(RunUntil([&] { return changes_.size() == 1; }));
  directory_.OpenMissingLinks(Now());
  ASSERT_TRUE(RunUntil([&] { return changes_.size() >= 2; },
                       kIdleLinkProbeDelay + std::chrono::seconds(2)));
  EXPECT_FALSE(changes_[1]);
}

// Guards against a first delay of twice the stated one. A node that starts asks
// its peers for leaves and counts on links within 600 ms.
TEST_F(NodeDirectoryTest, AFailedLinkIsOpenedAgainAfterTheBaseDelay) {
  std::size_t attempts = 0;
  PeerListener refusing(context_, {"127.0.0.1", 0},
                        [&](const std::shared_ptr<PeerLink>& link) {
                          ++attempts;
                          link->Close("refused by the test");
                        });
  directory_.OnDirectRecord(MakeRecord(kPeer, refusing.port()));
  const state::Instant start = Now();
  directory_.OpenMissingLinks(start);
  ASSERT_TRUE(RunUntil([&] { return attempts == 1; }));
  context_.run_for(std::chrono::milliseconds(50));
  directory_.OpenMissingLinks(start + std::chrono::milliseconds(199));
  directory_.OpenMissingLinks(start + std::chrono::milliseconds(200));
  EXPECT_TRUE(
      RunUntil([&] { return attempts == 2; }, std::chrono::milliseconds(500)));
}

// Guards against a node that reconnects for good to an address that belongs to
// another node.
TEST_F(NodeDirectoryTest, ARemovedNodeIsNotReconnected) {
  directory_.OnDirectRecord(MakeRecord(kPeer, listener_.port()));
  directory_.OpenMissingLinks(Now());
  ASSERT_TRUE(RunUntil([&] { return changes_.size() == 1; }));
  outbound_.RemoveNode(kPeer);
  ASSERT_TRUE(RunUntil([&] { return changes_.size() >= 2; }));
  EXPECT_FALSE(RunUntil([&] { return accepted_.size() > 1; },
                        std::chrono::milliseconds(300)));
}

// Guards against a retry or a message to a node that the directory has
// forgotten, because another node has its address: its endpoint is empty then,
// and connecting to it ended the process.
TEST_F(NodeDirectoryTest, ACallToAForgottenNodeHasNotRun) {
  const state::NodeRecord record = MakeRecord(kPeer, listener_.port());
  directory_.OnDirectRecord(record);
  outbound_.SendControl(kPeer, record.peer, protocol::ConfigurationPull{0});
  ASSERT_TRUE(RunUntil([&] { return changes_.size() == 1; }));
  directory_.OnDirectRecord(MakeRecord(kPeer - 1, listener_.port()));
  ASSERT_EQ(directory_.EndpointOf(kPeer), state::Endpoint{});
  outbound_.SendControl(kPeer, directory_.EndpointOf(kPeer),
                        protocol::ConfigurationPull{0});
  std::vector<protocol::CallAnswer> answers;
  outbound_.Call(kPeer, directory_.EndpointOf(kPeer), {},
                 Now() + std::chrono::seconds(5), 1024,
                 [&](const protocol::CallAnswer& a) { answers.push_back(a); });
  // The callback must not run inside Call.
  EXPECT_TRUE(answers.empty());
  ASSERT_TRUE(RunUntil([&] { return !answers.empty(); }));
  EXPECT_EQ(answers[0].result, state::ResultCode::kConnectFailed);
  EXPECT_EQ(answers[0].run_state, state::RunState::kNotRun);
}

// Guards against a process that ends because an address can't be parsed.
TEST_F(NodeDirectoryTest, ConnectingToAnAddressThatIsNotValidFails) {
  for (const char* const address : {"", "node.example", "127.0.0.1.5"}) {
    bool is_done = false;
    ConnectPeer(context_, {address, 80}, kPeerConnectTimeout,
                [&](const std::shared_ptr<PeerLink>& link) {
                  is_done = true;
                  EXPECT_EQ(link, nullptr);
                });
    EXPECT_FALSE(is_done);
    EXPECT_TRUE(RunUntil([&] { return is_done; })) << address;
  }
}

}  // namespace
}  // namespace sesamespread::transport
