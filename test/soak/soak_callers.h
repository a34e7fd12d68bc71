/// \file
/// Callers of the soak, and the records of their requests and answers.
#ifndef SESAMESPREAD_TEST_SOAK_SOAK_CALLERS_H_
#define SESAMESPREAD_TEST_SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "sesamespread/state/node_record.h"
#include "sesamespread/state/time.h"

namespace sesamespread::test {

/// One request of a caller and its result.
struct CallerRecord {
  std::string id;
  /// Host of the route: shop.example, stock.example or orders.example.
  std::string route_host;
  /// Index of the host of the entry node.
  std::size_t entry = 0;
  state::Instant sent;
  state::Instant ended;
  /// 0 if the connection ended without an answer or the answer timed out.
  std::uint16_t status = 0;
  std::string seal;
  std::string body;

  bool is_order() const { return route_host == "orders.example"; }

  auto operator<=>(const CallerRecord&) const = default;
};

/// Deadline that a caller sends with its request, relative to sending.
constexpr std::chrono::milliseconds kCallerBudget{1500};

/// Threads that send requests on keep-alive connections until Finish.
class SoakCallers {
 public:
  SoakCallers(std::vector<state::Endpoint> entries, std::uint64_t seed);
  ~SoakCallers();

  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// Stops sending and waits for the outstanding answers. \returns all records;
  /// a second call returns none.
  std::vector<CallerRecord> Finish();

 private:
  void Send(std::size_t caller);

  const std::vector<state::Endpoint> entries_;
  const std::uint64_t seed_;
  std::atomic<bool> is_finished_{false};
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<CallerRecord> records_;
};

}  // namespace sesamespread::test

#endif  // SESAMESPREAD_TEST_SOAK_SOAK_CALLERS_H_
