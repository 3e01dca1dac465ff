#include "SchedulerFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace filbertbeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(SchedulingOfAShard)

BOOST_AUTO_TEST_SUITE(Slots)

// Guards against assigning more requests than there are slots, which backend
// servers respond to with sheds.
BOOST_AUTO_TEST_CASE(ARequestHoldsItsSlotUntilItCompletes)
{
  SchedulerFixture fixture;
  for (int i = 0; i < 6; ++i) {
    fixture.Submit("customer");
  }
  const auto first = fixture.Dispatch();
  BOOST_TEST(first.size() == 4U);
  BOOST_TEST(fixture.ReportOf("a").usedSlots == 2);
  BOOST_TEST(fixture.ReportOf("b").usedSlots == 2);
  BOOST_TEST(fixture.Dispatch().empty());
  fixture.Complete(first[0].requestId);
  fixture.Complete(first[0].requestId);
  const auto second = fixture.Dispatch();
  BOOST_TEST(second.size() == 1U);
  BOOST_TEST(second[0].backendServer == first[0].backendServer);
}

// Guards against a count of used slots that is lost when a server is removed
// and added again while it still runs requests.
BOOST_AUTO_TEST_CASE(UsedSlotsSurviveRemovalAndReaddition)
{
  SchedulerFixture fixture({ { "a", 2 } });
  fixture.Submit("customer");
  fixture.Submit("customer");
  const auto running = fixture.Dispatch();
  BOOST_TEST(running.size() == 2U);
  fixture.SetServers({ { "b", 1 } });
  fixture.SetServers({ { "a", 2 }, { "b", 1 } });
  BOOST_TEST(fixture.ReportOf("a").usedSlots == 2);
  fixture.Complete(running[0].requestId);
  BOOST_TEST(fixture.ReportOf("a").usedSlots == 1);
}

