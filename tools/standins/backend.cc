/// \file
/// Stand-in for a backend server. Requests in progress share its slots
/// (processor sharing), so that overload makes each of them slower. It logs its
/// executions, from which tests count attempts and duplicates.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <cstdio>
#include <deque>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "backend_options.h"
#include "execution_log.h"
#include "processor_sharing.h"
#include "sesamespread/protocol/codec.h"
#include "sesamespread/protocol/http_fields.h"
#include "sesamespread/transport/http_client.h"
#include "sesamespread/transport/http_server.h"
#include "standins.h"

namespace {

using namespace std::chrono_literals;
using sesamespread::transport::FieldOf;
using sesamespread::transport::HttpClient;
using sesamespread::transport::HttpClientOptions;
using sesamespread::transport::HttpExchange;
using sesamespread::transport::HttpOutcome;
using sesamespread::transport::HttpOutcomeKind;
using sesamespread::transport::HttpRequest;
using sesamespread::transport::HttpResponse;
using sesamespread::transport::HttpServer;
using sesamespread::transport::HttpServerOptions;
namespace protocol = sesamespread::protocol;
namespace state = sesamespread::state;
using std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

constexpr auto kAnnounceInterval = 1s;
constexpr auto kAnnounceTimeout = 1s;
/// Timeout of a sub-call if the request has no deadline.
constexpr auto kCallTimeout = 10s;
/// A leaving server with a node stays up at least this long, because calls that
/// were sent before its peers were notified may still arrive.
constexpr auto kLeaveDrainTime = 3s;
constexpr double kMinSlowFactor = 0.001;
constexpr std::size_t kMaxAnswerBytes = 32 << 20;

std::int64_t WallMicros() {
  return std::chrono::duration_cast<state::Duration>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

state::Instant DeadlineAfter(steady_clock::duration span) {
  return std::chrono::time_point_cast<state::Duration>(steady_clock::now() +
                                                       span);
}

/// A request in progress.
struct Job {
  std::shared_ptr<HttpExchange> exchange;
  std::string trace_id = "-";
  std::string key;
  std::int64_t started = 0;
  double slot_seconds_at_start = 0;
  /// Work after the sub-calls, in seconds at full speed.
  double second_half = 0;
  std::optional<state::Instant> deadline;
  std::unique_ptr<boost::asio::steady_timer> deadline_timer;
  std::optional<ProcessorSharing::Task> work;
  std::vector<HttpClient::Handle> calls;
  /// Sub-calls whose success is awaited.
  std::size_t calls_left = 0;
  bool ended = false;
};

using JobPtr = std::shared_ptr<Job>;

HttpResponse TextResponse(std::uint16_t status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

// Maximum connections to one endpoint: not less than the slots of any server,
// so that sub-calls do not wait for a connection.
constexpr std::size_t kMaxConnections = 4096;

HttpClientOptions ClientOptions() {
  HttpClientOptions options;
  options.max_connections_per_endpoint = kMaxConnections;
  return options;
}

class Backend {
 public:
  explicit Backend(BackendOptions options)
      : options_(std::move(options)),
        journal_(options_.journal.empty()
                     ? std::ofstream()
                     : std::ofstream(options_.journal, std::ios::app)),
        random_(options_.seed),
        client_(context_, ClientOptions()),
        sharing_(context_, options_.slots, options_.cold_start),
        announce_timer_(context_),
        exit_timer_(context_),
        signals_(context_, SIGTERM, SIGINT) {}

  int Run() {
    HttpServerOptions server_options;
    server_options.max_connections = options_.connections;
    server_options.max_body_bytes = 16 << 20;
    server_.emplace(context_, options_.listen, server_options,
                    [this](std::shared_ptr<HttpExchange> exchange) {
                      HandleRequest(std::move(exchange));
                    });
    fmt::print("listening {}\n", server_->port());
    std::fflush(stdout);
    WaitForSignal();
    Announce();
    context_.run();
    return 0;
  }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](const auto& error, int) {
      if (error)
        return;
      if (leaving_) {
        context_.stop();
        return;
      }
      StartLeave();
      WaitForSignal();
    });
  }

  // Notices to the node.

