#include "base/ManualClock.h"
#include "slots/EjectionPolicy.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace filbertbeam;
using namespace std::chrono_literals;

namespace {

std::vector<EjectionPolicy::ConfiguredServer>
MakeServers(ServerId aCount)
{
  std::vector<EjectionPolicy::ConfiguredServer> servers;
  for (ServerId id = 0; id < aCount; ++id) {
    servers.push_back({ id, 2, false });
  }
  return servers;
}

// Tries to eject servers 0, 1, ... with slightly rising severity, too similar
// for one to replace another. Returns how many were ejected.
int
EjectAll(EjectionPolicy& aPolicy, ServerId aCount, Instant aNow)
{
  int ejected = 0;
  for (ServerId id = 0; id < aCount; ++id) {
    ejected += aPolicy.TryEject(id, 1 + 0.001 * id, aNow) ? 1 : 0;
  }
  return ejected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EjectionWithinTheFloor)

struct FloorCase
{
  double floor;
  ServerId servers;
  int ejectable;
};

// Guards against an ejection that leaves fewer than ceil(floor x configured)
// servers healthy.
BOOST_AUTO_TEST_CASE(NoMoreServersAreEjectedThanTheFloorAllows)
{
  const FloorCase cases[] = {
    { 0.5, 1, 0 },   { 0.5, 2, 1 },  { 0.5, 3, 1 },  { 0.7, 2, 0 },
    { 0.7, 3, 0 },   { 0.7, 4, 1 },  { 0.7, 7, 2 },  { 0.7, 10, 3 },
    { 0.55, 20, 9 }, { 1.0, 10, 0 }, { 0.9, 32, 3 },
  };
  const ManualClock clock;
  for (const FloorCase& item : cases) {
    BOOST_TEST_CONTEXT("floor " << item.floor << ", " << item.servers
                                << " servers")
    {
      EjectionPolicy policy(item.floor);
      policy.SetConfiguredServers(
        item.floor, MakeServers(item.servers), clock.Now());
      BOOST_TEST(EjectAll(policy, item.servers, clock.Now()) == item.ejectable);
    }
  }
}

// Guards against a floor that only counts servers, so that the large ones can
// be ejected.
BOOST_AUTO_TEST_CASE(TheFloorAppliesToSlotsAsWell)
{
  const ManualClock clock;
  EjectionPolicy policy(0.5);
  const std::vector<EjectionPolicy::ConfiguredServer> servers{
    { 0, 8, false }, { 1, 1, false }, { 2, 1, false }, { 3, 1, false }
  };
  policy.SetConfiguredServers(0.5, servers, clock.Now());
  BOOST_TEST(!policy.TryEject(0, 3, clock.Now()));
  BOOST_TEST(policy.TryEject(1, 3, clock.Now()));
}

// Guards against a leaving server that takes the shard below its floor while
// servers are ejected, and against readmission of the wrong server.
BOOST_AUTO_TEST_CASE(ALeavingServerReadmitsTheLeastUnhealthyOne)
{
  const ManualClock clock;
  EjectionPolicy policy(0.5);
  auto servers = MakeServers(6);
  policy.SetConfiguredServers(0.5, servers, clock.Now());
  BOOST_TEST(EjectAll(policy, 3, clock.Now()) == 3);
  servers[5].isLeaving = true;
  policy.SetConfiguredServers(0.5, servers, clock.Now());
  BOOST_TEST((policy.State(0) == ServerState::Healthy));
  BOOST_TEST((policy.State(1) == ServerState::Ejected));
  BOOST_TEST((policy.State(2) == ServerState::Ejected));
}

// Guards against an added server that raises the floor above the number of
// healthy servers: a cold server does not count as healthy.
BOOST_AUTO_TEST_CASE(AnAddedServerReadmitsWhereTheFloorRises)
{
  const ManualClock clock;
  EjectionPolicy policy(0.5);
  policy.SetConfiguredServers(0.5, MakeServers(4), clock.Now());
  BOOST_TEST(EjectAll(policy, 2, clock.Now()) == 2);
  policy.SetConfiguredServers(0.5, MakeServers(5), clock.Now());
  BOOST_TEST((policy.State(4) == ServerState::Cold));
  BOOST_TEST((policy.State(0) == ServerState::Healthy));
}

// Guards against a mildly slow server that stays ejected in place of a black
// hole.
BOOST_AUTO_TEST_CASE(AMuchWorseServerReplacesAMildlySlowOne)
{
  const ManualClock clock;
  EjectionPolicy policy(0.5);
  policy.SetConfiguredServers(0.5, MakeServers(2), clock.Now());
  BOOST_TEST(policy.TryEject(0, 1, clock.Now()));
  BOOST_TEST(!policy.TryEject(1, 1.5, clock.Now()));
  BOOST_TEST(policy.TryEject(1, 3, clock.Now()));
  BOOST_TEST((policy.State(0) == ServerState::Healthy));
  BOOST_TEST((policy.State(1) == ServerState::Ejected));
}

BOOST_AUTO_TEST_SUITE(Readmission)

// Guards against a flapping server that returns after the same short time again
// and again, and against a back-off that grows without limit.
BOOST_AUTO_TEST_CASE(TheBackOffDoublesUpToFiveMinutes)
{
  ManualClock clock;
  EjectionPolicy policy(0.5);
  policy.SetConfiguredServers(0.5, MakeServers(4), clock.Now());
  const Duration expected[] = { 5s, 10s, 20s, 40s, 80s, 160s, 300s, 300s };
  for (const Duration backOff : expected) {
    BOOST_TEST(policy.TryEject(0, 3, clock.Now()));
    clock.Advance(backOff - 1ms);
    policy.Advance(clock.Now());
    BOOST_TEST((policy.State(0) == ServerState::Ejected));
    clock.Advance(1ms);
    policy.Advance(clock.Now());
    BOOST_TEST((policy.State(0) == ServerState::Trial));
    for (int i = 0; i < 5; ++i) {
      BOOST_TEST((policy.State(0) == ServerState::Trial));
      policy.OnTrialResult(0, true, 0, clock.Now());
    }
    BOOST_TEST((policy.State(0) == ServerState::Healthy));
  }
}

// Guards against readmission after a failed trial.
BOOST_AUTO_TEST_CASE(AFailedTrialEjectsAgainForLonger)
{
  ManualClock clock;
  EjectionPolicy policy(0.5);
  policy.SetConfiguredServers(0.5, MakeServers(4), clock.Now());
  policy.TryEject(0, 3, clock.Now());
  clock.Advance(5s);
  policy.Advance(clock.Now());
  for (int i = 0; i < 4; ++i) {
    policy.OnTrialResult(0, true, 0, clock.Now());
  }
  policy.OnTrialResult(0, false, 0, clock.Now());
  BOOST_TEST((policy.State(0) == ServerState::Ejected));
  BOOST_TEST(policy.RecentEjections(0, clock.Now()) == 2);
  clock.Advance(9s);
  policy.Advance(clock.Now());
  BOOST_TEST((policy.State(0) == ServerState::Ejected));
  clock.Advance(1s);
  policy.Advance(clock.Now());
  BOOST_TEST((policy.State(0) == ServerState::Trial));
}

// Guards against readmission of a server at half speed because each single
// trial stayed below the slow threshold.
BOOST_AUTO_TEST_CASE(FiveTrialsThatAreAllSlowDoNotReadmit)
{
  ManualClock clock;
  EjectionPolicy policy(0.5);
  policy.SetConfiguredServers(0.5, MakeServers(4), clock.Now());
  policy.TryEject(0, 3, clock.Now());
  clock.Advance(5s);
  policy.Advance(clock.Now());
  for (int i = 0; i < 5; ++i) {
    policy.OnTrialResult(0, true, 1.5, clock.Now());
  }
  BOOST_TEST((policy.State(0) == ServerState::Ejected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ColdStart)

// Guards against a server that gets its full load before it has warmed up.
BOOST_AUTO_TEST_CASE(AnAddedServerIsColdForTenSeconds)
{
  ManualClock clock;
  EjectionPolicy policy(0.5);
  policy.SetConfiguredServers(0.5, MakeServers(4), clock.Now());
  BOOST_TEST((policy.State(0) == ServerState::Healthy));
  policy.SetConfiguredServers(0.5, MakeServers(5), clock.Now());
  BOOST_TEST((policy.State(4) == ServerState::Cold));
  BOOST_TEST(policy.ConcurrencyLimit(4, clock.Now()) == 1);
  BOOST_TEST(!policy.TryEject(4, 3, clock.Now()));
  clock.Advance(1s);
  BOOST_TEST(policy.ConcurrencyLimit(4, clock.Now()) > 1000);
  clock.Advance(9s);
  policy.Advance(clock.Now());
  BOOST_TEST((policy.State(4) == ServerState::Healthy));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
