#pragma once

#include "base/Clock.h"
#include "daemon/DaemonSettings.h"
#include "entry/RelayRequestSigner.h"
#include "owner/OwnerService.h"

#include <memory>

namespace filbertbeam {

// Both ends of the authentication between hosts, with the fleet's secret.
// aClock has to outlive the results. A process uses one signer, from any of
// its threads, since a second one would repeat request numbers.
std::unique_ptr<RelayRequestSigner>
CreateRelayRequestSigner(const DaemonSettings& aSettings,
                         std::uint64_t aIncarnation,
                         const Clock& aClock);
std::unique_ptr<RelayAuthenticator>
CreateRelayAuthenticator(const DaemonSettings& aSettings,
                         std::uint64_t aIncarnation,
                         const Clock& aClock);

} // namespace filbertbeam
