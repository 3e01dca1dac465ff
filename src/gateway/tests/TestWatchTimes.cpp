#include "gateway/WatchTimes.h"

#include <boost/test/unit_test.hpp>

using namespace filbertbeam;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TimesOfWatches)

// Guards against a response that the catalog lost without an error and that is
// noticed after the next change has to be in effect.
BOOST_AUTO_TEST_CASE(LeaveRoomToReadWhatWasLost)
{
  GatewaySettings settings;
  for (const Duration drainTime :
       { Duration(1s), Duration(2s), Duration(5s) }) {
    settings.drainTime = drainTime;
    // The watch fails one second after its wait.
    const Duration noticed = MakeWatchTimes(settings).firstWatcherWait + 1s;
    const Duration bound =
      settings.calmTime + std::min(drainTime, settings.configurationTime);
    BOOST_TEST((noticed < bound));
    BOOST_TEST((noticed > bound / 2));
  }
}

// Guards against settings that make a host call the catalog without a pause or
// wait longer than the catalog allows.
BOOST_AUTO_TEST_CASE(StayWithinLimits)
{
  GatewaySettings settings;
  settings.calmTime = 0s;
  settings.drainTime = 0s;
  BOOST_TEST((MakeWatchTimes(settings).firstWatcherWait >= 500ms));
  settings.calmTime = 1h;
  BOOST_TEST((MakeWatchTimes(settings).firstWatcherWait == kLongestWatchWait));
}

// Guards against one lost probe that ends the trust in keys.
BOOST_AUTO_TEST_CASE(ProbeSeveralTimesWhileKeysAreTrusted)
{
  GatewaySettings settings;
  BOOST_TEST((MakeWatchTimes(settings).probeInterval == kCatalogProbeInterval));
  settings.keyTrustTime = 3s;
  BOOST_TEST((MakeWatchTimes(settings).probeInterval == 1s));
  settings.keyTrustTime = 10ms;
  BOOST_TEST((MakeWatchTimes(settings).probeInterval == 200ms));
}

BOOST_AUTO_TEST_SUITE_END()
