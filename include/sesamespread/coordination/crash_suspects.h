/// \file
/// Finds requests that end the backend servers that run them, by their content,
/// so that repeats of them with other ids and at other nodes are recognized.
#ifndef SESAMESPREAD_COORDINATION_CRASH_SUSPECTS_H_
#define SESAMESPREAD_COORDINATION_CRASH_SUSPECTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sesamespread/state/time.h"

namespace sesamespread::coordination {

/// Hash of method, host, path with query, and body of a request. Requests that
/// differ in other header fields only have the same content.
using RequestContent = std::uint64_t;

RequestContent ContentOf(std::string_view method,
                         std::string_view host,
                         std::string_view path,
                         std::string_view body);

/// How a request may be sent to a backend server.
enum class CrashVerdict : std::uint8_t {
  kNone,
  /// A server has ended under requests with this content and others. Such
  /// requests run one at a time, so that a further end names the cause.
  kSuspect,
  /// Must not be sent.
  kBlocked,
};

/// Ends of backend servers under requests with one content.
struct CrashSuspicion {
  RequestContent content = 0;
  std::uint32_t ends = 0;
  /// Time since the last end.
  state::Duration age{0};

  auto operator<=>(const CrashSuspicion&) const = default;
};

/// Bounds of CrashSuspects.
struct CrashSuspectOptions {
  /// Ends from which on requests with the content are blocked. A suspect runs
  /// alone among the suspects, so that the second end is hardly a coincidence.
  std::uint32_t ends_until_blocked = 2;
  /// Time without a further end after which a content is forgotten.
  state::Duration suspicion_time = std::chrono::seconds(60);
  /// The same for contents with ends_until_blocked ends; a request that was
  /// suspected by coincidence is refused for this long.
  state::Duration block_time = std::chrono::seconds(30);
  /// The same for contents with more ends.
  state::Duration long_block_time = std::chrono::minutes(10);
  /// Contents that are kept at most; those with the fewest ends, and the oldest
  /// among them, are forgotten first.
  std::size_t max_contents = 4096;
  /// Contents of one end that are kept at most, the latest started first.
  std::size_t max_contents_of_end = 1024;
  /// A content that the server has answered within this time is not suspected:
  /// many callers may send requests with the same content.
  state::Duration harmless_time = std::chrono::seconds(60);
};

/// The contents under suspicion, as one node knows them. A pure state machine;
/// the nodes exchange ends and clearances.
///
/// Answers the load of a request that ends each server that it reaches and that
/// its clients repeat at any node.
class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectOptions options = {})
      : options_(options) {}

  /// Whether there are no suspicions, so that contents need no hash.
  bool empty() const { return suspicions_.empty(); }
  std::size_t size() const { return suspicions_.size(); }

  CrashVerdict Judge(RequestContent content, state::Instant now);
  /// How long requests with \p content are blocked from now; zero if they are
  /// not.
  state::Duration BlockedFor(RequestContent content, state::Instant now) const;

  /// Records that a backend server answered a request with \p content.
  /// \returns true if it was under suspicion, which ends.
  bool OnAnswered(RequestContent content, state::Instant now);

  /// The contents among \p running that are suspected after the end of the
  /// local backend server that ran them.
  std::vector<RequestContent> SuspectsOfEnd(
      std::span<const RequestContent> running,
      state::Instant now) const;

  /// Records the end \p id of a server under \p contents. \returns false if it
  /// is known.
  bool OnServerEnd(std::uint64_t id,
                   std::span<const RequestContent> contents,
                   state::Instant now);

  /// Ends the suspicions of \p contents.
  void Clear(std::span<const RequestContent> contents);

  /// All suspicions, for a node that starts, and the opposite direction.
  std::vector<CrashSuspicion> Snapshot(state::Instant now) const;
  void Merge(std::span<const CrashSuspicion> suspicions, state::Instant now);

 private:
  struct Suspicion {
    std::uint32_t ends = 0;
    state::Instant last_end;
  };
  struct Answered {
    RequestContent content = 0;
    state::Instant at;
  };

  // Ends whose ids are remembered. A report arrives on several links at once.
  static constexpr std::size_t kMaxKnownEnds = 256;
  // Contents answered by the local server, at the slot of their hash.
  static constexpr std::size_t kAnsweredSlots = 4096;

  state::Duration LifetimeOf(const Suspicion& suspicion) const;
  bool HasExpired(const Suspicion& suspicion, state::Instant now) const;
  void MakeRoom(state::Instant now);

  const CrashSuspectOptions options_;
  std::unordered_map<RequestContent, Suspicion> suspicions_;
  std::deque<std::uint64_t> known_ends_;
  std::vector<Answered> answered_ = std::vector<Answered>(kAnsweredSlots);
};

/// The server of \p servers that runs suspects with \p content: the same one at
/// all nodes that know the same servers. \pre \p servers is not empty.
std::uint64_t ServerOfSuspect(RequestContent content,
                              std::span<const std::uint64_t> servers);

}  // namespace sesamespread::coordination

#endif  // SESAMESPREAD_COORDINATION_CRASH_SUSPECTS_H_
