// Tests of the quotas of tenants in virtual time: many nodes, a network with
// delays, partitions and losses, and a checker that counts the admitted
// requests of all nodes in every window.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sesamespread/coordination/quota_borrower.h"
#include "sesamespread/coordination/quota_pool.h"

namespace sesamespread::coordination {
namespace {

using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 78;

Instant At(Duration time) {
  return Instant(seconds(1000) + time);
}

double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration OfSeconds(double time) {
  return Duration(static_cast<std::int64_t>(time * 1e6));
}

// What became of the requests of one tenant.
struct Result {
  std::vector<Instant> offered;
  std::vector<Instant> admitted;
  std::uint64_t refused = 0;
  Duration max_wait{0};
  double total_wait = 0;
};

// Simulates hosts with a borrower and a pool each. Messages arrive after 0.9 to
// 1.4 ms, in order between two hosts.
class QuotaWorld {
 public:
  explicit QuotaWorld(std::size_t hosts,
                      std::uint64_t seed = 1,
                      const QuotaOptions& options = {})
      : options_(options), random_(seed) {
    for (std::size_t i = 0; i < hosts; ++i)
      hosts_.push_back(MakeHost(i));
    now_ = At(Duration(0));
    KnowAllNodes();
  }

  // --- Faults

  // Messages between hosts for which this returns true are lost.
  std::function<bool(std::size_t, std::size_t)> is_cut =
      [](std::size_t, std::size_t) { return false; };
  // Added to the delay of messages.
  std::function<Duration(std::size_t, std::size_t)> extra_delay =
      [](std::size_t, std::size_t) { return Duration(0); };
  double loss = 0;
  // How long requests may wait.
  Duration patience = seconds(1);

  void Kill(std::size_t index) { hosts_[index]->is_alive = false; }

  // Ends the process on a host and starts another one.
  void Restart(std::size_t index) {
    hosts_[index]->is_alive = false;
    hosts_[index] = MakeHost(index);
    Host& host = *hosts_[index];
    host.borrower.SetNodes(NodeIds(), now_);
    host.pool.SetNodeCount(host.borrower.node_count(), now_);
    host.borrower.SetTenants(quotas_, now_);
    host.pool.SetTenants(quotas_, now_);
    Pump(index);
  }

  // The host does nothing until \p until; messages wait for it.
  void Pause(std::size_t index, Duration until) {
    hosts_[index]->paused_until = At(until);
  }

  // The links of \p index to all others close, or open.
  void SetLinks(std::size_t index, bool are_open) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (i == index)
        continue;
      if (are_open)
        hosts_[i]->borrower.OnReachable(IdOf(index), now_);
      else
        hosts_[i]->borrower.OnUnreachable(IdOf(index), now_);
      Pump(i);
    }
  }

  void AddHost() {
    hosts_.push_back(MakeHost(hosts_.size()));
    Host& host = *hosts_.back();
    host.borrower.SetTenants(quotas_, now_);
    host.pool.SetTenants(quotas_, now_);
  }

  void KnowAllNodes() {
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      KnowNodes(i, NodeIds());
  }

  void KnowNodes(std::size_t index, const std::vector<state::NodeId>& nodes) {
    Host& host = *hosts_[index];
    host.borrower.SetNodes(nodes, now_);
    host.pool.SetNodeCount(host.borrower.node_count(), now_);
    Pump(index);
  }

  // --- Tenants and requests

  void SetQuota(const std::string& name, state::RequestQuota quota) {
    QuotaTable table = *quotas_;
    table[state::HashOf(name)] = quota;
    quotas_ = std::make_shared<const QuotaTable>(std::move(table));
  }

  void ApplyQuotas() {
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      ApplyQuotasAt(i);
  }

  void ApplyQuotasAt(std::size_t index) {
    hosts_[index]->borrower.SetTenants(quotas_, now_);
    hosts_[index]->pool.SetTenants(quotas_, now_);
    Pump(index);
  }

  // Poisson arrivals of \p per_second requests over \p hosts together.
  void Offer(const std::string& name,
             double per_second,
             std::vector<std::size_t> hosts,
             Duration from,
             Duration until) {
    std::exponential_distribution<double> gap(per_second);
    std::uniform_int_distribution<std::size_t> pick(0, hosts.size() - 1);
    for (Duration t = from + OfSeconds(gap(random_)); t < until;
         t += OfSeconds(gap(random_))) {
      const std::size_t host = hosts[pick(random_)];
      Schedule(At(t), [this, name, host] { Arrive(name, host); });
    }
  }

  std::vector<std::size_t> AllHosts() const { return Range(0, hosts_.size()); }

  static std::vector<std::size_t> Range(std::size_t begin, std::size_t end) {
    std::vector<std::size_t> range;
    for (std::size_t i = begin; i < end; ++i)
      range.push_back(i);
    return range;
  }

  void Do(Duration at, std::function<void()> action) {
    Schedule(At(at), std::move(action));
  }

