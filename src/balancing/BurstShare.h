#pragma once

#include "base/Clock.h"

namespace filbertbeam {

// The share of a burst that this host may spend. The shares of all hosts add up
// to one for hosts that know the same hosts. A host whose share grows takes it
// over from another one, which may have spent it a moment ago; so a larger
// share counts only when a whole window has passed, a smaller one at once.
class BurstShare
{
public:
  // Shares are from 0 to 1. Of aShare, aImmediateShare needs no wait.
  void Set(double aShare,
           double aImmediateShare,
           std::chrono::seconds aWindow,
           Instant aNow);
  double Granted(Instant aNow) const;

private:
  double granted_ = 0;
  double target_ = 0;
  Instant targetGrantedAt_;
};

} // namespace filbertbeam
