/// \file
/// Guards against calls that are reported as `not_run` although they may have
/// run, against wrong accounting of the retry allotment, and against new calls
/// to a backend server that leaves.
#include "sesamespread/transport/call_dispatcher.h"

#include <gtest/gtest.h>

#include "call_fakes.h"
#include "sesamespread/transport/inbound_calls.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

using state::ResultCode;
using state::RunState;

constexpr state::NodeId kSelf = 1;
constexpr state::NodeId kOther = 2;
constexpr coordination::Ticket kTicket = 77;
constexpr std::uint32_t kAllotment = 4;

class CallDispatcherTest : public ::testing::Test {
 protected:
  CallDispatcherTest() {
    dispatcher_.SetConfiguration(TestConfiguration());
    state::RequestContext context;
    context.deadline = FromNow(std::chrono::seconds(20));
    context.allotment = kAllotment;
    ledger_.Open(kTicket, context, Now());
  }

  state::NodeRecord RecordOf(state::NodeId node) const {
    state::NodeRecord record;
    record.node = node;
    record.incarnation = 10 + node;
    record.name = "node-" + std::to_string(node);
    record.zone = "zone-a";
    record.service = "stock";
    record.backend_state = state::BackendState::kServing;
    record.peer = {"127.0.0.1", inbound_.port()};
    return record;
  }

  CallDispatcher::Handle Dispatch(
      bool repeatable,
      std::optional<state::NodeIncarnation> target = std::nullopt) {
    DispatchRequest dispatch;
    dispatch.request.service = "stock";
    dispatch.request.method = "GET";
    dispatch.request.path = "/levels";
    dispatch.request.repeatable = repeatable;
    dispatch.deadline = FromNow(std::chrono::seconds(10));
    dispatch.target = target;
    dispatch.ledger = &ledger_;
    dispatch.ticket = kTicket;
    return dispatcher_.Dispatch(std::move(dispatch),
                                [this](protocol::CallAnswer answer) {
                                  answers_.push_back(std::move(answer));
                                });
  }

  bool WaitForCall(FakeCallExecutor& executor) {
    return RunUntil(context_, [&] { return !executor.calls().empty(); });
  }
  bool WaitForAnswer() {
    return RunUntil(context_, [this] { return !answers_.empty(); });
  }

  boost::asio::io_context context_{1};
  DeadlineQueue deadlines_{context_};
  Metrics metrics_;
  FakeCallExecutor local_;
  FakeCallExecutor remote_;
  InboundCalls inbound_{context_,
                        {"127.0.0.1", 0},
                        protocol::Hello{kOther, 10 + kOther, "node-2"},
                        remote_,
                        [](protocol::PeerMessage, const auto&) {}};
  OutboundCalls outbound_{context_, deadlines_,
                          protocol::Hello{kSelf, 10 + kSelf, "node-1"},
                          [](state::NodeId, protocol::PeerMessage) {}};
  coordination::AllotmentLedger ledger_;
  CallDispatcher dispatcher_{
      context_, deadlines_, kSelf,    "zone-a",
      local_,   outbound_,  metrics_, [](const auto&) {}};
  std::vector<protocol::CallAnswer> answers_;
};

// Guards against `not_run` for a call whose first attempt may have run and
// whose second attempt was refused.
TEST_F(CallDispatcherTest, UnknownThenNotRunIsUnknown) {
  dispatcher_.SetServers("stock", {RecordOf(kSelf)}, 2);
  Dispatch(true);
  ASSERT_TRUE(WaitForCall(local_));
  local_.Answer(ResultCode::kTimedOut, RunState::kUnknown);
  ASSERT_TRUE(WaitForCall(local_));
  EXPECT_TRUE(answers_.empty());
  local_.Answer(ResultCode::kDeadlineBeforeStart, RunState::kNotRun);
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(answers_[0].result, ResultCode::kDeadlineBeforeStart);
  EXPECT_EQ(answers_[0].run_state, RunState::kUnknown);
}

