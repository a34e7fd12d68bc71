/// \file
/// Runs a small deployment as separate processes, sends it a surge, and prints
/// a table of the results. `demo --hold` starts the deployment without load.
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <string_view>

#include "deployments.h"

namespace sesamespread::bench {
namespace {

constexpr int kServersPerService = 2;
constexpr double kOrderShare = 0.2;

std::string WriteScenario(const Cluster& cluster,
                          const Deployment& deployment) {
  const double rate = deployment.capacity();
  const std::string path = cluster.directory() + "/demo.load.yaml";
  std::ofstream(path) << fmt::format(
      "duration: 12s\nkinds:\n"
      "  - {{name: orders, method: POST, path: {}, share: {}, timeout: 2s,"
      " key: issued, body_bytes: 256, repeats: 2, patience: 800ms,"
      " after_refusal: wait}}\n"
      "  - {{name: browsing, path: {}, share: {}, timeout: 1s, repeats: 2,"
      " patience: 500ms, after_refusal: repeat}}\n"
      "phases:\n  - {{rate: {:.0f}}}\n  - {{at: 3s, rate: {:.0f}}}\n"
      "  - {{at: 8s, rate: {:.0f}}}\n",
      deployment.order_path, kOrderShare * 10, deployment.browse_path,
      (1 - kOrderShare) * 10, 0.6 * rate, 3 * rate, 0.6 * rate);
  return path;
}

// Keeps the deployment running for manual use.
int HoldDeployment(const Cluster& cluster, std::vector<Host>& hosts) {
  fmt::print("platform {}\noperator token file {}\n", cluster.PlatformUrl(),
             cluster.TokenFile());
  for (const Host& host : hosts)
    fmt::print(
        "{:<14} {:<11} caller port {} operator port {} backend server port "
        "{}\n",
        host.name, host.zone, host.ports.caller, host.ports.operators,
        host.backend_port);
  fmt::print("press Enter to stop\n");
  std::fflush(stdout);
  std::getchar();
  return 0;
}

int Run(bool hold) {
  fmt::print("starting the platform, 10 nodes and 10 backend servers ...\n");
  const Deployment deployment = Colmenar(kServersPerService, "adaptive");
  Cluster cluster(deployment.spec);
  if (hold)
    return HoldDeployment(cluster, cluster.hosts());
  fmt::print(
      "capacity of the chain {:.0f} requests/s; 3 s at 0.6 of it, 5 s at 3 "
      "times, 4 s at 0.6\n",
      deployment.capacity());
  std::fflush(stdout);
  const ProgramResult load =
      cluster.RunVerb({"load", "--scenario", WriteScenario(cluster, deployment),
                       "--target", cluster.CallerTargets()});
  fmt::print("{}", load.output);
  return load.exit_code;
}

}  // namespace
}  // namespace sesamespread::bench

int main(int argc, char** argv) {
  try {
    return sesamespread::bench::Run(argc > 1 &&
                                    std::string_view(argv[1]) == "--hold");
  } catch (const std::exception& error) {
    fmt::print(stderr, "demo: {}\n", error.what());
    return 1;
  }
}
