#include "routing/WeightedSplit.h"

#include <cmath>

namespace filbertbeam {

namespace {

// All states are discarded above this number, to free those of removed routes.
constexpr std::size_t kMaxTrackedRoutes = 32'768;

// Fractional part of the golden ratio: successive positions this far apart are
// spread evenly, whatever their number.
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
    // Hosts start at different positions, so that many hosts with few requests
    // each respect the weights in total.
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
