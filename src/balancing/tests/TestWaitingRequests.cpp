#include "balancing/OwnerQueue.h"
#include "balancing/WaitingQueries.h"
#include "base/ManualClock.h"
#include "base/SeededRandom.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

// A shard with four slots and requests that take 200 ms.
struct PlanFixture
{
  std::uint64_t Add(int aPriority,
                    Duration aRemaining,
                    Duration aWork = 200ms,
                    const std::string& aRoute = "approve",
                    bool aIsRetry = false)
  {
    waiting.Add({ ++id,
                  "host-" + std::to_string(id % 16),
                  aRoute,
                  aPriority,
                  aIsRetry,
                  clock.Now() + aRemaining,
                  aWork });
    return id;
  }

  std::vector<std::uint64_t> Order() const
  {
    std::vector<std::uint64_t> ids;
    for (const WaitingRequest& request : waiting.InOrder()) {
      ids.push_back(request.id);
    }
    return ids;
  }

  ManualClock clock;
  WaitingRequests waiting;
  ShardRoom room{ 4, 0ms };
  std::uint64_t id = 0;
};

enum class Outcome
{
  Served,
  Refused,
};

// Four servers with two slots each, whose attempts take 200 ms, or 1 s for the
// route "long", and an owner's queue in front of them.
struct ShardFixture
{
  ShardFixture() { SetServers(4); }

  void SetServers(int aCount)
  {
    std::vector<BackendServerRecord> records;
    for (int i = 0; i < aCount; ++i) {
      BackendServerRecord record;
      record.id = "server-" + std::to_string(i);
      record.service = "permits";
      record.domain = "near";
      record.slots = 2;
      records.push_back(record);
    }
    selector.SetDirectory(
      std::make_shared<BackendDirectory>(++revision, records));
  }

  SelectionRequest Request(const std::string& aRoute, int aPriority) const
  {
    SelectionRequest request;
    request.service = "permits";
    request.shard = { 0, 1 };
    request.route = aRoute;
    request.priority = aPriority;
    request.latencyObjective = 1s;
    request.remaining = 3s;
    request.host = "host-" + std::to_string(offered % 8);
    request.domain = "near";
    return request;
  }

  void Offer(const SelectionRequest& aRequest)
  {
    ++offered;
    const Instant deadline = clock.Now() + aRequest.remaining;
    queue.Offer(
      aRequest,
      [this, aRequest, deadline](const SelectionResult& aResult) {
        if (!aResult.selection) {
          ++counts[aRequest.route][Outcome::Refused];
          latestRefusal = aResult;
          return;
        }
        const Duration work = aRequest.route == "long" ? 1s : 200ms;
        // Each slot of the server runs one attempt at a time.
        auto& slots = freeAt[aResult.selection->backendServer];
        slots.resize(2);
        auto& slot = *std::ranges::min_element(slots);
        slot = std::max(slot, clock.Now()) + work;
        running.emplace(slot, aResult.selection->ticket);
        if (slot <= deadline) {
          ++counts[aRequest.route][Outcome::Served];
        }
        maxHeld = std::max(maxHeld, running.size());
      },
      clock.Now());
  }

  void Advance(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += 5ms) {
      clock.Advance(5ms);
      while (!running.empty() && running.begin()->first <= clock.Now()) {
        selector.Finish(
          running.begin()->second, AttemptResult::Responded, clock.Now());
        running.erase(running.begin());
      }
      for (int i = 0; i < 8; ++i) {
        selector.OnHostMessage("host-" + std::to_string(i), clock.Now());
      }
      queue.Serve(clock.Now());
    }
  }

  // Offers a request of each of aRoutes, with its priority, every aInterval.
  void Load(const std::vector<std::pair<std::string, int>>& aRoutes,
            Duration aInterval,
            Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += aInterval) {
      for (const auto& [route, priority] : aRoutes) {
        Offer(Request(route, priority));
      }
      Advance(aInterval);
    }
  }

  double ShareServed(const std::string& aRoute)
  {
    auto& count = counts[aRoute];
    return static_cast<double>(count[Outcome::Served]) /
           std::max(count[Outcome::Served] + count[Outcome::Refused], 1);
  }

  ManualClock clock;
  SeededRandom random{ 3 };
  BackendSelector selector{ { 0.2, 8, 10s }, random };
  OwnerQueue queue{ selector };
  std::uint64_t revision = 0;
  int offered = 0;
  std::map<std::string, std::map<Outcome, int>> counts;
  std::map<std::string, std::vector<Instant>> freeAt;
  std::multimap<Instant, std::uint64_t> running;
  std::size_t maxHeld = 0;
  SelectionResult latestRefusal;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TooLittleRoom)

