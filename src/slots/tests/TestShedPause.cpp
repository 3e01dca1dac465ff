#include "base/ManualClock.h"
#include "slots/ShardScheduler.h"
#include "slots/ShedPause.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(ABackendServerThatSheds)

// Guards against sending the whole queue to a server that sheds it all within a
// moment.
BOOST_AUTO_TEST_CASE(GetsNoWorkForAPauseThatGrows)
{
  ManualClock clock;
  Service service;
  BackendServer server;
  server.name = "wholesale-1";
  server.slots = 1;
  const BackendServer* const servers[] = { &server };
  const auto scheduler = ShardScheduler::Create(service, 1);
  scheduler->SetBackendServers(service, servers, clock.Now());
  for (std::uint64_t id = 1; id <= 3; ++id) {
    ShardRequest request;
    request.id = id;
    request.customer = "partner";
    request.promise = 10;
    request.deadline = clock.Now() + std::chrono::seconds(10);
    BOOST_REQUIRE(!scheduler->Submit(request, clock.Now()).has_value());
  }
  BOOST_REQUIRE(scheduler->Dispatch(clock.Now()).size() == 1U);
  scheduler->Complete(1, AttemptResult::Shed, clock.Now());
  BOOST_TEST(scheduler->Dispatch(clock.Now()).empty());
  BOOST_REQUIRE(scheduler->NextEvent(clock.Now()).has_value());
  BOOST_TEST(
    (*scheduler->NextEvent(clock.Now()) - clock.Now() == milliseconds(5)));
  clock.Advance(milliseconds(5));
  BOOST_REQUIRE(scheduler->Dispatch(clock.Now()).size() == 1U);
  scheduler->Complete(2, AttemptResult::Shed, clock.Now());
  clock.Advance(milliseconds(5));
  BOOST_TEST(scheduler->Dispatch(clock.Now()).empty());
  clock.Advance(milliseconds(5));
  BOOST_TEST(scheduler->Dispatch(clock.Now()).size() == 1U);
}

// Guards against concurrent sheds that add up to a long pause.
BOOST_AUTO_TEST_CASE(CountsConcurrentShedsAsOne)
{
  ManualClock clock;
  ShedPause pause;
  pause.OnShed(clock.Now());
  pause.OnShed(clock.Now());
  pause.OnShed(clock.Now());
  clock.Advance(milliseconds(5));
  BOOST_TEST(!pause.IsActive(clock.Now()));
}

BOOST_AUTO_TEST_SUITE_END()
