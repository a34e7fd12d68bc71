/// \file
/// Links to other nodes, and the calls and answers on them.
#include "sesamespread/transport/outbound_calls.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "sesamespread/protocol/codec.h"

namespace sesamespread::transport {
namespace {

// How often links are checked for silence.
constexpr state::Duration kLinkCheckInterval = std::chrono::milliseconds(100);

}  // namespace

protocol::CallAnswer FailedAnswer(const protocol::CallRequest& request,
                                  state::ResultCode result,
                                  state::RunState run_state,
                                  std::string detail) {
  protocol::CallAnswer answer;
  answer.call_id = request.call_id;
  answer.request_id = request.request_id;
  answer.result = result;
  answer.run_state = run_state;
  answer.detail = std::move(detail);
  // The allotment of a call that has certainly not run is unused.
  if (run_state == state::RunState::kNotRun)
    answer.unused_allotment = request.allotment;
  return answer;
}

OutboundCalls::OutboundCalls(boost::asio::io_context& context,
                             DeadlineQueue& deadlines,
                             protocol::Hello self,
                             ControlHandler on_control,
                             MemoryAccount* memory)
    : context_(context),
      deadlines_(deadlines),
      self_(std::move(self)),
      on_control_(std::move(on_control)),
      memory_(memory) {
  CheckLinks();
}

OutboundCalls::~OutboundCalls() {
  *alive_ = false;
  for (auto& [node, session] : sessions_) {
    if (session.link)
      session.link->Close("node stops");
  }
}

OutboundCalls::Handle OutboundCalls::Call(state::NodeId node,
                                          const state::Endpoint& endpoint,
                                          protocol::CallRequest request,
                                          state::Instant deadline,
                                          std::uint64_t max_answer_bytes,
                                          AnswerCallback done) {
  const Handle handle = next_handle_++;
  request.call_id = handle;
  PendingCall& call = calls_[handle];
  call.request = std::move(request);
  call.node = node;
  call.max_answer_bytes = max_answer_bytes;
  call.done = std::move(done);
  call.deadline_timer_id =
      deadlines_.Schedule(deadline, [this, handle] { OnDeadline(handle); });
  if (endpoint == state::Endpoint{}) {
    boost::asio::post(context_, [this, handle, alive = alive_] {
      if (*alive)
        FailCall(handle, state::ResultCode::kConnectFailed,
                 state::RunState::kNotRun, "the node is not known");
    });
    return handle;
  }
  PeerSession& session = SessionOf(node, endpoint);
  session.last_used = Now();
  if (session.ready && !call.request.repeatable &&
      Now() - session.link->last_received() >= kMaxUnverifiedSilence)
    VerifyLink(node, session);
  if (session.ready) {
    SendCall(handle, call, session);
    return handle;
  }
  if (session.waiting_calls.size() >= kMaxWaitingPerNode) {
    boost::asio::post(context_, [this, handle, alive = alive_] {
      if (*alive)
        FailCall(handle, state::ResultCode::kNodeBusy, state::RunState::kNotRun,
                 "too many calls wait for the link");
    });
    return handle;
  }
  session.waiting_calls.push_back(handle);
  Connect(node);
  return handle;
}

void OutboundCalls::Cancel(Handle handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end())
    return;
  const PendingCall& call = found->second;
  if (call.link) {
    call.link->Send(protocol::Cancel{handle});
    PeerSession& session = sessions_[call.node];
    if (session.link == call.link)
      --session.in_flight;
  }
  deadlines_.Cancel(call.deadline_timer_id);
  calls_.erase(found);
}

void OutboundCalls::SendControl(state::NodeId node,
                                const state::Endpoint& endpoint,
                                protocol::PeerMessage message) {
  if (endpoint == state::Endpoint{})
    return;
  PeerSession& session = SessionOf(node, endpoint);
  session.last_used = Now();
  if (session.ready) {
    session.link->Send(message);
    return;
  }
  if (session.waiting_control.size() >= kMaxWaitingPerNode)
    return;
  session.waiting_control.push_back(std::move(message));
  Connect(node);
}

void OutboundCalls::Open(state::NodeId node,
                         const state::Endpoint& endpoint,
                         bool compress) {
  PeerSession& session = SessionOf(node, endpoint);
  session.is_persistent = true;
  session.is_compressed = compress;
  if (compress && session.link)
    session.link->EnableCompression();
  Connect(node);
}

