#pragma once

#include "balancing/SelectionService.h"
#include "base/Random.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace filbertbeam {

// Finds the hosts that ended without taking themselves out of the list of
// hosts, which expires nothing. A host asks only the owners of services for
// anything, so it greets others to learn whether they live: at each round one
// that is drawn at random and all that have not answered since they were first
// greeted. So the cost of a round does not grow with the fleet.
class SilentPeers
{
public:
  SilentPeers(std::string aSelf, Random& aRandom);

  // Begins a round with the hosts in aListed; returns those to greet.
  std::vector<PeerHost> BeginRound(std::span<const PeerHost> aListed,
                                   Instant aNow);
  void OnHeard(const std::string& aHost);

  // Names of the hosts that have been silent for kDeadHostRemovalDelay. Each is
  // named once. None while nobody else has answered in the last round: this
  // host may be the one that is cut off.
  std::vector<std::string> TakeExpired(Instant aNow);

private:
  const std::string self_;
  Random& random_;
  // When a host was first greeted, by name, until it answers.
  std::map<std::string, Instant, std::less<>> unansweredSince_;
  bool hasHeardInRound_ = false;
};

} // namespace filbertbeam
