/// \file
/// The store's steady clock passes 24 hours while the system runs. From then on
/// no node takes anything from the store: a desired state that the store has
/// confirmed does not come into force.
#include "../standin2/kit.h"

namespace review {
namespace {

constexpr std::int64_t kDayMs = 24LL * 60 * 60 * 1000;
/// What the store's clock reads at the start of the script, before a day and,
/// without trouble, just after its own start.
constexpr std::int64_t kClockMs = kDayMs - 12000;
constexpr std::int64_t kYoungClockMs = 60000;
/// When the desired state changes, after the start of the script.
constexpr int kChangeAtMs = 15000;
/// The bound `config_apply`.
constexpr int kApplyMs = 2000;
/// Rounds of requests that are counted: each sends two at each machine.
constexpr int kRounds = 30;

int Send(const Host& entry, const std::string& host, const std::string& id) {
  const int status =
      Call(entry.entry, "GET", "/item",
           {{"Host", host}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "2000"}},
           "", 2500)
          .status();
  Log("client " + id + " " + host + " is answered " + std::to_string(status));
  return status;
}

int Play() {
  const TemporaryFolder folder;
  Store store(IsTroubled() ? kClockMs : kYoungClockMs);
  store.Put("op", "config",
            Document(1, {{"item.example", "/", "safe", "stock"},
                         {"depot.example", "/", "safe", "depot"}}));
  const std::vector<Host> hosts = {
      MakeHost("host-1", "stock"), MakeHost("host-2", "stock"),
      MakeHost("host-3", "depot"), MakeHost("host-4", "depot")};
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Host& host : hosts) {
    nodes.push_back(std::make_unique<Node>(
        host, NodeOptions{.store_port = store.port()}, folder.path()));
    nodes.back()->Start(/*bootstrap=*/true);
    servers.push_back(std::make_unique<Server>(
        host,
        ServerOptions{.instance = "i-" + host.name, .service = host.service}));
  }
  if (!WaitUntilServing(nodes, hosts.size(), 10000) ||
      Send(hosts[0], "item.example", "before") != 200)
    return Finish(kNotRun, "the deployment does not serve");
  while (Record::Get().Now() < kChangeAtMs)
    Sleep(10);
  store.Put("op", "config",
            Document(2, {{"item.example", "/", "safe", "depot"},
                         {"new.example", "/", "safe", "depot"},
                         {"depot.example", "/", "safe", "depot"}}));
  Log("the store confirms r2, its clock reads " +
      std::to_string(store.clock_ms()) + " ms");
  Sleep(kApplyMs + 200);
  const std::int64_t counted_from = Record::Get().Now();
  int missing = 0;
  int sent = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const Host& host : hosts) {
      const std::string id = "c" + std::to_string(++sent);
      Send(host, "item.example", id);
      missing += Send(host, "new.example", id + "n") == 404 ? 1 : 0;
    }
    Sleep(200);
  }
  int old_service = 0;
  for (const std::size_t i : {0, 1}) {
    for (const Run& run : servers[i]->runs())
      old_service += run.at_ms >= counted_from ? 1 : 0;
  }
  const std::string text =
      "later than `config_apply` after r2, " + std::to_string(old_service) +
      " of " + std::to_string(sent) + " requests ran at the old service and " +
      std::to_string(missing) + " of as many on the new route got 404";
  return old_service + missing > 0 ? Finish(kBroken, "CONFIG: " + text)
                                   : Finish(kHeld, text);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  review::Record::Get().Open(argc > 1 ? argv[1] : "record.txt");
  return review::Play();
}
