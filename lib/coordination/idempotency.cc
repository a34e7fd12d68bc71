/// \file
/// Text form of keys and the table of executed keys.
#include "sesamespread/coordination/idempotency.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace sesamespread::coordination {
namespace {

constexpr std::string_view kKeyPrefix = "ss1-";
constexpr std::size_t kHexDigits = 16;
/// Memory of a header field besides its text.
constexpr std::size_t kHeaderFieldOverheadBytes = 64;

/// Bytes of an answer beyond the StoredAnswer, which kEntryBytes includes.
std::size_t BytesOf(const StoredAnswer& answer) {
  std::size_t bytes = answer.body.size();
  for (const auto& [name, value] : answer.headers)
    bytes += kHeaderFieldOverheadBytes + name.size() + value.size();
  return bytes;
}

std::uint64_t CeilMilliseconds(state::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

std::string FormatKey(const KeyBinding& key) {
  return fmt::format("{}{:016x}-{:016x}-{:016x}-{:016x}", kKeyPrefix,
                     key.executor.node, key.executor.incarnation, key.issued_ms,
                     key.random);
}

std::optional<KeyBinding> ParseKey(std::string_view text) {
  if (text.size() != kKeyTextLength || !HasKeyPrefix(text))
    return std::nullopt;
  std::array<std::uint64_t, 4> numbers{};
  std::size_t at = kKeyPrefix.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && text[at++] != '-')
      return std::nullopt;
    const std::string_view digits = text.substr(at, kHexDigits);
    if (!IsLowerHex(digits) || !state::ParseHex(digits, &numbers[i]))
      return std::nullopt;
    at += kHexDigits;
  }
  return KeyBinding{{numbers[0], numbers[1]}, numbers[2], numbers[3]};
}

bool HasKeyPrefix(std::string_view text) {
  return text.substr(0, kKeyPrefix.size()) == kKeyPrefix;
}

std::uint64_t FingerprintOf(std::string_view service,
                            std::string_view method,
                            std::string_view path,
                            std::string_view body,
                            std::uint64_t caller_identity) {
  std::uint64_t hash = caller_identity;
  for (const std::string_view part : {service, method, path, body})
    hash = state::HashOf(hash, state::HashOf(part));
  return hash;
}

ExecutionTable::ExecutionTable(state::NodeIncarnation self,
                               state::WallTime wall_start,
                               state::Instant start,
                               Options options)
    : self_(self),
      wall_start_ms_(state::WallMilliseconds(wall_start)),
      start_(start),
      options_(options) {}

std::uint64_t ExecutionTable::WallMillisecondsAt(state::Instant now) const {
  return wall_start_ms_ +
         static_cast<std::uint64_t>(
             std::chrono::floor<std::chrono::milliseconds>(now - start_)
                 .count());
}

ExecutionTable::Outcome ExecutionTable::Begin(const KeyBinding& key,
                                              std::uint64_t fingerprint,
                                              WaiterId waiter,
                                              state::Instant now) {
  Tick(now);
  if (key.executor != self_)
    return {Verdict::kOtherExecutor, nullptr};
  const auto known = entries_.find(key);
  if (known != entries_.end())
    return BeginExisting(known->second, fingerprint, waiter);

  const std::uint64_t now_ms = WallMillisecondsAt(now);
  const std::uint64_t max_skew_ms = CeilMilliseconds(options_.max_skew);
  // Checked first, so that the sum below cannot overflow.
  if (key.issued_ms > now_ms + max_skew_ms)
    return {Verdict::kNotYetValid, nullptr};
  const std::uint64_t valid_until_ms =
      key.issued_ms + CeilMilliseconds(options_.repeat_window) + max_skew_ms;
  if (key.issued_ms <= removed_up_to_ms_ || valid_until_ms < now_ms)
    return {Verdict::kExpired, nullptr};
  if (entries_.size() >= options_.max_entries ||
      bytes_ + kEntryBytes > options_.max_bytes) {
    return {Verdict::kFull, nullptr};
  }
  Entry entry;
  entry.fingerprint = fingerprint;
  entries_.emplace(key, std::move(entry));
  bytes_ += kEntryBytes;
  return {Verdict::kRun, nullptr};
}

