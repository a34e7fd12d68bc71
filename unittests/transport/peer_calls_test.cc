/// \file
/// Guards against answers that are matched to the wrong call, truncated
/// answers, large answers that delay small ones, and links that have become
/// silent.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/transport/frame_compression.h"
#include "sesamespread/transport/inbound_calls.h"
#include "sesamespread/transport/outbound_calls.h"

namespace sesamespread::transport {
namespace {

using state::ResultCode;
using state::RunState;

constexpr state::NodeId kExecutingNode = 7;
constexpr std::uint64_t kMaxAnswer = 16 << 20;

// Holds calls until the test answers them.
class FakeExecutor : public CallExecutor {
 public:
  Handle Execute(protocol::CallRequest request,
                 state::Instant,
                 AnswerCallback done) override {
    const Handle handle = next_++;
    calls_[handle] = {std::move(request), std::move(done)};
    return handle;
  }
  void Cancel(Handle handle) override { cancelled_ += calls_.erase(handle); }

  std::size_t waiting() const { return calls_.size(); }
  std::size_t cancelled() const { return cancelled_; }

  // Answers the call for \p path with \p body.
  void Answer(const std::string& path, std::string body) {
    for (auto& [handle, call] : calls_) {
      if (call.first.path != path)
        continue;
      protocol::CallAnswer answer;
      answer.request_id = call.first.request_id;
      answer.run_state = RunState::kRan;
      answer.http_status = 200;
      answer.body = std::move(body);
      auto done = std::move(call.second);
      calls_.erase(handle);
      done(std::move(answer));
      return;
    }
    FAIL() << "no call for " << path;
  }

 private:
  std::map<Handle, std::pair<protocol::CallRequest, AnswerCallback>> calls_;
  Handle next_ = 1;
  std::size_t cancelled_ = 0;
};

class PeerCallsTest : public ::testing::Test {
 protected:
  static protocol::CallRequest MakeRequest(const std::string& path) {
    static std::uint64_t next_id = 1;
    protocol::CallRequest request;
    request.request_id = {1, next_id++};
    request.service = "orders";
    request.path = path;
    request.remaining = std::chrono::seconds(5);
    request.allotment = 2;
    return request;
  }

  CallExecutor::Handle Call(const std::string& path,
                            state::Duration time = std::chrono::seconds(5)) {
    return outbound_.Call(kExecutingNode, {"127.0.0.1", inbound_.port()},
                          MakeRequest(path), Now() + time, kMaxAnswer,
                          [this, path](protocol::CallAnswer answer) {
                            answers_[path] = std::move(answer);
                            order_.push_back(path);
                          });
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const state::Instant timeout_at = Now() + std::chrono::seconds(10);
    while (!condition() && Now() < timeout_at)
      context_.run_one_for(std::chrono::milliseconds(20));
    return condition();
  }

  MemoryAccount callee_memory_{64 << 20};
  MemoryAccount caller_memory_{64 << 20};
  boost::asio::io_context context_{1};
  DeadlineQueue deadlines_{context_};
  FakeExecutor executor_;
  InboundCalls inbound_{context_,
                        {"127.0.0.1", 0},
                        protocol::Hello{kExecutingNode, 1, "callee"},
                        executor_,
                        [](protocol::PeerMessage, const auto&) {},
                        &callee_memory_};
  OutboundCalls outbound_{context_, deadlines_, protocol::Hello{9, 1, "caller"},
                          [](state::NodeId, protocol::PeerMessage) {},
                          &caller_memory_};
  std::map<std::string, protocol::CallAnswer> answers_;
  std::vector<std::string> order_;
};

// Guards against mixing up answers that arrive in another order than the calls.
TEST_F(PeerCallsTest, AnswersAreMatchedToTheirCalls) {
  Call("/a");
  Call("/b");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 2; }));
  executor_.Answer("/b", "for b");
  executor_.Answer("/a", "for a");
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 2; }));
  EXPECT_EQ(answers_["/a"].body, "for a");
  EXPECT_EQ(answers_["/b"].body, "for b");
}

// Guards against a truncated large answer, and against a small answer that
// waits behind it.
TEST_F(PeerCallsTest, LargeAnswersDoNotDelaySmallOnes) {
  const std::string large_body(8 << 20, 'p');
  Call("/plan");
  Call("/small");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 2; }));
  executor_.Answer("/plan", large_body);
  executor_.Answer("/small", "s");
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 2; }));
  EXPECT_EQ(order_.front(), "/small");
  EXPECT_EQ(answers_["/plan"].body, large_body);
}

