/// \file
/// Guards against load results that are better than what callers experience.
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

std::uint64_t CountOf(const LoadCounts& counts, LoadOutcome outcome) {
  return counts.outcomes[static_cast<std::size_t>(outcome)];
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
      exchange->Respond(CorrectAnswer(exchange->request()));
    };
  }

  /// Returns the answer of the stand-in backend server.
  static HttpResponse CorrectAnswer(const HttpRequest& request) {
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
  std::vector<std::shared_ptr<HttpExchange>> held_exchanges_;
  std::optional<HttpServer> server_;
};

TEST_F(LoadGeneratorTest, CountsCorrectAnswersAndReproducesTheScheduleOfASeed) {
  const LoadReport first = Run();
  EXPECT_GT(first.Total().offered, 50U);
  EXPECT_EQ(first.Total().in_time(), first.Total().offered);
  const LoadReport second = Run();
  EXPECT_EQ(second.intervals[0].offered, first.intervals[0].offered);
  EXPECT_EQ(second.intervals[1].offered, first.intervals[1].offered);
}

// Guards against coordinated omission: a generator that waits for a stalled
// server would not count the requests due during the stall.
TEST_F(LoadGeneratorTest, CountsLatencyFromTheIntendedSendTime) {
  handler_ = [&](std::shared_ptr<HttpExchange> exchange) {
    held_exchanges_.push_back(std::move(exchange));
    if (requests_.size() < 50)
      return;
    for (const auto& held : held_exchanges_)
      held->Respond(CorrectAnswer(held->request()));
    held_exchanges_.clear();
    handler_ = [](const std::shared_ptr<HttpExchange>& next) {
      next->Respond(CorrectAnswer(next->request()));
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
    HttpResponse response = CorrectAnswer(request);
    HttpRequest other = request;
    switch (requests_.size() % 5) {
      case 0:  // The answer to another request.
        other.target += "0";
        response = CorrectAnswer(other);
        break;
      case 1:  // The answer to another body.
        other.body += "x";
        response = CorrectAnswer(other);
        break;
      case 2:  // The answer with another request id.
        other.headers.clear();
        response = CorrectAnswer(other);
        break;
      case 3:  // A byte of the padding is missing; Content-Length agrees.
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
  EXPECT_EQ(CountOf(counts, LoadOutcome::kTruncated), truncated);
  EXPECT_EQ(CountOf(counts, LoadOutcome::kWrong), counts.offered - truncated);
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
  // Each request waits twice for 5 ms.
  EXPECT_GE(QuantileMs(report.kinds[0].refused, 0), 10);
}

// Callers that repeat without an answer close the previous attempt, send the
// same key, and stop after the permitted number of repeats.
TEST_F(LoadGeneratorTest, RepeatsWhenNoAnswerArrives) {
  scenario_.phases = {{0s, 100}};
  scenario_.kinds[0].key = state::LoadKey::kOwn;
  scenario_.kinds[0].repeats = 2;
  scenario_.kinds[0].patience = 10ms;
  scenario_.kinds[0].timeout = 300ms;
  std::size_t abandoned = 0;
  handler_ = [&](std::shared_ptr<HttpExchange> exchange) {
    exchange->OnAbandoned([&] { ++abandoned; });
    held_exchanges_.push_back(std::move(exchange));
  };
  const LoadCounts counts = Run().Total();
  EXPECT_EQ(CountOf(counts, LoadOutcome::kTimedOut), counts.offered);
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
  ASSERT_EQ(report.disturbance_reports.size(), 1U);
  EXPECT_EQ(report.disturbance_reports[0].accepted, 1U);
  EXPECT_EQ(report.Total().in_time(), report.Total().offered);
  EXPECT_EQ(requests_.size(), report.Total().offered + 1);
}

TEST(LoadReportTest, MeasuresRecoveryTime) {
  LoadReport report;
  report.intervals.resize(40);
  for (std::size_t i = 0; i < 40; ++i) {
    report.intervals[i].offered = {10};
    // A single good interval at 1.2 s does not count as recovery, which begins
    // at 2.0 s.
    report.intervals[i].in_time = {i >= 20 || i == 12 ? 10U : 4U};
  }
  EXPECT_EQ(RecoveryTime(report, 1s), std::optional<state::Duration>(1s));
  EXPECT_EQ(RecoveryTime(report, 3500ms), std::nullopt);
  EXPECT_DOUBLE_EQ(GoodputShare(report, 0s, 1s), 0.4);
}

// Guards against a report of "refused with 100 Ok" for an error status that the
// backend server sent itself.
TEST(LoadReportTest, DistinguishesBackendServerErrorsFromRefusals) {
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

// Guards against a report of "refused with 503 Unauthorized" for a plain HTTP
// status that equals a result code.
TEST(LoadReportTest, DistinguishesHttpStatusesFromResultCodes) {
  LoadReport report;
  report.kinds.resize(1);
  report.kinds[0].name = "browsing";
  report.kinds[0].counts.refused = {{kPlainStatusBase + 503, 4}, {503, 1}};
  const std::string table = FormatLoadTable(report);
  EXPECT_NE(table.find("4 refused with HTTP 503"), std::string::npos) << table;
  EXPECT_NE(table.find("1 refused with 503 Unauthorized"), std::string::npos)
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