  void RunUntil(Duration until) {
    while (!events_.empty() && events_.top().at <= At(until)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = At(until);
  }

  // --- Observations

  Instant now() const { return now_; }
  Result& result(const std::string& name) { return results_[name]; }
  QuotaBorrower& borrower(std::size_t i) { return hosts_[i]->borrower; }
  QuotaPool& pool(std::size_t i) { return hosts_[i]->pool; }
  std::size_t hosts() const { return hosts_.size(); }

  std::size_t CoordinatorOf(const std::string& name, std::size_t seen_by) {
    const std::uint32_t shard =
        static_cast<std::uint32_t>(state::HashOf(name) % QuotaOptions().shards);
    const state::NodeId id = *hosts_[seen_by]->borrower.CoordinatorOf(shard);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (IdOf(i) == id)
        return i;
    }
    ADD_FAILURE() << "unknown coordinator";
    return 0;
  }

  // Sum of the shares of all pools that live.
  double TotalShare(std::uint32_t shard) {
    double total = 0;
    for (const auto& host : hosts_) {
      if (host->is_alive)
        total += host->pool.ShareOf(shard, now_);
    }
    return total;
  }

  // Reports that the host has sent to others, in messages per second.
  double ReportRate(std::size_t i, Duration time) const {
    return static_cast<double>(hosts_[i]->reports_sent) / InSeconds(time);
  }
  void ResetReportCounts() {
    for (const auto& host : hosts_)
      host->reports_sent = 0;
  }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t timers_run() const { return timers_run_; }

  static state::NodeId IdOf(std::size_t index) {
    return state::NodeIdOf("host-" + std::to_string(index));
  }

 private:
  struct Host {
    Host(state::NodeId id,
         const QuotaOptions& options,
         Instant start,
         std::uint64_t seed)
        : borrower(id, options, start, seed),
          pool(id, options, start, seed + 1) {}
    QuotaBorrower borrower;
    QuotaPool pool;
    bool is_alive = true;
    Instant paused_until{};
    Instant timer_at = Instant::max();
    std::uint64_t reports_sent = 0;
    // Requests that wait: tenant and arrival.
    std::map<std::uint64_t, std::pair<std::string, Instant>> waiting;
    std::uint64_t next_request = 1;
  };

  struct Event {
    Instant at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  std::shared_ptr<Host> MakeHost(std::size_t index) {
    return std::make_shared<Host>(IdOf(index), options_, now_, random_());
  }

  std::vector<state::NodeId> NodeIds() const {
    std::vector<state::NodeId> ids;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      ids.push_back(IdOf(i));
    return ids;
  }

  void Schedule(Instant at, std::function<void()> action) {
    events_.push({at, next_order_++, std::move(action)});
  }

  // Runs \p action on the process that host \p index is now, once the host is
  // not paused.
  void RunOnHost(const std::shared_ptr<Host>& host,
                 const std::function<void()>& action) {
    if (!host->is_alive)
      return;
    if (host->paused_until > now_) {
      Schedule(host->paused_until,
               [this, host, action] { RunOnHost(host, action); });
      return;
    }
    action();
  }

  void Arrive(const std::string& name, std::size_t index) {
    const std::shared_ptr<Host> host = hosts_[index];
    // No request arrives at a host that is down or paused.
    if (!host->is_alive || host->paused_until > now_)
      return;
    Result& result = results_[name];
    result.offered.push_back(now_);
    const std::uint64_t request = host->next_request++;
    const QuotaDecision decision = host->borrower.Request(
        state::HashOf(name), request, now_ + patience, now_);
    if (decision.state == QuotaState::kAdmitted)
      result.admitted.push_back(now_);
    else if (decision.state == QuotaState::kRefused)
      ++result.refused;
    else
      host->waiting[request] = {name, now_};
    Pump(index);
  }

  // Sends and delivers what the components of a host have produced.
  void Pump(std::size_t index) {
    const std::shared_ptr<Host> host = hosts_[index];
    for (std::vector<OutgoingQuotaReport> reports =
             host->borrower.TakeReports();
         !reports.empty(); reports = host->borrower.TakeReports()) {
      for (const OutgoingQuotaReport& outgoing : reports) {
        if (outgoing.to == IdOf(index)) {
          const auto grant = host->pool.OnReport(outgoing.report, now_);
          if (grant)
            host->borrower.OnGrant(*grant, now_);
          continue;
        }
        ++host->reports_sent;
        SendReport(index, outgoing);
      }
    }
    for (const QuotaOutcome& outcome : host->borrower.TakeOutcomes()) {
      const auto found = host->waiting.find(outcome.request);
      ASSERT_NE(found, host->waiting.end());
      Result& result = results_[found->second.first];
      const Duration wait = now_ - found->second.second;
      result.max_wait = std::max(result.max_wait, wait);
      if (outcome.is_admitted) {
        result.admitted.push_back(now_);
        result.total_wait += InSeconds(wait);
      } else {
        ++result.refused;
      }
      host->waiting.erase(found);
    }
    const Instant next = host->borrower.NextTimer(now_);
    if (next >= host->timer_at)
      return;
    host->timer_at = next;
    Schedule(std::max(next, now_ + Duration(1)), [this, host, index, next] {
      RunOnHost(host, [this, host, index, next] {
        // Replaced by an earlier one.
        if (host->timer_at != next)
          return;
        host->timer_at = Instant::max();
        ++timers_run_;
        host->borrower.OnTimer(now_);
        Pump(index);
      });
    });
  }

