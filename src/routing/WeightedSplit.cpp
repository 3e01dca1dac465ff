#include "routing/WeightedSplit.h"

namespace filbertbeam {

namespace {

// Progress of routes that are gone is dropped above this number.
constexpr std::size_t kMaxRememberedRoutes = 32'768;

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
  if (progress.version != aVersion ||
      progress.credits.size() != aRoute.targets.size()) {
    progress.version = aVersion;
    progress.credits.clear();
    // Hosts start at different places of the cycle. Otherwise many hosts with
    // few requests each would all send their first to the same service.
    for (const RouteTarget& target : aRoute.targets) {
      progress.credits.push_back(random_.Uniform() * sum -
                                 (sum - target.weight) / 2);
    }
  }
  std::size_t best = aRoute.targets.size();
  for (std::size_t i = 0; i < aRoute.targets.size(); ++i) {
    progress.credits[i] += aRoute.targets[i].weight;
    if (aRoute.targets[i].weight > 0 &&
        (best == aRoute.targets.size() ||
         progress.credits[i] > progress.credits[best])) {
      best = i;
    }
  }
  progress.credits[best] -= sum;
  return aRoute.targets[best].service;
}

} // namespace filbertbeam
