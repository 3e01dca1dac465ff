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

constexpr RepeatBudgetLimits kBudget{ 0.2, 8, std::chrono::seconds(10) };

// Ten servers of four slots in two failure domains.
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

  // Chooses a server and lets it answer after 200 ms, unless aSick holds it.
  std::string ServeOne(const std::set<std::string>& aSick = {})
  {
    const auto selection = selector.Select(Request(), clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    due.emplace(clock.Now() + 200ms, *selection);
    clock.Advance(25ms);
    while (!due.empty() && due.begin()->first <= clock.Now()) {
      const Selection done = due.begin()->second;
      due.erase(due.begin());
      if (!aSick.contains(done.backendServer)) {
        selector.Finish(done.ticket, AttemptResult::Answered, clock.Now());
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

// A shard of 24 servers whose requests may run once only. Servers 0 to 11 hold
// their requests for 2.5 s in 8 by turns and are sound from 2 s after that;
// each server breaks off an eighth of its requests.
struct TroubledShard
{
  static constexpr int kServers = 24;
  static constexpr int kHolding = 12;
  static constexpr std::chrono::seconds kCycle{ 8 };
  static constexpr std::chrono::milliseconds kHeld{ 2'500 };
  static constexpr std::chrono::milliseconds kWindow{ 2'000 };
  // 100 requests a second.
  static constexpr std::chrono::milliseconds kStep{ 10 };

  TroubledShard()
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

  // Since it began to hold its requests for the last time.
  Duration InCycle(int aServer) const
  {
    return (clock.Now().time_since_epoch() + kCycle * aServer / kHolding) %
           std::chrono::duration_cast<Duration>(kCycle);
  }

  bool IsSound(int aServer) const
  {
    return aServer >= kHolding || InCycle(aServer) > kHeld + 2s + kWindow;
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
    const bool isHeld = server < kHolding && InCycle(server) < kHeld;
    const bool isBroken = random.Uniform() < 0.125;
    failures += isHeld || isBroken ? 1 : 0;
    due.emplace(clock.Now() + (isHeld ? 1'500ms : 170ms),
                std::pair{ selection.ticket,
                           isHeld     ? AttemptResult::NoResponse
                           : isBroken ? AttemptResult::Broken
                                      : AttemptResult::Answered });
  }

  void Play(std::chrono::seconds aTime)
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
    int sound = 0;
    int unused = 0;
    for (int i = 0; i < kServers; ++i) {
      if (IsSound(i)) {
        ++sound;
        unused +=
          clock.Now() - usedAt[static_cast<std::size_t>(i)] > kWindow ? 1 : 0;
      }
    }
    worstUnusedShare =
      std::max(worstUnusedShare, static_cast<double>(unused) / sound);
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

// Guards against learned preferences that leave healthy servers without work.
BOOST_AUTO_TEST_CASE(EveryHealthyServerGetsWorkWithinTwoSeconds)
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

// Guards against a server that holds its requests and still gets new ones: the
// age of what is unanswered has to tell, long before the time limit.
BOOST_AUTO_TEST_CASE(AServerThatStopsAnsweringLosesWorkWithinASecond)
{
  for (int i = 0; i < 200; ++i) {
    ServeOne();
  }
  const std::string sick = ServeOne();
  int late = 0;
  const Instant begin = clock.Now();
  for (int i = 0; i < 200; ++i) {
    const bool isLate = clock.Now() - begin > Duration(1s);
    late += ServeOne({ sick }) == sick && isLate ? 1 : 0;
  }
  BOOST_TEST(late <= 1);
  BOOST_TEST(selector.SickProbability(sick, clock.Now()) > 0.3);
}

// Guards against a server that stays without work after it has recovered.
BOOST_AUTO_TEST_CASE(ARecoveredServerGetsWorkAgain)
{
  for (int i = 0; i < 100; ++i) {
    ServeOne();
  }
  const std::string sick = ServeOne();
  for (int i = 0; i < 120; ++i) {
    ServeOne({ sick });
  }
  int served = 0;
  for (int i = 0; i < 600; ++i) {
    served += ServeOne() == sick ? 1 : 0;
  }
  BOOST_TEST(served > 3);
}

// Guards against servers that had episodes and then wait so long for work that
// a service falls below its floor.
BOOST_AUTO_TEST_CASE(AServerWithEpisodesGetsWorkWithinTwoSecondsOnceItIsWell)
{
  for (int i = 0; i < 100; ++i) {
    ServeOne();
  }
  const std::string sick = ServeOne();
  for (int episode = 0; episode < 3; ++episode) {
    for (int i = 0; i < 120; ++i) {
      ServeOne({ sick });
    }
    for (int i = 0; i < 400; ++i) {
      ServeOne();
    }
  }
  Instant last = clock.Now();
  Duration longest{};
  for (int i = 0; i < 400; ++i) {
    const Instant now = clock.Now();
    if (ServeOne() == sick) {
      longest = std::max(longest, now - last);
      last = now;
    }
  }
  BOOST_TEST((longest > Duration::zero()));
  BOOST_TEST((std::max(longest, clock.Now() - last) <= Duration(2s)));
}

// Guards against an owner that gives out servers of which others keep count,
// and against a request that is refused while another shard could serve it.
BOOST_AUTO_TEST_CASE(AnOwnerChoosesFromItsShardAsLongAsItHasAServer)
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

BOOST_AUTO_TEST_SUITE(KeepsAway)

BOOST_AUTO_TEST_CASE(FromDrainingServers)
{
  records[0].isDraining = true;
  Publish();
  for (int i = 0; i < 200; ++i) {
    BOOST_TEST(ServeOne() != "server-0");
  }
}

BOOST_AUTO_TEST_CASE(FromServersThatTheRequestExcludes)
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

// Guards against one host's broken path that makes a server look sick to all.
BOOST_AUTO_TEST_CASE(NotFromAServerThatOnlyOneHostCannotReach)
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
    // Meanwhile the server answers the others.
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

// Guards against one server that gets a queue while others have free slots.
BOOST_AUTO_TEST_CASE(WorkIsSpreadBeforeItQueues)
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

// Guards against large responses that cross failure domains without need.
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
    selector.Finish(selection->ticket, AttemptResult::Answered, clock.Now());
  }
}

// Guards against servers that are well again and stay without work while many
// requests fail elsewhere, so that the service has less capacity than it could.
BOOST_FIXTURE_TEST_CASE(RecoveredServersGetWorkWhileRequestsFail, TroubledShard)
{
  Play(120s);
  BOOST_TEST(failures > requests / 10);
  BOOST_TEST(worstUnusedShare <= 0.3);
}

BOOST_AUTO_TEST_SUITE(Repeats)

// Guards against a storm of repeats; first attempts are never refused for it.
BOOST_AUTO_TEST_CASE(StayWithinTheBudget)
{
  SelectionRequest repeat = Request(true);
  repeat.purpose = AttemptPurpose::Repeat;
  int requests = 0;
  int repeats = 0;
  for (int i = 0; i < 300; ++i) {
    const auto first = selector.Select(Request(true), clock.Now()).selection;
    BOOST_TEST_REQUIRE(first.has_value());
    ++requests;
    selector.Finish(first->ticket, AttemptResult::NotExecuted, clock.Now());
    repeats += selector.Select(repeat, clock.Now()).selection ? 1 : 0;
    clock.Advance(30ms);
  }
  BOOST_TEST(repeats <= kBudget.ratio * requests + kBudget.burst);
  BOOST_TEST(repeats >= kBudget.ratio * requests);
}

// Guards against a request that earns a repeat at two hosts: one whose choice
// came too late, and the one that chose in its place.
BOOST_AUTO_TEST_CASE(AreNotEarnedByAChoiceThatWasNotUsed)
{
  SelectionRequest repeat = Request(true);
  repeat.purpose = AttemptPurpose::Repeat;
  while (selector.Select(repeat, clock.Now()).selection) {
  }
  for (int i = 0; i < 100; ++i) {
    const auto first = selector.Select(Request(true), clock.Now()).selection;
    selector.Finish(first->ticket, AttemptResult::Unused, clock.Now());
    BOOST_TEST(!selector.Select(repeat, clock.Now()).selection.has_value());
  }
  // Nor by attempts that another host chose and this one only counts.
  for (int i = 0; i < 100; ++i) {
    const auto ticket = selector.Track(Request(true), "server-0", clock.Now());
    selector.Finish(ticket, AttemptResult::Answered, clock.Now());
    BOOST_TEST(!selector.Select(repeat, clock.Now()).selection.has_value());
  }
}

// Guards against repeats that are lost to the budget although they were not
// sent.
BOOST_AUTO_TEST_CASE(ThatWereNotSentAreGivenBack)
{
  SelectionRequest repeat = Request(true);
  repeat.purpose = AttemptPurpose::Repeat;
  for (int i = 0; i < 100; ++i) {
    const auto selection = selector.Select(repeat, clock.Now()).selection;
    BOOST_TEST_REQUIRE(selection.has_value());
    clock.Advance(50ms);
    selector.Finish(selection->ticket,
                    i % 2 == 0 ? AttemptResult::Unused
                               : AttemptResult::Unreachable,
                    clock.Now());
  }
}

// Guards against a burst that is spent twice when a host takes the share of
// another one over.
BOOST_AUTO_TEST_CASE(OfABurstShareThatGrowsWaitForAWindow)
{
  SelectionRequest repeat = Request(true);
  repeat.purpose = AttemptPurpose::Repeat;
  const auto spend = [&] {
    int spent = 0;
    while (selector.Select(repeat, clock.Now()).selection) {
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

// Guards against hedges that spend what requests after a failure need.
BOOST_AUTO_TEST_CASE(AfterAFailureGoBeforeHedges)
{
  SelectionRequest hedge = Request(true);
  hedge.purpose = AttemptPurpose::Hedge;
  hedge.excluded = { "server-0" };
  while (selector.Select(hedge, clock.Now()).selection) {
  }
  SelectionRequest repeat = Request(true);
  repeat.purpose = AttemptPurpose::Repeat;
  BOOST_TEST(selector.Select(repeat, clock.Now()).selection.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against lost reports that make a server look busy for good.
BOOST_AUTO_TEST_CASE(AttemptsWithoutAReportAreForgotten)
{
  for (int i = 0; i < 30; ++i) {
    selector.Select(Request(), clock.Now());
  }
  BOOST_TEST(selector.PendingAttempts() == 30);
  clock.Advance(4s);
  selector.DropOverdue(clock.Now());
  BOOST_TEST(selector.PendingAttempts() == 0);
  // Late, doubled and invented reports do no harm.
  selector.Finish(1, AttemptResult::Broken, clock.Now());
  BOOST_TEST(selector.SickProbability("server-0", clock.Now()) < 0.1);
}

// Guards against the reputation of an earlier run of a server.
BOOST_AUTO_TEST_CASE(ARestartedServerBeginsAnew)
{
  for (int i = 0; i < 6; ++i) {
    SelectionRequest request = Request(true);
    request.host = "host-" + std::to_string(i);
    for (const BackendServerRecord& record : records) {
      if (record.id != "server-2") {
        request.excluded.push_back(record.id);
      }
    }
    const auto selection = selector.Select(request, clock.Now()).selection;
    selector.Finish(selection->ticket, AttemptResult::Broken, clock.Now());
  }
  BOOST_TEST(selector.SickProbability("server-2", clock.Now()) > 0.5);
  records[2].startedAt = 1;
  Publish();
  BOOST_TEST(selector.SickProbability("server-2", clock.Now()) < 0.1);
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
