/// \file
/// The deployments of both customers.
#include "deployments.h"

namespace sesamespread::bench {
namespace {

const std::vector<std::string> kFixedServiceTimes = {"--distribution", "fixed"};

}  // namespace

Deployment Colmenar(int servers, const std::string& admission) {
  Deployment deployment;
  deployment.name = "colmenar";
  deployment.deep_service = "prices";
  deployment.deep_slots = 15 * servers;
  deployment.deep_service_time_ms = 100;
  deployment.order_path = "/orders/new";
  deployment.browse_path = "/inventory/catalogue";
  ClusterSpec& spec = deployment.spec;
  spec.inventory = SourceDir() + "/examples/colmenar.yaml";
  spec.zones = {"litoral-a", "cuyo-a", "litoral-b", "cuyo-b"};
  spec.admission = admission;
  spec.services = {
      {"orders", servers, 160, 1100, 5,
       "inventory:GET:/stock,ledger:POST:/entries", kFixedServiceTimes},
      {"inventory", servers, 160, 1100, 5, "prices:GET:/price",
       kFixedServiceTimes},
      {"prices", servers, 15, 200, deployment.deep_service_time_ms, "",
       kFixedServiceTimes},
      {"ledger", servers, 160, 1100, 5, "", kFixedServiceTimes},
      {"plans", servers, 160, 1100, 5, "", kFixedServiceTimes}};
  return deployment;
}

Deployment Lembaga(int servers, const std::string& admission) {
  Deployment deployment;
  deployment.name = "lembaga";
  deployment.deep_service = "candle-inventory";
  deployment.deep_slots = 30 * servers;
  deployment.deep_service_time_ms = 200;
  deployment.order_path = "/booking-system/refills";
  deployment.browse_path = "/schedule-portal/schedules";
  ClusterSpec& spec = deployment.spec;
  spec.inventory = SourceDir() + "/examples/lembaga.yaml";
  spec.zones = {"shah-alam", "kota-kinabalu", "johor-bahru", "kuching"};
  spec.admission = admission;
  spec.services = {{"booking-system", servers, 130, 900, 5,
                    "candle-inventory:GET:/stock", kFixedServiceTimes},
                   {"schedule-portal", servers, 130, 900, 5,
                    "candle-inventory:GET:/stock", kFixedServiceTimes},
                   {"archive", servers, 130, 900, 5, "", kFixedServiceTimes},
                   {"candle-inventory", servers, 30, 300,
                    deployment.deep_service_time_ms, "", kFixedServiceTimes}};
  return deployment;
}

}  // namespace sesamespread::bench
