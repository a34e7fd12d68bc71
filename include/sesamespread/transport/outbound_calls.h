/// \file
/// Calls to other nodes: keeps one link per node, matches answers to their
/// calls and replaces links that have become silent.
#ifndef SESAMESPREAD_TRANSPORT_OUTBOUND_CALLS_H_
#define SESAMESPREAD_TRANSPORT_OUTBOUND_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sesamespread/protocol/messages.h"
#include "sesamespread/state/ids.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/transport/call_executor.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/memory_account.h"
#include "sesamespread/transport/peer_link.h"

namespace sesamespread::transport {

/// A connection that takes longer to open counts as failed. The round trip
/// between nodes takes a few milliseconds.
constexpr state::Duration kPeerConnectTimeout = std::chrono::milliseconds(500);

/// How long the other end of a new link, or of one that is being verified, may
/// be silent before the link is closed.
constexpr state::Duration kLinkReadyTimeout = std::chrono::milliseconds(250);

/// A call that is not repeatable is sent only on a link that has received data
/// within this time; otherwise the link is verified by a ping first. If the
/// ping is not answered, the call has not been sent and so has certainly not
/// run.
constexpr state::Duration kMaxUnverifiedSilence = std::chrono::seconds(1);

/// A persistent link without calls that has received nothing for this long is
/// probed by a ping. Nodes report the state of their backend servers on idle
/// links as well, and such a report is lost on a link that no longer works.
constexpr state::Duration kIdleLinkProbeDelay = std::chrono::seconds(2);

/// Shortest time between two such probes that a node sends, whatever the number
/// of nodes: traffic between availability zones is charged for.
constexpr state::Duration kIdleLinkProbeInterval =
    std::chrono::milliseconds(300);

/// Messages that may wait for a link to be opened, per node.
constexpr std::size_t kMaxWaitingPerNode = 4096;

/// Links that are not persistent and had no call for this long are closed, so
/// that a node keeps connections only to the nodes that it calls.
constexpr state::Duration kLinkIdleTimeout = std::chrono::seconds(60);

/// Sends calls and control messages to other nodes. All methods run on the
/// io_context's thread.
class OutboundCalls {
 public:
  using Handle = CallExecutor::Handle;
  /// Receives messages that are not answers to calls, with their sender.
  using ControlHandler =
      std::function<void(state::NodeId, protocol::PeerMessage)>;

  /// Returns the messages to send first on a new link to a node.
  using InitialMessages =
      std::function<std::vector<protocol::PeerMessage>(state::NodeId node)>;
  /// Called when the first message arrives on a new link to a node, and when
  /// such a link has closed, with the reason.
  using LinkObserver = std::function<
      void(state::NodeId node, bool is_open, const std::string& reason)>;

  OutboundCalls(boost::asio::io_context& context,
                DeadlineQueue& deadlines,
                protocol::Hello self,
                ControlHandler on_control,
                MemoryAccount* memory = nullptr);
  ~OutboundCalls();

  OutboundCalls(const OutboundCalls&) = delete;
  OutboundCalls& operator=(const OutboundCalls&) = delete;

  /// Sends \p request to \p node. \p done runs exactly once, with the complete
  /// answer or with a failure, unless the call is cancelled. `not_run` is
  /// reported by this class only if the request was never sent as a whole. A
  /// call to a default \p endpoint, which is that of an unknown node, fails
  /// with kConnectFailed.
  Handle Call(state::NodeId node,
              const state::Endpoint& endpoint,
              protocol::CallRequest request,
              state::Instant deadline,
              std::uint64_t max_answer_bytes,
              AnswerCallback done);

  /// Cancels a call, at the other node as well; its callback does not run.
  void Cancel(Handle handle);

  /// Sends a message for which no answer is awaited here. It is dropped if the
  /// link fails, too many messages wait for it or \p endpoint is a default one.
  void SendControl(state::NodeId node,
                   const state::Endpoint& endpoint,
                   protocol::PeerMessage message);

  /// Sends the messages that \p initial_messages returns on each new link,
  /// after the hello.
  void SetInitialMessages(InitialMessages initial_messages) {
    initial_messages_ = std::move(initial_messages);
  }

  void SetLinkObserver(LinkObserver observer) {
    observer_ = std::move(observer);
  }

