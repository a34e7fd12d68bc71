/// \file
/// Calls to other nodes: one link per node, answers matched to their calls,
/// silent links replaced.
#ifndef SESAMESPREAD_TRANSPORT_OUTBOUND_CALLS_H_
#define SESAMESPREAD_TRANSPORT_OUTBOUND_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/ids.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/peer_link.h"

namespace sesamespread::transport {

/// A connection that takes longer counts as failed: nodes are a few
/// milliseconds apart.
constexpr state::Duration kPeerConnectTimeout = std::chrono::milliseconds(500);

/// How long the other end of a new or verified link may stay silent.
constexpr state::Duration kLinkReadyTimeout = std::chrono::milliseconds(250);

/// A call that may not be repeated is sent only on a link that has delivered
/// something within this time; an older one is verified first. If the link has
/// gone silent the call is still certain not to have run.
constexpr state::Duration kLinkFreshness = std::chrono::seconds(1);

/// A kept link that has delivered nothing for this long is checked. What a node
/// says of its server comes on idle links, too, and is lost on one that has
/// gone silent.
constexpr state::Duration kIdleLinkCheck = std::chrono::seconds(2);

/// Shortest time between two such checks of a node: a ping between zones is
/// paid for, whatever the number of nodes.
constexpr state::Duration kIdleLinkCheckInterval =
    std::chrono::milliseconds(300);

/// Messages that may wait for a link to be opened, per node.
constexpr std::size_t kMaxWaitingPerNode = 4096;

/// Links without a call for this long are closed, so that a node keeps
/// connections only to those it calls.
constexpr state::Duration kLinkIdleTimeout = std::chrono::seconds(60);

/// Sends calls and control messages to other nodes.
class OutboundCalls {
 public:
  using Handle = CallExecutor::Handle;
  /// Messages that answer no call, with the node they came from.
  using ControlHandler =
      std::function<void(state::NodeId, protocol::PeerMessage)>;

  /// Messages for the other end of a new link.
  using InitialMessages =
      std::function<std::vector<protocol::PeerMessage>(state::NodeId node)>;
  /// Told when a link to a node starts to work, and when and why it has ended.
  using LinkObserver = std::function<
      void(state::NodeId node, bool is_open, const std::string& reason)>;

  OutboundCalls(boost::asio::io_context& context,
                DeadlineQueue& deadlines,
                protocol::Hello self,
                ControlHandler on_control);
  ~OutboundCalls();

  OutboundCalls(const OutboundCalls&) = delete;
  OutboundCalls& operator=(const OutboundCalls&) = delete;

  /// Calls \p node. \p done runs exactly once with the whole answer or with a
  /// failure; `not_run` is reported only if the request was never sent.
  Handle Call(state::NodeId node,
              const state::Endpoint& endpoint,
              protocol::CallRequest request,
              state::Instant deadline,
              std::uint64_t max_answer_bytes,
              AnswerCallback done);

  /// Gives up a call; its callback does not run, and the node is told.
  void Cancel(Handle handle);

  /// Sends a message that expects no answer here. Best effort.
  void SendControl(state::NodeId node,
                   const state::Endpoint& endpoint,
                   protocol::PeerMessage message);

  /// Sends what \p greeting returns on each new link, after the hello.
  void SetInitialMessages(InitialMessages initial_messages) {
    initial_messages_ = std::move(initial_messages);
  }

  void SetLinkObserver(LinkObserver observer) {
    observer_ = std::move(observer);
  }

  /// Opens a link to \p node unless there is one, or one is being opened. Links
  /// opened so are kept although they are idle. \p compress saves bytes on the
  /// way for processor time at both ends.
  void Open(state::NodeId node, const state::Endpoint& endpoint, bool compress);

  /// Closes the link to \p node and forgets the node.
  void RemoveNode(state::NodeId node);

  /// Sends \p message on each open link.
  void Broadcast(const protocol::PeerMessage& message);

  /// Answers that matched no call: late, duplicated or on another link.
  std::uint64_t unmatched_answers() const { return unmatched_answers_; }

  std::size_t in_flight() const { return calls_.size(); }
  std::size_t open_links() const;

 private:
  // A call that has not ended. Its id is its handle and its id on the wire;
  // ids are never reused, so a late answer can't match another call.
  struct PendingCall {
    protocol::CallRequest request;
    state::NodeId node = 0;
    // The link it was sent on; nullptr while it waits for one.
    std::shared_ptr<PeerLink> link;
    DeadlineQueue::Id deadline_id = 0;
    std::uint64_t max_answer_bytes = 0;
    AnswerCallback done;
    // Set once the head of the answer has arrived.
    std::unique_ptr<protocol::CallAnswer> answer;
  };

  // What is known of one node's links.
  struct Session {
    state::Endpoint endpoint;
    std::shared_ptr<PeerLink> link;
    bool connecting = false;
    // False until the other end has said something on this link: a paused
    // node's kernel accepts connections that nobody reads.
    bool ready = false;
    // True once this link was ready.
    bool proven = false;
    // Calls sent on the link that have not ended.
    std::size_t in_flight = 0;
    // Calls and control messages that wait for the link to be ready.
    std::vector<Handle> waiting_calls;
    std::vector<protocol::PeerMessage> waiting_control;
    state::Instant last_used;
    // Not closed for being idle.
    bool is_kept = false;
    bool is_compressed = false;
  };

  Session& SessionOf(state::NodeId node, const state::Endpoint& endpoint);
  void Connect(state::NodeId node);
  void ExpectReady(state::NodeId node, const std::shared_ptr<PeerLink>& link);
  void VerifyLink(state::NodeId node, Session& session);
  void Flush(Session& session);
  void OnConnected(state::NodeId node, const std::shared_ptr<PeerLink>& link);
  void SendCall(Handle handle, PendingCall& call, Session& session);
  void FailWaiting(Session& session);
  void OnLinkClosed(state::NodeId node,
                    const PeerLink* link,
                    const std::string& reason);
  void OnMessage(state::NodeId node,
                 const std::shared_ptr<PeerLink>& link,
                 protocol::PeerMessage message);
  void OnAnswer(const std::shared_ptr<PeerLink>& link,
                protocol::CallAnswer answer);
  void OnChunk(const std::shared_ptr<PeerLink>& link,
               const protocol::AnswerChunk& chunk);
  void CheckComplete(Handle handle);
  void OnDeadline(Handle handle);
  void FailCall(Handle handle,
                state::ResultCode result,
                state::RunState run_state,
                std::string detail);
  void Finish(Handle handle, protocol::CallAnswer answer);
  void CheckLinks();
  // Sends a ping on the link that has been idle for longest. One at a time, so
  // that the cost does not grow with the number of nodes.
  void CheckIdleLink(state::Instant now);

  boost::asio::io_context& context_;
  DeadlineQueue& deadlines_;
  const protocol::Hello self_;
  ControlHandler on_control_;
  InitialMessages initial_messages_;
  LinkObserver observer_;
  std::unordered_map<Handle, PendingCall> calls_;
  std::unordered_map<state::NodeId, Session> sessions_;
  Handle next_handle_ = 1;
  std::uint64_t unmatched_answers_ = 0;
  state::Instant last_check_;
  state::Instant last_idle_check_;
  // Guards callbacks of links and connects that outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_OUTBOUND_CALLS_H_
