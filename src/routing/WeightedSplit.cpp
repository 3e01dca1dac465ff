#include "routing/WeightedSplit.h"

#include <cmath>

namespace filbertbeam {

namespace {

// SequenceState of routes that are gone is dropped above this number.
constexpr std::size_t kMaxTrackedRoutes = 32'768;

// The golden ratio's fraction: any run of positions this far apart is spread
// evenly, whatever its length.
constexpr double kPositionStep = 0.618033988749895;

} // namespace

WeightedSplit::WeightedSplit(Random& aRandom)
  : random_(aRandom)
{
}

const std::string&
WeightedSplit::Choose(const Route& aRoute, std::uint64_t aVersion)
{
  if (aRoute.targets.size() == 1) {
    return aRoute.targets.front().service;
  }
  if (routes_.size() > kMaxTrackedRoutes) {
    routes_.clear();
  }
  double totalWeight = 0;
  for (const RouteTarget& target : aRoute.targets) {
    totalWeight += target.weight;
  }
  SequenceState& state = routes_[aRoute.host + aRoute.pathPrefix];
  if (state.version != aVersion) {
    // Hosts begin at different places, so that many hosts with few requests
    // each keep the weights together.
    state = { aVersion, random_.Uniform() };
  }
  double remaining = state.position * totalWeight;
  state.position = std::fmod(state.position + kPositionStep, 1.0);
  const RouteTarget* chosen = nullptr;
  for (const RouteTarget& target : aRoute.targets) {
    if (target.weight <= 0) {
      continue;
    }
    chosen = &target;
    if (remaining < target.weight) {
      break;
    }
    remaining -= target.weight;
  }
  return chosen->service;
}

} // namespace filbertbeam
