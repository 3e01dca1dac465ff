#include "routing/WeightedSplit.h"

#include <cmath>

namespace filbertbeam {

namespace {

// Progress of routes that are gone is dropped above this number.
constexpr std::size_t kMaxRememberedRoutes = 32'768;

// The golden ratio's fraction: any run of positions this far apart is spread
// evenly, whatever its length.
constexpr double kStep = 0.618033988749895;

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
  if (routes_.size() > kMaxRememberedRoutes) {
    routes_.clear();
  }
  double sum = 0;
  for (const RouteTarget& target : aRoute.targets) {
    sum += target.weight;
  }
  Progress& progress = routes_[aRoute.host + aRoute.pathPrefix];
  if (progress.version != aVersion) {
    // Hosts begin at different places, so that many hosts with few requests
    // each keep the weights together.
    progress = { aVersion, random_.Uniform() };
  }
  double left = progress.position * sum;
  progress.position = std::fmod(progress.position + kStep, 1.0);
  const RouteTarget* chosen = nullptr;
  for (const RouteTarget& target : aRoute.targets) {
    if (target.weight <= 0) {
      continue;
    }
    chosen = &target;
    if (left < target.weight) {
      break;
    }
    left -= target.weight;
  }
  return chosen->service;
}

} // namespace filbertbeam
