/// \file
/// Clients that occupy memory of the nodes with requests within the limits:
/// pipelined requests whose answers are not read, large bodies that stop just
/// short of their end, and long answers that are read slowly. Guards against a
/// node that exceeds the memory of its host or runs out of descriptors.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"
#include "sesamespread/transport/acceptor.h"

namespace sesamespread::test {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// How long the clients play.
constexpr std::chrono::seconds kPlayTime{4};
constexpr milliseconds kStepPause{5};

/// Time of a request at the server: unanswered requests pile up.
constexpr milliseconds kServiceTime{2000};

constexpr std::size_t kBodyBytes = 6'000'000;
/// Number of bytes by which a body stops short.
constexpr std::size_t kMissingBytes = 1000;
/// One in this many bodies is complete.
constexpr std::size_t kCompleteShare = 4;
constexpr std::size_t kLongAnswerBytes = 4 << 20;
/// A head within max_header_bytes of the operator's document.
constexpr std::size_t kFieldBytes = 15 << 10;
constexpr std::size_t kPipelinedRequests = 40;
constexpr std::size_t kSlowReadBytes = 4 << 10;

constexpr std::size_t kPipeliningClients = 1200;
constexpr std::size_t kUploadingClients = 48;
constexpr std::size_t kSlowReaders = 48;
constexpr std::size_t kOrderingClients = 14;

/// Descriptors that a node needs beside those of its callers.
constexpr std::size_t kOwnDescriptors = 100;

// A client on one connection, which it opens again when it is closed.
struct Client {
  std::string bytes;
  // Bytes that are read in each step; 0 for a client that reads nothing.
  std::size_t read_bytes = 0;
  std::size_t sent = 0;
  std::unique_ptr<tcp::socket> socket;
};

Client MakePipeliningClient(std::size_t number) {
  Client client;
  for (std::size_t i = 0; i < kPipelinedRequests; ++i) {
    client.bytes += fmt::format(
        "GET /item HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: p{}-{}\r\n"
        "X-Deadline-Ms: 4000\r\nX-Field: {}\r\n\r\n",
        number, i, std::string(kFieldBytes, 'x'));
  }
  return client;
}

std::string MakeUploadHead(std::size_t number, const std::string& framing) {
  return fmt::format(
      "POST /item HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: u{}\r\n"
      "X-Deadline-Ms: 4000\r\n{}\r\n\r\n",
      number, framing);
}

std::size_t MissingBytes(std::size_t number) {
  return number % kCompleteShare == 0 ? 0 : kMissingBytes;
}

Client MakeUploadingClient(std::size_t number) {
  Client client;
  client.bytes =
      MakeUploadHead(number, fmt::format("Content-Length: {}", kBodyBytes)) +
      std::string(kBodyBytes - MissingBytes(number), 'x');
  return client;
}

Client MakeOrderingClient(std::size_t number) {
  Client client;
  client.bytes =
      MakeUploadHead(number, fmt::format("Content-Length: {}", kBodyBytes)) +
      std::string(kBodyBytes, 'x');
  return client;
}

Client MakeChunkingClient(std::size_t number) {
  constexpr std::size_t kChunkBytes = 10'000;
  const std::string chunk =
      fmt::format("{:x}\r\n{}\r\n", kChunkBytes, std::string(kChunkBytes, 'x'));
  Client client;
  client.bytes = MakeUploadHead(number, "Transfer-Encoding: chunked");
  for (std::size_t size = 0; size < kBodyBytes; size += kChunkBytes)
    client.bytes += chunk;
  client.bytes += "0\r\n\r\n";
  client.bytes.resize(client.bytes.size() - MissingBytes(number));
  return client;
}

Client MakeSlowReader(std::size_t number) {
  Client client;
  client.bytes = fmt::format(
      "GET {} HTTP/1.1\r\nHost: stock.example\r\nX-Attempt-Id: r{}\r\n"
      "X-Deadline-Ms: 4000\r\n\r\n",
      platform::standin::Backend::kLongPath, number);
  client.read_bytes = kSlowReadBytes;
  return client;
}

void Append(std::vector<Client>& clients,
            Client (*make)(std::size_t),
            std::size_t count) {
  for (std::size_t i = 0; i < count; ++i)
    clients.push_back(make(i));
}

std::size_t CountDescriptors(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      fmt::format("/proc/{}/fd", pid), error);
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

class HardLoadTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(deployment_.WaitUntilServing()); }

  void TearDown() override {
    if (HasFailure())
      std::cerr << deployment_.CollectDiagnostics();
  }

  void SetServiceTime(milliseconds time) {
    for (RouteHost& host : deployment_.hosts())
      host.backend->SetServiceTime(time);
  }

  // Plays the clients against the first node while an ordinary caller sends
  // requests, and checks all nodes and one ordinary request afterwards.
  void Play(std::vector<Client> clients) {
    const auto end = steady_clock::now() + kPlayTime;
    std::size_t descriptors = 0;
    while (steady_clock::now() < end) {
      for (Client& client : clients)
        Step(client);
      descriptors = std::max(descriptors,
                             CountDescriptors(deployment_.shop().node->pid()));
      std::this_thread::sleep_for(kStepPause);
    }
    RecordProperty("descriptors", static_cast<int>(descriptors));
    EXPECT_LT(descriptors, clients.size() + kOwnDescriptors);
    for (RouteHost& host : deployment_.hosts()) {
      SCOPED_TRACE(host.name);
      EXPECT_EQ(host.node->Wait(milliseconds(0)), -1) << "the node has ended";
      const long peak_kib = PeakKib(host.node->pid());
      RecordProperty("peak_kib_of_" + host.name, static_cast<int>(peak_kib));
      std::cout << host.name << ": peak " << peak_kib << " KiB\n";
      EXPECT_LT(peak_kib, kMaxPeakKib);
    }
    std::cout << "descriptors " << descriptors << "\n";
    SetServiceTime(milliseconds(0));
    EXPECT_TRUE(bench::WaitFor(
        [&] {
          return deployment_
                     .Send(deployment_.shop(), "stock.example",
                           fmt::format("o{}", ordinary_requests_++),
                           kServiceTime)
                     .status == 200;
        },
        kTestTimeout))
        << "no ordinary request was answered";
  }

  void Step(Client& client) {
    if (!client.socket)
      Connect(client);
    error_code error;
    while (!error && client.sent < client.bytes.size()) {
      client.sent += client.socket->write_some(
          boost::asio::buffer(client.bytes.data() + client.sent,
                              client.bytes.size() - client.sent),
          error);
    }
    if (client.read_bytes > 0 && !IsClosed(error)) {
      std::string bytes(client.read_bytes, '\0');
      error.clear();
      client.socket->read_some(boost::asio::buffer(bytes), error);
    }
    if (IsClosed(error))
      client.socket.reset();
  }

  void Connect(Client& client) {
    client.sent = 0;
    client.socket = std::make_unique<tcp::socket>(context_);
    error_code ignored;
    client.socket->connect(transport::ToTcpEndpoint(deployment_.shop().entry),
                           ignored);
    client.socket->non_blocking(true, ignored);
  }

  static bool IsClosed(const error_code& error) {
    return error && error != boost::asio::error::would_block;
  }

  RouteDeployment deployment_{{.settings = "max_held_bytes: 33554432\n",
                               .max_body_bytes = 8 << 20,
                               .long_answer_bytes = kLongAnswerBytes}};
  boost::asio::io_context context_;
  int ordinary_requests_ = 0;
};