void OutboundCalls::RemoveNode(state::NodeId node) {
  const auto found = sessions_.find(node);
  if (found == sessions_.end())
    return;
  PeerSession& session = found->second;
  session.is_removed = true;
  if (session.link)
    session.link->Close("the node is forgotten");
  else if (!session.connecting)
    EraseSession(node);
}

void OutboundCalls::EraseSession(state::NodeId node) {
  PeerSession& session = sessions_.at(node);
  FailWaiting(session);
  // The callbacks of the failed calls may have used the node again.
  if (session.is_removed)
    sessions_.erase(node);
}

void OutboundCalls::Broadcast(const protocol::PeerMessage& message) {
  for (auto& [node, session] : sessions_) {
    if (session.ready)
      session.link->Send(message);
  }
}

std::size_t OutboundCalls::open_links() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const auto& entry) { return entry.second.link; }));
}

OutboundCalls::PeerSession& OutboundCalls::SessionOf(
    state::NodeId node,
    const state::Endpoint& endpoint) {
  PeerSession& session = sessions_[node];
  // A node that was restarted with another address needs a new link.
  if (session.endpoint != endpoint && session.link) {
    session.ready = false;
    std::exchange(session.link, nullptr)->Close("the node has a new address");
  }
  session.endpoint = endpoint;
  session.is_removed = false;
  return session;
}

void OutboundCalls::Connect(state::NodeId node) {
  PeerSession& session = sessions_[node];
  if (session.connecting || session.link)
    return;
  session.connecting = true;
  ConnectPeer(
      context_, session.endpoint, kPeerConnectTimeout,
      [this, node, alive = alive_](const std::shared_ptr<PeerLink>& link) {
        if (*alive)
          OnConnected(node, link);
      });
}

void OutboundCalls::OnConnected(state::NodeId node,
                                const std::shared_ptr<PeerLink>& link) {
  PeerSession& session = sessions_[node];
  session.connecting = false;
  if (session.is_removed) {
    if (link)
      link->Close("the node is forgotten");
    EraseSession(node);
    return;
  }
  if (!link) {
    FailWaiting(session);
    return;
  }
  session.link = link;
  session.ready = false;
  session.was_ready = false;
  session.in_flight = 0;
  std::weak_ptr<PeerLink> weak = link;
  link->SetMemory(memory_);
  link->ExpectHello();
  link->Start(
      [this, node, weak, alive = alive_](protocol::PeerMessage message) {
        const auto locked = weak.lock();
        if (*alive && locked)
          OnMessage(node, locked, std::move(message));
      },
      [this, node, raw = link.get(), alive = alive_](const std::string& why) {
        if (*alive)
          OnLinkClosed(node, raw, why);
      });
  if (session.is_compressed)
    link->EnableCompression();
  link->Send(self_);
  if (initial_messages_) {
    for (const protocol::PeerMessage& message : initial_messages_(node))
      link->Send(message);
  }
  ScheduleReadyTimeout(node, link);
}

void OutboundCalls::ScheduleReadyTimeout(
    state::NodeId node,
    const std::shared_ptr<PeerLink>& link) {
  deadlines_.Schedule(
      Now() + kLinkReadyTimeout,
      [this, node, weak = std::weak_ptr(link), alive = alive_] {
        const auto locked = weak.lock();
        if (!*alive || !locked)
          return;
        PeerSession& session = sessions_[node];
        if (session.link == locked && !session.ready)
          locked->Close("the node does not respond on the link");
      });
}

void OutboundCalls::VerifyLink(state::NodeId node, PeerSession& session) {
  session.ready = false;
  session.link->SendPing();
  ScheduleReadyTimeout(node, session.link);
}

void OutboundCalls::SendWaiting(PeerSession& session) {
  for (const protocol::PeerMessage& message :
       std::exchange(session.waiting_control, {}))
    session.link->Send(message);
  for (const Handle handle : std::exchange(session.waiting_calls, {})) {
    const auto found = calls_.find(handle);
    if (found != calls_.end())
      SendCall(handle, found->second, session);
  }
}

