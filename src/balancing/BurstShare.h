#pragma once

#include "base/Clock.h"

namespace filbertbeam {

// The share of a burst that this host may spend. The shares of hosts that have
// the same host list add up to one. A host whose share increases takes the
// increase over from another host, which may have just spent it. An increase
// therefore takes effect after a whole window, a decrease immediately.
class BurstShare
{
public:
  // Shares are from 0 to 1. The part aImmediateShare of aShare takes effect
  // without waiting for the window.
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