// Guards against new requests for a server that has fewer slots now than it
// runs requests.
BOOST_AUTO_TEST_CASE(ReducedSlotsKeepRunningRequests)
{
  SchedulerFixture fixture({ { "a", 3 } });
  for (int i = 0; i < 4; ++i) {
    fixture.Submit("customer");
  }
  const auto running = fixture.Dispatch();
  BOOST_TEST(running.size() == 3U);
  fixture.SetServers({ { "a", 1 } });
  fixture.Complete(running[0].requestId);
  fixture.Complete(running[1].requestId);
  BOOST_TEST(fixture.Dispatch().empty());
  fixture.Complete(running[2].requestId);
  BOOST_TEST(fixture.Dispatch().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Leaving)

// Guards against new requests for a server that is about to stop.
BOOST_AUTO_TEST_CASE(ALeavingServerGetsNothingMore)
{
  SchedulerFixture fixture;
  fixture.SetServers({ { "a", 2, true }, { "b", 2 } });
  for (int i = 0; i < 4; ++i) {
    fixture.Submit("customer");
  }
  for (const Assignment& assignment : fixture.Dispatch()) {
    BOOST_TEST(assignment.backendServer == "b");
  }
  BOOST_TEST((fixture.StateOf("a") == ServerState::Leaving));
}

// Guards against requests that wait although no server will run them.
BOOST_AUTO_TEST_CASE(WithoutServersRequestsAreRefusedAtOnce)
{
  SchedulerFixture fixture({ { "a", 1 } });
  fixture.Submit("customer");
  const auto running = fixture.Dispatch();
  const std::uint64_t waiting = fixture.Submit("customer");
  fixture.SetServers({ { "a", 1, true } });
  BOOST_TEST((fixture.Scheduler().NextEvent(fixture.Now()) == fixture.Now()));
  const auto refusals = fixture.Expire();
  BOOST_TEST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(refusals[0].requestId == waiting);
  BOOST_TEST((refusals[0].reason == RefusalReason::NoBackendServer));
  BOOST_TEST((fixture.Scheduler().Submit(fixture.MakeRequest("customer"),
                                         fixture.Now()) ==
              RefusalReason::NoBackendServer));
  fixture.Complete(running[0].requestId);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Waiting)

struct WaitCase
{
  const char* name;
  RequestClass requestClass;
  Duration deadline;
  Duration expectedWait;
  RefusalReason reason;
};

// Guards against callers that wait longer than the limit for their class, and
// against requests that are sent after their deadline.
BOOST_AUTO_TEST_CASE(WaitsAreBoundedByClassAndDeadline)
{
  const WaitCase cases[] = {
    { "in-contract",
      RequestClass::InContract,
      30s,
      1s,
      RefusalReason::WaitExceeded },
    { "in-contract, early deadline",
      RequestClass::InContract,
      300ms,
      300ms,
      RefusalReason::DeadlinePassed },
    { "excess", RequestClass::Excess, 30s, 50ms, RefusalReason::NoSpareSlot },
    { "excess, early deadline",
      RequestClass::Excess,
      20ms,
      20ms,
      RefusalReason::DeadlinePassed },
  };
  for (const WaitCase& item : cases) {
    BOOST_TEST_CONTEXT(item.name)
    {
      SchedulerFixture fixture({ { "a", 1 } });
      fixture.Submit("other");
      const auto running = fixture.Dispatch();
      ShardRequest request =
        fixture.MakeRequest("customer", 10, item.requestClass);
      request.deadline = fixture.Now() + item.deadline;
      BOOST_TEST(
        !fixture.Scheduler().Submit(request, fixture.Now()).has_value());
      fixture.Advance(item.expectedWait - 1ms);
      BOOST_TEST(fixture.Expire().empty());
      fixture.Advance(1ms);
      fixture.Complete(running[0].requestId);
      BOOST_TEST(fixture.Dispatch().empty());
      const auto refusals = fixture.Expire();
      BOOST_TEST_REQUIRE(refusals.size() == 1U);
      BOOST_TEST((refusals[0].reason == item.reason));
    }
  }
}

// Guards against one customer that fills the queue, and against excess requests
// that displace in-contract ones.
BOOST_AUTO_TEST_CASE(QueueLimitsFollowFromThePromise)
{
  SchedulerFixture fixture({ { "a", 1 } });
  fixture.Submit("other");
  fixture.Dispatch();
  const auto count = [&fixture](std::string_view aCustomer,
                                double aPromise,
                                RequestClass aClass) {
    int accepted = 0;
    for (int i = 0; i < 100; ++i) {
      const auto refusal = fixture.Scheduler().Submit(
        fixture.MakeRequest(aCustomer, aPromise, aClass), fixture.Now());
      accepted += refusal ? 0 : 1;
      if (refusal) {
        BOOST_TEST((*refusal == RefusalReason::QueueFull));
      }
    }
    return accepted;
  };
  BOOST_TEST(count("small", 0.5, RequestClass::InContract) == 4);
  BOOST_TEST(count("large", 25, RequestClass::Excess) == 25);
  BOOST_TEST(count("large", 25, RequestClass::InContract) == 25);
}

// Guards against a request that is both cancelled and assigned or refused.
BOOST_AUTO_TEST_CASE(ACancelledRequestIsNotReturned)
{
  SchedulerFixture fixture({ { "a", 1 } });
  fixture.Submit("other");
  const auto running = fixture.Dispatch();
  const std::uint64_t cancelled = fixture.Submit("customer");
  BOOST_TEST(fixture.Scheduler().Cancel(cancelled));
  BOOST_TEST(!fixture.Scheduler().Cancel(cancelled));
  BOOST_TEST(!fixture.Scheduler().Cancel(running[0].requestId));
  fixture.Complete(running[0].requestId);
  BOOST_TEST(fixture.Dispatch().empty());
  fixture.Advance(2s);
  BOOST_TEST(fixture.Expire().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Classes)

// Guards against excess requests that are served before in-contract ones.
BOOST_AUTO_TEST_CASE(InContractRequestsAreServedFirst)
{
  SchedulerFixture fixture({ { "a", 1 } });
  fixture.Submit("other");
  auto running = fixture.Dispatch();
  fixture.Submit("greedy", 1000, RequestClass::Excess);
  const std::uint64_t promised = fixture.Submit("small", 1);
  fixture.Complete(running[0].requestId);
  running = fixture.Dispatch();
  BOOST_TEST_REQUIRE(running.size() == 1U);
  BOOST_TEST(running[0].requestId == promised);
}

struct SpareCase
{
  int servers;
  int slots;
  std::size_t excessServed;
};

// Guards against excess requests that use the last free slots of a large shard.
BOOST_AUTO_TEST_CASE(ExcessLeavesAnEighthOfTheSlotsFree)
{
  const SpareCase cases[] = {
    { 1, 1, 1 }, { 2, 2, 4 }, { 1, 7, 7 }, { 2, 4, 7 }, { 7, 4, 25 }
  };
  for (const SpareCase& item : cases) {
    BOOST_TEST_CONTEXT(item.servers << " servers, " << item.slots << " slots")
    {
      std::vector<SchedulerFixture::ServerSpec> servers;
      servers.reserve(static_cast<std::size_t>(item.servers));
      for (int i = 0; i < item.servers; ++i) {
        servers.push_back(
          { std::string(1, static_cast<char>('a' + i)), item.slots });
      }
      SchedulerFixture fixture(servers);
      for (int i = 0; i < 100; ++i) {
        fixture.Submit("greedy", 1000, RequestClass::Excess);
      }
      BOOST_TEST(fixture.Dispatch().size() == item.excessServed);
    }
  }
}

// Guards against spare slots that stay idle while a customer sends more than
// its promise.
BOOST_AUTO_TEST_CASE(AHeavyCustomerGetsTheSpareSlots)
{
  SchedulerFixture fixture;
  fixture.Submit("light", 10);
  for (int i = 0; i < 10; ++i) {
    fixture.Submit("heavy", 10, RequestClass::Excess);
  }
  BOOST_TEST(fixture.Dispatch().size() == 4U);
}

// Guards against a heavy customer that gets more than its weight while all
// customers have requests queued.
BOOST_AUTO_TEST_CASE(AHeavyCustomerGetsItsWeightWhenAllAreBusy)
{
  SchedulerFixture fixture({ { "a", 1 } });
  std::map<std::uint64_t, std::string> customers;
  std::map<std::string, int> waiting;
  std::map<std::string, int> served;
  const int lights = 50;
  const int rounds = 2040;
  for (int i = 0; i < rounds; ++i) {
    // The heavy customer keeps 20 requests queued, the light ones one each.
    while (waiting["heavy"] < 20) {
      customers[fixture.Submit("heavy", 20)] = "heavy";
      waiting["heavy"] += 1;
    }
    for (int light = 0; light < lights; ++light) {
      const std::string name = "light" + std::to_string(light);
      if (waiting[name] == 0) {
        customers[fixture.Submit(name, 20)] = name;
        waiting[name] = 1;
      }
    }
    const auto running = fixture.Dispatch();
    BOOST_TEST_REQUIRE(running.size() == 1U);
    const std::string& name = customers.at(running[0].requestId);
    served[name] += 1;
    waiting[name] -= 1;
    fixture.Complete(running[0].requestId);
  }
  BOOST_TEST(served["heavy"] <= rounds / (lights + 1) + 1);
  for (int light = 0; light < lights; ++light) {
    BOOST_TEST(served["light" + std::to_string(light)] >=
               rounds / (lights + 1) - 1);
  }
}

// Guards against excess requests that delay an in-contract one by more than the
// time until a slot becomes free.
BOOST_AUTO_TEST_CASE(ExcessDelaysInContractByOneServiceTimeAtMost)
{
  const Duration serviceTime = 50ms;
  SchedulerFixture fixture;
  std::map<std::uint64_t, Instant> promised;
  std::vector<std::pair<Instant, std::uint64_t>> running;
  Duration longestWait{ 0 };
  int served = 0;
  int excessServed = 0;
  for (int millisecond = 0; millisecond < 5000; ++millisecond) {
    fixture.Advance(1ms);
    fixture.Submit("greedy", 1000, RequestClass::Excess);
    if (millisecond % 20 == 0) {
      promised[fixture.Submit("small", 50)] = fixture.Now();
    }
    std::erase_if(running, [&fixture](const auto& aItem) {
      if (aItem.first > fixture.Now()) {
        return false;
      }
      fixture.Complete(aItem.second);
      return true;
    });
    fixture.Expire();
    for (const Assignment& assignment : fixture.Dispatch()) {
      running.emplace_back(fixture.Now() + serviceTime, assignment.requestId);
      const auto found = promised.find(assignment.requestId);
      if (found == promised.end()) {
        excessServed += 1;
        continue;
      }
      longestWait = std::max(longestWait, fixture.Now() - found->second);
      served += 1;
    }
  }
  BOOST_TEST(served >= 248);
  BOOST_TEST(excessServed > 100);
  BOOST_TEST((longestWait <= serviceTime));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EjectedServers)

struct TrialFixture : SchedulerFixture
{
  TrialFixture()
    : SchedulerFixture({ { "a", 2 }, { "b", 2 }, { "c", 2 }, { "d", 2 } })
  {
    // Server "a" fails all its requests until it is ejected.
    for (int i = 0; i < 500 && StateOf("a") == ServerState::Healthy; ++i) {
      Submit("customer");
      Advance(10ms);
      for (const Assignment& assignment : Dispatch()) {
        Scheduler().OnRequestSent(assignment.requestId, Now());
        Scheduler().OnResponseHead(assignment.requestId, Now() + 5ms);
        Complete(assignment.requestId,
                 assignment.backendServer == "a" ? AttemptResult::Failure
                                                 : AttemptResult::Success);
      }
    }
    BOOST_TEST_REQUIRE((StateOf("a") == ServerState::Ejected));
  }

  // Submits aCount requests and returns those that are assigned to "a".
  std::vector<Assignment> Trials(int aCount, bool aIsIdempotent)
  {
    for (int i = 0; i < aCount; ++i) {
      ShardRequest request = MakeRequest("customer");
      request.isIdempotent = aIsIdempotent;
      Scheduler().Submit(request, Now());
    }
    std::vector<Assignment> trials;
    for (const Assignment& assignment : Dispatch()) {
      if (assignment.backendServer == "a") {
        trials.push_back(assignment);
      } else {
        Complete(assignment.requestId, AttemptResult::Cancelled);
      }
    }
    return trials;
  }
};

// Guards against requests for an ejected server.
BOOST_AUTO_TEST_CASE(GetNothingDuringTheBackOff)
{
  TrialFixture fixture;
  fixture.Advance(4900ms);
  fixture.Expire();
  BOOST_TEST(fixture.Trials(8, true).empty());
}

// Guards against a trial with a request that must not run twice, and against
// several trials at a time.
BOOST_AUTO_TEST_CASE(AreTriedWithOneIdempotentRequestAtATime)
{
  TrialFixture fixture;
  fixture.Advance(5s);
  fixture.Expire();
  BOOST_TEST(fixture.Trials(4, false).empty());
  const auto trials = fixture.Trials(8, true);
  BOOST_TEST_REQUIRE(trials.size() == 1U);
  BOOST_TEST(trials[0].isTrial);
  BOOST_TEST(fixture.Trials(8, true).empty());
}

// Guards against a server that stays ejected after it has recovered.
BOOST_AUTO_TEST_CASE(AreReadmittedAfterFiveGoodTrials)
{
  TrialFixture fixture;
  fixture.Advance(5s);
  fixture.Expire();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST((fixture.StateOf("a") == ServerState::Trial));
    const auto trials = fixture.Trials(1, true);
    BOOST_TEST_REQUIRE(trials.size() == 1U);
    fixture.Scheduler().OnRequestSent(trials[0].requestId, fixture.Now());
    fixture.Advance(5ms);
    fixture.Scheduler().OnResponseHead(trials[0].requestId, fixture.Now());
    fixture.Complete(trials[0].requestId);
  }
  BOOST_TEST((fixture.StateOf("a") == ServerState::Healthy));
}

// Guards against a black hole that keeps its trial open indefinitely: the trial
// fails at the peers' slow threshold, and its slot still counts as used.
BOOST_AUTO_TEST_CASE(FailTheTrialWhenTheyDoNotRespond)
{
  TrialFixture fixture;
  fixture.Advance(5s);
  fixture.Expire();
  const auto trials = fixture.Trials(1, true);
  BOOST_TEST_REQUIRE(trials.size() == 1U);
  fixture.Scheduler().OnRequestSent(trials[0].requestId, fixture.Now());
  fixture.Advance(1s);
  fixture.Expire();
  BOOST_TEST((fixture.StateOf("a") == ServerState::Ejected));
  BOOST_TEST(fixture.ReportOf("a").usedSlots == 1);
  BOOST_TEST(fixture.ReportOf("a").recentEjections == 2);
}

// Guards against a gray server that gets its full share of requests because the
// floor forbids its ejection, and against not using its slots when they are
// needed.
BOOST_AUTO_TEST_CASE(AreUsedLastWhereTheFloorForbidsEjection)
{
  SchedulerFixture fixture({ { "a", 2 }, { "b", 2 }, { "c", 2 } }, 1);
  const auto serve = [&fixture](int aRequests) {
    int toFaulty = 0;
    for (int i = 0; i < aRequests; ++i) {
      fixture.Submit("customer");
      fixture.Advance(10ms);
      for (const Assignment& assignment : fixture.Dispatch()) {
        const bool isFaulty = assignment.backendServer == "a";
        toFaulty += isFaulty ? 1 : 0;
        fixture.Complete(assignment.requestId,
                         isFaulty ? AttemptResult::Failure
                                  : AttemptResult::Success);
      }
    }
    return toFaulty;
  };
  serve(200);
  BOOST_TEST(fixture.ReportOf("a").failureScore >= fixture.ReportOf("a").bound);
  BOOST_TEST((fixture.StateOf("a") == ServerState::Healthy));
  // 3 s with one probe per second; an equal share would be 100 requests.
  const int probes = serve(300);
  BOOST_TEST(probes >= 2);
  BOOST_TEST(probes <= 4);
  for (int i = 0; i < 6; ++i) {
    fixture.Submit("customer");
  }
  BOOST_TEST(fixture.Dispatch().size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HealthyServers)

struct HealthyServerCase
{
  const char* name;
  AttemptResult result;
  // Time between the head of the response and its end.
  Duration readTime;
};

// Guards against an ejection of one server for its sheds or for what its
// callers do, none of which affects its peers.
BOOST_AUTO_TEST_CASE(AreNotEjectedForShedsOrCallers)
{
  const HealthyServerCase cases[] = {
    { "sheds", AttemptResult::Shed, 0ms },
    { "cancelled", AttemptResult::Cancelled, 0ms },
    { "slow callers", AttemptResult::Success, 400ms },
    { "very slow callers", AttemptResult::Success, 5s },
  };
  for (const HealthyServerCase& item : cases) {
    BOOST_TEST_CONTEXT(item.name)
    {
      SchedulerFixture fixture({ { "a", 4 }, { "b", 4 }, { "c", 4 } });
      std::vector<std::pair<Instant, Assignment>> running;
      int requests = 0;
      for (int step = 0; step < 6000; ++step) {
        fixture.Advance(10ms);
        std::erase_if(running, [&](const auto& aItem) {
          if (aItem.first > fixture.Now()) {
            return false;
          }
          fixture.Complete(aItem.second.requestId,
                           aItem.second.backendServer == "a"
                             ? item.result
                             : AttemptResult::Success);
          return true;
        });
        fixture.Expire();
        for (int i = 0; i < 3; ++i) {
          fixture.Submit("customer");
        }
        for (const Assignment& assignment : fixture.Dispatch()) {
          const bool isCase = assignment.backendServer == "a";
          requests += isCase ? 1 : 0;
          fixture.Scheduler().OnRequestSent(assignment.requestId,
                                            fixture.Now());
          fixture.Scheduler().OnResponseHead(assignment.requestId,
                                             fixture.Now() + 10ms);
          running.emplace_back(
            fixture.Now() + 10ms + (isCase ? item.readTime : 0ms), assignment);
        }
        BOOST_TEST_REQUIRE((fixture.StateOf("a") == ServerState::Healthy));
      }
      // Eight samples at the clip would eject the server. With very slow
      // callers it gets few requests, since its slots are in use.
      BOOST_TEST(requests >= 10);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AddedServers)

// Guards against a cold server that gets its full load at once.
BOOST_AUTO_TEST_CASE(GetOneRequestAtATimeForASecond)
{
  SchedulerFixture fixture({ { "a", 2 } });
  fixture.SetServers({ { "a", 2 }, { "b", 4 } });
  for (int i = 0; i < 8; ++i) {
    fixture.Submit("customer");
  }
  BOOST_TEST(fixture.Dispatch().size() == 3U);
  BOOST_TEST(fixture.ReportOf("b").usedSlots == 1);
  fixture.Advance(1s - 1ms);
  BOOST_TEST(fixture.Dispatch().empty());
  fixture.Advance(1ms);
  for (int i = 0; i < 8; ++i) {
    fixture.Submit("customer");
  }
  BOOST_TEST(fixture.Dispatch().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