ExecutionTable::Outcome ExecutionTable::BeginExisting(Entry& entry,
                                                      std::uint64_t fingerprint,
                                                      WaiterId waiter) {
  if (entry.fingerprint != fingerprint)
    return {Verdict::kMismatch, nullptr};
  if (entry.phase == Phase::kCompleted)
    return {Verdict::kReplay, entry.answer};
  if (entry.phase == Phase::kUnknown)
    return {Verdict::kOutcomeUnknown, nullptr};
  if (entry.waiters.size() >= options_.max_waiters_per_key)
    return {Verdict::kInProgress, nullptr};
  entry.waiters.push_back(waiter);
  return {Verdict::kAttached, nullptr};
}

std::vector<ExecutionTable::WaiterId> ExecutionTable::Complete(
    const KeyBinding& key,
    StoredAnswer answer,
    state::Instant now) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.phase == Phase::kCompleted)
    return {};
  Entry& entry = found->second;
  if (answer.body_stored) {
    answer.body_size = answer.body.size();
    answer.body_digest = state::HashOf(answer.body);
  }
  if (!answer.body_stored || answer.body.size() > options_.max_body_bytes ||
      bytes_ + BytesOf(answer) > options_.max_bytes) {
    answer.body_stored = false;
    answer.body = {};
  }
  // Drops the header fields too, because the bound must hold and the key must
  // not be removed.
  if (bytes_ + BytesOf(answer) > options_.max_bytes)
    answer.headers = {};
  entry.answer_bytes = BytesOf(answer);
  bytes_ += entry.answer_bytes;
  entry.answer = std::make_shared<const StoredAnswer>(std::move(answer));
  entry.phase = Phase::kCompleted;
  SetExpiry(key, entry, now);
  return std::exchange(entry.waiters, {});
}

std::vector<ExecutionTable::WaiterId> ExecutionTable::Abandon(
    const KeyBinding& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.phase != Phase::kRunning)
    return {};
  std::vector<WaiterId> waiters = std::move(found->second.waiters);
  bytes_ -= kEntryBytes;
  entries_.erase(found);
  return waiters;
}

std::vector<ExecutionTable::WaiterId> ExecutionTable::MarkUnknown(
    const KeyBinding& key,
    state::Instant now) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.phase != Phase::kRunning)
    return {};
  found->second.phase = Phase::kUnknown;
  SetExpiry(key, found->second, now);
  return std::exchange(found->second.waiters, {});
}

void ExecutionTable::Detach(const KeyBinding& key, WaiterId waiter) {
  const auto found = entries_.find(key);
  if (found != entries_.end())
    std::erase(found->second.waiters, waiter);
}

void ExecutionTable::SetRepeatWindow(state::Duration window) {
  options_.repeat_window = window;
}

void ExecutionTable::SetExpiry(const KeyBinding& key,
                               Entry& entry,
                               state::Instant now) {
  const auto since_start = std::chrono::milliseconds(
      static_cast<std::int64_t>(key.issued_ms - wall_start_ms_));
  // Plus 1 ms, because WallMillisecondsAt rounds down.
  const state::Instant refused_after =
      start_ + since_start + options_.repeat_window + options_.max_skew +
      std::chrono::milliseconds(1);
  const bool first_expiry = entry.expires_at == state::Instant{};
  entry.expires_at = std::max(now + options_.repeat_window, refused_after);
  // After MarkUnknown the key is already queued; Tick queues it again for the
  // new time.
  if (first_expiry)
    expiries_.emplace(entry.expires_at, key);
}

void ExecutionTable::Tick(state::Instant now) {
  while (!expiries_.empty() && expiries_.top().first <= now) {
    const KeyBinding key = expiries_.top().second;
    expiries_.pop();
    const auto found = entries_.find(key);
    if (found == entries_.end())
      continue;
    if (found->second.expires_at > now) {
      expiries_.emplace(found->second.expires_at, key);
      continue;
    }
    AccountRemoval(key, found->second);
    entries_.erase(found);
  }
}

void ExecutionTable::AccountRemoval(const KeyBinding& key, const Entry& entry) {
  bytes_ -= kEntryBytes + entry.answer_bytes;
  removed_up_to_ms_ = std::max(removed_up_to_ms_, key.issued_ms);
}

}  // namespace sesamespread::coordination
