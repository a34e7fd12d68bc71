/// \file
/// Calls from other nodes: accepts links, passes the calls to the local
/// executor and sends the answers back.
#ifndef SESAMESPREAD_TRANSPORT_INBOUND_CALLS_H_
#define SESAMESPREAD_TRANSPORT_INBOUND_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/memory_account.h"
#include "sesamespread/transport/peer_link.h"

namespace sesamespread::transport {

/// Links that one node accepts at a time. It suffices in a mesh of 32,000 nodes
/// because each node calls only a subset of the servers.
constexpr std::size_t kMaxInboundLinks = 4096;

/// Calls in progress on one link.
constexpr std::size_t kMaxCallsPerLink = 8192;

/// Chunks are added to a link only while fewer bytes than this are queued on
/// it, so that small answers do not wait behind a large one.
constexpr std::size_t kChunkHighWatermarkBytes = 256 << 10;

/// Accepts links, executes their calls and sends the answers in chunks.
class InboundCalls {
 public:
  /// Receives messages other than calls, and a function that sends a reply on
  /// the same link.
  using ControlHandler = std::function<void(
      protocol::PeerMessage,
      std::function<void(const protocol::PeerMessage&)> reply)>;

  InboundCalls(boost::asio::io_context& context,
               const state::Endpoint& endpoint,
               protocol::Hello self,
               CallExecutor& executor,
               ControlHandler on_control,
               MemoryAccount* memory = nullptr);
  ~InboundCalls();

  InboundCalls(const InboundCalls&) = delete;
  InboundCalls& operator=(const InboundCalls&) = delete;

  std::uint16_t port() const { return listener_.port(); }

  /// Sends the messages that \p initial_messages returns on each new link,
  /// after the hello.
  void SetInitialMessages(
      std::function<std::vector<protocol::PeerMessage>()> initial_messages) {
    initial_messages_ = std::move(initial_messages);
  }

  /// Sends \p message on each open link. Leave notices reach the calling nodes
  /// this way without the platform.
  void Broadcast(const protocol::PeerMessage& message);

  /// Calls in progress, large answers being sent, and links with queued bytes.
  std::size_t in_flight() const;

  std::size_t link_count() const { return links_.size(); }

 private:
  // A large answer that is being sent in chunks.
  struct AnswerStream {
    state::CallId call_id = 0;
    std::shared_ptr<const std::string> body;
    std::size_t offset = 0;
    std::unique_ptr<MemoryAccount::Charge> charge;
  };

  struct InboundLink {
    std::shared_ptr<PeerLink> link;
    state::Instant accepted_at;
    // Calls in progress, by the call id that the calling node assigned.
    std::unordered_map<state::CallId, CallExecutor::Handle> calls;
    std::deque<AnswerStream> streams;
  };
  using LinkId = std::uint64_t;

  void OnAccept(const std::shared_ptr<PeerLink>& link);
  void OnMessage(LinkId id, protocol::PeerMessage message);
  void OnCall(LinkId id, protocol::CallRequest request);
  void OnAnswer(LinkId id, protocol::CallAnswer answer);
  void SendChunks(LinkId id);
  void OnClosed(LinkId id);
  void CheckLinks();

  DeadlineQueue deadlines_;
  const protocol::Hello self_;
  CallExecutor& executor_;
  ControlHandler on_control_;
  MemoryAccount* const memory_;
  std::function<std::vector<protocol::PeerMessage>()> initial_messages_;
  std::unordered_map<LinkId, InboundLink> links_;
  LinkId next_link_id_ = 1;
  state::Instant last_link_check_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  PeerListener listener_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_INBOUND_CALLS_H_
