#pragma once

#include "gateway/ExchangeHeaderCodec.h"
#include "routing/RoutingTable.h"

#include <memory>

namespace filbertbeam {

// Refusal of a host that cannot know whether its keys are current. Another host
// may know, and this one usually does again soon.
inline constexpr std::string_view kKeysNotCurrent = "keys-not-current";
inline constexpr std::chrono::milliseconds kKeysNotCurrentRetryAfter{ 250 };

// Whether a version of the configuration allows a request, and for which
// workspace.
struct Authorization
{
  bool isGranted = false;
  // The decision depends on the keys that this host knows.
  bool needsKeys = false;
  // Keeps contract alive.
  std::shared_ptr<const RoutingTable> table;
  // Null for requests without a workspace.
  const Contract* contract = nullptr;

  // The deployment names workspaces, so that a server is told the one of each
  // request, and no key.
  bool HasWorkspaces() const
  {
    return table != nullptr && table->Contracts() != nullptr;
  }
  // The name of the workspace; empty without one.
  std::string_view Workspace() const
  {
    return contract ? std::string_view(contract->customer) : std::string_view();
  }
};

// Returns the route of a request, or null.
const Route*
FindRoute(const RoutingTable& aTable, const HttpRequestHead& aHead);

// Decides by the key that aHeaders name. Without workspaces, everything is
// granted. A public route needs no key; one that is presented tells the
// workspace, and is refused if it is unknown or malformed.
Authorization
Authorize(std::shared_ptr<const RoutingTable> aTable,
          const Route& aRoute,
          const CallerHeaders& aHeaders);

} // namespace filbertbeam
