/// \file
/// Tests of the operators' commands, which run as separate processes, and of
/// the platform client, against a stand-in of the platform.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <cstdio>
#include <fstream>
#include <future>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "sesamespread/coordination/configuration_reader.h"
#include "sesamespread/coordination/configuration_writer.h"
#include "sesamespread/transport/operator_client.h"
#include "sesamespread/transport/platform_client.h"

namespace sesamespread {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using coordination::StoreStatus;
using transport::PlatformClient;
using transport::PlatformOptions;

const std::string kRoot = SESAMESPREAD_SOURCE_DIR;
const std::string kColmenar = kRoot + "/examples/colmenar.yaml";

// Runs a stand-in as a child process, whose first line of output is
// "listening <port>".
class StandInProcess {
 public:
  explicit StandInProcess(std::vector<std::string> arguments) {
    std::array<int, 2> pipe_fds{};
    EXPECT_EQ(pipe(pipe_fds.data()), 0);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(pipe_fds[1], STDOUT_FILENO);
      std::vector<char*> argv;
      arguments.insert(arguments.begin(), SESAMESPREAD_STANDINS);
      for (std::string& argument : arguments)
        argv.push_back(argument.data());
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
    close(pipe_fds[1]);
    std::FILE* output = fdopen(pipe_fds[0], "r");
    EXPECT_EQ(std::fscanf(output, "listening %d", &port_), 1);
    std::fclose(output);
  }
  ~StandInProcess() {
    kill(pid_, SIGTERM);
    waitpid(pid_, nullptr, 0);
  }
  StandInProcess(const StandInProcess&) = delete;
  StandInProcess& operator=(const StandInProcess&) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(port_);
  }

  void Control(const std::string& json) const {
    const auto reply =
        transport::CallOperator({url(), "", ""}, "POST", "/control", json);
    EXPECT_EQ(reply.status, 200) << reply.body;
  }

 private:
  pid_t pid_ = 0;
  int port_ = 0;
};

struct VerbResult {
  int exit_code = -1;
  std::string output;
};

// Runs the program; the output includes standard error.
VerbResult RunVerb(const std::string& arguments) {
  VerbResult result;
  const std::string line =
      std::string(SESAMESPREAD_PROGRAM) + " " + arguments + " 2>&1";
  std::FILE* output = popen(line.c_str(), "r");
  std::array<char, 4096> buffer{};
  while (const std::size_t size =
             std::fread(buffer.data(), 1, buffer.size(), output))
    result.output.append(buffer.data(), size);
  result.exit_code = WEXITSTATUS(pclose(output));
  return result;
}

// Writes a copy of colmenar.yaml with another number of slots of `prices`.
// Returns its path.
std::string InventoryWithSlots(int slots) {
  std::ifstream file(kColmenar);
  std::stringstream text;
  text << file.rdbuf();
  std::string content = text.str();
  content.replace(content.find("slots: 15\n"), 9,
                  "slots: " + std::to_string(slots));
  const std::string path = testing::TempDir() + "inventory-" +
                           std::to_string(getpid()) + "-" +
                           std::to_string(slots) + ".yaml";
  std::ofstream(path) << content;
  return path;
}

coordination::TableTransaction Insert(const std::string& key,
                                      const std::string& value) {
  return {{{key, std::nullopt}}, {{key, value}}, {}};
}

