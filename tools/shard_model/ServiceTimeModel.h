#pragma once

#include "base/Clock.h"
#include "base/Random.h"

namespace filbertbeam {

// Service times of a healthy backend server: a lognormal body, and a small
// share of requests whose time is multiplied by a Pareto number.
class ServiceTimeModel
{
public:
  struct Options
  {
    double meanSeconds = 0.05;
    // Standard deviation of the logarithm of the body.
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
