/// \file
/// Implements the open-loop load generator.
#include "sesamespread/transport/load_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <deque>
#include <numeric>
#include <optional>
#include <random>
#include <string_view>
#include <utility>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/protocol/http_fields.h"
#include "sesamespread/state/result_code.h"
#include "sesamespread/transport/deadline_queue.h"
#include "sesamespread/transport/http_client.h"

namespace sesamespread::transport {
namespace {

using state::AfterRefusal;
using state::Duration;
using state::Instant;
using state::LoadKey;
using state::LoadKind;

constexpr std::uint64_t kMaxAnswerBytes = 64 << 20;
constexpr Duration kControlTimeout = std::chrono::seconds(5);

/// Number of unused issued keys to hold per service, pending calls included;
/// keys requested by one call; and calls for keys of one service at the same
/// time.
constexpr std::size_t kTargetKeyCount = 400;
constexpr int kKeysPerCall = 100;
constexpr int kMaxPendingKeyCalls = 8;
constexpr Duration kKeyCallTimeout = std::chrono::seconds(1);
constexpr Duration kKeyRetryInterval = std::chrono::milliseconds(200);

/// Time from Start to the first phase: without issued keys, and with them, so
/// that the first keys can arrive.
constexpr Duration kLeadTime = std::chrono::milliseconds(50);
constexpr Duration kKeyLeadTime = std::chrono::milliseconds(500);

/// Shortest delay of a repeat after a refusal or a failed connection.
constexpr Duration kMinRepeatDelay = std::chrono::milliseconds(1);

bool HasBody(const LoadKind& kind) {
  return kind.method == "POST" || kind.method == "PUT" ||
         kind.method == "PATCH";
}

/// Returns the first segment of \p path: "orders" for "/orders/new".
std::string ServiceOf(const std::string& path) {
  return path.substr(1, path.find('/', 1) - 1);
}

/// Returns the delay before a repeat that a refusal requests. The problem
/// details have it in milliseconds; Retry-After has whole seconds only.
Duration RetryAfterOf(const HttpResponse& response) {
  constexpr std::string_view kMember = "\"retry_after_ms\":";
  const std::size_t member = response.body.find(kMember);
  std::int64_t value = 0;
  if (member != std::string::npos) {
    const char* begin = response.body.data() + member + kMember.size();
    std::from_chars(begin, response.body.data() + response.body.size(), value);
    return std::chrono::milliseconds(value);
  }
  const std::string_view field = FieldOf(response.headers, "Retry-After");
  std::from_chars(field.data(), field.data() + field.size(), value);
  return std::chrono::seconds(value);
}

/// Returns the result code of an answer, or kPlainStatusBase and its HTTP
/// status if it has none.
int CodeOf(const HttpResponse& response) {
  int code = 0;
  const std::string_view field =
      FieldOf(response.headers, protocol::kResultField);
  std::from_chars(field.data(), field.data() + field.size(), code);
  return code == 0 ? kPlainStatusBase + response.status : code;
}

/// Removes the next word from *line and returns it.
std::string_view NextWord(std::string_view* line) {
  const std::size_t end = std::min(line->find(' '), line->size());
  const std::string_view word = line->substr(0, end);
  line->remove_prefix(std::min(end + 1, line->size()));
  return word;
}

bool EndsWith(std::string_view text, std::string_view end) {
  return !end.empty() && text.size() >= end.size() &&
         text.substr(text.size() - end.size()) == end;
}

}  // namespace

class LoadGenerator::Impl {
 public:
  Impl(boost::asio::io_context& context,
       state::LoadScenario scenario,
       LoadOptions options)
      : scenario_(std::move(scenario)),
        options_(std::move(options)),
        schedule_random_(scenario_.seed),
        repeat_random_(scenario_.seed + 1),
        client_(context, ClientOptions(options_)),
        control_client_(context, {}),
        timers_(context) {
    for (const LoadKind& kind : scenario_.kinds) {
      report_.kinds.push_back({kind.name, {}, {}, {}});
      shares_.push_back(kind.share);
    }
    report_.duration = scenario_.duration;
    const auto intervals = static_cast<std::size_t>(
        (scenario_.duration + kLoadInterval - Duration(1)) / kLoadInterval);
    LoadIntervalReport interval;
    interval.offered.resize(scenario_.kinds.size());
    interval.in_time.resize(scenario_.kinds.size());
    report_.intervals.resize(intervals, interval);
  }