  void Send(std::size_t from, std::size_t to, std::function<void()> deliver) {
    ++messages_;
    if (is_cut(from, to) || std::bernoulli_distribution(loss)(random_))
      return;
    std::uniform_int_distribution<int> delay(900, 1400);
    Instant& last = last_arrival_[{from, to}];
    last = std::max(last + Duration(1),
                    now_ + Duration(delay(random_)) + extra_delay(from, to));
    const std::shared_ptr<Host> host = hosts_[to];
    Schedule(last, [this, host, deliver = std::move(deliver)] {
      RunOnHost(host, deliver);
    });
  }

  void SendReport(std::size_t from, const OutgoingQuotaReport& outgoing) {
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      if (IdOf(to) != outgoing.to)
        continue;
      Send(from, to, [this, from, to, report = outgoing.report] {
        const auto grant = hosts_[to]->pool.OnReport(report, now_);
        if (!grant)
          return;
        Send(to, from, [this, from, grant = *grant] {
          hosts_[from]->borrower.OnGrant(grant, now_);
          Pump(from);
        });
      });
    }
  }

  const QuotaOptions options_;
  std::mt19937_64 random_;
  Instant now_ = At(Duration(0));
  std::vector<std::shared_ptr<Host>> hosts_;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  std::shared_ptr<const QuotaTable> quotas_ =
      std::make_shared<const QuotaTable>();
  std::map<std::string, Result> results_;
  std::map<std::pair<std::size_t, std::size_t>, Instant> last_arrival_;
  std::uint64_t messages_ = 0;
  std::uint64_t timers_run_ = 0;
};

// The largest excess of the admitted requests over the bound in any window that
// starts at \p from or later; negative if the bound holds everywhere.
double WorstExcess(std::vector<Instant> admitted,
                   const state::RequestQuota& quota,
                   Duration from = Duration(0)) {
  const QuotaOptions options;
  const double bound =
      (quota.per_second * InSeconds(options.window) + quota.burst) *
          (1 + options.overrun) +
      options.slack;
  std::sort(admitted.begin(), admitted.end());
  std::erase_if(admitted, [from](Instant at) { return at < At(from); });
  std::size_t most = 0;
  for (std::size_t begin = 0, end = 0; begin < admitted.size(); ++begin) {
    while (end < admitted.size() &&
           admitted[end] - admitted[begin] <= options.window)
      ++end;
    most = std::max(most, end - begin);
  }
  return static_cast<double>(most) - bound;
}

// Requests between \p from and \p until that one exact token bucket, full at
// the start of the simulation, admits.
std::size_t ExactlyAdmitted(std::vector<Instant> offered,
                            const state::RequestQuota& quota,
                            Duration from,
                            Duration until) {
  std::sort(offered.begin(), offered.end());
  double tokens = quota.burst;
  Instant last = At(Duration(0));
  std::size_t admitted = 0;
  for (const Instant at : offered) {
    tokens =
        std::min(quota.burst, tokens + quota.per_second * InSeconds(at - last));
    last = at;
    if (tokens < 1)
      continue;
    tokens -= 1;
    if (at >= At(from) && at < At(until))
      ++admitted;
  }
  return admitted;
}

std::size_t CountBetween(const std::vector<Instant>& times,
                         Duration from,
                         Duration until) {
  return static_cast<std::size_t>(std::count_if(
      times.begin(), times.end(),
      [&](Instant at) { return at >= At(from) && at < At(until); }));
}

// Admitted requests over those that an exact bucket admits.
double Yield(const Result& result,
             const state::RequestQuota& quota,
             Duration from,
             Duration until) {
  return static_cast<double>(CountBetween(result.admitted, from, until)) /
         static_cast<double>(
             ExactlyAdmitted(result.offered, quota, from, until));
}

void Record(const std::string& name, double value) {
  testing::Test::RecordProperty(name, std::to_string(value));
  if (std::getenv("SESAMESPREAD_PRINT_FIGURES"))
    std::printf("  %s = %.4f\n", name.c_str(), value);
}

// The leases need this long after the start of all processes.
constexpr Duration kSettled = seconds(2);

const std::vector<state::RequestQuota>& Quotas() {
  static const std::vector<state::RequestQuota> kQuotas = {
      {3, 3}, {5, 5}, {40, 20}, {150, 60}, {600, 120}, {600, 600}};
  return kQuotas;
}

std::string NameOf(const state::RequestQuota& quota) {
  return "tenant-" + std::to_string(static_cast<int>(quota.per_second)) + "-" +
         std::to_string(static_cast<int>(quota.burst));
}

// Small quotas must not be lost in shares of less than a request, nor must
// large ones be exceeded by 78 hosts that use them at once.
TEST(QuotaTest, HotTenantsAtAllHostsGetTheirQuotas) {
  QuotaWorld world(kHosts);
  for (const state::RequestQuota& quota : Quotas())
    world.SetQuota(NameOf(quota), quota);
  world.ApplyQuotas();
  for (const state::RequestQuota& quota : Quotas()) {
    world.Offer(NameOf(quota), quota.per_second * 0.6, world.AllHosts(),
                Duration(0), seconds(20));
    world.Offer(NameOf(quota), quota.per_second * 0.6 * 6.5, world.AllHosts(),
                seconds(10), seconds(16));
  }
  world.RunUntil(seconds(21));
  for (const state::RequestQuota& quota : Quotas()) {
    const Result& result = world.result(NameOf(quota));
    const double calm = Yield(result, quota, seconds(2), seconds(10));
    const double hot = Yield(result, quota, seconds(10), seconds(16));
    Record(NameOf(quota) + " calm", calm);
    Record(NameOf(quota) + " hot", hot);
    Record(NameOf(quota) + " excess", WorstExcess(result.admitted, quota));
    EXPECT_LE(WorstExcess(result.admitted, quota), 0) << quota.per_second;
    EXPECT_GE(calm, 0.9) << quota.per_second;
    EXPECT_GE(hot, 0.9) << quota.per_second;
    EXPECT_LE(result.max_wait, QuotaOptions().max_wait + milliseconds(1));
  }
}