void OutboundCalls::SendCall(Handle handle,
                             PendingCall& call,
                             PeerSession& session) {
  // The frame holds the body once more until it is written.
  if (memory_ && !memory_->Admits(call.request.body.size())) {
    boost::asio::post(context_, [this, handle, alive = alive_] {
      if (*alive)
        FailCall(handle, state::ResultCode::kNodeBusy, state::RunState::kNotRun,
                 "too many bytes are held for requests and answers");
    });
    return;
  }
  // Moved, because a copy of the body may be large.
  protocol::PeerMessage message(std::move(call.request));
  const bool is_sent = session.link->Send(message);
  call.request = std::move(std::get<protocol::CallRequest>(message));
  if (is_sent) {
    call.link = session.link;
    call.end_on_link = session.link->added_bytes();
    ++session.in_flight;
    // Only the id and the allotment of the request are needed from here on.
    call.request.body = std::string();
    return;
  }
  boost::asio::post(context_, [this, handle, alive = alive_] {
    if (*alive)
      FailCall(handle, state::ResultCode::kConnectFailed,
               state::RunState::kNotRun, "the link's queue is full or closed");
  });
}

void OutboundCalls::FailWaiting(PeerSession& session) {
  session.waiting_control.clear();
  for (const Handle handle : std::exchange(session.waiting_calls, {}))
    FailCall(handle, state::ResultCode::kConnectFailed,
             state::RunState::kNotRun, "no connection to the node");
}

void OutboundCalls::OnLinkClosed(state::NodeId node,
                                 const PeerLink* link,
                                 const std::string& reason) {
  PeerSession& session = sessions_[node];
  if (session.link.get() == link) {
    session.ready = false;
    session.link = nullptr;
    if (session.was_ready && observer_)
      observer_(node, false, reason);
    // Waiting calls are sent on a new link, unless this one was never ready.
    if (session.is_removed)
      EraseSession(node);
    else if (session.was_ready)
      Connect(node);
    else
      FailWaiting(session);
  }
  std::vector<Handle> lost;
  for (const auto& [handle, call] : calls_) {
    if (call.link.get() == link)
      lost.push_back(handle);
  }
  for (const Handle handle : lost) {
    const auto found = calls_.find(handle);
    // The callback of another call may have cancelled this one.
    if (found == calls_.end())
      continue;
    const bool may_have_arrived =
        found->second.end_on_link <= link->max_written_bytes();
    FailCall(
        handle, state::ResultCode::kLinkLost,
        may_have_arrived ? state::RunState::kUnknown : state::RunState::kNotRun,
        reason);
  }
}

void OutboundCalls::OnMessage(state::NodeId node,
                              const std::shared_ptr<PeerLink>& link,
                              protocol::PeerMessage message) {
  PeerSession& session = sessions_[node];
  if (const auto* hello = std::get_if<protocol::Hello>(&message)) {
    if (hello->node != node) {
      link->Close("another node answers at this address");
      return;
    }
  }
  if (session.link == link && !session.ready) {
    session.ready = true;
    if (!std::exchange(session.was_ready, true) && observer_)
      observer_(node, true, {});
    SendWaiting(session);
  }
  if (std::holds_alternative<protocol::Pong>(message))
    return;
  if (auto* answer = std::get_if<protocol::CallAnswer>(&message)) {
    OnAnswer(link, std::move(*answer));
    return;
  }
  if (const auto* chunk = std::get_if<protocol::AnswerChunk>(&message)) {
    OnChunk(link, *chunk);
    return;
  }
  on_control_(node, std::move(message));
}

void OutboundCalls::OnAnswer(const std::shared_ptr<PeerLink>& link,
                             protocol::CallAnswer answer) {
  const Handle handle = answer.call_id;
  const auto found = calls_.find(handle);
  // An answer is accepted only on the link on which its call was sent, and only
  // with the id of its request. Any other is late, duplicate or wrong.
  if (found == calls_.end() || found->second.link != link ||
      found->second.request.request_id != answer.request_id ||
      found->second.answer) {
    ++unmatched_answers_;
    return;
  }
  if (answer.body_size > found->second.max_answer_bytes) {
    link->Send(protocol::Cancel{handle});
    FailCall(handle, state::ResultCode::kAnswerTooLarge, state::RunState::kRan,
             "the answer exceeds max_answer_bytes");
    return;
  }
  PendingCall& call = found->second;
  call.answer = std::make_unique<protocol::CallAnswer>(std::move(answer));
  call.answer->body.reserve(call.answer->body_size);
  call.charge.emplace(memory_, [this, handle] { GiveUpAnswer(handle); });
  CheckComplete(handle);
}

