/// \file
/// Guards against answers that reach the wrong call, truncated answers, large
/// answers that hold up small ones, and links that have gone silent.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <memory>
#include <optional>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/transport/inbound_calls.h"
#include "sesamespread/transport/outbound_calls.h"

namespace sesamespread::transport {
namespace {

using state::ResultCode;
using state::RunState;

constexpr state::NodeId kCallee = 7;
constexpr std::uint64_t kMaxAnswer = 16 << 20;

// Keeps the calls it is given until the test answers them.
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
    return outbound_.Call(kCallee, {"127.0.0.1", inbound_.port()},
                          MakeRequest(path), Now() + time, kMaxAnswer,
                          [this, path](protocol::CallAnswer answer) {
                            answers_[path] = std::move(answer);
                            order_.push_back(path);
                          });
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const state::Instant limit = Now() + std::chrono::seconds(10);
    while (!condition() && Now() < limit)
      context_.run_one_for(std::chrono::milliseconds(20));
    return condition();
  }

  boost::asio::io_context context_{1};
  DeadlineQueue deadlines_{context_};
  FakeExecutor executor_;
  InboundCalls inbound_{context_,
                        {"127.0.0.1", 0},
                        protocol::Hello{kCallee, 1, "callee"},
                        executor_,
                        [](protocol::PeerMessage, const auto&) {}};
  OutboundCalls outbound_{context_, deadlines_, protocol::Hello{9, 1, "caller"},
                          [](state::NodeId, protocol::PeerMessage) {}};
  std::map<std::string, protocol::CallAnswer> answers_;
  std::vector<std::string> order_;
};

// Answers out of order must reach the calls they belong to.
TEST_F(PeerCallsTest, AnswersReachTheirOwnCalls) {
  Call("/a");
  Call("/b");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 2; }));
  executor_.Answer("/b", "for b");
  executor_.Answer("/a", "for a");
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 2; }));
  EXPECT_EQ(answers_["/a"].body, "for a");
  EXPECT_EQ(answers_["/b"].body, "for b");
}

// A large answer must arrive whole and must not hold up a small one behind it.
TEST_F(PeerCallsTest, SmallAnswersOvertakeLargeOnes) {
  const std::string plan(8 << 20, 'p');
  Call("/plan");
  Call("/small");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 2; }));
  executor_.Answer("/plan", plan);
  executor_.Answer("/small", "s");
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 2; }));
  EXPECT_EQ(order_.front(), "/small");
  EXPECT_EQ(answers_["/plan"].body, plan);
}

// An answer after the deadline belongs to no one and must be dropped.
TEST_F(PeerCallsTest, LateAnswerIsDropped) {
  Call("/late", std::chrono::milliseconds(30));
  ASSERT_TRUE(RunUntil([&] { return answers_.size() == 1; }));
  EXPECT_EQ(answers_["/late"].result, ResultCode::kTimedOut);
  EXPECT_EQ(answers_["/late"].run_state, RunState::kUnknown);
  ASSERT_TRUE(RunUntil([&] { return executor_.cancelled() == 1; }));
}

// Giving up a call must cancel it at the executing node.
TEST_F(PeerCallsTest, CancelReachesTheExecutor) {
  const auto handle = Call("/x");
  ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 1; }));
  outbound_.Cancel(handle);
  ASSERT_TRUE(RunUntil([&] { return executor_.cancelled() == 1; }));
  EXPECT_TRUE(answers_.empty());
}

