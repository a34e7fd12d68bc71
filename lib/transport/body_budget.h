/// \file
/// Bound on the bytes of all message bodies that are being received at a time.
#ifndef SESAMESPREAD_LIB_TRANSPORT_BODY_BUDGET_H_
#define SESAMESPREAD_LIB_TRANSPORT_BODY_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <unordered_map>

namespace sesamespread::transport {

/// Sums the bodies of connections of type \p Connection. A peer may send bytes
/// without end, and a limit per message alone does not bound the memory of many
/// connections.
template <class Connection>
class BodyBudget {
 public:
  /// Bodies up to this size are not counted: they are as large as one read.
  static constexpr std::size_t kMinCountedBytes = 64 << 10;

  explicit BodyBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Sets the size of the body that \p connection has received. \returns the
  /// connection with the largest body if the sum exceeds the bound, else
  /// nullptr. Its body has to be given up.
  Connection* Update(Connection* connection, std::size_t bytes) {
    if (bytes <= kMinCountedBytes)
      return nullptr;
    std::size_t& counted = bytes_[connection];
    sum_ += bytes - counted;
    counted = bytes;
    if (sum_ <= max_bytes_)
      return nullptr;
    return std::max_element(
               bytes_.begin(), bytes_.end(),
               [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
  }

  /// Ends the body of \p connection, which was delivered or given up.
  void Remove(Connection* connection) {
    const auto found = bytes_.find(connection);
    if (found == bytes_.end())
      return;
    sum_ -= found->second;
    bytes_.erase(found);
  }

 private:
  const std::size_t max_bytes_;
  std::unordered_map<Connection*, std::size_t> bytes_;
  /// Sum of bytes_.
  std::size_t sum_ = 0;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_LIB_TRANSPORT_BODY_BUDGET_H_
