/// \file
/// Guards against a reported cause that is the failure of another call or of
/// another request.
#include "sesamespread/state/request_trace.h"

#include <gtest/gtest.h>

namespace sesamespread::state {
namespace {

std::string Line(const std::string& time,
                 const std::string& node,
                 const std::string& event,
                 const std::string& rest) {
  return "   1.5 host time=2026-01-01T00:00:" + time +
         " level=info node=" + node + " event=" + event + " " + rest;
}

TEST(RequestTraceTest, ParsesQuotedValuesAndPrefixes) {
  const auto line = ParseLogLine(
      Line("01Z", "a", "call_executed", R"(request=r1 detail="a \"b\" c=d")"));
  ASSERT_TRUE(line.has_value());
  EXPECT_EQ(line->node, "a");
  EXPECT_EQ(line->Field("detail"), "a \"b\" c=d");
  EXPECT_EQ(line->Field("none"), "");
}

TEST(RequestTraceTest, RejectsMalformedAndTruncatedLines) {
  for (const char* text :
       {"", "time=1 node=a", "time=1 node=a event=x detail=\"cut",
        "time=1 node=a event=x trailing", "{\"time\": 1}"})
    EXPECT_FALSE(ParseLogLine(text).has_value()) << text;
}

TEST(RequestTraceTest, ReportsTheDeepestFailedCallAsTheCause) {
  RequestTrace trace("r1");
  trace.Add(Line("04Z", "a", "request_answered",
                 "request=r1 service=orders result=100 status=500"));
  trace.Add(Line("03Z", "b", "request_answered",
                 "request=r1.c1 service=plans result=100 status=500"));
  trace.Add(Line("02Z", "c", "request_refused",
                 "request=r1.c1.c2 service=prices result=202 status=503 "
                 "detail=\"no server has room\""));
  trace.Add(Line("01Z", "d", "request_refused",
                 "request=r11.c1.c2.c3 service=prices result=202 status=503"));
  const auto lines = trace.Lines();
  ASSERT_EQ(lines.size(), 3U);
  EXPECT_EQ(lines.front().node, "c");
  const std::string cause = trace.Cause();
  EXPECT_NE(cause.find("node c"), std::string::npos) << cause;
  EXPECT_NE(cause.find("queue is full (prices): no server has room"),
            std::string::npos)
      << cause;
}

// Guards against reporting an abandoned call as the cause: it was abandoned
// because the link of the call that made it was lost.
TEST(RequestTraceTest, DoesNotReportAbandonedCallsAsTheCause) {
  RequestTrace trace("r1");
  trace.Add(Line("01Z", "a", "request_failed",
                 "request=r1 service=orders result=301 status=502 "
                 "detail=\"link closed\""));
  trace.Add(Line("02Z", "b", "request_abandoned",
                 "request=r1.c1 service=plans result=306 status=0"));
  EXPECT_NE(trace.Cause().find("it failed at"), std::string::npos);
  EXPECT_NE(trace.Cause().find("link closed"), std::string::npos);
}

// Guards against a timeout that is attributed only to the service that waited,
// although its downstream calls were refused.
TEST(RequestTraceTest, ReportsTheRefusalsOfDownstreamCallsForATimeout) {
  RequestTrace trace("r1");
  trace.Add(Line("01Z", "a", "request_sent_again",
                 "request=r1.c1 route=stock result=202"));
  trace.Add(Line("02Z", "b", "request_failed",
                 "request=r1 service=shop result=300 status=504"));
  const std::string cause = trace.Cause();
  EXPECT_NE(cause.find("refused 1 times, last: "), std::string::npos) << cause;
  EXPECT_NE(cause.find("(stock)"), std::string::npos) << cause;
}

TEST(RequestTraceTest, UsesTheFirstNodeFieldOfALine) {
  const auto line =
      ParseLogLine(Line("01Z", "a", "request_failed", "request=r1 node=ff"));
  ASSERT_TRUE(line.has_value());
  EXPECT_EQ(line->node, "a");
}

TEST(RequestTraceTest, CountsUnparsableLines) {
  RequestTrace trace("r1");
  trace.Add("time=1 node=a event=x request=r1 detail=\"cut");
  trace.Add("other text");
  EXPECT_EQ(trace.unreadable(), 1U);
  EXPECT_EQ(trace.Cause(), "");
}

TEST(RequestTraceTest, ReportsThatNothingFailed) {
  RequestTrace trace("r1");
  trace.Add(Line("01Z", "a", "request_answered",
                 "request=r1 service=orders result=100 status=200"));
  EXPECT_NE(trace.Cause().find("no failure"), std::string::npos);
}

}  // namespace
}  // namespace sesamespread::state