TEST(PlatformClientTest, ReadsWhatItWroteIncludingEscapedText) {
  const StandInProcess platform({"platform"});
  PlatformClient client({platform.url()});
  const std::string text = "\"quoted\" \\ \n\t ñ {a: 1}";
  EXPECT_EQ(client.ReadRow("a/1").row, std::nullopt);
  EXPECT_EQ(client.Commit(Insert("a/1", text)).status, StoreStatus::kDone);
  EXPECT_EQ(client.Commit(Insert("a/2", "b")).status, StoreStatus::kDone);
  EXPECT_EQ(client.ReadRow("a/1").row->value, text);
  EXPECT_EQ(client.ReadRange("a/", "", 10).rows.size(), 2u);
  EXPECT_EQ(client.ReadRange("a/", "a/1", 10).rows.at(0).key, "a/2");
  EXPECT_EQ(client.ReadRange("a/", "", 1).rows.size(), 1u);
  const auto refused = client.Commit(Insert("a/1", "other"));
  EXPECT_EQ(refused.status, StoreStatus::kConditionFailed);
  EXPECT_EQ(refused.failed_key, "a/1");
  EXPECT_EQ(refused.current_value, text);
  const std::string bytes("\0\xff\x01 bytes", 9);
  EXPECT_EQ(client.PutObject("config/snapshot", bytes), StoreStatus::kDone);
  EXPECT_EQ(client.GetObject("config/snapshot").content, bytes);
  EXPECT_EQ(client.GetObject("none").content, std::nullopt);
  EXPECT_EQ(client.counters().reads, 7u);
  EXPECT_EQ(client.counters().writes, 4u);
  EXPECT_EQ(client.counters().failures, 0u);
}

TEST(PlatformClientTest, OutagesAreDistinguished) {
  const StandInProcess platform({"platform", "--token", "secret"});
  PlatformClient without_token({platform.url()});
  EXPECT_EQ(without_token.ReadRow("a").status, StoreStatus::kUnauthorized);
  PlatformOptions options{platform.url(), std::chrono::milliseconds(300),
                          "secret"};
  PlatformClient client(options);
  EXPECT_EQ(client.ReadRow("a").status, StoreStatus::kDone);
  platform.Control(R"({"mode": "slow", "delay_ms": 5000})");
  EXPECT_EQ(client.Commit(Insert("a", "b")).status, StoreStatus::kNoReply);
  platform.Control(R"({"mode": "down"})");
  EXPECT_EQ(client.Commit(Insert("a", "b")).status, StoreStatus::kNoReply);
  options.url = "http://127.0.0.1:1";
  PlatformClient unreachable(options);
  EXPECT_EQ(unreachable.Commit(Insert("a", "b")).status,
            StoreStatus::kNotDelivered);
  EXPECT_EQ(unreachable.counters().failures, 1u);
}

TEST(PlatformClientTest, CallsAboveThePlatformsRateLimitAreNotDelivered) {
  const StandInProcess platform({"platform", "--writes-per-second", "1"});
  PlatformClient client({platform.url()});
  EXPECT_EQ(client.Commit(Insert("a", "b")).status, StoreStatus::kDone);
  EXPECT_EQ(client.Commit(Insert("c", "d")).status, StoreStatus::kNotDelivered);
}

// Guards against a call that exceeds its timeout because the server sends the
// reply one byte at a time.
TEST(PlatformClientTest, TrickledReplyEndsAtTheTimeout) {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  std::atomic<bool> stop = false;
  std::thread server([&] {
    tcp::socket socket(context);
    acceptor.accept(socket);
    boost::system::error_code error;
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
    asio::write(socket, asio::buffer(head), error);
    asio::steady_timer timer(context);
    while (!stop && !error) {
      asio::write(socket, asio::buffer(" ", 1), error);
      timer.expires_after(std::chrono::milliseconds(20));
      timer.wait();
    }
  });
  PlatformClient client(
      {"http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
       std::chrono::milliseconds(200), ""});
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(client.ReadRow("a").status, StoreStatus::kNoReply);
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(2));
  stop = true;
  server.join();
}

class VerbTest : public testing::Test {
 protected:
  VerbResult Verb(const std::string& arguments) const {
    return RunVerb(arguments + " --platform " + platform_.url());
  }
  VerbResult Apply(const std::string& file,
                   const std::string& extra_arguments = "") const {
    return Verb("apply " + file + " --who maria --why test " + extra_arguments);
  }

  const StandInProcess platform_{{"platform"}};
};

