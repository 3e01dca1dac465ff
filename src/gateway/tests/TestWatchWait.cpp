#include "catalog/CatalogFollower.h"
#include "gateway/WatchWait.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TheWaitOfTheFirstWatcher)

// Guards against a response that the catalog lost without an error and that is
// noticed after the next change has to be in effect.
BOOST_AUTO_TEST_CASE(LeavesRoomToReadWhatWasLost)
{
  GatewaySettings settings;
  for (const Duration drainTime :
       { Duration(1s), Duration(2s), Duration(5s) }) {
    settings.drainTime = drainTime;
    // The watch fails one second after its wait.
    const Duration noticed = FirstWatcherWait(settings) + 1s;
    const Duration bound =
      settings.calmTime + std::min(drainTime, settings.configurationTime);
    BOOST_TEST((noticed < bound));
    BOOST_TEST((noticed > bound / 2));
  }
}

// Guards against settings that make a host call the catalog without a pause or
// wait longer than the catalog allows.
BOOST_AUTO_TEST_CASE(StaysWithinLimits)
{
  GatewaySettings settings;
  settings.calmTime = 0s;
  settings.drainTime = 0s;
  BOOST_TEST((FirstWatcherWait(settings) >= 200ms));
  settings.calmTime = 1h;
  BOOST_TEST((FirstWatcherWait(settings) == kLongestWatchWait));
}

// Guards against one lost response that ends the trust in keys.
BOOST_AUTO_TEST_CASE(BringsSeveralResponsesWhileKeysAreTrusted)
{
  GatewaySettings settings;
  settings.keyTrustTime = 5s;
  BOOST_TEST((3 * FirstWatcherWait(settings) <= 5s));
  settings.keyTrustTime = 10ms;
  BOOST_TEST((FirstWatcherWait(settings) == 200ms));
}

BOOST_AUTO_TEST_SUITE_END()