BOOST_FIXTURE_TEST_SUITE(Order, PlanFixture)

// Load: requests of several kinds wait at once.
BOOST_AUTO_TEST_CASE(UrgentKindsThenFirstAttemptsThenTheLeastTime)
{
  const auto later = Add(1, 4s);
  const auto retry = Add(1, 2s, 200ms, "approve", true);
  const auto sooner = Add(1, 2s);
  const auto urgent = Add(0, 9s);
  const std::vector<std::uint64_t> expected{ urgent, sooner, later, retry };
  BOOST_TEST(Order() == expected, boost::test_tools::per_element());
}

// Load: a caller's repeats wait beside first attempts that just fit.
BOOST_AUTO_TEST_CASE(RetriesGiveWayToFirstAttempts)
{
  const auto retry = Add(0, 240ms, 200ms, "approve", true);
  for (int i = 0; i < 4; ++i) {
    Add(0, 3s);
  }
  const auto turnedAway = waiting.TurnAway(room, clock.Now());
  BOOST_TEST_REQUIRE(turnedAway.size() == 1U);
  BOOST_TEST(turnedAway[0].id == retry);
}

// Load: long work before short work, with time for only one of them.
BOOST_AUTO_TEST_CASE(TheLongestWorkIsTurnedAway)
{
  const auto longOne = Add(0, 3s, 2s, "long");
  for (int i = 0; i < 10; ++i) {
    Add(0, 1'450ms, 200ms);
  }
  room.slots = 2;
  const auto turnedAway = waiting.TurnAway(room, clock.Now());
  BOOST_TEST_REQUIRE(turnedAway.size() == 1U);
  BOOST_TEST(turnedAway[0].id == longOne);
  BOOST_TEST(turnedAway[0].reason == "no-room");
  BOOST_TEST((turnedAway[0].retryAfter >= 1s));
}

// Load: equal requests, two too many with the margin for new ones. The callers
// that have waited least can still return.
BOOST_AUTO_TEST_CASE(TheNewestOfEqualRequestsIsTurnedAway)
{
  std::uint64_t newest = 0;
  for (int i = 0; i < 10; ++i) {
    newest = Add(0, 1'110ms - i * 1ms, 200ms - i * 100us);
  }
  room.slots = 2;
  const auto turnedAway = waiting.TurnAway(room, clock.Now());
  BOOST_TEST_REQUIRE(turnedAway.size() == 2U);
  BOOST_TEST(turnedAway[0].id == newest);
  BOOST_TEST(turnedAway[1].id == newest - 1);
}

// Load: a route whose work can't end before its timeout.
BOOST_AUTO_TEST_CASE(WorkThatCannotEndInTimeIsTurnedAwayAtOnce)
{
  const auto late = Add(0, 100ms, 200ms);
  const auto fitting = Add(5, 300ms, 200ms);
  const auto turnedAway = waiting.TurnAway(room, clock.Now());
  BOOST_TEST_REQUIRE(turnedAway.size() == 1U);
  BOOST_TEST(turnedAway[0].id == late);
  BOOST_TEST(turnedAway[0].reason == "deadline-too-close");
  BOOST_TEST(waiting.InOrder()[0].id == fitting);
}

// Load: one host, or all, send more than could ever wait.
BOOST_AUTO_TEST_CASE(TheNumberOfWaitingRequestsIsBounded)
{
  room.slots = 100'000;
  for (int i = 0; i < 2'000; ++i) {
    Add(1, 60s);
    waiting.TurnAway(room, clock.Now());
  }
  BOOST_TEST(waiting.InOrder().size() == WaitingRequests::kMaxRequests);
  const auto urgent = Add(0, 60s);
  const auto turnedAway = waiting.TurnAway(room, clock.Now());
  BOOST_TEST_REQUIRE(turnedAway.size() == 1U);
  BOOST_TEST(turnedAway[0].id != urgent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AShard, ShardFixture)

// Load: less than the servers can run; the choice is as before.
BOOST_AUTO_TEST_CASE(NothingWaitsWhileThereIsRoom)
{
  Load({ { "approve", 0 } }, 42ms, 10s);
  BOOST_TEST(queue.IsEmpty());
  BOOST_TEST(ShareServed("approve") == 1);
}

// Load: a burst of 1.7 times on a service at 60 %, of 40 requests a second.
BOOST_AUTO_TEST_CASE(AShortBurstIsServedWhole)
{
  Load({ { "approve", 0 } }, 42ms, 5s);
  Load({ { "approve", 0 } }, 24ms, 5s);
  Load({ { "approve", 0 } }, 42ms, 5s);
  BOOST_TEST(ShareServed("approve") >= 0.97);
  BOOST_TEST(maxHeld <= 12U);
}

// Load: 1.7 times what the servers can run, for long. No slot is idle and what
// is accepted ends in time.
BOOST_AUTO_TEST_CASE(TheSlotsStayBusyThroughALongOverload)
{
  Load({ { "approve", 0 } }, 15ms, 20s);
  Advance(5s);
  BOOST_TEST(queue.IsEmpty());
  const int served = counts["approve"][Outcome::Served];
  BOOST_TEST(served >= 0.93 * 40 * 20);
  BOOST_TEST(served + counts["approve"][Outcome::Refused] >= 0.98 * offered);
  BOOST_TEST(latestRefusal.reason == "no-room");
}

// Load: half of the servers are gone while two kinds fill 80 % of them.
BOOST_AUTO_TEST_CASE(HalfOfTheServersServeTheUrgentKind)
{
  SetServers(2);
  Load({ { "approve", 0 }, { "lookup", 1 } }, 62ms, 15s);
  Advance(5s);
  BOOST_TEST(ShareServed("approve") >= 0.98);
  BOOST_TEST(ShareServed("lookup") < 0.5);
}

// Load: a flood of a less urgent route, at five times what the servers can run.
BOOST_AUTO_TEST_CASE(AFloodOfALessUrgentKindDelaysNoUrgentRequest)
{
  Load({ { "approve", 0 },
         { "lookup", 1 },
         { "lookup", 1 },
         { "lookup", 1 },
         { "lookup", 1 },
         { "lookup", 1 } },
       30ms,
       10s);
  Advance(5s);
  BOOST_TEST(ShareServed("approve") >= 0.97);
}

// Load: long work beside short work of one kind, twice what can run. Short work
// loses least, and the long route still gets a part.
BOOST_AUTO_TEST_CASE(ALongRouteIsNotStarved)
{
  Load({ { "approve", 0 }, { "long", 0 } }, 60ms, 30s);
  Advance(5s);
  BOOST_TEST(ShareServed("approve") > ShareServed("long"));
  BOOST_TEST(ShareServed("long") >= 0.05);
}

// Failure: the host of a waiting request dies, or its caller leaves.
BOOST_AUTO_TEST_CASE(RequestsOfSilentHostsAreDropped)
{
  for (int i = 0; i < 14; ++i) {
    Offer(Request("approve", 0));
  }
  BOOST_TEST(!queue.IsEmpty());
  clock.Advance(OwnerQueue::kSilentTime + 1ms);
  BOOST_TEST(queue.DropSilent(clock.Now()).size() == 2U);
  BOOST_TEST(queue.IsEmpty());
}

// Failure: the servers answer nothing; attempts far too old hold no slot, so
// that requests go on to the servers once these recover.
BOOST_AUTO_TEST_CASE(AttemptsWithoutAResponseHoldNoSlotForEver)
{
  for (int i = 0; i < 12; ++i) {
    Offer(Request("approve", 0));
  }
  SelectionRequest patient = Request("approve", 0);
  patient.remaining = 60s;
  bool isSelected = false;
  queue.Offer(
    patient,
    [&](const SelectionResult& aResult) {
      isSelected = aResult.selection.has_value();
    },
    clock.Now());
  BOOST_TEST(!isSelected);
  clock.Advance(4s);
  queue.Serve(clock.Now());
  BOOST_TEST(isSelected);
}

BOOST_AUTO_TEST_SUITE_END()

// Failure: the owner dies or is cut off while a query waits there.
BOOST_AUTO_TEST_CASE(AnOwnerThatIgnoresTwoRepeatsIsGivenUp)
{
  ManualClock clock;
  WaitingQueries queries;
  PendingQuery query;
  query.request.remaining = 2s;
  queries.Add(7, query, clock.Now());
  BOOST_TEST(queries.TakeDue(clock.Now()).toRepeat.empty());
  clock.Advance(WaitingQueries::kRepeatInterval);
  BOOST_TEST(queries.TakeDue(clock.Now()).toRepeat.size() == 1U);
  BOOST_TEST(queries.OnStillWaiting(7));
  for (int i = 0; i < WaitingQueries::kMaxUnanswered; ++i) {
    clock.Advance(WaitingQueries::kRepeatInterval);
    const auto due = queries.TakeDue(clock.Now());
    BOOST_TEST_REQUIRE(due.toRepeat.size() == 1U);
    BOOST_TEST((due.toRepeat[0].second.request.remaining < 2s));
  }
  clock.Advance(WaitingQueries::kRepeatInterval);
  BOOST_TEST(queries.TakeDue(clock.Now()).givenUp.size() == 1U);
  BOOST_TEST(queries.IsEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