TEST_F(VerbTest, ChangeIsReviewedAppliedShownAndRolledBack) {
  EXPECT_EQ(Apply(kColmenar).exit_code, 0);
  const std::string second = InventoryWithSlots(20);
  EXPECT_NE(
      Verb("diff " + second).output.find("service/prices.slots: 15 -> 20"),
      std::string::npos);
  EXPECT_EQ(Apply(second).exit_code, 0);
  EXPECT_EQ(Apply(second).exit_code, 0);  // nothing to change
  const VerbResult rolled_back = Verb("rollback --to 1 --who jose --why back");
  EXPECT_EQ(rolled_back.exit_code, 0) << rolled_back.output;
  EXPECT_NE(rolled_back.output.find("version 3 by jose"), std::string::npos);
  EXPECT_NE(Verb("history").output.find("version 2 by maria"),
            std::string::npos);
  EXPECT_EQ(Verb("show --version 9").exit_code, 7);
  // `apply` accepts the output of `show`, which has the same content.
  const std::string printed =
      testing::TempDir() + "printed-" + std::to_string(getpid()) + ".yaml";
  EXPECT_EQ(Verb("show --version 2 > " + printed).exit_code, 0);
  EXPECT_EQ(Apply(printed).exit_code, 0);
  EXPECT_NE(Verb("diff " + second).output.find("0 entries differ"),
            std::string::npos);
  PlatformClient client({platform_.url()});
  const auto snapshot = client.GetObject(coordination::kSnapshotObject);
  EXPECT_EQ(coordination::ParseSnapshot(snapshot.content.value()),
            coordination::ReadContentAt(client, 1));
}

TEST_F(VerbTest, OneOfConcurrentChangesSucceedsAndTheOthersReportIt) {
  ASSERT_EQ(Apply(kColmenar).exit_code, 0);
  constexpr int kOperators = 8;
  std::vector<std::future<VerbResult>> results;
  for (int i = 0; i < kOperators; ++i) {
    const std::string line =
        "apply " + InventoryWithSlots(100 + i) + " --why race --who op" +
        std::to_string(i) + " --expect-version 1 --platform " + platform_.url();
    results.push_back(std::async(std::launch::async, RunVerb, line));
  }
  int succeeded = 0;
  for (auto& pending_result : results) {
    const VerbResult result = pending_result.get();
    succeeded += result.exit_code == 0 ? 1 : 0;
    if (result.exit_code == 0)
      continue;
    EXPECT_EQ(result.exit_code, 4) << result.output;
    EXPECT_NE(result.output.find("version 2 by op"), std::string::npos)
        << result.output;
  }
  EXPECT_EQ(succeeded, 1);
}

TEST_F(VerbTest, LostRepliesAndStaleReadsAreResolved) {
  ASSERT_EQ(Apply(kColmenar).exit_code, 0);
  // More lost replies than the HTTP client's own retries on closed connections
  // conceal.
  platform_.Control(R"({"lose_replies": 3})");
  const VerbResult lost = Apply(InventoryWithSlots(20));
  EXPECT_EQ(lost.exit_code, 0) << lost.output;
  platform_.Control(R"({"stale_reads": true, "lose_replies": 3})");
  const VerbResult stale = Apply(InventoryWithSlots(25));
  EXPECT_EQ(stale.exit_code, 0) << stale.output;
  // Reads still return version 2, so that this change would revert version 3.
  const VerbResult reverting = Apply(kColmenar);
  EXPECT_EQ(reverting.exit_code, 4) << reverting.output;
  EXPECT_NE(reverting.output.find("version 3 by maria"), std::string::npos);
  platform_.Control(R"({"stale_reads": false})");
  EXPECT_NE(Verb("history").output.find("version 3 by maria"),
            std::string::npos);
}

