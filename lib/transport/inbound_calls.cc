/// \file
/// Execution of calls from other nodes and transfer of their answers in chunks.
#include "sesamespread/transport/inbound_calls.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "sesamespread/protocol/codec.h"

namespace sesamespread::transport {
namespace {

// How often links with queued bytes are checked for silence.
constexpr state::Duration kLinkCheckInterval = std::chrono::milliseconds(100);

// Time within which the first message is expected on a link. Nodes send it as
// soon as the link is open.
constexpr state::Duration kFirstMessageTimeout = std::chrono::seconds(5);

}  // namespace

InboundCalls::InboundCalls(boost::asio::io_context& context,
                           const state::Endpoint& endpoint,
                           protocol::Hello self,
                           CallExecutor& executor,
                           ControlHandler on_control,
                           MemoryAccount* memory)
    : deadlines_(context),
      self_(std::move(self)),
      executor_(executor),
      on_control_(std::move(on_control)),
      memory_(memory),
      listener_(
          context,
          endpoint,
          [this](const std::shared_ptr<PeerLink>& link) { OnAccept(link); }) {
  CheckLinks();
}

InboundCalls::~InboundCalls() {
  *alive_ = false;
  for (auto& [id, link] : links_)
    link.link->Close("node stops");
}

void InboundCalls::Broadcast(const protocol::PeerMessage& message) {
  for (auto& [id, link] : links_)
    link.link->Send(message);
}

std::size_t InboundCalls::in_flight() const {
  std::size_t count = 0;
  for (const auto& [id, link] : links_)
    count += link.calls.size() + link.streams.size() +
             (link.link->queued_bytes() > 0 ? 1 : 0);
  return count;
}

void InboundCalls::OnAccept(const std::shared_ptr<PeerLink>& link) {
  if (links_.size() >= kMaxInboundLinks) {
    link->Close("too many links");
    return;
  }
  const LinkId id = next_link_id_++;
  InboundLink& accepted = links_[id];
  accepted.link = link;
  accepted.accepted_at = Now();
  link->SetMemory(memory_);
  link->ExpectHello();
  link->Start(
      [this, id, alive = alive_](protocol::PeerMessage message) {
        if (*alive)
          OnMessage(id, std::move(message));
      },
      [this, id, alive = alive_](const std::string&) {
        if (*alive)
          OnClosed(id);
      });
  link->OnWritten([this, id, alive = alive_] {
    if (*alive)
      SendChunks(id);
  });
  link->Send(self_);
  if (!initial_messages_)
    return;
  for (const protocol::PeerMessage& message : initial_messages_())
    link->Send(message);
}

void InboundCalls::OnMessage(LinkId id, protocol::PeerMessage message) {
  if (std::holds_alternative<protocol::Pong>(message))
    return;
  if (auto* request = std::get_if<protocol::CallRequest>(&message)) {
    OnCall(id, std::move(*request));
    return;
  }
  if (const auto* cancel = std::get_if<protocol::Cancel>(&message)) {
    InboundLink& link = links_.at(id);
    const auto found = link.calls.find(cancel->call_id);
    if (found != link.calls.end()) {
      executor_.Cancel(found->second);
      link.calls.erase(found);
    }
    std::erase_if(link.streams, [cancel](const AnswerStream& stream) {
      return stream.call_id == cancel->call_id;
    });
    return;
  }
  on_control_(std::move(message),
              [this, id, alive = alive_](const protocol::PeerMessage& reply) {
                if (!*alive)
                  return;
                const auto found = links_.find(id);
                if (found != links_.end())
                  found->second.link->SendReply(reply);
              });
}

void InboundCalls::OnCall(LinkId id, protocol::CallRequest request) {
  InboundLink& link = links_.at(id);
  const state::CallId call_id = request.call_id;
  if (link.calls.size() >= kMaxCallsPerLink) {
    OnAnswer(id, FailedAnswer(request, state::ResultCode::kNodeBusy,
                              state::RunState::kNotRun,
                              "too many calls in progress on the link"));
    return;
  }
  if (link.calls.find(call_id) != link.calls.end()) {
    link.link->Close("call id used twice");
    return;
  }
  const state::Instant deadline = Now() + request.remaining;
  link.calls[call_id] = executor_.Execute(
      std::move(request), deadline,
      [this, id, call_id, alive = alive_](protocol::CallAnswer answer) {
        if (!*alive)
          return;
        const auto found = links_.find(id);
        if (found == links_.end())
          return;
        found->second.calls.erase(call_id);
        answer.call_id = call_id;
        OnAnswer(id, std::move(answer));
      });
}

void InboundCalls::OnAnswer(LinkId id, protocol::CallAnswer answer) {
  InboundLink& link = links_.at(id);
  if (memory_ && !memory_->Admits(answer.body.size())) {
    // Its run state stays as it is.
    answer.result = state::ResultCode::kAnswerTooLarge;
    answer.detail = "too many bytes of answers are held";
    answer.body = std::string();
  }
  answer.body_size = answer.body.size();
  answer.body_digest = protocol::DigestOf(answer.body);
  if (answer.body.size() <= protocol::kChunkBytes) {
    link.link->Send(answer);
    return;
  }
  AnswerStream stream;
  stream.call_id = answer.call_id;
  stream.body = std::make_shared<const std::string>(std::move(answer.body));
  stream.offset = protocol::kChunkBytes;
  stream.charge = std::make_unique<MemoryAccount::Charge>(memory_);
  stream.charge->Set(stream.body->size());
  answer.body = stream.body->substr(0, protocol::kChunkBytes);
  link.link->Send(answer);
  link.streams.push_back(std::move(stream));
  SendChunks(id);
}

void InboundCalls::SendChunks(LinkId id) {
  const auto found = links_.find(id);
  if (found == links_.end())
    return;
  InboundLink& link = found->second;
  while (!link.streams.empty() &&
         link.link->queued_bytes() < kChunkHighWatermarkBytes) {
    AnswerStream stream = std::move(link.streams.front());
    link.streams.pop_front();
    const std::size_t size =
        std::min(protocol::kChunkBytes, stream.body->size() - stream.offset);
    if (!link.link->Send(
            protocol::AnswerChunk{stream.call_id, stream.offset,
                                  stream.body->substr(stream.offset, size)}))
      return;
    stream.offset += size;
    if (stream.offset < stream.body->size())
      link.streams.push_back(std::move(stream));
  }
}

void InboundCalls::OnClosed(LinkId id) {
  auto node = links_.extract(id);
  if (node.empty())
    return;
  for (const auto& [call_id, handle] : node.mapped().calls)
    executor_.Cancel(handle);
}

void InboundCalls::CheckLinks() {
  const state::Instant now = Now();
  // After a pause of this process, received data may wait in the sockets.
  const bool was_paused = now - last_link_check_ > 3 * kLinkCheckInterval;
  last_link_check_ = now;
  for (auto& [id, link] : links_) {
    link.link->CheckLiveness(now, link.link->queued_bytes() > 0);
    if (!was_paused && !link.link->has_received_frame() &&
        now - link.accepted_at >= kFirstMessageTimeout)
      link.link->Close("no message on the link");
  }
  deadlines_.Schedule(now + kLinkCheckInterval, [this] { CheckLinks(); });
}

}  // namespace sesamespread::transport
