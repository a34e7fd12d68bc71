/// \file
/// Bounded list of nodes with newer routes.
#include "sesamespread/coordination/version_sources.h"

#include <algorithm>

namespace sesamespread::coordination {
namespace {

/// Time in which a node that was asked answers, unless it is gone.
constexpr state::Duration kAnswerTime = std::chrono::milliseconds(300);

/// If all of these are gone, others will be heard of.
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
  if (sources_.empty() || (asked_at_ && now - *asked_at_ < kAnswerTime))
    return std::nullopt;
  const state::NodeId node = sources_.back().node;
  sources_.pop_back();
  asked_at_ = now;
  return node;
}

}  // namespace sesamespread::coordination
