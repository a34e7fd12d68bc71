/// \file
/// List of nodes with newer routes.
#include "sesamespread/coordination/version_sources.h"

#include <algorithm>

namespace sesamespread::coordination {
namespace {

/// Time after which a node that has not answered is considered gone.
constexpr state::Duration kAnswerTimeout = std::chrono::milliseconds(300);

/// Bound on the list. If all of these nodes are gone, announcements of others
/// follow.
constexpr std::size_t kMaxSources = 8;

}  // namespace

void VersionSources::OnVersionSeen(state::NodeId node, std::uint64_t version) {
  std::erase_if(sources_, [node](const Source& s) { return s.node == node; });
  if (sources_.size() >= kMaxSources)
    sources_.pop_front();
  sources_.push_back({node, version});
}

std::optional<state::NodeId> VersionSources::NextSource(std::uint64_t have,
                                                        state::Instant now) {
  std::erase_if(sources_,
                [have](const Source& s) { return s.version <= have; });
  if (sources_.empty() ||
      (last_request_at_ && now - *last_request_at_ < kAnswerTimeout))
    return std::nullopt;
  const state::NodeId node = sources_.back().node;
  sources_.pop_back();
  last_request_at_ = now;
  return node;
}

}  // namespace sesamespread::coordination
