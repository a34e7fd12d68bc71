/// \file
/// Guards against load results that look better than what callers met.
#include "sesamespread/transport/load_generator.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <optional>
#include <set>

#include "sesamespread/protocol/codec.h"
#include "sesamespread/protocol/http_fields.h"
#include "sesamespread/transport/http_server.h"
#include "test_support.h"

namespace sesamespread::transport {
namespace {

using namespace std::chrono_literals;

std::uint64_t EndsOf(const LoadCounts& counts, LoadOutcome end) {
  return counts.outcomes[static_cast<std::size_t>(end)];
}

class LoadGeneratorTest : public testing::Test {
 protected:
  LoadGeneratorTest() {
    scenario_.duration = 200ms;
    scenario_.phases = {{0s, 500}};
    state::LoadKind kind;
    kind.name = "orders";
    kind.method = "POST";
    kind.path = "/orders/new";
    kind.timeout = 10s;
    kind.body_bytes = 40;
    scenario_.kinds = {kind};
    server_.emplace(context_, RawPeer::Loopback(0), HttpServerOptions{},
                    [this](std::shared_ptr<HttpExchange> exchange) {
                      requests_.push_back(exchange->request());
                      handler_(std::move(exchange));
                    });
    handler_ = [](const std::shared_ptr<HttpExchange>& exchange) {
      exchange->Respond(RightAnswer(exchange->request()));
    };
  }

  /// What the stand-in backend server answers.
  static HttpResponse RightAnswer(const HttpRequest& request) {
    const auto id = protocol::ParseTraceparent(
        FieldOf(request.headers, protocol::kTraceparentField));
    HttpResponse response;
    response.body = fmt::format(
        "orders {} {} 200 {}\n", state::ToHex(id.value_or(state::RequestId{})),
        state::ToHex(protocol::DigestOf(request.body)),
        request.target.substr(request.target.find('/', 1)));
    response.body.resize(200, '.');
    return response;
  }

  LoadReport Run() {
    LoadOptions options;
    options.targets = {RawPeer::Loopback(server_->port())};
    options.baseline = true;
    options.control["prices"] = options.targets;
    LoadGenerator generator(context_, scenario_, options);
    bool done = false;
    generator.Start([&] { done = true; });
    EXPECT_TRUE(RunUntil(context_, [&] { return done; }));
    const LoadCounts counts = generator.report().Total();
    std::uint64_t ended = 0;
    for (const std::uint64_t count : counts.outcomes)
      ended += count;
    EXPECT_EQ(ended, counts.offered) << "a request did not end exactly once";
    return generator.report();
  }

