/// \file
/// Open-loop load generator: requests are sent on a fixed schedule, whatever
/// becomes of earlier ones, and latency counts from the intended send time, so
/// that a slow system can't hide its own delay.
#ifndef SESAMESPREAD_TRANSPORT_LOAD_GENERATOR_H_
#define SESAMESPREAD_TRANSPORT_LOAD_GENERATOR_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sesamespread/state/load_scenario.h"
#include "sesamespread/state/node_record.h"
#include "sesamespread/transport/load_report.h"

namespace sesamespread::transport {

/// Whom to send to, and how.
struct LoadOptions {
  /// Caller ports of nodes; each attempt goes to a random one.
  std::vector<state::Endpoint> targets;
  /// The targets are backend servers: requests carry their own traceparent.
  bool baseline = false;
  /// Control ports by the names that disturbances use.
  std::map<std::string, std::vector<state::Endpoint>> control;
  std::size_t max_connections_per_target = 1000;
  /// Compares each answer with what the stand-in backend server must send.
  bool verify = true;
};

/// Runs one scenario. All calls are on the io_context's thread.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& context,
                state::LoadScenario scenario,
                LoadOptions options);
  ~LoadGenerator();

  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /// Fetches issued keys if a kind needs them, and then sends. \p done runs
  /// when the last request has ended, at the longest timeout after the last
  /// arrival.
  void Start(std::function<void()> done);

  /// What is known so far.
  const LoadReport& report() const;

  /// Time since the first arrival was due.
  state::Duration elapsed() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_LOAD_GENERATOR_H_
