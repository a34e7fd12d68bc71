/// \file
/// The deployments of both users, scaled to one machine: zones, services,
/// slots and connections are theirs, service times are chosen so that three
/// times the capacity is a load that one machine can offer.
#ifndef SESAMESPREAD_BENCH_DEPLOYMENTS_H_
#define SESAMESPREAD_BENCH_DEPLOYMENTS_H_

#include <string>

#include "harness/cluster.h"

namespace sesamespread::bench {

/// A deployment and the figures that its load is derived from.
struct Deployment {
  std::string name;
  ClusterSpec spec;
  /// The service that limits the chain, and its slots in all.
  std::string deep_service;
  int deep_slots = 0;
  double deep_service_time_ms = 0;
  /// Paths of an order and of browsing.
  std::string order_path;
  std::string browse_path;

  /// Requests per second that the deep service can serve.
  double capacity() const { return deep_slots * 1000.0 / deep_service_time_ms; }
};

/// Colmenar del Sur; \p servers backend servers a service.
Deployment Colmenar(int servers, const std::string& admission);

/// The Lembaga; \p servers backend servers a service.
Deployment Lembaga(int servers, const std::string& admission);

}  // namespace sesamespread::bench

#endif  // SESAMESPREAD_BENCH_DEPLOYMENTS_H_
