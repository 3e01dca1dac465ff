#pragma once

#include "base/Clock.h"
#include "membership/ListedHost.h"
#include "membership/MembershipView.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// Finds the entries of hosts that stopped without unregistering, since entries
// in the host list do not expire. A host that is still alive writes its entry
// again when it next reads the list.
class DeadHostSweep
{
public:
  // Returns the names of the hosts in aListed that have been unreachable for
  // kDeadHostRemovalDelay and whose entries this host has to remove. Each name
  // is returned once, and again after the same time if the entry is back in the
  // list.
  std::vector<std::string> TakeDeadHosts(std::span<const ListedHost> aListed,
                                         const MembershipView& aView,
                                         Instant aNow);

private:
  // Time at which each unreachable host in the list was first found
  // unreachable.
  std::map<std::string, Instant, std::less<>> unreachableSince_;
};

} // namespace filbertbeam
