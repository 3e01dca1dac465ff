#include "shard_model/ServiceTimeModel.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace filbertbeam {

namespace {

double
StandardNormal(Random& aRandom)
{
  const double radius = std::sqrt(-2 * std::log(1 - aRandom.Uniform()));
  return radius * std::cos(2 * std::numbers::pi * aRandom.Uniform());
}

} // namespace

ServiceTimeModel::ServiceTimeModel()
  : ServiceTimeModel(Options{})
{
}

ServiceTimeModel::ServiceTimeModel(const Options& aOptions)
  : options_(aOptions)
{
  const double tailMean = options_.tailMinimumFactor * options_.tailExponent /
                          (options_.tailExponent - 1);
  const double factor = 1 - options_.tailShare + options_.tailShare * tailMean;
  logMedian_ = std::log(options_.meanSeconds / factor) -
               options_.logDeviation * options_.logDeviation / 2;
}

double
ServiceTimeModel::Seconds(Random& aRandom) const
{
  double seconds =
    std::exp(logMedian_ + options_.logDeviation * StandardNormal(aRandom));
  if (aRandom.Uniform() < options_.tailShare) {
    seconds *= options_.tailMinimumFactor *
               std::pow(1 - aRandom.Uniform(), -1 / options_.tailExponent);
  }
  return std::min(seconds, options_.longestSeconds);
}

} // namespace filbertbeam