  boost::asio::io_context context_;
  state::LoadScenario scenario_;
  std::vector<HttpRequest> requests_;
  std::function<void(std::shared_ptr<HttpExchange>)> handler_;
  std::vector<std::shared_ptr<HttpExchange>> held_;
  std::optional<HttpServer> server_;
};

TEST_F(LoadGeneratorTest, CountsRightAnswersAndRepeatsTheScheduleOfASeed) {
  const LoadReport first = Run();
  EXPECT_GT(first.Total().offered, 50U);
  EXPECT_EQ(first.Total().in_time(), first.Total().offered);
  const LoadReport second = Run();
  EXPECT_EQ(second.intervals[0].offered, first.intervals[0].offered);
  EXPECT_EQ(second.intervals[1].offered, first.intervals[1].offered);
}

// A generator that waits for a stalled server would leave out the requests that
// met the stall.
TEST_F(LoadGeneratorTest, CountsLatencyFromTheIntendedSendTime) {
  handler_ = [&](std::shared_ptr<HttpExchange> exchange) {
    held_.push_back(std::move(exchange));
    if (requests_.size() < 50)
      return;
    for (const auto& held : held_)
      held->Respond(RightAnswer(held->request()));
    held_.clear();
    handler_ = [](const std::shared_ptr<HttpExchange>& next) {
      next->Respond(RightAnswer(next->request()));
    };
  };
  const LoadReport report = Run();
  EXPECT_EQ(report.Total().in_time(), report.Total().offered);
  // The first request waited for the 50th, at 500/s on average 100 ms.
  EXPECT_GT(QuantileMs(report.kinds[0].answered, 1), 40);
  EXPECT_GT(QuantileMs(report.kinds[0].answered, 0.5),
            QuantileMs(report.kinds[0].answered, 0));
}

TEST_F(LoadGeneratorTest, DetectsWrongAndTruncatedAnswers) {
  handler_ = [&](const std::shared_ptr<HttpExchange>& exchange) {
    const HttpRequest& request = exchange->request();
    HttpResponse response = RightAnswer(request);
    HttpRequest other = request;
    switch (requests_.size() % 5) {
      case 0:  // Another request's answer.
        other.target += "0";
        response = RightAnswer(other);
        break;
      case 1:  // Computed from another body.
        other.body += "x";
        response = RightAnswer(other);
        break;
      case 2:  // Another request id.
        other.headers.clear();
        response = RightAnswer(other);
        break;
      case 3:  // Padding is missing although the length agrees.
        response.body.pop_back();
        break;
      default:
        exchange->RespondTruncated(response, 100);
        return;
    }
    exchange->Respond(response);
  };
  const LoadCounts counts = Run().Total();
  EXPECT_EQ(counts.in_time(), 0U);
  const std::uint64_t truncated = (counts.offered + 1) / 5;
  EXPECT_EQ(EndsOf(counts, LoadOutcome::kTruncated), truncated);
  EXPECT_EQ(EndsOf(counts, LoadOutcome::kWrong), counts.offered - truncated);
}

TEST_F(LoadGeneratorTest, CountsRefusalsByTheirResultCode) {
  scenario_.kinds[0].repeats = 2;
  scenario_.kinds[0].after_refusal = state::AfterRefusal::kWait;
  handler_ = [&](const std::shared_ptr<HttpExchange>& exchange) {
    HttpResponse response;
    response.status = 503;
    response.headers = {{"Sesamespread-Result", "202"}};
    response.body = "{\"retry_after_ms\":5}";
    exchange->Respond(response);
  };
  const LoadReport report = Run();
  const LoadCounts& counts = report.kinds[0].counts;
  EXPECT_EQ(counts.refused.at(202), counts.offered);
  EXPECT_EQ(counts.repeats, counts.offered * 2);
  EXPECT_EQ(requests_.size(), counts.offered * 3);
  // Two waits of 5 ms lie before the end.
  EXPECT_GE(QuantileMs(report.kinds[0].refused, 0), 10);
}

// Impatient callers close the attempt that they repeat, keep their key, and
// stop at their bound.
TEST_F(LoadGeneratorTest, RepeatsWithoutAnAnswer) {
  scenario_.phases = {{0s, 100}};
  scenario_.kinds[0].key = state::LoadKey::kOwn;
  scenario_.kinds[0].repeats = 2;
  scenario_.kinds[0].patience = 10ms;
  scenario_.kinds[0].timeout = 300ms;
  std::size_t abandoned = 0;
  handler_ = [&](std::shared_ptr<HttpExchange> exchange) {
    exchange->OnAbandoned([&] { ++abandoned; });
    held_.push_back(std::move(exchange));
  };
  const LoadCounts counts = Run().Total();
  EXPECT_EQ(EndsOf(counts, LoadOutcome::kTimedOut), counts.offered);
  EXPECT_EQ(counts.repeats, counts.offered * 2);
  // An attempt that is closed before its connection opens is never sent.
  EXPECT_LE(requests_.size(), counts.offered * 3);
  EXPECT_GT(requests_.size(), counts.offered);
  EXPECT_TRUE(
      RunUntil(context_, [&] { return abandoned == requests_.size(); }));
  std::set<std::string> keys;
  for (const HttpRequest& request : requests_)
    keys.emplace(FieldOf(request.headers, protocol::kIdempotencyKeyField));
  EXPECT_EQ(keys.size(), counts.offered);
}

TEST_F(LoadGeneratorTest, SendsDisturbances) {
  scenario_.disturbances = {{"slow", 50ms, "prices", "/-/control", "x", true}};
  const LoadReport report = Run();
  ASSERT_EQ(report.marks.size(), 1U);
  EXPECT_EQ(report.marks[0].accepted, 1U);
  EXPECT_EQ(report.Total().in_time(), report.Total().offered);
  EXPECT_EQ(requests_.size(), report.Total().offered + 1);
}

TEST(LoadReportTest, MeasuresRecovery) {
  LoadReport report;
  report.intervals.resize(40);
  for (std::size_t i = 0; i < 40; ++i) {
    report.intervals[i].offered = {10};
    // One good interval at 1.2 s is no recovery; that begins at 2.0 s.
    report.intervals[i].in_time = {i >= 20 || i == 12 ? 10U : 4U};
  }
  EXPECT_EQ(RecoveryTime(report, 1s), std::optional<state::Duration>(1s));
  EXPECT_EQ(RecoveryTime(report, 3500ms), std::nullopt);
  EXPECT_DOUBLE_EQ(GoodputShare(report, 0s, 1s), 0.4);
}

// Guards against "refused with 100 Ok" for an error status that the backend
// server itself has sent.
TEST(LoadReportTest, TellsErrorsOfTheBackendServerFromRefusals) {
  LoadReport report;
  report.kinds.resize(1);
  report.kinds[0].name = "browsing";
  report.kinds[0].counts.refused = {{100, 118}, {200, 3}};
  const std::string table = FormatLoadTable(report);
  EXPECT_NE(table.find("118 refused with an error of the backend server (100)"),
            std::string::npos)
      << table;
  EXPECT_NE(table.find("3 refused with 200 ShedAtEntry"), std::string::npos)
      << table;
}

TEST(LoadReportTest, ComputesQuantiles) {
  Latencies latencies;
  for (std::uint32_t i = 1000; i > 0; --i)
    latencies.push_back(i * 1000);
  EXPECT_DOUBLE_EQ(QuantileMs(latencies, 0.5), 500);
  EXPECT_DOUBLE_EQ(QuantileMs(latencies, 0.999), 999);
  EXPECT_DOUBLE_EQ(QuantileMs(latencies, 1), 1000);
  EXPECT_DOUBLE_EQ(QuantileMs({}, 0.5), 0);
}

}  // namespace
}  // namespace sesamespread::transport