  void Start(std::function<void()> done);

  const LoadReport& report() const { return report_; }
  Duration elapsed() const { return Now() - start_; }

 private:
  /// A caller's request with all its attempts.
  struct Request {
    std::size_t kind = 0;
    Duration at{0};
    Instant intended;
    Instant deadline;
    std::string target;
    std::string body;
    std::string key;
    state::RequestId id;
    std::uint32_t repeats_left = 0;
    std::vector<HttpClient::Handle> attempts;
    std::size_t open_attempts = 0;
    DeadlineQueue::Id repeat_timer = 0;
    bool repeat_scheduled = false;
    bool ended = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  static HttpClientOptions ClientOptions(const LoadOptions& options) {
    HttpClientOptions client;
    client.max_connections_per_endpoint = options.max_connections_per_target;
    client.max_body_bytes = kMaxAnswerBytes;
    return client;
  }

  const LoadKind& KindOf(const RequestPtr& request) const {
    return scenario_.kinds[request->kind];
  }
  LoadCounts& CountsOf(const RequestPtr& request) {
    return report_.kinds[request->kind].counts;
  }
  LoadIntervalReport& IntervalOf(const RequestPtr& request) {
    const auto index = static_cast<std::size_t>(request->at / kLoadInterval);
    return report_.intervals[std::min(index, report_.intervals.size() - 1)];
  }
  const state::Endpoint& RandomTarget() {
    std::uniform_int_distribution<std::size_t> pick(
        0, options_.targets.size() - 1);
    return options_.targets[pick(repeat_random_)];
  }

  void FetchIssuedKeys(const std::string& service);
  void StoreIssuedKeys(const std::string& service, std::string_view body);
  void ScheduleDisturbances();
  void SendDisturbance(std::size_t disturbance_index);
  /// Returns the time of the arrival after \p at, or nullopt if the schedule
  /// ends before it.
  std::optional<Duration> NextArrival(Duration at);
  void ScheduleArrival(Duration at);
  void StartRequest(Duration at);
  void AssignKey(const RequestPtr& request);
  void SendAttempt(const RequestPtr& request);
  void ScheduleRepeat(const RequestPtr& request, Duration pause);
  void Repeat(const RequestPtr& request);
  void OnOutcome(const RequestPtr& request, const HttpOutcome& outcome);
  /// Schedules a repeat after a refusal if the request permits one. \returns
  /// true if the request is not over: a repeat is scheduled or an attempt is
  /// open.
  bool ContinueAfterRefusal(const RequestPtr& request, Duration retry_after);
  bool IsCorrectAnswer(const Request& request,
                       const HttpResponse& response) const;
  void EndRequest(const RequestPtr& request,
                  LoadOutcome load_outcome,
                  int code);
  void FinishIfDone();

