#pragma once

#include "base/Random.h"

#include <random>

namespace filbertbeam {

// A Mersenne Twister with a given seed or a seed from the operating system.
class SeededRandom final : public Random
{
public:
  explicit SeededRandom(std::uint64_t aSeed);
  // Takes the seed from the operating system.
  SeededRandom();

  std::uint64_t Next() override;

private:
  std::mt19937_64 engine_;
};

} // namespace filbertbeam