void OutboundCalls::OnChunk(const std::shared_ptr<PeerLink>& link,
                            const protocol::AnswerChunk& chunk) {
  const auto found = calls_.find(chunk.call_id);
  if (found == calls_.end() || found->second.link != link ||
      !found->second.answer) {
    ++unmatched_answers_;
    return;
  }
  std::string& body = found->second.answer->body;
  if (chunk.offset != body.size() || chunk.body.empty()) {
    FailCall(chunk.call_id, state::ResultCode::kDigestMismatch,
             state::RunState::kUnknown, "a part of the answer is missing");
    return;
  }
  body += chunk.body;
  found->second.charge->Set(body.size(), true,
                            std::chrono::steady_clock::now());
  CheckComplete(chunk.call_id);
  if (memory_)
    memory_->Relieve();
}

void OutboundCalls::GiveUpAnswer(Handle handle) {
  PendingCall& call = calls_.at(handle);
  call.answer->body = std::string();
  call.link->Send(protocol::Cancel{handle});
  // The account may be relieved while a callback of another call runs.
  boost::asio::post(context_, [this, handle, alive = alive_] {
    if (*alive)
      FailCall(handle, state::ResultCode::kAnswerTooLarge,
               state::RunState::kRan, "too many bytes of answers are held");
  });
}

void OutboundCalls::CheckComplete(Handle handle) {
  protocol::CallAnswer& answer = *calls_.at(handle).answer;
  if (answer.body.size() < answer.body_size)
    return;
  if (answer.body.size() > answer.body_size ||
      protocol::DigestOf(answer.body) != answer.body_digest) {
    FailCall(handle, state::ResultCode::kDigestMismatch, state::RunState::kRan,
             "the answer's length or digest does not match");
    return;
  }
  Finish(handle, std::move(answer));
}

void OutboundCalls::OnDeadline(Handle handle) {
  const auto found = calls_.find(handle);
  if (found == calls_.end())
    return;
  PendingCall& call = found->second;
  if (!call.link) {
    FailCall(handle, state::ResultCode::kDeadlineBeforeStart,
             state::RunState::kNotRun,
             "the deadline passed before a link opened");
    return;
  }
  call.link->Send(protocol::Cancel{handle});
  FailCall(handle, state::ResultCode::kTimedOut, state::RunState::kUnknown,
           "no answer from the executing node");
}

void OutboundCalls::FailCall(Handle handle,
                             state::ResultCode result,
                             state::RunState run_state,
                             std::string detail) {
  const auto found = calls_.find(handle);
  if (found == calls_.end())
    return;
  Finish(handle, FailedAnswer(found->second.request, result, run_state,
                              std::move(detail)));
}

void OutboundCalls::Finish(Handle handle, protocol::CallAnswer answer) {
  auto node = calls_.extract(handle);
  deadlines_.Cancel(node.mapped().deadline_timer_id);
  // The answer can't be given up any more.
  node.mapped().charge.reset();
  const auto session = sessions_.find(node.mapped().node);
  if (node.mapped().link && session != sessions_.end() &&
      session->second.link == node.mapped().link)
    --session->second.in_flight;
  // The unused allotment must not exceed the one that was sent with the call.
  answer.unused_allotment =
      std::min(answer.unused_allotment, node.mapped().request.allotment);
  node.mapped().done(std::move(answer));
}

void OutboundCalls::CheckLinks() {
  const state::Instant now = Now();
  // After a pause of this process, received data may wait in the sockets. It is
  // read before any link is checked for silence.
  const bool was_paused = now - last_link_check_ > 3 * kLinkCheckInterval;
  last_link_check_ = now;
  for (auto& [node, session] : sessions_) {
    if (!session.link || was_paused)
      continue;
    session.link->CheckLiveness(now, session.in_flight > 0);
    const bool is_idle = session.in_flight == 0 && !session.is_persistent;
    if (is_idle && now - session.last_used >= kLinkIdleTimeout)
      session.link->Close("idle");
  }
  if (!was_paused && now - last_idle_probe_ >= kIdleLinkProbeInterval)
    ProbeIdleLink(now);
  deadlines_.Schedule(now + kLinkCheckInterval, [this, alive = alive_] {
    if (*alive)
      CheckLinks();
  });
}

void OutboundCalls::ProbeIdleLink(state::Instant now) {
  PeerLink* longest_idle = nullptr;
  for (auto& [node, session] : sessions_) {
    if (!session.is_persistent || !session.ready || session.in_flight > 0 ||
        now - session.link->last_received() < kIdleLinkProbeDelay)
      continue;
    if (!longest_idle ||
        session.link->last_received() < longest_idle->last_received())
      longest_idle = session.link.get();
  }
  if (!longest_idle || longest_idle->ping_outstanding())
    return;
  last_idle_probe_ = now;
  longest_idle->SendPing();
}

}  // namespace sesamespread::transport