// Guards against a refused call that loses the allotment handed down with it:
// the callee did not use it, so only the retry made here is deducted.
TEST_F(CallDispatcherTest, NotRunRefundsTheAllotment) {
  dispatcher_.SetServers("stock", {RecordOf(kSelf)}, 2);
  Dispatch(false);
  ASSERT_TRUE(WaitForCall(local_));
  EXPECT_EQ(local_.calls().front().request.allotment, kAllotment / 2);
  EXPECT_EQ(ledger_.Remaining(kTicket), kAllotment / 2);
  local_.Answer(ResultCode::kShedAtServer, RunState::kNotRun);
  ASSERT_TRUE(WaitForCall(local_));
  // The retry costs one unit; the rest is divided again.
  EXPECT_EQ(
      ledger_.Remaining(kTicket) + local_.calls().front().request.allotment,
      kAllotment - 1);
  local_.Answer(ResultCode::kKeyReused, RunState::kNotRun);
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(ledger_.Remaining(kTicket), kAllotment - 1);
}

// Guards against crediting allotment that the callee may have used: its
// remainder is unknown when the answer is lost.
TEST_F(CallDispatcherTest, LostAnswerSpendsHandedDownAllotment) {
  dispatcher_.SetServers("stock", {RecordOf(kSelf)}, 2);
  Dispatch(false);
  ASSERT_TRUE(WaitForCall(local_));
  local_.Answer(ResultCode::kLinkLost, RunState::kUnknown);
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(answers_[0].run_state, RunState::kUnknown);
  EXPECT_EQ(local_.executed(), 1U)
      << "the call may have run and is not repeatable";
  EXPECT_EQ(ledger_.Remaining(kTicket), kAllotment / 2);
}

// Guards against calls to a leaving server until gossip delivers its record:
// the notice, which arrives on a link, must take effect at once.
TEST_F(CallDispatcherTest, LeaveNoticeStopsRoutingAtOnce) {
  dispatcher_.SetServers("stock", {RecordOf(kSelf), RecordOf(kOther)}, 2);
  // A notice of an earlier incarnation must have no effect.
  dispatcher_.OnLeaveNotice(kOther, 3);
  // The router prefers the server with fewer calls in flight, so the unanswered
  // calls make it choose the other one.
  for (std::size_t i = 0; i < 40 && remote_.executed() == 0; ++i) {
    Dispatch(true);
    ASSERT_TRUE(RunUntil(context_, [&] {
      return local_.executed() + remote_.executed() == i + 1;
    }));
  }
  ASSERT_EQ(remote_.executed(), 1U);
  dispatcher_.OnLeaveNotice(kOther, 10 + kOther);
  const std::size_t before = local_.executed();
  for (int i = 0; i < 40; ++i)
    Dispatch(true);
  EXPECT_EQ(local_.executed(), before + 40);
  EXPECT_EQ(remote_.executed(), 1U);
  // The call in flight at the leaving server is not cancelled.
  answers_.clear();
  remote_.Answer(ResultCode::kOk, RunState::kRan, "done");
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(answers_[0].body, "done");
}

// Guards against `not_run` for a call whose key is bound to an executor that no
// longer exists: an earlier request with the key may have run there.
TEST_F(CallDispatcherTest, UnavailableBoundExecutorIsUnknown) {
  dispatcher_.SetServers("stock", {RecordOf(kSelf), RecordOf(kOther)}, 2);
  Dispatch(false, state::NodeIncarnation{kOther, 5});
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(answers_[0].result, ResultCode::kExecutorGone);
  EXPECT_EQ(answers_[0].run_state, RunState::kUnknown);
  // The node has failed, but its record does not show it yet.
  state::NodeRecord dead = RecordOf(kOther);
  boost::asio::ip::tcp::acceptor closed(
      context_, {boost::asio::ip::make_address("127.0.0.1"), 0});
  dead.peer.port = closed.local_endpoint().port();
  closed.close();
  dispatcher_.SetServers("stock", {RecordOf(kSelf), dead}, 2);
  answers_.clear();
  Dispatch(false, state::NodeIncarnation{kOther, 10 + kOther});
  ASSERT_TRUE(WaitForAnswer());
  EXPECT_EQ(answers_[0].run_state, RunState::kUnknown)
      << static_cast<int>(answers_[0].result);
  EXPECT_EQ(local_.executed(), 0U);
  EXPECT_EQ(remote_.executed(), 0U);
}

}  // namespace
}  // namespace sesamespread::transport
