#pragma once

#include "base/Random.h"
#include "routing/RoutingTable.h"

#include <string>
#include <unordered_map>

namespace filbertbeam {

// Splits the requests of a route among its services in proportion to their
// weights, whatever their load: a request for which its service has no capacity
// is refused, so that a service's share never moves to another one.
class WeightedSplit
{
public:
  explicit WeightedSplit(Random& aRandom);

  // aRoute has to belong to version aVersion of the routing table.
  const std::string& Choose(const Route& aRoute, std::uint64_t aVersion);

private:
  struct SequenceState
  {
    std::uint64_t version = 0;
    // Position of the next request in [0, 1), which the targets divide among
    // them in proportion to their weights.
    double position = 0;
  };

  Random& random_;
  std::unordered_map<std::string, SequenceState> routes_;
};

} // namespace filbertbeam
