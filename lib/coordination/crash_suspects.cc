/// \file
/// Suspicions of contents, counted by ends of servers.
#include "sesamespread/coordination/crash_suspects.h"

#include <algorithm>
#include <tuple>

#include "sesamespread/state/ids.h"

namespace sesamespread::coordination {

RequestContent ContentOf(std::string_view method,
                         std::string_view host,
                         std::string_view path,
                         std::string_view body) {
  RequestContent content = state::HashOf(method);
  for (const std::string_view part : {host, path, body})
    content = state::HashOf(content, state::HashOf(part));
  return content;
}

state::Duration CrashSuspects::LifetimeOf(const Suspicion& suspicion) const {
  if (suspicion.ends < options_.ends_until_blocked)
    return options_.suspicion_time;
  return suspicion.ends == options_.ends_until_blocked
             ? options_.block_time
             : options_.long_block_time;
}

bool CrashSuspects::HasExpired(const Suspicion& suspicion,
                               state::Instant now) const {
  return now - suspicion.last_end >= LifetimeOf(suspicion);
}

CrashVerdict CrashSuspects::Judge(RequestContent content, state::Instant now) {
  const auto found = suspicions_.find(content);
  if (found == suspicions_.end())
    return CrashVerdict::kNone;
  if (found->second.ends >= options_.ends_until_blocked)
    // After the block, the content is tried again as a suspect, with its ends.
    return HasExpired(found->second, now) ? CrashVerdict::kSuspect
                                          : CrashVerdict::kBlocked;
  if (!HasExpired(found->second, now))
    return CrashVerdict::kSuspect;
  suspicions_.erase(found);
  return CrashVerdict::kNone;
}

state::Duration CrashSuspects::BlockedFor(RequestContent content,
                                          state::Instant now) const {
  const auto found = suspicions_.find(content);
  if (found == suspicions_.end() ||
      found->second.ends < options_.ends_until_blocked)
    return state::Duration(0);
  return std::max(found->second.last_end + LifetimeOf(found->second) - now,
                  state::Duration(0));
}

bool CrashSuspects::OnAnswered(RequestContent content, state::Instant now) {
  answered_[content % kAnsweredSlots] = {content, now};
  return suspicions_.erase(content) > 0;
}

std::vector<RequestContent> CrashSuspects::SuspectsOfEnd(
    std::span<const RequestContent> running,
    state::Instant now) const {
  std::vector<RequestContent> suspects;
  for (const RequestContent content : running) {
    const Answered& answered = answered_[content % kAnsweredSlots];
    const bool is_harmless = answered.content == content &&
                             answered.at != state::Instant{} &&
                             now - answered.at < options_.harmless_time;
    const bool is_listed =
        std::find(suspects.begin(), suspects.end(), content) != suspects.end();
    if (!is_harmless && !is_listed)
      suspects.push_back(content);
  }
  if (suspects.size() > options_.max_contents_of_end)
    suspects.resize(options_.max_contents_of_end);
  return suspects;
}

bool CrashSuspects::OnServerEnd(std::uint64_t id,
                                std::span<const RequestContent> contents,
                                state::Instant now) {
  if (std::find(known_ends_.begin(), known_ends_.end(), id) !=
      known_ends_.end())
    return false;
  known_ends_.push_back(id);
  if (known_ends_.size() > kMaxKnownEnds)
    known_ends_.pop_front();
  for (const RequestContent content : contents.first(
           std::min(contents.size(), options_.max_contents_of_end))) {
    Suspicion& suspicion = suspicions_[content];
    ++suspicion.ends;
    suspicion.last_end = now;
  }
  MakeRoom(now);
  return true;
}

void CrashSuspects::Clear(std::span<const RequestContent> contents) {
  for (const RequestContent content : contents)
    suspicions_.erase(content);
}

void CrashSuspects::MakeRoom(state::Instant now) {
  if (suspicions_.size() <= options_.max_contents)
    return;
  std::erase_if(suspicions_, [this, now](const auto& entry) {
    return HasExpired(entry.second, now);
  });
  while (suspicions_.size() > options_.max_contents) {
    const auto least = std::min_element(
        suspicions_.begin(), suspicions_.end(),
        [](const auto& left, const auto& right) {
          return std::tuple(left.second.ends, left.second.last_end,
                            left.first) < std::tuple(right.second.ends,
                                                     right.second.last_end,
                                                     right.first);
        });
    suspicions_.erase(least);
  }
}

std::vector<CrashSuspicion> CrashSuspects::Snapshot(state::Instant now) const {
  std::vector<CrashSuspicion> suspicions;
  for (const auto& [content, suspicion] : suspicions_) {
    if (!HasExpired(suspicion, now))
      suspicions.push_back({content, suspicion.ends, now - suspicion.last_end});
  }
  return suspicions;
}

void CrashSuspects::Merge(std::span<const CrashSuspicion> suspicions,
                          state::Instant now) {
  for (const CrashSuspicion& received : suspicions) {
    const Suspicion theirs{received.ends, now - received.age};
    if (received.ends == 0 || HasExpired(theirs, now))
      continue;
    Suspicion& own = suspicions_[received.content];
    if (own.ends < theirs.ends)
      own = theirs;
  }
  MakeRoom(now);
}

std::uint64_t ServerOfSuspect(RequestContent content,
                              std::span<const std::uint64_t> servers) {
  return *std::max_element(servers.begin(), servers.end(),
                           [content](std::uint64_t left, std::uint64_t right) {
                             return state::HashOf(content, left) <
                                    state::HashOf(content, right);
                           });
}

}  // namespace sesamespread::coordination
