#include "configuration/RetryDelay.h"

#include <algorithm>

namespace filbertbeam {

Duration
RetryDelayAfter(int aFailures, Random& aRandom)
{
  Duration delay = kFirstRetryDelay;
  for (int i = 1; i < aFailures && delay < kMaxRetryDelay; ++i) {
    delay *= 2;
  }
  delay = std::min(delay, kMaxRetryDelay);
  return delay / 2 +
         Duration(static_cast<Duration::rep>(
           aRandom.Uniform() * static_cast<double>(delay.count()) / 2));
}

} // namespace filbertbeam
