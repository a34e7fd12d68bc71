/// \file
/// Registers the metrics of a node and serializes them.
#include "sesamespread/transport/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <mutex>
#include <tuple>
#include <utility>
#include <vector>

namespace sesamespread::transport {
namespace {

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kSeconds = {
      0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
      0.1,    0.2,   0.5,   1,     2,    5,    10};
  return kSeconds;
}

struct GaugeRow {
  const char* name;
  const char* help;
  double NodeGauges::*value;
};

// One row per gauge. docs/METRICS.md lists the same names.
constexpr GaugeRow kGauges[] = {
    {"sesamespread_in_progress", "Calls at the backend server",
     &NodeGauges::in_progress},
    {"sesamespread_queued", "Calls that wait for the backend server",
     &NodeGauges::queued},
    {"sesamespread_limit", "Concurrency limit of the backend server",
     &NodeGauges::limit},
    {"sesamespread_server_rate_limit",
     "Requests per second to which the backend server limits all nodes",
     &NodeGauges::server_rate_limit},
    {"sesamespread_server_requests",
     "Requests sent to the backend server since the start",
     &NodeGauges::server_requests},
    {"sesamespread_threshold", "Admission threshold, 384 admits every request",
     &NodeGauges::threshold},
    {"sesamespread_configuration_version", "Version in force",
     &NodeGauges::configuration_version},
    {"sesamespread_nodes_alive", "Nodes believed alive",
     &NodeGauges::nodes_alive},
    {"sesamespread_nodes_known", "Nodes known", &NodeGauges::nodes_known},
    {"sesamespread_isolated", "1 if no other node is heard",
     &NodeGauges::isolated},
    {"sesamespread_links_open", "Open links to and from other nodes",
     &NodeGauges::links_open},
    {"sesamespread_unmatched_answers",
     "Answers that matched no call and were dropped",
     &NodeGauges::unmatched_answers},
    {"sesamespread_ring_overflows", "Items lost because a ring was full",
     &NodeGauges::ring_overflows},
    {"sesamespread_gossip_bytes_sent", "Bytes of gossip sent since the start",
     &NodeGauges::gossip_bytes_sent},
    {"sesamespread_servers_available",
     "Backend servers believed to take new work, of all services",
     &NodeGauges::servers_available},
    {"sesamespread_store_age_seconds",
     "Time since the platform's store last answered",
     &NodeGauges::store_age_seconds},
    {"sesamespread_store_era",
     "Number of the store's history, rises when it comes back from a copy",
     &NodeGauges::store_era},
    {"sesamespread_store_version", "Version after which routes are watched",
     &NodeGauges::store_version},
    {"sesamespread_store_clock_errors",
     "Replies of the store whose reading of its clock could not be used",
     &NodeGauges::store_clock_errors},
    {"sesamespread_report_age_seconds",
     "Time since the backend server last reported its status",
     &NodeGauges::report_age_seconds},
    {"sesamespread_log_lines_lost",
     "Log lines lost because the reader was too slow",
     &NodeGauges::log_lines_lost},
    {"sesamespread_memory_held_bytes",
     "Memory held for callers, backend servers and other nodes",
     &NodeGauges::memory_held_bytes},
    {"sesamespread_memory_bound_bytes", "Bound on the memory that is held",
     &NodeGauges::memory_bound_bytes},
    {"sesamespread_memory_refusals",
     "Requests refused and connections closed for lack of memory",
     &NodeGauges::memory_refusals},
    {"sesamespread_quota_admitted",
     "Requests of tenants with a quota that it admitted",
     &NodeGauges::quota_admitted},
    {"sesamespread_quota_refused", "Requests refused by the quotas of tenants",
     &NodeGauges::quota_refused},
    {"sesamespread_quota_waited",
     "Requests that waited for a coordinator of the quotas",
     &NodeGauges::quota_waited},
    {"sesamespread_quota_messages", "Messages about quotas sent to other nodes",
     &NodeGauges::quota_messages},
    {"sesamespread_quota_coordinator_changes",
     "Changes of the coordinators of the quotas, as this node sees them",
     &NodeGauges::quota_coordinator_changes},
};

// Names by the values of AnswerSource.
constexpr std::array<std::string_view, 4> kSourceNames = {
    "own", "sealed", "unsealed", "dropped"};

}  // namespace

std::string_view ToString(AnswerSource source) {
  return kSourceNames.at(static_cast<std::size_t>(source));
}

