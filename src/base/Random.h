#pragma once

#include <cstdint>

namespace filbertbeam {

// Source of random numbers. Decision logic takes it from outside, so that a
// test repeats with its seed.
class Random
{
public:
  virtual ~Random() = default;

  // A uniform 64-bit number.
  virtual std::uint64_t Next() = 0;

  // A uniform number in [0, 1).
  double Uniform();

  // A uniform integer in [0, aBound); 0 when aBound is 0.
  std::uint64_t Below(std::uint64_t aBound);
};

} // namespace filbertbeam
