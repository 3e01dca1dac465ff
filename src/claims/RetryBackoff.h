#pragma once

#include "base/Random.h"

#include <chrono>

namespace filbertbeam {

// Pauses between failed calls: doubled with every failure in a row up to a
// cap, each shortened at random by up to a half so that hosts do not call in
// step after an outage.
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
