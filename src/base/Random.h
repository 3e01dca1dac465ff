#pragma once

#include <cstdint>

namespace filbertbeam {

// Interface of a random number generator. Decision logic receives it as a
// dependency, so that a test can be reproduced from its seed.
class Random
{
public:
  virtual ~Random() = default;

  // Returns a uniformly distributed 64-bit integer.
  virtual std::uint64_t Next() = 0;

  // Returns a uniformly distributed number in [0, 1).
  double Uniform();

  // Returns a uniformly distributed integer in [0, aBound), or 0 if aBound is
  // 0.
  std::uint64_t Below(std::uint64_t aBound);
};

} // namespace filbertbeam
