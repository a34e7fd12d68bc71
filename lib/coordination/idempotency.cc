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

constexpr std::string_view kPrefix = "ss1-";
constexpr std::size_t kHexDigits = 16;
/// Bytes of a header field besides its text.
constexpr std::size_t kFieldBytes = 64;

/// Bytes of an answer beyond the StoredAnswer, which kEntryBytes includes.
std::size_t BytesOf(const StoredAnswer& answer) {
  std::size_t bytes = answer.body.size();
  for (const auto& [name, value] : answer.headers)
    bytes += kFieldBytes + name.size() + value.size();
  return bytes;
}

std::uint64_t Milliseconds(state::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

std::string FormatKey(const KeyBinding& key) {
  return fmt::format("{}{:016x}-{:016x}-{:016x}-{:016x}", kPrefix,
                     key.executor.node, key.executor.incarnation, key.issued_ms,
                     key.random);
}

std::optional<KeyBinding> ParseKey(std::string_view text) {
  if (text.size() != kKeyTextLength || !HasKeyPrefix(text))
    return std::nullopt;
  std::array<std::uint64_t, 4> numbers{};
  std::size_t at = kPrefix.size();
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
  return text.substr(0, kPrefix.size()) == kPrefix;
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

std::uint64_t ExecutionTable::WallAt(state::Instant now) const {
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
    return BeginKnown(known->second, fingerprint, waiter);

  const std::uint64_t wall = WallAt(now);
  const std::uint64_t skew = Milliseconds(options_.max_skew);
  // Checked before the sum below, which it keeps from overflowing.
  if (key.issued_ms > wall + skew)
    return {Verdict::kNotYetValid, nullptr};
  const std::uint64_t good_until =
      key.issued_ms + Milliseconds(options_.repeat_window) + skew;
  if (key.issued_ms <= forgotten_up_to_ms_ || good_until < wall)
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

ExecutionTable::Outcome ExecutionTable::BeginKnown(Entry& entry,
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
  // Header fields are given up too rather than the bound or the key.
  if (bytes_ + BytesOf(answer) > options_.max_bytes)
    answer.headers = {};
  entry.answer_bytes = BytesOf(answer);
  bytes_ += entry.answer_bytes;
  entry.answer = std::make_shared<const StoredAnswer>(std::move(answer));
  entry.phase = Phase::kCompleted;
  End(key, entry, now);
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
  End(key, found->second, now);
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

void ExecutionTable::End(const KeyBinding& key,
                         Entry& entry,
                         state::Instant now) {
  const auto since_start = std::chrono::milliseconds(
      static_cast<std::int64_t>(key.issued_ms - wall_start_ms_));
  // One more millisecond, as WallAt rounds down.
  const state::Instant refused_after =
      start_ + since_start + options_.repeat_window + options_.max_skew +
      std::chrono::milliseconds(1);
  const bool first_end = entry.forget_at == state::Instant{};
  entry.forget_at = std::max(now + options_.repeat_window, refused_after);
  // After MarkUnknown the key is queued already; Tick queues it again.
  if (first_end)
    expiries_.emplace(entry.forget_at, key);
}

void ExecutionTable::Tick(state::Instant now) {
  while (!expiries_.empty() && expiries_.top().first <= now) {
    const KeyBinding key = expiries_.top().second;
    expiries_.pop();
    const auto found = entries_.find(key);
    if (found == entries_.end())
      continue;
    if (found->second.forget_at > now) {
      expiries_.emplace(found->second.forget_at, key);
      continue;
    }
    Forget(key, found->second);
    entries_.erase(found);
  }
}

void ExecutionTable::Forget(const KeyBinding& key, const Entry& entry) {
  bytes_ -= kEntryBytes + entry.answer_bytes;
  forgotten_up_to_ms_ = std::max(forgotten_up_to_ms_, key.issued_ms);
}

}  // namespace sesamespread::coordination
