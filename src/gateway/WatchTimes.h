#pragma once

#include "catalog/CatalogFollower.h"
#include "catalog/CatalogProbe.h"
#include "gateway/GatewaySettings.h"

namespace filbertbeam {

// How the hosts that watch the catalog notice that it does not respond.
struct WatchTimes
{
  // The catalog is probed at this interval while this host watches it.
  std::chrono::milliseconds probeInterval = kCatalogProbeInterval;
  // How long a watch of the first watcher of a failure domain waits for a
  // change.
  std::chrono::milliseconds firstWatcherWait = kLongestWatchWait;
};

// Returns the times with which a host keeps the bounds of aSettings.
WatchTimes
MakeWatchTimes(const GatewaySettings& aSettings);

} // namespace filbertbeam
