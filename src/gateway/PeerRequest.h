#pragma once

#include "store/PlatformClient.h"

#include <string>

namespace filbertbeam {

// For a client that asks peers what they have read from the catalog: one that
// does not answer soon is replaced by another.
PlatformClientLimits
PeerClientLimits();

// Asks the peer that aClient points at for aTarget.
void
GetFromPeer(PlatformClient& aClient,
            std::string aTarget,
            PlatformClient::Callback aCallback);

} // namespace filbertbeam
