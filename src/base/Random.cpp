#include "base/Random.h"

namespace filbertbeam {

namespace {

__extension__ using WideUnsigned = unsigned __int128;

} // namespace

double
Random::Uniform()
{
  // The significand of a double has 53 bits.
  constexpr int kFractionBits = 53;
  return static_cast<double>(Next() >> (64 - kFractionBits)) /
         static_cast<double>(1ULL << kFractionBits);
}

std::uint64_t
Random::Below(std::uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  return static_cast<std::uint64_t>(
    (static_cast<WideUnsigned>(Next()) * aBound) >> 64);
}

} // namespace filbertbeam