// A tenant that only 3 of 78 hosts serve is entitled to the shares of all.
TEST(QuotaTest, SkewedDemandGetsTheSharesOfAllHosts) {
  for (const state::RequestQuota& quota : Quotas()) {
    QuotaWorld world(kHosts);
    world.SetQuota("a", quota);
    world.ApplyQuotas();
    world.Offer("a", quota.per_second * 1.5, {5, 40, 77}, seconds(2),
                seconds(15));
    world.RunUntil(seconds(16));
    const Result& result = world.result("a");
    const double yield = Yield(result, quota, seconds(2), seconds(15));
    Record(NameOf(quota) + " skewed", yield);
    EXPECT_GE(yield, 0.9) << quota.per_second;
    EXPECT_LE(WorstExcess(result.admitted, quota), 0) << quota.per_second;
  }
}

// The demand moves to other hosts each second; the shares must follow.
TEST(QuotaTest, MovingDemandIsFollowedWithinASecond) {
  const state::RequestQuota quota{150, 60};
  QuotaWorld world(kHosts);
  world.SetQuota("a", quota);
  world.ApplyQuotas();
  for (int i = 2; i < 12; ++i)
    world.Offer("a", quota.per_second * 1.2,
                {static_cast<std::size_t>(i * 5), kHosts - 1 - i}, seconds(i),
                seconds(i + 1));
  world.RunUntil(seconds(13));
  const Result& result = world.result("a");
  const double yield = Yield(result, quota, seconds(2), seconds(12));
  Record("moving", yield);
  EXPECT_GE(yield, 0.9);
  EXPECT_LE(WorstExcess(result.admitted, quota), 0);
}

// Of the usual demand, no request may be refused or wait long that an exact
// bucket admits, also if a tenth of its latency objective is 25 ms.
TEST(QuotaTest, UsualDemandOfManyTenantsIsNotRefused) {
  for (const Duration patience : {milliseconds(1000), milliseconds(25)}) {
    QuotaWorld world(kHosts);
    world.patience = patience;
    std::vector<std::pair<std::string, state::RequestQuota>> tenants;
    for (int i = 0; i < 81; ++i) {
      const double rate = 3 * std::pow(200.0, i / 80.0);
      tenants.push_back({"tenant-" + std::to_string(i), {rate, 2 * rate}});
      world.SetQuota(tenants.back().first, tenants.back().second);
    }
    world.ApplyQuotas();
    for (const auto& [name, quota] : tenants)
      world.Offer(name, quota.per_second * 0.6, world.AllHosts(), kSettled,
                  seconds(8));
    world.RunUntil(kSettled);
    world.ResetReportCounts();
    world.RunUntil(seconds(8));
    double refused = 0;
    double waited = 0;
    double admitted = 0;
    for (const auto& [name, quota] : tenants) {
      const Result& result = world.result(name);
      refused += static_cast<double>(result.refused);
      waited += result.total_wait;
      admitted += static_cast<double>(result.admitted.size());
      EXPECT_LE(WorstExcess(result.admitted, quota), 0) << name;
      // An exact bucket refuses none of them either.
      EXPECT_EQ(ExactlyAdmitted(result.offered, quota, kSettled, seconds(8)),
                result.offered.size());
    }
    double reports = 0;
    for (std::size_t i = 0; i < kHosts; ++i)
      reports = std::max(reports, world.ReportRate(i, seconds(6)));
    // A timer that finds nothing to do and is set again at once would take all
    // of the processor.
    const double timers =
        static_cast<double>(world.timers_run()) / 8.0 / kHosts;
    Record("usual timers per second and host", timers);
    EXPECT_LE(timers, 150);
    Record("usual admitted", admitted);
    Record("usual refused", refused);
    Record("usual mean wait ms", waited / admitted * 1000);
    Record("usual most reports per second", reports);
    EXPECT_EQ(refused, 0);
    EXPECT_LE(waited / admitted, 0.025);
    EXPECT_LE(reports, 60);
  }
}

// A hot tenant must not cause a storm of messages.
TEST(QuotaTest, MessagesStayBoundedWhileATenantIsHot) {
  const state::RequestQuota quota{600, 120};
  for (const Duration patience : {milliseconds(1000), milliseconds(25)}) {
    QuotaWorld world(kHosts);
    world.patience = patience;
    world.SetQuota("a", quota);
    world.ApplyQuotas();
    world.Offer("a", quota.per_second * 0.6 * 7.5, world.AllHosts(), kSettled,
                seconds(8));
    world.RunUntil(kSettled);
    world.ResetReportCounts();
    const std::uint64_t before = world.messages();
    world.RunUntil(seconds(8));
    double most = 0;
    for (std::size_t i = 0; i < kHosts; ++i)
      most = std::max(most, world.ReportRate(i, seconds(6)));
    const double all =
        static_cast<double>(world.messages() - before) / 6.0 / kHosts;
    Record("hot most reports per second", most);
    Record("hot reports and grants per second and host", all);
    // On average over the hosts, and for the host that sends most.
    EXPECT_LE(all / 2, 20);
    EXPECT_LE(most, 24);
    EXPECT_GE(Yield(world.result("a"), quota, kSettled, seconds(8)), 0.9);
  }
}

