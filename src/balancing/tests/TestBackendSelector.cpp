#include "balancing/BackendSelector.h"
#include "base/ManualClock.h"
#include "base/SeededRandom.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <set>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

constexpr ExtraAttemptLimits kBudget{ 0.2, 8, std::chrono::seconds(10) };

// Ten servers with four slots each in two failure domains.
struct SelectorFixture
{
  SelectorFixture()
  {
    for (int i = 0; i < 10; ++i) {
      BackendServerRecord record;
      record.id = "server-" + std::to_string(i);
      record.service = "permits";
      record.domain = i < 5 ? "near" : "far";
      record.slots = 4;
      records.push_back(record);
    }
    Publish();
    selector.SetBurstShare("permits", 1, 1, clock.Now());
  }

  void Publish()
  {
    selector.SetDirectory(
      std::make_shared<BackendDirectory>(++revision, records));
  }

  SelectionRequest Request(bool aIsIdempotent = false) const
  {
    SelectionRequest request;
    request.service = "permits";
    request.route = "approve";
    request.isIdempotent = aIsIdempotent;
    request.latencyObjective = 1s;
    request.remaining = 2s;
    request.host = "host-" + std::to_string(revision);
    request.domain = "near";
    return request;
  }

  // Selects aServer for a request of the host with the number aHost.
  Selection SelectOnly(const std::string& aServer, int aHost)
  {
    SelectionRequest request = Request(true);
    request.host = "host-" + std::to_string(aHost);
    for (const BackendServerRecord& record : records) {
      if (record.id != aServer) {
        request.excluded.push_back(record.id);
      }
    }
    const auto selection = selector.Select(request, clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    return *selection;
  }

  // Starts the server with the number aServer again under its id.
  void RestartServer(std::size_t aServer)
  {
    ++records[aServer].startedAt;
    Publish();
  }

  // Selects a server and finishes its attempt after 200 ms, unless the server
  // is in aUnresponsive.
  std::string ServeOne(const std::set<std::string>& aUnresponsive = {})
  {
    selector.OnHostMessage(Request().host, clock.Now());
    const auto selection = selector.Select(Request(), clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    due.emplace(clock.Now() + 200ms, *selection);
    clock.Advance(25ms);
    while (!due.empty() && due.begin()->first <= clock.Now()) {
      const Selection done = due.begin()->second;
      due.erase(due.begin());
      if (!aUnresponsive.contains(done.backendServer)) {
        selector.Finish(done.ticket, AttemptResult::Responded, clock.Now());
      }
    }
    return selection->backendServer;
  }

  ManualClock clock;
  SeededRandom random{ 3 };
  BackendSelector selector{ kBudget, random };
  std::vector<BackendServerRecord> records;
  std::uint64_t revision = 0;
  std::multimap<Instant, Selection> due;
};

// A shard of 24 servers with requests that are not idempotent. Servers 0 to 11
// take turns to leave their requests unanswered for the first 2.5 s of every
// 8 s, and are healthy again 2 s after that. Each server breaks the connection
// of an eighth of its requests.
struct FailingShard
{
  static constexpr int kServers = 24;
  static constexpr int kIntermittentServers = 12;
  static constexpr std::chrono::seconds kCycle{ 8 };
  static constexpr std::chrono::milliseconds kUnresponsiveTime{ 2'500 };
  static constexpr std::chrono::milliseconds kWindow{ 2'000 };
  // 100 requests per second.
  static constexpr std::chrono::milliseconds kStep{ 10 };

  FailingShard()
  {
    std::vector<BackendServerRecord> records;
    for (int i = 0; i < kServers; ++i) {
      BackendServerRecord record;
      record.id = std::to_string(i);
      record.service = "permits";
      record.domain = "near";
      record.slots = 2;
      records.push_back(record);
    }
    selector.SetDirectory(std::make_shared<BackendDirectory>(1, records));
  }

  // Time since the server last became unresponsive.
  Duration TimeInCycle(int aServer) const
  {
    return (clock.Now().time_since_epoch() +
            kCycle * aServer / kIntermittentServers) %
           std::chrono::duration_cast<Duration>(kCycle);
  }

  bool IsHealthy(int aServer) const
  {
    return aServer >= kIntermittentServers ||
           TimeInCycle(aServer) > kUnresponsiveTime + 2s + kWindow;
  }

  void SendOne()
  {
    SelectionRequest request;
    request.service = "permits";
    request.route = "approve";
    request.latencyObjective = 800ms;
    request.remaining = 1'500ms;
    request.domain = "near";
    request.host = "host-" + std::to_string(requests % 90);
    const Selection selection =
      selector.Select(request, clock.Now()).selection.value();
    const int server = std::stoi(selection.backendServer);
    ++requests;
    usedAt[static_cast<std::size_t>(server)] = clock.Now();
    const bool isUnresponsive =
      server < kIntermittentServers && TimeInCycle(server) < kUnresponsiveTime;
    const bool isBroken = random.Uniform() < 0.125;
    failures += isUnresponsive || isBroken ? 1 : 0;
    due.emplace(clock.Now() + (isUnresponsive ? 1'500ms : 170ms),
                std::pair{ selection.ticket,
                           isUnresponsive ? AttemptResult::NoResponse
                           : isBroken     ? AttemptResult::Broken
                                          : AttemptResult::Responded });
  }

  void Run(std::chrono::seconds aTime)
  {
    const Instant begin = clock.Now();
    while (clock.Now() - begin < aTime) {
      SendOne();
      clock.Advance(kStep);
      while (!due.empty() && due.begin()->first <= clock.Now()) {
        const auto [ticket, result] = due.begin()->second;
        due.erase(due.begin());
        selector.Finish(ticket, result, clock.Now());
      }
      if (clock.Now() - begin > 5s) {
        CountUnused();
      }
    }
  }

  void CountUnused()
  {
    int healthy = 0;
    int unused = 0;
    for (int i = 0; i < kServers; ++i) {
      if (IsHealthy(i)) {
        ++healthy;
        unused +=
          clock.Now() - usedAt[static_cast<std::size_t>(i)] > kWindow ? 1 : 0;
      }
    }
    worstUnusedShare =
      std::max(worstUnusedShare, static_cast<double>(unused) / healthy);
  }

  ManualClock clock;
  SeededRandom random{ 11 };
  BackendSelector selector{ kBudget, random };
  std::array<Instant, kServers> usedAt{};
  std::multimap<Instant, std::pair<std::uint64_t, AttemptResult>> due;
  int requests = 0;
  int failures = 0;
  double worstUnusedShare = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BackendSelection, SelectorFixture)

// Guards against learned preferences that leave healthy servers idle.
BOOST_AUTO_TEST_CASE(EveryHealthyServerGetsARequestWithinTwoSeconds)
{
  for (int i = 0; i < 80; ++i) {
    ServeOne();
  }
  std::map<std::string, Instant> last;
  for (int i = 0; i < 400; ++i) {
    const Instant now = clock.Now();
    last[ServeOne()] = now;
    if (i < 80) {
      continue;
    }
    for (const BackendServerRecord& record : records) {
      BOOST_TEST_REQUIRE((now - last[record.id] <= Duration(2s)), record.id);
    }
  }
}

// Guards against a server that stops responding and still gets new requests.
// The age of its pending requests must reveal it long before their deadlines.
BOOST_AUTO_TEST_CASE(AServerThatStopsRespondingIsAvoidedWithinASecond)
{
  for (int i = 0; i < 200; ++i) {
    ServeOne();
  }
  const std::string unresponsive = ServeOne();
  int late = 0;
  const Instant begin = clock.Now();
  for (int i = 0; i < 200; ++i) {
    const bool isLate = clock.Now() - begin > Duration(1s);
    late += ServeOne({ unresponsive }) == unresponsive && isLate ? 1 : 0;
  }
  BOOST_TEST(late <= 1);
  BOOST_TEST(selector.UnhealthyProbability(unresponsive, clock.Now()) > 0.3);
}

// Guards against a server that stays idle after it has recovered.
// Guards against healthy servers that get no requests since hosts died with
// requests under way there: no report about them arrives.
BOOST_AUTO_TEST_CASE(HostsThatDieLeaveNoEvidenceAgainstTheirServers)
{
  for (int i = 0; i < 80; ++i) {
    ServeOne();
  }
  SelectionRequest request = Request();
  for (int i = 5; i < 10; ++i) {
    request.excluded.push_back("server-" + std::to_string(i));
  }
  for (int i = 0; i < 10; ++i) {
    request.host = "dead-" + std::to_string(i);
    selector.OnHostMessage(request.host, clock.Now());
    BOOST_TEST(selector.Select(request, clock.Now()).selection.has_value());
  }
  // Until the requests would have ended.
  for (int i = 0; i < 20; ++i) {
    ServeOne();
  }
  std::set<std::string> used;
  for (int i = 0; i < 60; ++i) {
    used.insert(ServeOne());
  }
  BOOST_TEST(used.size() >= 7U);
}

BOOST_AUTO_TEST_CASE(ARecoveredServerGetsRequestsAgain)
{
  for (int i = 0; i < 100; ++i) {
    ServeOne();
  }
  const std::string unresponsive = ServeOne();
  for (int i = 0; i < 120; ++i) {
    ServeOne({ unresponsive });
  }
  int served = 0;
  for (int i = 0; i < 600; ++i) {
    served += ServeOne() == unresponsive ? 1 : 0;
  }
  BOOST_TEST(served > 3);
}

// Guards against servers with past episodes that stay idle for so long that a
// service falls below its floor.
BOOST_AUTO_TEST_CASE(
  ARecoveredServerWithPastEpisodesGetsARequestWithinTwoSeconds)
{
  for (int i = 0; i < 100; ++i) {
    ServeOne();
  }
  const std::string unresponsive = ServeOne();
  for (int episode = 0; episode < 3; ++episode) {
    for (int i = 0; i < 120; ++i) {
      ServeOne({ unresponsive });
    }
    for (int i = 0; i < 400; ++i) {
      ServeOne();
    }
  }
  Instant last = clock.Now();
  Duration longest{};
  for (int i = 0; i < 400; ++i) {
    const Instant now = clock.Now();
    if (ServeOne() == unresponsive) {
      longest = std::max(longest, now - last);
      last = now;
    }
  }
  BOOST_TEST((longest > Duration::zero()));
  BOOST_TEST((std::max(longest, clock.Now() - last) <= Duration(2s)));
}

// Guards against an owner that selects servers whose attempts are counted by
// other owners, and against refusing a request that another shard could serve.
BOOST_AUTO_TEST_CASE(AnOwnerSelectsFromItsShardWhileItHasAServer)
{
  records.clear();
  for (int i = 0; i < 100; ++i) {
    BackendServerRecord record;
    record.id = "server-" + std::to_string(i);
    record.service = "permits";
    record.domain = "near";
    records.push_back(record);
  }
  Publish();
  const BackendDirectory directory(1, records);
  SelectionRequest request = Request(true);
  request.shard = { 2, directory.ShardCount("permits") };
  BOOST_TEST_REQUIRE(request.shard.count == 4U);
  const auto& shard = directory.ServersOfShard("permits", { 2, 4 });
  for (std::size_t i = 0; i < shard.size(); ++i) {
    const auto selection = selector.Select(request, clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    BOOST_TEST(directory.ShardOf("permits", selection->backendServer).index ==
               2U);
    request.excluded.push_back(selection->backendServer);
  }
  const auto other = selector.Select(request, clock.Now()).selection;
  BOOST_TEST_REQUIRE(other.has_value());
  BOOST_TEST(directory.ShardOf("permits", other->backendServer).index != 2U);
}

BOOST_AUTO_TEST_SUITE(ServersThatAreAvoided)

BOOST_AUTO_TEST_CASE(IncludeDrainingServers)
{
  records[0].isDraining = true;
  Publish();
  for (int i = 0; i < 200; ++i) {
    BOOST_TEST(ServeOne() != "server-0");
  }
}

BOOST_AUTO_TEST_CASE(IncludeServersExcludedByTheRequest)
{
  SelectionRequest request = Request(true);
  for (const BackendServerRecord& record : records) {
    request.excluded.push_back(record.id);
  }
  request.excluded.pop_back();
  const auto result = selector.Select(request, clock.Now());
  BOOST_TEST_REQUIRE(result.selection.has_value());
  BOOST_TEST(result.selection->backendServer == records.back().id);
  request.excluded.push_back(records.back().id);
  const auto none = selector.Select(request, clock.Now());
  BOOST_TEST(!none.selection.has_value());
  BOOST_TEST(none.reason == "no-backend-server");
  BOOST_TEST((none.retryAfter > Duration::zero()));
}

// Guards against a broken path from one host that makes a server appear
// unhealthy to all hosts.
BOOST_AUTO_TEST_CASE(ExcludeAServerThatOnlyOneHostCannotReach)
{
  for (int i = 0; i < 100; ++i) {
    ServeOne();
  }
  SelectionRequest request = Request(true);
  request.host = "cut-off";
  for (const BackendServerRecord& record : records) {
    if (record.id != "server-1") {
      request.excluded.push_back(record.id);
    }
  }
  for (int i = 0; i < 20; ++i) {
    const auto selection = selector.Select(request, clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    selector.Finish(selection->ticket, AttemptResult::Unreachable, clock.Now());
    // The server responds to the other hosts at the same time.
    const auto other = Request(true);
    for (int j = 0; j < 10; ++j) {
      ServeOne();
    }
  }
  int served = 0;
  for (int i = 0; i < 200; ++i) {
    served += ServeOne() == "server-1" ? 1 : 0;
  }
  BOOST_TEST(served > 0);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a queue at one server while others have free slots.
BOOST_AUTO_TEST_CASE(RequestsAreSpreadBeforeTheyQueue)
{
  std::map<std::string, int> counts;
  for (int i = 0; i < 20; ++i) {
    const auto selection = selector.Select(Request(), clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    ++counts[selection->backendServer];
  }
  for (const auto& [server, count] : counts) {
    BOOST_TEST(count <= 4, server);
  }
}

// Guards against large responses that cross failure domains unnecessarily.
BOOST_AUTO_TEST_CASE(LargeResponsesStayInTheirDomain)
{
  SelectionRequest request = Request(true);
  request.hasLargeResponses = true;
  request.route = "manuals";
  for (int i = 0; i < 300; ++i) {
    const auto selection = selector.Select(request, clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    BOOST_TEST(selection->backendServer < "server-5");
    clock.Advance(50ms);
    selector.Finish(selection->ticket, AttemptResult::Responded, clock.Now());
  }
}

// Guards against recovered servers that stay idle while many requests fail at
// other servers, which reduces the capacity of the service.
BOOST_FIXTURE_TEST_CASE(RecoveredServersGetRequestsWhileOthersFail,
                        FailingShard)
{
  Run(120s);
  BOOST_TEST(failures > requests / 10);
  BOOST_TEST(worstUnusedShare <= 0.3);
}

BOOST_AUTO_TEST_SUITE(ExtraAttempts)

// Guards against a retry storm. First attempts are never refused for lack of
// budget.
BOOST_AUTO_TEST_CASE(StayWithinTheBudget)
{
  SelectionRequest retry = Request(true);
  retry.purpose = AttemptPurpose::Retry;
  int requests = 0;
  int retries = 0;
  for (int i = 0; i < 300; ++i) {
    const auto first = selector.Select(Request(true), clock.Now()).selection;
    BOOST_TEST_REQUIRE(first.has_value());
    ++requests;
    selector.Finish(first->ticket, AttemptResult::NotExecuted, clock.Now());
    retries += selector.Select(retry, clock.Now()).selection ? 1 : 0;
    clock.Advance(30ms);
  }
  BOOST_TEST(retries <= kBudget.ratio * requests + kBudget.burst);
  BOOST_TEST(retries >= kBudget.ratio * requests);
}

// Guards against a request that counts toward the ratio at two hosts: the one
// whose selection arrived too late, and the one that selected in its place.
BOOST_AUTO_TEST_CASE(AreNotEarnedByAnUnusedSelection)
{
  SelectionRequest retry = Request(true);
  retry.purpose = AttemptPurpose::Retry;
  while (selector.Select(retry, clock.Now()).selection) {
  }
  for (int i = 0; i < 100; ++i) {
    const auto first = selector.Select(Request(true), clock.Now()).selection;
    selector.Finish(first->ticket, AttemptResult::Unused, clock.Now());
    BOOST_TEST(!selector.Select(retry, clock.Now()).selection.has_value());
  }
  // Attempts for which another host selected the server don't count either.
  for (int i = 0; i < 100; ++i) {
    const auto ticket = selector.Track(Request(true), "server-0", clock.Now());
    selector.Finish(ticket, AttemptResult::Responded, clock.Now());
    BOOST_TEST(!selector.Select(retry, clock.Now()).selection.has_value());
  }
}

// Guards against retries that stay charged to the budget although they were not
// sent.
BOOST_AUTO_TEST_CASE(ThatWereNotSentAreReturnedToTheBudget)
{
  SelectionRequest retry = Request(true);
  retry.purpose = AttemptPurpose::Retry;
  for (int i = 0; i < 100; ++i) {
    const auto selection = selector.Select(retry, clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    clock.Advance(50ms);
    selector.Finish(selection->ticket,
                    i % 2 == 0 ? AttemptResult::Unused
                               : AttemptResult::Unreachable,
                    clock.Now());
  }
}

// Guards against a burst that is spent twice when one host takes over the share
// of another.
BOOST_AUTO_TEST_CASE(FromAnIncreasedBurstShareWaitForAWindow)
{
  SelectionRequest retry = Request(true);
  retry.purpose = AttemptPurpose::Retry;
  const auto spend = [&] {
    int spent = 0;
    while (selector.Select(retry, clock.Now()).selection) {
      ++spent;
    }
    return spent;
  };
  selector.SetBurstShare("permits", 0.25, 0, clock.Now());
  BOOST_TEST(spend() == 2);
  clock.Advance(11s);
  selector.SetBurstShare("permits", 1, 0.5, clock.Now());
  BOOST_TEST(spend() == 4);
  clock.Advance(9s);
  BOOST_TEST(spend() == 0);
  clock.Advance(2s);
  BOOST_TEST(spend() == 8);
}

// Guards against hedges that use up the budget for retries after failures.
BOOST_AUTO_TEST_CASE(AfterAFailureTakePrecedenceOverHedges)
{
  SelectionRequest hedge = Request(true);
  hedge.purpose = AttemptPurpose::Hedge;
  hedge.excluded = { "server-0" };
  while (selector.Select(hedge, clock.Now()).selection) {
  }
  SelectionRequest retry = Request(true);
  retry.purpose = AttemptPurpose::Retry;
  BOOST_TEST(selector.Select(retry, clock.Now()).selection.has_value());
}

// Guards against less urgent requests, and requests that would be late, which
// use up the budget while servers turn away urgent ones.
BOOST_AUTO_TEST_CASE(GoToUrgentRequestsThatCanEndInTime)
{
  SelectionRequest urgent = Request(true);
  urgent.purpose = AttemptPurpose::Retry;
  SelectionRequest lessUrgent = urgent;
  lessUrgent.priority = 1;
  SelectionRequest late = urgent;
  late.remaining = 1ms;
  BOOST_TEST(selector.Select(urgent, clock.Now()).selection.has_value());
  while (selector.Select(lessUrgent, clock.Now()).selection) {
  }
  BOOST_TEST(!selector.Select(late, clock.Now()).selection.has_value());
  BOOST_TEST(selector.Select(urgent, clock.Now()).selection.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against lost reports that make a server appear busy forever.
BOOST_AUTO_TEST_CASE(AttemptsWithoutAReportAreDropped)
{
  for (int i = 0; i < 30; ++i) {
    selector.Select(Request(), clock.Now());
  }
  BOOST_TEST(selector.PendingAttempts() == 30);
  clock.Advance(4s);
  selector.DropOverdue(clock.Now());
  BOOST_TEST(selector.PendingAttempts() == 0);
  // Late, duplicate and forged reports have no effect.
  selector.Finish(1, AttemptResult::Broken, clock.Now());
  BOOST_TEST(selector.UnhealthyProbability("server-0", clock.Now()) < 0.1);
}

// Guards against applying the history of an earlier run of a server.
BOOST_AUTO_TEST_CASE(ARestartedServerStartsWithNoHistory)
{
  for (int i = 0; i < 6; ++i) {
    const Selection selection = SelectOnly("server-2", i);
    selector.Finish(selection.ticket, AttemptResult::Broken, clock.Now());
  }
  BOOST_TEST(selector.UnhealthyProbability("server-2", clock.Now()) > 0.5);
  RestartServer(2);
  BOOST_TEST(selector.UnhealthyProbability("server-2", clock.Now()) < 0.1);
}

// Guards against applying the results of attempts at an earlier run of a
// server, most of which are known only after it has started again.
BOOST_AUTO_TEST_CASE(ARestartedServerIsNotJudgedByItsEarlierAttempts)
{
  constexpr int kAttempts = 6;
  std::vector<std::uint64_t> tickets;
  tickets.reserve(kAttempts);
  for (int i = 0; i < kAttempts; ++i) {
    tickets.push_back(SelectOnly("server-2", i).ticket);
  }
  RestartServer(2);
  for (const std::uint64_t ticket : tickets) {
    selector.Finish(ticket, AttemptResult::Broken, clock.Now());
  }
  BOOST_TEST(selector.PendingAttempts() == 0);
  BOOST_TEST(selector.UnhealthyProbability("server-2", clock.Now()) < 0.1);
}

// Guards against an idle connection to an earlier run of a server, on which the
// outcome of a request would be unknown.
BOOST_AUTO_TEST_CASE(ARestartedServerHasNotRespondedToItsEarlierAttempts)
{
  clock.Advance(10s);
  const Selection earlier = SelectOnly("server-2", 0);
  RestartServer(2);
  selector.Finish(earlier.ticket, AttemptResult::Responded, clock.Now());
  BOOST_TEST(!SelectOnly("server-2", 1).hasRespondedRecently);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Latencies)

BOOST_AUTO_TEST_CASE(AreLearnedFromResponses)
{
  LatencyModel model(1s);
  for (int i = 0; i < 300; ++i) {
    model.Add(100ms + std::chrono::milliseconds(i % 100));
  }
  BOOST_TEST((model.Quantile(0.5) > Duration(100ms)));
  BOOST_TEST((model.Quantile(0.5) < Duration(220ms)));
  BOOST_TEST(model.Survival(20ms) > 0.95);
  BOOST_TEST(model.Survival(2s) < 0.05);
  BOOST_TEST(model.Survival(std::chrono::hours(1)) > 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