// `not_run` must be reported only if the request was never sent.
TEST_F(PeerCallsTest, RefusedConnectionIsNotRun) {
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

// A node that accepts connections but is paused must not keep calls until
// their deadline: nothing was sent, so that another server can be tried.
TEST_F(PeerCallsTest, PausedNodeIsNotRun) {
  std::vector<std::shared_ptr<PeerLink>> held;
  PeerListener silent(
      context_, {"127.0.0.1", 0},
      [&](std::shared_ptr<PeerLink> link) { held.push_back(std::move(link)); });
  std::optional<protocol::CallAnswer> answer;
  const state::Instant start = Now();
  outbound_.Call(8, {"127.0.0.1", silent.port()}, MakeRequest("/"),
                 Now() + std::chrono::seconds(5), kMaxAnswer,
                 [&](protocol::CallAnswer got) { answer = std::move(got); });
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->run_state, RunState::kNotRun);
  EXPECT_LT(Now() - start, std::chrono::seconds(1));
}

// A link that goes silent after it worked must be replaced; the call on it is
// unknown, and the next call works on a new link.
TEST_F(PeerCallsTest, SilentLinkIsReplaced) {
  std::vector<std::shared_ptr<PeerLink>> held;
  std::size_t requests = 0;
  PeerListener once(
      context_, {"127.0.0.1", 0}, [&](std::shared_ptr<PeerLink> link) {
        held.push_back(link);
        // The first link says hello and then nothing, pings included.
        link->Send(protocol::Hello{8, 1, "silent"});
        if (held.size() < 2)
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
    outbound_.Call(8, {"127.0.0.1", once.port()}, MakeRequest("/"),
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

// Guards against a node that never hears of another's new server, because the
// link that should tell it has gone silent while there were no calls.
TEST_F(PeerCallsTest, AnIdleLinkThatIsSilentIsReplaced) {
  std::vector<std::shared_ptr<PeerLink>> held;
  PeerListener listener(context_, {"127.0.0.1", 0},
                        [&](std::shared_ptr<PeerLink> link) {
                          held.push_back(link);
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
  EXPECT_LT(Now() - opened, kIdleLinkCheck + std::chrono::seconds(1));
  // What waits for the link is sent on a new one.
  EXPECT_TRUE(RunUntil([&] { return held.size() == 2; }));
}

// Another node at a known address must not get the calls.
TEST_F(PeerCallsTest, OtherNodeAtTheAddressGetsNoCalls) {
  std::optional<protocol::CallAnswer> answer;
  outbound_.Call(12345, {"127.0.0.1", inbound_.port()}, MakeRequest("/"),
                 Now() + std::chrono::seconds(5), kMaxAnswer,
                 [&](protocol::CallAnswer got) { answer = std::move(got); });
  ASSERT_TRUE(RunUntil([&] { return answer.has_value(); }));
  EXPECT_EQ(answer->run_state, RunState::kNotRun);
  EXPECT_EQ(executor_.waiting(), 0u);
}

// A link that was idle is verified before a call that may not be repeated. The
// answer to the ping alone must keep it: closing it would fail other calls.
TEST_F(PeerCallsTest, AVerifiedLinkIsKept) {
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
      Now() + kLinkFreshness + std::chrono::milliseconds(50);
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

// Calls and answers on a compressed link must arrive unchanged, large ones too,
// and a greeting must come before anything else.
TEST_F(PeerCallsTest, CompressedLinksCarryTheSame) {
  outbound_.SetInitialMessages([](state::NodeId) {
    return std::vector<protocol::PeerMessage>{protocol::ConfigurationPull{3}};
  });
  outbound_.Open(kCallee, {"127.0.0.1", inbound_.port()}, true);
  const std::string plan(100'000, 'p');
  for (int i = 0; i < 20; ++i) {
    const std::string path = "/" + std::to_string(i);
    Call(path);
    ASSERT_TRUE(RunUntil([&] { return executor_.waiting() == 1; }));
    executor_.Answer(path, i % 5 == 0 ? plan : path);
    ASSERT_TRUE(RunUntil([&] { return answers_.count(path) == 1; }));
    EXPECT_EQ(answers_[path].result, ResultCode::kOk);
    EXPECT_EQ(answers_[path].body, i % 5 == 0 ? plan : path);
  }
}

}  // namespace
}  // namespace sesamespread::transport
