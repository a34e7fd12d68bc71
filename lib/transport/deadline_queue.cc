/// \file
/// Implementation of the deadline queue on a steady timer.
#include "sesamespread/transport/deadline_queue.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <unordered_map>
#include <utility>

namespace sesamespread::transport {

class DeadlineQueue::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(boost::asio::io_context& context) : timer_(context) {}

  Id Schedule(state::Instant at, std::function<void()> callback) {
    const Id id = next_id_++;
    entries_.emplace(std::pair(at, id), std::move(callback));
    deadlines_.emplace(id, at);
    if (at < armed_for_)
      Arm();
    return id;
  }

  void Cancel(Id id) {
    const auto found = deadlines_.find(id);
    if (found == deadlines_.end())
      return;
    entries_.erase({found->second, id});
    deadlines_.erase(found);
  }

  void Stop() {
    entries_.clear();
    deadlines_.clear();
    timer_.cancel();
  }

 private:
  // Sets the timer to the first deadline. Cancel does not call this: most
  // deadlines are cancelled, and a spurious wake-up costs less than re-arming
  // the timer for each of them.
  void Arm() {
    if (entries_.empty()) {
      armed_for_ = state::Instant::max();
      return;
    }
    armed_for_ = entries_.begin()->first.first;
    timer_.expires_after(armed_for_ - Now());
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (!error && self)
            self->RunExpired();
        });
  }

  void RunExpired() {
    const state::Instant now = Now();
    while (!entries_.empty() && entries_.begin()->first.first <= now) {
      auto node = entries_.extract(entries_.begin());
      deadlines_.erase(node.key().second);
      node.mapped()();
    }
    Arm();
  }

  boost::asio::steady_timer timer_;
  state::Instant armed_for_ = state::Instant::max();
  Id next_id_ = 1;
  std::map<std::pair<state::Instant, Id>, std::function<void()>> entries_;
  // The deadline of each id in entries_; holds exactly the same ids.
  std::unordered_map<Id, state::Instant> deadlines_;
};

DeadlineQueue::DeadlineQueue(boost::asio::io_context& context)
    : impl_(std::make_shared<Impl>(context)) {}

DeadlineQueue::~DeadlineQueue() {
  impl_->Stop();
}

DeadlineQueue::Id DeadlineQueue::Schedule(state::Instant at,
                                          std::function<void()> callback) {
  return impl_->Schedule(at, std::move(callback));
}

void DeadlineQueue::Cancel(Id id) {
  impl_->Cancel(id);
}

}  // namespace sesamespread::transport