// Without quotas there is neither a timer nor a message.
TEST(QuotaTest, WithoutQuotasNothingHappens) {
  QuotaWorld world(3);
  world.Offer("a", 100, world.AllHosts(), Duration(0), seconds(5));
  world.RunUntil(seconds(5));
  EXPECT_EQ(world.messages(), 0U);
  EXPECT_EQ(world.result("a").refused, 0U);
  EXPECT_EQ(world.borrower(0).NextTimer(world.now()), Instant::max());
  EXPECT_EQ(world.borrower(0).tracked_tenants(), 0U);
}

// The share of a dead coordinator's pool may be used by the next one only after
// the leases have ended, and must be used then.
TEST(QuotaTest, DeathOfTheCoordinatorKeepsTheBoundAndService) {
  for (const state::RequestQuota& quota : Quotas()) {
    for (const bool is_link_closed : {false, true}) {
      QuotaWorld world(kHosts);
      world.SetQuota("a", quota);
      world.ApplyQuotas();
      world.RunUntil(seconds(1));
      const std::size_t coordinator = world.CoordinatorOf("a", 0);
      world.Offer("a", quota.per_second * 5, world.AllHosts(), kSettled,
                  seconds(16));
      world.Do(milliseconds(7030), [&] {
        world.Kill(coordinator);
        if (is_link_closed)
          world.SetLinks(coordinator, false);
      });
      world.RunUntil(seconds(16));
      const Result& result = world.result("a");
      Record(NameOf(quota) + " death excess",
             WorstExcess(result.admitted, quota));
      EXPECT_LE(WorstExcess(result.admitted, quota), 0) << quota.per_second;
      const double after = Yield(result, quota, seconds(8), seconds(16));
      Record(NameOf(quota) + " after death", after);
      EXPECT_GE(after, 0.9) << quota.per_second;
    }
  }
}

// Each side of a partition has the shares of its own nodes only.
TEST(QuotaTest, PartitionKeepsTheBound) {
  for (const state::RequestQuota& quota : Quotas()) {
    QuotaWorld world(kHosts);
    world.SetQuota("a", quota);
    world.ApplyQuotas();
    bool is_partitioned = false;
    world.is_cut = [&](std::size_t a, std::size_t b) {
      return is_partitioned && a % 3 != b % 3;
    };
    world.Offer("a", quota.per_second * 5, world.AllHosts(), kSettled,
                seconds(30));
    world.Do(seconds(8), [&] { is_partitioned = true; });
    world.Do(seconds(18), [&] { is_partitioned = false; });
    world.RunUntil(seconds(30));
    const Result& result = world.result("a");
    const double during = Yield(result, quota, seconds(9), seconds(18));
    const double after = Yield(result, quota, seconds(28), seconds(30));
    Record(NameOf(quota) + " partition excess",
           WorstExcess(result.admitted, quota));
    Record(NameOf(quota) + " partition yield", during);
    Record(NameOf(quota) + " after partition", after);
    EXPECT_LE(WorstExcess(result.admitted, quota), 0) << quota.per_second;
    EXPECT_GE(during, 0.8) << quota.per_second;
  }
}

// If no host reaches another one, each has a fraction of a small quota. They
// must neither round it up to a whole request each nor down to none.
TEST(QuotaTest, IsolatedHostsUseFractionsOfQuotasOnAverage) {
  for (const std::uint64_t seed : {1, 2}) {
    for (const state::RequestQuota& quota : Quotas()) {
      QuotaWorld world(kHosts, seed);
      world.SetQuota("a", quota);
      world.ApplyQuotas();
      world.is_cut = [](std::size_t, std::size_t) { return true; };
      // At least ten requests per second and host: shares that are idle for
      // longer than the burst takes are lost.
      world.Offer("a", std::max(quota.per_second * 10, 10.0 * kHosts),
                  world.AllHosts(), seconds(3), seconds(23));
      world.RunUntil(seconds(23));
      const Result& result = world.result("a");
      const double yield = Yield(result, quota, seconds(8), seconds(23));
      Record(NameOf(quota) + " isolated excess",
             WorstExcess(result.admitted, quota));
      Record(NameOf(quota) + " isolated yield", yield);
      EXPECT_LE(WorstExcess(result.admitted, quota), 0)
          << quota.per_second << " seed " << seed;
      EXPECT_GE(yield, 0.9) << quota.per_second << " seed " << seed;
    }
  }
}

