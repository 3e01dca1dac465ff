#include "base/ManualClock.h"
#include "gateway/PathHealth.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Paths)

// Guards against a failed connection for each request on a broken path, and
// against a server that is avoided forever.
BOOST_AUTO_TEST_CASE(ThatFailAreAvoidedForLongerEachTime)
{
  ManualClock clock;
  PathHealth paths;
  paths.OnUnreachable("a", clock.Now());
  BOOST_TEST(paths.AvoidedServers(clock.Now()).size() == 1U);
  clock.Advance(1s);
  BOOST_TEST(paths.AvoidedServers(clock.Now()).empty());
  paths.OnUnreachable("a", clock.Now());
  clock.Advance(1500ms);
  BOOST_TEST(paths.AvoidedServers(clock.Now()).size() == 1U);
  clock.Advance(600ms);
  BOOST_TEST(paths.AvoidedServers(clock.Now()).empty());
  for (int i = 0; i < 10; ++i) {
    paths.OnUnreachable("a", clock.Now());
  }
  clock.Advance(9s);
  BOOST_TEST(paths.AvoidedServers(clock.Now()).empty());
}

BOOST_AUTO_TEST_CASE(ThatWorkAgainAreUsedAtOnce)
{
  ManualClock clock;
  PathHealth paths;
  paths.OnUnreachable("a", clock.Now());
  paths.OnReached("a");
  BOOST_TEST(paths.AvoidedServers(clock.Now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
