#pragma once

#include "base/Random.h"
#include "routing/RoutingTable.h"

#include <string>
#include <unordered_map>

namespace filbertbeam {

// Divides the requests of a route among its services in proportion to their
// weights. Whether a service has room has no influence: what does not fit there
// is refused there, so that a share never moves to another service.
class WeightedSplit
{
public:
  explicit WeightedSplit(Random& aRandom);

  // aRoute has to belong to the version given.
  const std::string& Choose(const Route& aRoute, std::uint64_t aVersion);

private:
  struct SequenceState
  {
    std::uint64_t version = 0;
    // Where the next request falls on the targets' weights, laid side by side
    // and scaled to 1.
    double position = 0;
  };

  Random& random_;
  std::unordered_map<std::string, SequenceState> routes_;
};

} // namespace filbertbeam
