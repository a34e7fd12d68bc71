/// \file
/// Untrusted input to a node: forged context headers, paths of other ports,
/// malformed requests and random bytes.
#include <boost/asio/ip/udp.hpp>
#include <random>

#include "process_test.h"

namespace sesamespread::test {
namespace {

std::string RandomBytes(std::mt19937_64& random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes)
    byte = static_cast<char>(random());
  return bytes;
}

// Guards against callers that set the deadline, the retry ticket or the request
// id of their requests with the headers that nodes and backend servers use.
TEST_F(ProcessTest, ChainHeadersFromOutsideAreIgnored) {
  transport::HttpRequest request;
  request.method = "POST";
  request.target = "/orders/new";
  request.body = "ten frames";
  const std::string trace_id = "0123456789abcdef0123456789abcdef";
  request.headers = {
      {"baggage", "sesamespread-ticket=1, other=2"},
      {"Sesamespread-Deadline", "1"},
      {"Sesamespread-Request-Id", trace_id},
      {"Sesamespread-Not-Run", "1"},
      {"traceparent", "00-" + trace_id + "-0123456789abcdef-01"}};
  // If the node forwarded the deadline, the backend server would refuse the
  // request; if it forwarded the ticket, the sub-call would be refused with an
  // unknown ticket.
  const bench::HttpResult result =
      bench::Fetch(orders(0).ports.caller, request, kTestTimeout);
  EXPECT_EQ(result.status, 200) << result.body;
  EXPECT_EQ(ResultOf(result), 100);
  EXPECT_NE(transport::FieldOf(result.headers, "Sesamespread-Request-Id"),
            trace_id);
  // Only the backend port accepts tickets; it refuses unknown ones.
  const bench::HttpResult forged =
      bench::Fetch(orders(0).ports.backend, request, kTestTimeout);
  EXPECT_EQ(ResultOf(forged), 407) << forged.body;
}

// Guards against callers that announce a backend server, make one leave, or
// drain a node.
TEST_F(ProcessTest, CallerPortRefusesPathsOfOtherPorts) {
  const std::uint16_t port = orders(0).ports.caller;
  for (const char* path : {"/-/announce", "/-/leave", "/-/", "/-/control"})
    EXPECT_EQ(ResultOf(bench::Post(port, path, "{}")), 408) << path;
  for (const char* path : {"/v1/drain", "/v1/status", "/metrics", "/"})
    EXPECT_EQ(ResultOf(bench::Post(port, path, "{}")), 401) << path;
  EXPECT_EQ(Order(orders(0)).status, 200);
  EXPECT_FALSE(IsStopping(orders(0)));
}

// Guards against operators' requests that are accepted without the token.
TEST_F(ProcessTest, OperatorPortRequiresTheToken) {
  for (const char* token : {"", "Bearer ", "Bearer wrong", "bench-token"}) {
    for (const char* path : {"/v1/status", "/metrics", "/v1/drain"}) {
      transport::HttpRequest request;
      request.method = std::string(path) == "/v1/drain" ? "POST" : "GET";
      request.target = path;
      request.headers = {{"Authorization", token}};
      EXPECT_EQ(bench::Fetch(orders(0).ports.operators, request).status, 401)
          << path << " with '" << token << "'";
    }
  }
  EXPECT_EQ(bench::Get(orders(0).ports.operators, "/healthz").status, 200);
  EXPECT_FALSE(IsStopping(orders(0)));
}

struct MalformedInput {
  const char* name;
  std::string bytes;
  const char* status;
  const char* result;
};

// Guards against malformed input that is ambiguous and yet accepted, is not
// answered, or stops the node.
TEST_F(ProcessTest, MalformedInputIsRefusedWithoutAffectingOtherRequests) {
  const std::string post = "POST /orders/new HTTP/1.1\r\nHost: node\r\n";
  const MalformedInput inputs[] = {
      {"malformed", "NONSENSE\r\n\r\n", "400", "\"result\":400"},
      {"oversized header",
       "GET /stock/x HTTP/1.1\r\nA: " + std::string(32 << 10, 'a') + "\r\n\r\n",
       "431", "\"result\":403"},
      {"two lengths",
       post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", "400",
       "\"result\":400"},
      {"length and chunks",
       post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nabcde\r\n0\r\n\r\n",
       "400", "\"result\":400"},
      {"negative length", post + "Content-Length: -1\r\n\r\n", "400",
       "\"result\":400"},
      {"chunks cut short", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
       "408", "\"result\":409"},
      {"body too large", post + "Content-Length: 99999999\r\n\r\n", "413",
       "\"result\":402"},
      {"unknown service", "GET /nowhere/x HTTP/1.1\r\nHost: node\r\n\r\n",
       "404", "\"result\":401"},
  };
  for (const MalformedInput& input : inputs) {
    RawConnection connection(orders(0).ports.caller);
    connection.Send(input.bytes);
    connection.HalfClose();
    const std::string& answer = connection.ReadAll();
    EXPECT_TRUE(answer.starts_with(std::string("HTTP/1.1 ") + input.status))
        << input.name << ": " << answer;
    EXPECT_NE(answer.find(input.result), std::string::npos)
        << input.name << ": " << answer;
    EXPECT_NE(answer.find("\"run_state\":\"not_run\""), std::string::npos)
        << input.name << ": " << answer;
    EXPECT_EQ(Order(orders(0)).status, 200) << "after " << input.name;
  }
  EXPECT_EQ(CountStarted("orders"), std::size(inputs));
}

// Guards against a node that crashes on random bytes, or stores nodes or
// versions from them.
TEST_F(ProcessTest, RandomBytesFromTheNetworkAreIgnored) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 20; ++i) {
    RawConnection connection(orders(0).ports.peer);
    // A valid length with an invalid frame, or an invalid length.
    connection.Send(
        i % 2 == 0
            ? std::string("\x00\x02\x00\x00", 4) + RandomBytes(random, 512)
            : std::string("\xff\xff\xff\xff", 4) + RandomBytes(random, 512));
    // The node sends its initial messages, and then must close the connection.
    connection.ReadAll();
  }
  boost::asio::io_context context;
  boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
  const boost::asio::ip::udp::endpoint gossip(
      boost::asio::ip::make_address("127.0.0.1"), orders(0).ports.gossip);
  for (int i = 0; i < 500; ++i)
    socket.send_to(
        boost::asio::buffer(RandomBytes(random, 1 + random() % 1400)), gossip);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(Order(orders(i % 2)).status, 200);
  const bench::HttpResult status =
      bench::Cluster::GetFromOperatorPort(orders(0), "/v1/status");
  EXPECT_EQ(bench::JsonNumber(status.body, "nodes_known"), 4) << status.body;
  EXPECT_EQ(bench::JsonNumber(status.body, "highest_seen_version"), 1);
  EXPECT_EQ(orders(0).node->Wait(std::chrono::milliseconds(0)), -1);
}

}  // namespace
}  // namespace sesamespread::test