// Messages that arrive seconds late, or not at all, must not let two
// coordinators use the same share.
TEST(QuotaTest, DelaysLossesAndPausesNeverDoubleAShare) {
  for (const std::uint64_t seed : {11, 12, 13, 14}) {
    const state::RequestQuota quota{150, 60};
    QuotaWorld world(30, seed);
    std::mt19937_64 random(seed);
    world.SetQuota("a", quota);
    world.ApplyQuotas();
    world.Offer("a", quota.per_second * 4, world.AllHosts(), kSettled,
                seconds(40));
    std::set<std::pair<std::size_t, std::size_t>> slow;
    world.extra_delay = [&](std::size_t a, std::size_t b) {
      return slow.count({a, b}) > 0 ? Duration(milliseconds(700)) : Duration(0);
    };
    world.loss = 0.01;
    for (int i = 0; i < 60; ++i) {
      world.Do(seconds(3) + milliseconds(500) * i, [&, i] {
        slow.clear();
        for (int k = 0; k < 80; ++k)
          slow.insert({random() % 30, random() % 30});
        const std::size_t host = random() % 30;
        switch (i % 4) {
          case 0:
            world.Pause(host, seconds(3) + milliseconds(500) * i +
                                  milliseconds(random() % 900));
            break;
          case 1:
            world.Restart(host);
            break;
          case 2:
            world.SetLinks(host, false);
            break;
          default:
            // The coordinators of both shards are the most interesting hosts.
            world.Pause(world.CoordinatorOf("a", host),
                        seconds(3) + milliseconds(500) * i +
                            milliseconds(400 + random() % 400));
            break;
        }
      });
    }
    double most = 0;
    for (int i = 0; i < 4000; ++i)
      world.Do(milliseconds(10) * i, [&] {
        for (std::uint32_t shard = 0; shard < QuotaOptions().shards; ++shard)
          most = std::max(most, world.TotalShare(shard));
      });
    world.RunUntil(seconds(40));
    const Result& result = world.result("a");
    Record("faults excess", WorstExcess(result.admitted, quota));
    Record("faults most share", most);
    EXPECT_LE(most, 1 + 1e-9) << "seed " << seed;
    EXPECT_LE(WorstExcess(result.admitted, quota), 0) << "seed " << seed;
    EXPECT_GT(result.admitted.size(), 0U);
  }
}

// The tokens of a host that was paused are worthless when it resumes.
TEST(QuotaTest, PausedHostSpendsNoExpiredTokens) {
  const TenantId id = state::HashOf("a");
  for (const bool is_expired : {false, true}) {
    QuotaWorld world(kHosts);
    world.SetQuota("a", {600, 600});
    world.ApplyQuotas();
    world.Offer("a", 300, {3}, kSettled, seconds(4));
    world.RunUntil(seconds(4));
    const Duration later =
        is_expired ? QuotaOptions().token_lifetime : Duration(0);
    const QuotaDecision decision = world.borrower(3).Request(
        id, 1 << 30, world.now() + later + seconds(1), world.now() + later);
    EXPECT_EQ(decision.state,
              is_expired ? QuotaState::kWaiting : QuotaState::kAdmitted);
  }
}

// A lowered limit binds at once, also for the burst that has accumulated.
TEST(QuotaTest, LoweredLimitTakesEffectAtOnce) {
  const state::RequestQuota high{600, 600};
  const state::RequestQuota low{40, 20};
  QuotaWorld world(kHosts);
  world.SetQuota("a", high);
  world.ApplyQuotas();
  world.Offer("a", 900, world.AllHosts(), seconds(4), seconds(16));
  world.Do(seconds(8), [&] {
    world.SetQuota("a", low);
    world.ApplyQuotas();
  });
  world.RunUntil(seconds(16));
  const Result& result = world.result("a");
  // Granted tokens live on for 400 ms.
  EXPECT_LE(WorstExcess(result.admitted, low, milliseconds(8400)), 0);
  EXPECT_GE(Yield(result, low, seconds(10), seconds(16)), 0.9);
}

// New nodes count the old ones before these count them.
TEST(QuotaTest, AddedNodesKeepTheBound) {
  const state::RequestQuota quota{150, 60};
  QuotaWorld world(66);
  world.SetQuota("a", quota);
  world.ApplyQuotas();
  world.Offer("a", 900, world.AllHosts(), kSettled, seconds(20));
  world.Do(seconds(8), [&] {
    for (int i = 0; i < 12; ++i)
      world.AddHost();
    for (std::size_t i = 66; i < 78; ++i)
      world.KnowNodes(i, [&] {
        std::vector<state::NodeId> ids;
        for (std::size_t k = 0; k < 78; ++k)
          ids.push_back(QuotaWorld::IdOf(k));
        return ids;
      }());
  });
  for (std::size_t i = 0; i < 66; ++i)
    world.Do(seconds(9) + milliseconds(20) * i, [&world, i] {
      std::vector<state::NodeId> ids;
      for (std::size_t k = 0; k < 78; ++k)
        ids.push_back(QuotaWorld::IdOf(k));
      world.KnowNodes(i, ids);
    });
  world.RunUntil(seconds(20));
  const Result& result = world.result("a");
  Record("added excess", WorstExcess(result.admitted, quota));
  EXPECT_LE(WorstExcess(result.admitted, quota), 0);
  EXPECT_GE(Yield(result, quota, seconds(14), seconds(20)), 0.9);
}

// A node that knows no other one can't tell how many spend the quota.
TEST(QuotaTest, NodeWithoutOthersHasNoShare) {
  QuotaWorld world(1);
  world.SetQuota("a", {100, 100});
  world.ApplyQuotas();
  world.Offer("a", 100, {0}, kSettled, seconds(4));
  world.RunUntil(seconds(5));
  EXPECT_EQ(world.result("a").admitted.size(), 0U);
  EXPECT_GT(world.result("a").refused, 0U);
}

