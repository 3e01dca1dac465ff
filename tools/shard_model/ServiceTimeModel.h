#pragma once

#include "base/Clock.h"
#include "base/Random.h"

namespace filbertbeam {

// Service times of a healthy backend server. They are lognormal, and those of a
// small share of requests are multiplied by a Pareto-distributed factor.
class ServiceTimeModel
{
public:
  struct Options
  {
    double meanSeconds = 0.05;
    // Standard deviation of the logarithm of the lognormal part.
    double logDeviation = 0.6;
    double tailShare = 0.01;
    double tailMinimumFactor = 4;
    double tailExponent = 1.5;
    double longestSeconds = 20;
  };

  ServiceTimeModel();
  explicit ServiceTimeModel(const Options& aOptions);

  double Seconds(Random& aRandom) const;

private:
  Options options_;
  double logMedian_;
};

} // namespace filbertbeam