// Guards against an answer for a call whose deadline has passed; the call must
// be cancelled at the executing node.
// A link that keeps a buffer of the size of its largest frame takes a node with
// many links over the memory of its host.
TEST_F(PeerCallsTest, LinksReleaseTheBuffersOfLargeFrames) {
  constexpr std::size_t kSmallLinkBytes = 64 << 10;
  protocol::CallRequest request = MakeRequest("/large");
  request.body = std::string(6 << 20, 'o');
  outbound_.Call(kExecutingNode, {"127.0.0.1", inbound_.port()},
                 std::move(request), Now() + std::chrono::seconds(5),
                 kMaxAnswer, [this](protocol::CallAnswer answer) {
                   answers_["/large"] = std::move(answer);
                 });
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 1; }));
  EXPECT_TRUE(
      RunUntil([&] { return callee_memory_.held() < kSmallLinkBytes; }));
  EXPECT_TRUE(
      RunUntil([&] { return caller_memory_.held() < kSmallLinkBytes; }));
  executor_.Answer("/large", std::string(8 << 20, 'p'));
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 1; }));
  EXPECT_EQ(answers_["/large"].body.size(), 8U << 20);
  EXPECT_LT(callee_memory_.held(), kSmallLinkBytes);
  EXPECT_LT(caller_memory_.held(), kSmallLinkBytes);
}

// An answer that can't be held must end its call with a true statement, and its
// charge must not outlive it.
TEST_F(PeerCallsTest, AnAnswerWithoutMemoryEndsItsCall) {
  MemoryAccount::Charge other(&caller_memory_);
  other.Set(60 << 20);
  Call("/large");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 1; }));
  executor_.Answer("/large", std::string(8 << 20, 'p'));
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 1; }));
  EXPECT_EQ(answers_["/large"].result, ResultCode::kAnswerTooLarge);
  EXPECT_EQ(answers_["/large"].run_state, RunState::kRan);
  EXPECT_LT(caller_memory_.held(), (60U << 20) + (1U << 20));
  EXPECT_EQ(caller_memory_.refusals(), 1U);
}

TEST_F(PeerCallsTest, LateAnswerIsDropped) {
  Call("/late", std::chrono::milliseconds(30));
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 1; }));
  EXPECT_EQ(answers_["/late"].result, ResultCode::kTimedOut);
  EXPECT_EQ(answers_["/late"].run_state, RunState::kUnknown);
  ASSERT_TRUE(RunUntil([&] { return executor_.cancelled() == 1; }));
}

// Guards against cancelled calls that continue at the executing node.
TEST_F(PeerCallsTest, CancelReachesTheExecutor) {
  const auto handle = Call("/x");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 1; }));
  outbound_.Cancel(handle);
  ASSERT_TRUE(RunUntil([&] { return executor_.cancelled() == 1; }));
  EXPECT_TRUE(answers_.empty());
}

// Guards against another run state than `not_run` for a request that was never
// sent, and against losing its allotment.
TEST_F(PeerCallsTest, CallIsNotRunIfTheConnectionIsRefused) {
  PeerListener closed(context_, {"127.0.0.1", 0}, [](const auto&) {});
  const std::uint16_t port = closed.port();
  closed.Stop();
  std::optional<protocol::CallAnswer> answer;
  outbound_.Call(8, {"127.0.0.1", port}, MakeRequest("/"),
                 Now() + std::chrono::seconds(5), kMaxAnswer,
                 [&](protocol::CallAnswer got) { answer = std::move(got); });
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->result, ResultCode::kConnectFailed);
  EXPECT_EQ(answer->run_state, RunState::kNotRun);
  EXPECT_EQ(answer->unused_allotment, 2u);
}

// Guards against calls that wait until their deadline for a paused node, whose
// kernel still accepts connections. The call was not sent, so it can be retried
// at another server.
TEST_F(PeerCallsTest, CallToAPausedNodeIsNotRun) {
  std::vector<std::shared_ptr<PeerLink>> accepted_links;
  PeerListener silent(context_, {"127.0.0.1", 0},
                      [&](std::shared_ptr<PeerLink> link) {
                        accepted_links.push_back(std::move(link));
                      });
  std::optional<protocol::CallAnswer> answer;
  const state::Instant start = Now();
  outbound_.Call(8, {"127.0.0.1", silent.port()}, MakeRequest("/"),
                 Now() + std::chrono::seconds(5), kMaxAnswer,
                 [&](protocol::CallAnswer got) { answer = std::move(got); });
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->run_state, RunState::kNotRun);
  EXPECT_LT(Now() - start, std::chrono::seconds(1));
}

