/// \file
/// Open-loop load generator.
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

/// Issued keys held per service, and how many one call asks for.
constexpr std::size_t kKeyReserve = 400;
constexpr int kKeysPerCall = 100;
constexpr int kMaxKeyCalls = 8;
constexpr Duration kKeyTimeout = std::chrono::seconds(1);
constexpr Duration kKeyRetry = std::chrono::milliseconds(200);

/// The schedule begins this long after Start, when keys have arrived.
constexpr Duration kLeadTime = std::chrono::milliseconds(50);
constexpr Duration kKeyLeadTime = std::chrono::milliseconds(500);

/// Shortest pause before a repeat after a refusal.
constexpr Duration kMinRepeatPause = std::chrono::milliseconds(1);

bool HasBody(const LoadKind& kind) {
  return kind.method == "POST" || kind.method == "PUT" ||
         kind.method == "PATCH";
}

/// "orders" for "/orders/new".
std::string ServiceOf(const std::string& path) {
  return path.substr(1, path.find('/', 1) - 1);
}

/// Waiting time that a refusal asks for: the problem details are finer than
/// Retry-After.
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

/// Result code of an answer, or its status if it has none.
int CodeOf(const HttpResponse& response) {
  int code = 0;
  const std::string_view field =
      FieldOf(response.headers, protocol::kResultField);
  std::from_chars(field.data(), field.data() + field.size(), code);
  return code == 0 ? response.status : code;
}