  /// Opens a link to \p node unless there is one, or one is being opened. The
  /// link is persistent: it is not closed while idle. \p compress reduces the
  /// bytes sent at the cost of processor time at both ends.
  void Open(state::NodeId node, const state::Endpoint& endpoint, bool compress);

  /// Closes the link to \p node, also one that is being opened, and opens no
  /// other one until the node is used again.
  void RemoveNode(state::NodeId node);

  /// Sends \p message on each link that is ready.
  void Broadcast(const protocol::PeerMessage& message);

  /// Answers that matched no call: late, duplicated or on another link.
  std::uint64_t unmatched_answers() const { return unmatched_answers_; }

  std::size_t in_flight() const { return calls_.size(); }
  std::size_t open_links() const;

 private:
  // A call that has not ended. Its handle is also its call id on the wire; ids
  // are never reused, so a late answer cannot match another call.
  struct PendingCall {
    protocol::CallRequest request;
    state::NodeId node = 0;
    // The link it was sent on; nullptr while it waits for one.
    std::shared_ptr<PeerLink> link;
    // PeerLink::added_bytes() once it was added to the queue of the link.
    std::uint64_t end_on_link = 0;
    DeadlineQueue::Id deadline_timer_id = 0;
    std::uint64_t max_answer_bytes = 0;
    AnswerCallback done;
    // Set once the head of the answer has arrived.
    std::unique_ptr<protocol::CallAnswer> answer;
    // The bytes of `answer`; set with it.
    std::optional<MemoryAccount::Charge> charge;
  };

  // The link to one node, and what waits for it.
  struct PeerSession {
    state::Endpoint endpoint;
    std::shared_ptr<PeerLink> link;
    bool connecting = false;
    // True while the link may be used: the first message has arrived, and no
    // verification is in progress. An open connection is not enough, because
    // the kernel accepts connections also for a paused process.
    bool ready = false;
    // True once the current link has been ready.
    bool was_ready = false;
    // Calls sent on the current link that have not ended.
    std::size_t in_flight = 0;
    // Calls and control messages that wait for the link to be ready.
    std::vector<Handle> waiting_calls;
    std::vector<protocol::PeerMessage> waiting_control;
    state::Instant last_used;
    // The link is not closed while idle.
    bool is_persistent = false;
    bool is_compressed = false;
    // RemoveNode was called; the session is erased once its link has closed.
    bool is_removed = false;
  };

  PeerSession& SessionOf(state::NodeId node, const state::Endpoint& endpoint);
  void Connect(state::NodeId node);
  void ScheduleReadyTimeout(state::NodeId node,
                            const std::shared_ptr<PeerLink>& link);
  void VerifyLink(state::NodeId node, PeerSession& session);
  void SendWaiting(PeerSession& session);
  void OnConnected(state::NodeId node, const std::shared_ptr<PeerLink>& link);
  void SendCall(Handle handle, PendingCall& call, PeerSession& session);
  void FailWaiting(PeerSession& session);
  void EraseSession(state::NodeId node);
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
  // Ends the call of an incomplete answer, to free its memory.
  void GiveUpAnswer(Handle handle);
  void CheckComplete(Handle handle);
  void OnDeadline(Handle handle);
  void FailCall(Handle handle,
                state::ResultCode result,
                state::RunState run_state,
                std::string detail);
  void Finish(Handle handle, protocol::CallAnswer answer);
  void CheckLinks();
  // Sends a ping on the persistent link that has been idle for longest. Only
  // one probe is outstanding, so that the cost does not grow with the number of
  // nodes.
  void ProbeIdleLink(state::Instant now);

  boost::asio::io_context& context_;
  DeadlineQueue& deadlines_;
  const protocol::Hello self_;
  ControlHandler on_control_;
  MemoryAccount* const memory_;
  InitialMessages initial_messages_;
  LinkObserver observer_;
  std::unordered_map<Handle, PendingCall> calls_;
  std::unordered_map<state::NodeId, PeerSession> sessions_;
  Handle next_handle_ = 1;
  std::uint64_t unmatched_answers_ = 0;
  state::Instant last_link_check_;
  state::Instant last_idle_probe_;
  // False once this object is destroyed; checked by the callbacks of links and
  // connection attempts that outlive it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_OUTBOUND_CALLS_H_
