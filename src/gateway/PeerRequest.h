#pragma once

#include "store/PlatformClient.h"

#include <string>

namespace filbertbeam {

// Returns limits for requests to peers for catalog data. The timeouts are
// short, since another peer can be asked instead.
PlatformClientLimits
PeerClientLimits();

// Sends a GET request for aTarget to the peer that aClient is set to.
void
GetFromPeer(PlatformClient& aClient,
            std::string aTarget,
            PlatformClient::Callback aCallback);

} // namespace filbertbeam