TEST_F(VerbTest, OutageIsReportedWithTheAttemptIdThatHistoryFinds) {
  ASSERT_EQ(Apply(kColmenar).exit_code, 0);
  // All replies to writes are lost until the writer's timeout expires.
  platform_.Control(R"({"lose_replies": 1000, "stale_reads": true})");
  const VerbResult unknown =
      Apply(InventoryWithSlots(20), "--output json --give-up-after 1s");
  EXPECT_EQ(unknown.exit_code, 5) << unknown.output;
  EXPECT_NE(unknown.output.find(R"("run_state": "unknown")"), std::string::npos)
      << unknown.output;
  platform_.Control(R"({"lose_replies": 0, "stale_reads": false})");
  const std::string field = R"("attempt": ")";
  const std::size_t start = unknown.output.find(field) + field.size();
  const VerbResult found =
      Verb("history --attempt " + unknown.output.substr(start, 32));
  EXPECT_EQ(found.exit_code, 0) << found.output;
  EXPECT_NE(found.output.find("version 2 by maria"), std::string::npos);
  platform_.Control(R"({"mode": "down"})");
  EXPECT_EQ(Verb("show").exit_code, 5);
}

TEST(UsageTest, ExitCodesDistinguishErrors) {
  EXPECT_EQ(RunVerb("aply").exit_code, 2);
  EXPECT_NE(RunVerb("aply").output.find("'apply'"), std::string::npos);
  EXPECT_EQ(RunVerb("check").exit_code, 2);
  EXPECT_EQ(
      RunVerb("check " + kColmenar + " --node " + kRoot + "/examples/node.yaml")
          .exit_code,
      0);
  EXPECT_EQ(RunVerb("check " + kRoot + "/test/broken/cycle.yaml").exit_code, 3);
  EXPECT_EQ(RunVerb("apply " + kColmenar + " --platform http://127.0.0.1:1")
                .exit_code,
            2);  // without --who
  EXPECT_EQ(RunVerb("show --platform http://127.0.0.1:1").exit_code, 5);
  EXPECT_EQ(RunVerb("status --node http://127.0.0.1:1").exit_code, 8);
  const VerbResult explained = RunVerb(
      "explain --service orders --method POST --path /new " + kColmenar);
  EXPECT_NE(explained.output.find("critical"), std::string::npos);
}

// Guards against documents of route nodes that are checked as inventories.
TEST(UsageTest, CheckReportsFaultsOfADocument) {
  const auto document = [](const std::string& version,
                           const std::string& goal) {
    const std::string path = testing::TempDir() + "document-" + version + "-" +
                             goal + "-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << R"({"version":")" << version << R"(","listeners":[
      {"host":"h","rules":[{"name":"orders","kind":"safe","goal":")"
                        << goal << R"(","match":{"prefix":"/orders/"},
       "action":{"service":"s","timeout":"5s","max_attempts":2}}]}],
      "clusters":[]})";
    return path;
  };
  const std::string in_force = document("r1", "1s");
  const VerbResult valid = RunVerb("check --document " + document("r2", "2s") +
                                   " --against " + in_force);
  EXPECT_EQ(valid.exit_code, 0) << valid.output;
  EXPECT_NE(valid.output.find("route/orders.goal: 1s -> 2s"), std::string::npos)
      << valid.output;
  EXPECT_EQ(RunVerb("check --document " + document("r2", "6s")).exit_code, 3);
  EXPECT_EQ(RunVerb("check --against " + in_force).exit_code, 2);
  EXPECT_EQ(RunVerb("check --document " + in_force + " " + kColmenar).exit_code,
            2);
}

TEST(UsageTest, EachVerbHasHelpWithExamples) {
  for (const char* verb : {"check", "diff", "apply", "show", "history",
                           "rollback", "explain", "status", "drain"}) {
    const VerbResult help = RunVerb(std::string(verb) + " --help");
    EXPECT_EQ(help.exit_code, 0);
    EXPECT_NE(
        help.output.find("Examples:\n  sesamespread " + std::string(verb)),
        std::string::npos)
        << help.output;
  }
}

TEST(UsageTest, ReferenceMatchesTheCommittedPage) {
  std::ifstream page(kRoot + "/docs/SETTINGS.md");
  std::stringstream text;
  text << page.rdbuf();
  EXPECT_EQ(RunVerb("check --reference").output, text.str());
}