// A request that was refused before it reached a server must not cost a token.
TEST(QuotaTest, ReleasedTokenServesTheNextRequest) {
  QuotaWorld world(3);
  world.SetQuota("a", {1, 1});
  world.ApplyQuotas();
  world.RunUntil(seconds(4));
  world.Offer("a", 50, {0}, seconds(4), milliseconds(4200));
  world.RunUntil(milliseconds(4200));
  ASSERT_EQ(world.result("a").admitted.size(), 1U);
  const TenantId id = state::HashOf("a");
  world.borrower(0).Release(id, world.now());
  EXPECT_EQ(world.borrower(0)
                .Request(id, 1 << 30, world.now() + seconds(1), world.now())
                .state,
            QuotaState::kAdmitted);
  // Returned once, it is spent once.
  EXPECT_NE(world.borrower(0)
                .Request(id, 1 << 30, world.now() + seconds(1), world.now())
                .state,
            QuotaState::kAdmitted);
}

// A report that was overtaken, of another process or with an old stamp makes no
// lease.
TEST(QuotaPoolTest, StaleReportsMakeNoLease) {
  const QuotaOptions options;
  QuotaPool pool(1, options, At(Duration(0)), 1);
  pool.SetNodeCount(2, At(Duration(0)));
  QuotaReport report;
  report.node = 2;
  report.process = 7;
  report.sequence = 5;
  report.nodes = 2;
  report.lends = true;
  report.echo_us =
      static_cast<std::uint64_t>(At(seconds(1)).time_since_epoch().count());
  ASSERT_TRUE(pool.OnReport(report, At(milliseconds(1002))).has_value());
  EXPECT_EQ(pool.ShareOf(0, At(milliseconds(1301))), 0.5);
  EXPECT_EQ(pool.ShareOf(0, At(milliseconds(1303))), 0);
  // Overtaken.
  EXPECT_FALSE(pool.OnReport(report, At(milliseconds(1310))).has_value());
  // Sent up to 550 ms after the stamp; it may arrive at any time.
  report.sequence = 6;
  ASSERT_TRUE(pool.OnReport(report, At(milliseconds(1549))).has_value());
  EXPECT_EQ(pool.ShareOf(0, At(milliseconds(1549))), 0.5);
  EXPECT_EQ(pool.ShareOf(0, At(milliseconds(1550))), 0);
  report.sequence = 7;
  ASSERT_TRUE(pool.OnReport(report, At(milliseconds(1551))).has_value());
  EXPECT_EQ(pool.ShareOf(0, At(milliseconds(1551))), 0);
  // Stamps from before the process, or after now.
  for (const std::uint64_t echo : {std::uint64_t{1}, ~std::uint64_t{0}}) {
    ++report.sequence;
    report.echo_us = echo;
    ASSERT_TRUE(pool.OnReport(report, At(milliseconds(1552))).has_value());
    EXPECT_EQ(pool.ShareOf(0, At(milliseconds(1552))), 0);
  }
}

// An earlier process of the node may have leased its share to a coordinator
// that this process doesn't consider.
TEST(QuotaBorrowerTest, LendsOnlyAfterTheLeasesOfAnEarlierProcess) {
  const QuotaOptions options;
  const Instant start = At(Duration(0));
  QuotaBorrower borrower(1, options, start, 1);
  borrower.SetTenants(
      std::make_shared<const QuotaTable>(QuotaTable{{10, {100, 100}}}), start);
  borrower.SetNodes({1, 2, 3, 4, 5, 6, 7, 8}, start);
  Instant first_lease = Instant::max();
  for (Instant now = start; now < start + seconds(1); now += milliseconds(1)) {
    borrower.OnTimer(now);
    for (const OutgoingQuotaReport& outgoing : borrower.TakeReports()) {
      if (outgoing.report.lends)
        first_lease = std::min(first_lease, now);
      QuotaGrant grant;
      grant.node = outgoing.to;
      grant.process = 9;
      grant.shard = outgoing.report.shard;
      grant.sequence = outgoing.report.sequence;
      grant.stamp_us =
          static_cast<std::uint64_t>(now.time_since_epoch().count());
      grant.nodes = 8;
      borrower.OnGrant(grant, now);
    }
  }
  EXPECT_GE(first_lease, start + options.lender_lease);
  EXPECT_LE(first_lease, start + options.lender_lease + milliseconds(5));
}

// A timer for tokens that are no longer needed would run again and again.
TEST(QuotaBorrowerTest, SetsNoTimerForTokensThatAGrantHasBrought) {
  Instant now = At(Duration(0));
  QuotaBorrower borrower(1, QuotaOptions(), now, 1);
  borrower.SetTenants(
      std::make_shared<const QuotaTable>(QuotaTable{{10, {100, 100}}}), now);
  borrower.SetNodes({1, 2}, now);
  // Grants all tokens that the reports want.
  const auto grant_all = [&] {
    for (const OutgoingQuotaReport& outgoing : borrower.TakeReports()) {
      QuotaGrant grant;
      grant.node = outgoing.to;
      grant.shard = outgoing.report.shard;
      grant.sequence = outgoing.report.sequence;
      grant.stamp_us = 1;
      for (const QuotaWant& want : outgoing.report.wants)
        grant.granted.push_back(
            {want.tenant, want.waiting + want.prefetch, Duration(0)});
      borrower.OnGrant(grant, now);
    }
  };
  const auto request = [&] {
    return borrower.Request(10, 0, now + seconds(1), now).state;
  };
  grant_all();
  for (int i = 0; i < 40; ++i) {
    request();
    grant_all();
  }
  now += milliseconds(20);
  // Uses tokens until more are requested, and once more until the grant.
  std::vector<OutgoingQuotaReport> reports;
  while (reports.empty()) {
    ASSERT_EQ(request(), QuotaState::kAdmitted);
    reports = borrower.TakeReports();
  }
  ASSERT_EQ(request(), QuotaState::kAdmitted);
  QuotaGrant grant;
  grant.node = reports[0].to;
  grant.shard = reports[0].report.shard;
  grant.sequence = reports[0].report.sequence;
  grant.stamp_us = 1;
  grant.granted = {{10, reports[0].report.wants.at(0).prefetch, Duration(0)}};
  for (int i = 0; i < 10; ++i)
    borrower.Release(10, now);
  borrower.OnGrant(grant, now);
  EXPECT_TRUE(borrower.TakeReports().empty());
  EXPECT_GT(borrower.NextTimer(now), now);
}