  void Announce() {
    if (!options_.node || leaving_)
      return;
    const std::string body = fmt::format(
        R"({{"service":"{}","port":{},"slots":{},"connections":{},)"
        R"("cold_start_ms":{},"instance":"{}"}})",
        options_.service, server_->port(), options_.slots, options_.connections,
        std::lround(options_.cold_start.count() * 1000), instance_started_us_);
    client_.Send(*options_.node, {"POST", "/-/announce", {}, body},
                 DeadlineAfter(kAnnounceTimeout), [this](const HttpOutcome&) {
                   announce_timer_.expires_after(kAnnounceInterval);
                   announce_timer_.async_wait([this](const auto& error) {
                     if (!error)
                       Announce();
                   });
                 });
  }

  void StartLeave() {
    if (leaving_)
      return;
    leaving_ = true;
    left_at_ = WallMicros();
    announce_timer_.cancel();
    if (options_.node) {
      const std::string body = fmt::format(R"({{"service":"{}","port":{}}})",
                                           options_.service, server_->port());
      client_.Send(*options_.node, {"POST", "/-/leave", {}, body},
                   DeadlineAfter(kAnnounceTimeout), [](const HttpOutcome&) {});
    }
    ExitAfterDrain();
  }

  void ExitAfterDrain() {
    exit_timer_.expires_after(options_.node ? kLeaveDrainTime : 0s);
    exit_timer_.async_wait([this](const auto& error) {
      if (error)
        return;
      if (sharing_.in_progress() == 0)
        context_.stop();
      else
        ExitAfterDrain();
    });
  }

  // Requests.

  void HandleRequest(std::shared_ptr<HttpExchange> exchange) {
    const std::string& target = exchange->request().target;
    if (target == "/-/control")
      HandleControl(*exchange);
    else if (target == "/-/stats")
      exchange->Respond(TextResponse(200, Stats()));
    else if (target == "/-/executions")
      exchange->Respond(TextResponse(200, log_.JsonLines()));
    else if (target == "/-/load")
      exchange->Respond(TextResponse(200, LoadReport()));
    else
      BeginRequest(std::move(exchange));
  }

  void HandleControl(HttpExchange& exchange) {
    try {
      const auto body = web::json::value::parse(exchange.request().body);
      if (body.has_field("slow_factor")) {
        sharing_.SetSlowFactor(
            std::max(body.at("slow_factor").as_double(), kMinSlowFactor));
      }
      if (body.has_field("fail"))
        fault_ = body.at("fail").as_string();
      if (body.has_field("drain") && body.at("drain").as_bool())
        StartLeave();
    } catch (const web::json::json_exception& error) {
      exchange.Respond(TextResponse(400, error.what()));
      return;
    }
    exchange.Respond(TextResponse(200, "{}"));
  }

  void RefuseRequest(HttpExchange& exchange, const std::string& reason) {
    ++refused_;
    HttpResponse response = TextResponse(503, reason + "\n");
    response.headers.push_back({std::string(protocol::kNotRunField), "1"});
    exchange.Respond(std::move(response));
  }

  void BeginRequest(std::shared_ptr<HttpExchange> exchange) {
    ++attempts_;
    const HttpRequest& request = exchange->request();
    const auto job = std::make_shared<Job>();
    const std::string deadline(
        FieldOf(request.headers, protocol::kDeadlineField));
    if (!deadline.empty()) {
      const state::Duration remaining(
          std::strtoll(deadline.c_str(), nullptr, 10) - WallMicros());
      if (remaining.count() <= 0) {
        RefuseRequest(*exchange, "the deadline has passed");
        return;
      }
      job->deadline = DeadlineAfter(remaining);
    }
    if (fault_ == "refuse") {
      RefuseRequest(*exchange, "refused on demand");
      return;
    }
    const auto id = protocol::ParseTraceparent(
        FieldOf(request.headers, protocol::kTraceparentField));
    if (id)
      job->trace_id = state::ToHex(*id);
    job->key = FieldOf(request.headers, protocol::kIdempotencyKeyField);
    job->exchange = std::move(exchange);
    StartJob(job);
  }

