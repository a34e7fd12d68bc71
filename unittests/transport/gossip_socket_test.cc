/// \file
/// Guards against datagrams that are not delivered on loopback, and against
/// malformed datagrams that stop the reception.
#include "sesamespread/transport/gossip_socket.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <optional>

namespace sesamespread::transport {
namespace {

constexpr auto kTimeout = std::chrono::seconds(10);

// Runs handlers until \p done returns true; false after kTimeout.
template <typename Done>
bool RunUntil(boost::asio::io_context& context, Done done) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!done() && std::chrono::steady_clock::now() < end)
    context.run_one_until(end);
  return done();
}

TEST(GossipSocketTest, DeliversMessagesAndSkipsMalformedDatagrams) {
  boost::asio::io_context context;
  std::optional<protocol::GossipMessage> received;
  std::size_t received_bytes = 0;
  GossipSocket receiver(
      context, {"127.0.0.1", 0},
      [&](const protocol::GossipMessage& message, std::size_t bytes) {
        received = message;
        received_bytes = bytes;
      });
  GossipSocket sender(context, {"127.0.0.1", 0},
                      [](const protocol::GossipMessage&, std::size_t) {});
  const state::Endpoint to{"127.0.0.1", receiver.port()};

  boost::asio::ip::udp::socket raw(
      context, boost::asio::ip::udp::endpoint(
                   boost::asio::ip::make_address("127.0.0.1"), 0));
  raw.send_to(boost::asio::buffer("not a datagram", 14),
              boost::asio::ip::udp::endpoint(
                  boost::asio::ip::make_address("127.0.0.1"), to.port));

  protocol::GossipMessage message;
  message.token = 42;
  message.from.name = "host-1";
  message.zones = {{"cuyo-a", true, 3}};
  EXPECT_TRUE(sender.Send(to, message));
  ASSERT_TRUE(RunUntil(context, [&] { return received.has_value(); }));
  EXPECT_EQ(*received, message);
  EXPECT_EQ(received_bytes, protocol::EncodeDatagram(message).size());
  EXPECT_EQ(receiver.counters().malformed, 1u);
}

TEST(GossipSocketTest, RejectsInvalidAddressesAndMessagesLargerThanADatagram) {
  boost::asio::io_context context;
  GossipSocket socket(context, {"127.0.0.1", 0},
                      [](const protocol::GossipMessage&, std::size_t) {});
  protocol::GossipMessage message;
  EXPECT_FALSE(socket.Send({"host.example", 7000}, message));
  message.updates.resize(20);
  for (state::NodeRecord& record : message.updates)
    record.name = std::string(100, 'a');
  EXPECT_FALSE(socket.Send({"127.0.0.1", socket.port()}, message));
  EXPECT_EQ(socket.counters().send_failures, 2u);
}

// A completion handler that is still queued must not access a destroyed socket.
TEST(GossipSocketTest, CanBeDestroyedWhileADatagramIsPending) {
  boost::asio::io_context context;
  GossipSocket sender(context, {"127.0.0.1", 0},
                      [](const protocol::GossipMessage&, std::size_t) {});
  {
    GossipSocket receiver(context, {"127.0.0.1", 0},
                          [](const protocol::GossipMessage&, std::size_t) {
                            FAIL() << "the socket is closed";
                          });
    sender.Send({"127.0.0.1", receiver.port()}, {});
  }
  sender.Close();
  context.run_for(kTimeout);
}

}  // namespace
}  // namespace sesamespread::transport
