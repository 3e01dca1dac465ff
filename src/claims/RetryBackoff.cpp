#include "claims/RetryBackoff.h"

#include <algorithm>

namespace filbertbeam {

std::chrono::milliseconds
RetryBackoff::Next(Random& aRandom)
{
  const auto longest = std::min(next_, longest_).count();
  next_ = std::min(next_ * 2, longest_);
  const auto half = longest / 2;
  return std::chrono::milliseconds(longest - half +
                                   static_cast<std::int64_t>(aRandom.Below(
                                     static_cast<std::uint64_t>(half) + 1)));
}

} // namespace filbertbeam