// Guards against a link that stays in use after it has become silent. The call
// on it ends as `unknown`, and the next call is sent on a new link.
TEST_F(PeerCallsTest, SilentLinkIsReplaced) {
  std::vector<std::shared_ptr<PeerLink>> accepted_links;
  std::size_t requests = 0;
  PeerListener listener(
      context_, {"127.0.0.1", 0}, [&](std::shared_ptr<PeerLink> link) {
        accepted_links.push_back(link);
        // The first link sends a hello and does not answer anything after it,
        // not even pings.
        link->Send(protocol::Hello{8, 1, "silent"});
        if (accepted_links.size() < 2)
          return;
        link->Start(
            [&, raw = link.get()](const protocol::PeerMessage& message) {
              if (const auto* call =
                      std::get_if<protocol::CallRequest>(&message)) {
                ++requests;
                protocol::CallAnswer answer;
                answer.call_id = call->call_id;
                answer.request_id = call->request_id;
                answer.body_digest = protocol::DigestOf("");
                raw->Send(answer);
              }
            },
            [](const std::string&) {});
      });
  std::vector<protocol::CallAnswer> answers;
  const auto call = [&] {
    outbound_.Call(8, {"127.0.0.1", listener.port()}, MakeRequest("/"),
                   Now() + std::chrono::seconds(5), kMaxAnswer,
                   [&](protocol::CallAnswer got) { answers.push_back(got); });
  };
  call();
  ASSERT_TRUE(RunUntil([&] { return answers.size() == 1; }));
  EXPECT_EQ(answers[0].result, ResultCode::kLinkLost);
  EXPECT_EQ(answers[0].run_state, RunState::kUnknown);
  call();
  ASSERT_TRUE(RunUntil([&] { return answers.size() == 2; }));
  EXPECT_EQ(answers[1].result, ResultCode::kOk);
  EXPECT_EQ(requests, 1u);
}

// Guards against `unknown`, after which no client may repeat an order, for a
// call that a silent link has never taken from this node.
TEST_F(PeerCallsTest, CallThatWasNotWrittenHasNotRun) {
  std::vector<std::shared_ptr<PeerLink>> accepted_links;
  PeerListener listener(context_, {"127.0.0.1", 0},
                        [&](std::shared_ptr<PeerLink> link) {
                          accepted_links.push_back(link);
                          // The link never reads.
                          link->Send(protocol::Hello{8, 1, "silent"});
                        });
  const auto call = [&](const std::string& path, std::size_t body_bytes) {
    protocol::CallRequest request = MakeRequest(path);
    request.body = std::string(body_bytes, 'b');
    outbound_.Call(8, {"127.0.0.1", listener.port()}, std::move(request),
                   Now() + std::chrono::seconds(5), kMaxAnswer,
                   [this, path](protocol::CallAnswer answer) {
                     answers_[path] = std::move(answer);
                   });
  };
  // More than the socket buffers of both ends hold.
  constexpr std::size_t kLargeBytes = 7 << 20;
  constexpr int kLargeCalls = 5;
  call("/first", 10);
  for (int i = 0; i < kLargeCalls; ++i)
    call("/large/" + std::to_string(i), kLargeBytes);
  call("/last", 10);
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == kLargeCalls + 2; }));
  EXPECT_EQ(answers_["/first"].run_state, RunState::kUnknown);
  EXPECT_EQ(answers_["/last"].result, ResultCode::kLinkLost);
  EXPECT_EQ(answers_["/last"].run_state, RunState::kNotRun);
}

// Guards against a node that misses the report about a peer's new backend
// server because the link became silent while there were no calls.
TEST_F(PeerCallsTest, SilentIdleLinkIsReplaced) {
  std::vector<std::shared_ptr<PeerLink>> accepted_links;
  PeerListener listener(context_, {"127.0.0.1", 0},
                        [&](std::shared_ptr<PeerLink> link) {
                          accepted_links.push_back(link);
                          link->Send(protocol::Hello{8, 1, "silent"});
                        });
  std::vector<bool> links;
  outbound_.SetLinkObserver(
      [&](state::NodeId, bool is_open, const std::string&) {
        links.push_back(is_open);
      });
  outbound_.Open(8, {"127.0.0.1", listener.port()}, false);
  ASSERT_TRUE(RunUntil([&] { return links.size() == 1; }));
  const state::Instant opened = Now();
  ASSERT_TRUE(RunUntil([&] { return links.size() >= 2; }));
  EXPECT_FALSE(links[1]);
  EXPECT_LT(Now() - opened, kIdleLinkProbeDelay + std::chrono::seconds(1));
  // A new link is opened.
  EXPECT_TRUE(RunUntil([&] { return accepted_links.size() == 2; }));
}

