/// \file
/// Open-loop load generator. Requests are sent on a fixed schedule that does
/// not depend on the outcome of earlier ones, and latency is measured from the
/// intended send time. A closed loop would send less to a slow system and so
/// leave part of its delay out of the results (coordinated omission).
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

/// Targets of a load run and how requests are sent.
struct LoadOptions {
  /// Caller ports of nodes. Each attempt goes to a random one.
  std::vector<state::Endpoint> targets;
  /// True if the targets are backend servers. Requests then carry their own
  /// traceparent, and no keys are requested from nodes.
  bool baseline = false;
  /// Control ports by the server name that disturbances refer to.
  std::map<std::string, std::vector<state::Endpoint>> control;
  std::size_t max_connections_per_target = 1000;
  /// Compares each answer with the one that the stand-in backend server must
  /// send.
  bool verify = true;
};

/// Runs one scenario. All methods must be called on the io_context's thread.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& context,
                state::LoadScenario scenario,
                LoadOptions options);
  ~LoadGenerator();

  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /// Fetches issued keys from the nodes if a kind of request needs them, and
  /// starts the schedule. \p done runs once when the schedule and all requests
  /// have ended, at the latest when the longest request timeout has passed
  /// since the end of the schedule.
  void Start(std::function<void()> done);

  /// Returns the results so far.
  const LoadReport& report() const;

  /// Returns the time since the start of the schedule.
  state::Duration elapsed() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sesamespread::transport

#endif  // SESAMESPREAD_TRANSPORT_LOAD_GENERATOR_H_
