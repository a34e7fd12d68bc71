/// \file
/// The deployments of both customers, scaled to one machine. Zones, services,
/// slots and connections are those of the customers; service times are long
/// enough that one machine can offer three times the capacity.
#ifndef SESAMESPREAD_BENCH_DEPLOYMENTS_H_
#define SESAMESPREAD_BENCH_DEPLOYMENTS_H_

#include <string>

#include "harness/cluster.h"

namespace sesamespread::bench {

/// A deployment and the values from which its load is derived.
struct Deployment {
  std::string name;
  ClusterSpec spec;
  /// The service that limits the throughput of the chain.
  std::string deep_service;
  /// Slots of all its backend servers together.
  int deep_slots = 0;
  double deep_service_time_ms = 0;
  /// Paths of an order and of a browse request, with the service.
  std::string order_path;
  std::string browse_path;

  /// Requests per second that the deep service can serve.
  double capacity() const { return deep_slots * 1000.0 / deep_service_time_ms; }
};

/// Colmenar del Sur with \p servers backend servers per service.
Deployment Colmenar(int servers, const std::string& admission);

/// The Lembaga with \p servers backend servers per service.
Deployment Lembaga(int servers, const std::string& admission);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_DEPLOYMENTS_H_