// Guards against sending calls to a node other than the intended one at the
// same address.
TEST_F(PeerCallsTest, OtherNodeAtTheAddressReceivesNoCalls) {
  std::optional<protocol::CallAnswer> answer;
  outbound_.Call(12345, {"127.0.0.1", inbound_.port()}, MakeRequest("/"),
                 Now() + std::chrono::seconds(5), kMaxAnswer,
                 [&](protocol::CallAnswer got) { answer = std::move(got); });
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->run_state, RunState::kNotRun);
  EXPECT_EQ(executor_.waiting(), 0u);
}

// A link that was idle is verified before a call that is not repeatable. Guards
// against closing it although the ping was answered, which would fail its
// calls.
TEST_F(PeerCallsTest, VerifiedLinkStaysOpen) {
  Call("/first");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 1; }));
  executor_.Answer("/first", "1");
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 1; }));
  std::vector<bool> links;
  outbound_.SetLinkObserver(
      [&](state::NodeId, bool is_open, const std::string&) {
        links.push_back(is_open);
      });
  const state::Instant idle_until =
      Now() + kMaxUnverifiedSilence + std::chrono::milliseconds(50);
  ASSERT_TRUE(RunUntil([&] { return Now() >= idle_until; }));
  Call("/order");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 1; }));
  const state::Instant verified_until = Now() + 2 * kLinkReadyTimeout;
  ASSERT_TRUE(RunUntil([&] { return Now() >= verified_until; }));
  executor_.Answer("/order", "2");
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 2; }));
  EXPECT_EQ(answers_["/order"].result, ResultCode::kOk);
  EXPECT_TRUE(links.empty());
}

// Guards against calls and answers that are changed by compression, large ones
// included, when an initial message precedes them on the link.
TEST_F(PeerCallsTest, CompressedLinksDeliverUnchangedMessages) {
  outbound_.SetInitialMessages([](state::NodeId) {
    return std::vector<protocol::PeerMessage>{protocol::ConfigurationPull{3}};
  });
  outbound_.Open(kExecutingNode, {"127.0.0.1", inbound_.port()}, true);
  const std::string large_body(100'000, 'p');
  for (int i = 0; i < 20; ++i) {
    const std::string path = "/" + std::to_string(i);
    Call(path);
    ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 1; }));
    executor_.Answer(path, i % 5 == 0 ? large_body : path);
    ASSERT_TRUE(RunUntil([&] { return answers_.count(path) == 1; }));
    EXPECT_EQ(answers_[path].result, ResultCode::kOk);
    EXPECT_EQ(answers_[path].body, i % 5 == 0 ? large_body : path);
  }
}

// Guards against frames that refer to bytes of a frame which the full queue of
// the link did not take.
TEST_F(PeerCallsTest, CompressedLinksStayReadableAfterAFullQueue) {
  std::shared_ptr<PeerLink> receiver;
  PeerListener listener(
      context_, {"127.0.0.1", 0},
      [&](std::shared_ptr<PeerLink> link) { receiver = std::move(link); });
  std::shared_ptr<PeerLink> sender;
  ConnectPeer(context_, {"127.0.0.1", listener.port()}, kPeerConnectTimeout,
              [&](std::shared_ptr<PeerLink> link) { sender = link; });
  ASSERT_TRUE(RunUntil([&] { return sender && receiver; }));
  sender->EnableCompression();
  std::vector<protocol::CallRequest> accepted;
  const auto send = [&](const std::string& path, std::size_t body_bytes) {
    protocol::CallRequest request = MakeRequest(path);
    request.body.assign(body_bytes, 'b');
    const bool is_sent = sender->Send(request);
    if (is_sent)
      accepted.push_back(std::move(request));
    return is_sent;
  };
  int number = 0;
  const auto next_path = [&] { return "/" + std::to_string(number++); };
  // The smallest ones are compressed.
  for (const std::size_t body_bytes : {7 << 20, 512 << 10, 32 << 10, 1 << 10}) {
    while (send(next_path(), body_bytes)) {
    }
  }
  std::vector<protocol::CallRequest> received;
  std::string closed_because;
  receiver->Start(
      [&](protocol::PeerMessage message) {
        received.push_back(std::get<protocol::CallRequest>(std::move(message)));
      },
      [&](const std::string& why) { closed_because = why; });
  ASSERT_TRUE(RunUntil([&] { return received.size() == accepted.size(); }))
      << closed_because;
  for (int i = 0; i < 100; ++i)
    ASSERT_TRUE(send(next_path(), 100));
  EXPECT_TRUE(RunUntil([&] {
    return received.size() == accepted.size() || !closed_because.empty();
  }));
  EXPECT_EQ(closed_because, "");
  EXPECT_TRUE(received == accepted);
  sender->Close("test ends");
  receiver->Close("test ends");
  RunUntil([&] { return !closed_because.empty(); });
}