// When a lease ends, the part of the burst that belongs to it ends as well: its
// lender leases it to another pool.
TEST(QuotaPoolTest, BucketsShrinkWithTheShare) {
  const QuotaOptions options;
  QuotaPool pool(1, options, At(Duration(0)), 1);
  pool.SetTenants(
      std::make_shared<const QuotaTable>(QuotaTable{{10, {20, 100}}}),
      At(Duration(0)));
  QuotaReport report;
  report.process = 1;
  report.nodes = 4;
  report.lends = true;
  const auto lend = [&](state::NodeId node, Duration at, bool lends) {
    report.node = node;
    ++report.sequence;
    report.lends = lends;
    report.echo_us =
        static_cast<std::uint64_t>(At(at).time_since_epoch().count());
    report.wants.clear();
    if (node == 1)
      report.wants = {{10, 1, 0}};
    const auto grant = pool.OnReport(report, At(at));
    ASSERT_TRUE(grant.has_value());
  };
  for (int i = 0; i < 150; ++i) {
    for (const state::NodeId node : {1, 2, 3, 4})
      lend(node, milliseconds(100) * i, true);
  }
  for (const state::NodeId node : {2, 3, 4})
    lend(node, seconds(15), false);
  for (const state::NodeId node : {2, 3, 4})
    lend(node, milliseconds(15001), true);
  report.node = 1;
  ++report.sequence;
  report.wants = {{10, 200, 0}};
  const auto grant = pool.OnReport(report, At(milliseconds(15002)));
  ASSERT_TRUE(grant.has_value());
  ASSERT_EQ(grant->granted.size(), 1U);
  EXPECT_LE(grant->granted[0].tokens, 26U);
  EXPECT_GE(grant->granted[0].tokens, 24U);
}

// Each coordinator that takes over starts with a part of the slack, not with
// the burst.
TEST(QuotaPoolTest, NewPoolStartsAlmostEmpty) {
  const QuotaOptions options;
  QuotaPool pool(1, options, At(Duration(0)), 1);
  pool.SetTenants(
      std::make_shared<const QuotaTable>(QuotaTable{{10, {100, 500}}}),
      At(Duration(0)));
  QuotaReport report;
  report.node = 1;
  report.process = 1;
  report.sequence = 1;
  report.nodes = 1;
  report.lends = true;
  report.echo_us =
      static_cast<std::uint64_t>(At(seconds(3)).time_since_epoch().count());
  report.wants = {{10, 600, 0}};
  const auto grant = pool.OnReport(report, At(seconds(3)));
  ASSERT_TRUE(grant.has_value());
  EXPECT_LE(grant->granted.at(0).tokens, options.initial_tokens + 1);
  EXPECT_GT(grant->granted.at(0).retry_after, Duration(0));
}

// Buckets are bounded, and an evicted one must not come back full.
TEST(QuotaPoolTest, EvictedBucketsRestartAlmostEmpty) {
  QuotaOptions options;
  options.max_buckets = 2;
  options.shards = 1;
  QuotaPool pool(1, options, At(Duration(0)), 1);
  pool.SetTenants(std::make_shared<const QuotaTable>(QuotaTable{
                      {10, {100, 100}}, {11, {100, 100}}, {12, {100, 100}}}),
                  At(Duration(0)));
  QuotaReport report;
  report.node = 1;
  report.process = 1;
  report.nodes = 1;
  report.lends = true;
  const auto ask = [&](TenantId tenant, Duration at) {
    ++report.sequence;
    report.echo_us =
        static_cast<std::uint64_t>(At(at).time_since_epoch().count());
    report.wants.clear();
    if (tenant != 0)
      report.wants = {{tenant, 200, 0}};
    const auto grant = pool.OnReport(report, At(at));
    return grant && !grant->granted.empty() ? grant->granted[0].tokens : 0;
  };
  for (int i = 0; i < 20; ++i)
    ask(0, milliseconds(100) * i);
  // Unused buckets have filled up.
  EXPECT_GE(ask(10, milliseconds(2000)), 100U);
  EXPECT_GE(ask(11, milliseconds(2001)), 100U);
  EXPECT_LE(ask(12, milliseconds(2002)), 6U);
  EXPECT_LE(ask(10, milliseconds(2003)), 6U);
  EXPECT_EQ(pool.buckets(), 2U);
}

}  // namespace
}  // namespace sesamespread::coordination
