#include "base/SystemClock.h"

namespace filbertbeam {

Instant
SystemClock::Now() const
{
  return std::chrono::steady_clock::now();
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

} // namespace filbertbeam