// The bytes of \p message as a frame of a compressed link.
std::string CompressedFrame(FrameCompressor& compressor,
                            const protocol::PeerMessage& message) {
  constexpr std::uint32_t kCompressedFlag = 1U << 31;
  const std::string frame = protocol::EncodeFrame(message);
  const std::string payload =
      compressor.Compress(frame.substr(protocol::kFrameHeaderBytes));
  std::string bytes;
  for (std::size_t i = 0; i < protocol::kFrameHeaderBytes; ++i) {
    bytes += static_cast<char>(
        (static_cast<std::uint32_t>(payload.size()) | kCompressedFlag) >>
        (8 * i));
  }
  return bytes + payload;
}

// Guards against an answer that counts as complete although the compressed link
// that carried it was cut at any byte of it.
TEST_F(PeerCallsTest, ACutCompressedAnswerIsNoAnswer) {
  state::NodeId node = 100;
  const auto play = [&](std::size_t cut, bool is_reset) {
    // The links of earlier nodes may be opened again.
    ++node;
    boost::asio::ip::tcp::acceptor acceptor(
        context_, {boost::asio::ip::address_v4::loopback(), 0});
    const state::Endpoint endpoint{"127.0.0.1",
                                   acceptor.local_endpoint().port()};
    FrameCompressor compressor;
    protocol::CallRequest request = MakeRequest("/");
    protocol::CallAnswer answer;
    answer.request_id = request.request_id;
    answer.run_state = RunState::kRan;
    answer.http_status = 200;
    answer.body = "the body of an answer";
    answer.body_size = answer.body.size();
    answer.body_digest = protocol::DigestOf(answer.body);
    std::optional<protocol::CallAnswer> got;
    answer.call_id = outbound_.Call(
        node, endpoint, std::move(request), Now() + std::chrono::seconds(5),
        kMaxAnswer, [&got](protocol::CallAnswer received) { got = received; });
    std::optional<boost::asio::ip::tcp::socket> peer;
    acceptor.async_accept([&peer](const boost::system::error_code&,
                                  boost::asio::ip::tcp::socket socket) {
      peer.emplace(std::move(socket));
    });
    EXPECT_TRUE(RunUntil([&] { return peer.has_value(); }));
    const std::string hello =
        protocol::EncodeFrame(protocol::Hello{node, 1, "cut"});
    const std::string frame = CompressedFrame(compressor, answer);
    const std::size_t size = std::min(cut, frame.size());
    boost::asio::write(*peer,
                       boost::asio::buffer(hello + frame.substr(0, size)));
    if (size < frame.size() && is_reset) {
      peer->set_option(boost::asio::socket_base::linger(true, 0));
      peer->close();
    } else if (size < frame.size()) {
      peer->shutdown(boost::asio::socket_base::shutdown_send);
    }
    EXPECT_TRUE(RunUntil([&] { return got.has_value(); }));
    outbound_.RemoveNode(node);
    EXPECT_EQ(got && got->result == ResultCode::kOk, size == frame.size())
        << size << " of " << frame.size();
    return frame.size();
  };
  const std::size_t frame_size = play(std::string::npos, false);
  for (std::size_t cut = 0; cut < frame_size; ++cut) {
    play(cut, true);
    play(cut, false);
  }
  RecordProperty("cuts", static_cast<int>(2 * frame_size));
}

}  // namespace
}  // namespace sesamespread::transport