  void StartJob(const JobPtr& job) {
    ++started_;
    job->started = last_started_ = WallMicros();
    AppendToJournal(*job);
    SetInProgress(sharing_.in_progress() + 1);
    job->slot_seconds_at_start = sharing_.slot_seconds();
    job->exchange->OnAbandoned([this, job] { EndJob(job, true); });
    if (fault_ == "hang")
      return;
    if (job->deadline) {
      job->deadline_timer = std::make_unique<boost::asio::steady_timer>(
          context_, steady_clock::time_point(*job->deadline));
      job->deadline_timer->async_wait([this, job](const auto& error) {
        if (!error && !job->ended) {
          EndJob(job, true);
          job->exchange->Respond(
              TextResponse(504, "stopped at the deadline\n"));
        }
      });
    }
    std::exponential_distribution<double> distribution;
    const double work = options_.service_time.count() *
                        (options_.exponential ? distribution(random_) : 1.0);
    // Sub-calls are made after half of the work.
    job->second_half = options_.calls.empty() ? 0 : work / 2;
    ScheduleWork(job, work - job->second_half);
  }

  /// Appends a started request to the journal, and flushes it before any work
  /// is done, so that a kill does not lose the line.
  void AppendToJournal(const Job& job) {
    if (!journal_.is_open())
      return;
    journal_ << fmt::format("{} {} {} {} {}\n", job.started, options_.service,
                            job.trace_id, job.key.empty() ? "-" : job.key,
                            job.exchange->request().target)
             << std::flush;
  }

  /// Continues with OnWorkDone after \p amount seconds of work at full speed.
  void ScheduleWork(const JobPtr& job, double amount) {
    job->work = sharing_.Add(amount, [this, job] {
      job->work.reset();
      OnWorkDone(job);
    });
  }

  void OnWorkDone(const JobPtr& job) {
    const bool has_pending_calls =
        job->calls.empty() && !options_.calls.empty();
    if (!has_pending_calls) {
      CompleteJob(job);
      return;
    }
    if (!options_.parallel_calls) {
      job->calls_left = 1;
      SendCall(job, 0, 0);
      return;
    }
    job->calls_left = options_.calls.size();
    for (std::size_t i = 0; i < options_.calls.size(); ++i)
      SendCall(job, i, 0);
  }

  void SendCall(const JobPtr& job, std::size_t index, int attempt) {
    const BackendCall& call = options_.calls[index];
    HttpRequest request{call.method, "/" + call.service + call.path, {}, {}};
    if (!options_.drop_headers) {
      for (const auto name :
           {protocol::kTraceparentField, protocol::kBaggageField}) {
        const auto value = FieldOf(job->exchange->request().headers, name);
        if (!value.empty())
          request.headers.push_back({std::string(name), std::string(value)});
      }
    }
    const auto end = job->deadline.value_or(DeadlineAfter(kCallTimeout));
    job->calls.push_back(client_.Send(
        options_.node.value_or(state::Endpoint{}), std::move(request), end,
        [this, job, index, attempt](const HttpOutcome& outcome) {
          if (!job->ended)
            OnCallEnded(job, index, attempt, outcome);
        }));
  }

  void OnCallEnded(const JobPtr& job,
                   std::size_t index,
                   int attempt,
                   const HttpOutcome& outcome) {
    const bool answered = outcome.kind == HttpOutcomeKind::kAnswered;
    if (answered && outcome.response.status / 100 == 2) {
      if (!options_.parallel_calls && index + 1 < options_.calls.size())
        SendCall(job, index + 1, 0);
      else if (--job->calls_left == 0)
        ScheduleWork(job, job->second_half);
      return;
    }
    if (attempt < options_.call_retries) {
      SendCall(job, index, attempt + 1);
      return;
    }
    EndJob(job, false);
    if (fault_ == "reset") {
      job->exchange.reset();
      return;
    }
    HttpResponse response =
        TextResponse(503, fmt::format("the call of {} failed with {}\n",
                                      options_.calls[index].service,
                                      answered ? outcome.response.status : 0));
    const auto retry_after = FieldOf(outcome.response.headers, "Retry-After");
    if (!retry_after.empty())
      response.headers.push_back({"Retry-After", std::string(retry_after)});
    job->exchange->Respond(std::move(response));
  }

