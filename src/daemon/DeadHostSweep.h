#pragma once

#include "base/Clock.h"
#include "membership/ListedHost.h"
#include "membership/MembershipView.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// Finds the entries of hosts that ended without taking themselves out of the
// list of hosts, which expires nothing. A host that lives after all writes its
// entry again when it reads the list.
class DeadHostSweep
{
public:
  // Names of the hosts in aListed that have been unreachable for
  // kDeadHostLifetime and whose entries are this host's to remove. Each is
  // named once, and again after the same time if it is back in the list.
  std::vector<std::string> TakeDeadHosts(std::span<const ListedHost> aListed,
                                         const MembershipView& aView,
                                         Instant aNow);

private:
  // When a listed host was first seen to be unreachable.
  std::map<std::string, Instant, std::less<>> unreachableSince_;
};

} // namespace filbertbeam