class Metrics::Impl {
 public:
  Impl()
      : requests_(prometheus::BuildCounter()
                      .Name("sesamespread_requests_total")
                      .Help("Requests of callers by service and result")
                      .Register(registry_)),
        answers_(prometheus::BuildCounter()
                     .Name("sesamespread_answers_total")
                     .Help("Answers to callers by status, source and result")
                     .Register(registry_)),
        executions_(prometheus::BuildCounter()
                        .Name("sesamespread_executions_total")
                        .Help("Calls at the local backend server by result")
                        .Register(registry_)),
        retries_(prometheus::BuildCounter()
                     .Name("sesamespread_retries_total")
                     .Help("Retries made by this node")
                     .Register(registry_)),
        latency_(prometheus::BuildHistogram()
                     .Name("sesamespread_request_seconds")
                     .Help("Time to the whole answer of answered requests")
                     .Register(registry_)) {
    for (const GaugeRow& row : kGauges)
      gauges_.push_back(&prometheus::BuildGauge()
                             .Name(row.name)
                             .Help(row.help)
                             .Register(registry_)
                             .Add({}));
  }

  void CountRequest(std::string_view service,
                    state::ResultCode result,
                    state::Duration latency) {
    const std::lock_guard lock(mutex_);
    const std::string name = ServiceLabel(service);
    Counter(requests_, request_counters_, name, result).Increment();
    if (!state::IsAnswered(result))
      return;
    prometheus::Histogram*& histogram = histograms_[name];
    if (!histogram)
      histogram = &latency_.Add({{"service", name}}, LatencyBuckets());
    histogram->Observe(std::chrono::duration<double>(latency).count());
  }

  void CountAnswer(std::uint16_t status,
                   AnswerSource source,
                   state::ResultCode result) {
    const std::lock_guard lock(mutex_);
    prometheus::Counter*& counter = answer_counters_[{status, source, result}];
    if (!counter) {
      counter =
          &answers_.Add({{"status", std::to_string(status)},
                         {"source", std::string(ToString(source))},
                         {"result", std::to_string(static_cast<int>(result))}});
    }
    counter->Increment();
  }

  void CountExecution(std::string_view service, state::ResultCode result) {
    const std::lock_guard lock(mutex_);
    Counter(executions_, execution_counters_, ServiceLabel(service), result)
        .Increment();
  }

  void CountRetry(std::string_view service) {
    const std::lock_guard lock(mutex_);
    retries_.Add({{"service", ServiceLabel(service)}}).Increment();
  }

  void SetGauges(const NodeGauges& gauges) {
    for (std::size_t i = 0; i < gauges_.size(); ++i)
      gauges_[i]->Set(gauges.*kGauges[i].value);
  }

  std::string Serialize() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  using CounterFamily = prometheus::Family<prometheus::Counter>;
  using CounterMap =
      std::map<std::pair<std::string, state::ResultCode>, prometheus::Counter*>;

  // Returns the label value for \p service: its name, or "other" once
  // kMaxServices names are in use.
  std::string ServiceLabel(std::string_view service) {
    const auto found = services_.find(service);
    if (found != services_.end())
      return found->first;
    if (services_.size() >= kMaxServices)
      return "other";
    return services_.emplace(service, true).first->first;
  }

  static prometheus::Counter& Counter(CounterFamily& family,
                                      CounterMap& counters,
                                      const std::string& service,
                                      state::ResultCode result) {
    prometheus::Counter*& counter = counters[{service, result}];
    if (!counter)
      counter =
          &family.Add({{"service", service},
                       {"result", std::to_string(static_cast<int>(result))}});
    return *counter;
  }

  prometheus::Registry registry_;
  CounterFamily& requests_;
  CounterFamily& answers_;
  CounterFamily& executions_;
  CounterFamily& retries_;
  prometheus::Family<prometheus::Histogram>& latency_;
  std::vector<prometheus::Gauge*> gauges_;

  std::mutex mutex_;
  // The members below are guarded by mutex_.
  std::map<std::string, bool, std::less<>> services_;
  CounterMap request_counters_;
  std::map<std::tuple<std::uint16_t, AnswerSource, state::ResultCode>,
           prometheus::Counter*>
      answer_counters_;
  CounterMap execution_counters_;
  std::map<std::string, prometheus::Histogram*> histograms_;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::CountRequest(std::string_view service,
                           state::ResultCode result,
                           state::Duration latency) {
  impl_->CountRequest(service, result, latency);
}

void Metrics::CountAnswer(std::uint16_t status,
                          AnswerSource source,
                          state::ResultCode result) {
  impl_->CountAnswer(status, source, result);
}

void Metrics::CountExecution(std::string_view service,
                             state::ResultCode result) {
  impl_->CountExecution(service, result);
}

void Metrics::CountRetry(std::string_view service) {
  impl_->CountRetry(service);
}

void Metrics::SetGauges(const NodeGauges& gauges) {
  impl_->SetGauges(gauges);
}

std::string Metrics::Serialize() const {
  return impl_->Serialize();
}

}  // namespace sesamespread::transport
