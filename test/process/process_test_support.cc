/// \file
/// Implementation of the fixture of the process-level tests.
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <vector>

#include "process_test.h"
#include "sesamespread/state/ids.h"

namespace sesamespread::test {

using boost::asio::ip::tcp;
using boost::system::error_code;

RawConnection::RawConnection(std::uint16_t port, int receive_bytes) {
  socket_.open(tcp::v4());
  if (receive_bytes > 0)
    socket_.set_option(tcp::socket::receive_buffer_size(receive_bytes));
  socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
}

void RawConnection::Send(std::string_view bytes) {
  error_code ignored;
  boost::asio::write(socket_, boost::asio::buffer(bytes.data(), bytes.size()),
                     ignored);
}

void RawConnection::HalfClose() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

const std::string& RawConnection::ReadUpTo(std::size_t size,
                                           std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::vector<char> chunk(64 << 10);
  while (!closed_ && received_.size() < size) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    pollfd descriptor{socket_.native_handle(), POLLIN, 0};
    if (remaining.count() <= 0 ||
        poll(&descriptor, 1, static_cast<int>(remaining.count())) <= 0)
      break;
    error_code error;
    const std::size_t count = socket_.read_some(
        boost::asio::buffer(chunk.data(),
                            std::min(chunk.size(), size - received_.size())),
        error);
    received_.append(chunk.data(), count);
    closed_ = static_cast<bool>(error);
  }
  return received_;
}

const std::string& RawConnection::ReadAll() {
  return ReadUpTo(std::string::npos);
}

void ProcessTest::SetUp() {
  bench::ClusterSpec spec;
  spec.inventory = bench::SourceDir() + "/test/process/process.yaml";
  spec.zones = {"zone-a", "zone-b"};
  const std::vector<std::string> fixed = {"--distribution", "fixed"};
  spec.services = {{"orders", 2, 50, 200, 2, "stock:GET:/levels", fixed},
                   {"stock", 2, 50, 200, 2, "", fixed}};
  cluster_ = std::make_unique<bench::Cluster>(spec);
}

bench::HttpResult ProcessTest::Order(const bench::Host& host,
                                     const std::string& key,
                                     const std::string& body) {
  transport::HttpRequest request;
  request.method = "POST";
  request.target = "/orders/new";
  request.body = body;
  if (!key.empty())
    request.headers = {{"Idempotency-Key", key}};
  return bench::Fetch(host.ports.caller, request, kTestTimeout);
}

std::string ProcessTest::IssueKeyBoundTo(const bench::Host& executor) {
  const std::string prefix =
      "ss1-" + state::ToHex(state::NodeIdOf(executor.name)) + "-";
  std::string key;
  const bool found = bench::WaitFor(
      [&] {
        const std::string body =
            bench::Post(executor.ports.caller, "/-/keys/orders?count=50", "")
                .body;
        const std::size_t position = body.find(prefix);
        if (position != std::string::npos)
          key = body.substr(position, body.find('"', position) - position);
        return !key.empty();
      },
      kTestTimeout);
  if (!found)
    throw std::runtime_error("no idempotency key was issued in time for " +
                             executor.name);
  return key;
}

int ProcessTest::ResultOf(const bench::HttpResult& result) {
  const std::string value(
      transport::FieldOf(result.headers, "Sesamespread-Result"));
  return value.empty() ? 0 : std::stoi(value);
}

std::string ProcessTest::RunStateOf(const bench::HttpResult& result) {
  for (const char* name : {"not_run", "ran", "unknown"}) {
    if (result.body.find(fmt::format("\"run_state\":\"{}\"", name)) !=
        std::string::npos)
      return name;
  }
  return "";
}

double ProcessTest::StatOf(const bench::Host& host, const std::string& name) {
  return bench::JsonNumber(bench::Get(host.backend_port, "/-/stats").body,
                           name);
}

std::string ProcessTest::ExecutionsOf(const bench::Host& host) {
  return bench::Get(host.backend_port, "/-/executions").body;
}

std::size_t ProcessTest::CountExecutions(const std::string& key) {
  std::size_t executions = 0;
  for (const bench::Host* host : cluster_->HostsOf("orders"))
    executions += bench::CountOccurrences(ExecutionsOf(*host), key);
  return executions;
}

double ProcessTest::CountStarted(const std::string& service) {
  double started = 0;
  for (const bench::Host* host : cluster_->HostsOf(service))
    started += StatOf(*host, "started");
  return started;
}

bool ProcessTest::IsStopping(const bench::Host& host) {
  return bench::Get(host.ports.operators, "/readyz").status == 503;
}

int ProcessTest::StopNode(bench::Host& host) {
  host.node->Signal(SIGTERM);
  return host.node->Wait(kTestTimeout);
}

}  // namespace sesamespread::test