TEST(UsageTest, CompletionOffersVerbsAndOptions) {
  const std::string script =
      testing::TempDir() + "completion-" + std::to_string(getpid()) + ".sh";
  ASSERT_EQ(RunVerb("completion bash > " + script).exit_code, 0);
  const std::string complete =
      "bash -c 'source " + script +
      "; COMP_WORDS=(" SESAMESPREAD_PROGRAM
      " rollback --t); COMP_CWORD=2; _sesamespread; echo ${COMPREPLY[@]}'";
  std::FILE* output = popen(complete.c_str(), "r");
  std::array<char, 256> line{};
  ASSERT_NE(std::fgets(line.data(), line.size(), output), nullptr);
  pclose(output);
  EXPECT_STREQ(line.data(), "--to --timeout\n");
}

// Answers one request with `reply` and stores the received header.
class OneReplyServer {
 public:
  explicit OneReplyServer(std::string reply)
      : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        request_(std::async(std::launch::async, [this, reply] {
          tcp::socket socket(context_);
          acceptor_.accept(socket);
          std::string request;
          asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
          asio::write(socket, asio::buffer(reply));
          return request;
        })) {}

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port());
  }
  std::string WaitForRequest() { return request_.get(); }

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::future<std::string> request_;
};

TEST(NodeCallTest, StatusAndDrainSendTheTokenAndPrintTheReply) {
  const std::string token =
      testing::TempDir() + "token-" + std::to_string(getpid());
  std::ofstream(token) << "secret\n";
  OneReplyServer node(
      "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
      R"({"drain": {"state": "leaving"}})"
      "\r\n");
  const VerbResult drained =
      RunVerb("drain --node " + node.url() + " --token-file " + token);
  EXPECT_EQ(drained.exit_code, 0) << drained.output;
  const std::string request = node.WaitForRequest();
  EXPECT_EQ(request.rfind("POST /v1/drain HTTP/1.1\r\n", 0), 0u) << request;
  EXPECT_NE(request.find("Bearer secret"), std::string::npos) << request;
  OneReplyServer rejecting_node(
      "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(RunVerb("status --node " + rejecting_node.url()).exit_code, 6);
  EXPECT_EQ(
      rejecting_node.WaitForRequest().rfind("GET /v1/status HTTP/1.1\r\n", 0),
      0u);
}

std::string StatusReply(const std::string& name, int version, int seen) {
  const std::string body =
      "{\"name\": \"" + name +
      "\", \"configuration_version\": " + std::to_string(version) +
      ", \"highest_seen_version\": " + std::to_string(seen) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Guards against a node whose old configuration is not reported, also if
// another node of the comparison does not answer.
TEST(NodeCallTest, StatusOfSeveralNodesReportsOutdatedConfigurations) {
  OneReplyServer first(StatusReply("orders-1", 9, 9));
  OneReplyServer second(StatusReply("prices-1", 7, 9));
  const VerbResult compared =
      RunVerb("status --node " + first.url() + " --node " + second.url());
  EXPECT_EQ(compared.exit_code, 0) << compared.output;
  EXPECT_NE(compared.output.find("orders-1: version 9, in force"),
            std::string::npos)
      << compared.output;
  EXPECT_NE(compared.output.find("prices-1: version 7, 2 behind"),
            std::string::npos)
      << compared.output;
  OneReplyServer third(StatusReply("plans-1", 3, 4));
  const VerbResult partial = RunVerb(
      "status --output json --node http://127.0.0.1:1 --node " + third.url());
  EXPECT_EQ(partial.exit_code, 8) << partial.output;
  EXPECT_NE(partial.output.find("\"newest_version\": 4"), std::string::npos)
      << partial.output;
  EXPECT_NE(partial.output.find("\"behind\": 1"), std::string::npos)
      << partial.output;
}

}  // namespace
}  // namespace sesamespread
