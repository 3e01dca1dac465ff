#pragma once

#include "base/Clock.h"
#include "daemon/DaemonSettings.h"
#include "entry/RelayRequestSigner.h"
#include "owner/OwnerService.h"

#include <memory>

namespace filbertbeam {

// These functions create the two sides of the authentication between hosts,
// signing and verification, with the fleet's secret. aClock has to outlive the
// results. A process uses a single signer, from any of its threads, since a
// second one would reuse request numbers.
std::unique_ptr<RelayRequestSigner>
CreateRelayRequestSigner(const DaemonSettings& aSettings,
                         std::uint64_t aIncarnation,
                         const Clock& aClock);
std::unique_ptr<RelayAuthenticator>
CreateRelayAuthenticator(const DaemonSettings& aSettings,
                         std::uint64_t aIncarnation,
                         const Clock& aClock);

} // namespace filbertbeam