TEST_F(HardLoadTest, PipelinedRequestsWithUnreadAnswers) {
  std::vector<Client> clients;
  Append(clients, MakePipeliningClient, kPipeliningClients);
  Play(std::move(clients));
}

TEST_F(HardLoadTest, BodiesWithLengthThatStopShort) {
  SetServiceTime(kServiceTime);
  std::vector<Client> clients;
  Append(clients, MakeUploadingClient, kUploadingClients);
  Play(std::move(clients));
}

TEST_F(HardLoadTest, BodiesInChunksThatStopShort) {
  SetServiceTime(kServiceTime);
  std::vector<Client> clients;
  Append(clients, MakeChunkingClient, kUploadingClients);
  Play(std::move(clients));
}

// Guards against several copies of each order that waits for its answer.
TEST_F(HardLoadTest, UnansweredLargeOrders) {
  SetServiceTime(kServiceTime);
  std::vector<Client> clients;
  Append(clients, MakeOrderingClient, kOrderingClients);
  Play(std::move(clients));
}

TEST_F(HardLoadTest, SlowReadersOfLongAnswers) {
  std::vector<Client> clients;
  Append(clients, MakeSlowReader, kSlowReaders);
  Play(std::move(clients));
}

TEST_F(HardLoadTest, AllKindsOfClientsBesideAnOrdinaryCaller) {
  SetServiceTime(kServiceTime / 10);
  std::vector<Client> clients;
  Append(clients, MakePipeliningClient, kPipeliningClients / 4);
  Append(clients, MakeUploadingClient, kUploadingClients / 4);
  Append(clients, MakeChunkingClient, kUploadingClients / 4);
  Append(clients, MakeSlowReader, kSlowReaders / 2);
  std::atomic<bool> is_over = false;
  std::thread caller([&] {
    for (int i = 0; !is_over; ++i) {
      deployment_.Send(deployment_.shop(), "stock.example",
                       fmt::format("c{}", i), kServiceTime);
    }
  });
  Play(std::move(clients));
  is_over = true;
  caller.join();
}

}  // namespace
}  // namespace sesamespread::test
