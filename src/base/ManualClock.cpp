#include "base/ManualClock.h"

namespace filbertbeam {

Instant
ManualClock::Now() const
{
  return Instant(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(elapsed_));
}

WallTime
ManualClock::WallNow() const
{
  return WallTime(
    std::chrono::duration_cast<std::chrono::system_clock::duration>(elapsed_));
}

void
ManualClock::Advance(Duration aDuration)
{
  elapsed_ += aDuration;
}

} // namespace filbertbeam