  void CompleteJob(const JobPtr& job) {
    EndJob(job, false);
    const HttpRequest& request = job->exchange->request();
    std::size_t size = options_.answer_bytes;
    const std::size_t query = request.target.find("bytes=");
    if (query != std::string::npos)
      size = std::strtoull(request.target.c_str() + query + 6, nullptr, 10);
    size = std::min(size, kMaxAnswerBytes);
    HttpResponse response = TextResponse(
        200, fmt::format("{} {} {} {} {}\n", options_.service, job->trace_id,
                         state::ToHex(protocol::DigestOf(request.body)), size,
                         request.target));
    response.body.resize(std::max(size, response.body.size()), '.');
    response.headers.push_back({"Backend", options_.id});
    if (fault_ == "500")
      response.status = 500;
    const std::size_t half = response.body.size() / 2;
    if (fault_ == "truncate")
      job->exchange->RespondTruncated(std::move(response), half);
    else if (fault_ == "reset")
      job->exchange.reset();
    else
      job->exchange->Respond(std::move(response));
  }

  /// Ends the job without an answer: frees its share of the slots, cancels its
  /// sub-calls, and logs the execution. Does nothing if the job has ended.
  void EndJob(const JobPtr& job, bool cancelled) {
    if (job->ended)
      return;
    job->ended = true;
    if (job->work)
      sharing_.Remove(*job->work);
    job->work.reset();
    for (const HttpClient::Handle call : job->calls)
      client_.Cancel(call);
    job->deadline_timer.reset();
    const double slot_seconds =
        sharing_.slot_seconds() - job->slot_seconds_at_start;
    SetInProgress(sharing_.in_progress() - 1);
    slot_seconds_ += slot_seconds;
    cancelled_slot_seconds_ += cancelled ? slot_seconds : 0;
    ++(cancelled ? cancelled_ : completed_);
    log_.Add({job->key, job->trace_id, job->exchange->request().target,
              job->started, WallMicros(), cancelled});
  }

  void SetInProgress(int count) {
    sharing_.SetInProgress(count);
    const auto now = steady_clock::now();
    in_progress_history_.push_back({now, count});
    while (in_progress_history_.size() > 1 &&
           in_progress_history_[1].first <= now - options_.lag)
      in_progress_history_.pop_front();
  }

  // Load report and counters.

  std::string LoadReport() {
    const auto report_time = steady_clock::now() - options_.lag;
    int in_progress = 0;
    for (const auto& [time, count] : in_progress_history_) {
      if (time <= report_time)
        in_progress = count;
    }
    return fmt::format(R"({{"in_progress":{},"slots":{}}})", in_progress,
                       options_.slots);
  }

  std::string Stats() {
    return fmt::format(
        R"({{"id":"{}","service":"{}","attempts":{},"started":{},)"
        R"("completed":{},"cancelled":{},"refused":{},"in_progress":{},)"
        R"("slot_seconds":{:.6f},"slot_seconds_cancelled":{:.6f},)"
        R"("log_dropped":{},"left_at":{},"last_started":{}}})"
        "\n",
        options_.id, options_.service, attempts_, started_, completed_,
        cancelled_, refused_, sharing_.in_progress(), slot_seconds_,
        cancelled_slot_seconds_, log_.dropped_count(), left_at_, last_started_);
  }

  const BackendOptions options_;
  boost::asio::io_context context_{1};
  std::ofstream journal_;
  std::mt19937_64 random_;
  HttpClient client_;
  std::optional<HttpServer> server_;
  ProcessorSharing sharing_;
  boost::asio::steady_timer announce_timer_;
  // Distinguishes this instance from earlier ones at the same address.
  const std::int64_t instance_started_us_ = WallMicros();
  boost::asio::steady_timer exit_timer_;
  boost::asio::signal_set signals_;
  /// Number of requests in progress after each change, for the delayed load
  /// report.
  std::deque<std::pair<steady_clock::time_point, int>> in_progress_history_;
  std::string fault_ = "none";
  bool leaving_ = false;
  std::uint64_t attempts_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t refused_ = 0;
  std::int64_t left_at_ = 0;
  std::int64_t last_started_ = 0;
  double slot_seconds_ = 0;
  double cancelled_slot_seconds_ = 0;
  ExecutionLog log_;
};

}  // namespace

int RunBackend(int argc, char** argv) {
  try {
    std::optional<BackendOptions> options = ParseBackendOptions(argc, argv);
    return options ? Backend(std::move(*options)).Run() : 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "standins backend: {}\n", error.what());
    return 2;
  }
}
