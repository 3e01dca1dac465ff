#include "gateway/WatchTimes.h"

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
constexpr milliseconds kMinWatchWait{ 500 };

// The catalog is probed several times within the time for which keys are
// trusted, so that a late response does not end it.
constexpr int kProbesPerTrustTime = 3;
constexpr milliseconds kMinProbeInterval{ 200 };

milliseconds
ProbeInterval(const std::optional<Duration>& aKeyTrustTime)
{
  if (!aKeyTrustTime) {
    return kCatalogProbeInterval;
  }
  return std::clamp(std::chrono::duration_cast<milliseconds>(
                      *aKeyTrustTime / kProbesPerTrustTime),
                    kMinProbeInterval,
                    kCatalogProbeInterval);
}

// A disturbance of the catalog may have taken the response to a watch. The next
// change for which a bound holds may come once the catalog has been calm for
// calmTime.
milliseconds
FirstWatcherWait(const GatewaySettings& aSettings)
{
  const Duration bound =
    aSettings.calmTime +
    std::min(aSettings.drainTime, aSettings.configurationTime);
  return std::clamp(std::chrono::duration_cast<milliseconds>(
                      bound - kLostResponseTime - kSpreadTime),
                    kMinWatchWait,
                    kLongestWatchWait);
}

} // namespace

WatchTimes
MakeWatchTimes(const GatewaySettings& aSettings)
{
  return { ProbeInterval(aSettings.keyTrustTime), FirstWatcherWait(aSettings) };
}

} // namespace filbertbeam
