#pragma once

#include "gateway/GatewaySettings.h"

#include <chrono>

namespace filbertbeam {

// Returns how long a watch of the first watcher of a failure domain waits for a
// change, so that its hosts keep the bounds of aSettings after a response was
// lost.
std::chrono::milliseconds
FirstWatcherWait(const GatewaySettings& aSettings);

} // namespace filbertbeam
