/// \file
/// Accounting of held memory.
#include "sesamespread/transport/memory_account.h"

#include <algorithm>
#include <bit>
#include <fstream>
#include <limits>
#include <string>
#include <utility>

namespace sesamespread::transport {
namespace {

constexpr std::size_t kHostShareDivisor = 4;

/// The platform may limit the memory of a process far below MemTotal. The
/// smallest hosts have 160 MB: this bound leaves room for the program and for
/// copies while messages are decoded.
constexpr std::size_t kMaxDefaultBound = 48 << 20;

std::size_t HostMemory() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  std::size_t kib = 0;
  if (file >> name >> kib && name == "MemTotal:")
    return kib << 10;
  return std::numeric_limits<std::size_t>::max();
}

}  // namespace

bool MemoryAccount::Admits(std::size_t bytes) {
  if (bytes <= kSmallBytes)
    return true;
  while (held_ + bytes > bound_ && !is_relieving_ && !ranks_.empty() &&
         std::get<Charge*>(*ranks_.rbegin())->bytes_ > bytes)
    RelieveLargest();
  if (held_ + bytes <= bound_)
    return true;
  ++refusals_;
  return false;
}

MemoryAccount& MemoryAccount::links() {
  if (!links_)
    links_ = std::make_unique<MemoryAccount>(bound_);
  return *links_;
}

void MemoryAccount::Relieve() {
  while (held_ > bound_ && !ranks_.empty() && !is_relieving_)
    RelieveLargest();
}

void MemoryAccount::RelieveLargest() {
  if (is_relieving_ || ranks_.empty())
    return;
  Charge* const charge = std::get<Charge*>(*ranks_.rbegin());
  // The callback may destroy the charge.
  const std::function<void()> give_up = charge->give_up_;
  charge->Set(0);
  ++refusals_;
  is_relieving_ = true;
  give_up();
  is_relieving_ = false;
}

void MemoryAccount::Change(std::size_t from, std::size_t to) {
  held_ += to - from;
  if (waiting_.empty() || is_high())
    return;
  for (const auto& callback : std::exchange(waiting_, {}))
    callback();
}

void MemoryAccount::Charge::Set(
    std::size_t bytes,
    bool can_give_up,
    std::chrono::steady_clock::time_point last_progress) {
  if (!account_)
    return;
  const std::size_t before = std::exchange(bytes_, bytes);
  if (std::exchange(is_ranked_, false))
    account_->ranks_.erase(rank_);
  if (can_give_up && give_up_ && bytes > kSmallBytes) {
    rank_ = {std::bit_width(bytes), -last_progress.time_since_epoch().count(),
             this};
    account_->ranks_.insert(rank_);
    is_ranked_ = true;
  }
  account_->Change(before, bytes);
}

std::size_t MemoryBound(std::uint64_t setting) {
  if (setting > 0)
    return setting;
  return std::min(HostMemory() / kHostShareDivisor, kMaxDefaultBound);
}

}  // namespace sesamespread::transport
