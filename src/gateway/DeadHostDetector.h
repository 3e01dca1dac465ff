#pragma once

#include "balancing/SelectionService.h"
#include "base/Random.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// Finds hosts that stopped without unregistering, since entries in the host
// list do not expire. A host sends requests only to the owners of services, so
// it has to probe other hosts: in each round one host chosen at random and all
// hosts that have not responded since their first probe. The cost of a round
// therefore does not grow with the fleet.
class DeadHostDetector
{
public:
  DeadHostDetector(std::string aSelf, Random& aRandom);

  // Begins a round with the hosts in aListed. Returns the hosts to probe.
  std::vector<PeerHost> BeginRound(std::span<const PeerHost> aListed,
                                   Instant aNow);
  void OnPeerMessage(const std::string& aHost);

  // Returns the names of the hosts that have been unresponsive for at least
  // kDeadHostRemovalDelay, each once. Returns none when no host has responded
  // in the last round, since this host may be the one that is disconnected.
  std::vector<std::string> TakeDeadHosts(Instant aNow);

private:
  const std::string self_;
  Random& random_;
  // Time of the first probe of each host that has not responded yet, by name.
  std::map<std::string, Instant, std::less<>> unansweredSince_;
  bool hasReceivedInRound_ = false;
};

} // namespace filbertbeam