/// The next word of a line.
std::string_view TakeWord(std::string_view* line) {
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
        random_(scenario_.seed),
        repeat_random_(scenario_.seed + 1),
        client_(context, ClientOptions(options_)),
        control_client_(context, {}),
        events_(context) {
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
  Duration elapsed() const { return Now() - begin_; }

 private:
  /// A caller's request, over all its attempts.
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
    DeadlineQueue::Id repeat_event = 0;
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

  void FetchKeys(const std::string& service);
  void TakeKeys(const std::string& service, std::string_view body);
  void ScheduleDisturbances();
  void Disturb(std::size_t mark);
  /// The arrival after \p at, or nullopt if it is after the end.
  std::optional<Duration> NextArrival(Duration at);
  void ScheduleArrival(Duration at);
  void Arrive(Duration at);
  void GiveKey(const RequestPtr& request);
  void SendAttempt(const RequestPtr& request);
  void ScheduleRepeat(const RequestPtr& request, Duration pause);
  void Repeat(const RequestPtr& request);
  void OnOutcome(const RequestPtr& request, const HttpOutcome& outcome);
  /// \returns true if the request goes on with another attempt.
  bool RepeatsAfterRefusal(const RequestPtr& request, Duration retry_after);
  bool IsRight(const Request& request, const HttpResponse& response) const;
  void End(const RequestPtr& request, LoadOutcome end, int code);
  void FinishIfDone();

  const state::LoadScenario scenario_;
  const LoadOptions options_;
  /// Arrivals and kinds only, so that the schedule depends on nothing else.
  std::mt19937_64 random_;
  std::mt19937_64 repeat_random_;
  HttpClient client_;
  HttpClient control_client_;
  DeadlineQueue events_;
  LoadReport report_;
  std::vector<std::uint32_t> shares_;
  Instant begin_;
  std::uint64_t sequence_ = 0;
  std::size_t open_requests_ = 0;
  bool all_arrived_ = false;
  std::map<std::string, std::deque<std::string>> keys_;
  std::map<std::string, int> key_calls_;
  std::function<void()> done_;
};

void LoadGenerator::Impl::Start(std::function<void()> done) {
  done_ = std::move(done);
  Duration lead = kLeadTime;
  for (const LoadKind& kind : scenario_.kinds) {
    if (kind.key != LoadKey::kIssued || options_.baseline)
      continue;
    FetchKeys(ServiceOf(kind.path));
    lead = kKeyLeadTime;
  }
  begin_ = Now() + lead;
  ScheduleDisturbances();
  ScheduleArrival(Duration(0));
}

void LoadGenerator::Impl::FetchKeys(const std::string& service) {
  int& calls = key_calls_[service];
  const std::size_t coming = static_cast<std::size_t>(calls) * kKeysPerCall;
  if (all_arrived_ || calls >= kMaxKeyCalls ||
      keys_[service].size() + coming >= kKeyReserve)
    return;
  ++calls;
  HttpRequest request;
  request.method = "POST";
  request.target = fmt::format("/-/keys/{}?count={}", service, kKeysPerCall);
  control_client_.Send(
      RandomTarget(), std::move(request), Now() + kKeyTimeout,
      [this, service](const HttpOutcome& outcome) {
        --key_calls_[service];
        const bool issued = outcome.kind == HttpOutcomeKind::kAnswered &&
                            outcome.response.status / 100 == 2;
        if (issued) {
          TakeKeys(service, outcome.response.body);
          FetchKeys(service);
          return;
        }
        events_.Schedule(Now() + kKeyRetry,
                         [this, service] { FetchKeys(service); });
      });
  FetchKeys(service);
}

void LoadGenerator::Impl::TakeKeys(const std::string& service,
                                   std::string_view body) {
  constexpr std::string_view kStart = "\"ss1-";
  std::size_t start = body.find(kStart);
  while (start != std::string_view::npos) {
    const std::size_t end = body.find('"', start + 1);
    if (end == std::string_view::npos)
      return;
    keys_[service].emplace_back(body.substr(start + 1, end - start - 1));
    start = body.find(kStart, end);
  }
}

void LoadGenerator::Impl::ScheduleDisturbances() {
  for (const state::LoadDisturbance& disturbance : scenario_.disturbances) {
    const std::size_t mark = report_.marks.size();
    report_.marks.push_back(
        {disturbance.name, disturbance.at, disturbance.ends, 0, 0});
    events_.Schedule(begin_ + disturbance.at, [this, mark] { Disturb(mark); });
  }
}

void LoadGenerator::Impl::Disturb(std::size_t mark) {
  const state::LoadDisturbance& disturbance = scenario_.disturbances[mark];
  const auto servers = options_.control.find(disturbance.server);
  if (servers == options_.control.end())
    return;
  HttpRequest request;
  request.method = "POST";
  request.target = disturbance.path;
  request.body = disturbance.body;
  for (const state::Endpoint& endpoint : servers->second) {
    ++report_.marks[mark].sent;
    control_client_.Send(endpoint, request, Now() + kControlTimeout,
                         [this, mark](const HttpOutcome& outcome) {
                           if (outcome.kind == HttpOutcomeKind::kAnswered &&
                               outcome.response.status / 100 == 2)
                             ++report_.marks[mark].accepted;
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
  // Poisson arrivals have no memory, so a phase can start afresh.
  while (at < scenario_.duration) {
    const std::uint32_t rate = std::prev(next)->rate;
    const Duration end = next == phases.end() ? scenario_.duration : next->at;
    if (rate > 0) {
      std::exponential_distribution<double> gap(rate);
      const Duration arrival =
          at + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(gap(random_)));
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
    events_.Schedule(begin_ + scenario_.duration, [this] {
      all_arrived_ = true;
      FinishIfDone();
    });
    return;
  }
  events_.Schedule(begin_ + *next, [this, at = *next] {
    ScheduleArrival(at);
    Arrive(at);
  });
}

void LoadGenerator::Impl::Arrive(Duration at) {
  const auto request = std::make_shared<Request>();
  std::discrete_distribution<std::size_t> pick(shares_.begin(), shares_.end());
  request->kind = pick(random_);
  const LoadKind& kind = KindOf(request);
  request->at = at;
  request->intended = begin_ + at;
  request->deadline = request->intended + kind.timeout;
  request->repeats_left = kind.repeats;
  request->id = {random_(), ++sequence_};
  // The number makes each target and body unlike all others, so that another
  // request's answer can be told from this one's.
  request->target = fmt::format("{}?n={}", kind.path, sequence_);
  if (HasBody(kind)) {
    request->body =
        fmt::format("{}-{}-{}", kind.name, scenario_.seed, sequence_);
    request->body.resize(
        std::max<std::size_t>(request->body.size(), kind.body_bytes), '.');
  }
  GiveKey(request);
  ++open_requests_;
  ++CountsOf(request).offered;
  ++IntervalOf(request).offered[request->kind];
  const Duration delay = Now() - request->intended;
  report_.send_delay.push_back(static_cast<std::uint32_t>(delay.count()));
  SendAttempt(request);
}

void LoadGenerator::Impl::GiveKey(const RequestPtr& request) {
  const LoadKind& kind = KindOf(request);
  // Backend servers issue no keys.
  if (kind.key == LoadKey::kOwn ||
      (kind.key == LoadKey::kIssued && options_.baseline)) {
    request->key =
        fmt::format("load-{}-{}", scenario_.seed, state::ToHex(request->id));
    return;
  }
  if (kind.key != LoadKey::kIssued)
    return;
  const std::string service = ServiceOf(kind.path);
  std::deque<std::string>& keys = keys_[service];
  if (keys.empty()) {
    ++CountsOf(request).keys_missing;
  } else {
    request->key = std::move(keys.front());
    keys.pop_front();
  }
  FetchKeys(service);
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
    events_.Cancel(request->repeat_event);
  request->repeat_scheduled = true;
  request->repeat_event =
      events_.Schedule(Now() + pause, [this, request] { Repeat(request); });
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
      End(request, LoadOutcome::kTimedOut, 0);
      return;
    case HttpOutcomeKind::kConnectFailed:
      if (!RepeatsAfterRefusal(request, kMinRepeatPause))
        End(request, LoadOutcome::kConnectFailed, 0);
      return;
    default:
      End(request, LoadOutcome::kTruncated, 0);
      return;
  }
  const HttpResponse& response = outcome.response;
  if (response.status / 100 == 2) {
    const bool right = !options_.verify || IsRight(*request, response);
    End(request, right ? LoadOutcome::kInTime : LoadOutcome::kWrong, 0);
    return;
  }
  if (!RepeatsAfterRefusal(request, RetryAfterOf(response)))
    End(request, LoadOutcome::kRefused, CodeOf(response));
}

bool LoadGenerator::Impl::RepeatsAfterRefusal(const RequestPtr& request,
                                              Duration retry_after) {
  const LoadKind& kind = KindOf(request);
  // With another attempt open, the caller goes on waiting for that one.
  if (request->open_attempts > 0)
    return true;
  if (kind.after_refusal == AfterRefusal::kStop || request->repeats_left == 0)
    return false;
  const Duration wanted =
      kind.after_refusal == AfterRefusal::kWait ? retry_after : kind.patience;
  const Duration pause = std::max(wanted, kMinRepeatPause);
  if (Now() + pause >= request->deadline)
    return false;
  ScheduleRepeat(request, pause);
  return true;
}

bool LoadGenerator::Impl::IsRight(const Request& request,
                                  const HttpResponse& response) const {
  // The stand-in's first line: service, trace id, digest of the request's
  // body, size and target, of which a node has removed the service.
  const std::string_view body = response.body;
  const std::size_t line_end = body.find('\n');
  if (line_end == std::string_view::npos)
    return false;
  std::string_view line = body.substr(0, line_end);
  TakeWord(&line);
  const std::string_view trace_id = TakeWord(&line);
  const std::string_view digest = TakeWord(&line);
  const std::string_view size_text = TakeWord(&line);
  const std::string_view target = TakeWord(&line);
  std::size_t size = 0;
  std::from_chars(size_text.data(), size_text.data() + size_text.size(), size);
  if (digest != state::ToHex(protocol::DigestOf(request.body)) ||
      !EndsWith(request.target, target) ||
      body.size() != std::max(size, line_end + 1))
    return false;
  if (options_.baseline)
    return trace_id == state::ToHex(request.id);
  // A replayed answer carries the id of the attempt that ran.
  if (CodeOf(response) == static_cast<int>(state::ResultCode::kReplayed))
    return true;
  const std::string_view id =
      FieldOf(response.headers, protocol::kRequestIdField);
  return boost::beast::iequals({id.data(), id.size()},
                               {trace_id.data(), trace_id.size()});
}

void LoadGenerator::Impl::End(const RequestPtr& request,
                              LoadOutcome end,
                              int code) {
  request->ended = true;
  if (request->repeat_scheduled)
    events_.Cancel(request->repeat_event);
  for (const HttpClient::Handle attempt : request->attempts)
    client_.Cancel(attempt);
  const Duration latency = Now() - request->intended;
  const auto microseconds = static_cast<std::uint32_t>(latency.count());
  if (end == LoadOutcome::kInTime && latency > KindOf(request).timeout)
    end = LoadOutcome::kTimedOut;
  LoadKindReport& kind = report_.kinds[request->kind];
  LoadIntervalReport& interval = IntervalOf(request);
  ++kind.counts.outcomes[static_cast<std::size_t>(end)];
  if (end == LoadOutcome::kInTime) {
    ++interval.in_time[request->kind];
    interval.answered.push_back(microseconds);
    kind.answered.push_back(microseconds);
  }
  if (end == LoadOutcome::kRefused) {
    ++kind.counts.refused[code];
    ++interval.refused[code];
    kind.refused.push_back(microseconds);
  }
  interval.truncated += end == LoadOutcome::kTruncated ? 1 : 0;
  interval.wrong += end == LoadOutcome::kWrong ? 1 : 0;
  --open_requests_;
  FinishIfDone();
}

void LoadGenerator::Impl::FinishIfDone() {
  if (!all_arrived_ || open_requests_ > 0 || !done_)
    return;
  const std::function<void()> done = std::exchange(done_, nullptr);
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
