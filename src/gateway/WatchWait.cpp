#include "gateway/WatchWait.h"

#include "catalog/CatalogFollower.h"

#include <algorithm>

namespace filbertbeam {

namespace {

using std::chrono::milliseconds;

// A watch whose response was lost fails this long after its wait.
constexpr milliseconds kLostResponseTime{ 1'000 };
// By then, the hosts of a failure domain have the changes that its first
// watcher lacked: it watches again and sends a heartbeat, of which one may be
// lost, and the others fetch the changes.
constexpr milliseconds kSpreadTime{ 1'000 };
constexpr milliseconds kMinWatchWait{ 200 };

// The watch of the configuration responds several times within the time for
// which keys are trusted, so that a late response does not end it.
constexpr int kResponsesPerTrustTime = 3;

} // namespace

// A disturbance of the catalog may have taken the response to a watch. The next
// change for which a bound holds may come once the catalog has been calm for
// calmTime.
milliseconds
FirstWatcherWait(const GatewaySettings& aSettings)
{
  const Duration bound =
    aSettings.calmTime +
    std::min(aSettings.drainTime, aSettings.configurationTime);
  Duration wait = bound - kLostResponseTime - kSpreadTime;
  if (aSettings.keyTrustTime) {
    wait = std::min(wait, *aSettings.keyTrustTime / kResponsesPerTrustTime);
  }
  return std::clamp(std::chrono::duration_cast<milliseconds>(wait),
                    kMinWatchWait,
                    kLongestWatchWait);
}

} // namespace filbertbeam