  const state::LoadScenario scenario_;
  const LoadOptions options_;
  /// Used only for the schedule (times, kinds and ids of requests), so that it
  /// depends on the seed alone.
  std::mt19937_64 schedule_random_;
  std::mt19937_64 repeat_random_;
  HttpClient client_;
  HttpClient control_client_;
  DeadlineQueue timers_;
  LoadReport report_;
  std::vector<std::uint32_t> shares_;
  Instant start_;
  std::uint64_t sequence_ = 0;
  std::size_t pending_requests_ = 0;
  bool all_arrived_ = false;
  std::map<std::string, std::deque<std::string>> issued_keys_;
  std::map<std::string, int> pending_key_calls_;
  std::function<void()> on_done_;
};

void LoadGenerator::Impl::Start(std::function<void()> done) {
  on_done_ = std::move(done);
  Duration lead = kLeadTime;
  for (const LoadKind& kind : scenario_.kinds) {
    if (kind.key != LoadKey::kIssued || options_.baseline)
      continue;
    FetchIssuedKeys(ServiceOf(kind.path));
    lead = kKeyLeadTime;
  }
  start_ = Now() + lead;
  ScheduleDisturbances();
  ScheduleArrival(Duration(0));
}

void LoadGenerator::Impl::FetchIssuedKeys(const std::string& service) {
  int& calls = pending_key_calls_[service];
  const std::size_t pending_keys =
      static_cast<std::size_t>(calls) * kKeysPerCall;
  if (all_arrived_ || calls >= kMaxPendingKeyCalls ||
      issued_keys_[service].size() + pending_keys >= kTargetKeyCount)
    return;
  ++calls;
  HttpRequest request;
  request.method = "POST";
  request.target = fmt::format("/-/keys/{}?count={}", service, kKeysPerCall);
  control_client_.Send(
      RandomTarget(), std::move(request), Now() + kKeyCallTimeout,
      [this, service](const HttpOutcome& outcome) {
        --pending_key_calls_[service];
        const bool issued = outcome.kind == HttpOutcomeKind::kAnswered &&
                            outcome.response.status / 100 == 2;
        if (issued) {
          StoreIssuedKeys(service, outcome.response.body);
          FetchIssuedKeys(service);
          return;
        }
        timers_.Schedule(Now() + kKeyRetryInterval,
                         [this, service] { FetchIssuedKeys(service); });
      });
  FetchIssuedKeys(service);
}

void LoadGenerator::Impl::StoreIssuedKeys(const std::string& service,
                                          std::string_view body) {
  constexpr std::string_view kKeyPrefix = "\"ss1-";
  std::size_t start = body.find(kKeyPrefix);
  while (start != std::string_view::npos) {
    const std::size_t end = body.find('"', start + 1);
    if (end == std::string_view::npos)
      return;
    issued_keys_[service].emplace_back(body.substr(start + 1, end - start - 1));
    start = body.find(kKeyPrefix, end);
  }
}

void LoadGenerator::Impl::ScheduleDisturbances() {
  for (const state::LoadDisturbance& disturbance : scenario_.disturbances) {
    const std::size_t disturbance_index = report_.disturbance_reports.size();
    report_.disturbance_reports.push_back(
        {disturbance.name, disturbance.at, disturbance.ends, 0, 0});
    timers_.Schedule(start_ + disturbance.at, [this, disturbance_index] {
      SendDisturbance(disturbance_index);
    });
  }
}

void LoadGenerator::Impl::SendDisturbance(std::size_t disturbance_index) {
  const state::LoadDisturbance& disturbance =
      scenario_.disturbances[disturbance_index];
  const auto servers = options_.control.find(disturbance.server);
  if (servers == options_.control.end())
    return;
  HttpRequest request;
  request.method = "POST";
  request.target = disturbance.path;
  request.body = disturbance.body;
  for (const state::Endpoint& endpoint : servers->second) {
    ++report_.disturbance_reports[disturbance_index].sent;
    control_client_.Send(
        endpoint, request, Now() + kControlTimeout,
        [this, disturbance_index](const HttpOutcome& outcome) {
          if (outcome.kind == HttpOutcomeKind::kAnswered &&
              outcome.response.status / 100 == 2)
            ++report_.disturbance_reports[disturbance_index].accepted;
        });
  }
}

std::optional<Duration> LoadGenerator::Impl::NextArrival(Duration at) {
  const auto& phases = scenario_.phases;
  auto next =
      std::upper_bound(phases.begin(), phases.end(), at,
                       [](Duration time, const state::LoadPhase& phase) {
                         return time < phase.at;
                       });
  // Poisson arrivals are memoryless: at the start of a phase the next arrival
  // can be drawn anew with the phase's rate.
  while (at < scenario_.duration) {
    const std::uint32_t rate = std::prev(next)->rate;
    const Duration end = next == phases.end() ? scenario_.duration : next->at;
    if (rate > 0) {
      std::exponential_distribution<double> gap(rate);
      const Duration arrival =
          at + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(gap(schedule_random_)));
      if (arrival < std::min(end, scenario_.duration))
        return arrival;
    }
    if (next == phases.end())
      return std::nullopt;
    at = end;
    ++next;
  }
  return std::nullopt;
}

void LoadGenerator::Impl::ScheduleArrival(Duration at) {
  const auto next = NextArrival(at);
  if (!next) {
    timers_.Schedule(start_ + scenario_.duration, [this] {
      all_arrived_ = true;
      FinishIfDone();
    });
    return;
  }
  timers_.Schedule(start_ + *next, [this, at = *next] {
    ScheduleArrival(at);
    StartRequest(at);
  });
}

void LoadGenerator::Impl::StartRequest(Duration at) {
  const auto request = std::make_shared<Request>();
  std::discrete_distribution<std::size_t> pick(shares_.begin(), shares_.end());
  request->kind = pick(schedule_random_);
  const LoadKind& kind = KindOf(request);
  request->at = at;
  request->intended = start_ + at;
  request->deadline = request->intended + kind.timeout;
  request->repeats_left = kind.repeats;
  request->id = {schedule_random_(), ++sequence_};
  // The number makes each target and body unique, so that an answer to another
  // request is detected as wrong.
  request->target = fmt::format("{}?n={}", kind.path, sequence_);
  if (HasBody(kind)) {
    request->body =
        fmt::format("{}-{}-{}", kind.name, scenario_.seed, sequence_);
    request->body.resize(
        std::max<std::size_t>(request->body.size(), kind.body_bytes), '.');
  }
  AssignKey(request);
  ++pending_requests_;
  ++CountsOf(request).offered;
  ++IntervalOf(request).offered[request->kind];
  const Duration delay = Now() - request->intended;
  report_.send_delay.push_back(static_cast<std::uint32_t>(delay.count()));
  SendAttempt(request);
}

void LoadGenerator::Impl::AssignKey(const RequestPtr& request) {
  const LoadKind& kind = KindOf(request);
  // Backend servers do not issue keys.
  if (kind.key == LoadKey::kOwn ||
      (kind.key == LoadKey::kIssued && options_.baseline)) {
    request->key =
        fmt::format("load-{}-{}", scenario_.seed, state::ToHex(request->id));
    return;
  }
  if (kind.key != LoadKey::kIssued)
    return;
  const std::string service = ServiceOf(kind.path);
  std::deque<std::string>& keys = issued_keys_[service];
  if (keys.empty()) {
    ++CountsOf(request).keys_missing;
  } else {
    request->key = std::move(keys.front());
    keys.pop_front();
  }
  FetchIssuedKeys(service);
}

void LoadGenerator::Impl::SendAttempt(const RequestPtr& request) {
  const LoadKind& kind = KindOf(request);
  HttpRequest message;
  message.method = kind.method;
  message.target = request->target;
  message.body = request->body;
  if (!request->key.empty()) {
    message.headers.push_back(
        {std::string(protocol::kIdempotencyKeyField), request->key});
  }
  if (options_.baseline) {
    message.headers.push_back({std::string(protocol::kTraceparentField),
                               protocol::FormatTraceparent(request->id, 1)});
  }
  ++request->open_attempts;
  request->attempts.push_back(
      client_.Send(RandomTarget(), std::move(message), request->deadline,
                   [this, request](const HttpOutcome& outcome) {
                     OnOutcome(request, outcome);
                   }));
  if (kind.patience.count() > 0 && request->repeats_left > 0)
    ScheduleRepeat(request, kind.patience);
}

void LoadGenerator::Impl::ScheduleRepeat(const RequestPtr& request,
                                         Duration pause) {
  if (request->repeat_scheduled)
    timers_.Cancel(request->repeat_timer);
  request->repeat_scheduled = true;
  request->repeat_timer =
      timers_.Schedule(Now() + pause, [this, request] { Repeat(request); });
}

void LoadGenerator::Impl::Repeat(const RequestPtr& request) {
  request->repeat_scheduled = false;
  if (request->ended)
    return;
  --request->repeats_left;
  ++CountsOf(request).repeats;
  ++IntervalOf(request).repeats;
  if (KindOf(request).close_on_repeat) {
    for (const HttpClient::Handle attempt : request->attempts)
      client_.Cancel(attempt);
    request->attempts.clear();
  }
  SendAttempt(request);
}

void LoadGenerator::Impl::OnOutcome(const RequestPtr& request,
                                    const HttpOutcome& outcome) {
  --request->open_attempts;
  if (request->ended || outcome.kind == HttpOutcomeKind::kCancelled)
    return;
  switch (outcome.kind) {
    case HttpOutcomeKind::kAnswered:
      break;
    case HttpOutcomeKind::kTimedOut:
      EndRequest(request, LoadOutcome::kTimedOut, 0);
      return;
    case HttpOutcomeKind::kConnectFailed:
      if (!ContinueAfterRefusal(request, kMinRepeatDelay))
        EndRequest(request, LoadOutcome::kConnectFailed, 0);
      return;
    default:
      EndRequest(request, LoadOutcome::kTruncated, 0);
      return;
  }
  const HttpResponse& response = outcome.response;
  if (response.status / 100 == 2) {
    const bool correct =
        !options_.verify || IsCorrectAnswer(*request, response);
    EndRequest(request, correct ? LoadOutcome::kInTime : LoadOutcome::kWrong,
               0);
    return;
  }
  if (!ContinueAfterRefusal(request, RetryAfterOf(response)))
    EndRequest(request, LoadOutcome::kRefused, CodeOf(response));
}

bool LoadGenerator::Impl::ContinueAfterRefusal(const RequestPtr& request,
                                               Duration retry_after) {
  const LoadKind& kind = KindOf(request);
  // If another attempt is open, the caller waits for its answer.
  if (request->open_attempts > 0)
    return true;
  if (kind.after_refusal == AfterRefusal::kStop || request->repeats_left == 0)
    return false;
  const Duration requested =
      kind.after_refusal == AfterRefusal::kWait ? retry_after : kind.patience;
  const Duration pause = std::max(requested, kMinRepeatDelay);
  if (Now() + pause >= request->deadline)
    return false;
  ScheduleRepeat(request, pause);
  return true;
}

bool LoadGenerator::Impl::IsCorrectAnswer(const Request& request,
                                          const HttpResponse& response) const {
  // The first line of the stand-in's answer has the service, the trace id, the
  // digest of the request's body, the size and the target. A node removes the
  // service from the target before it sends the request on.
  const std::string_view body = response.body;
  const std::size_t line_end = body.find('\n');
  if (line_end == std::string_view::npos)
    return false;
  std::string_view line = body.substr(0, line_end);
  NextWord(&line);
  const std::string_view trace_id = NextWord(&line);
  const std::string_view digest = NextWord(&line);
  const std::string_view size_text = NextWord(&line);
  const std::string_view target = NextWord(&line);
  std::size_t size = 0;
  std::from_chars(size_text.data(), size_text.data() + size_text.size(), size);
  if (digest != state::ToHex(protocol::DigestOf(request.body)) ||
      !EndsWith(request.target, target) ||
      body.size() != std::max(size, line_end + 1))
    return false;
  if (options_.baseline)
    return trace_id == state::ToHex(request.id);
  // A replayed answer has the trace id of the attempt that ran.
  if (CodeOf(response) == static_cast<int>(state::ResultCode::kReplayed))
    return true;
  const std::string_view id =
      FieldOf(response.headers, protocol::kRequestIdField);
  return boost::beast::iequals({id.data(), id.size()},
                               {trace_id.data(), trace_id.size()});
}

void LoadGenerator::Impl::EndRequest(const RequestPtr& request,
                                     LoadOutcome load_outcome,
                                     int code) {
  request->ended = true;
  if (request->repeat_scheduled)
    timers_.Cancel(request->repeat_timer);
  for (const HttpClient::Handle attempt : request->attempts)
    client_.Cancel(attempt);
  const Duration latency = Now() - request->intended;
  const auto microseconds = static_cast<std::uint32_t>(latency.count());
  if (load_outcome == LoadOutcome::kInTime && latency > KindOf(request).timeout)
    load_outcome = LoadOutcome::kTimedOut;
  LoadKindReport& kind = report_.kinds[request->kind];
  LoadIntervalReport& interval = IntervalOf(request);
  ++kind.counts.outcomes[static_cast<std::size_t>(load_outcome)];
  if (load_outcome == LoadOutcome::kInTime) {
    ++interval.in_time[request->kind];
    interval.answered.push_back(microseconds);
    kind.answered.push_back(microseconds);
  }
  if (load_outcome == LoadOutcome::kRefused) {
    ++kind.counts.refused[code];
    ++interval.refused[code];
    kind.refused.push_back(microseconds);
  }
  interval.truncated += load_outcome == LoadOutcome::kTruncated ? 1 : 0;
  interval.wrong += load_outcome == LoadOutcome::kWrong ? 1 : 0;
  --pending_requests_;
  FinishIfDone();
}

void LoadGenerator::Impl::FinishIfDone() {
  if (!all_arrived_ || pending_requests_ > 0 || !on_done_)
    return;
  const std::function<void()> done = std::exchange(on_done_, nullptr);
  done();
}

LoadGenerator::LoadGenerator(boost::asio::io_context& context,
                             state::LoadScenario scenario,
                             LoadOptions options)
    : impl_(std::make_unique<Impl>(context,
                                   std::move(scenario),
                                   std::move(options))) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start(std::function<void()> done) {
  impl_->Start(std::move(done));
}

const LoadReport& LoadGenerator::report() const {
  return impl_->report();
}

state::Duration LoadGenerator::elapsed() const {
  return impl_->elapsed();
}

}  // namespace sesamespread::transport
