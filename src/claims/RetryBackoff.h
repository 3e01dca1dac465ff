#pragma once

#include "base/Random.h"

#include <chrono>

namespace filbertbeam {

// Calculates the delays between failed calls. The delay doubles with each
// consecutive failure up to a limit. Each delay is shortened at random by up
// to a half, so that hosts do not call at the same time after an outage.
class RetryBackoff
{
public:
  RetryBackoff(std::chrono::milliseconds aFirst,
               std::chrono::milliseconds aLongest)
    : first_(aFirst)
    , longest_(aLongest)
    , next_(aFirst)
  {
  }

  std::chrono::milliseconds Next(Random& aRandom);
  void Reset() { next_ = first_; }

private:
  std::chrono::milliseconds first_;
  std::chrono::milliseconds longest_;
  std::chrono::milliseconds next_;
};

} // namespace filbertbeam
