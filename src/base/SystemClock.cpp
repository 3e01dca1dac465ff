#include "base/SystemClock.h"

#include <ctime>

namespace filbertbeam {

Instant
SystemClock::Now() const
{
  // The steady clock of the C++ library stands still while the machine is
  // suspended. Callers do not wait longer for that, and leases run out.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::seconds(now.tv_sec) +
                 std::chrono::nanoseconds(now.tv_nsec));
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

} // namespace filbertbeam
